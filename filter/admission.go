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

// Readiness tells whether an entry may take new work.
type Readiness interface {
	// Document is the configuration in force, nil before the first one.
	Document() *table.Document
	// Fresh reports whether the configuration can be trusted to be the accepted one.
	Fresh(now time.Time) bool
	// Draining reports that the entry refuses new work because it shuts down.
	Draining() bool
}

// Admission checks token, state of the entry and size before anything of the body is read.
type Admission struct {
	Verifier     auth.Verifier
	State        Readiness
	MaxBodyBytes int64
}

// Name implements Filter.
func (Admission) Name() string { return "admission" }

// staleRetryAfter is the pause asked of callers of an entry that lost contact.
const staleRetryAfter = time.Second

// Request implements Filter.
func (f Admission) Request(c *Context) error {
	principal, err := f.Verifier.Identify(c.HTTP)
	if err != nil {
		return err
	}
	c.Principal = principal
	if want := f.role(c); principal.Role != want {
		return verdict.New(verdict.NotRun, http.StatusForbidden, "token of role %q may not do this, expected role %q", principal.Role, want)
	}
	if f.State.Draining() {
		return c.unavailable("entry is shutting down")
	}
	c.Document = f.State.Document()
	if c.Document == nil {
		return c.unavailable("entry has no configuration yet")
	}
	if !f.State.Fresh(time.Now()) {
		return c.unavailable("entry has no contact with the table nor with a majority of the entries")
	}
	if c.HTTP.ContentLength > f.MaxBodyBytes {
		return verdict.New(verdict.NotRun, http.StatusRequestEntityTooLarge, "body of %d bytes is longer than %d", c.HTTP.ContentLength, f.MaxBodyBytes)
	}
	c.HTTP.Body = http.MaxBytesReader(c.Writer, c.HTTP.Body, f.MaxBodyBytes)
	return nil
}

// unavailable refuses work at an entry that serves nobody now. A forwarded request is refused as sent to the
// wrong entry, so that its receiver submits it to the next owner.
func (c *Context) unavailable(why string) error {
	if c.Forwarded {
		return verdict.Wrap(fmt.Errorf("%w: %s", dispatch.ErrNotOwner, why), verdict.NotRun, http.StatusMisdirectedRequest)
	}
	return verdict.Unavailable(staleRetryAfter, "%s", why)
}

func (Admission) role(c *Context) auth.Role {
	if c.Forwarded {
		return auth.RolePeer
	}
	return auth.RoleBacker
}

// Response implements Filter.
func (Admission) Response(*Context) {}
