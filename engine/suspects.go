package engine

import (
	"time"

	"samphirepoint/suspect"
)

const (
	// maxProbeWait is how long a probe run that is due waits for work that fits nowhere else. Then it gets the next task, which may also
	// be one that is usually kept off suspects, so that no such task waits for good.
	maxProbeWait = 4 * time.Second
	// maxLastAttemptWait is how long the last attempt of a task waits for a worker that is not tolerated.
	maxLastAttemptWait = 4 * time.Second
	// stableProbeTime is the time after which a run of a long-running task counts as a success.
	stableProbeTime = 2 * time.Second
	// maxStalledStops bounds the stalled runs of a task that are stopped, each after twice the time of the one before: a task whose time was
	// estimated far too low must be able to end.
	maxStalledStops = 2
)

// admits reports whether the condition of the worker allows one more run beside the given number of new ones.
func (w *Worker) admits(planned int, c Clock) bool {
	return w.condition == nil || w.condition.Room(c.Now) > planned
}

// admitsTask reports whether the condition of the worker allows a run of the task.
func (p *Pool) admitsTask(t *Task, w *Worker, c Clock) bool {
	if !w.admits(0, c) {
		return false
	}
	if w.condition == nil {
		return true
	}
	switch w.condition.State() {
	case suspect.Suspected:
		waited, _ := w.condition.ProbeDue(c.Now)
		return waited >= maxProbeWait || !p.isCostlyToFail(t)
	case suspect.Tolerated:
		return c.Now-t.waitingSince >= maxLastAttemptWait || !p.isLastAttempt(t) || !p.hasSoundWorker()
	}
	return true
}

// isCostlyToFail reports whether a failed run of the task would cost more than that run: those of the rest of its gang, or its job.
func (p *Pool) isCostlyToFail(t *Task) bool {
	return t.step.spec.Gang || t.step.spec.LongRunning || p.isLastAttempt(t)
}

// hasSoundWorker reports whether any worker of the pool is neither suspected nor tolerated.
func (p *Pool) hasSoundWorker() bool {
	for _, w := range p.workers {
		if s := w.condition.State(); w.listed && s != suspect.Suspected && s != suspect.Tolerated {
			return true
		}
	}
	return false
}

// isLastAttempt reports whether the task has failed, and one more failure fails its job.
func (p *Pool) isLastAttempt(t *Task) bool {
	q := p.queueOf(t.job())
	return !t.step.spec.LongRunning && q.Attempts > 0 && t.failures >= max(q.Attempts-1, 1)
}

// cautionCost returns the cost of a placement on a worker whose runs have failed or been slow.
func (w *Worker) cautionCost(c Clock) float64 {
	if w.condition == nil {
		if w.avoidUntil > c.Now {
			return costAvoidedWorker
		}
		return 0
	}
	waited, due := w.condition.ProbeDue(c.Now)
	switch {
	case due && waited >= maxProbeWait:
		return -costAvoidedWorker
	case due, w.condition.Avoided(c.Now):
		return costAvoidedWorker
	}
	return 0
}

// runDone tells the worker's condition of a successful run.
func (p *Pool) runDone(t *Task, r *Run, c Clock) {
	if r.Worker.condition == nil || r.judgedSlow {
		return
	}
	var expected time.Duration
	if t.checkpoint == "" {
		expected = p.knownRunTime(t.step)
	}
	r.Worker.condition.Done(r.period, t.id.Job, r.elapsed(c), expected, c.Now)
}

// discountFailures takes back what the failures of a task have told of the workers, as it fails on another one as well.
func (p *Pool) discountFailures(t *Task, c Clock) {
	for id := range t.failedOn {
		if w := p.workers[id]; w != nil && w.condition != nil {
			w.condition.Discount(t.id.Job, c.Now)
		}
	}
}

// measuresRunTime reports whether runs on the worker are taken for typical of their queue.
func (p *Pool) measuresRunTime(w *Worker) bool {
	return w.condition == nil || w.condition.State() == suspect.Normal
}

