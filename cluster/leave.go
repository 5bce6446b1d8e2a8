package cluster

import (
	"context"
	"slices"
	"time"

	"samphirepoint/sleep"
)

// transferRetryDelay is the delay between two attempts to transfer the remaining pools.
const transferRetryDelay = 60 * time.Millisecond

// Leave transfers all pools to other daemons. It returns once none remains or ctx ends.
func (n *Node) Leave(ctx context.Context) {
	n.leaving.Store(true)
	n.Wake()
	for ctx.Err() == nil {
		pools := n.ownedNames()
		if len(pools) == 0 {
			return
		}
		n.transferPools(ctx, pools)
		_ = sleep.Context(ctx, transferRetryDelay)
	}
}

// transferPools makes one attempt to transfer each of the pools.
func (n *Node) transferPools(ctx context.Context, pools []string) {
	others := n.transferCandidates()
	for pool, node := range Assign(others, pools, true) {
		m, ok := memberNamed(others, node)
		if ok && n.transferPool(ctx, pool, m, false) != nil {
			n.recordDeclined(node) // retried at another daemon while this one owns the pool
		}
	}
}

// memberNamed returns the member with the given name.
func memberNamed(members []Member, node string) (Member, bool) {
	if k := slices.IndexFunc(members, func(m Member) bool { return m.Node == node }); k >= 0 {
		return members[k], true
	}
	return Member{}, false
}

// transferTimeout bounds how long the other daemon may take to claim a pool that is transferred to it.
const transferTimeout = time.Second

// transferPool transfers a pool to another daemon; noStoreAccess says that the store does not serve this daemon. On an error
// this daemon keeps the pool.
func (n *Node) transferPool(ctx context.Context, pool string, to Member, noStoreAccess bool) error {
	t := n.term(pool)
	if t == nil {
		return nil // The pool was lost in the meantime.
	}
	c, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	_, err := n.peers.call(c, to.Address, claimRequest{From: n.settings.Name, Token: t.Token(), NoStoreAccess: noStoreAccess}.encode(pool))
	if err == nil {
		n.release(pool, t)
	}
	return err
}
