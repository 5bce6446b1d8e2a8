package fairqueue

import (
	"math"
	"time"

	"samphirepoint/request"
)

const (
	// LongMaxWait is the wait after which long work may use the upper half of the reserve
	// (design document, section 3.5). It also limits how far a deadline can move an item ahead
	// of earlier items of the same backer and class.
	LongMaxWait = 30 * time.Second
	// longFloorDivisor defines the fraction of the pool's slots up to which long work that has
	// waited longer than LongMaxWait is served before urgent and short work. Without this floor a
	// backer's short work could starve its own long work.
	longFloorDivisor = 10
	// weightUnit scales weights to integers, so that shares are compared exactly and sums over
	// backers accumulate no rounding errors.
	weightUnit = 1000
	// maxWeight keeps products of a weight and a slot count within 64 bits.
	maxWeight = 1e9
	// idleGrants is the number of grants after which the state of an idle backer without a share
	// is deleted. Until then its last grant is still used to break ties.
	idleGrants = 10000
)

// level is the queue's service order of classes. Level aged holds long work that has waited longer than LongMaxWait.
type level int

const (
	urgent level = iota
	short
	aged
	long
	levels
)

func levelOf(c request.Class) level {
	switch c {
	case request.Urgent:
		return urgent
	case request.Long:
		return long
	default:
		return short
	}
}

// trackedItem is an item that waits or runs.
type trackedItem struct {
	Item
	backer   *backer
	level    level
	running  bool
	requeued bool
	// due orders the items of a backer and level. It is the deadline, but at most LongMaxWait
	// after the arrival.
	due         time.Time
	seq         int64
	queuePos    int
	deadlinePos int
	agingPos    int
}

// backer is the state of one backer in the pool.
type backer struct {
	name      string
	weight    int64
	limit     int
	burst     int
	inUse     int
	waiting   int
	lastGrant int64
	queues    [levels]indexedHeap[*trackedItem]
	// byNextUsePos and byUsePos are the positions in Weighted.byNextUse and Weighted.byUse.
	byNextUsePos [levels]int
	byUsePos     [levels]int
	// counted marks the elements of Weighted.demand that include the backer.
	counted [levels]bool
}

// demand is the total over the backers that may take a slot if the levels up to a given level may run.
type demand struct {
	weight int64
	inUse  int
}

// Weighted serves classes in the order urgent, short, long. Within a class it serves the backer
// with the lowest (slots in use + 1) / weight that is below its limit; ties go to the backer
// that was served least recently. A backer's use counts over all its classes.
//
// Class order applies only to backers that hold less than their share. The share of a backer is its
// fraction, by weight, of the slots that the backers with runnable work hold or may take. When a slot is
// free, at least one such backer holds less than its share, so this rule never leaves a slot idle.
//
// Long work gets no further slot once it holds total - reserve slots; work that has waited longer
// than LongMaxWait may use up to total - reserve/2 slots.
//
// Push, Next, Finish, Remove, Requeue and Reclassify take O(log backers + log items) time, SetShares takes
// O(backers log backers).
type Weighted struct {
	total, reserve int
	inUse          int
	longInUse      int
	seq            int64
	grants         int64
	// agedAllowed allows aged work to be served before urgent work. It is cleared after each use until
	// the next grant by class order, so that the floor cannot take every grant of a very small pool.
	agedAllowed bool
	items       map[string]*trackedItem
	waiting     int
	// waitingAt counts the waiting items per level.
	waitingAt [levels]int
	backers   map[string]*backer
	shares    map[string]Share
	// byNextUse and byUse contain, for each level, the backers below their limit with waiting items of
	// the level, ordered by (slots in use + 1) / weight and by slots in use / weight.
	byNextUse, byUse [levels]indexedHeap[*backer]
	// demand[l] is the total over the backers in byNextUse[0] to byNextUse[l].
	demand [levels]demand
	// deadlines contains the waiting items that have a deadline, aging the waiting items of level long.
	deadlines, aging indexedHeap[*trackedItem]
}

// NewWeighted returns an empty queue without slots. SetSlots and SetShares configure it.
func NewWeighted() *Weighted {
	w := &Weighted{
		agedAllowed: true,
		items:       map[string]*trackedItem{},
		backers:     map[string]*backer{},
		deadlines: indexedHeap[*trackedItem]{
			less:     func(a, b *trackedItem) bool { return a.Deadline.Before(b.Deadline) },
			position: func(e *trackedItem) *int { return &e.deadlinePos },
		},
		aging: indexedHeap[*trackedItem]{
			less:     func(a, b *trackedItem) bool { return a.Arrived.Before(b.Arrived) },
			position: func(e *trackedItem) *int { return &e.agingPos },
		},
	}
	for l := range levels {
		w.byNextUse[l] = indexedHeap[*backer]{
			less:     func(a, b *backer) bool { return a.before(b, 1) },
			position: func(b *backer) *int { return &b.byNextUsePos[l] },
		}
		w.byUse[l] = indexedHeap[*backer]{
			less:     func(a, b *backer) bool { return a.before(b, 0) },
			position: func(b *backer) *int { return &b.byUsePos[l] },
		}
	}
	return w
}

// before compares (slots in use + extra) / weight without rounding. Ties go to the backer with the
// earlier last grant, then to the first by name.
func (b *backer) before(o *backer, extra int) bool {
	mine, theirs := int64(b.inUse+extra)*o.weight, int64(o.inUse+extra)*b.weight
	if mine != theirs {
		return mine < theirs
	}
	if b.lastGrant != o.lastGrant {
		return b.lastGrant < o.lastGrant
	}
	return b.name < o.name
}

