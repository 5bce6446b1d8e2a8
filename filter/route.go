package filter

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"samphirepoint/dispatch"
	"samphirepoint/verdict"
)

const (
	// maxHops bounds the forwards of a request: from the receiver to a relay to the owner.
	maxHops = 2
	// rerouteBackoff is the wait before the owner is looked up again after a failed forward.
	rerouteBackoff = 50 * time.Millisecond
)

// Target is an entry that a request can be forwarded to.
type Target struct {
	ID   string
	Self bool
}

// Router finds the owners of pools, and entries that relay to them.
type Router interface {
	// Owner returns the entry that owns pool in the view of this entry, ignoring the entries
	// in except.
	Owner(pool string, except []string) (Target, bool)
	// Relay returns an entry that may reach target although this one cannot. It reports false if
	// target has no recent heartbeat, since it is then down and not just partitioned from this entry.
	Relay(target Target, except []string) (Target, bool)
	// Suspect records that a forward to target failed and reports whether target answers a ping.
	Suspect(ctx context.Context, target Target) (alive bool)
}

// Forwarder sends a request to another entry.
type Forwarder interface {
	// Forward returns the answer, or an error with the verdict of the other entry. A transport error
	// wraps ErrUnreachable; it is a *SilentError if the answer may still arrive.
	Forward(c *Context, to Target, o ForwardOptions) (*Answer, error)
}

// ForwardOptions determine how the other entry handles the request.
type ForwardOptions struct {
	Pool string
	// NoWait requires a free slot at once; the request is rejected otherwise.
	NoWait bool
	// Attach requests the result of the request with the same key that is in flight at the other entry.
	Attach bool
}

// ErrUnreachable reports that a forward failed in the transport.
var ErrUnreachable = errors.New("entry cannot be reached")

// Route forwards a request to the owner of its pool, or passes it to the next filter if this entry is the owner.
type Route struct {
	Router    Router
	Forwarder Forwarder
}

// Name implements Filter.
func (Route) Name() string { return "route" }

// Request implements Filter.
func (f Route) Request(c *Context) error {
	if c.Forwarded && c.Request.Hops >= maxHops {
		// Serving the request at two owners is safe, forwarding it without end is not.
		c.ForceLocal = true
		return nil
	}
	return f.route(c)
}

func (f Route) route(c *Context) error {
	var last error
	var failed []string
	for {
		target, ok := f.Router.Owner(c.Request.Pool, slices.Concat(failed, c.Request.Visited))
		if !ok || target.Self {
			c.ForceLocal = !ok || len(failed)+len(c.Request.Visited) > 0
			c.Log.Debug().Str("pool", c.Request.Pool).Str("reason", "this entry owns the pool").Msg("request routed")
			return nil
		}
		c.Log.Info().Str("pool", c.Request.Pool).Str("owner", target.ID).Str("reason", "owner of the pool").Msg("request routed")
		answer, err := c.forward(f.Forwarder, target, ForwardOptions{Pool: c.Request.Pool})
		if err == nil {
			c.Answer = answer
			return nil
		}
		if !f.shouldResubmit(err) {
			return c.downgradeVerdict(err)
		}
		c.markUncertain(err)
		last = err
		if errors.Is(err, ErrUnreachable) && !f.Router.Suspect(c.Ctx, target) {
			failed = append(failed, target.ID)
			answer, err := f.relay(c, target, failed)
			if answer != nil || err != nil {
				c.Answer = answer
				return c.downgradeVerdict(err)
			}
		}
		if !sleepContext(c.Ctx, rerouteBackoff) {
			return c.downgradeVerdict(last)
		}
	}
}

// relay forwards the request through another entry if the target is partitioned from this entry only. Both
// results are nil if there is no such entry or the forward through it failed as well.
func (f Route) relay(c *Context, target Target, failed []string) (*Answer, error) {
	via, ok := f.Router.Relay(target, slices.Concat(failed, c.Request.Visited))
	if !ok || c.Request.Hops+1 >= maxHops {
		return nil, nil
	}
	c.Log.Info().Str("pool", c.Request.Pool).Str("owner", target.ID).Str("relay", via.ID).Str("reason", "owner is unreachable from this entry").Msg("request routed")
	answer, err := c.forward(f.Forwarder, via, ForwardOptions{Pool: c.Request.Pool})
	if err != nil && f.shouldResubmit(err) {
		c.markUncertain(err)
		return nil, nil
	}
	return answer, err
}

// shouldResubmit reports whether another submission of the request may succeed. Non-idempotent work is submitted again as
// well, since its claim in the table decides whether a second submission may run it.
func (f Route) shouldResubmit(err error) bool {
	return errors.Is(err, ErrUnreachable) || errors.Is(err, dispatch.ErrNotOwner)
}

// Response implements Filter.
func (Route) Response(*Context) {}

// markUncertain records that a submission may have run, whatever the verdict of a later one. The answer of an outstanding
// forward may still tell; Context.settle waits for it.
func (c *Context) markUncertain(err error) {
	var silent *SilentError
	if !errors.As(err, &silent) && verdict.Of(err) != verdict.NotRun {
		c.Uncertain = true
	}
}

// downgradeVerdict changes the verdict of err from not-run to may-have-run if an earlier submission may have run.
func (c *Context) downgradeVerdict(err error) error {
	if !c.Uncertain || !verdict.Is(err, verdict.NotRun) {
		return err
	}
	// The text of err tells only about the last submission, for instance that it was not started.
	err = fmt.Errorf("an earlier submission of the request may have run, the last one was rejected: %w", err)
	return verdict.Wrap(err, verdict.MayHaveRun, http.StatusBadGateway)
}
