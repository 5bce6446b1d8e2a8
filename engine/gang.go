package engine

import (
	"cmp"
	"slices"
)

// placeGang starts all tasks of a gang at once or none, on a single rack if one has the capacity.
func (p *Pool) placeGang(cd candidate, workers []*Worker, c Clock) {
	st := cd.step
	run := int64(0)
	for _, t := range st.tasks {
		if !t.pending(c.Now) {
			return
		}
		run = max(run, t.lastRun+1)
	}
	if !p.workspaces.admitStart(st.occ.job.Spec.Workspace, st.spec.Need, len(st.tasks)) {
		return
	}
	checkpoint := st.gangCheckpoint()
	plan := p.planGang(st, workers, c)
	if plan == nil {
		p.noteFull(cd, workers, c)
		return
	}
	for i, t := range st.tasks {
		t.checkpoint = checkpoint
		p.start(t, plan[i], run, c)
	}
}

// gangCheckpoint returns the checkpoint from which all members resume.
func (st *stepState) gangCheckpoint() string {
	for _, t := range st.tasks {
		if t.checkpoint != "" {
			return t.checkpoint
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
		return cmp.Compare(rankTrueFirst(a == st.spec.AffinityRack), rankTrueFirst(b == st.spec.AffinityRack))
	})
	for _, r := range racks {
		if plan := p.assignAll(st, byRack[r], c); plan != nil {
			return plan
		}
	}
	return p.assignAll(st, workers, c)
}

func rankTrueFirst(first bool) int {
	if first {
		return 0
	}
	return 1
}

// assignAll returns a worker for every task of a step, or nil if they don't all fit.
func (p *Pool) assignAll(st *stepState, workers []*Worker, c Clock) []*Worker {
	used := map[*Worker]Resources{}
	count := map[*Worker]int{}
	need := st.spec.Footprint()
	var plan []*Worker
	for _, t := range st.tasks {
		var pick *Worker
		for _, w := range workers {
			free := w.info.Capacity.Sub(w.used).Sub(used[w])
			full := st.spec.AntiAffinity > 0 && w.runsOfStep(st)+count[w] >= st.spec.AntiAffinity
			if w.avoidUntil > c.Now || full || !w.admits(count[w], c) || !free.Covers(need) || !p.fits(t, w, c) {
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
