package owner

import (
	"context"
	"errors"
	"time"

	"samphirepoint/engine"
	"samphirepoint/sleep"
)

const (
	// maxHoldWait is how long a worker may wait for a run to end before it responds to a hold call; maxIdleHoldWait applies while the
	// worker runs nothing.
	maxHoldWait     = time.Second
	maxIdleHoldWait = 1500 * time.Millisecond
	// holdResponseTimeout is how long a worker may take to respond to a hold call, on top of the requested wait.
	holdResponseTimeout = 600 * time.Millisecond
	// holdRetryDelay is the delay after a hold call without a response.
	holdRetryDelay = 150 * time.Millisecond
	// commitWaitTimeout is how long to wait, before the next hold call, for the store to commit the run ends that the last one returned.
	commitWaitTimeout = 250 * time.Millisecond
	// orderTimeout is how long an order may go without a response before its outcome counts as unknown.
	orderTimeout = 350 * time.Millisecond
	// runEndBatchDelay is the delay after a response with run ends, so that ends close to each other share a hold call.
	runEndBatchDelay = 12 * time.Millisecond
)

// startMissingHolds starts a hold loop for each worker that has none.
func (o *Owner) startMissingHolds() {
	for _, t := range o.pool.Targets() {
		if o.holds[t.ID] == nil {
			wake := make(chan struct{}, 1)
			o.holds[t.ID] = wake
			go o.runHoldLoop(t, wake)
		}
	}
}

// runHoldLoop renews the worker's lease and applies what the worker reports, until the worker needs no more hold calls.
func (o *Owner) runHoldLoop(to engine.Target, wake chan struct{}) {
	defer o.post(func() { delete(o.holds, to.ID) })
	for o.ctx.Err() == nil {
		req, ok := o.holdRequest(to.ID)
		if !ok {
			return
		}
		if req.Unacknowledged {
			o.awaitStoreCommit(wake)
			if req, ok = o.holdRequest(to.ID); !ok {
				return
			}
		}
		wait := maxHoldWait
		if req.Idle {
			wait = maxIdleHoldWait
		}
		if req.DeadlineMS == 0 || req.Unacknowledged {
			wait = 0
		}
		if !o.holdOnce(to, Hold{Token: o.settings.Token, DeadlineMS: req.DeadlineMS, SeenUpto: req.SeenUpto, Wait: wait}) {
			_ = sleep.Context(o.ctx, holdRetryDelay)
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

func (o *Owner) holdRequest(id string) (engine.HoldRequest, bool) {
	type reply struct {
		req engine.HoldRequest
		ok  bool
	}
	ch := make(chan reply, 1)
	o.post(func() {
		req, ok := o.pool.Hold(id, o.clock())
		ch <- reply{req, ok}
	})
	select {
	case r := <-ch:
		return r.req, r.ok
	case <-o.ctx.Done():
		return engine.HoldRequest{}, false
	}
}

// holdOnce makes one hold call and reports whether the worker responded.
func (o *Owner) holdOnce(to engine.Target, h Hold) bool {
	sent := o.settings.Now()
	ctx, cancel := context.WithTimeout(o.ctx, h.Wait+holdResponseTimeout)
	defer cancel()
	a, err := o.settings.Workers.Hold(ctx, to, h)
	switch {
	case err == nil:
		o.post(func() { o.pool.HoldAnswered(to.ID, a, sent, o.clock()) })
		if len(a.Ended) > 0 {
			_ = sleep.Context(o.ctx, runEndBatchDelay)
		}
		return true
	case errors.Is(err, ErrFenced):
		o.post(func() { o.fail(err) })
	case errors.Is(err, ErrOtherLife):
		o.post(func() { o.pool.WorkerGone(to.ID, o.clock()) })
	case o.ctx.Err() == nil:
		o.post(func() { o.pool.HoldFailed(to.ID, o.clock()) })
	}
	return false
}

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
	case engine.OrderPace:
		err := o.settings.Workers.Pace(ctx, order, o.settings.Token)
		if o.handleTerminalError(order, err) {
			return
		}
		o.post(func() { o.pool.PaceAnswered(order, err == nil) })
	}
}

func (o *Owner) sendStart(ctx context.Context, order engine.Order) {
	out, reason, err := o.settings.Workers.Start(ctx, order, o.settings.Token)
	if o.handleTerminalError(order, err) {
		return
	}
	o.post(func() { o.pool.StartAnswered(order, out, reason, o.clock()) })
}

// handleTerminalError handles errors that end the ownership or show that the worker instance is gone. It reports whether err was one.
func (o *Owner) handleTerminalError(order engine.Order, err error) bool {
	switch {
	case errors.Is(err, ErrFenced):
		o.post(func() { o.fail(err) })
		return true
	case errors.Is(err, ErrOtherLife):
		o.post(func() { o.pool.WorkerGone(order.Worker.ID, o.clock()) })
		return true
	}
	return false
}

// adviceTimeout bounds one call to the adviser.
const adviceTimeout = 4 * time.Second

func (o *Owner) advise(req engine.AdviceRequest) {
	if o.settings.Adviser == nil {
		return
	}
	ctx, cancel := context.WithTimeout(o.ctx, adviceTimeout)
	defer cancel()
	good, valid, err := o.settings.Adviser.Advise(ctx, req.Step, req.Workers)
	o.post(func() { o.pool.Advised(req, good, valid, err == nil, o.clock()) })
}
