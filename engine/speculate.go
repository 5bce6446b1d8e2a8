package engine

import "time"

const (
	// copyAfter is how many times the expected run time passes before a copy is started.
	copyAfter = 2.0
	// copyRoom is the share of a worker's CPU that must stay free beside a copy.
	copyRoom = 0.1
)

// speculate starts second copies of speculative tasks that take far longer than expected, where room is idle.
func (p *Pool) speculate(workers []*Worker, c Clock) {
	for _, j := range p.open {
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
	limit := time.Duration(copyAfter*p.expected(st)) * time.Millisecond
	for _, t := range st.tasks {
		if t.done || len(t.live) != 1 {
			continue
		}
		r := t.live[0]
		stuck := !p.reachable(r.Worker, c)
		if r.phase == phaseIntent || (c.Now-r.startedAt < limit && !stuck) {
			continue
		}
		w := p.choose(t, workers, "", c)
		if w == nil || w == r.Worker || float64(w.info.Capacity.CPU-w.used.CPU-st.spec.Need.CPU) < copyRoom*float64(w.info.Capacity.CPU) {
			continue
		}
		p.start(t, w, t.lastRun+1, c)
	}
}
