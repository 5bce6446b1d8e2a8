package engine

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	simStopDelay   = 200 * time.Millisecond
	simGangTimeout = 3 * time.Second
	simMaxLease    = 10 * time.Second
	simMaxHarm     = 4 * time.Second
)

// simRun is a run on a simulated worker.
type simRun struct {
	task            *simTask
	num             int64
	began           time.Duration
	work            time.Duration // run time needed, 0 for long-running tasks
	worked          time.Duration
	reason          EndReason
	saved           string
	throttlePercent int64
	stopped         time.Duration // when the stop takes effect, 0 if none was ordered
	// harmedSince is since when best-effort tasks have kept a serving task over its target, 0 if they don't.
	harmedSince time.Duration
}

func (r *simRun) spec() *Step { return r.task.spec }

// simWorker simulates a worker that behaves as the platform documents it.
type simWorker struct {
	info             WorkerInfo
	enforcesCapacity bool
	incarnation      int64
	startedAt        time.Duration
	clockRate        float64 // of its monotonic clock
	token            int64
	leaseDeadline    int64 // on its clock
	runs             map[string]*simRun
	highest          map[string]int64 // the highest run number stopped or ended here, by task
	ended            []EndedRow
	n, seen          int64
	// partitionedUntil is the end of the worker's last network partition.
	partitionedUntil time.Duration
	checker          *ruleChecker
}

func (w *simWorker) clockMS(now time.Duration) int64 {
	return int64(float64((now - w.startedAt).Milliseconds()) * w.clockRate)
}

func (w *simWorker) partitioned(now time.Duration) bool { return now < w.partitionedUntil }

// restart begins a new incarnation with the same ID and no state of the former one.
func (w *simWorker) restart(now time.Duration) {
	w.checker.workerTerminated(w)
	w.incarnation++
	w.startedAt, w.token, w.leaseDeadline, w.n, w.seen = now, 0, 0, 0, 0
	w.runs, w.highest, w.ended = map[string]*simRun{}, map[string]int64{}, nil
}

func (w *simWorker) used() Resources {
	var u Resources
	for _, r := range w.runs {
		u = u.Add(r.spec().Footprint())
	}
	return u
}

// rejectsToken reports whether the fencing token is too low; otherwise it raises the worker's token.
func (w *simWorker) rejectsToken(token int64) bool {
	if token < w.token {
		return true
	}
	w.token = token
	return false
}

func (w *simWorker) extend(deadlineMS int64, now time.Duration) {
	w.expireLease(now)
	w.leaseDeadline = max(w.leaseDeadline, min(deadlineMS, w.clockMS(now)+simMaxLease.Milliseconds()))
}

// expireLease ends all runs once the lease has expired. Ends not acknowledged before then don't count as acknowledged
// later.
func (w *simWorker) expireLease(now time.Duration) {
	if w.leaseDeadline == 0 || w.clockMS(now) <= w.leaseDeadline {
		return
	}
	w.checker.leaseExpired(w)
	for key := range w.runs {
		if w.runs[key] != nil {
			w.end(key, EndLapsed, now)
		}
	}
}

// start executes a start order and returns the rejection reason, or "".
func (w *simWorker) start(o Order, t *simTask, token int64, now time.Duration, rnd *rand.Rand) string {
	if w.rejectsToken(token) {
		return "fence"
	}
	key := runKey(o.Task, o.Run)
	if w.runs[key] != nil {
		return ""
	}
	switch {
	case o.DeadlineMS <= w.clockMS(now):
		return ReasonDeadlinePassed
	case w.highest[t.name] >= o.Run:
		w.extend(o.DeadlineMS, now)
		return ReasonStaleRun
	case w.enforcesCapacity && !w.info.Capacity.Sub(w.used()).Covers(t.spec.Footprint()):
		w.extend(o.DeadlineMS, now)
		return ReasonNoCapacity
	case t.job.advised && !t.job.ticketHolds(o.Ticket, w, now):
		return ReasonInvalidTicket
	}
	w.extend(o.DeadlineMS, now)
	r := &simRun{task: t, num: o.Run, began: now, reason: EndDone, saved: o.Checkpoint, throttlePercent: 100}
	if !t.spec.LongRunning {
		r.work = time.Duration(100+rnd.IntN(900)) * time.Millisecond
	}
	if rnd.Float64() < t.job.failureShare {
		r.reason, r.work = EndFailed, time.Duration(50+rnd.IntN(300))*time.Millisecond
	}
	w.runs[key] = r
	w.checker.started(w, r, now)
	return ""
}