// elapsed returns the time since the worker confirmed the run.
func (r *Run) elapsed(c Clock) time.Duration {
	if r.confirmedAt > 0 {
		return c.Now - r.confirmedAt
	}
	return c.Now - r.startedAt
}

// knownRunTime returns the expected run time of the step's tasks, or 0 if nothing is known of it.
func (p *Pool) knownRunTime(st *stepState) time.Duration {
	d := p.durationEstimates[st.occ.job.Spec.Queue]
	if st.spec.EstimateMS <= 0 && (d == nil || d.count < minRunTimeSamples) {
		return 0
	}
	return time.Duration(p.expectedRunTime(st) * float64(time.Millisecond))
}

// noteStart tells the worker's condition of a start that was not accepted. A rejection for a reason of the run says nothing about the worker.
func (w *Worker) noteStart(out StartOutcome, c Clock) {
	switch {
	case w.condition == nil:
	case out == StartUnknown:
		w.condition.Unanswered(c.Now)
	case out == StartNotSent:
		w.condition.Rejected(c.Now)
	}
}

// judgeRuns tells the worker's condition of runs that have become slow, stalled or, if long-running, stable.
func (p *Pool) judgeRuns(w *Worker, c Clock) {
	if w.condition == nil || !p.reachable(w, c) {
		return
	}
	for _, r := range w.runs {
		switch {
		case r.phase != phaseRunning:
		case r.Task.step.spec.LongRunning:
			if !r.judgedStable && r.elapsed(c) >= stableProbeTime {
				r.judgedStable = true
				w.condition.Done(r.period, r.Task.id.Job, 0, 0, c.Now)
			}
		default:
			p.judgeRunTime(r, c)
		}
	}
}

func (p *Pool) judgeRunTime(r *Run, c Clock) {
	expected := p.knownRunTime(r.Task.step)
	if expected == 0 {
		return
	}
	condition := r.Worker.condition
	if !r.judgedSlow && r.elapsed(c) > p.suspects.SlowAfter(expected) {
		r.judgedSlow = true
		condition.Slow(r.period, r.Task.id.Job, c.Now)
	}
	if r.elapsed(c) <= p.suspects.StalledAfter(expected) {
		return
	}
	if !r.judgedStalled {
		r.judgedStalled = true
		condition.Stalled(r.period, r.Task.id.Job, c.Now)
	}
	if r.elapsed(c) > p.suspects.StalledAfter(expected)<<r.Task.stalledStops {
		p.stopStalled(r, c)
	}
}

// stopStalled stops a stalled run if its task can start elsewhere.
func (p *Pool) stopStalled(r *Run, c Clock) {
	t := r.Task
	if t.step.spec.Gang || t.stalledStops >= maxStalledStops || !p.canRunElsewhere(t, c) {
		return
	}
	t.stalledStops++
	p.recordDecision("stalled-run", t.id.String(), r.Num, r.Worker.ID, "")
	p.stop(r, c)
}

// SetAsksHealth sets whether suspects have a health path.
func (p *Pool) SetAsksHealth(asks bool) {
	if p.suspects != nil {
		p.suspects.SetAsksHealth(asks)
	}
}

// TakeHealthChecks returns the suspects whose health is to be asked now.
func (p *Pool) TakeHealthChecks(c Clock) []Target {
	if p.suspects == nil {
		return nil
	}
	var out []Target
	for _, w := range p.workers {
		if p.schedulable(w, c) && w.condition.AskHealth(c.Now) {
			out = append(out, w.target())
		}
	}
	return out
}

// HealthAnswered handles the answer of a worker's health path.
func (p *Pool) HealthAnswered(to Target, h suspect.Health, c Clock) {
	if w := p.workers[to.ID]; w != nil && w.condition != nil && w.token == to.Token && w.info.Address == to.Address {
		w.condition.HealthAnswered(h, c.Now)
		p.placementNeeded = true
	}
}

// recordSuspectEvents records the changes of the workers' conditions as decisions.
func (p *Pool) recordSuspectEvents() {
	if p.suspects == nil {
		return
	}
	for _, e := range p.suspects.TakeEvents() {
		p.recordDecision(string(e.Kind), "", 0, e.Worker, e.Detail)
	}
}
