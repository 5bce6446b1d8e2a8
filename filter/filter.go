// Package filter processes requests at an entry in a chain of filters, one file each.
//
// A request passes the filters in order; those it reached then see the result in reverse
// order. A filter stops the request from going further by returning an error or by setting
// Context.Answer.
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

// Answer is the response to a request that ran.
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
	// Ctx ends at the deadline of the request, when it is cancelled, or when the caller of an idempotent request disconnects.
	Ctx context.Context
	// HTTP is the caller's request. Filters after identification do not use it.
	HTTP      *http.Request
	Writer    http.ResponseWriter
	QueueName string
	Principal auth.Principal
	// Forwarded is set for requests that another entry forwarded.
	Forwarded bool

	Document *table.Document
	Request  *request.Request
	Queue    table.Queue
	Grant    *dispatch.Grant
	Claim    *claim.Claim
	// Sent is set once a worker may have received the request.
	Sent bool
	// Uncertain is set once a submission may have run: the request must not be answered with
	// not-run after that.
	Uncertain bool
	// ForceLocal makes this entry serve the request even if it does not own the pool in its own view.
	ForceLocal bool
	// NoWait and Attach are the options of a forwarded request.
	NoWait, Attach bool

	Answer *Answer
	// Job is set once a job submission is accepted.
	Job *job.Record
	Err error
	Log zerolog.Logger

	// inFlight is the request's record in Deduplication, nil for idempotent and attached requests.
	inFlight *inFlightCall
	// outstanding holds the forwards that were given up but whose answer may still arrive.
	outstanding []*Outstanding
	cleanup     []func()
}

// OnEnd registers f to run after all filters have seen the result. Functions run in reverse order of registration.
func (c *Context) OnEnd(f func()) { c.cleanup = append(c.cleanup, f) }

// ForPool returns the context of the request's submission to another pool that this entry owns itself.
func (c *Context) ForPool(o ForwardOptions) *Context {
	r := *c.Request
	r.Pool = o.Pool
	return &Context{
		Ctx: c.Ctx, Principal: c.Principal, Forwarded: true, Document: c.Document, Request: &r, Queue: c.Queue,
		NoWait: o.NoWait, Attach: o.Attach, Log: c.Log, inFlight: c.inFlight,
	}
}

// Verdict returns the verdict on the execution of the request after the chain has ended.
func (c *Context) Verdict() verdict.Verdict {
	if c.Err != nil {
		return verdict.Of(c.Err)
	}
	return verdict.Ran
}

// Filter is one step in the processing of a request.
type Filter interface {
	Name() string
	// Request handles the request on its way to the worker.
	Request(c *Context) error
	// Response handles the result on its way back, in Context.Answer or Context.Err.
	Response(c *Context)
}

// Chain is a sequence of filters.
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
	c.settle()
	c.Err = c.downgradeVerdict(c.Err)
	for i := reached - 1; i >= 0; i-- {
		ch[i].Response(c)
	}
	for i := len(c.cleanup) - 1; i >= 0; i-- {
		c.cleanup[i]()
	}
}
