package engine

import "time"

// lease returns the lease deadline to send now and records it. A worker whose clock isn't known gets none, nor does an unresponsive one: any
// call may still reach it, so its runs could otherwise never be considered over, and it may have started again, with another clock. No
// lease is extended beyond what ClaimConfirmed allows.
func (p *Pool) lease(w *Worker, c Clock) int64 {
	if !w.contacted || w.unresponsive {
		return 0
	}
	w.grantedAt = c.Now
	d := w.clockMS + (c.Now - w.clockAt).Milliseconds() + p.grantableLease(c).Milliseconds()
	w.deadlineMS = max(w.deadlineMS, d)
	return w.deadlineMS
}

// ClaimConfirmed records that the pool had no other owner at the given time. Leases end at most Options.MaxLease after the latest such time,
// whatever this owner learns or fails to learn since: a successor that can't reach a worker waits that long from its claim on, and then
// starts the worker's tasks again.
func (p *Pool) ClaimConfirmed(at Clock) {
	if at.Now >= p.confirmedAt.Now {
		p.confirmedAt, p.confirmed = at, true
	}
}

// ClaimAge returns the time since the pool was last known to have no other owner.
func (p *Pool) ClaimAge(c Clock) time.Duration { return c.Since(p.confirmedAt) }

// grantableLease returns the length of a lease that may be granted now, which is negative once none may be.
func (p *Pool) grantableLease(c Clock) time.Duration {
	if !p.confirmed {
		return p.options.Lease
	}
	return min(p.options.Lease, p.options.MaxLease-p.ClaimAge(c))
}

// AwaitLeasesFrom makes the time for which leases of former owners can still be in force begin at the given time, if that is later than the
// beginning of this ownership.
func (p *Pool) AwaitLeasesFrom(from time.Duration) { p.leasesFrom = max(p.leasesFrom, from) }
