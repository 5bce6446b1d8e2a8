package engine

import (
	"time"
)

// workerRestarted ends all runs of the worker's former incarnation. Orders for that incarnation may have reached the
// new one: runs that the new one lists, or that were confirmed after the renewal was sent, exist there, with the
// longest lease that a worker accepts. If an order was repeated, an earlier one for the same run may yet be executed, unless the new
// incarnation has executed a stop.
func (p *Pool) workerRestarted(w *Worker, a RenewalReply, sentAt time.Duration, c Clock) {
	if w.condition != nil {
		w.condition.Restarted(c.Now)
	}
	listed := a.runIDs()
	for _, r := range w.allRuns() {
		former := r.phase == phaseInherited || (r.phase != phaseStarting && r.phase != phaseDecided && r.confirmedAt < sentAt)
		switch {
		case former && !listed[r.id()] && r.attempts > 1:
			r.phase = phaseRunning // A stop that the former incarnation has confirmed doesn't count.
			p.stop(r, c)
		case former && !listed[r.id()]:
			p.loseRun(r, c)
		case r.phase == phaseStarting:
			p.stop(r, c) // its deadline is on the former incarnation's clock
		}
	}
	w.lastEnd, w.ackedUpTo, w.pendingAcks = 0, 0, nil
	w.clockMS, w.clockAt, w.deadlineMS = a.ClockMS, c.Now, 0
	// Orders of this owner for the former incarnation may still be executed.
	w.foreignDeadlineMS = max(a.ClockMS+p.maxForeignLease(a.ClockMS).Milliseconds(), inheritedLeaseMaxAge.Milliseconds())
	p.recordDecision("worker-reborn", "", 0, w.ID, itoa(a.Incarnation)+", "+w.describeLease(c))
}

// inheritedLeaseMaxAge is the age up to which a worker may hold a lease from an order that was sent to its former
// incarnation: on the new clock the order's deadline is far in the future, so the worker caps it at the longest lease.
// The value covers the time until the owner learns of the restart, the longest delay of an order, and that lease.
const inheritedLeaseMaxAge = 24 * time.Second

// maxForeignLease bounds the lease that others can have granted to a worker of the given age, which has answered this owner. From then on it
// rejects their orders.
func (p *Pool) maxForeignLease(ageMS int64) time.Duration {
	if ageMS < inheritedLeaseMaxAge.Milliseconds() {
		return p.options.MaxLease
	}
	return p.options.Lease
}

// runIDs returns the IDs of the runs that the answer lists as running or ended.
func (a *RenewalReply) runIDs() map[runID]bool {
	ids := map[runID]bool{}
	add := func(task string, run int64) {
		if id, err := ParseTaskID(task); err == nil {
			ids[runID{task: id, run: run}] = true
		}
	}
	for _, row := range a.Running {
		add(row.Task, row.Run)
	}
	for _, row := range a.Ended {
		add(row.Task, row.Run)
	}
	return ids
}
