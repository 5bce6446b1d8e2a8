package cluster

import (
	"context"
	"errors"
	"time"

	"golang.org/x/sync/errgroup"

	"samphirepoint/owner"
	"samphirepoint/rows"
	"samphirepoint/shard"
)

const (
	// membersSettleTime is how long a daemon observes the members before it chooses numbers of shards, which depend on them.
	membersSettleTime = 2 * time.Second
	// layoutTimeout is how long a pool may have no number of shards before any daemon decides that it is one pool: the fleet controller,
	// which chooses the number, needs the list of instances.
	layoutTimeout = 6 * time.Second
)

// readLayout reads the shards of the pools while those of some pool are not known. It decides on pools that have been without for
// layoutTimeout.
func (n *Node) readLayout(ctx context.Context) {
	missing := n.poolsWithoutLayout()
	if len(missing) == 0 {
		return
	}
	c, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	layout, err := shard.Read(c, n.settings.Store)
	if err != nil {
		n.settings.Log.Warn().Err(err).Msg("failed to read the shards of the pools")
		return
	}
	n.layout.Store(layout)
	n.setQueues() // An owner may have begun before this daemon knew of which pool it has a shard.
	now := n.settings.Now()
	for _, pool := range n.poolsWithoutLayout() {
		since, ok := n.layoutMissingSince[pool]
		switch {
		case !ok && n.settings.NewFleetController != nil:
			n.layoutMissingSince[pool] = now
		case now-since > layoutTimeout || n.settings.NewFleetController == nil:
			n.createShards(c, pool, 1)
		}
	}
}

// poolsWithoutLayout returns the pools of the configuration whose number of shards this daemon doesn't know.
func (n *Node) poolsWithoutLayout() []string {
	cat := n.catalog.Load()
	if cat == nil {
		return nil
	}
	var out []string
	layout := n.layout.Load()
	for _, pool := range cat.NonSparePools() {
		if layout.Count(pool) == 0 {
			out = append(out, pool)
		}
	}
	return out
}

// CreateShards chooses the number of shards of each pool that has none, once the members are known. sizes describes the pools.
func (n *Node) CreateShards(ctx context.Context, sizes map[string]shard.Size) {
	if n.settings.Now()-n.createdAt < membersSettleTime {
		return
	}
	missing := n.poolsWithoutLayout()
	if len(missing) == 0 {
		return
	}
	var cores []float64
	for _, m := range n.Alive() {
		cores = append(cores, m.cores())
	}
	for _, pool := range missing {
		if size, ok := sizes[pool]; ok {
			n.createShards(ctx, pool, shard.Choose(size, cores, len(n.Catalog().NonSparePools())))
		}
	}
}

// createShards stores a pool's number of shards unless there is one. A pool that has had an owner as a whole stays whole, as its jobs
// are stored so.
func (n *Node) createShards(ctx context.Context, pool string, count int) {
	var whole []rows.Condition
	if count > 1 {
		whole = append(whole, owner.ClaimCondition(pool, 0))
	}
	err := shard.Create(ctx, n.settings.Store, pool, count, whole...)
	var conflict *rows.Conflict
	if errors.As(err, &conflict) {
		count = 1
		err = shard.Create(ctx, n.settings.Store, pool, count)
	}
	n.settings.Log.Info().Str("pool", pool).Int("shards", count).AnErr("outcome", err).Msg("number of shards chosen")
	n.Wake()
}

// attemptForJob makes one attempt to execute a request at the owner of a job's shard.
func (n *Node) attemptForJob(ctx context.Context, pool, id string, r request) (wireResult, error) {
	name, ok := n.layout.Load().OfJob(pool, id)
	if !ok {
		return wireResult{}, noOwner(pool)
	}
	return n.attempt(ctx, name, r)
}

// attemptForWorker makes one attempt to execute a request at the owner of a worker's shard.
func (n *Node) attemptForWorker(ctx context.Context, pool, worker string, r request) (wireResult, error) {
	name, ok := n.assignments.Of(n.layout.Load(), pool, worker)
	if !ok {
		return wireResult{}, noOwner(pool)
	}
	return n.attempt(ctx, name, r)
}

// waitingInPool adds up the numbers of a queue's waiting jobs in all shards of a pool.
func (n *Node) waitingInPool(ctx context.Context, pool, queue string) (int, error) {
	return untilCertain(ctx, n, func(ctx context.Context) (int, error) {
		results, err := n.attemptAll(ctx, pool, waitingRequest{Queue: queue})
		waiting := 0
		for _, r := range results {
			waiting += r.Waiting
		}
		return waiting, err
	})
}

// attemptAll makes one attempt to execute a request at the owners of all shards of a pool, or of the shard that it names. It fails if any
// attempt fails.
func (n *Node) attemptAll(ctx context.Context, pool string, r request) ([]wireResult, error) {
	layout := n.layout.Load()
	names := layout.Names(pool)
	if layout.PoolOf(pool) != pool {
		names = []string{pool}
	}
	if len(names) == 0 {
		return nil, noOwner(pool)
	}
	results := make([]wireResult, len(names))
	var g errgroup.Group
	for i, name := range names {
		g.Go(func() error {
			var err error
			results[i], err = n.attempt(ctx, name, r)
			return err
		})
	}
	return results, g.Wait()
}
