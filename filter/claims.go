package filter

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"samphirepoint/claim"
	"samphirepoint/dispatch"
	"samphirepoint/request"
	"samphirepoint/verdict"
)

// Holders tells whether the process named in a claim is alive.
type Holders interface {
	// Holder returns the entry behind a claim owner, and whether that very process is alive.
	Holder(owner string) (Target, bool)
}

// Claims takes the claim of a non-idempotent request right before it is sent, and records its outcome.
type Claims struct {
	Store     *claim.Store
	Holders   Holders
	Forwarder Forwarder
}

// Name implements Filter.
func (Claims) Name() string { return "claims" }

// Request implements Filter.
func (f Claims) Request(c *Context) error {
	if c.Request.Idempotent {
		return nil
	}
	taken, err := f.Store.Acquire(c.Ctx, claimKey(c.Request), request.BodyHash(c.Request.Body))
	if err == nil {
		c.Claim = taken
		return nil
	}
	var existing *claim.ExistingError
	if !errors.As(err, &existing) {
		return err
	}
	c.releaseUnused()
	if existing.Mismatch {
		return errKeyMismatch()
	}
	return f.repeat(c, existing.Record)
}

// repeat answers a request whose key was claimed before.
func (f Claims) repeat(c *Context, rec claim.Record) error {
	c.Log.Info().Str("state", string(rec.State)).Str("holder", rec.Owner).Str("reason", "key was claimed before").Msg("request not run again")
	if rec.State == claim.Done {
		return f.replay(c, rec.Outcome)
	}
	holder, alive := f.Holders.Holder(rec.Owner)
	if !alive {
		return verdict.New(verdict.MayHaveRun, http.StatusConflict, "an entry that is gone may have run the request with this key; it is not run again")
	}
	if holder.Self {
		return errInFlight()
	}
	answer, err := c.forward(f.Forwarder, holder, ForwardOptions{Pool: c.Request.Pool, Attach: true})
	if err != nil {
		return f.afterMiss(c, err)
	}
	answer.Replayed = true
	c.Answer = answer
	return nil
}

// afterMiss answers a repeat that was not attached at the claim's holder: the request may have ended meanwhile.
func (f Claims) afterMiss(c *Context, miss error) error {
	rec, found, err := f.Store.Lookup(c.Ctx, claimKey(c.Request))
	if err == nil && found && rec.State == claim.Done {
		return f.replay(c, rec.Outcome)
	}
	return verdict.Wrap(miss, verdict.MayHaveRun, http.StatusConflict)
}

func errInFlight() error {
	return verdict.WithRetryAfter(verdict.New(verdict.MayHaveRun, http.StatusConflict, "the request with this key has no recorded outcome yet"), attachRetryAfter)
}

// replay gives the recorded outcome.
func (f Claims) replay(c *Context, o claim.Outcome) error {
	if o.Error != "" {
		return verdict.New(o.ParsedVerdict(), o.Status, "%s", o.Error)
	}
	body, err := f.Store.Body(c.Ctx, o)
	if err != nil {
		err = verdict.Wrap(err, verdict.Ran, http.StatusServiceUnavailable)
		return verdict.WithRetryAfter(err, attachRetryAfter)
	}
	c.Answer = &Answer{Status: o.Status, ContentType: o.ContentType, Body: body, Worker: o.Worker, Replayed: true}
	return nil
}

// Response records the outcome, or gives the claim back if the request provably did not run.
func (f Claims) Response(c *Context) {
	if c.Claim == nil {
		return
	}
	if !c.Sent {
		if !f.Store.Release(c.Claim) {
			c.Log.Warn().Str("reason", "table does not answer").Msg("claim is released later")
		}
		return
	}
	if !f.Store.Finish(c.Claim, outcomeOf(c)) {
		c.Log.Warn().Str("reason", "table does not answer").Msg("outcome is recorded later")
	}
}

func outcomeOf(c *Context) claim.Outcome {
	if c.Err != nil {
		return claim.Outcome{Verdict: verdict.Of(c.Err).String(), Status: verdict.Status(c.Err), Error: c.Err.Error()}
	}
	return claim.Outcome{
		Verdict:     verdict.Ran.String(),
		Status:      c.Answer.Status,
		ContentType: c.Answer.ContentType,
		Worker:      c.Answer.Worker,
		Body:        c.Answer.Body,
	}
}

// releaseUnused frees the slot of a request that will not be sent.
func (c *Context) releaseUnused() {
	if c.Grant != nil {
		c.Grant.Release(dispatch.Result{Outcome: dispatch.NotSent})
		c.Grant = nil
	}
}

// OwnerName is the name of a process in claims: entry id and start time, so that a restarted
// entry is not taken for its predecessor.
func OwnerName(entryID string, started time.Time) string {
	return entryID + "@" + started.UTC().Format(time.RFC3339Nano)
}

// SplitOwner is the inverse of OwnerName; the second part is the start time as text.
func SplitOwner(owner string) (entryID, started string) {
	entryID, started, _ = strings.Cut(owner, "@")
	return entryID, started
}

// waitContext bounds bookkeeping that must go on after the request's own context ended.
func waitContext(d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), d)
}
