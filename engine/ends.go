package engine

import (
	"strconv"
	"time"
)

func itoa(n int64) string { return strconv.FormatInt(n, 10) }

// maxEndsPerAnswer is the maximum number of ends in one answer; more may follow.
const maxEndsPerAnswer = 500

// RenewalAnswered handles a worker's answer to a lease renewal that was sent at sentAt. The answer to a renewal of a former session says nothing of
// the present one.
func (p *Pool) RenewalAnswered(to Target, a RenewalReply, sentAt time.Duration, c Clock) {
	w := p.workers[to.ID]
	switch {
	case w == nil || w.token != to.Token:
		return
	case w.contacted && w.incarnation != a.Incarnation:
		p.restarted(w, a.Incarnation, c)
		return
	case !w.contacted:
		p.contact(w, a, sentAt, c)
	}
	p.placementNeeded = p.placementNeeded || w.unresponsive
	w.unresponsive, w.reportedGone, w.lastContact = false, false, c.Now
	if a.ClockMS > w.clockMS {
		w.clockMS, w.clockAt, w.clockSince = a.ClockMS, c.Now, sentAt
	}
	if w.acking {
		w.discardedUpTo = w.sentAck
	}
	p.renewals++
	p.applyEnds(w, a.Ended, c)
	p.applyRunning(w, a.Running, c)
	p.endAck(w, c)
	if len(a.Ended) >= maxEndsPerAnswer {
		return
	}
	for _, r := range w.runs {
		if r.listedIn != p.renewals && r.absenceIsFinal(sentAt) {
			p.loseRun(r, c)
		}
	}
	p.throttleBestEffort(w, c)
}

// absenceIsFinal reports whether the run is certainly not on its worker, given that a list requested at sentAt lacks it. The worker rejects
// orders of former sessions.
func (r *Run) absenceIsFinal(sentAt time.Duration) bool {
	switch {
	case r.phase == phaseDecided:
		return false
	case r.sentToken < r.Worker.token:
		return true
	}
	switch r.phase {
	case phaseRunning:
		return r.confirmedAt < sentAt
	case phaseStopping:
		return r.stopAcked && r.stopAckedAt < sentAt
	}
	return false
}

func (p *Pool) applyEnds(w *Worker, rows []EndedRow, c Clock) {
	for _, e := range rows {
		id, err := ParseTaskID(e.Task)
		if err != nil {
			p.recordDecision("malformed-end", e.Task, e.Run, w.ID, itoa(e.Seq))
			continue // Its number may be malformed as well: acknowledging it could skip ends of tasks.
		}
		if r := w.runs[runID{task: id, run: e.Run}]; r != nil {
			r.listedIn = p.renewals
		}
		if e.Seq <= w.lastEnd {
			continue
		}
		w.lastEnd = e.Seq
		j := p.applyListedEnd(w, id, e, c)
		ack := pendingAck{end: e.Seq, job: j}
		if j != nil {
			ack.rev = j.rev
		}
		w.pendingAcks = append(w.pendingAcks, ack)
	}
	w.advanceAcks()
}

// applyListedEnd applies one listed end and returns the job that must be stored before the worker may discard the end.
func (p *Pool) applyListedEnd(w *Worker, id TaskID, e EndedRow, c Clock) *Job {
	j := p.jobs[id.Job]
	if j == nil {
		return nil
	}
	t := j.task(id, false)
	if t == nil {
		return nil
	}
	r := w.runs[runID{task: id, run: e.Run}]
	if r == nil {
		return p.applyLateEnd(t, w, e, c)
	}
	p.recordDecision("end", e.Task, e.Run, w.ID, string(e.Reason))
	t.readySince = 0
	p.dropRun(r)
	p.markDirty(j)
	t.keepCheckpoint(e.Checkpoint)
	if j.state.Terminal() {
		return j
	}
	p.applyEnd(t, r, e.Reason, c)
	return j
}

// applyLateEnd handles the end of a run that was already considered over. A successful end still completes the task, and a failed one is
// still an attempt. Any other may be listed a second time and be applied in memory only, so that its acknowledgement waits for the store
// as well.
func (p *Pool) applyLateEnd(t *Task, w *Worker, e EndedRow, c Clock) *Job {
	if t.done || t.step.spec.LongRunning || t.job().state.Terminal() || e.Run > t.lastRun {
		return t.job()
	}
	switch e.Reason {
	case EndDone:
		p.completeTask(t, c)
	case EndFailed:
		if !t.step.countFailure(t, e.Run) {
			return t.job()
		}
		p.checkAttempts(t, c)
	default:
		return t.job()
	}
	p.recordDecision("late-end", e.Task, e.Run, w.ID, string(e.Reason))
	p.markDirty(t.job())
	return t.job()
}

