package owner

import (
	"context"
	"errors"
	"time"

	"samphirepoint/engine"
	"samphirepoint/sleep"
)

const (
	// holdWait is how long a worker may wait for an end before it answers a hold; idleWait while nothing runs there.
	holdWait = time.Second
	idleWait = 1500 * time.Millisecond
	// answerTime is how long a worker may take for an answer beside the waiting.
	answerTime = 600 * time.Millisecond
	// holdRetry is the pause after a hold without an answer.
	holdRetry = 150 * time.Millisecond
	// ackWait is how long a hold waits for the store to take the ends that the last one brought.
	ackWait = 250 * time.Millisecond
	// orderTime is how long an order may go unanswered before it counts as unknown.
	orderTime = 350 * time.Millisecond
	// gather is the pause after ends, so that ends close to each other share a hold.
	gather = 12 * time.Millisecond
)

// syncHolds keeps one hold going for each worker.
func (o *Owner) syncHolds() {
	for _, t := range o.pool.Targets() {
		if o.holds[t.ID] == nil {
			wake := make(chan struct{}, 1)
			o.holds[t.ID] = wake
			go o.hold(t, wake)
		}
	}
}

// hold extends the worker's lease and takes in what it lists, until the worker is no longer to be held.
func (o *Owner) hold(to engine.Target, wake chan struct{}) {
	defer o.post(func() { delete(o.holds, to.ID) })
	for o.ctx.Err() == nil {
		req, ok := o.holdRequest(to.ID)
		if !ok {
			return
		}
		if req.Unacknowledged {
			o.awaitStore(wake)
			if req, ok = o.holdRequest(to.ID); !ok {
				return
			}
		}
		wait := holdWait
		if req.Idle {
			wait = idleWait
		}
		if req.DeadlineMS == 0 || req.Unacknowledged {
			wait = 0
		}
		if !o.holdOnce(to, LeaseRenewal{Token: o.set.Token, DeadlineMS: req.DeadlineMS, SeenUpto: req.SeenUpto, Wait: wait}) {
			_ = sleep.Context(o.ctx, holdRetry)
		}
	}
}

func (o *Owner) awaitStore(wake chan struct{}) {
	select {
	case <-wake:
	default:
	}
	t := time.NewTimer(ackWait)
	defer t.Stop()
	select {
	case <-wake:
	case <-t.C:
	case <-o.ctx.Done():
	}
}

func (o *Owner) holdRequest(id string) (engine.RenewalRequest, bool) {
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

// holdOnce reports whether the worker answered.
func (o *Owner) holdOnce(to engine.Target, h LeaseRenewal) bool {
	sent := o.set.Now()
	ctx, cancel := context.WithTimeout(o.ctx, h.Wait+answerTime)
	defer cancel()
	a, err := o.set.Workers.RenewLease(ctx, to, h)
	switch {
	case err == nil:
		o.post(func() { o.pool.RenewalAnswered(to.ID, a, sent, o.clock()) })
		if len(a.Ended) > 0 {
			_ = sleep.Context(o.ctx, gather)
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

func (o *Owner) send(order engine.Order) {
	ctx, cancel := context.WithTimeout(o.ctx, orderTime)
	defer cancel()
	switch order.Kind {
	case engine.OrderStart:
		o.sendStart(ctx, order)
	case engine.OrderStop:
		err := o.set.Workers.Stop(ctx, order, o.set.Token)
		if o.ended(order, err) {
			return
		}
		o.post(func() { o.pool.StopAnswered(order, err == nil, o.clock()) })
	case engine.OrderThrottle:
		err := o.set.Workers.Throttle(ctx, order, o.set.Token)
		if o.ended(order, err) {
			return
		}
		o.post(func() { o.pool.ThrottleAnswered(order, err == nil) })
	}
}

func (o *Owner) sendStart(ctx context.Context, order engine.Order) {
	out, reason, err := o.set.Workers.Start(ctx, order, o.set.Token)
	if o.ended(order, err) {
		return
	}
	o.post(func() { o.pool.StartAnswered(order, out, reason, o.clock()) })
}

// ended handles answers that end the ownership or the worker's life.
func (o *Owner) ended(order engine.Order, err error) bool {
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

// adviceTime is how long the adviser may take.
const adviceTime = 4 * time.Second

func (o *Owner) advise(req engine.AdviceRequest) {
	if o.set.Adviser == nil {
		return
	}
	ctx, cancel := context.WithTimeout(o.ctx, adviceTime)
	defer cancel()
	good, valid, err := o.set.Adviser.Advise(ctx, req.Step, req.Workers)
	o.post(func() { o.pool.AdviceAnswered(req, good, valid, err == nil, o.clock()) })
}
