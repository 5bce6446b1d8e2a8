package engine

import (
	"slices"
	"time"
)

const (
	// failureBackoff keeps a task that has just failed from using up all its attempts within moments.
	failureBackoff = 30 * time.Millisecond
	// longRunningRestartBackoff and maxLongRunningRestartBackoff bound the exponential backoff of a long-running task
	// that keeps failing.
	longRunningRestartBackoff    = 50 * time.Millisecond
	maxLongRunningRestartBackoff = 1500 * time.Millisecond
	// stableRunTime is how long a run of a long-running task must have lasted for its failure to begin a new backoff.
	stableRunTime = 10 * time.Second
)

// handleFailure delays the next run of a task that has failed, and counts the failure as an attempt unless the task is long-running.
func (p *Pool) handleFailure(t *Task, r *Run, c Clock) {
	p.recordFailure(r, t, c)
	if t.failedOn == nil {
		t.failedOn = map[string]int{}
	}
	t.failedOn[r.Worker.ID]++
	if t.step.spec.LongRunning {
		t.restarts++
		if c.Now-r.startedAt > stableRunTime {
			t.restarts = 0
		}
		t.notBefore = c.Now + min(longRunningRestartBackoff<<min(t.restarts, 6), maxLongRunningRestartBackoff)
		return
	}
	if t.step.spec.Gang {
		p.failGang(t.step, r.Num, c)
		return
	}
	t.step.countFailure(t, r.Num)
	t.notBefore = c.Now + failureBackoff
	p.checkAttempts(t, c)
}

// maxFailedRuns is the number of failed runs of a task that are remembered.
const maxFailedRuns = 8

// countFailure counts a failed run as one attempt of the task, or of all tasks of a gang. It reports false if the run was counted before: by
// another member, or by a former owner whose count was stored before the worker discarded the end.
func (st *stepState) countFailure(t *Task, run int64) bool {
	if slices.Contains(t.failedRuns, run) {
		return false
	}
	members := []*Task{t}
	if st.spec.Gang {
		members = st.tasks
	}
	for _, m := range members {
		m.failures++
		m.failedRuns = append(m.failedRuns[max(0, len(m.failedRuns)-maxFailedRuns+1):], run)
	}
	return true
}

// checkAttempts fails the job if the task has used up its attempts.
func (p *Pool) checkAttempts(t *Task, c Clock) {
	q := p.queueOf(t.job())
	if q.Attempts > 0 && t.failures >= q.Attempts {
		p.endJob(t.job(), Failed, c)
	}
}

// failGang counts one failure for the whole gang, whichever number of its members have failed in the run, and stops the others.
func (p *Pool) failGang(st *stepState, run int64, c Clock) {
	if !st.countFailure(st.tasks[0], run) {
		return
	}
	for _, m := range st.tasks {
		m.notBefore = c.Now + failureBackoff
		p.stopRuns(m, c)
	}
	p.recordDecision("gang-failed", st.tasks[0].id.String(), run, "", "")
	p.checkAttempts(st.tasks[0], c)
}

// stopGang stops the other members of a gang that has lost one.
func (p *Pool) stopGang(t *Task, c Clock) {
	if !t.step.spec.Gang || t.done {
		return
	}
	for _, m := range t.step.tasks {
		p.stopRuns(m, c)
	}
}
