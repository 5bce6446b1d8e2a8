package entry

import (
	"context"
	"sync"

	"samphirepoint/filter"
	"samphirepoint/verdict"
)

// tracker knows the requests in flight at this entry by id, so that they can be cancelled and
// other entries can ask whether they are still worked on.
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

// track registers a request until the returned function is called. A caller's id must not be in use;
// forwarded requests may share an id, since a receiver submits again after a broken connection.
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
	rest := t.requests[id][:0]
	for _, r := range t.requests[id] {
		if r != own {
			rest = append(rest, r)
		}
	}
	if len(rest) == 0 {
		delete(t.requests, id)
		return
	}
	t.requests[id] = rest
}

// knows reports whether the entry works on a request with this id.
func (t *tracker) knows(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.requests[id]) > 0
}

// setForwarded notes which entry works on a request; empty means this one.
func (t *tracker) setForwarded(id, entryID string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.requests[id] {
		r.forwardedTo = entryID
	}
}

// cancel cancels the requests with this id that this entry works on itself and returns the entries that
// work on the others. An empty backer matches all. found is false if the id is unknown.
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

// cancelHere cancels a backer's requests with this id although another entry works on them, because that entry
// cannot be reached. An empty backer matches all.
func (t *tracker) cancelHere(id, backer string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.requests[id] {
		if backer == "" || r.backer == backer {
			r.cancel(verdict.ErrCancelled)
		}
	}
}

// count is the number of requests in flight.
func (t *tracker) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, rs := range t.requests {
		n += len(rs)
	}
	return n
}
