package owner

import (
	"context"
	"errors"
	"time"

	"samphirepoint/engine"
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
	// orderTimeout is how long an order may go without a response before its outcome counts as unknown.
	orderTimeout = 350 * time.Millisecond
	// endBatchDelay is the delay after an answer with run ends, so that ends close to each other share a renewal.
	endBatchDelay = 12 * time.Millisecond
)

// startRenewers starts a renewal loop for each worker that has none.
func (o *Owner) startRenewers() {
	for _, t := range o.pool.Targets() {
		if o.renewers[t.ID] == nil {
			wake := make(chan struct{}, 1)
			o.renewers[t.ID] = wake
			go o.renewLoop(t, wake)
		}
	}
}

// renewLoop renews the worker's lease and applies what the worker reports, until its lease is no longer to be renewed.
func (o *Owner) renewLoop(to engine.Target, wake chan struct{}) {
	defer o.post(func() { delete(o.renewers, to.ID) })
	for o.ctx.Err() == nil {
		req, ok := o.nextRenewal(to.ID)
		if !ok {
			return
		}
		if req.Unacknowledged {
			o.awaitStoreCommit(wake)
			if req, ok = o.nextRenewal(to.ID); !ok {
				return
			}
		}
		wait := renewalWait
		if req.Idle {
			wait = idleRenewalWait
		}
		if req.DeadlineMS == 0 || req.Unacknowledged {
			wait = 0
		}
		if !o.renewOnce(to, LeaseRenewal{Token: o.settings.Token, DeadlineMS: req.DeadlineMS, AckedUpTo: req.AckedUpTo, Wait: wait}) {
			_ = sleep.Context(o.ctx, renewalRetryDelay)
		}
	}
}

// awaitStoreCommit waits for the next commit, for at most commitWaitTimeout.
func (o *Owner) awaitStoreCommit(wake chan struct{}) {
	select {
	case <-wake:
	default:
	}
	t := time.NewTimer(commitWaitTimeout)
	defer t.Stop()
	select {
	case <-wake:
	case <-t.C:
	case <-o.ctx.Done():
	}
}

// nextRenewal returns the engine's next lease renewal for a worker, and false if its lease is no longer to be renewed.
func (o *Owner) nextRenewal(id string) (engine.RenewalRequest, bool) {
	type reply struct {
		req engine.RenewalRequest
		ok  bool
	}
	ch := make(chan reply, 1)
	o.post(func() {
		req, ok := o.pool.NextRenewal(id, o.clock())
		ch <- reply{req, ok}
	})
	select {
	case r := <-ch:
		return r.req, r.ok
	case <-o.ctx.Done():
		return engine.RenewalRequest{}, false
	}
}

// renewOnce renews the worker's lease once and reports whether the worker answered.
func (o *Owner) renewOnce(to engine.Target, renewal LeaseRenewal) bool {
	sent := o.settings.Now()
	ctx, cancel := context.WithTimeout(o.ctx, renewal.Wait+renewalResponseTimeout)
	defer cancel()
	a, err := o.settings.Workers.RenewLease(ctx, to, renewal)
	switch {
	case err == nil:
		o.post(func() { o.pool.RenewalAnswered(to.ID, a, sent, o.clock()) })
		if len(a.Ended) > 0 {
			_ = sleep.Context(o.ctx, endBatchDelay)
		}
		return true
	case errors.Is(err, ErrFenced):
		o.post(func() { o.fail(err) })
	case errors.Is(err, ErrIncarnationMismatch):
		o.post(func() { o.pool.WorkerTerminated(to.ID, o.clock()) })
	case o.ctx.Err() == nil:
		o.post(func() { o.pool.RenewalFailed(to.ID, o.clock()) })
	}
	return false
}

// send sends an order to its worker and posts the outcome.
func (o *Owner) send(order engine.Order) {
	ctx, cancel := context.WithTimeout(o.ctx, orderTimeout)
	defer cancel()
	switch order.Kind {
	case engine.OrderStart:
		o.sendStart(ctx, order)
	case engine.OrderStop:
		err := o.settings.Workers.Stop(ctx, order, o.settings.Token)
		if o.handleTerminalError(order, err) {
			return
		}
		o.post(func() { o.pool.StopAnswered(order, err == nil, o.clock()) })
	case engine.OrderThrottle:
		err := o.settings.Workers.Throttle(ctx, order, o.settings.Token)
		if o.handleTerminalError(order, err) {
			return
		}
		o.post(func() { o.pool.ThrottleAnswered(order, err == nil) })
	}
}

func (o *Owner) sendStart(ctx context.Context, order engine.Order) {
	out, reason, err := o.settings.Workers.Start(ctx, order, o.settings.Token)
	if o.handleTerminalError(order, err) {
		return
	}
	o.post(func() { o.pool.StartAnswered(order, out, reason, o.clock()) })
}

// handleTerminalError handles errors that end the ownership or show that the worker has terminated. It reports whether err is
// one of them.
func (o *Owner) handleTerminalError(order engine.Order, err error) bool {
	switch {
	case errors.Is(err, ErrFenced):
		o.post(func() { o.fail(err) })
		return true
	case errors.Is(err, ErrIncarnationMismatch):
		o.post(func() { o.pool.WorkerTerminated(order.Worker.ID, o.clock()) })
		return true
	}
	return false
}

// adviceTimeout bounds one call to the adviser.
const adviceTimeout = 4 * time.Second

// advise requests advice and posts the result.
func (o *Owner) advise(req engine.AdviceRequest) {
	if o.settings.Adviser == nil {
		return
	}
	ctx, cancel := context.WithTimeout(o.ctx, adviceTimeout)
	defer cancel()
	advice, validity, err := o.settings.Adviser.Advise(ctx, req.Step, req.Workers)
	o.post(func() { o.pool.AdviceAnswered(req, advice, validity, err == nil, o.clock()) })
}
