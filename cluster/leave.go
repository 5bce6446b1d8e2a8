package cluster

import (
	"context"
	"slices"
	"time"

	"samphirepoint/sleep"
)

// handPause is the time between two tries to hand over what is left.
const handPause = 60 * time.Millisecond

// Leave hands all pools to other daemons. It returns once none is left or ctx ends.
func (n *Node) Leave(ctx context.Context) {
	n.leaving.Store(true)
	n.Kick()
	for ctx.Err() == nil {
		n.mu.Lock()
		var pools []string
		for p := range n.owned {
			pools = append(pools, p)
		}
		n.mu.Unlock()
		if len(pools) == 0 {
			return
		}
		n.handOver(ctx, pools)
		_ = sleep.Context(ctx, handPause)
	}
}

func (n *Node) handOver(ctx context.Context, pools []string) {
	alive := n.Alive()
	for i := range alive {
		if alive[i].Node == n.set.Name {
			alive[i].Leaving = true
		}
	}
	for pool, node := range Assign(alive, pools, true) {
		if m, ok := named(alive, node); ok && node != n.set.Name {
			_ = n.hand(ctx, pool, m, false) // tried again while the pool is here
		}
	}
}

// balanceAfter is how long a daemon must have had too many pools before it hands one over.
const balanceAfter = 3 * time.Second

// rebalance hands a pool to the daemon with the fewest, once this one has had two more for a while.
func (n *Node) rebalance(ctx context.Context) {
	members := WithoutIsolated(n.Alive())
	pool, to, ok := Excess(members, n.set.Name)
	now := n.set.Now()
	if !ok || n.leaving.Load() {
		n.excessSince = 0
		return
	}
	if n.excessSince == 0 {
		n.excessSince = now
	}
	if now-n.excessSince < balanceAfter {
		return
	}
	n.excessSince = 0
	if m, ok := named(members, to); ok {
		_ = n.hand(ctx, pool, m, false) // tried again while there are too many
	}
}

// named returns the member of that name.
func named(members []Member, node string) (Member, bool) {
	if k := slices.IndexFunc(members, func(m Member) bool { return m.Node == node }); k >= 0 {
		return members[k], true
	}
	return Member{}, false
}

// handTime bounds how long another daemon may take to claim a pool.
const handTime = time.Second

// hand gives one pool to another daemon; storeless says that the store does not serve this one. On an error the pool stays.
func (n *Node) hand(ctx context.Context, pool string, to Member, storeless bool) error {
	c, cancel := context.WithTimeout(ctx, handTime)
	defer cancel()
	_, err := n.peers.call(c, to.Address, Call{Op: OpTake, Pool: pool, From: n.set.Name, Storeless: storeless})
	if err == nil {
		n.drop(pool)
	}
	return err
}

func (n *Node) drop(pool string) {
	n.mu.Lock()
	o := n.owned[pool]
	delete(n.owned, pool)
	delete(n.pools, pool)
	n.mu.Unlock()
	if o != nil {
		o.Stop()
	}
}
