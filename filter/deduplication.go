package filter

import (
	"context"
	"net/http"
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
	mu       sync.Mutex
	inFlight map[string]*inFlightCall
}

// inFlightCall is a request that resubmissions can attach to; answer and err are set before done is closed.
type inFlightCall struct {
	hash string
	// remoteForwards is above 0 while the request is forwarded to another entry.
	remoteForwards atomic.Int32
	done           chan struct{}
	answer         *Answer
	err            error
}

// markForwarded marks the call as forwarded until the returned function is called.
func (f *inFlightCall) markForwarded() (end func()) {
	if f == nil {
		return func() {}
	}
	f.remoteForwards.Add(1)
	return func() { f.remoteForwards.Add(-1) }
}

// NewDeduplication returns a filter with no requests in flight.
func NewDeduplication() *Deduplication { return &Deduplication{inFlight: map[string]*inFlightCall{}} }

// Name implements Filter.
func (*Deduplication) Name() string { return "deduplication" }

// Request implements Filter.
func (f *Deduplication) Request(c *Context) error {
	if c.Request.Idempotent {
		return nil
	}
	key := claimKey(c.Request)
	hash := request.BodyHash(c.Request.Body)
	f.mu.Lock()
	first, found := f.inFlight[key]
	if !found && c.Attach {
		f.mu.Unlock()
		return verdict.WithRetryAfter(verdict.New(verdict.MayHaveRun, http.StatusConflict, "the request with this key is no longer in flight at this entry"), attachRetryAfter)
	}
	if !found {
		own := &inFlightCall{hash: hash, done: make(chan struct{})}
		f.inFlight[key] = own
		f.mu.Unlock()
		c.inFlight = own
		c.OnEnd(func() { f.publish(key, own, c) })
		return nil
	}
	f.mu.Unlock()
	if c.Forwarded && !c.Attach && first.remoteForwards.Load() > 0 {
		// Two entries that each consider the other the owner would wait for each other. The claim decides which one runs it.
		return nil
	}
	if first.hash != hash {
		return errKeyMismatch()
	}
	c.Log.Info().Str("reason", "key in flight").Msg("request attached to the one in flight")
	return f.attach(c, first)
}

func (f *Deduplication) attach(c *Context, first *inFlightCall) error {
	select {
	case <-first.done:
	case <-c.Ctx.Done():
		return verdict.Wrap(context.Cause(c.Ctx), verdict.MayHaveRun, http.StatusGatewayTimeout)
	}
	if first.err != nil {
		return first.err
	}
	answer := *first.answer
	answer.Replayed = true
	c.Answer = &answer
	return nil
}

// publish passes the result to the attached requests and removes the key from those in flight.
func (f *Deduplication) publish(key string, own *inFlightCall, c *Context) {
	own.answer, own.err = c.Answer, c.Err
	f.mu.Lock()
	delete(f.inFlight, key)
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
