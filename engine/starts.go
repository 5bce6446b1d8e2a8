package engine

import (
	"time"
)

// StartOutcome is what is known of a start order.
type StartOutcome uint8

// The outcomes of a start order.
const (
	StartAccepted StartOutcome = iota
	// StartRejected: the worker did nothing for this order, for the reason given.
	StartRejected
	// StartNotSent: the order did not reach the worker, or it was too busy to do anything.
	StartNotSent
	// StartUnknown: the order may have been, or may yet be, carried out.
	StartUnknown
)

// The reasons that matter to the engine.
const (
	ReasonOld    = "old"
	ReasonLate   = "late"
	ReasonRoom   = "room"
	ReasonTicket = "ticket"
)

// rejectPause keeps a task away from placement after a rejection.
const rejectPause = 60 * time.Millisecond

// StartAnswered takes in the outcome of a start order.
func (p *Pool) StartAnswered(o Order, out StartOutcome, reason string, c Clock) {
	r := p.findRun(o)
	if r == nil || r.phase != phaseStarting {
		return
	}
	switch {
	case out == StartAccepted:
		p.confirm(r, c)
	case out == StartUnknown, r.attempts > 1 && out == StartNotSent:
		r.unknown = true
		p.suspect(r.Worker, c)
	case r.attempts > 1:
		// An earlier order for this run may have been carried out, or may yet be: a stop keeps it from that.
		p.stop(r, c)
	default:
		p.rejected(r, out, reason, c)
	}
}

func (p *Pool) rejected(r *Run, out StartOutcome, reason string, c Clock) {
	p.note("start-rejected", r.Task.id.String(), r.Num, r.Worker.ID, reason)
	w, t := r.Worker, r.Task
	p.dropRun(r)
	t.notBefore = c.Now + rejectPause
	switch {
	case reason == ReasonRoom || out == StartNotSent:
		w.backoff = c.Now + 4*rejectPause
	case reason == ReasonTicket:
		delete(t.step.tickets, w.ID)
	}
	p.touch(t.job())
	p.gangBroken(t, c)
}

// suspect keeps new starts off a worker that left an order unanswered, until it is heard again.
func (p *Pool) suspect(w *Worker, c Clock) {
	if !w.failing {
		w.backoff = max(w.backoff, c.Now+4*rejectPause)
	}
}

// StopAnswered takes in that a worker has carried out a stop.
func (p *Pool) StopAnswered(o Order, done bool, c Clock) {
	r := p.findRun(o)
	if r == nil || r.phase != phaseStopping || !done {
		return
	}
	r.stopDone = true
	r.stopDoneAt = c.Now
}

func (p *Pool) findRun(o Order) *Run {
	w := p.workers[o.Worker.ID]
	if w == nil {
		return nil
	}
	return w.runs[runKey(o.Task, o.Run)]
}
