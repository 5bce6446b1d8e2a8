// Package fairqueue decides which waiting request of a pool runs next. Policies take the time as an
// argument and do no I/O. They are not safe for concurrent use; the pool's owner calls them from one
// goroutine.
package fairqueue

import (
	"time"

	"samphirepoint/request"
)

// Item is a request that waits for a slot.
type Item struct {
	ID      string
	Backer  string
	Class   request.Class
	Arrived time.Time
	// Deadline is the time after which the item need not run; zero means no deadline.
	Deadline time.Time
}

// Share is the weight and limit that the table grants a backer in one pool at one owner.
type Share struct {
	Weight float64
	// Limit is the number of slots that the backer may currently hold in this pool.
	Limit int
	// Burst is the number of slots beyond Limit that urgent and short work may use temporarily. Such work frees
	// the slots within a second after Burst is reduced; long work may not use them, since it would keep them.
	Burst int
}

// Policy orders the requests of one pool and accounts for the slots in use per backer and class.
type Policy interface {
	// Push adds an item. It returns false if an item with the same ID is already waiting or running.
	Push(it Item) bool
	// Next dequeues the item to run next and counts its slot as in use until Finish or Requeue. It
	// returns false if no waiting item may take a slot, for instance because each backer with
	// waiting items is at its limit.
	Next(now time.Time) (Item, bool)
	// Remove removes a waiting item. It returns false if the item is not waiting.
	Remove(id string) bool
	// Finish frees the slot of an item that Next returned.
	Finish(id string)
	// Requeue returns an item that Next returned to the front of its backer's queue.
	Requeue(id string)
	// Reclassify changes the class of a waiting or running item.
	Reclassify(id string, class request.Class)
	// Expired removes and returns all waiting items whose deadline is before now.
	Expired(now time.Time) []Item
	// SetShares replaces the weights and limits. Backers without a share have weight 1 and no limit.
	SetShares(shares map[string]Share)
	// SetSlots sets the number of usable slots of the pool and how many of them are reserved for short and urgent work.
	SetSlots(total, reserve int)
	// Len returns the number of waiting items.
	Len() int
	// InUse returns the number of slots in use.
	InUse() int
	// Usage returns the slots in use and the waiting items per backer.
	Usage() map[string]Usage
}

// Usage is the load of one backer in a pool.
type Usage struct {
	InUse   int
	Waiting int
}
