package cluster

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"samphirepoint/verdict"
)

const (
	// storelessAfter is how long the store must have failed this daemon before it gives its pools away.
	storelessAfter = 450 * time.Millisecond
	// storeFresh is how lately the store must have answered a daemon that takes a pool from one without a store.
	storeFresh = 900 * time.Millisecond
	// declinedFor is how long a daemon that did not take a pool isn't asked again.
	declinedFor = 2 * time.Second
)

// handOffStoreless gives this daemon's pools to others while the store serves them and not this one, so that nobody has to wait
// until the others miss its beats. It reports whether a try was begun. While the store is away for all, nobody takes anything.
func (n *Node) handOffStoreless(ctx context.Context) bool {
	n.mu.Lock()
	away := n.set.Now() - n.lastOK
	idle := len(n.owned) == 0 || n.lastOK == 0 || n.leaving.Load()
	n.mu.Unlock()
	if idle || away < storelessAfter || !n.handingOff.CompareAndSwap(false, true) {
		return false
	}
	go func() {
		defer n.handingOff.Store(false)
		n.offerPools(ctx)
	}()
	return true
}

// offerPools offers all pools at once, each to the daemon that would take it if this one were gone.
func (n *Node) offerPools(ctx context.Context) {
	n.mu.Lock()
	pools := slices.Collect(maps.Keys(n.owned))
	n.mu.Unlock()
	others := n.likelyServed()
	var g errgroup.Group
	for pool, node := range Assign(others, pools, false) {
		if m, ok := named(others, node); ok {
			g.Go(func() error {
				n.offer(ctx, pool, m)
				return nil
			})
		}
	}
	_ = g.Wait()
}

// likelyServed are the other daemons, without those that declined lately. This daemon's own pools count as free.
func (n *Node) likelyServed() []Member {
	now := n.set.Now()
	alive := n.Alive()
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.DeleteFunc(alive, func(m Member) bool {
		at, declined := n.declined[m.Node]
		return m.Node == n.set.Name || m.Leaving || (declined && now-at < declinedFor)
	})
}

func (n *Node) offer(ctx context.Context, pool string, to Member) {
	err := n.hand(ctx, pool, to, true)
	n.set.Log.Info().Str("pool", pool).Str("to", to.Node).AnErr("outcome", err).Msg("pool offered, the store does not serve this daemon")
	if err == nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.declined[to.Node] = n.set.Now()
}

// mayTakeFrom reports why a daemon without a store can't give a pool to this one, or nil.
func (n *Node) mayTakeFrom(call Call) error {
	if call.Storeless && n.StoreContactAge() > storeFresh {
		return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "the store has not answered here lately")
	}
	return nil
}
