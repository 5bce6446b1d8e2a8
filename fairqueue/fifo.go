package fairqueue

import (
	"time"

	"samphirepoint/request"
)

// FIFO is the baseline policy: one queue per pool, served in order of arrival, without shares,
// limits or classes.
type FIFO struct {
	waiting []Item
	running map[string]Item
	total   int
}

// NewFIFO returns an empty FIFO.
func NewFIFO() *FIFO { return &FIFO{running: map[string]Item{}} }

func (f *FIFO) indexOf(id string) int {
	for i, it := range f.waiting {
		if it.ID == id {
			return i
		}
	}
	return -1
}

// Push implements Policy.
func (f *FIFO) Push(it Item) bool {
	if _, ok := f.running[it.ID]; ok || f.indexOf(it.ID) >= 0 {
		return false
	}
	f.waiting = append(f.waiting, it)
	return true
}

// Next implements Policy.
func (f *FIFO) Next(time.Time) (Item, bool) {
	if len(f.waiting) == 0 || len(f.running) >= f.total {
		return Item{}, false
	}
	it := f.waiting[0]
	f.waiting = f.waiting[1:]
	f.running[it.ID] = it
	return it, true
}

// Remove implements Policy.
func (f *FIFO) Remove(id string) bool {
	i := f.indexOf(id)
	if i < 0 {
		return false
	}
	f.waiting = append(f.waiting[:i], f.waiting[i+1:]...)
	return true
}

// Finish implements Policy.
func (f *FIFO) Finish(id string) { delete(f.running, id) }

// Requeue implements Policy.
func (f *FIFO) Requeue(id string) {
	it, ok := f.running[id]
	if !ok {
		return
	}
	delete(f.running, id)
	f.waiting = append([]Item{it}, f.waiting...)
}

// Reclassify implements Policy; a FIFO ignores classes.
func (f *FIFO) Reclassify(string, request.Class) {}

// Expired implements Policy.
func (f *FIFO) Expired(now time.Time) []Item {
	var expired []Item
	kept := f.waiting[:0]
	for _, it := range f.waiting {
		if !it.Deadline.IsZero() && it.Deadline.Before(now) {
			expired = append(expired, it)
			continue
		}
		kept = append(kept, it)
	}
	f.waiting = kept
	return expired
}

// SetShares implements Policy; a FIFO ignores shares.
func (f *FIFO) SetShares(map[string]Share) {}

// SetSlots implements Policy; a FIFO ignores the reserve.
func (f *FIFO) SetSlots(total, _ int) { f.total = total }

// Len implements Policy.
func (f *FIFO) Len() int { return len(f.waiting) }

// InUse implements Policy.
func (f *FIFO) InUse() int { return len(f.running) }

// Usage implements Policy.
func (f *FIFO) Usage() map[string]Usage {
	usage := map[string]Usage{}
	for _, it := range f.waiting {
		u := usage[it.Backer]
		u.Waiting++
		usage[it.Backer] = u
	}
	for _, it := range f.running {
		u := usage[it.Backer]
		u.InUse++
		usage[it.Backer] = u
	}
	return usage
}
