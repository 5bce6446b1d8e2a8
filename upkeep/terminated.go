package upkeep

import (
	"context"
	"maps"
	"time"
)

// noteIncarnations records the incarnations that the owners know of. A report that a worker has terminated names the one that was known
// before the list was read, as the worker may start again under its ID at any time.
func (c *Controller) noteIncarnations(s *State) {
	for pool, r := range s.Reports {
		known := make(map[string]int64, len(r.Workers))
		for _, w := range r.Workers {
			known[w.ID] = w.Incarnation
		}
		c.incarnations[pool] = known
	}
}

// absentWorker is a worker with runs that is on no instance.
type absentWorker struct {
	// since is when the worker was first found to be on no instance, incarnation what its owner knew then: the lists read since
	// then lack that one.
	since       time.Duration
	incarnation int64
}

// absentAfter is how long a worker that its owner has runs on must be on no instance before the owner is told.
const absentAfter = 2 * time.Second

// reportAbsent tells the owners of workers on which they have runs but which are on no instance. An owner that has only just begun its term
// missed the report when the worker terminated, and would wait until any lease must have expired.
func (c *Controller) reportAbsent(ctx context.Context, s *State) {
	present := map[string]bool{}
	for _, i := range s.Instances {
		present[i.Worker] = true
	}
	absent := map[string]absentWorker{}
	for pool, r := range s.Reports {
		for _, w := range r.Workers {
			if w.Runs == 0 || present[w.ID] {
				continue
			}
			a, known := c.absent[w.ID]
			if !known || a.incarnation != w.Incarnation {
				a = absentWorker{since: s.Now, incarnation: w.Incarnation}
			}
			absent[w.ID] = a
			if s.Now-a.since >= absentAfter {
				_ = c.settings.Pools.WorkerAbsent(ctx, pool, w.ID, a.incarnation) // It is repeated while the owner has runs there.
			}
		}
	}
	c.absent = absent
}

// terminatedWorker is a worker whose owner is to be told that it has terminated.
type terminatedWorker struct {
	pool        string
	incarnation int64
	// known is false if the owner had not reported the worker before it terminated.
	known bool
}

// notifyTerminated notifies the pools' owners of workers that no longer run on their instance, so that the owners need not
// wait for the workers' leases to expire. The notice may arrive late, and the worker may start again under its ID before.
func (c *Controller) notifyTerminated(ctx context.Context, s *State) {
	c.findTerminated(s)
	for worker, t := range c.terminated {
		if !t.known || s.Spare[t.pool] || c.settings.Pools.WorkerTerminated(ctx, t.pool, worker, t.incarnation) == nil {
			delete(c.terminated, worker)
		}
	}
}

// findTerminated compares the list of instances with what was listed before. The list may be outdated: an instance that has a former worker
// again says nothing, and one that is missing or has no worker has to be so in two lists.
func (c *Controller) findTerminated(s *State) {
	seen := maps.Clone(s.Instances)
	for id, previous := range c.lastSeen {
		current, listed := s.Instances[id]
		terminated, missingBefore := c.missing[id]
		delete(c.missing, id)
		switch {
		case previous.Worker == "", current.Worker == previous.Worker:
			continue
		case c.formerWorkers[id][current.Worker]:
			seen[id] = previous
			continue
		case current.Worker == "" && !missingBefore:
			c.missing[id] = c.terminatedWorkerOf(previous)
			seen[id] = previous
			continue
		case current.Worker != "":
			terminated = c.terminatedWorkerOf(previous)
		}
		c.terminated[previous.Worker] = terminated
		if c.formerWorkers[id] == nil {
			c.formerWorkers[id] = map[string]bool{}
		}
		c.formerWorkers[id][previous.Worker] = true
		if !listed {
			delete(seen, id)
		}
	}
	c.lastSeen = seen
}

// terminatedWorkerOf describes an instance's worker by what its owner reported before the present list was read.
func (c *Controller) terminatedWorkerOf(i Instance) terminatedWorker {
	incarnation, known := c.incarnations[i.Pool][i.Worker]
	return terminatedWorker{pool: i.Pool, incarnation: incarnation, known: known}
}
