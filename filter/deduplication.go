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

// attachRetryAfter is the time in which an outcome is normally recorded.
const attachRetryAfter = time.Second

// Deduplication attaches a repeat of a non-idempotent key to the request in flight with
// that key at this entry, so that both callers get the one answer.
type Deduplication struct {
	mu       sync.Mutex
	inFlight map[string]*call
}

type call struct {
	hash string
	// elsewhere is above 0 while another entry works on the request.
	elsewhere atomic.Int32
	done      chan struct{}
	answer    *Answer
	err       error
}

// NewDeduplication returns a filter without requests in flight.
func NewDeduplication() *Deduplication { return &Deduplication{inFlight: map[string]*call{}} }

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
	first, repeat := f.inFlight[key]
	if !repeat && c.Attach {
		f.mu.Unlock()
		return verdict.WithRetryAfter(verdict.New(verdict.MayHaveRun, http.StatusConflict, "the request with this key is not in flight here any more"), attachRetryAfter)
	}
	if !repeat {
		own := &call{hash: hash, done: make(chan struct{})}
		f.inFlight[key] = own
		f.mu.Unlock()
		c.call = own
		c.OnEnd(func() { f.finish(key, own, c) })
		return nil
	}
	f.mu.Unlock()
	if c.Forwarded && !c.Attach && first.elsewhere.Load() > 0 {
		// Two entries that take each other for the owner would wait for each other. The claim decides.
		return nil
	}
	if first.hash != hash {
		return errKeyMismatch()
	}
	c.Log.Info().Str("reason", "key in flight").Msg("request attached")
	return f.attach(c, first)
}

func (f *Deduplication) attach(c *Context, first *call) error {
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

func (f *Deduplication) finish(key string, own *call, c *Context) {
	own.answer, own.err = c.Answer, c.Err
	f.mu.Lock()
	delete(f.inFlight, key)
	f.mu.Unlock()
	close(own.done)
}

// Response implements Filter; the result is published when the request ends.
func (*Deduplication) Response(*Context) {}

func claimKey(r *request.Request) string {
	return claim.RowKey(r.Backer, r.Queue, r.Key, r.KeyIssued)
}

func errKeyMismatch() error {
	return verdict.New(verdict.NotRun, http.StatusUnprocessableEntity, "idempotency key was used for a request with another body")
}
