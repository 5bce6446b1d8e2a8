package engine

import (
	"strconv"
	"time"
)

func itoa(n int64) string { return strconv.FormatInt(n, 10) }

// fullPage is the number of ends in one answer; more may follow.
const fullPage = 500

// RenewalAnswered takes in what a worker says of itself. The hold was sent at sentAt.
func (p *Pool) RenewalAnswered(id string, a RenewalReply, sentAt time.Duration, c Clock) {
	w := p.workers[id]
	if w == nil {
		return
	}
	if w.bornMS != 0 && a.Incarnation != 0 && w.bornMS != a.Incarnation {
		p.reborn(w, a, sentAt, c)
	}
	if a.Incarnation != 0 {
		w.bornMS = a.Incarnation
	}
	if !w.met || w.failing {
		p.needPlace = true
	}
	if !w.met {
		w.othersMS = a.ClockMS + p.grantedByOthers(a.ClockMS).Milliseconds()
	}
	w.met, w.failing, w.lastHeard = true, false, c.Now
	if a.ClockMS > w.clockMS || w.clockAt == 0 {
		w.clockMS, w.clockAt = a.ClockMS, c.Now
	}
	ended := p.takeEnds(w, a.Ended, c)
	present := p.takeRunning(w, a.Running, c)
	if len(a.Ended) >= fullPage {
		return
	}
	for _, r := range w.list() {
		if !present[r] && !ended[runKey(r.Task.id, r.Num)] && r.absentCounts(sentAt) {
			p.lose(r, c)
		}
	}
	p.steerFills(w, c)
}

// absentCounts reports whether the run is certainly not on its worker, as a list asked for at sentAt lacks it.
func (r *Run) absentCounts(sentAt time.Duration) bool {
	switch r.phase {
	case phaseInherited:
		return true
	case phaseRunning:
		return r.confirmedAt < sentAt
	case phaseStopping:
		return r.stopDone && r.stopDoneAt < sentAt
	}
	return false
}

func (p *Pool) takeEnds(w *Worker, rows []EndedRow, c Clock) map[string]bool {
	seen := map[string]bool{}
	for _, e := range rows {
		seen[listedKey(e.Task, e.Run)] = true
		if e.Seq <= w.ends {
			continue
		}
		w.ends = e.Seq
		j := p.takeEnd(w, e, c)
		ack := pendingAck{n: e.Seq, job: j}
		if j != nil {
			ack.rev = j.rev
		}
		w.pending = append(w.pending, ack)
	}
	w.advanceAcks()
	return seen
}

// takeEnd applies one listed end and returns the job that must be in the store before it is forgotten.
func (p *Pool) takeEnd(w *Worker, e EndedRow, c Clock) *Job {
	id, err := ParseTaskID(e.Task)
	if err != nil {
		return nil
	}
	j := p.jobs[id.Job]
	if j == nil {
		return nil
	}
	t := j.task(id, false)
	if t == nil {
		return nil
	}
	r := w.runs[runKey(id, e.Run)]
	if r == nil {
		return p.takeForeignEnd(t, w, e, c)
	}
	p.note("end", e.Task, e.Run, w.ID, string(e.Reason))
	t.atWorkSince = 0
	p.dropRun(r)
	p.touch(j)
	if e.Checkpoint != "" && !t.done {
		t.saved = e.Checkpoint
	}
	if j.state.Terminal() {
		return j
	}
	p.applyEnd(t, r, e.Reason, c)
	return j
}

// takeForeignEnd handles an end of a run that was taken for over before. Only its success still matters.
func (p *Pool) takeForeignEnd(t *Task, w *Worker, e EndedRow, c Clock) *Job {
	if e.Reason != EndDone || t.done || t.step.spec.LongRunning || t.job().state.Terminal() || e.Run > t.lastRun {
		return nil
	}
	p.note("late-end", e.Task, e.Run, w.ID, string(e.Reason))
	p.taskDone(t, c)
	p.touch(t.job())
	return t.job()
}

// applyEnd decides what an end means for its task.
func (p *Pool) applyEnd(t *Task, r *Run, how EndReason, c Clock) {
	st := t.step.spec
	switch {
	case how == EndDone && !st.LongRunning:
		p.learn(t, r, c)
		p.taskDone(t, c)
	case how == EndFailed:
		p.taskFailed(t, r, c)
	default:
		p.gangBroken(t, c)
	}
}

