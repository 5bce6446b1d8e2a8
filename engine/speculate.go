package engine

import "time"

const (
	// speculationThreshold is how many times the expected run time must pass before a copy is started.
	speculationThreshold = 2.0
	// minFreeAfterCopy is the share of a worker's CPU that must stay free beside a copy.
	minFreeAfterCopy = 0.1
)

// speculate starts second copies of speculative tasks that take far longer than expected, where capacity is idle.
func (p *Pool) speculate(workers []*Worker, c Clock) {
	for _, j := range p.openJobs {
		for o := range j.openOccurrences() {
			for _, st := range o.steps {
				if st.spec.Speculative && !st.spec.Gang && !st.spec.LongRunning && !st.complete() {
					p.speculateStep(st, workers, c)
				}
			}
		}
	}
}

func (p *Pool) speculateStep(st *stepState, workers []*Worker, c Clock) {
	limit := time.Duration(speculationThreshold*p.expectedRunTime(st)) * time.Millisecond
	for _, t := range st.tasks {
		if t.done || len(t.live) != 1 {
			continue
		}
		r := t.live[0]
		stuck := !p.reachable(r.Worker, c)
		if r.phase == phaseDecided || (c.Now-r.startedAt < limit && !stuck) {
			continue
		}
		if !p.workspaces.admitStart(t.job().Spec.Workspace, st.spec.Need, 1) {
			return
		}
		w := p.chooseWorker(t, workers, "", c)
		if w == nil || w == r.Worker || float64(w.info.Capacity.CPU-w.used.CPU-st.spec.Need.CPU) < minFreeAfterCopy*float64(w.info.Capacity.CPU) {
			continue
		}
		p.start(t, w, t.lastRun+1, c)
	}
}
