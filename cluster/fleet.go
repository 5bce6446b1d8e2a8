package cluster

import (
	"context"
	"net/http"
	"time"

	"samphirepoint/engine"
	"samphirepoint/owner"
	"samphirepoint/shard"
	"samphirepoint/verdict"
)

// Report requests the state of a pool, or of one of its shards, from the owners. It fails if any of them doesn't answer.
func (n *Node) Report(ctx context.Context, pool string) (engine.PoolReport, error) {
	results, err := n.attemptAll(ctx, pool, reportRequest{})
	if err != nil {
		return engine.PoolReport{}, err
	}
	var out engine.PoolReport
	for _, res := range results {
		if res.Report == nil {
			return engine.PoolReport{}, verdict.New(verdict.NotRun, http.StatusBadGateway, "pool %s: an owner's response has no report", pool)
		}
		out.Add(*res.Report)
	}
	return out, nil
}

// Cordon asks a worker's owner to keep new work off a worker for the given duration; 0 removes the cordon.
func (n *Node) Cordon(ctx context.Context, pool, worker string, length time.Duration) (owner.CordonAnswer, error) {
	res, err := n.attemptForWorker(ctx, pool, worker, cordonRequest{Worker: worker, Duration: length})
	return res.cordonAnswer(), err
}

// AnnounceUpkeep names the workers of a shard whose instances are due for upkeep to the shard's owner.
func (n *Node) AnnounceUpkeep(ctx context.Context, shard string, workers []string, length time.Duration) error {
	_, err := n.attempt(ctx, shard, upkeepDueRequest{Workers: workers, Duration: length})
	return err
}

// WorkerTerminated notifies a worker's owner that an incarnation of the worker has terminated.
func (n *Node) WorkerTerminated(ctx context.Context, pool, worker string, incarnation int64) error {
	return n.notifyOwner(ctx, pool, worker, workerTerminatedNotice{Worker: worker, Incarnation: incarnation})
}

// WorkerAbsent notifies a worker's owner that an incarnation of the worker has been on no instance for some time.
func (n *Node) WorkerAbsent(ctx context.Context, pool, worker string, incarnation int64) error {
	return n.notifyOwner(ctx, pool, worker, workerAbsentNotice{Worker: worker, Incarnation: incarnation})
}

func (n *Node) notifyOwner(ctx context.Context, pool, worker string, notice request) error {
	layout := n.layout.Load()
	if _, assigned := n.assignments.Of(layout, pool, worker); !assigned && n.assignments.Known(layout, pool) {
		return nil // No owner has heard of it.
	}
	_, err := n.attemptForWorker(ctx, pool, worker, notice)
	return err
}

// Layout returns the shards of the pools, as far as this daemon knows them.
func (n *Node) Layout() *shard.Layout { return n.layout.Load() }

// ShardOf returns the shard of a worker, and false if that isn't known.
func (n *Node) ShardOf(pool, worker string) (string, bool) {
	return n.assignments.Of(n.layout.Load(), pool, worker)
}

// Pools returns the pools of the configuration in force, with the value true for spare pools.
func (n *Node) Pools() map[string]bool {
	out := map[string]bool{}
	if c := n.catalog.Load(); c != nil {
		for _, p := range c.Pools {
			out[p.Name] = p.Spare
		}
	}
	return out
}
