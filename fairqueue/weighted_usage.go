package fairqueue

import (
	"samphirepoint/request"
)

// SetShares implements Policy. Weights are rounded to multiples of 0.001 and are at least 0.001.
func (w *Weighted) SetShares(shares map[string]Share) {
	w.shares = make(map[string]Share, len(shares))
	for name, share := range shares {
		w.shares[name] = share
	}
	for name, b := range w.backers {
		_, known := shares[name]
		if !known && b.waiting == 0 && b.inUse == 0 && w.grants-b.lastGrant > idleGrants {
			delete(w.backers, name)
			continue
		}
		w.subtractDemand(b)
		w.setShare(b)
		w.updateIndexes(b)
	}
}

// SetSlots implements Policy.
func (w *Weighted) SetSlots(total, reserve int) {
	w.total, w.reserve = total, min(max(reserve, 0), total)
}

// Position is the position that a new item would take in the queue, for estimating its wait.
type Position struct {
	// Ahead counts the waiting items of the same or an earlier class, OwnAhead those among them of the same backer.
	Ahead, OwnAhead int
	// Share is the backer's fraction of the total weight of the backers with runnable work up to
	// this class, including the backer itself.
	Share float64
}

// Position returns the queue position of a new item of a backer and class.
func (w *Weighted) Position(name string, class request.Class) Position {
	l := levelOf(class)
	var p Position
	for i := urgent; i <= l; i++ {
		p.Ahead += w.waitingAt[i]
	}
	b, ok := w.backers[name]
	if !ok {
		b = &backer{name: name}
		w.setShare(b)
	}
	total := w.demand[l].weight
	if !b.counted[l] {
		total += b.weight
	}
	for i := urgent; ok && i <= l; i++ {
		p.OwnAhead += b.queues[i].Len()
	}
	p.Share = float64(b.weight) / float64(total)
	return p
}

// Len implements Policy.
func (w *Weighted) Len() int { return w.waiting }

// InUse implements Policy.
func (w *Weighted) InUse() int { return w.inUse }

// Usage implements Policy.
func (w *Weighted) Usage() map[string]Usage {
	usage := make(map[string]Usage, len(w.backers))
	for name, b := range w.backers {
		if b.inUse > 0 || b.waiting > 0 {
			usage[name] = Usage{InUse: b.inUse, Waiting: b.waiting}
		}
	}
	return usage
}