// applyEnd decides what the end of a run means for its task.
func (p *Pool) applyEnd(t *Task, r *Run, reason EndReason, c Clock) {
	st := t.step.spec
	switch {
	case reason == EndDone && !st.LongRunning:
		p.recordRunTime(t, r, c)
		p.backlog.completed++
		p.backlog.work += p.taskWork(t.step) * float64(t.step.completedTogether())
		p.completeTask(t, c)
	case reason == EndFailed:
		p.handleFailure(t, r, c)
	default:
		p.stopGang(t, c)
	}
}

// completeTask marks a task as done, or all tasks of its step for a gang, and handles the consequences.
func (p *Pool) completeTask(t *Task, c Clock) {
	members := []*Task{t}
	if t.step.spec.Gang {
		members = t.step.tasks
	}
	for _, m := range members {
		m.markDone()
		if !t.step.spec.Gang || m == t {
			p.stopRuns(m, c)
		}
	}
	p.placementNeeded = true
	p.checkCompletion(t.step.occ, c)
}

func (p *Pool) applyRunning(w *Worker, rows []RunningRow, c Clock) {
	w.orphans = 0
	for _, row := range rows {
		id, err := ParseTaskID(row.Task)
		if err != nil {
			continue
		}
		r := w.runs[runID{task: id, run: row.Run}]
		if r == nil || r.phase == phaseDecided {
			p.stopOrphan(w, id, row, c)
			continue
		}
		r.listedIn = p.renewals
		p.applyListedRun(r, row, c)
	}
}

// stopOrphan stops a run that was not ordered under this ownership.
func (p *Pool) stopOrphan(w *Worker, id TaskID, row RunningRow, c Clock) {
	p.recordDecision("stray-run", row.Task, row.Run, w.ID, "")
	w.orphans++
	p.orderStop(runID{task: id, run: row.Run}, w)
}

// applyListedRun handles a run that its worker lists as running.
func (p *Pool) applyListedRun(r *Run, row RunningRow, c Clock) {
	t := r.Task
	if r.incarnation != r.Worker.incarnation {
		r.incarnation = r.Worker.incarnation // The order was sent to a former one.
		p.markDirty(t.job())
	}
	p.adopt(r)
	t.keepCheckpoint(row.Checkpoint)
	r.percent, r.load = row.Percent, row.Load
	t.observeReadiness(row.Percent >= 100, c)
	switch r.phase {
	case phaseStarting, phaseInherited:
		p.confirmRun(r, c)
	case phaseRunning:
		if t.job().state.Terminal() {
			p.stop(r, c)
		}
	}
}

// adopt makes a listed run one of the present session. What was confirmed of its stop or throttle in a former one doesn't count.
func (p *Pool) adopt(r *Run) {
	if r.sentToken < r.Worker.token && r.phase != phaseInherited {
		r.stopAcked, r.stopSentAt = false, 0
		r.throttlePercent, r.throttleConfirmed = 100, false
	}
	r.sentToken, r.confirmedToken = r.Worker.token, r.Worker.token
}

// keepCheckpoint records the newest checkpoint of a task, unless it is too long for the task's record.
func (t *Task) keepCheckpoint(checkpoint string) {
	if checkpoint != "" && len(checkpoint) <= maxCheckpointBytes && !t.done {
		t.checkpoint = checkpoint
	}
}

// observeReadiness records whether a long-running task is reported as ready.
func (t *Task) observeReadiness(ready bool, c Clock) {
	if !ready {
		t.readySince = 0
		return
	}
	t.lastReadyAt = c.Now
	if t.readySince == 0 {
		t.readySince = c.Now
	}
}

// confirmRun records that the worker has the run.
func (p *Pool) confirmRun(r *Run, c Clock) {
	if r.phase == phaseInherited {
		r.startedAt = c.Now
	}
	r.phase = phaseRunning
	r.outcomeUnknown = false
	p.countPending(r, false)
	r.confirmedAt = c.Now
	j := r.Task.job()
	if !j.started {
		j.started = true
		p.markDirty(j)
	}
	if j.state.Terminal() || (r.Task.done && !r.Task.step.spec.Gang) {
		p.stop(r, c)
	}
}
