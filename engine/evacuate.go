package engine

import "time"

// evacuate takes tasks that last off workers that leave, and off workers that are to be emptied within what the tasks' step
// may miss.
func (p *Pool) evacuate(c Clock) {
	for _, w := range p.workers {
		leaving := w.info.Draining
		if !leaving && w.cordon <= c.Now {
			continue
		}
		for _, r := range w.list() {
			if r.phase != phaseRunning || !p.mayTakeOff(r, leaving, c) {
				continue
			}
			p.note("evacuate", r.Task.id.String(), r.Num, w.ID, "")
			p.stop(r, c)
		}
	}
}

func (p *Pool) mayTakeOff(r *Run, leaving bool, c Clock) bool {
	st := r.Task.step
	if !st.spec.LongRunning || st.spec.Gang {
		return false
	}
	if leaving || (st.spec.BestEffort && st.spec.MaxUnavailable == 0) {
		return true
	}
	return r.Task.atWork(c) && st.away(r.Task, c) < st.spec.MaxUnavailable && p.spareFor(r.Task, c)
}

// away counts the other tasks of the step that aren't surely at work.
func (st *stepState) away(but *Task, c Clock) int {
	n := 0
	for _, t := range st.tasks {
		if t != but && !t.atWork(c) {
			n++
		}
	}
	return n
}

const (
	// atWorkFresh is the greatest age of the word that a task is at work.
	atWorkFresh = 2 * time.Second
	// atWorkSettled is for how long a task must have been at work before another one may be taken off: a worker
	// shows whole percents, which are full before the task is.
	atWorkSettled = 600 * time.Millisecond
)

func (t *Task) atWork(c Clock) bool {
	if len(t.live) != 1 || t.live[0].phase != phaseRunning || t.atWorkSince == 0 {
		return false
	}
	return c.Now-t.atWorkAt < atWorkFresh && c.Now-t.atWorkSince > atWorkSettled
}

// spareFor reports whether some other worker has room for the task now.
func (p *Pool) spareFor(t *Task, c Clock) bool {
	for _, w := range p.workers {
		if p.takesWork(w, c) && p.fits(t, w, c) {
			return true
		}
	}
	return false
}
