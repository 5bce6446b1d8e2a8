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

// Slots grants slots in the pools that this entry owns.
type Slots interface {
	Acquire(ctx context.Context, w dispatch.SlotRequest) (*dispatch.Grant, error)
	// OverflowResult reports to the scheduler whether another pool took a request that got no slot in its home pool.
	OverflowResult(pool, backer string, taken bool)
}

// Queue waits in the fair queue of the pool for a slot on a worker. A request that waits too long may
// overflow to the other pools of its queue.
type Queue struct {
	Slots     Slots
	Route     Route
	Router    Router
	Forwarder Forwarder
}

// notOwnerRetryDelay is the delay before another try to acquire a slot in a pool that this entry owns in the member view
// but not yet in the scheduler, which is updated within 250 ms. Without a delay such requests use all CPU time.
const notOwnerRetryDelay = 5 * time.Millisecond

// Name implements Filter.
func (Queue) Name() string { return "queue" }

// Request implements Filter.
func (f Queue) Request(c *Context) error {
	if c.Attach {
		return nil
	}
	grant, err := f.acquire(c, nil)
	if err != nil || grant == nil {
		return err
	}
	c.Grant = grant
	return nil
}

// acquire returns a grant, or nil after another pool or entry answered; it sets c.Answer then.
func (f Queue) acquire(c *Context, exclude []string) (*dispatch.Grant, error) {
	for {
		grant, err := f.Slots.Acquire(c.Ctx, dispatch.SlotRequest{
			Request:     c.Request,
			Exclude:     exclude,
			NoWait:      c.NoWait,
			MayOverflow: f.mayOverflow(c),
			MaxQueue:    c.Queue.MaxLength,
			// A request whose claim this entry holds is sent by this entry or not at all: the next owner
			// would find the claim and wait for this entry.
			Force: c.ForceLocal || c.Claim != nil,
		})
		if errors.Is(err, dispatch.ErrOverflow) {
			if answer, err := f.overflow(c); answer != nil || err != nil {
				c.Answer = answer
				return nil, err
			}
			continue
		}
		if errors.Is(err, dispatch.ErrNotOwner) && !c.Forwarded {
			// The pool was transferred to another entry while the request waited.
			if err := f.Route.route(c); err != nil || c.Answer != nil {
				return nil, err
			}
			if !sleepContext(c.Ctx, notOwnerRetryDelay) {
				return nil, waitError(c.Ctx)
			}
			continue
		}
		return grant, err
	}
}

// waitError returns the error of a request whose context ended while it waited for a slot.
func waitError(ctx context.Context) error {
	if errors.Is(context.Cause(ctx), verdict.ErrCancelled) {
		return verdict.Wrap(verdict.ErrCancelled, verdict.NotRun, http.StatusConflict)
	}
	return verdict.New(verdict.NotRun, http.StatusGatewayTimeout, "deadline passed while waiting for a slot")
}

// mayOverflow reports whether the request is in the home pool of its queue and was not sent to a worker before. A request
// whose key is claimed does not overflow, since the other pool would find the claim and reject the request.
func (f Queue) mayOverflow(c *Context) bool {
	return !c.NoWait && !c.Sent && c.Claim == nil && len(c.Queue.Pools) > 1 && c.Request.Pool == c.Queue.Pools[0]
}

// overflow tries the other pools of the request's queue. Both results are nil if none of them took the request.
func (f Queue) overflow(c *Context) (*Answer, error) {
	for _, pool := range c.Queue.Pools[1:] {
		answer, err := f.overflowTo(c, pool)
		c.markUncertain(err)
		if err == nil || !overflowFailed(err) {
			f.Slots.OverflowResult(c.Request.Pool, c.Request.Backer, true)
			c.Log.Info().Str("pool", pool).Str("reason", "home pool is full").Msg("request overflowed")
			return answer, err
		}
	}
	f.Slots.OverflowResult(c.Request.Pool, c.Request.Backer, false)
	return nil, nil
}

// overflowTo forwards the request to the owner of another pool, where it does not wait for a slot.
func (f Queue) overflowTo(c *Context, pool string) (*Answer, error) {
	target, ok := f.Router.Owner(pool, nil)
	if !ok {
		return nil, errNoOwner(pool)
	}
	answer, err := c.forward(f.Forwarder, target, ForwardOptions{Pool: pool, NoWait: true})
	if errors.Is(err, ErrUnreachable) {
		f.Router.Suspect(c.Ctx, target)
	}
	return answer, err
}

// overflowFailed reports whether the request may stay in its home pool after an overflow: it was rejected as not run, or
// the connection to the other entry failed. In the latter case idempotent work is submitted again, and the claim decides
// whether non-idempotent work may run.
func overflowFailed(err error) bool {
	if errors.Is(err, ErrUnreachable) {
		return true
	}
	if !verdict.Is(err, verdict.NotRun) {
		return false
	}
	return slices.Contains([]int{http.StatusTooManyRequests, http.StatusMisdirectedRequest, http.StatusServiceUnavailable, http.StatusBadGateway}, verdict.Status(err))
}

// Response releases an unused slot.
func (Queue) Response(c *Context) {
	if c.Grant != nil {
		c.Grant.Release(dispatch.Result{Outcome: dispatch.NotSent})
	}
}

func errNoOwner(pool string) error {
	return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "no entry serves pool %s", pool)
}
