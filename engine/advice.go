package engine

import (
	"cmp"
	"slices"
	"time"
)

// ticket is the adviser's permission to run a step on one life of a worker.
type ticket struct {
	code   string
	until  time.Duration
	bornMS int64
}

// AdviceRequest asks which of the workers may run a step.
type AdviceRequest struct {
	Step    string
	Workers []string

	state *stepState
	born  map[string]int64
}

// AdviceRow is one worker that may run the step.
type AdviceRow struct {
	Worker string
	Ticket string
}

const (
	// adviceBatch is how many workers one question names; each named worker makes the answer later.
	adviceBatch = 30
	// adviceRetry is the pause after a question without a usable answer.
	adviceRetry = 300 * time.Millisecond
	// ticketMargin is kept from the end of a ticket's validity for the way of the start.
	ticketMargin = 300 * time.Millisecond
)

// ensureAdvice reports whether the step has a ticket that is valid, and asks for more if it lacks one.
func (p *Pool) ensureAdvice(st *stepState, workers []*Worker, c Clock) bool {
	room := slices.ContainsFunc(workers, func(w *Worker) bool { return st.ticketed(w, c.Now) })
	if st.asked || c.Now < st.noGood || (room && !st.starved(p, workers, c)) {
		return room
	}
	req := AdviceRequest{Step: st.occ.job.Spec.ID + "." + itoa(int64(st.occ.index)) + "." + itoa(int64(st.index)), state: st, born: map[string]int64{}}
	for _, w := range st.toAsk(workers, c) {
		req.Workers = append(req.Workers, w.ID)
		req.born[w.ID] = w.bornMS
		st.askedOf[w.ID] = c.Now
	}
	if len(req.Workers) > 0 {
		st.asked = true
		st.askedAt = c.Now
		p.advice = append(p.advice, req)
	}
	return room
}

// toAsk chooses the workers to ask for: of those that could run the step and have no valid ticket, the ones that were asked
// for longest ago, so that in a large pool each has its turn; among equals, those with room now.
func (st *stepState) toAsk(workers []*Worker, c Clock) []*Worker {
	if st.askedOf == nil {
		st.askedOf = map[string]time.Duration{}
	}
	need := st.spec.Occupies()
	var out []*Worker
	for _, w := range workers {
		if w.info.Capacity.Covers(need) && w.hasLabel(st.spec.RequiredLabel) && !st.ticketed(w, c.Now) {
			out = append(out, w)
		}
	}
	full := func(w *Worker) int { return boolRank(w.info.Capacity.Sub(w.used).Covers(need)) }
	slices.SortStableFunc(out, func(a, b *Worker) int {
		return cmp.Or(cmp.Compare(st.askedOf[a.ID], st.askedOf[b.ID]), cmp.Compare(full(a), full(b)))
	})
	return out[:min(len(out), adviceBatch)]
}

// ticketed reports whether the step has a valid ticket for this life of the worker.
func (st *stepState) ticketed(w *Worker, now time.Duration) bool {
	tk, ok := st.tickets[w.ID]
	return ok && tk.until > now && tk.bornMS == w.bornMS
}

// starved reports whether no worker that may run the step has room.
func (st *stepState) starved(p *Pool, workers []*Worker, c Clock) bool {
	return !slices.ContainsFunc(workers, func(w *Worker) bool { return p.fits(st.tasks[0], w, c) })
}

// AdviceAnswered takes in the answer; ok is false if there was none.
func (p *Pool) AdviceAnswered(req AdviceRequest, good []AdviceRow, valid time.Duration, ok bool, c Clock) {
	st := req.state
	st.asked = false
	if !ok || len(good) == 0 {
		st.noGood = c.Now + adviceRetry
		return
	}
	if st.tickets == nil {
		st.tickets = map[string]ticket{}
	}
	for _, g := range good {
		st.tickets[g.Worker] = ticket{code: g.Ticket, until: st.askedAt + valid - ticketMargin, bornMS: req.born[g.Worker]}
	}
	st.noGood = c.Now + adviceRetry
	p.needPlace = true
}
