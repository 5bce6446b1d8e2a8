package fairqueue

import (
	"math"
	"time"

	"samphirepoint/request"
)

const (
	// LongMaxWait is the wait after which long work may use the upper half of the reserve
	// (design page, 3.5). It also bounds how far a deadline moves an item ahead of
	// earlier items of the same backer and class.
	LongMaxWait = 30 * time.Second
	// longFloorDivisor sets the slots, as a part of the pool, up to which long work
	// that waited over LongMaxWait goes before urgent and short work. Without it a
	// backer's own short work could starve its long work for ever.
	longFloorDivisor = 10
	// weightUnit converts weights to integers, so that shares are compared exactly and
	// sums over backers do not drift.
	weightUnit = 1000
	// maxWeight keeps products of a weight and a slot count inside 64 bits.
	maxWeight = 1e9
	// idleGrants is the number of grants after which an idle backer without a share is
	// forgotten. Until then its last grant still decides ties.
	idleGrants = 10000
)

// level is a class as the queue orders it. Aged holds long work that waited over LongMaxWait.
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

// entry is an item that waits or runs.
type entry struct {
	Item
	backer   *backer
	level    level
	running  bool
	requeued bool
	// due orders the items of a backer and level: the deadline, but at most LongMaxWait
	// after the arrival.
	due        time.Time
	seq        int64
	inQueue    int
	inDeadline int
	inAging    int
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
	queues    [levels]indexed[*entry]
	// next and held are the positions in Weighted.next and Weighted.held.
	next [levels]int
	held [levels]int
	// counted says in which of Weighted.demand the backer is counted.
	counted [levels]bool
}

// demand sums the backers that may take a slot if the levels up to some level may run.
type demand struct {
	weight int64
	inUse  int
}

// Weighted serves classes in the order urgent, short, long. Within a class it serves the backer
// with the lowest (slots in use + 1) / weight that is below its limit; ties go to the backer
// that was served least recently. A backer's use counts over all its classes.
//
// Class order holds among backers within their share. The share of a backer is the part, by
// weight, of the slots that the backers with runnable work hold or may take. Some
// such backer always holds less than its share when a slot is free, so the rule never leaves a slot idle.
//
// Long work never takes a slot if it holds total - reserve slots or more; work that waited
// over LongMaxWait may go on up to total - reserve/2 slots.
//
// Push, Next, Finish, Remove, Requeue and Reclassify cost O(log backers + log items). SetShares costs
// O(backers log backers).
type Weighted struct {
	total, reserve int
	inUse          int
	longInUse      int
	seq            int64
	grants         int64
	// agedTurn allows aged work to go before urgent work; it is withdrawn for one grant
	// after each use, so that the floor cannot take every grant of a very small pool.
	agedTurn bool
	entries  map[string]*entry
	waiting  int
	// waitingAt counts the waiting items per level.
	waitingAt [levels]int
	backers   map[string]*backer
	shares    map[string]Share
	// next and held contain, for each level, the backers below their limit with waiting items of the
	// level, ordered by (slots in use + 1) / weight and by slots in use / weight.
	next, held [levels]indexed[*backer]
	// demand[l] sums the backers that are in next[0] to next[l].
	demand [levels]demand
	// deadlines holds the waiting items with a deadline, aging the waiting items of level long.
	deadlines, aging indexed[*entry]
}

// NewWeighted returns an empty queue without slots; see SetSlots and SetShares.
func NewWeighted() *Weighted {
	w := &Weighted{
		agedTurn: true,
		entries:  map[string]*entry{},
		backers:  map[string]*backer{},
		deadlines: indexed[*entry]{
			less:     func(a, b *entry) bool { return a.Deadline.Before(b.Deadline) },
			position: func(e *entry) *int { return &e.inDeadline },
		},
		aging: indexed[*entry]{
			less:     func(a, b *entry) bool { return a.Arrived.Before(b.Arrived) },
			position: func(e *entry) *int { return &e.inAging },
		},
	}
	for l := range levels {
		w.next[l] = indexed[*backer]{
			less:     func(a, b *backer) bool { return a.before(b, 1) },
			position: func(b *backer) *int { return &b.next[l] },
		}
		w.held[l] = indexed[*backer]{
			less:     func(a, b *backer) bool { return a.before(b, 0) },
			position: func(b *backer) *int { return &b.held[l] },
		}
	}
	return w
}

