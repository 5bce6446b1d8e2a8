package cluster

import (
	"context"
	"errors"
	"fmt"
	"time"

	"samphirepoint/engine"
	"samphirepoint/owner"
)

func (w *simWorker) clockMS() int64 { return w.clockStartMS + time.Since(w.born).Milliseconds() }

// errWorkerStarting reports that a worker that is being started again doesn't answer yet.
var errWorkerStarting = errors.New("the worker is being started again")

// checkCall checks the caller's token and ends all runs if the lease has expired. The caller must hold mu.
func (p *simPlatform) checkCall(id string, token int64) (*simWorker, error) {
	w := p.workers[id]
	if w == nil || w.gone {
		return nil, owner.ErrIncarnationMismatch
	}
	if time.Now().Before(w.born) {
		return nil, errWorkerStarting
	}
	p.expireLease(w)
	if token < w.token {
		return nil, owner.ErrFenced
	}
	w.token = token
	return w, nil
}

// extendLease extends a worker's lease up to a deadline on its clock, but by no more than the longest lease.
func (w *simWorker) extendLease(deadlineMS int64) {
	w.leaseMS = max(w.leaseMS, min(deadlineMS, w.clockMS()+engine.DefaultOptions().MaxLease.Milliseconds()))
}

func (p *simPlatform) expireLease(w *simWorker) {
	if w.leaseMS == 0 || w.clockMS() <= w.leaseMS {
		return
	}
	for task, run := range w.running {
		p.end(w, task, run, engine.EndLeaseExpired)
	}
	for _, e := range w.ended {
		e.void = e.void || e.Seq > w.ackedUpTo
	}
}

func (p *simPlatform) end(w *simWorker, task string, run int64, reason engine.EndReason) {
	t := p.tasks[task]
	delete(w.running, task)
	w.highestRun[task] = max(w.highestRun[task], run)
	e := &simEnd{worker: w, EndedRow: engine.EndedRow{Seq: int64(len(w.ended) + 1), Task: task, Run: run, Reason: reason}}
	w.ended = append(w.ended, e)
	t.runningOn = nil
	if reason == engine.EndDone {
		t.doneEnds = append(t.doneEnds, e)
	}
	t.note(p, "run %d ends %s at %s", run, reason, w.info.ID)
	close(w.changed)
	w.changed = make(chan struct{})
}

func (t *simTask) note(p *simPlatform, format string, args ...any) {
	t.history = append(t.history, time.Since(p.began).String()+" "+fmt.Sprintf(format, args...))
}

// RenewLease implements owner.Workers.
func (a *simAccess) RenewLease(ctx context.Context, to engine.Target, renewal owner.LeaseRenewal) (engine.RenewalReply, error) {
	var reply engine.RenewalReply
	var err error
	if !a.remoteTo(ctx, to.ID, func() { reply, err = a.hold(to, renewal) }) {
		return engine.RenewalReply{}, errNoResponse()
	}
	return reply, err
}

func (p *simPlatform) hold(to engine.Target, renewal owner.LeaseRenewal) (engine.RenewalReply, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w, err := p.checkCall(to.ID, to.Token)
	if err != nil {
		return engine.RenewalReply{}, err
	}
	w.extendLease(renewal.DeadlineMS)
	p.acknowledge(w, renewal.AckedUpTo)
	if renewal.Wait > 0 && int64(len(w.ended)) == w.ackedUpTo {
		changed := w.changed
		p.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(renewal.Wait):
		}
		p.mu.Lock()
		if p.workers[to.ID] != w {
			return engine.RenewalReply{}, errNoResponse() // It was started again.
		}
		if w.gone {
			return engine.RenewalReply{}, owner.ErrIncarnationMismatch
		}
	}
	a := engine.RenewalReply{Incarnation: w.born.UnixMilli(), ClockMS: w.clockMS()}
	for task, run := range w.running {
		a.Running = append(a.Running, engine.RunningRow{Task: task, Run: run, Percent: 100})
	}
	for _, e := range w.ended[w.ackedUpTo:] {
		e.listed = true
		a.Ended = append(a.Ended, e.EndedRow)
	}
	return a, nil
}

// acknowledge forgets a worker's ends up to the given number.
func (p *simPlatform) acknowledge(w *simWorker, upTo int64) {
	for ; w.ackedUpTo < min(upTo, int64(len(w.ended))); w.ackedUpTo++ {
		if e := w.ended[w.ackedUpTo]; !e.listed {
			p.tasks[e.Task].note(p, "the end of run %d at %s is acknowledged before it is listed", e.Run, w.info.ID)
		}
	}
}

// Start implements owner.Workers.
func (a *simAccess) Start(ctx context.Context, o engine.Order) (engine.StartAnswer, error) {
	var answer engine.StartAnswer
	var err error
	sentAt := time.Now()
	if !a.remoteTo(ctx, o.Worker.ID, func() { answer, err = a.start(o, a.daemon, sentAt) }) {
		return engine.StartAnswer{Outcome: engine.StartUnknown}, nil
	}
	return answer, err
}

