package cluster

import (
	"context"
	"net/http"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"samphirepoint/verdict"
)

const (
	// storeFailureTimeout is how long the store must have failed for this daemon before it transfers its pools.
	storeFailureTimeout = 450 * time.Millisecond
	// storeContactMaxAge is how recent the last contact with the store must be for a daemon that claims a pool from one without
	// store access.
	storeContactMaxAge = 900 * time.Millisecond
	// declineBackoff is how long no pool is transferred to a daemon that has failed to claim one.
	declineBackoff = 2 * time.Second
)

// transferWithoutStore transfers this daemon's pools to others if the store serves them but not this daemon, so that the pools
// need not wait until the others miss its heartbeats. It reports whether it started an attempt. While the store is unavailable
// to all daemons, none of them claims a pool.
func (n *Node) transferWithoutStore(ctx context.Context) bool {
	if n.late() {
		return false // The calls may have timed out here although the store answered. Others would run no better with the pools.
	}
	n.mu.Lock()
	contactAge := n.settings.Now() - n.lastStoreContact
	idle := len(n.owned) == 0 || n.lastStoreContact == 0 || n.leaving.Load()
	n.mu.Unlock()
	if idle || contactAge < storeFailureTimeout || !n.transferring.CompareAndSwap(false, true) {
		return false
	}
	go func() {
		defer n.transferring.Store(false)
		n.transferOwned(ctx)
	}()
	return true
}

// transferOwned transfers all pools concurrently, each to the daemon that would claim it if this one were dead.
func (n *Node) transferOwned(ctx context.Context) {
	pools := n.ownedNames()
	others := n.transferCandidates()
	var g errgroup.Group
	for pool, node := range Assign(others, pools, false) {
		if m, ok := memberNamed(others, node); ok {
			g.Go(func() error {
				n.tryTransfer(ctx, pool, m)
				return nil
			})
		}
	}
	_ = g.Wait()
}

// transferCandidates returns the other daemons that are not leaving and have not recently declined a pool. As this daemon is not
// among them, its pools count as unowned.
func (n *Node) transferCandidates() []Member {
	now := n.settings.Now()
	alive := n.Alive()
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.DeleteFunc(alive, func(m Member) bool {
		at, declined := n.declined[m.Node]
		return m.Node == n.settings.Name || m.Leaving || (declined && now-at < declineBackoff)
	})
}

// tryTransfer transfers a pool to another daemon, and records on any error that the daemon declined it.
func (n *Node) tryTransfer(ctx context.Context, pool string, to Member) {
	err := n.transferPool(ctx, pool, to, true)
	n.settings.Log.Info().Str("pool", pool).Str("to", to.Node).AnErr("outcome", err).Msg("attempted to transfer pool: the store is not available to this daemon")
	if err == nil {
		return
	}
	n.recordDeclined(to.Node)
}

// recordDeclined records that a daemon did not claim a pool that was to be transferred to it.
func (n *Node) recordDeclined(node string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.declined[node] = n.settings.Now()
}

// mayClaimFrom returns the reason why this daemon can't claim a pool from a daemon without store access, or nil.
func (n *Node) mayClaimFrom(r claimRequest) error {
	if r.NoStoreAccess && n.StoreContactAge() > storeContactMaxAge {
		return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "the store has not responded to this daemon recently")
	}
	return nil
}
