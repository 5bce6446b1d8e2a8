package report

import (
	"sort"
	"time"

	"samphirepoint/checker"
	"samphirepoint/standin/workerd"
)

// poolMembership is an interval in which a worker belongs to a pool.
type poolMembership struct {
	worker, pool string
	from, to     time.Time
	serving      bool
	failed       bool
	slots        int
}

// fleetHistory holds all pool memberships within the run and the executions of each worker.
type fleetHistory struct {
	memberships []poolMembership
	executions  map[string][]execution // by worker
}

// execution is a run of a request that holds one slot.
type execution struct {
	pool      string
	from, to  time.Time
	requestID string
}

func newFleetHistory(in Input) *fleetHistory {
	f := &fleetHistory{executions: map[string][]execution{}}
	current := map[string]poolMembership{}
	slots := map[string]int{}
	for _, w := range in.Workers {
		slots[w.ID] = w.Slots
		current[w.ID] = poolMembership{worker: w.ID, pool: w.Pool, from: in.From, serving: true, slots: w.Slots}
	}
	for _, p := range in.Pools {
		if m, ok := current[p.Instance]; ok {
			f.addMembership(m, p.Time, in)
			delete(current, p.Instance)
		}
		if !p.Deleted {
			n := slots[p.Instance]
			if n == 0 {
				n = workerd.DefaultSlots
			}
			current[p.Instance] = poolMembership{worker: p.Instance, pool: p.Pool, from: p.Time, serving: p.State == "serving",
				failed: p.State == "failed", slots: n}
		}
	}
	for _, m := range current {
		f.addMembership(m, in.To, in)
	}
	f.addExecutions(in)
	return f
}

// addMembership records the part of a membership that lies within the run.
func (f *fleetHistory) addMembership(m poolMembership, to time.Time, in Input) {
	if m.from.Before(in.From) {
		m.from = in.From
	}
	if to.After(in.To) {
		to = in.To
	}
	m.to = to
	if m.to.After(m.from) {
		f.memberships = append(f.memberships, m)
	}
}

func (f *fleetHistory) addExecutions(in Input) {
	starts := map[string]workerd.Event{}
	record := func(e workerd.Event, to time.Time) {
		f.executions[e.Worker] = append(f.executions[e.Worker], execution{pool: e.Pool, from: e.Time, to: to, requestID: e.RequestID})
	}
	for _, e := range in.Journal {
		switch e.Kind {
		case workerd.Start:
			starts[e.RunID] = e
		case workerd.End:
			if s, ok := starts[e.RunID]; ok {
				record(s, e.Time)
				delete(starts, e.RunID)
			}
		}
	}
	for _, s := range starts {
		record(s, in.To)
	}
}

// spareUsage computes the idle time of workers in spare pools; that of failed workers does not count.
func spareUsage(in Input, f *fleetHistory) Spare {
	isSpare := map[string]bool{}
	for _, p := range in.SparePools {
		isSpare[p] = true
	}
	var s Spare
	total := 0.0
	for _, m := range f.memberships {
		seconds := m.to.Sub(m.from).Seconds()
		total += seconds
		if !isSpare[m.pool] || m.failed {
			continue
		}
		busy := 0.0
		for _, w := range f.executions[m.worker] {
			busy += checker.Overlap(w.from, w.to, m.from, m.to).Seconds()
		}
		s.IdleWorkerSeconds += max(seconds-busy/float64(max(m.slots, 1)), 0)
	}
	if total > 0 {
		s.Share = s.IdleWorkerSeconds / total
	}
	return s
}

// sortedPools returns the names of the pools in which work was executed.
func (f *fleetHistory) sortedPools() []string {
	seen := map[string]bool{}
	var names []string
	for _, list := range f.executions {
		for _, w := range list {
			if !seen[w.pool] {
				seen[w.pool] = true
				names = append(names, w.pool)
			}
		}
	}
	sort.Strings(names)
	return names
}