// earlier defines the service order of the items of one backer and level.
func earlier(a, b *trackedItem) bool {
	if a.requeued != b.requeued {
		return a.requeued
	}
	if !a.due.Equal(b.due) {
		return a.due.Before(b.due)
	}
	return a.seq < b.seq
}

func (w *Weighted) backer(name string) *backer {
	b, ok := w.backers[name]
	if ok {
		return b
	}
	b = &backer{name: name}
	for l := range levels {
		b.byNextUsePos[l], b.byUsePos[l] = -1, -1
		b.queues[l] = indexedHeap[*trackedItem]{less: earlier, position: func(e *trackedItem) *int { return &e.queuePos }}
	}
	w.backers[name] = b
	w.setShare(b)
	return b
}

func (w *Weighted) setShare(b *backer) {
	share, ok := w.shares[b.name]
	if !ok {
		share = Share{Weight: 1, Limit: math.MaxInt}
	}
	b.limit = share.Limit
	b.burst = share.Burst
	b.weight = weightUnit
	if !math.IsNaN(share.Weight) {
		b.weight = max(int64(math.Round(min(share.Weight, maxWeight)*weightUnit)), 1)
	}
}

// limitAt returns the slot limit for work of a level. Only urgent and short work may use the burst.
func (b *backer) limitAt(l level) int {
	if l == urgent || l == short {
		return b.limit + b.burst
	}
	return b.limit
}

// updateIndexes updates the heaps and sums after b has changed. Callers change b only
// between subtractDemand and updateIndexes.
func (w *Weighted) updateIndexes(b *backer) {
	runnable := false
	for l := range levels {
		member := b.inUse < b.limitAt(l) && !b.queues[l].empty()
		w.byNextUse[l].update(b, member)
		w.byUse[l].update(b, member)
		runnable = runnable || member
		if runnable {
			w.demand[l].weight += b.weight
			w.demand[l].inUse += b.inUse
		}
		b.counted[l] = runnable
	}
}

// subtractDemand subtracts b from the sums in Weighted.demand before b changes.
func (w *Weighted) subtractDemand(b *backer) {
	for l := range levels {
		if b.counted[l] {
			w.demand[l].weight -= b.weight
			w.demand[l].inUse -= b.inUse
			b.counted[l] = false
		}
	}
}

// enqueue adds a waiting item to the indexes of its backer and level.
func (w *Weighted) enqueue(e *trackedItem) {
	b := e.backer
	w.subtractDemand(b)
	b.queues[e.level].update(e, true)
	b.waiting++
	w.waiting++
	w.waitingAt[e.level]++
	w.updateIndexes(b)
	w.deadlines.update(e, !e.Deadline.IsZero())
	w.aging.update(e, e.level == long)
}

// dequeue is the reverse of enqueue.
func (w *Weighted) dequeue(e *trackedItem) {
	b := e.backer
	w.subtractDemand(b)
	b.queues[e.level].update(e, false)
	b.waiting--
	w.waiting--
	w.waitingAt[e.level]--
	w.updateIndexes(b)
	w.deadlines.update(e, false)
	w.aging.update(e, false)
}

// addInUse adds delta to the slots in use of e's backer and class.
func (w *Weighted) addInUse(e *trackedItem, delta int) {
	w.subtractDemand(e.backer)
	e.backer.inUse += delta
	w.inUse += delta
	if e.level >= aged {
		w.longInUse += delta
	}
	w.updateIndexes(e.backer)
}

// Push implements Policy.
func (w *Weighted) Push(it Item) bool {
	if _, ok := w.items[it.ID]; ok {
		return false
	}
	w.seq++
	e := &trackedItem{
		Item: it, backer: w.backer(it.Backer), level: levelOf(it.Class),
		due: it.Arrived.Add(LongMaxWait), seq: w.seq, queuePos: -1, deadlinePos: -1, agingPos: -1,
	}
	if !it.Deadline.IsZero() && it.Deadline.Before(e.due) {
		e.due = it.Deadline
	}
	w.items[it.ID] = e
	w.enqueue(e)
	return true
}

// Remove implements Policy.
func (w *Weighted) Remove(id string) bool {
	e, ok := w.items[id]
	if !ok || e.running {
		return false
	}
	w.dequeue(e)
	delete(w.items, id)
	return true
}

// Finish implements Policy.
func (w *Weighted) Finish(id string) {
	if e, ok := w.items[id]; ok && e.running {
		w.addInUse(e, -1)
		delete(w.items, id)
	}
}

// Requeue implements Policy.
func (w *Weighted) Requeue(id string) {
	if e, ok := w.items[id]; ok && e.running {
		w.addInUse(e, -1)
		e.running, e.requeued = false, true
		w.enqueue(e)
	}
}

// Reclassify implements Policy.
func (w *Weighted) Reclassify(id string, class request.Class) {
	e, ok := w.items[id]
	if !ok {
		return
	}
	e.Class = class
	l := levelOf(class)
	if l == e.level || l == long && e.level == aged {
		return
	}
	if e.running {
		w.addInUse(e, -1)
		e.level = l
		w.addInUse(e, 1)
		return
	}
	w.dequeue(e)
	e.level = l
	w.enqueue(e)
}

// Expired implements Policy.
func (w *Weighted) Expired(now time.Time) []Item {
	var expired []Item
	for !w.deadlines.empty() && w.deadlines.top().Deadline.Before(now) {
		e := w.deadlines.top()
		w.dequeue(e)
		delete(w.items, e.ID)
		expired = append(expired, e.Item)
	}
	return expired
}
