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

// ClaimHolders finds the process that holds a claim.
type ClaimHolders interface {
	// Holder returns the entry of a claim's owner and reports whether that same process, not a restarted one, may be alive.
	Holder(owner string) (Target, bool)
}

// Claims acquires the claim of a non-idempotent request right before it is sent, and records its outcome.
type Claims struct {
	Store     *claim.Store
	Holders   ClaimHolders
	Forwarder Forwarder
	// InFlight finds the holder of a claim at this entry.
	InFlight *Deduplication
}

// Name implements Filter.
func (Claims) Name() string { return "claims" }

// Request implements Filter.
func (f Claims) Request(c *Context) error {
	if c.Request.Idempotent {
		return nil
	}
	c.inFlight.setClaims(true)
	acquired, err := f.Store.Acquire(c.Ctx, claimKey(c.Request), request.BodyHash(c.Request.Body))
	if err == nil {
		c.Claim = acquired
		return nil
	}
	c.inFlight.setClaims(false)
	var existing *claim.ExistingError
	if !errors.As(err, &existing) {
		return err
	}
	c.releaseUnusedSlot()
	if existing.Mismatch {
		return errKeyMismatch()
	}
	return f.answerResubmission(c, existing.Record)
}

// answerResubmission answers a request whose key is already claimed.
func (f Claims) answerResubmission(c *Context, rec claim.Record) error {
	c.Log.Info().Str("state", string(rec.State)).Str("holder", rec.Owner).Str("reason", "key was claimed before").Msg("request not run again")
	if rec.State == claim.Done {
		return f.replay(c, rec.Outcome)
	}
	holder, alive := f.Holders.Holder(rec.Owner)
	if !alive {
		return verdict.New(verdict.MayHaveRun, http.StatusConflict, "an entry that is gone may have run the request with this key; it is not run again")
	}
	if holder.Self {
		return f.attachHere(c)
	}
	answer, err := c.forward(f.Forwarder, holder, ForwardOptions{Pool: c.Request.Pool, Attach: true})
	if err != nil {
		return f.answerUnattached(c, err)
	}
	answer.Replayed = true
	c.Answer = answer
	return nil
}

// attachHere answers a resubmission of a request whose claim this process holds.
func (f Claims) attachHere(c *Context) error {
	if call := f.InFlight.holder(claimKey(c.Request)); call != nil {
		return call.attach(c)
	}
	return errInFlight()
}

// answerUnattached answers a resubmission that could not be attached to the request at the claim's holder. The request may
// have ended meanwhile, so the claim is read again.
func (f Claims) answerUnattached(c *Context, attachErr error) error {
	rec, found, err := f.Store.Lookup(c.Ctx, claimKey(c.Request))
	if err == nil && found && rec.State == claim.Done {
		return f.replay(c, rec.Outcome)
	}
	if err == nil && found && rec.State == claim.Released {
		return verdict.Unavailable(attachRetryAfter, "the request with this key was not run; its key is free again")
	}
	return verdict.Wrap(attachErr, verdict.MayHaveRun, http.StatusConflict)
}

func errInFlight() error {
	return verdict.WithRetryAfter(verdict.New(verdict.MayHaveRun, http.StatusConflict, "the request with this key has no recorded outcome yet"), attachRetryAfter)
}

// replay answers with the recorded outcome.
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

// Response records the outcome, or releases the claim if the request provably did not run.
func (f Claims) Response(c *Context) {
	if c.Claim == nil {
		return
	}
	defer c.inFlight.setClaims(false)
	if !c.Sent {
		if !f.Store.ReleaseBy(c.Claim, c.Request.Deadline) {
			c.Log.Warn().Str("reason", "table does not answer").Msg("claim not released yet; release is retried")
		}
		return
	}
	if !f.Store.FinishBy(c.Claim, outcomeOf(c), c.Request.Deadline) {
		c.Log.Warn().Str("reason", "table does not answer").Msg("outcome not recorded yet; write is retried")
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

// releaseUnusedSlot releases the slot of a request that will not be sent.
func (c *Context) releaseUnusedSlot() {
	if c.Grant != nil {
		c.Grant.Release(dispatch.Result{Outcome: dispatch.NotSent})
		c.Grant = nil
	}
}

// OwnerName returns the name of a process in claims: entry id and start time, so that a restarted
// entry is not mistaken for its previous incarnation.
func OwnerName(entryID string, started time.Time) string {
	return entryID + "@" + started.UTC().Format(time.RFC3339Nano)
}

// SplitOwner splits a name made by OwnerName; started is the start time as text.
func SplitOwner(owner string) (entryID, started string) {
	entryID, started, _ = strings.Cut(owner, "@")
	return entryID, started
}

// detachedContext returns a context with timeout d for cleanup that must continue after the request's own context ended.
func detachedContext(d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), d)
}
