package engine

import (
	"cmp"
	"slices"
	"time"
)

// gangNeedsAdvice reports whether a gang, of which t is a member, lacks tickets for some of its members, and could start if the adviser permitted it
// on other workers with room.
func (p *Pool) gangNeedsAdvice(t *Task, workers []*Worker, c Clock) bool {
	st := t.step
	ticketed, possible := 0, 0
	for _, w := range workers {
		if !p.hasRoomFor(t, w, c) || !p.isEligible(t, w, c) || st.denies(w) {
			continue
		}
		room := st.roomOn(w)
		possible += room
		if st.hasTicket(w, c.Now) {
			ticketed += room
		}
	}
	return ticketed < len(st.tasks) && possible >= len(st.tasks)
}

// gangWorkersToAsk returns the workers that a request for a gang names, of which t is a member. A gang needs valid tickets for all members at the same
// time: once enough workers are known to be permitted, those whose tickets have expired or soon will are asked for together. Until then, the unknown
// ones are. It returns none if the gang could not start.
func (p *Pool) gangWorkersToAsk(t *Task, workers []*Worker, c Clock) []askedWorker {
	st := t.step
	if !p.gangNeedsAdvice(t, workers, c) {
		return nil
	}
	times := p.queueOf(t.job()).Advice
	freshUntil := c.Now + time.Duration(gangRefreshShare*float64(times.ValidMS))*time.Millisecond
	var expired, unknown []askedWorker
	permitted, fresh := 0, 0
	for _, w := range workers {
		if !p.hasRoomFor(t, w, c) || !p.isEligible(t, w, c) || st.denies(w) {
			continue
		}
		x := askedWorker{Worker: w, room: st.roomOn(w), cost: p.cost(t, w, "", c)}
		a := st.adviceOn(w)
		switch {
		case a == nil || !a.permitted:
			unknown = append(unknown, x)
			continue
		case a.expiresAt > freshUntil:
			fresh += x.room
		default:
			expired = append(expired, x)
		}
		permitted += x.room
	}
	limit := times.workersWithin(gangAnswerShare, maxGangAdviceWorkers)
	if permitted < len(st.tasks) {
		return gangOrder(unknown, limit)
	}
	list := gangOrder(expired, limit)
	for k := range list {
		if fresh += list[k].room; fresh >= len(st.tasks) {
			return list[:k+1]
		}
	}
	return list
}

// gangOrder orders workers by how much room their rack has, as a gang is placed on one rack if possible, and returns the first ones up to limit.
func gangOrder(list []askedWorker, limit int) []askedWorker {
	rackRoom := map[string]int{}
	for _, x := range list {
		rackRoom[x.rack()] += x.room
	}
	slices.SortStableFunc(list, func(a, b askedWorker) int {
		return cmp.Or(cmp.Compare(rackRoom[b.rack()], rackRoom[a.rack()]), cmp.Compare(a.rack(), b.rack()), cmp.Compare(a.cost, b.cost))
	})
	return list[:min(len(list), limit)]
}
