package checker

import (
	"fmt"
	"sort"
	"time"

	"samphirepoint/standin/workerd"
)

// checkPools checks P2 in three ways: no address is in two rows with different pools, no worker runs work for two pools
// at once, and work starts only for the pool that the worker's row names at that time.
func (c *check) checkPools() {
	c.checkAddresses()
	running := map[string]map[string]workerd.Event{} // by worker and run
	for _, e := range c.index.events {
		switch e.Kind {
		case workerd.Start:
			c.checkOnePool(e, running[e.Worker])
			if running[e.Worker] == nil {
				running[e.Worker] = map[string]workerd.Event{}
			}
			running[e.Worker][e.RunID] = e
		case workerd.End:
			delete(running[e.Worker], e.RunID)
		}
	}
	c.checkRowPools()
}

func (c *check) checkAddresses() {
	state, byAddress := rowState{}, map[string]PoolSample{}
	for _, p := range c.in.Pools {
		state.apply(p)
		c.countCheck(P2)
		if p.Address == "" || p.Deleted {
			continue
		}
		other, ok := byAddress[p.Address]
		if _, alive := state[other.Instance]; ok && alive && other.Instance != p.Instance && state[other.Instance].Pool != p.Pool {
			c.addViolation(P2, p.Time, nil, "address %s is instance %s of pool %s and instance %s of pool %s", p.Address,
				other.Instance, state[other.Instance].Pool, p.Instance, p.Pool)
		}
		byAddress[p.Address] = p
	}
}

func (c *check) checkOnePool(e workerd.Event, running map[string]workerd.Event) {
	c.countCheck(P2)
	for _, o := range running {
		if o.Pool != e.Pool && o.Pool != "" && e.Pool != "" {
			c.addViolation(P2, e.Time, []string{describeEvent(o), describeEvent(e)}, "worker %s works for pools %s and %s at once", e.Worker, o.Pool, e.Pool)
			return
		}
	}
}

// checkRowPools compares the pool of each start with the row in force. Journals and rows share one clock, and a move is
// committed only when no work is in flight, so there is no tolerance.
func (c *check) checkRowPools() {
	rows := map[string][]PoolSample{}
	for _, p := range c.in.Pools {
		rows[p.Instance] = append(rows[p.Instance], p)
	}
	for _, ex := range c.index.executions {
		e := ex.start
		p, ok := rowAt(rows[e.Worker], e.Time)
		if !ok || e.Pool == "" {
			continue
		}
		c.countCheck(P2)
		if p.Pool != e.Pool {
			c.addViolation(P2, e.Time, []string{describeEvent(e), fmt.Sprintf("%s row of %s: pool %s, %s", p.Time.Format(timeFormat), p.Instance, p.Pool, p.State)},
				"worker %s of pool %s started work for pool %s", e.Worker, p.Pool, e.Pool)
		}
	}
}

func rowAt(rows []PoolSample, t time.Time) (PoolSample, bool) {
	i := sort.Search(len(rows), func(i int) bool { return rows[i].Time.After(t) })
	if i == 0 || rows[i-1].Deleted {
		return PoolSample{}, false
	}
	return rows[i-1], true
}
