package cluster

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"samphirepoint/engine"
	"samphirepoint/rows"
)

// TableMembers holds one row per daemon, distributed over memberParts parts: a slow store executes the writes of a part one at
// a time, and a starting daemon reads all parts.
const (
	TableMembers = "members"
	memberParts  = 16
)

// memberKey returns the key of a daemon's row.
func memberKey(node string) rows.Key {
	return rows.Key{Table: TableMembers, Part: memberPart(node), Name: node}
}

// memberPart returns the part that holds a daemon's row.
func memberPart(node string) string {
	return strconv.FormatUint(xxhash.Sum64String(node)%memberParts, 16)
}

const (
	// heartbeatInterval is the least time between two heartbeats of a daemon. The interval is at least heartbeatIntervalPerOwner for each
	// member that owns something. A daemon that owns nothing, whose death can wait, writes one in idleIntervalPerMember for each member.
	// So the heartbeats of all daemons together stay far below the store's capacity, and cost little where each is read by many.
	heartbeatInterval         = 400 * time.Millisecond
	heartbeatIntervalPerOwner = 8 * time.Millisecond
	idleIntervalPerMember     = 20 * time.Millisecond
	// heartbeatIntervalPerLatency times the latency of the last heartbeat write is the least interval, for a slow store. For daemons that
	// own something, of which there are few, the latency counts up to maxOwnerLatency: after an outage the others wait for their
	// heartbeats.
	heartbeatIntervalPerLatency = 4
	maxOwnerLatency             = 350 * time.Millisecond
	// deadAfter is how long a member's row may have no new heartbeat before the member is considered dead, or deadHeartbeats
	// heartbeat intervals if that is longer.
	deadAfter      = 1700 * time.Millisecond
	deadHeartbeats = 3.5
)

// writeHeartbeats writes heartbeats until ctx ends. It is independent of the reads of the members: a slow read must not make the
// others consider this daemon dead.
func (n *Node) writeHeartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		began := n.settings.Now()
		n.writeHeartbeat(ctx)
		waitOrWake(ctx, n.interval()-(n.settings.Now()-began), n.wakeHeartbeat)
	}
}

// interval returns the time between two heartbeats, from the number of members and the latency of the store, and sets the least time after
// which members are considered dead to match.
func (n *Node) interval() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	base := max(heartbeatInterval, time.Duration(n.view.countOwners())*heartbeatIntervalPerOwner)
	latency := n.heartbeatLatency
	if len(n.owned) > 0 {
		latency = min(latency, maxOwnerLatency)
	} else {
		base = max(base, time.Duration(len(n.view.members))*idleIntervalPerMember)
	}
	n.view.deadAfter = max(deadAfter, time.Duration(deadHeartbeats*heartbeatIntervalPerLatency*float64(latency)))
	return max(base, heartbeatIntervalPerLatency*latency)
}

// selfMember returns the daemon's row with the next heartbeat number.
func (n *Node) selfMember() Member {
	interval := n.interval()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.heartbeat++
	m := Member{
		Node:        n.settings.Name,
		Incarnation: n.settings.Incarnation,
		Address:     n.settings.Address,
		Zone:        n.settings.Zone,
		Cores:       n.settings.Cores,
		Heartbeat:   n.heartbeat,
		Leaving:     n.leaving.Load(),
		Pools:       map[string]int64{},
		IntervalMS:  interval.Milliseconds(),
		Unreachable: n.unreachableMembers(),
	}
	for p, o := range n.owned {
		m.Pools[p] = o.Token()
	}
	if c := n.catalog.Load(); c != nil {
		m.Version = c.Version
	}
	return m
}

// writeHeartbeat writes the daemon's row.
func (n *Node) writeHeartbeat(ctx context.Context) {
	m := n.selfMember()
	value, err := json.Marshal(m)
	if err != nil {
		panic(err) // A Member has no values that fail to encode.
	}
	c, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	began := n.clock()
	_, err = n.settings.Store.Transact(c, rows.Tx{Writes: []rows.Write{{Key: memberKey(n.settings.Name), Value: value}}})
	if err != nil {
		n.settings.Log.Warn().Err(err).Msg("failed to write heartbeat")
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.clock()
	n.heartbeatLatency = now.Now - began.Now
	if err == nil {
		n.recordPresence(began, now)
	}
}

// recordPresence records that this daemon's row was written between two times. Others may have removed it if it wasn't written for long
// before. The caller must hold mu.
func (n *Node) recordPresence(began, ended engine.Clock) {
	if !n.present || ended.Since(n.presentAt) > forgottenAfter {
		n.present, n.presentSince = true, ended.Now
	}
	n.presentAt = began
}