func (p *simPlatform) start(o engine.Order, daemon string, sentAt time.Time) (engine.StartAnswer, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w, err := p.checkCall(o.Worker.ID, o.Worker.Token)
	switch {
	case errors.Is(err, errWorkerStarting):
		return engine.StartAnswer{Outcome: engine.StartUnknown}, nil
	case err != nil:
		return engine.StartAnswer{Outcome: engine.StartRejected}, err
	}
	task := o.Task.String()
	switch {
	case w.running[task] == o.Run:
		return engine.StartAnswer{Outcome: engine.StartAccepted, ClockMS: w.clockMS()}, nil
	case o.DeadlineMS <= w.clockMS():
		return engine.StartAnswer{Outcome: engine.StartRejected, Reason: engine.ReasonDeadlinePassed, ClockMS: w.clockMS()}, nil
	case o.Run <= w.highestRun[task]:
		w.extendLease(o.DeadlineMS)
		return engine.StartAnswer{Outcome: engine.StartRejected, Reason: engine.ReasonStaleRun, ClockMS: w.clockMS()}, nil
	}
	t := p.tasks[task]
	if t == nil {
		t = &simTask{}
		p.tasks[task] = t
	}
	t.note(p, "run %d starts at %s by %s with token %d, sent %s before", o.Run, w.info.ID, daemon, o.Worker.Token, time.Since(sentAt))
	p.checkStart(task, t)
	p.checkCapacity(w, o.Task)
	if w.info.Draining && time.Since(w.drainingSince) > simNoticeTime && p.inTouch(daemon) && time.Since(sentAt) < simLateOrder {
		p.violate("DRAIN: %s starts at %s, %s after its report that it drains: %q", task, w.info.ID, time.Since(w.drainingSince), t.history)
	}
	w.extendLease(o.DeadlineMS)
	w.running[task] = o.Run
	t.runningOn, t.run = w, o.Run
	length, reason := time.Duration(100+p.rnd.IntN(500))*time.Millisecond, engine.EndDone
	if p.rnd.IntN(20) == 0 {
		length *= 6
	}
	if p.longRuns && p.rnd.IntN(simLongRunShare) == 0 {
		length = simShortestLongRun + time.Duration(p.rnd.IntN(int(simLongestRun-simShortestLongRun)))
	}
	if p.rnd.IntN(12) == 0 {
		reason = engine.EndFailed
	}
	if !p.lasting[o.Task.Job] {
		time.AfterFunc(length, func() { p.finish(w, task, o.Run, reason) })
	}
	return engine.StartAnswer{Outcome: engine.StartAccepted, ClockMS: w.clockMS()}, nil
}

// checkStart checks the rule TWICE.
func (p *simPlatform) checkStart(task string, t *simTask) {
	if t.runningOn != nil {
		p.expireLease(t.runningOn)
	}
	if t.runningOn != nil {
		p.violate("TWICE: %s starts while it runs: %q", task, t.history)
	}
	for _, e := range t.doneEnds {
		p.expireLease(e.worker)
		if !e.void {
			p.violate("TWICE: %s starts although it is done: %q", task, t.history)
		}
	}
}

// checkCapacity checks the rule LIMIT.
func (p *simPlatform) checkCapacity(w *simWorker, starting engine.TaskID) {
	used := p.cpuOf(starting.Job)
	for task := range w.running {
		id, _ := engine.ParseTaskID(task)
		used += p.cpuOf(id.Job)
	}
	if used > simWorkerCPU {
		p.violate("LIMIT: %s starts at %s, which then runs %d tasks with a CPU request of %d", starting, w.info.ID, len(w.running)+1, used)
	}
}

func (p *simPlatform) cpuOf(job string) int64 {
	if cpu, ok := p.cpu[job]; ok {
		return cpu
	}
	return simTaskCPU
}

// finish ends a run that still runs after its time.
func (p *simPlatform) finish(w *simWorker, task string, run int64, reason engine.EndReason) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w.gone {
		return
	}
	p.expireLease(w)
	if w.running[task] == run {
		p.end(w, task, run, reason)
	}
}

// Stop implements owner.Workers.
func (a *simAccess) Stop(ctx context.Context, o engine.Order) error {
	var err error
	if !a.remoteTo(ctx, o.Worker.ID, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		var w *simWorker
		if w, err = a.checkCall(o.Worker.ID, o.Worker.Token); err != nil {
			return
		}
		task := o.Task.String()
		w.highestRun[task] = max(w.highestRun[task], o.Run)
		if w.running[task] == o.Run {
			a.end(w, task, o.Run, engine.EndStopped)
		}
	}) {
		return errNoResponse()
	}
	return err
}

// Throttle implements owner.Workers.
func (a *simAccess) Throttle(context.Context, engine.Order) error { return nil }

// Healthy implements owner.Workers.
func (a *simAccess) Healthy(context.Context, engine.Target, string) (bool, error) { return true, nil }