func (w *simWorker) stop(o Order, token int64, now time.Duration) bool {
	if w.rejectsToken(token) {
		return false
	}
	w.highest[o.Task.String()] = max(w.highest[o.Task.String()], o.Run)
	if r := w.runs[runKey(o.Task, o.Run)]; r != nil && r.stopped == 0 {
		r.stopped = now + simStopDelay
	}
	return true
}

func (w *simWorker) end(key string, reason EndReason, now time.Duration) {
	r := w.runs[key]
	delete(w.runs, key)
	w.n++
	w.highest[r.task.name] = max(w.highest[r.task.name], r.num)
	if r.spec().Checkpointed && reason == EndStopped {
		r.saved = w.checker.newCheckpoint(r.task)
	}
	w.ended = append(w.ended, EndedRow{Seq: w.n, Task: r.task.name, Run: r.num, Reason: reason, Checkpoint: r.saved})
	w.checker.ended(w, r, reason, w.n, now)
	if r.spec().Gang && reason != EndBroken {
		w.checker.breakGang(r, reason, now)
	}
}

// advance advances the worker's runs by dt.
func (w *simWorker) advance(now, dt time.Duration) {
	w.expireLease(now)
	for key, r := range w.runs {
		if w.runs[key] == nil {
			continue // ended with its gang
		}
		switch {
		case r.stopped != 0 && now >= r.stopped:
			w.end(key, EndStopped, now)
			continue
		case r.spec().Gang && !w.checker.gangPresent(r):
			if now-r.began > simGangTimeout {
				w.end(key, EndAlone, now)
			}
			continue
		}
		w.checkHarm(r, now)
		before := r.worked
		r.worked += dt * time.Duration(r.throttlePercent) / 100
		if r.spec().Checkpointed && r.worked/time.Second > before/time.Second {
			r.saved = w.checker.newCheckpoint(r.task)
		}
		if r.work > 0 && r.worked >= r.work {
			w.end(key, r.reason, now)
		}
	}
}

// checkHarm checks that best-effort tasks don't keep a serving task over its target for long while the worker is
// reachable.
func (w *simWorker) checkHarm(r *simRun, now time.Duration) {
	target := r.spec().TailTargetMS
	switch {
	case target == 0 || r.spec().BestEffort || w.partitioned(now) || w.load(r) <= target:
		r.harmedSince = 0
	case r.harmedSince == 0:
		r.harmedSince = now
	case now-r.harmedSince > simMaxHarm:
		w.checker.fail("HARM", "%s is over its target since %s at %s", r.task.name, r.harmedSince, w)
	}
}

// answer returns the worker's answer to a lease renewal, or false if the token is too low.
func (w *simWorker) answer(req RenewalRequest, token int64, now time.Duration) (RenewalReply, bool) {
	if w.rejectsToken(token) {
		return RenewalReply{}, false
	}
	w.expireLease(now)
	if req.SeenUpto > w.seen {
		w.checker.endsAcked(w, w.seen, req.SeenUpto)
		w.seen = req.SeenUpto
	}
	w.extend(req.DeadlineMS, now)
	a := RenewalReply{Incarnation: w.incarnation, ClockMS: w.clockMS(now)}
	for _, r := range w.runs {
		a.Running = append(a.Running, RunningRow{Task: r.task.name, Run: r.num, Checkpoint: r.saved, Percent: w.percent(r, now), Load: w.load(r)})
	}
	for _, e := range w.ended {
		if e.Seq > w.seen {
			a.Ended = append(a.Ended, e)
		}
	}
	return a, true
}

func (w *simWorker) percent(r *simRun, now time.Duration) int64 {
	if r.spec().LongRunning && now-r.began < 300*time.Millisecond {
		return 50
	}
	return 100
}

// load returns the tail latency of a serving task, which best-effort tasks on the same worker increase.
func (w *simWorker) load(r *simRun) int64 {
	if r.spec().TailTargetMS == 0 {
		return r.spec().Need.CPU
	}
	tail := r.spec().TailTargetMS / 2
	for _, other := range w.runs {
		if other.spec().BestEffort {
			tail += r.spec().TailTargetMS * other.throttlePercent / 200
		}
	}
	return tail
}

func (w *simWorker) String() string {
	if w == nil {
		return "no worker"
	}
	return fmt.Sprintf("%s#%d", w.info.ID, w.incarnation)
}
