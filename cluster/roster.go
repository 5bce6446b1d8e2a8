package cluster

import (
	"context"
	"runtime/debug"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"samphirepoint/engine"
	"samphirepoint/observe"
	"samphirepoint/owner"
	"samphirepoint/shard"
)

const (
	// rosterWait is how long one read of the list of workers waits for a change. A read that gets no answer delays the news that a worker
	// drains by this time and storeTimeout, which together must stay well below the time allowed for that news.
	rosterWait = 500 * time.Millisecond
	// maxRosterGap is the time between two reads of the list, and that by which a read may exceed its time limit, after which the list has not
	// been followed without interruption.
	maxRosterGap = 500 * time.Millisecond
	// assignmentsInterval is the least time between two reads of the workers' shards.
	assignmentsInterval = 100 * time.Millisecond
)

// FollowRoster follows the platform's list of workers and their shards while this daemon owns anything, with at least the given time
// between two reads of the list, and passes the workers to their owners. It does so after each read, also without a change, as an owner
// may be new.
func (n *Node) FollowRoster(ctx context.Context, every time.Duration) error {
	var g errgroup.Group
	g.Go(func() error {
		n.repeatWhileOwning(ctx, assignmentsInterval, nil, n.readAssignments)
		return nil
	})
	n.repeatWhileOwning(ctx, every, n.wakeRoster, n.readRoster)
	return g.Wait()
}

// repeatWhileOwning calls read until ctx ends, with at least the given time between two calls unless it is woken, and not while this daemon
// owns nothing.
func (n *Node) repeatWhileOwning(ctx context.Context, every time.Duration, wake <-chan struct{}, read func(context.Context)) {
	for ctx.Err() == nil {
		n.mu.Lock()
		owning := len(n.owned) > 0
		n.mu.Unlock()
		next := n.settings.Now() + every
		if owning {
			n.recovered("follow the list of workers", func() { read(ctx) })
		}
		waitOrWake(ctx, next-n.settings.Now(), wake)
	}
}

// recovered calls fn. A panic, which an unforeseen message could cause, is logged and doesn't end the process.
func (n *Node) recovered(what string, fn func()) {
	defer func() {
		if cause := recover(); cause != nil {
			observe.Count("loops.panicked")
			n.settings.Log.Error().Str("loop", what).Any("cause", cause).Bytes("stack", debug.Stack()).Msg("panic; the loop goes on")
		}
	}()
	fn()
}

func (n *Node) readRoster(ctx context.Context) {
	c, cancel := context.WithTimeout(ctx, rosterWait+storeTimeout)
	defer cancel()
	began := n.clock()
	list, err := n.settings.Roster.Workers(c, rosterWait)
	n.noteRosterRead(began, list, err)
	n.passRoster()
	if err != nil {
		n.settings.Log.Warn().Err(err).Msg("failed to read the list of workers")
		return
	}
	n.assignWorkers(ctx, list)
}

// noteRosterRead records a read of the list of workers. A read that failed makes the last list count for longer only if that was followed
// without interruption. Otherwise a worker may have begun to drain while this daemon owned nothing or was paused, and one lost answer
// would let a new owner start work by the old list.
func (n *Node) noteRosterRead(began engine.Clock, list map[string][]engine.WorkerInfo, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	ended := n.clock()
	followed := began.Since(n.rosterFollowedAt) <= maxRosterGap && ended.Since(began) <= rosterWait+storeTimeout+maxRosterGap
	switch {
	case err == nil:
		n.roster, n.rosterReadAt, n.rosterTriedAt, n.rosterFollowedAt = list, began, began, ended
	case followed:
		n.rosterTriedAt, n.rosterFollowedAt = ended, ended
	}
}

func (n *Node) clock() engine.Clock {
	return engine.Clock{Now: n.settings.Now(), Wall: time.Now().UnixMilli()}
}

func (n *Node) readAssignments(ctx context.Context) {
	layout := n.layout.Load()
	if len(layout.Divided()) == 0 {
		return
	}
	c, cancel := context.WithTimeout(ctx, rosterWait+storeTimeout)
	defer cancel()
	changed, err := n.assignments.Refresh(c, layout, rosterWait)
	if err != nil {
		n.settings.Log.Warn().Err(err).Msg("failed to read the shards of the workers")
		return
	}
	if changed {
		n.passRoster()
	}
}

// passRoster passes the newest list of workers to the owners.
func (n *Node) passRoster() {
	n.rosterMu.Lock() // An owner must not get an older list after a newer one.
	defer n.rosterMu.Unlock()
	for name, o := range n.ownerTerms() {
		n.passRosterTo(name, o.Owner)
	}
}

