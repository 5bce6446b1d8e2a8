package filter

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"samphirepoint/dispatch"
	"samphirepoint/verdict"
)

const (
	// maxHops bounds forwards of a request: receiver to relay to owner.
	maxHops = 2
	// rerouteDelay is the pause before the owner is looked up again after a refusal.
	rerouteDelay = 50 * time.Millisecond
)

// Target is an entry that a request can be forwarded to.
type Target struct {
	ID   string
	Self bool
}

// Router knows the owners of pools.
type Router interface {
	// Owner returns the entry that owns pool in the view of this entry, leaving out the entries
	// in except.
	Owner(pool string, except []string) (Target, bool)
	// Relay returns an entry that may reach target although this one does not. It reports false if
	// target was not heard of lately, since it is then down and not just cut off from here.
	Relay(target Target, except []string) (Target, bool)
	// Suspect notes that a forward to target failed; it returns whether target answers a ping.
	Suspect(ctx context.Context, target Target) (alive bool)
}

// Forwarder sends a request to another entry.
type Forwarder interface {
	// Forward returns the answer, or an error with the verdict of the other entry. An error that wraps
	// ErrUnreachable comes from the transport.
	Forward(c *Context, to Target, o ForwardOptions) (*Answer, error)
}

// ForwardOptions say how the other entry treats the request.
type ForwardOptions struct {
	Pool string
	// NoWait asks for a slot at once.
	NoWait bool
	// Attach asks for the result of the request with this key in flight there.
	Attach bool
}

// ErrUnreachable reports that a forward failed in transport.
var ErrUnreachable = errors.New("entry cannot be reached")

// Route forwards a request to the owner of its pool, or lets it go on here if this entry is the owner.
type Route struct {
	Router    Router
	Forwarder Forwarder
}

// Name implements Filter.
func (Route) Name() string { return "route" }

// Request implements Filter.
func (f Route) Request(c *Context) error {
	if c.Forwarded && c.Request.Hops >= maxHops {
		// Two owners at a time are safe, a request that travels for ever is not.
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
		if !f.again(err) {
			return c.weaken(err)
		}
		c.noteUncertain(err)
		last = err
		if errors.Is(err, ErrUnreachable) && !f.Router.Suspect(c.Ctx, target) {
			failed = append(failed, target.ID)
			answer, err := f.relay(c, target, failed)
			if answer != nil || err != nil {
				c.Answer = answer
				return c.weaken(err)
			}
		}
		if !pause(c.Ctx, rerouteDelay) {
			return c.weaken(last)
		}
	}
}

// relay sends the request through another entry if the target is cut off from this entry alone. Both
// results nil: there is no such entry, or it failed as well.
func (f Route) relay(c *Context, target Target, failed []string) (*Answer, error) {
	via, ok := f.Router.Relay(target, slices.Concat(failed, c.Request.Visited))
	if !ok || c.Request.Hops+1 >= maxHops {
		return nil, nil
	}
	c.Log.Info().Str("pool", c.Request.Pool).Str("owner", target.ID).Str("relay", via.ID).Str("reason", "owner is cut off from this entry").Msg("request routed")
	answer, err := c.forward(f.Forwarder, via, ForwardOptions{Pool: c.Request.Pool})
	if err != nil && f.again(err) {
		c.noteUncertain(err)
		return nil, nil
	}
	return answer, err
}

// again reports whether another submission of the request may help. For non-idempotent work the claim in the
// table decides whether a second submission may run it, so both kinds are submitted again.
func (f Route) again(err error) bool {
	return errors.Is(err, ErrUnreachable) || errors.Is(err, dispatch.ErrNotOwner)
}

// Response implements Filter.
func (Route) Response(*Context) {}

// forward sends the request to another entry. Meanwhile the request in flight here is marked as worked on elsewhere.
func (c *Context) forward(f Forwarder, to Target, o ForwardOptions) (*Answer, error) {
	if c.call != nil {
		c.call.elsewhere.Add(1)
		defer c.call.elsewhere.Add(-1)
	}
	return f.Forward(c, to, o)
}

// noteUncertain remembers that an earlier submission may run, whatever a later one says.
func (c *Context) noteUncertain(err error) {
	if verdict.Of(err) != verdict.NotRun {
		c.Uncertain = true
	}
}

// weaken turns a refusal as not run into may-have-run if an earlier submission may have run.
func (c *Context) weaken(err error) error {
	if c.Uncertain && verdict.Is(err, verdict.NotRun) {
		return verdict.Wrap(err, verdict.MayHaveRun, http.StatusBadGateway)
	}
	return err
}
