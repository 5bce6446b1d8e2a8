package entry

import (
	"context"
	"sync"

	"samphirepoint/filter"
	"samphirepoint/verdict"
)

// tracker holds the requests in flight at this entry by id, so that they can be cancelled and
// other entries can ask whether they are still in flight.
type tracker struct {
	mu       sync.Mutex
	requests map[string][]*tracked
}

type tracked struct {
	backer string
	cancel context.CancelCauseFunc
	// forwardedTo is the entry that works on the request, empty if it is this one.
	forwardedTo string
}

func newTracker() *tracker { return &tracker{requests: map[string][]*tracked{}} }

// track registers a request until the returned function is called. A request from a caller must have an unused id.
// Forwarded requests may share an id, since an entry forwards a request again after a broken connection.
func (t *tracker) track(c *filter.Context, cancel context.CancelCauseFunc) (untrack func(), ok bool) {
	id := c.Request.ID
	own := &tracked{backer: c.Request.Backer, cancel: cancel}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !c.Forwarded && len(t.requests[id]) > 0 {
		return nil, false
	}
	t.requests[id] = append(t.requests[id], own)
	return func() { t.remove(id, own) }, true
}

func (t *tracker) remove(id string, own *tracked) {
	t.mu.Lock()
	defer t.mu.Unlock()
	remaining := t.requests[id][:0]
	for _, r := range t.requests[id] {
		if r != own {
			remaining = append(remaining, r)
		}
	}
	if len(remaining) == 0 {
		delete(t.requests, id)
		return
	}
	t.requests[id] = remaining
}

// inFlight reports whether a request with this id is in flight at this entry.
func (t *tracker) inFlight(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.requests[id]) > 0
}

// setForwarded records which entry works on a request; an empty entryID means this one.
func (t *tracker) setForwarded(id, entryID string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.requests[id] {
		r.forwardedTo = entryID
	}
}

// cancel cancels a backer's requests with this id that this entry works on itself, and returns the entries that
// work on the others. An empty backer matches all. found is false if there is no such request.
func (t *tracker) cancel(id, backer string) (forwardedTo []string, found bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.requests[id] {
		if backer != "" && r.backer != backer {
			continue
		}
		found = true
		if r.forwardedTo != "" {
			forwardedTo = append(forwardedTo, r.forwardedTo)
			continue
		}
		r.cancel(verdict.ErrCancelled)
	}
	return forwardedTo, found
}

// cancelHere cancels a backer's requests with this id even if another entry works on them. It is used when that entry
// cannot be reached or has no such request. An empty backer matches all.
func (t *tracker) cancelHere(id, backer string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.requests[id] {
		if backer == "" || r.backer == backer {
			r.cancel(verdict.ErrCancelled)
		}
	}
}

// count returns the number of requests in flight.
func (t *tracker) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, rs := range t.requests {
		n += len(rs)
	}
	return n
}
