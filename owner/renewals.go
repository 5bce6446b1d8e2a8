package owner

import (
	"errors"
	"time"

	"samphirepoint/engine"
	"samphirepoint/observe"
	"samphirepoint/sleep"
)

const (
	// renewalWait is how long a worker may wait for a run to end before it answers a lease renewal; idleRenewalWait applies while
	// the worker runs nothing.
	renewalWait     = time.Second
	idleRenewalWait = 1500 * time.Millisecond
	// renewalResponseTimeout is how long a worker may take to answer a lease renewal, on top of the requested wait.
	renewalResponseTimeout = 600 * time.Millisecond
	// renewalRetryDelay is the delay after a lease renewal without an answer.
	renewalRetryDelay = 150 * time.Millisecond
	// commitWaitTimeout is how long to wait, before the next lease renewal, for the store to commit the run ends that the last one
	// returned.
	commitWaitTimeout = 250 * time.Millisecond
	// endBatchDelay is the least delay after an answer with run ends, so that ends close to each other share a renewal.
	endBatchDelay = 12 * time.Millisecond
)

// renewer renews the lease of one worker.
type renewer struct {
	id string
	// next receives the next renewal; it is closed once the lease is no longer to be renewed.
	next chan engine.RenewalRequest
	// awaitsCommit is set while the next renewal waits until the ends that the worker returned are stored. Only the event loop
	// uses it.
	awaitsCommit bool
}

// startRenewers starts a renewal loop for each worker that has none.
func (o *Owner) startRenewers() {
	for _, t := range o.pool.Targets() {
		if o.renewers[t.ID] == nil {
			r := &renewer{id: t.ID, next: make(chan engine.RenewalRequest, 1)}
			o.renewers[t.ID] = r
			go o.renewLoop(r)
		}
	}
}

// renewLoop renews the worker's lease and applies what the worker reports, until its lease is no longer to be renewed.
func (o *Owner) renewLoop(r *renewer) {
	defer o.post(func() { delete(o.renewers, r.id) })
	for o.ctx.Err() == nil {
		req, ok := o.nextRenewal(r)
		if !ok {
			return
		}
		wait := renewalWait
		if req.Idle {
			wait = idleRenewalWait
		}
		if req.DeadlineMS == 0 || req.Unacknowledged {
			wait = 0
		}
		if !o.renewOnce(req.To, LeaseRenewal{DeadlineMS: req.DeadlineMS, AckedUpTo: req.AckedUpTo, Wait: wait}) {
			_ = sleep.Context(o.ctx, renewalRetryDelay)
		}
	}
}

// nextRenewal returns the engine's next lease renewal for a worker, and false if its lease is no longer to be renewed. It waits
// until the ends that the worker returned are stored, but for at most commitWaitTimeout, so that the renewal acknowledges them.
func (o *Owner) nextRenewal(r *renewer) (engine.RenewalRequest, bool) {
	o.post(func() { o.offerRenewal(r, false) })
	t := time.NewTimer(commitWaitTimeout)
	defer t.Stop()
	select {
	case req, ok := <-r.next:
		return req, ok
	case <-o.ctx.Done():
		return engine.RenewalRequest{}, false
	case <-t.C:
	}
	o.post(func() {
		if r.awaitsCommit {
			o.offerRenewal(r, true)
		}
	})
	select {
	case req, ok := <-r.next:
		return req, ok
	case <-o.ctx.Done():
		return engine.RenewalRequest{}, false
	}
}

// offerRenewal gives a renewer its next renewal, unless that one is to wait for the store. With evenUnstored set it doesn't wait.
func (o *Owner) offerRenewal(r *renewer, evenUnstored bool) {
	r.awaitsCommit = !evenUnstored && o.pool.HasUnstoredEnds(r.id)
	if r.awaitsCommit {
		return
	}
	req, ok := o.pool.NextRenewal(r.id, o.clock())
	if !ok {
		close(r.next)
		return
	}
	r.next <- req // A renewer takes each renewal before it asks for the next one.
}

// offerRenewals gives their next renewal to the renewers whose worker's ends are now stored.
func (o *Owner) offerRenewals() {
	for _, r := range o.renewers {
		if r.awaitsCommit {
			o.offerRenewal(r, false)
		}
	}
}

// renewOnce renews the worker's lease once and reports whether the worker answered.
func (o *Owner) renewOnce(to engine.Target, renewal LeaseRenewal) bool {
	sent := o.settings.Now()
	ctx, cancel := o.callContext(renewal.Wait + renewalResponseTimeout)
	defer cancel()
	a, err := o.settings.Workers.RenewLease(ctx, to, renewal)
	switch {
	case err == nil:
		observe.Count("renewals.answered")
		o.post(func() { o.pool.RenewalAnswered(to, a, sent, o.clock()) })
		if len(a.Ended) > 0 || renewal.Wait == 0 {
			_ = sleep.Context(o.ctx, renewalDelay(o.pace.loopDelay()))
		}
		return true
	case errors.Is(err, ErrFenced):
		o.post(func() { o.fenced(to, err) })
	case errors.Is(err, ErrIncarnationMismatch):
		o.post(func() { o.pool.AddressReused(to, o.clock()) })
	case o.ctx.Err() == nil:
		o.renewalFailed(to, o.settings.Now()-sent, err)
	}
	return false
}

// renewalFailed records that a worker didn't answer. The log line tells a silent worker from an owner that runs late.
func (o *Owner) renewalFailed(to engine.Target, waited time.Duration, err error) {
	observe.Count("renewals.unanswered")
	delay := o.pace.loopDelay()
	o.post(func() {
		if o.pool.RenewalFailed(to.ID, o.clock()) {
			o.settings.Log.Info().Str("pool", o.settings.Pool).Str("worker", to.ID).Dur("waitedMS", waited).Dur("loopDelayMS", delay).Err(err).
				Msg("worker left a lease renewal unanswered")
		}
	})
}
