package engine

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	simStop     = 200 * time.Millisecond
	simGangWait = 3 * time.Second
	simHoldMax  = 10 * time.Second
	simHarm     = 4 * time.Second
)

// simRun is a run on a simulated worker.
type simRun struct {
	task    *simTask
	num     int64
	began   time.Duration
	work    time.Duration // how long it works, 0 for tasks that last
	worked  time.Duration
	how     EndReason
	saved   string
	pace    int64
	stopped time.Duration // when the stop takes effect, 0 if none was ordered
	// harmedSince is since when a serving task has been over its target through tasks that fill, 0 if it is not.
	harmedSince time.Duration
}

func (r *simRun) spec() *Step { return r.task.spec }

// simWorker behaves as the platform's pages say of a worker.
type simWorker struct {
	info    WorkerInfo
	guards  bool
	born    int64
	bornAt  time.Duration
	rate    float64 // of its steady clock
	token   int64
	lease   int64 // on its clock
	runs    map[string]*simRun
	highest map[string]int64 // the highest run of a task that was stopped or has ended here
	ended   []EndedRow
	n, seen int64
	// cutUntil is until when it can't be reached.
	cutUntil time.Duration
	judge    *judge
}

func (w *simWorker) clockMS(now time.Duration) int64 {
	return int64(float64((now - w.bornAt).Milliseconds()) * w.rate)
}

func (w *simWorker) cut(now time.Duration) bool { return now < w.cutUntil }

// restart begins a new life under the same id: nothing of before is known.
func (w *simWorker) restart(now time.Duration) {
	w.judge.lifeEnded(w)
	w.born++
	w.bornAt, w.token, w.lease, w.n, w.seen = now, 0, 0, 0, 0
	w.runs, w.highest, w.ended = map[string]*simRun{}, map[string]int64{}, nil
}

func (w *simWorker) used() Resources {
	var u Resources
	for _, r := range w.runs {
		u = u.Add(r.spec().Occupies())
	}
	return u
}

// fenced raises the token or reports that it is too low.
func (w *simWorker) fenced(token int64) bool {
	if token < w.token {
		return true
	}
	w.token = token
	return false
}

func (w *simWorker) extend(deadlineMS int64, now time.Duration) {
	w.lapse(now)
	w.lease = max(w.lease, min(deadlineMS, w.clockMS(now)+simHoldMax.Milliseconds()))
}

// lapse ends all runs once the lease is over. Ends that were not noted before don't count as noted later.
func (w *simWorker) lapse(now time.Duration) {
	if w.lease == 0 || w.clockMS(now) <= w.lease {
		return
	}
	w.judge.leaseLapsed(w)
	for key := range w.runs {
		if w.runs[key] != nil {
			w.end(key, EndLapsed, now)
		}
	}
}

// start carries out a start order and returns the reason of a rejection, or "".
func (w *simWorker) start(o Order, t *simTask, token int64, now time.Duration, rnd *rand.Rand) string {
	if w.fenced(token) {
		return "fence"
	}
	key := runKey(o.Task, o.Run)
	if w.runs[key] != nil {
		return ""
	}
	switch {
	case o.DeadlineMS <= w.clockMS(now):
		return ReasonLate
	case w.highest[t.name] >= o.Run:
		w.extend(o.DeadlineMS, now)
		return ReasonOld
	case w.guards && !w.info.Capacity.Sub(w.used()).Covers(t.spec.Occupies()):
		w.extend(o.DeadlineMS, now)
		return ReasonRoom
	case t.job.advised && !t.job.ticketHolds(o.Ticket, w, now):
		return ReasonTicket
	}
	w.extend(o.DeadlineMS, now)
	r := &simRun{task: t, num: o.Run, began: now, how: EndDone, saved: o.Checkpoint, pace: 100}
	if !t.spec.LongRunning {
		r.work = time.Duration(100+rnd.IntN(900)) * time.Millisecond
	}
	if rnd.Float64() < t.job.failing {
		r.how, r.work = EndFailed, time.Duration(50+rnd.IntN(300))*time.Millisecond
	}
	w.runs[key] = r
	w.judge.started(w, r, now)
	return ""
}

