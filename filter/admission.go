package filter

import (
	"fmt"
	"net/http"
	"time"

	"samphirepoint/auth"
	"samphirepoint/dispatch"
	"samphirepoint/table"
	"samphirepoint/verdict"
)

// Readiness reports whether an entry may accept new work.
type Readiness interface {
	// Document returns the configuration in force, or nil before the first one.
	Document() *table.Document
	// Fresh reports whether the configuration can be trusted to be the accepted one.
	Fresh(now time.Time) bool
	// Draining reports whether the entry rejects new work because it is shutting down.
	Draining() bool
}

// Admission checks the token, the entry's readiness and the body size before any part of the body is read.
type Admission struct {
	Verifier     auth.Verifier
	State        Readiness
	MaxBodyBytes int64
}

// Name implements Filter.
func (Admission) Name() string { return "admission" }

// unavailableRetryAfter is the Retry-After sent by an entry that cannot serve requests, such as one that lost contact with
// its peers.
const unavailableRetryAfter = time.Second

// Request implements Filter.
func (f Admission) Request(c *Context) error {
	principal, err := f.Verifier.Identify(c.HTTP)
	if err != nil {
		return err
	}
	c.Principal = principal
	if required := f.requiredRole(c); principal.Role != required {
		return verdict.New(verdict.NotRun, http.StatusForbidden, "token has role %q, this request requires role %q", principal.Role, required)
	}
	c.Document = f.State.Document()
	if c.Document == nil {
		return c.unavailableError("entry has no configuration yet")
	}
	// A repeat that only attaches to a request in flight is no new work.
	if !c.Attach {
		if err := f.rejectNewWork(c); err != nil {
			return err
		}
	}
	if c.HTTP.ContentLength > f.MaxBodyBytes {
		return verdict.New(verdict.NotRun, http.StatusRequestEntityTooLarge, "body of %d bytes exceeds the limit of %d bytes", c.HTTP.ContentLength, f.MaxBodyBytes)
	}
	c.HTTP.Body = http.MaxBytesReader(c.Writer, c.HTTP.Body, f.MaxBodyBytes)
	return nil
}

// rejectNewWork returns an error if the entry must not accept new work now.
func (f Admission) rejectNewWork(c *Context) error {
	if f.State.Draining() {
		return c.unavailableError("entry is shutting down")
	}
	if !f.State.Fresh(time.Now()) {
		return c.unavailableError("entry has contact with neither the table nor a majority of the entries")
	}
	return nil
}

// unavailableError returns the error of an entry that cannot serve requests. A forwarded request is rejected as
// misdirected, so that the entry that received it from the caller submits it to the next owner.
func (c *Context) unavailableError(reason string) error {
	if c.Forwarded {
		return verdict.Wrap(fmt.Errorf("%w: %s", dispatch.ErrNotOwner, reason), verdict.NotRun, http.StatusMisdirectedRequest)
	}
	return verdict.Unavailable(unavailableRetryAfter, "%s", reason)
}

func (Admission) requiredRole(c *Context) auth.Role {
	if c.Forwarded {
		return auth.RolePeer
	}
	return auth.RoleBacker
}

// Response implements Filter.
func (Admission) Response(*Context) {}
