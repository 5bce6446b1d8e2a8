package engine

import "time"

// minCheckpointedRun is the age from which a run that has a checkpoint leaves its worker. Most runs end sooner by themselves.
const minCheckpointedRun = 3 * time.Second

// evacuate stops long-running tasks on draining workers, and on cordoned workers as far as the step's limit of
// unavailable tasks allows. Other tasks leave both if they resume elsewhere from a checkpoint: one of them may hold up the upkeep of an
// instance for as long as it runs.
func (p *Pool) evacuate(c Clock) {
	for _, w := range p.workers {
		draining := w.info.Draining
		if !draining && w.cordonedUntil <= c.Now {
			continue
		}
		for _, r := range w.allRuns() {
			if r.phase != phaseRunning || !p.mayEvict(r, draining, c) {
				continue
			}
			p.recordDecision("evacuate", r.Task.id.String(), r.Num, w.ID, "")
			p.stop(r, c)
		}
	}
}

func (p *Pool) mayEvict(r *Run, draining bool, c Clock) bool {
	st := r.Task.step
	switch {
	case st.spec.Gang:
		return false
	case !st.spec.LongRunning:
		return st.spec.Checkpointed && r.Task.checkpoint != "" && c.Now-r.startedAt > minCheckpointedRun && p.canRunElsewhere(r.Task, c)
	}
	if draining || (st.spec.BestEffort && st.spec.MaxUnavailable == 0) {
		return true
	}
	return r.Task.isReady(c) && st.unavailableTasks(r.Task, c) < st.spec.MaxUnavailable && p.canRunElsewhere(r.Task, c)
}

// unavailableTasks counts the other tasks of the step that aren't known to be ready.
func (st *stepState) unavailableTasks(except *Task, c Clock) int {
	n := 0
	for _, t := range st.tasks {
		if t != except && !t.isReady(c) {
			n++
		}
	}
	return n
}

const (
	// readyReportMaxAge is the maximum age of the last report that a task is ready.
	readyReportMaxAge = 2 * time.Second
	// minReadyTime is how long a task must have been ready before another one may be evicted. Workers report whole
	// percents, which reach 100 before the task is ready.
	minReadyTime = 600 * time.Millisecond
)

func (t *Task) isReady(c Clock) bool {
	if len(t.live) != 1 || t.live[0].phase != phaseRunning || t.readySince == 0 {
		return false
	}
	return c.Now-t.lastReadyAt < readyReportMaxAge && c.Now-t.readySince > minReadyTime
}

// canRunElsewhere reports whether some schedulable worker has capacity for the task now.
func (p *Pool) canRunElsewhere(t *Task, c Clock) bool {
	for _, w := range p.workers {
		if p.schedulable(w, c) && p.fits(t, w, c) {
			return true
		}
	}
	return false
}
