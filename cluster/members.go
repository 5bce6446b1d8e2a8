package cluster

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Member is the value of a daemon's row in TableMembers.
type Member struct {
	Node        string `json:"n"`
	Incarnation string `json:"i"`
	Address     string `json:"a"`
	Zone        string `json:"z"`
	// Cores is the processor share of the daemon's machine, in cores; 0 if it isn't known.
	Cores     float64          `json:"c,omitempty"`
	Heartbeat int64            `json:"b"`
	Leaving   bool             `json:"l,omitempty"`
	Pools     map[string]int64 `json:"p,omitempty"`
	Version   int64            `json:"v,omitempty"`
	// IntervalMS is the time between two heartbeats of the daemon; 0 if it doesn't report it.
	IntervalMS int64 `json:"w,omitempty"`
	// Unreachable lists the daemons that this one recently could not reach.
	Unreachable []string `json:"u,omitempty"`

	// ver is the version of the row that the member was read from.
	ver int64
}

// observed is a member with the time at which this daemon last saw its row change.
type observed struct {
	Member
	changedAt time.Duration
	refusals  int
	// unreadable is set while the part of the store with the member's row can't be read.
	unreadable bool
}

// View is a daemon's view of the cluster's members. It is not safe for concurrent use.
type View struct {
	self    string
	members map[string]*observed
	// deadAfter is the least time without a heartbeat after which a member counts as dead.
	deadAfter time.Duration
	// observedAt is when the rows were last read. No heartbeat after that time can have been seen.
	observedAt time.Duration
}

// NewView returns an empty view for the daemon named self.
func NewView(self string, deadAfter time.Duration) *View {
	return &View{self: self, members: map[string]*observed{}, deadAfter: deadAfter}
}

// Observe updates the view with rows that were read at now: all of them, or only those that changed.
func (v *View) Observe(list []Member, all bool, now time.Duration) {
	v.observedAt = now
	v.Refresh(list, now)
	seen := map[string]bool{}
	for _, m := range list {
		seen[m.Node] = true
	}
	for n := range v.members {
		if all && !seen[n] {
			delete(v.members, n)
		}
	}
}

// Refresh updates the view with the rows of some members that were read at now. It says nothing of the others.
func (v *View) Refresh(list []Member, now time.Duration) {
	for _, m := range list {
		o := v.members[m.Node]
		if o == nil || o.Incarnation != m.Incarnation || o.Heartbeat != m.Heartbeat {
			v.members[m.Node] = &observed{Member: m, changedAt: now}
			continue
		}
		o.Member = m
	}
}

// Readable records whether the rows of some members could be read at now. Members whose rows can't be read are not considered dead for the
// lack of heartbeats; once they can be read again, these members have the usual time to write one.
func (v *View) Readable(nodes []string, readable bool, now time.Duration) {
	for _, node := range nodes {
		o := v.members[node]
		if o == nil {
			continue
		}
		if o.unreadable && readable {
			o.changedAt = now
		}
		o.unreadable = !readable
	}
}

// Postpone moves the last observed change of all members forward by a period in which the rows could not be read.
func (v *View) Postpone(d time.Duration) {
	for _, o := range v.members {
		o.changedAt += d
	}
}

// heartbeatAge returns how long no new heartbeat of a member has been read.
func (v *View) heartbeatAge(o *observed) time.Duration { return v.observedAt - o.changedAt }

// heartbeatTimeout returns the time without a heartbeat after which a member counts as dead. It covers several of its own intervals.
func (v *View) heartbeatTimeout(o *observed) time.Duration {
	own := time.Duration(o.IntervalMS) * time.Millisecond
	return max(v.deadAfter, time.Duration(deadHeartbeats*float64(own)))
}

// countOwners returns the number of members that own something.
func (v *View) countOwners() int {
	owners := 0
	for _, o := range v.members {
		if len(o.Pools) > 0 {
			owners++
		}
	}
	return owners
}

// Refused records that a daemon's address refused a connection, which indicates that its process has ended.
func (v *View) Refused(node string) {
	if o := v.members[node]; o != nil {
		o.refusals++
	}
}

// refusedLimit is the number of consecutive refused connections, without a heartbeat in between, after which a member is
// considered dead.
const refusedLimit = 2

