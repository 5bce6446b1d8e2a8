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
)

// orderQueue holds the orders that wait to be sent. Stops and throttles go before starts, because they end what costs or disturbs;
// otherwise workers take turns, so that one that doesn't answer delays only its own orders.
type orderQueue struct {
	workers map[string]*workerOrders
	// urgent and starts hold the workers with such orders that may be sent, in turn.
	urgent, starts []*workerOrders
	inFlight       int
	length         int
}

// workerOrders holds the waiting orders of one worker. Orders of a run that is to be stopped are not sent twice.
type workerOrders struct {
	urgent, starts       []queuedOrder
	urgentTurn, startsIn bool // whether the worker is listed in orderQueue.urgent and orderQueue.starts
	inFlight             int
	stopping             map[orderedRun]bool
}

type orderedRun struct {
	task engine.TaskID
	run  int64
}

type queuedOrder struct {
	engine.Order
	queuedAt time.Duration
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

// enlist gives a worker its turn if it has orders that may be sent.
func (q *orderQueue) enlist(w *workerOrders) {
	if w.inFlight >= maxOrdersPerWorker {
		return
	}
	if len(w.urgent) > 0 && !w.urgentTurn {
		w.urgentTurn = true
		q.urgent = append(q.urgent, w)
	}
	if len(w.starts) > 0 && !w.startsIn {
		w.startsIn = true
		q.starts = append(q.starts, w)
	}
}

// next returns the next order to send, and false if none may be sent now. wanted reports whether a start is still to be sent.
func (q *orderQueue) next(wanted func(engine.Order) bool) (queuedOrder, bool) {
	for q.inFlight < maxOrdersInFlight {
		var o queuedOrder
		var w *workerOrders
		switch {
		case len(q.urgent) > 0:
			w, q.urgent = q.urgent[0], q.urgent[1:]
			w.urgentTurn = false
			if w.inFlight >= maxOrdersPerWorker {
				continue // listed again by done
			}
			o, w.urgent = w.urgent[0], w.urgent[1:]
		case len(q.starts) > 0:
			w, q.starts = q.starts[0], q.starts[1:]
			w.startsIn = false
			if w.inFlight >= maxOrdersPerWorker {
				continue
			}
			o, w.starts = w.starts[0], w.starts[1:]
		default:
			return queuedOrder{}, false
		}
		q.length--
		if o.Kind == engine.OrderStart && !wanted(o.Order) {
			q.enlist(w)
			continue
		}
		w.inFlight++
		q.inFlight++
		q.enlist(w)
		return o, true
	}
	return queuedOrder{}, false
}

// done records that an order that next has returned is no longer in flight.
func (q *orderQueue) done(o engine.Order) {
	w := q.workers[o.Worker.ID]
	w.inFlight--
	q.inFlight--
	if o.Kind == engine.OrderStop {
		delete(w.stopping, orderedRun{task: o.Task, run: o.Run})
	}
	if w.inFlight == 0 && len(w.urgent) == 0 && len(w.starts) == 0 && !w.urgentTurn && !w.startsIn {
		delete(q.workers, o.Worker.ID)
		return
	}
	q.enlist(w)
}
