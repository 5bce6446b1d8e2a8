package cluster

import (
	"context"
	"crypto/rand"
	"errors"
	"net/http"
	"time"

	"samphirepoint/engine"
	"samphirepoint/owner"
	"samphirepoint/rows"
	"samphirepoint/sleep"
	"samphirepoint/verdict"
)

func (n *Node) claimPools(ctx context.Context) {
	cat := n.catalog.Load()
	if cat == nil || n.leaving.Load() || n.settings.Now()-n.createdAt < startupDelay {
		return
	}
	alive := n.assignees.usable(WithoutIsolated(n.Alive()), n.settings.Now())
	free := Assign(alive, append(n.layout.Load().Names(cat.NonSparePools()...), FleetControllerRole), false)
	n.assignees.observe(free, n.settings.Now())
	for pool, node := range free {
		if node == n.settings.Name && n.mayClaim(pool) {
			n.claimPool(ctx, pool)
		}
	}
}

// mayClaim reports whether this daemon may try to claim the pool now. If so, it records the attempt.
func (n *Node) mayClaim(pool string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.settings.Now()
	if o := n.owned[pool]; o != nil {
		return false
	}
	if t, ok := n.claimAttempts[pool]; ok && now-t < claimRetryInterval {
		return false
	}
	n.claimAttempts[pool] = now
	return true
}

// claimPool claims a pool and starts serving it, unless this daemon owns it under a current claim. It returns once the claim has
// succeeded or failed. Concurrent calls share one attempt: each claim ends the term that the one before has begun.
func (n *Node) claimPool(ctx context.Context, pool string) error {
	n.mu.Lock()
	cause := n.view.lossOf(pool)
	n.mu.Unlock()
	return n.claimFrom(ctx, pool, 0, cause)
}

// claimFrom claims a pool as claimPool does, but fails if the present owner's token is higher than the given one, unless that is 0.
// The cause is logged.
func (n *Node) claimFrom(ctx context.Context, pool string, token int64, cause string) error {
	_, err, _ := n.claims.Do(pool, func() (any, error) { return nil, n.claimOnce(ctx, pool, token, cause) })
	return err
}

// errOwned ends an attempt to claim a pool that this daemon owns already.
var errOwned = errors.New("cluster: this daemon owns the pool already")

func (n *Node) claimOnce(ctx context.Context, pool string, token int64, cause string) error {
	c, cancel := context.WithTimeout(ctx, 2*storeTimeout)
	defer cancel()
	began := n.settings.Now()
	self := owner.Claim{Node: n.settings.Name, Incarnation: n.settings.Incarnation, Address: n.settings.Address}
	var former owner.Claim
	claim, ver, err := Claim(c, n.settings.Store, pool, self, func(present owner.Claim) error {
		former = present
		switch {
		case n.owns(pool, present):
			return errOwned
		case token != 0 && present.Token > token:
			return verdict.New(verdict.NotRun, http.StatusConflict, "pool %s is owned by %s with token %d, and no longer with token %d", pool, present.Node, present.Token, token)
		}
		return nil
	})
	log := n.settings.Log.With().Str("pool", pool).Str("cause", cause).Str("former", former.Node).Int64("formerToken", former.Token).Logger()
	switch {
	case errors.Is(err, errOwned):
		log.Info().Msg("pool not claimed: this daemon owns it")
		return nil
	case err != nil:
		log.Warn().Err(err).Msg("failed to claim pool")
		return err
	}
	log.Info().Int64("token", claim.Token).Int64("ver", ver).Msg("pool claimed")
	n.startTerm(ctx, pool, claim.Token, ver, began)
	n.stopFormer(ctx, pool, former, claim.Token)
	return nil
}

// claimRepeatDelay is the delay before the outcome of an unanswered write is read.
const claimRepeatDelay = 40 * time.Millisecond

// Claim claims a pool by one conditional write that increments its fencing token, and returns the claim and its version. It
// passes the present claim to permit first, whose error ends the attempt. If the write gets no response, Claim reads the row to
// learn the outcome. If another claim comes first, Claim fails: that one has just begun a term. An error has verdict not-run only if
// no write of this call has claimed the pool or will.
func Claim(ctx context.Context, store rows.Store, pool string, c owner.Claim, permit func(present owner.Claim) error) (owner.Claim, int64, error) {
	c.Attempt = rand.Text()
	uncertain := false
	for {
		ver, err := tryClaim(ctx, store, pool, &c, permit)
		if err == nil {
			return c, ver, nil
		}
		uncertain = uncertain || verdict.Is(err, verdict.MayHaveRun)
		if verdict.Is(err, verdict.NotRun) || ctx.Err() != nil {
			return c, 0, keepUncertainty(err, uncertain)
		}
		_ = sleep.Context(ctx, claimRepeatDelay)
	}
}

// tryClaim reads the present claim and tries once to replace it by c with the next token.
func tryClaim(ctx context.Context, store rows.Store, pool string, c *owner.Claim, permit func(present owner.Claim) error) (int64, error) {
	key := owner.ClaimKey(pool)
	list, _, err := store.Read(ctx, owner.TableOwners, pool)
	if err != nil {
		return 0, verdict.Wrap(err, verdict.NotRun, http.StatusServiceUnavailable)
	}
	present, ver := owner.PresentClaim(key, list)
	if present == *c {
		return ver, nil
	}
	if err := permit(present); err != nil {
		return 0, verdict.Wrap(err, verdict.NotRun, http.StatusConflict)
	}
	c.Token = present.Token + engine.TokensPerTerm
	written, err := owner.WriteClaim(ctx, store, pool, ver, *c)
	var conflict *rows.Conflict
	if !errors.As(err, &conflict) {
		return written, err
	}
	if present, ver = owner.PresentClaim(key, conflict.Rows); present == *c {
		return ver, nil
	}
	return 0, verdict.New(verdict.NotRun, http.StatusConflict, "pool %s was claimed by %s with token %d at the same time", pool, present.Node, present.Token)
}
