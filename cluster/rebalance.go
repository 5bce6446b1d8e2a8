package cluster

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"
)

// rebalanceDelay is how long a daemon must own too many pools before it transfers one.
const rebalanceDelay = 3 * time.Second

// rebalance transfers a pool to another daemon once this one has owned too many for rebalanceDelay.
func (n *Node) rebalance(ctx context.Context) {
	members := WithoutIsolated(n.Alive())
	pool, to, ok := ExcessPool(members, n.settings.Name)
	now := n.settings.Now()
	if !ok || n.leaving.Load() {
		n.excessSince = 0
		return
	}
	if n.excessSince == 0 {
		n.excessSince = now
	}
	if now-n.excessSince < rebalanceDelay {
		return
	}
	m, ok := memberNamed(members, to)
	if !ok || n.transferPool(ctx, pool, m, false) != nil {
		n.excessSince = 0 // tried again after another delay
	}
}

// minTransferGain is how many times the pools per core of the giving daemon must exceed those of the receiving one after the
// transfer. Smaller gains don't pay for the handover, during which the pool is not served.
const minTransferGain = 1.25

// ExcessPool returns a pool that the daemon self should transfer, and the daemon to receive it. It plans the transfers of all daemons,
// each from the one with the most pools per core to the one that has the fewest with it, until the gain is less than minTransferGain, and
// returns the first of self. Daemons with the same view agree on the plan, so that they don't all transfer a pool to the same one.
func ExcessPool(members []Member, self string) (pool, to string, ok bool) {
	plan := slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.Leaving && m.Node != self })
	for i := range plan {
		plan[i].Pools = maps.Clone(plan[i].Pools)
		if plan[i].Pools == nil {
			plan[i].Pools = map[string]int64{}
		}
	}
	for {
		giver, receiver := mostLoaded(plan), leastLoaded(plan)
		if giver == nil || receiver == nil || giver.loadWith(len(giver.Pools)) < minTransferGain*receiver.loadWith(len(receiver.Pools)+1) {
			return "", "", false
		}
		pool = transferable(giver)
		if giver.Node == self {
			return pool, receiver.Node, true
		}
		receiver.Pools[pool] = giver.Pools[pool]
		delete(giver.Pools, pool)
	}
}

// mostLoaded returns the member with the most pools per core that has one to transfer, or nil.
func mostLoaded(members []Member) *Member {
	var most *Member
	for i := range members {
		m := &members[i]
		if transferable(m) != "" && (most == nil || m.loadWith(len(m.Pools)) > most.loadWith(len(most.Pools))) {
			most = m
		}
	}
	return most
}

// leastLoaded returns the member with the fewest pools per core if it gets one more, or nil.
func leastLoaded(members []Member) *Member {
	var least *Member
	for i := range members {
		m := &members[i]
		if !m.Leaving && (least == nil || m.loadWith(len(m.Pools)+1) < least.loadWith(len(least.Pools)+1)) {
			least = m
		}
	}
	return least
}

// transferable returns the member's first pool, without the role of the fleet controller, or "".
func transferable(m *Member) string {
	first := ""
	for name := range m.Pools {
		if name != FleetControllerRole && (first == "" || cmp.Less(name, first)) {
			first = name
		}
	}
	return first
}
