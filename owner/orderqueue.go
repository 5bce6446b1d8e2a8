package owner

import (
	"time"

	"samphirepoint/engine"
)

const (
	// maxOrdersInFlight is the number of orders that may be at workers at once. At 2 ms of a small daemon's time for an order, a
	// fifth of a core, all of them are handled well within orderTimeout; with answers after a few milliseconds it allows several
	// thousand orders a second.
	maxOrdersInFlight = 48
	// maxOrdersPerWorker is the number of orders that may be at one worker at once. A worker answers within milliseconds, so more
	// would only open connections.
	maxOrdersPerWorker = 2
	// maxOrdersUnanswered is the number of orders that may be at workers whose last order had no answer, one each. Each takes its
	// whole time limit: without this bound, the repeated stops for a rack that was cut off hold up all orders for the others.
	maxOrdersUnanswered = 12
)

// orderQueue holds the orders that wait to be sent. Stops and throttles go before starts, because they end what costs or disturbs;
// otherwise workers take turns, so that one that doesn't answer delays only its own orders.
type orderQueue struct {
	workers map[string]*workerOrders
	// urgent and starts hold the workers with such orders that may be sent, in turn. unanswered holds the workers with orders of either
	// kind whose last order had no answer.
	urgent, starts, unanswered []*workerOrders
	inFlight                   int
	unansweredInFlight         int
	length                     int
}

// workerOrders holds the waiting orders of one worker. Orders of a run that is to be stopped are not sent twice.
type workerOrders struct {
	urgent, starts []queuedOrder
	// inUrgent, inStarts and inUnanswered say whether the worker is listed in these fields of orderQueue.
	inUrgent, inStarts, inUnanswered bool
	inFlight                         int
	stopping                         map[orderedRun]bool
	lastUnanswered                   bool
}

type orderedRun struct {
	task engine.TaskID
	run  int64
}

type queuedOrder struct {
	engine.Order
	queuedAt time.Duration
	// toUnanswered is set if the worker's last order had no answer when this one was sent.
	toUnanswered bool
}

func newOrderQueue() *orderQueue { return &orderQueue{workers: map[string]*workerOrders{}} }

// add queues an order. A stop is dropped if the same stop is already queued or at the worker, since the engine repeats it until it is
// answered.
func (q *orderQueue) add(o engine.Order, now time.Duration) {
	w := q.workers[o.Worker.ID]
	if w == nil {
		w = &workerOrders{stopping: map[orderedRun]bool{}}
		q.workers[o.Worker.ID] = w
	}
	entry := queuedOrder{Order: o, queuedAt: now}
	if o.Kind == engine.OrderStart {
		w.starts = append(w.starts, entry)
		q.length++
		q.enlist(w)
		return
	}
	if o.Kind == engine.OrderStop {
		id := orderedRun{task: o.Task, run: o.Run}
		if w.stopping[id] {
			return
		}
		w.stopping[id] = true
	}
	w.urgent = append(w.urgent, entry)
	q.length++
	q.enlist(w)
}

// mayReceive reports whether another order may be sent to the worker now.
func (w *workerOrders) mayReceive() bool {
	if w.lastUnanswered {
		return w.inFlight == 0
	}
	return w.inFlight < maxOrdersPerWorker
}

// enlist gives a worker its turn if it has orders that may be sent.
func (q *orderQueue) enlist(w *workerOrders) {
	switch {
	case !w.mayReceive():
	case w.lastUnanswered:
		if len(w.urgent)+len(w.starts) > 0 && !w.inUnanswered {
			w.inUnanswered = true
			q.unanswered = append(q.unanswered, w)
		}
	default:
		if len(w.urgent) > 0 && !w.inUrgent {
			w.inUrgent = true
			q.urgent = append(q.urgent, w)
		}
		if len(w.starts) > 0 && !w.inStarts {
			w.inStarts = true
			q.starts = append(q.starts, w)
		}
	}
}

// nextWorker returns the worker whose turn it is, and which of its orders to send. It returns nil if there is none.
func (q *orderQueue) nextWorker() (w *workerOrders, urgent bool) {
	switch {
	case len(q.unanswered) > 0 && q.unansweredInFlight < maxOrdersUnanswered:
		w, q.unanswered = q.unanswered[0], q.unanswered[1:]
		w.inUnanswered = false
		return w, len(w.urgent) > 0
	case len(q.urgent) > 0:
		w, q.urgent = q.urgent[0], q.urgent[1:]
		w.inUrgent = false
		return w, true
	case len(q.starts) > 0:
		w, q.starts = q.starts[0], q.starts[1:]
		w.inStarts = false
		return w, false
	}
	return nil, false
}

// take removes the worker's first order of a kind, and reports false if it has none.
func (w *workerOrders) take(urgent bool) (queuedOrder, bool) {
	list := &w.starts
	if urgent {
		list = &w.urgent
	}
	if len(*list) == 0 {
		return queuedOrder{}, false
	}
	o := (*list)[0]
	*list = (*list)[1:]
	return o, true
}

// next returns the next order to send, and false if none may be sent now. wanted reports whether a start is still to be sent.
func (q *orderQueue) next(wanted func(engine.Order) bool) (queuedOrder, bool) {
	for q.inFlight < maxOrdersInFlight {
		asUnanswered := len(q.unanswered) > 0 && q.unansweredInFlight < maxOrdersUnanswered
		w, urgent := q.nextWorker()
		if w == nil {
			return queuedOrder{}, false
		}
		if asUnanswered != w.lastUnanswered || !w.mayReceive() {
			q.enlist(w) // its last order was answered, or left unanswered, since it was listed
			continue
		}
		o, ok := w.take(urgent)
		if !ok {
			continue
		}
		q.length--
		if o.Kind == engine.OrderStart && !wanted(o.Order) {
			q.enlist(w)
			continue
		}
		o.toUnanswered = w.lastUnanswered
		w.inFlight++
		q.inFlight++
		if o.toUnanswered {
			q.unansweredInFlight++
		}
		q.enlist(w)
		return o, true
	}
	return queuedOrder{}, false
}

// done records that an order that next has returned is no longer in flight, and whether the worker has answered it.
func (q *orderQueue) done(o queuedOrder, answered bool) {
	w := q.workers[o.Worker.ID]
	w.inFlight--
	q.inFlight--
	if o.toUnanswered {
		q.unansweredInFlight--
	}
	w.lastUnanswered = !answered
	if o.Kind == engine.OrderStop {
		delete(w.stopping, orderedRun{task: o.Task, run: o.Run})
	}
	if answered && w.inFlight == 0 && len(w.urgent) == 0 && len(w.starts) == 0 && !w.inUrgent && !w.inStarts && !w.inUnanswered {
		delete(q.workers, o.Worker.ID)
		return
	}
	q.enlist(w)
}
