package engine

import "time"

// StartOutcome is what is known about the outcome of a start order.
type StartOutcome uint8

// The outcomes of a start order.
const (
	StartAccepted StartOutcome = iota
	// StartRejected: the worker did nothing for this order, for the given reason.
	StartRejected
	// StartNotSent: the order did not reach the worker, or the worker was too busy to handle it.
	StartNotSent
	// StartUnknown: the order may have been executed, or may yet be.
	StartUnknown
)

// The rejection reasons that the engine handles.
const (
	ReasonStaleRun       = "old"
	ReasonDeadlinePassed = "late"
	ReasonNoCapacity     = "room"
	ReasonInvalidTicket  = "ticket"
)

const (
	// rejectionBackoff keeps a task from placement after a rejection.
	rejectionBackoff = 60 * time.Millisecond
	// workerBackoff keeps new starts off a worker that had no capacity for one, was not reached or left one unanswered.
	workerBackoff = 4 * rejectionBackoff
)

// StartAnswer is what is known of the outcome of a start order.
type StartAnswer struct {
	Outcome StartOutcome
	// Reason is that of a rejection.
	Reason string
	// ClockMS is the reading of the worker's clock, 0 if it isn't known.
	ClockMS int64
}

// StartAnswered handles the outcome of a start order. That of an order of a former session says nothing of the present incarnation; the first
// answer of the session does.
func (p *Pool) StartAnswered(o Order, a StartAnswer, c Clock) {
	r := p.findRun(o)
	if r == nil || r.phase != phaseStarting {
		return
	}
	out, reason := a.Outcome, a.Reason
	switch {
	case r.Worker.token != o.Worker.Token:
		r.outcomeUnknown = true
		p.countPending(r, false)
	case a.ClockMS != 0 && !r.Worker.showsSameClock(a.ClockMS, r.orderedAt, c):
		r.outcomeUnknown = true
		p.countPending(r, false)
		p.beginSession(r.Worker, "another clock reads "+itoa(a.ClockMS)+" ms", c)
	case out == StartAccepted:
		if a.ClockMS != 0 {
			r.confirmedToken = r.Worker.token
		}
		p.confirmRun(r, c)
	case out == StartUnknown, r.attempts > 1 && out == StartNotSent:
		r.outcomeUnknown, r.unansweredAt = true, r.orderedAt
		p.countPending(r, false)
		p.backOff(r.Worker, c)
		r.Worker.noteStart(out, c)
	case r.attempts > 1:
		// An earlier order for this run may have been executed, or may yet be; a stop order prevents a late start.
		p.stop(r, c)
	default:
		p.handleRejection(r, out, reason, c)
	}
}

func (p *Pool) handleRejection(r *Run, out StartOutcome, reason string, c Clock) {
	p.recordDecision("start-rejected", r.Task.id.String(), r.Num, r.Worker.ID, reason)
	w, t := r.Worker, r.Task
	w.noteStart(out, c)
	p.dropRun(r)
	t.notBefore = c.Now + rejectionBackoff
	switch {
	case reason == ReasonNoCapacity || out == StartNotSent:
		w.backoffUntil = c.Now + workerBackoff
	case reason == ReasonInvalidTicket:
		t.step.expireTicket(w, r.ticket, c)
	}
	p.markDirty(t.job())
	p.stopGang(t, c)
}

// backOff delays new starts on a worker that left an order unanswered; an unresponsive worker gets none until it
// answers again.
func (p *Pool) backOff(w *Worker, c Clock) {
	if !w.unresponsive {
		w.backoffUntil = max(w.backoffUntil, c.Now+workerBackoff)
	}
}

// StopAnswered handles the answer to a stop order; done is false if the worker did not confirm it.
func (p *Pool) StopAnswered(o Order, done bool, c Clock) {
	r := p.findRun(o)
	if r == nil || r.phase != phaseStopping || !done || r.Worker.token != o.Worker.Token {
		return
	}
	r.stopAcked = true
	r.stopAckedAt = c.Now
}

// AwaitsStart reports whether the run of a start order still waits for its worker's answer, and the order is sent now. A run none of whose orders
// was sent is dropped; if an earlier order for it may be executed, it is stopped.
func (p *Pool) AwaitsStart(o Order, c Clock) bool {
	r := p.findRun(o)
	switch {
	case r == nil || r.phase != phaseStarting:
		return false
	case r.Worker.token == o.Worker.Token && p.schedulable(r.Worker, c):
		r.orderedAt, r.Worker.grantedAt = c.Now, c.Now
		return true
	case r.attempts == 1:
		p.withdraw(r, "worker accepts no new work", c)
	case r.Worker.token == o.Worker.Token:
		p.stop(r, c)
	}
	return false
}

func (p *Pool) findRun(o Order) *Run {
	w := p.workers[o.Worker.ID]
	if w == nil {
		return nil
	}
	return w.runs[runID{task: o.Task, run: o.Run}]
}