// before compares (slots in use + extra) / weight without rounding; ties go to the earlier
// last grant, then by name.
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

// earlier orders the items of one backer and level.
func earlier(a, b *entry) bool {
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
		b.next[l], b.held[l] = -1, -1
		b.queues[l] = indexed[*entry]{less: earlier, position: func(e *entry) *int { return &e.inQueue }}
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

// limitAt is the limit for work of a level. Only urgent and short work may use the burst.
func (b *backer) limitAt(l level) int {
	if l == urgent || l == short {
		return b.limit + b.burst
	}
	return b.limit
}

// refresh brings the heaps and sums up to date after a change of b. Callers change b only
// between takeOut and refresh.
func (w *Weighted) refresh(b *backer) {
	runnable := false
	for l := range levels {
		member := b.inUse < b.limitAt(l) && !b.queues[l].empty()
		w.next[l].set(b, member)
		w.held[l].set(b, member)
		runnable = runnable || member
		if runnable {
			w.demand[l].weight += b.weight
			w.demand[l].inUse += b.inUse
		}
		b.counted[l] = runnable
	}
}

// takeOut removes b's part of the sums before b changes.
func (w *Weighted) takeOut(b *backer) {
	for l := range levels {
		if b.counted[l] {
			w.demand[l].weight -= b.weight
			w.demand[l].inUse -= b.inUse
			b.counted[l] = false
		}
	}
}

// enqueue adds a waiting entry to the indexes of its backer and level.
func (w *Weighted) enqueue(e *entry) {
	b := e.backer
	w.takeOut(b)
	b.queues[e.level].set(e, true)
	b.waiting++
	w.waiting++
	w.waitingAt[e.level]++
	w.refresh(b)
	w.deadlines.set(e, !e.Deadline.IsZero())
	w.aging.set(e, e.level == long)
}

// dequeue is the reverse of enqueue.
func (w *Weighted) dequeue(e *entry) {
	b := e.backer
	w.takeOut(b)
	b.queues[e.level].set(e, false)
	b.waiting--
	w.waiting--
	w.waitingAt[e.level]--
	w.refresh(b)
	w.deadlines.set(e, false)
	w.aging.set(e, false)
}

// hold adds delta to the slots that e's backer and class hold.
func (w *Weighted) hold(e *entry, delta int) {
	w.takeOut(e.backer)
	e.backer.inUse += delta
	w.inUse += delta
	if e.level >= aged {
		w.longInUse += delta
	}
	w.refresh(e.backer)
}

// Push implements Policy.
func (w *Weighted) Push(it Item) bool {
	if _, ok := w.entries[it.ID]; ok {
		return false
	}
	w.seq++
	e := &entry{
		Item: it, backer: w.backer(it.Backer), level: levelOf(it.Class),
		due: it.Arrived.Add(LongMaxWait), seq: w.seq, inQueue: -1, inDeadline: -1, inAging: -1,
	}
	if !it.Deadline.IsZero() && it.Deadline.Before(e.due) {
		e.due = it.Deadline
	}
	w.entries[it.ID] = e
	w.enqueue(e)
	return true
}

// Remove implements Policy.
func (w *Weighted) Remove(id string) bool {
	e, ok := w.entries[id]
	if !ok || e.running {
		return false
	}
	w.dequeue(e)
	delete(w.entries, id)
	return true
}

// Finish implements Policy.
func (w *Weighted) Finish(id string) {
	if e, ok := w.entries[id]; ok && e.running {
		w.hold(e, -1)
		delete(w.entries, id)
	}
}

// Requeue implements Policy.
func (w *Weighted) Requeue(id string) {
	if e, ok := w.entries[id]; ok && e.running {
		w.hold(e, -1)
		e.running, e.requeued = false, true
		w.enqueue(e)
	}
}

// Reclassify implements Policy.
func (w *Weighted) Reclassify(id string, class request.Class) {
	e, ok := w.entries[id]
	if !ok {
		return
	}
	e.Class = class
	l := levelOf(class)
	if l == e.level || l == long && e.level == aged {
		return
	}
	if e.running {
		w.hold(e, -1)
		e.level = l
		w.hold(e, 1)
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
		delete(w.entries, e.ID)
		expired = append(expired, e.Item)
	}
	return expired
}
