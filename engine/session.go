package engine

import (
	"fmt"
	"time"
)

// TokensPerTerm is the number of fencing tokens of one ownership. Claims of a pool raise its token by as much, so that all tokens of an ownership are
// higher than those of the ones before.
const TokensPerTerm = 1 << 20

const (
	// maxClockRateRatio bounds how much slower a worker's monotonic clock may run.
	maxClockRateRatio = 1.022
	// leaseExpiryMargin allows for the transmission of the last answer.
	leaseExpiryMargin = 100 * time.Millisecond
	// maxCallDelay bounds how long after it was sent an unanswered call may be executed.
	maxCallDelay = 12 * time.Second
	// supersededOrders is how long after its claim an owner allows for orders of former owners, which may not know of the claim yet.
	supersededOrders = 2 * time.Second
	// absenceDelay bounds the time from the list of instances that lacks a worker until its owner hears of it, and the time of a call. Orders sent
	// before have found no later incarnation.
	absenceDelay = 2500 * time.Millisecond
	// clockTolerance is the deviation of a worker's clock from the expected reading up to which it counts as the same clock.
	clockTolerance = 500 * time.Millisecond
)

// session is what an owner knows of one incarnation of a worker, from its answers to calls with one fencing token.
//
// A worker that starts again under its ID accepts calls that were meant for its former incarnation: starts, stops, and renewals whose deadlines
// and acknowledgements belong to the former clock and the former ends. Each session has a higher token than the ones before. Once the worker has
// answered a renewal with it, it rejects all earlier calls; what they have done before shows in that answer, but for their lease, which is
// at most the longest one.
type session struct {
	token int64
	// contacted is set by the first lease renewal that was answered with the session's token.
	contacted bool
	// incarnation is that of the worker, or 0 while it isn't known.
	incarnation int64
	// clockMS is the last known reading of the worker's clock, which starts anew at any value with each incarnation.
	clockMS int64
	clockAt time.Duration
	// clockSince is when the call was sent whose answer had that reading.
	clockSince time.Duration
	// deadlineMS is the latest lease deadline that was sent, on the worker's clock.
	deadlineMS int64
	// othersUntil is until when leases may be in force that calls with lower tokens have granted.
	othersUntil time.Duration
	// orphans is the number of runs in the worker's last list that this owner did not order; the capacity they use is
	// unknown.
	orphans     int
	lastEnd     int64
	pendingAcks []pendingAck
	// ackedUpTo is up to which end the worker may discard its ends, discardedUpTo up to which it has been told to in an answered call.
	ackedUpTo, discardedUpTo int64
	// acking is set while a call is on its way that makes the worker discard its ends up to sentAck.
	acking  bool
	sentAck int64
}

// firstToken returns the token for a worker that this ownership has sent no orders yet, or not since the worker was forgotten.
func (p *Pool) firstToken() int64 { return p.Token + p.sessions }

// nextToken returns a token that is higher than all that this ownership has used.
func (p *Pool) nextToken() int64 {
	p.sessions++
	return p.Token + p.sessions
}

// TokensUsedUp reports whether this ownership is to end for want of fencing tokens. The rest is for what happens until it does.
func (p *Pool) TokensUsedUp() bool { return p.sessions >= TokensPerTerm/2 }

// Supersedes reports whether this owner has replaced the token of a call itself, so that the call's rejection says nothing of other owners.
func (p *Pool) Supersedes(to Target) bool {
	w := p.workers[to.ID]
	return w == nil || w.token > to.Token
}

// beginSession begins a session with a worker that may have started again. Runs whose order was not sent are dropped: the worker may be of another
// kind now.
func (p *Pool) beginSession(w *Worker, reason string, c Clock) {
	if w.contacted {
		w.formerUntil = max(w.formerUntil, w.leaseEnd())
	}
	w.session = session{token: p.nextToken()}
	w.reportedGone = false
	p.recordDecision("worker-session", "", 0, w.ID, fmt.Sprintf("%s, token %d", reason, w.token))
	for _, r := range w.allRuns() {
		if r.phase == phaseDecided {
			p.withdraw(r, "worker has another incarnation", c)
		}
	}
	p.placementNeeded = true
}

// contact records the first answer of a session.
func (p *Pool) contact(w *Worker, a RenewalReply, sentAt time.Duration, c Clock) {
	if w.latest != 0 && a.Incarnation > w.latest && w.condition != nil {
		w.condition.Restarted(c.Now)
	}
	w.gone = false
	w.contacted, w.incarnation, w.latest = true, a.Incarnation, max(w.latest, a.Incarnation)
	w.clockMS, w.clockAt, w.clockSince = a.ClockMS, c.Now, sentAt
	w.othersUntil = c.Now + p.longestLease()
	p.recordDecision("worker-reached", "", 0, w.ID, w.describeLease(c))
	p.placementNeeded = true
}