// Alive returns the members that were alive when the rows were last read, ordered by name. While the rows can't be read, no
// member is considered dead.
func (v *View) Alive() []Member {
	var out []Member
	for _, o := range v.members {
		if o.Node == v.self || (o.refusals < refusedLimit && (o.unreadable || v.heartbeatAge(o) <= v.heartbeatTimeout(o))) {
			out = append(out, o.Member)
		}
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.Node, b.Node) })
	return out
}

// lossOf describes why a pool is assigned to this daemon: what has become of its last known owner.
func (v *View) lossOf(pool string) string {
	var last *observed
	for _, o := range v.members {
		if t, ok := o.Pools[pool]; ok && (last == nil || t > last.Pools[pool]) {
			last = o
		}
	}
	switch {
	case last == nil:
		return "assigned: no member owns it"
	case last.refusals >= refusedLimit:
		return "assigned: " + last.Node + " refuses connections"
	case v.heartbeatAge(last) > v.heartbeatTimeout(last):
		return "assigned: no heartbeat of " + last.Node + " for " + v.heartbeatAge(last).String()
	}
	return "assigned: " + last.Node + " is isolated"
}

// staleShare is the share of its heartbeat timeout after which a member's row is read directly: notifications of changes may be delayed.
// Members that have been dead for long are not read any more.
const (
	staleShare    = 0.6
	maxStaleShare = 6.0
)

// Stale returns the owners of pools whose rows have not been seen to change for so long that they should be read directly.
func (v *View) Stale() []string {
	var out []string
	for _, o := range v.members {
		age := float64(v.heartbeatAge(o)) / float64(v.heartbeatTimeout(o))
		if o.Node != v.self && len(o.Pools) > 0 && age > staleShare && (o.unreadable || age < maxStaleShare) {
			out = append(out, o.Node)
		}
	}
	return out
}

// WithoutIsolated returns the members with those that more than half of the others can't reach marked as leaving and without
// pools: callers reach the pools of such a member through few daemons only, so other daemons should claim them.
func WithoutIsolated(members []Member) []Member {
	reports := map[string]int{}
	for _, m := range members {
		for _, u := range m.Unreachable {
			reports[u]++
		}
	}
	out := slices.Clone(members)
	for i := range out {
		if n := len(members) - 1; n > 1 && 2*reports[out[i].Node] > n {
			out[i].Leaving, out[i].Pools = true, nil
		}
	}
	return out
}

// Owner returns the member that claims a pool with the highest fencing token.
func Owner(members []Member, pool string) (Member, bool) {
	var best Member
	found := false
	for _, m := range members {
		if t, ok := m.Pools[pool]; ok && (!found || t > best.Pools[pool]) {
			best, found = m, true
		}
	}
	return best, found
}

// defaultCores stands for the processor share of a daemon that doesn't report it.
const defaultCores = 1.0

func (m Member) cores() float64 {
	if m.Cores > 0 {
		return m.Cores
	}
	return defaultCores
}

// loadWith returns the pools per core of a member that owns the given number of pools.
func (m Member) loadWith(pools int) float64 { return float64(pools) / m.cores() }

// Assign returns the member that should claim each pool that no live member owns: the one that has the fewest pools per core with
// it, and among equals the one with the highest hash. The owner of a pool makes all of the pool's calls, so its processor bounds
// what the pool can start. Leaving members get no pools, and the pools they own count as unowned if reassignLeaving is set.
func Assign(members []Member, pools []string, reassignLeaving bool) map[string]string {
	owned := map[string]int{}
	var able []Member
	for _, m := range members {
		if !m.Leaving {
			able = append(able, m)
		}
	}
	out := map[string]string{}
	if len(able) == 0 {
		return out
	}
	var free []string
	for _, p := range slices.Sorted(slices.Values(pools)) {
		o, ok := Owner(members, p)
		if ok && (!o.Leaving || !reassignLeaving) {
			owned[o.Node]++
			continue
		}
		free = append(free, p)
	}
	for _, p := range free {
		best := slices.MinFunc(able, func(a, b Member) int {
			return cmp.Or(cmp.Compare(a.loadWith(owned[a.Node]+1), b.loadWith(owned[b.Node]+1)), cmp.Compare(hashRank(b.Node, p), hashRank(a.Node, p)))
		})
		out[p] = best.Node
		owned[best.Node]++
	}
	return out
}

// hashRank orders the members for a pool, as in rendezvous hashing.
func hashRank(node, pool string) uint64 { return xxhash.Sum64String(node + "\x00" + pool) }