// passRosterTo passes the newest list of workers to the owner of a shard, with its age: it is old if this daemon has owned nothing for
// some time.
func (n *Node) passRosterTo(name string, o *owner.Owner) {
	n.mu.Lock()
	readAt, triedAt := n.rosterReadAt, n.rosterTriedAt
	n.mu.Unlock()
	o.SetRosterAge(readAt, triedAt)
	if list, ok := n.workersOf(name); ok && list != nil {
		o.SetRoster(list)
	}
}

// workersOf returns the workers of a shard, and false while they are not known.
func (n *Node) workersOf(name string) ([]engine.WorkerInfo, bool) {
	layout := n.layout.Load()
	pool := layout.PoolOf(name)
	n.mu.Lock()
	roster := n.roster
	n.mu.Unlock()
	switch {
	case roster == nil || !n.assignments.Known(layout, pool):
		return nil, false
	case name == pool:
		return roster[pool], true
	}
	return slices.DeleteFunc(slices.Clone(roster[pool]), func(w engine.WorkerInfo) bool {
		s, ok := n.assignments.Of(layout, pool, w.ID)
		return !ok || s != name
	}), true
}

const (
	// assignmentTimeout is how long a worker may have no shard before the pool's owners assign it, rather than the fleet controller.
	assignmentTimeout = 2 * time.Second
	// assignmentRetention is how long a worker must not have been listed before its assignment is removed.
	assignmentRetention = 10 * time.Minute
	// maxUnlistedGap bounds the time between two checks for workers that are not listed. After a longer one, the time since which they
	// have not been listed is counted anew.
	maxUnlistedGap = 10 * time.Second
)

// assignWorkers assigns the workers of divided pools that have no shard. The daemon with the role of the fleet controller does so at
// once; the others only for workers that were left without for assignmentTimeout.
func (n *Node) assignWorkers(ctx context.Context, roster map[string][]engine.WorkerInfo) {
	layout := n.layout.Load()
	controller := n.term(FleetControllerRole) != nil
	now := n.settings.Now()
	if !controller || now-n.unlistedCheckedAt > maxUnlistedGap {
		clear(n.unlistedSince) // A worker may have been listed meanwhile.
	}
	n.unlistedCheckedAt = now
	for _, pool := range layout.Divided() {
		if !n.assignments.Known(layout, pool) {
			continue
		}
		list := n.candidates(layout, pool, roster[pool])
		if !controller && !n.overdue(list) {
			continue
		}
		chosen := shard.Balance(list, layout.Count(pool))
		if len(chosen) > 0 {
			c, cancel := context.WithTimeout(ctx, storeTimeout)
			err := n.assignments.Assign(c, pool, chosen)
			cancel()
			n.settings.Log.Info().Str("pool", pool).Int("workers", len(chosen)).AnErr("outcome", err).Msg("workers assigned to shards")
			n.passRoster()
		}
		if controller {
			n.removeAssignments(ctx, pool, list)
		}
	}
}

// candidates describes a pool's workers for the choice of their shards.
func (n *Node) candidates(l *shard.Layout, pool string, list []engine.WorkerInfo) []shard.Candidate {
	out := make([]shard.Candidate, 0, len(list))
	for i := range list {
		w := &list[i]
		c := shard.Candidate{ID: w.ID, Kind: w.Kind(), CPU: w.Capacity.CPU, Shard: shard.Unassigned}
		if name, ok := n.assignments.Of(l, pool, w.ID); ok {
			c.Shard, _ = l.Number(name)
		}
		out = append(out, c)
	}
	return out
}

// overdue reports whether a worker has had no shard for assignmentTimeout. Only the goroutine of readRoster may call it.
func (n *Node) overdue(list []shard.Candidate) bool {
	now := n.settings.Now()
	overdue := false
	for _, c := range list {
		since, ok := n.unassignedSince[c.ID]
		switch {
		case c.Shard != shard.Unassigned:
			delete(n.unassignedSince, c.ID)
		case !ok:
			n.unassignedSince[c.ID] = now
		case now-since > assignmentTimeout:
			overdue = true
		}
	}
	return overdue
}

// removeAssignments removes the assignments of workers that have not been listed for assignmentRetention. Only the goroutine of
// readRoster may call it.
func (n *Node) removeAssignments(ctx context.Context, pool string, listed []shard.Candidate) {
	now := n.settings.Now()
	present := map[string]bool{}
	for _, c := range listed {
		present[c.ID] = true
	}
	var gone []string
	for _, id := range n.assignments.Assigned(pool) {
		since, ok := n.unlistedSince[id]
		switch {
		case present[id]:
			delete(n.unlistedSince, id)
		case !ok:
			n.unlistedSince[id] = now
		case now-since > assignmentRetention:
			gone = append(gone, id)
		}
	}
	if len(gone) == 0 {
		return
	}
	c, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := n.assignments.Remove(c, pool, gone); err != nil {
		n.settings.Log.Warn().Err(err).Str("pool", pool).Msg("failed to remove the assignments of workers that have left")
		return
	}
	for _, id := range gone {
		delete(n.unlistedSince, id)
	}
}