func (w *simWorker) stop(o Order, token int64, now time.Duration) bool {
	if w.fenced(token) {
		return false
	}
	w.highest[o.Task.String()] = max(w.highest[o.Task.String()], o.Run)
	if r := w.runs[runKey(o.Task, o.Run)]; r != nil && r.stopped == 0 {
		r.stopped = now + simStop
	}
	return true
}

func (w *simWorker) end(key string, how EndReason, now time.Duration) {
	r := w.runs[key]
	delete(w.runs, key)
	w.n++
	w.highest[r.task.name] = max(w.highest[r.task.name], r.num)
	if r.spec().Checkpointed && how == EndStopped {
		r.saved = w.judge.newCheckpoint(r.task)
	}
	w.ended = append(w.ended, EndedRow{Seq: w.n, Task: r.task.name, Run: r.num, Reason: how, Checkpoint: r.saved})
	w.judge.ended(w, r, how, w.n, now)
	if r.spec().Gang && how != EndBroken {
		w.judge.breakGang(r, how, now)
	}
}

// age lets dt pass on the worker.
func (w *simWorker) age(now, dt time.Duration) {
	w.lapse(now)
	for key, r := range w.runs {
		if w.runs[key] == nil {
			continue // ended with its gang
		}
		switch {
		case r.stopped != 0 && now >= r.stopped:
			w.end(key, EndStopped, now)
			continue
		case r.spec().Gang && !w.judge.gangPresent(r):
			if now-r.began > simGangWait {
				w.end(key, EndAlone, now)
			}
			continue
		}
		w.judgeHarm(r, now)
		before := r.worked
		r.worked += dt * time.Duration(r.pace) / 100
		if r.spec().Checkpointed && r.worked/time.Second > before/time.Second {
			r.saved = w.judge.newCheckpoint(r.task)
		}
		if r.work > 0 && r.worked >= r.work {
			w.end(key, r.how, now)
		}
	}
}

// judgeHarm checks that a serving task that can be seen is not over its target for long through what fills beside it.
func (w *simWorker) judgeHarm(r *simRun, now time.Duration) {
	target := r.spec().TailTargetMS
	switch {
	case target == 0 || r.spec().BestEffort || w.cut(now) || w.load(r) <= target:
		r.harmedSince = 0
	case r.harmedSince == 0:
		r.harmedSince = now
	case now-r.harmedSince > simHarm:
		w.judge.fail("HARM", "%s is over its target since %s at %s", r.task.name, r.harmedSince, w)
	}
}

// answer is what the worker says on a hold, or false if the token is too low.
func (w *simWorker) answer(req RenewalRequest, token int64, now time.Duration) (RenewalReply, bool) {
	if w.fenced(token) {
		return RenewalReply{}, false
	}
	w.lapse(now)
	if req.SeenUpto > w.seen {
		w.judge.noted(w, w.seen, req.SeenUpto)
		w.seen = req.SeenUpto
	}
	w.extend(req.DeadlineMS, now)
	a := RenewalReply{Incarnation: w.born, ClockMS: w.clockMS(now)}
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

// load is the tail of a serving task, which the tasks that fill beside it raise.
func (w *simWorker) load(r *simRun) int64 {
	if r.spec().TailTargetMS == 0 {
		return r.spec().Need.CPU
	}
	tail := r.spec().TailTargetMS / 2
	for _, other := range w.runs {
		if other.spec().BestEffort {
			tail += r.spec().TailTargetMS * other.pace / 200
		}
	}
	return tail
}

func (w *simWorker) String() string {
	if w == nil {
		return "nobody"
	}
	return fmt.Sprintf("%s#%d", w.info.ID, w.born)
}
