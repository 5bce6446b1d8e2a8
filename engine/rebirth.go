package engine

import (
	"time"
)

// reborn ends all runs that the worker's former life had. Orders that were meant for that life may have reached the new one:
// what the new life lists, or was confirmed after the hold was sent, is there, under the longest lease that a worker grants.
func (p *Pool) reborn(w *Worker, a RenewalReply, sentAt time.Duration, c Clock) {
	p.note("worker-reborn", "", 0, w.ID, itoa(a.Incarnation))
	listed := a.keys()
	for _, r := range w.list() {
		former := r.phase == phaseInherited || (r.phase != phaseStarting && r.phase != phaseIntent && r.confirmedAt < sentAt)
		switch {
		case former && !listed[runKey(r.Task.id, r.Num)]:
			p.lose(r, c)
		case r.phase == phaseStarting:
			p.stop(r, c) // its deadline is on the former life's clock
		}
	}
	w.ends, w.seenUpto, w.pending = 0, 0, nil
	w.clockMS, w.clockAt, w.deadlineMS = a.ClockMS, c.Now, 0
	w.othersMS = a.ClockMS + p.grantedByOthers(a.ClockMS).Milliseconds()
}

// youngLife is the age up to which a worker may hold a lease by an order that was sent to its former life: its deadline is far
// away on the new life's clock, so that it is cut to the longest lease. It counts the time until the owner learns of
// the new life, the longest delay of an order, and that lease.
const youngLife = 24 * time.Second

// grantedByOthers bounds the lease that others can have granted to a worker of an age.
func (p *Pool) grantedByOthers(ageMS int64) time.Duration {
	if ageMS < youngLife.Milliseconds() {
		return p.opt.MaxLease
	}
	return p.opt.Lease
}

// keys are the runs that the answer lists as running or ended.
func (a *RenewalReply) keys() map[string]bool {
	keys := map[string]bool{}
	for _, row := range a.Running {
		keys[listedKey(row.Task, row.Run)] = true
	}
	for _, row := range a.Ended {
		keys[listedKey(row.Task, row.Run)] = true
	}
	return keys
}
