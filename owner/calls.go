package owner

import (
	"context"
	"errors"
	"time"

	"samphirepoint/engine"
	"samphirepoint/observe"
)

// orderTimeout is how long an order may go without a response before its outcome counts as unknown.
const orderTimeout = 350 * time.Millisecond

// dispatch queues the engine's new orders and sends those whose turn has come.
func (o *Owner) dispatch(c engine.Clock) {
	for _, order := range o.pool.TakeOrders() {
		o.orders.add(order, c.Now)
	}
	wanted := func(order engine.Order) bool { return o.pool.AwaitsStart(order, c) }
	for {
		next, ok := o.orders.next(wanted)
		if !ok {
			break
		}
		observe.RecordDuration("orders.queue-delay", c.Now-next.queuedAt)
		if o.senders < o.orders.inFlight {
			o.senders++
			go o.sendLoop()
		}
		o.toSend <- next // There is a sender and room for each order in flight.
	}
	observe.Gauge("orders.in-flight", int64(o.orders.inFlight))
	observe.Gauge("orders.queued", int64(o.orders.length))
}

// sendLoop sends orders until the owner stops. Senders are kept, as a new goroutine grows its stack with each call.
func (o *Owner) sendLoop() {
	for {
		select {
		case order := <-o.toSend:
			o.send(order)
		case <-o.ctx.Done():
			return
		}
	}
}

// send sends an order to its worker and posts the outcome.
func (o *Owner) send(order queuedOrder) {
	began := o.settings.Now()
	ctx, cancel := o.callContext(orderTimeout)
	answered, handle := o.call(ctx, order.Order)
	cancel()
	observe.RecordDuration("orders.answer", o.settings.Now()-began)
	o.post(func() {
		o.orders.done(order, answered)
		handle()
	})
}

// call makes the call for an order. It reports whether the worker answered, and returns the function that handles the outcome.
func (o *Owner) call(ctx context.Context, order engine.Order) (answered bool, handle func()) {
	var err error
	switch order.Kind {
	case engine.OrderStart:
		var a engine.StartAnswer
		a, err = o.settings.Workers.Start(ctx, order)
		answered = a.Outcome != engine.StartUnknown
		if !answered {
			observe.Count("orders.unanswered")
		}
		handle = func() { o.pool.StartAnswered(order, a, o.clock()) }
	case engine.OrderStop:
		err = o.settings.Workers.Stop(ctx, order)
		answered = err == nil || errors.Is(err, ErrIncarnationMismatch)
		handle = func() { o.pool.StopAnswered(order, err == nil, o.clock()) }
	case engine.OrderThrottle:
		err = o.settings.Workers.Throttle(ctx, order)
		answered = err == nil || errors.Is(err, ErrIncarnationMismatch)
		handle = func() { o.pool.ThrottleAnswered(order, err == nil) }
	}
	switch {
	case errors.Is(err, ErrFenced):
		return answered, func() { o.fenced(order.Worker, err) }
	case errors.Is(err, ErrIncarnationMismatch):
		return answered, func() { o.pool.AddressReused(order.Worker, o.clock()) }
	}
	return answered, handle
}

// fenced handles the rejection of a call for its fencing token: the pool has another owner, unless this owner has begun a new session
// with the worker since.
func (o *Owner) fenced(to engine.Target, err error) {
	if o.pool.Supersedes(to) {
		observe.Count("calls.superseded")
		return
	}
	o.fail(err)
}
