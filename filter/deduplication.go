package filter

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"samphirepoint/claim"
	"samphirepoint/request"
	"samphirepoint/verdict"
)

// attachRetryAfter is the Retry-After for a resubmission whose outcome is not available yet; an outcome is normally
// recorded within this time.
const attachRetryAfter = time.Second

// Deduplication attaches a non-idempotent request to the request with the same key that is in flight
// at this entry, so that both callers get the same answer.
type Deduplication struct {
	mu sync.Mutex
	// calls holds the requests in flight by key, in the order of arrival. There are several if two entries forward a
	// request to each other.
	calls map[string][]*inFlightCall
}

// inFlightCall is a request that resubmissions can attach to; answer and err are set before done is closed.
type inFlightCall struct {
	hash string
	// remoteForwards is above 0 while the request is forwarded to another entry.
	remoteForwards atomic.Int32
	// claims is set while the request acquires or holds the claim of its key. It then waits for no other request.
	claims atomic.Bool
	done   chan struct{}
	answer *Answer
	err    error
}

// markForwarded marks the call as forwarded until the returned function is called.
func (call *inFlightCall) markForwarded() (end func()) {
	if call == nil {
		return func() {}
	}
	call.remoteForwards.Add(1)
	return func() { call.remoteForwards.Add(-1) }
}

// setClaims sets whether the call acquires or holds the claim of its key.
func (call *inFlightCall) setClaims(v bool) {
	if call != nil {
		call.claims.Store(v)
	}
}

// NewDeduplication returns a filter with no requests in flight.
func NewDeduplication() *Deduplication {
	return &Deduplication{calls: map[string][]*inFlightCall{}}
}

// Name implements Filter.
func (*Deduplication) Name() string { return "deduplication" }

// Request implements Filter.
func (f *Deduplication) Request(c *Context) error {
	if c.Request.Idempotent {
		return nil
	}
	key := claimKey(c.Request)
	hash := request.BodyHash(c.Request.Body)
	first := f.join(key, hash, c)
	switch {
	case first == nil && c.Attach:
		return verdict.WithRetryAfter(verdict.New(verdict.MayHaveRun, http.StatusConflict, "the request with this key is no longer in flight at this entry"), attachRetryAfter)
	case first == nil:
		c.OnEnd(func() { f.publish(key, c) })
		return nil
	case first.hash != hash:
		return errKeyMismatch()
	}
	return first.attach(c)
}

// join returns the request that c attaches to, or nil after it has added c to the requests in flight. If c must
// attach, it is not added.
func (f *Deduplication) join(key, hash string, c *Context) *inFlightCall {
	f.mu.Lock()
	defer f.mu.Unlock()
	if call := f.claiming(key); call != nil {
		return call
	}
	if c.Attach {
		return nil
	}
	// Two entries that each consider the other the owner would wait for each other if a forwarded request attached to one that
	// is forwarded as well. The claim decides which one runs.
	if calls := f.calls[key]; len(calls) > 0 && (!c.Forwarded || calls[0].remoteForwards.Load() == 0) {
		return calls[0]
	}
	c.inFlight = &inFlightCall{hash: hash, done: make(chan struct{})}
	f.calls[key] = append(f.calls[key], c.inFlight)
	return nil
}

// claiming returns the request in flight that acquires or holds the claim of a key, or nil. The caller holds the lock.
func (f *Deduplication) claiming(key string) *inFlightCall {
	for _, call := range f.calls[key] {
		if call.claims.Load() {
			return call
		}
	}
	return nil
}

// holder returns the request in flight that acquires or holds the claim of a key, or nil.
func (f *Deduplication) holder(key string) *inFlightCall {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.claiming(key)
}

// attach waits for the result of the call and makes it the result of c.
func (call *inFlightCall) attach(c *Context) error {
	c.Log.Info().Str("reason", "key in flight").Msg("request attached to the one in flight")
	select {
	case <-call.done:
	case <-c.Ctx.Done():
		return verdict.Wrap(context.Cause(c.Ctx), verdict.MayHaveRun, http.StatusGatewayTimeout)
	}
	if call.err != nil {
		return call.err
	}
	answer := *call.answer
	answer.Replayed = true
	c.Answer = &answer
	return nil
}

// publish passes the result of c to the attached requests and removes c from those in flight.
func (f *Deduplication) publish(key string, c *Context) {
	own := c.inFlight
	own.answer, own.err = c.Answer, c.Err
	f.mu.Lock()
	f.calls[key] = slices.DeleteFunc(f.calls[key], func(call *inFlightCall) bool { return call == own })
	if len(f.calls[key]) == 0 {
		delete(f.calls, key)
	}
	f.mu.Unlock()
	close(own.done)
}

// Response implements Filter. The result is published when the request ends, after all filters.
func (*Deduplication) Response(*Context) {}

func claimKey(r *request.Request) string {
	return claim.RowKey(r.Backer, r.Queue, r.Key, r.KeyIssued)
}

func errKeyMismatch() error {
	return verdict.New(verdict.NotRun, http.StatusUnprocessableEntity, "idempotency key was used for a request with another body")
}
