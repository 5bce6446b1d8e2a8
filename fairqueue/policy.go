// Package fairqueue decides which waiting request of a pool runs next. Policies are pure: they
// take the time as an argument, do no I/O and are not safe for concurrent use; the
// pool's owner calls them from one goroutine.
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
	// Deadline is the time after which the item is of no use; zero means none.
	Deadline time.Time
}

// Share is what the table grants a backer in one pool at one owner.
type Share struct {
	Weight float64
	// Limit is the largest number of slots that the backer may hold in this pool now.
	Limit int
	// Burst is the number of slots beyond Limit that urgent and short work may hold for the moment. It ends
	// within a second of a change, since such work does; long work would hold the slots on.
	Burst int
}

// Policy orders the requests of one pool and accounts the slots in use per backer and class.
type Policy interface {
	// Push adds an item; it reports false if an item with that ID waits or runs already.
	Push(it Item) bool
	// Next takes out the item to run now and counts it as in use until Finish. It
	// reports false if no waiting item may take a slot, for instance because each backer with
	// waiting work is at its limit.
	Next(now time.Time) (Item, bool)
	// Remove takes out a waiting item; it reports false if the item does not wait.
	Remove(id string) bool
	// Finish frees the slot of an item that Next returned.
	Finish(id string)
	// Requeue puts an item that Next returned back at the front of its backer's queue.
	Requeue(id string)
	// Reclassify changes the class of a waiting or running item.
	Reclassify(id string, class request.Class)
	// Expired takes out all waiting items whose deadline lies before now.
	Expired(now time.Time) []Item
	// SetShares replaces the weights and limits. Backers without a share get weight 1 and no limit.
	SetShares(shares map[string]Share)
	// SetSlots tells the number of usable slots of the pool and how many of them long work must leave free.
	SetSlots(total, reserve int)
	// Len is the number of waiting items.
	Len() int
	// InUse is the number of slots counted as in use.
	InUse() int
	// Usage returns slots in use and waiting items per backer, for reports and gossip.
	Usage() map[string]Usage
}

// Usage is the state of one backer in a pool.
type Usage struct {
	InUse   int
	Waiting int
}
