// Package filter is the way of a request through an entry: a row of small filters, one file each.
//
// A request passes the filters in order; the ones it reached then see the result in reverse
// order. A filter ends the way down by returning an error or by setting Context.Answer.
//
//	chain := filter.Chain{admission, identification, deduplication, route, queue, claims, dispatch}
//	chain.Serve(&filter.Context{Ctx: ctx, HTTP: r, ...})
package filter

import (
	"context"
	"net/http"

	"github.com/rs/zerolog"

	"samphirepoint/auth"
	"samphirepoint/claim"
	"samphirepoint/dispatch"
	"samphirepoint/job"
	"samphirepoint/request"
	"samphirepoint/table"
	"samphirepoint/verdict"
)

// Answer is what the caller gets for a request that ran.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
	Worker      string
	// Replayed is set if the answer is the recorded outcome of an earlier request with the same key.
	Replayed bool
}

// Context carries one request through the filters. It is used by one goroutine at a time.
type Context struct {
	// Ctx ends at the deadline of the request, or when its caller cancels or goes away.
	Ctx context.Context
	// HTTP is the caller's request; filters after identification do not use it.
	HTTP      *http.Request
	Writer    http.ResponseWriter
	QueueName string
	Principal auth.Principal
	// Forwarded is set for requests that another entry passed on.
	Forwarded bool

	Document *table.Document
	Request  *request.Request
	Queue    table.Queue
	Grant    *dispatch.Grant
	Claim    *claim.Claim
	// Sent is set once a worker may have received the request.
	Sent bool
	// Uncertain is set once a submission ended without a known verdict: the request must not be
	// called not run any more.
	Uncertain bool
	// ForceLocal makes this entry serve a pool that it does not own in its own view.
	ForceLocal bool
	// NoWait and Attach are the options of a forwarded request.
	NoWait, Attach bool

	Answer *Answer
	// Job is set when a job submission was accepted.
	Job *job.Record
	Err error
	Log zerolog.Logger

	// call is the request's entry among those in flight, nil for idempotent and attached requests.
	call    *call
	cleanup []func()
}

// OnEnd registers f to run after the last filter.
func (c *Context) OnEnd(f func()) { c.cleanup = append(c.cleanup, f) }

// Verdict is what is known about the execution of the request at the end.
func (c *Context) Verdict() verdict.Verdict {
	if c.Err != nil {
		return verdict.Of(c.Err)
	}
	return verdict.Ran
}

// Filter is one step of the way.
type Filter interface {
	Name() string
	// Request handles the way to the worker.
	Request(c *Context) error
	// Response handles the way back. It sees Context.Answer or Context.Err.
	Response(c *Context)
}

// Chain is a row of filters.
type Chain []Filter

// Serve passes c through the chain. On return either c.Answer or c.Err is set.
func (ch Chain) Serve(c *Context) {
	reached := 0
	for _, f := range ch {
		reached++
		if c.Err = f.Request(c); c.Err != nil {
			break
		}
		if c.Answer != nil {
			break
		}
	}
	if c.Answer == nil && c.Err == nil {
		c.Err = verdict.New(verdict.NotRun, http.StatusInternalServerError, "no filter answered the request")
	}
	c.Err = c.weaken(c.Err)
	for i := reached - 1; i >= 0; i-- {
		ch[i].Response(c)
	}
	for i := len(c.cleanup) - 1; i >= 0; i-- {
		c.cleanup[i]()
	}
}
