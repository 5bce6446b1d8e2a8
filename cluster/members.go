package cluster

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Member is the value of a daemon's row.
type Member struct {
	Node        string           `json:"n"`
	Incarnation string           `json:"i"`
	Address     string           `json:"a"`
	Zone        string           `json:"z"`
	Beat        int64            `json:"b"`
	Leaving     bool             `json:"l,omitempty"`
	Pools       map[string]int64 `json:"p,omitempty"`
	Version     int64            `json:"v,omitempty"`
	// Unreachable are the daemons that this one could not reach lately.
	Unreachable []string `json:"u,omitempty"`

	// ver is the version of the row that this was read from.
	ver int64
}

// observed is a member as this daemon has seen it change.
type observed struct {
	Member
	changedAt time.Duration
	refused   int
}

// View is what a daemon knows of the others. It is not safe for concurrent use.
type View struct {
	self    string
	members map[string]*observed
	// deadAfter is the time without a change after which a member counts as dead.
	deadAfter time.Duration
	// observedAt is when the rows were last read: a member can't be seen to beat after that.
	observedAt time.Duration
}

// NewView returns an empty view of the daemon self.
func NewView(self string, deadAfter time.Duration) *View {
	return &View{self: self, members: map[string]*observed{}, deadAfter: deadAfter}
}

// Observe takes in rows as read at now: all of them, or those that have changed.
func (v *View) Observe(list []Member, all bool, now time.Duration) {
	seen := map[string]bool{}
	v.observedAt = now
	for _, m := range list {
		seen[m.Node] = true
		o := v.members[m.Node]
		if o == nil || o.Incarnation != m.Incarnation || o.Beat != m.Beat {
			v.members[m.Node] = &observed{Member: m, changedAt: now}
			continue
		}
		o.Member = m
	}
	for n := range v.members {
		if all && !seen[n] {
			delete(v.members, n)
		}
	}
}

// Postpone moves all observations on by a time in which nothing could be observed.
func (v *View) Postpone(d time.Duration) {
	for _, o := range v.members {
		o.changedAt += d
	}
}

// Refused notes that a daemon's address refused a connection: its process is gone.
func (v *View) Refused(node string) {
	if o := v.members[node]; o != nil {
		o.refused++
	}
}

// refusedLimit is how many refused connections in a row, without a beat between, mean death.
const refusedLimit = 2

// Alive returns the members that beat when the rows were last read, in order of their names. While the rows can't be
// read, nobody is taken for dead.
func (v *View) Alive() []Member {
	var out []Member
	for _, o := range v.members {
		if o.Node == v.self || (v.observedAt-o.changedAt <= v.deadAfter && o.refused < refusedLimit) {
			out = append(out, o.Member)
		}
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.Node, b.Node) })
	return out
}

// Stale returns the owners of pools that have not been seen to change for longer than age: news of changes may be held up.
func (v *View) Stale(age time.Duration) []string {
	var out []string
	for _, o := range v.members {
		if o.Node != v.self && len(o.Pools) > 0 && v.observedAt-o.changedAt > age && v.observedAt-o.changedAt < 10*age {
			out = append(out, o.Node)
		}
	}
	return out
}

// WithoutIsolated marks the members that more than half of the others can't reach as leaving and without pools: callers
// reach their pools through few daemons only, so others are to take them.
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

// Owner returns the member that claims a pool with the highest token.
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

// Assign says which member is to take each pool that no living member owns: the one with the fewest pools, among equals
// the one with the highest hash. Members that leave get none, and what they have counts as free if handOver is set.
func Assign(members []Member, pools []string, handOver bool) map[string]string {
	load := map[string]int{}
	var able []Member
	for _, m := range members {
		if !m.Leaving {
			able = append(able, m)
			load[m.Node] = 0
		}
	}
	out := map[string]string{}
	if len(able) == 0 {
		return out
	}
	var free []string
	for _, p := range slices.Sorted(slices.Values(pools)) {
		o, ok := Owner(members, p)
		if ok && (!o.Leaving || !handOver) {
			load[o.Node]++
			continue
		}
		free = append(free, p)
	}
	for _, p := range free {
		best := slices.MinFunc(able, func(a, b Member) int {
			return cmp.Or(cmp.Compare(load[a.Node], load[b.Node]), cmp.Compare(rank(b.Node, p), rank(a.Node, p)))
		})
		out[p] = best.Node
		load[best.Node]++
	}
	return out
}

// Excess returns the pool that a daemon is to hand to which other one, if it has at least two more than that one.
func Excess(members []Member, self string) (pool, to string, ok bool) {
	var mine, least Member
	for _, m := range members {
		switch {
		case m.Node == self:
			mine = m
		case !m.Leaving && (least.Node == "" || len(m.Pools) < len(least.Pools)):
			least = m
		}
	}
	if least.Node == "" || len(mine.Pools) < len(least.Pools)+2 {
		return "", "", false
	}
	for _, name := range slices.Sorted(maps.Keys(mine.Pools)) {
		if name != FleetControllerRole {
			return name, least.Node, true
		}
	}
	return "", "", false
}

func rank(node, pool string) uint64 { return xxhash.Sum64String(node + "\x00" + pool) }
