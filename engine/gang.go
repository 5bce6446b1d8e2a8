package engine

import (
	"cmp"
	"slices"
)

// placeGang starts all tasks of a gang at once, on one rack if there is one with room, or none.
func (p *Pool) placeGang(st *stepState, workers []*Worker, c Clock) {
	run := int64(0)
	for _, t := range st.tasks {
		if !t.pending(c.Now) {
			return
		}
		run = max(run, t.lastRun+1)
	}
	saved := st.gangSaved()
	plan := p.planGang(st, workers, c)
	if plan == nil {
		return
	}
	for i, t := range st.tasks {
		t.saved = saved
		p.start(t, plan[i], run, c)
	}
}

// gangSaved is the checkpoint that all members carry.
func (st *stepState) gangSaved() string {
	for _, t := range st.tasks {
		if t.saved != "" {
			return t.saved
		}
	}
	return ""
}

func (p *Pool) planGang(st *stepState, workers []*Worker, c Clock) []*Worker {
	byRack := map[string][]*Worker{}
	var racks []string
	for _, w := range workers {
		if byRack[w.rack()] == nil {
			racks = append(racks, w.rack())
		}
		byRack[w.rack()] = append(byRack[w.rack()], w)
	}
	slices.SortStableFunc(racks, func(a, b string) int {
		return cmp.Compare(boolRank(a == st.spec.AffinityRack), boolRank(b == st.spec.AffinityRack))
	})
	for _, r := range racks {
		if plan := p.fitAll(st, byRack[r], c); plan != nil {
			return plan
		}
	}
	return p.fitAll(st, workers, c)
}

func boolRank(first bool) int {
	if first {
		return 0
	}
	return 1
}

// fitAll finds a worker for every task of a step, or returns nil.
func (p *Pool) fitAll(st *stepState, workers []*Worker, c Clock) []*Worker {
	used := map[*Worker]Resources{}
	count := map[*Worker]int{}
	need := st.spec.Occupies()
	var plan []*Worker
	for _, t := range st.tasks {
		var pick *Worker
		for _, w := range workers {
			room := w.info.Capacity.Sub(w.used).Sub(used[w])
			full := st.spec.AntiAffinity > 0 && w.ofStep(st)+count[w] >= st.spec.AntiAffinity
			if w.badUntil > c.Now || full || !room.Covers(need) || !p.fits(t, w, c) {
				continue
			}
			pick = w
			break
		}
		if pick == nil {
			return nil
		}
		used[pick] = used[pick].Add(need)
		count[pick]++
		plan = append(plan, pick)
	}
	return plan
}
