package cluster

import (
	"context"
	"time"

	"samphirepoint/engine"
	"samphirepoint/verdict"
)

// Report asks a pool's owner for the pool's state.
func (n *Node) Report(ctx context.Context, pool string) (engine.PoolReport, error) {
	res, err := n.try(ctx, Call{Op: OpReport, Pool: pool})
	if err != nil {
		return engine.PoolReport{}, err
	}
	if res.Report == nil {
		return engine.PoolReport{}, verdict.New(verdict.NotRun, 502, "pool %s: no report", pool)
	}
	return *res.Report, nil
}

// Cordon asks a pool's owner to keep new work off a worker for a while.
func (n *Node) Cordon(ctx context.Context, pool, worker string, length time.Duration) (empty, known bool, err error) {
	res, err := n.try(ctx, Call{Op: OpCordon, Pool: pool, Worker: worker, ForMS: length.Milliseconds()})
	return res.Empty, res.Known, err
}

// WorkerTerminated tells a pool's owner that a worker's life is over.
func (n *Node) WorkerTerminated(ctx context.Context, pool, worker string) error {
	_, err := n.try(ctx, Call{Op: OpGone, Pool: pool, Worker: worker})
	return err
}

// Pools lists the pools of the configuration in force; spare ones are true.
func (n *Node) Pools() map[string]bool {
	out := map[string]bool{}
	if c := n.catalog.Load(); c != nil {
		for _, p := range c.Pools {
			out[p.Name] = p.Spare
		}
	}
	return out
}
