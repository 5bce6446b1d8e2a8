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
	w.addInUse(e, 1)
	return e.Item, true
}

// age moves the items of level long that have waited longer than LongMaxWait to level aged.
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

// lastRunnable returns the last level that may take a slot now, given the slots in use by long work.
func (w *Weighted) lastRunnable() level {
	normal := max(w.total-w.reserve, 0)
	// At least one slot is available to aged work; otherwise a pool whose slots are all reserved would never run it.
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

// pick selects the backer and level to serve next.
func (w *Weighted) pick() (*backer, level, bool) {
	if w.inUse >= w.total {
		return nil, 0, false
	}
	last := w.lastRunnable()
	floor := max(w.total/longFloorDivisor, 1)
	if w.agedAllowed && last >= aged && w.longInUse < floor {
		if b, ok := w.belowShare(aged, last); ok {
			w.agedAllowed = false
			return b, aged, true
		}
	}
	for l := urgent; l <= last; l++ {
		if b, ok := w.belowShare(l, last); ok {
			w.agedAllowed = true
			return b, l, true
		}
	}
	return nil, 0, false
}

// belowShare returns the first backer of level l that holds less than its share of the slots available to the
// backers with work up to level last.
func (w *Weighted) belowShare(l, last level) (*backer, bool) {
	if w.byNextUse[l].empty() {
		return nil, false
	}
	d := w.demand[last]
	divisible := int64(w.total - w.inUse + d.inUse)
	// If any backer of the level is below its share, the top of byUse is.
	for _, b := range [2]*backer{w.byNextUse[l].top(), w.byUse[l].top()} {
		if int64(b.inUse)*d.weight < divisible*b.weight {
			return b, true
		}
	}
	return nil, false
}
