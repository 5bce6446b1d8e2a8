package cluster

import (
	"slices"
	"time"
)

const (
	// assigneeTimeout is how long a daemon may take to claim a pool that is assigned to it, before the pool is assigned to another one. The
	// death of a daemon that owned nothing may not be known yet.
	assigneeTimeout = 1500 * time.Millisecond
	// assigneeExclusion is how long such a daemon gets no pools.
	assigneeExclusion = 5 * time.Second
)

// assignees follows which daemons are to claim the pools without an owner. The zero value is ready to use; it is not safe for
// concurrent use.
type assignees struct {
	// assigned has the daemon that is to claim each pool, overdue when each daemon last failed to.
	assigned map[string]assignment
	overdue  map[string]time.Duration
}

type assignment struct {
	node  string
	since time.Duration
}

// usable returns the members with those marked as leaving that have left a pool unclaimed.
func (a *assignees) usable(members []Member, now time.Duration) []Member {
	out := slices.Clone(members)
	for i := range out {
		if at, ok := a.overdue[out[i].Node]; ok && now-at < assigneeExclusion {
			out[i].Leaving = true
		}
	}
	return out
}

// observe records which daemon is to claim each pool that has no owner.
func (a *assignees) observe(free map[string]string, now time.Duration) {
	assigned := map[string]assignment{}
	for pool, node := range free {
		as, ok := a.assigned[pool]
		if !ok || as.node != node {
			as = assignment{node: node, since: now}
		}
		assigned[pool] = as
		if now-as.since > assigneeTimeout {
			if a.overdue == nil {
				a.overdue = map[string]time.Duration{}
			}
			a.overdue[node] = now
		}
	}
	a.assigned = assigned
}
