package fairqueue

import (
	"time"
)

// Next implements Policy.
func (w *Weighted) Next(now time.Time) (Item, bool) {
	w.age(now)
	b, l, ok := w.pick()
	if !ok {
		return Item{}, false
	}
	e := b.queues[l].top()
	w.dequeue(e)
	e.running, e.requeued = true, false
	w.grants++
	b.lastGrant = w.grants
	w.hold(e, 1)
	return e.Item, true
}

// age moves the items of level long that waited over LongMaxWait to level aged.
func (w *Weighted) age(now time.Time) {
	for !w.aging.empty() {
		e := w.aging.top()
		if now.Sub(e.Arrived) <= LongMaxWait {
			return
		}
		w.dequeue(e)
		e.level = aged
		w.enqueue(e)
	}
}

// last returns the last level that may take a slot now, given the slots that long work holds.
func (w *Weighted) last() level {
	normal := max(w.total-w.reserve, 0)
	// At least one slot is open to aged work, or a pool that is all reserve would never run it.
	withReserve := max(normal+w.reserve/2, 1)
	switch {
	case w.longInUse < normal:
		return long
	case w.longInUse < withReserve:
		return aged
	default:
		return short
	}
}

// pick chooses the backer and level to serve.
func (w *Weighted) pick() (*backer, level, bool) {
	if w.inUse >= w.total {
		return nil, 0, false
	}
	last := w.last()
	floor := max(w.total/longFloorDivisor, 1)
	if w.agedTurn && last >= aged && w.longInUse < floor {
		if b, ok := w.within(aged, last); ok {
			w.agedTurn = false
			return b, aged, true
		}
	}
	for l := urgent; l <= last; l++ {
		if b, ok := w.within(l, last); ok {
			w.agedTurn = true
			return b, l, true
		}
	}
	return nil, 0, false
}

// within returns the first backer of a level that holds less than its share of the slots which the
// backers with work up to level last may divide.
func (w *Weighted) within(l, last level) (*backer, bool) {
	if w.next[l].empty() {
		return nil, false
	}
	d := w.demand[last]
	divisible := int64(w.total - w.inUse + d.inUse)
	// The head of held is below its share if any backer of the level is.
	for _, b := range [2]*backer{w.next[l].top(), w.held[l].top()} {
		if int64(b.inUse)*d.weight < divisible*b.weight {
			return b, true
		}
	}
	return nil, false
}