// taskDone ends a task, for a gang all of its step's tasks, and what follows from it.
func (p *Pool) taskDone(t *Task, c Clock) {
	members := []*Task{t}
	if t.step.spec.Gang {
		members = t.step.tasks
	}
	for _, m := range members {
		m.setDone()
		if !t.step.spec.Gang || m == t {
			p.stopRuns(m, c)
		}
	}
	p.needPlace = true
	p.checkEnd(t.step.occ, c)
}

const (
	// failurePause keeps a task that has just failed from failing all its attempts within moments.
	failurePause = 30 * time.Millisecond
	// lastingPause and lastingPauseMax space the restarts of a task that keeps ending.
	lastingPause    = 50 * time.Millisecond
	lastingPauseMax = 1500 * time.Millisecond
)

func (p *Pool) taskFailed(t *Task, r *Run, c Clock) {
	p.blame(r.Worker, t, c)
	if t.failedOn == nil {
		t.failedOn = map[string]int{}
	}
	t.failedOn[r.Worker.ID]++
	if t.step.spec.LongRunning {
		t.restarts++
		if c.Now-r.startedAt > 10*time.Second {
			t.restarts = 0
		}
		t.notBefore = c.Now + min(lastingPause<<min(t.restarts, 6), lastingPauseMax)
		return
	}
	if t.step.spec.Gang {
		p.gangFailed(t.step, r.Num, c)
		return
	}
	t.failures++
	t.notBefore = c.Now + failurePause
	p.checkAttempts(t, c)
}

// checkAttempts fails the job whose task has used up its attempts.
func (p *Pool) checkAttempts(t *Task, c Clock) {
	q := p.queues[t.job().Spec.Queue]
	if q.Attempts > 0 && t.failures >= q.Attempts {
		p.end(t.job(), Failed, c)
	}
}

// gangFailed counts one failure of a whole gang and takes its other members off.
func (p *Pool) gangFailed(st *stepState, run int64, c Clock) {
	for _, m := range st.tasks {
		m.failures++
		m.notBefore = c.Now + failurePause
		p.stopRuns(m, c)
	}
	p.note("gang-failed", st.tasks[0].id.String(), run, "", "")
	p.checkAttempts(st.tasks[0], c)
}

// gangBroken takes off the other members of a gang that has lost one.
func (p *Pool) gangBroken(t *Task, c Clock) {
	if !t.step.spec.Gang || t.done {
		return
	}
	for _, m := range t.step.tasks {
		p.stopRuns(m, c)
	}
}

func (p *Pool) takeRunning(w *Worker, rows []RunningRow, c Clock) map[*Run]bool {
	present := map[*Run]bool{}
	w.strays = 0
	for _, row := range rows {
		id, err := ParseTaskID(row.Task)
		if err != nil {
			continue
		}
		r := w.runs[runKey(id, row.Run)]
		if r == nil || r.phase == phaseIntent {
			p.stray(w, id, row, c)
			continue
		}
		present[r] = true
		p.seen(r, row, c)
	}
	return present
}

// stray stops a run that nobody ordered under this ownership.
func (p *Pool) stray(w *Worker, id TaskID, row RunningRow, c Clock) {
	p.note("stray-run", row.Task, row.Run, w.ID, "")
	w.strays++
	p.orders = append(p.orders, Order{Kind: OrderStop, Task: id, Run: row.Run, Worker: w.target()})
}

// seen takes in a listed run.
func (p *Pool) seen(r *Run, row RunningRow, c Clock) {
	t := r.Task
	if row.Checkpoint != "" && !t.done {
		t.saved = row.Checkpoint
	}
	r.percent, r.load = row.Percent, row.Load
	t.seenAtWork(row.Percent >= 100, c)
	switch r.phase {
	case phaseStarting, phaseInherited:
		p.confirm(r, c)
	case phaseRunning:
		if t.job().state.Terminal() {
			p.stop(r, c)
		}
	}
}

// seenAtWork takes in whether a task that lasts is at work.
func (t *Task) seenAtWork(atWork bool, c Clock) {
	if !atWork {
		t.atWorkSince = 0
		return
	}
	t.atWorkAt = c.Now
	if t.atWorkSince == 0 {
		t.atWorkSince = c.Now
	}
}

// confirm notes that the worker has the run.
func (p *Pool) confirm(r *Run, c Clock) {
	if r.phase == phaseInherited {
		r.startedAt = c.Now
	}
	r.phase = phaseRunning
	r.unknown = false
	r.confirmedAt = c.Now
	j := r.Task.job()
	if !j.begun {
		j.begun = true
		p.touch(j)
	}
	if j.state.Terminal() || (r.Task.done && !r.Task.step.spec.Gang) {
		p.stop(r, c)
	}
}
