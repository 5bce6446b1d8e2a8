package cluster

import (
	"context"
	"time"

	"samphirepoint/engine"
	"samphirepoint/owner"
	"samphirepoint/verdict"
)

// Report requests a pool's state from its owner.
func (n *Node) Report(ctx context.Context, pool string) (engine.PoolReport, error) {
	res, err := n.attempt(ctx, Call{Op: OpReport, Pool: pool})
	if err != nil {
		return engine.PoolReport{}, err
	}
	if res.Report == nil {
		return engine.PoolReport{}, verdict.New(verdict.NotRun, 502, "pool %s: the owner's response has no report", pool)
	}
	return *res.Report, nil
}

// Cordon asks a pool's owner to keep new work off a worker for the given duration; 0 removes the cordon.
func (n *Node) Cordon(ctx context.Context, pool, worker string, length time.Duration) (owner.CordonAnswer, error) {
	res, err := n.attempt(ctx, Call{Op: OpCordon, Pool: pool, Worker: worker, DurationMS: length.Milliseconds()})
	return owner.CordonAnswer{Empty: res.Empty, Known: res.Known, ClaimVer: res.ClaimVer}, err
}

// WorkerTerminated notifies a pool's owner that a worker has terminated.
func (n *Node) WorkerTerminated(ctx context.Context, pool, worker string) error {
	_, err := n.attempt(ctx, Call{Op: OpWorkerTerminated, Pool: pool, Worker: worker})
	return err
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