// restarted handles the answer of another incarnation than the session's: the runs that the session's one had confirmed are over.
func (p *Pool) restarted(w *Worker, incarnation int64, c Clock) {
	p.recordDecision("worker-reborn", "", 0, w.ID, itoa(incarnation)+", "+w.describeLease(c))
	for _, r := range w.allRuns() {
		if r.confirmedToken == w.token && !r.mayReachNext(c) {
			p.loseRun(r, c)
		}
	}
	p.beginSession(w, "restarted", c)
}

// beginAck returns up to which end the next renewal makes the worker discard its ends, 0 if it doesn't. soon is set if this one or the next does.
//
// The next incarnation may execute the renewal, and discard ends that nobody has seen. So there must be no start order that it may have executed
// as well: none is open when the renewal is sent, and none is sent until it is answered.
func (w *Worker) beginAck() (upTo int64, soon bool) {
	if !w.contacted || w.unresponsive || w.ackedUpTo <= w.discardedUpTo {
		return 0, false
	}
	if open, unanswered := w.openOrders(); open {
		return 0, !unanswered
	}
	w.acking, w.sentAck = true, w.ackedUpTo
	return w.ackedUpTo, true
}

// endAck ends the time without start orders, and sends those that have waited.
func (p *Pool) endAck(w *Worker, c Clock) {
	if !w.acking {
		return
	}
	w.acking = false
	for _, r := range w.allRuns() {
		if r.phase == phaseDecided && r.rev <= r.Task.job().committed {
			p.sendOrWithdraw(r, c)
		}
	}
}

// openOrders reports whether a start order of the session was sent for a run that the session's incarnation is not known to have, and whether
// one of these was left unanswered.
func (w *Worker) openOrders() (open, unanswered bool) {
	for _, r := range w.runs {
		if r.sentToken == w.token && r.confirmedToken != w.token {
			open, unanswered = true, unanswered || r.outcomeUnknown
		}
	}
	return open, unanswered
}

// longestLease returns the length of the longest lease that a worker grants, on this owner's clock.
func (p *Pool) longestLease() time.Duration {
	return time.Duration(float64(p.options.MaxLease) * maxClockRateRatio)
}

// leaseEnd returns the time from which no lease of the session's incarnation is in force.
func (w *Worker) leaseEnd() time.Duration {
	remaining := time.Duration(float64(w.deadlineMS-w.clockMS)*maxClockRateRatio) * time.Millisecond
	return max(w.othersUntil, w.clockAt+remaining) + leaseExpiryMargin
}

// runEnd returns the time from which a run that its worker doesn't report is certainly over.
func (p *Pool) runEnd(r *Run) time.Duration {
	w := r.Worker
	end := w.formerUntil
	if w.contacted {
		end = max(end, w.leaseEnd())
	}
	switch {
	case r.sentToken == 0:
		// A former owner has ordered it, perhaps without knowing the worker's present incarnation.
		return max(end, p.leasesFrom+supersededOrders+p.longestLease()+leaseExpiryMargin)
	case r.confirmedToken == 0:
		// The order may reach a later incarnation, and so may any call that extends its lease.
		return max(end, max(r.orderedAt, w.grantedAt)+maxCallDelay+p.longestLease()+leaseExpiryMargin)
	case r.unansweredAt != 0:
		return max(end, r.unansweredAt+maxCallDelay+p.longestLease()+leaseExpiryMargin)
	}
	return end
}

// mayReachNext reports whether the worker's next incarnation may have a start order of the run: no incarnation is known to have the run, or an
// order that was left unanswered, and then repeated, may still be on its way.
func (r *Run) mayReachNext(c Clock) bool {
	switch {
	case r.phase == phaseDecided:
		return false
	case r.confirmedToken == 0:
		return true
	}
	return r.unansweredAt != 0 && c.Now < r.unansweredAt+maxCallDelay
}

// showsSameClock reports whether a reading of the worker's clock, made between the given time and now, is one of the session's incarnation.
func (w *Worker) showsSameClock(readingMS int64, since time.Duration, c Clock) bool {
	reading := time.Duration(readingMS-w.clockMS) * time.Millisecond
	earliest := time.Duration(float64(since-w.clockAt) / maxClockRateRatio)
	return reading > earliest-clockTolerance && reading < c.Now-w.clockSince+clockTolerance
}

// describeLease says which incarnation this owner takes the worker for, and until when its leases are in force.
func (w *Worker) describeLease(c Clock) string {
	return fmt.Sprintf("token %d, incarnation %d, clock %d ms read %s ago, granted until %d ms, by others for %s",
		w.token, w.incarnation, w.clockMS, c.Now-w.clockAt, w.deadlineMS, max(0, w.othersUntil-c.Now))
}
