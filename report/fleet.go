package report

import (
	"sort"
	"time"

	"samphirepoint/standin/workerd"
)

// membership is a time that a worker spends in a pool.
type membership struct {
	worker, pool string
	from, to     time.Time
	serving      bool
	failed       bool
	slots        int
}

// fleet holds all memberships within the run and the work of each worker.
type fleet struct {
	memberships []membership
	work        map[string][]work // by worker
}

// work holds one slot.
type work struct {
	pool      string
	from, to  time.Time
	requestID string
}

func newFleet(in Input) *fleet {
	f := &fleet{work: map[string][]work{}}
	current := map[string]membership{}
	slots := map[string]int{}
	for _, w := range in.Workers {
		slots[w.ID] = w.Slots
		current[w.ID] = membership{worker: w.ID, pool: w.Pool, from: in.From, serving: true, slots: w.Slots}
	}
	for _, p := range in.Pools {
		if m, ok := current[p.Instance]; ok {
			f.add(m, p.Time, in)
			delete(current, p.Instance)
		}
		if !p.Deleted {
			n := slots[p.Instance]
			if n == 0 {
				n = workerd.DefaultSlots
			}
			current[p.Instance] = membership{worker: p.Instance, pool: p.Pool, from: p.Time, serving: p.State == "serving",
				failed: p.State == "failed", slots: n}
		}
	}
	for _, m := range current {
		f.add(m, in.To, in)
	}
	f.addWork(in)
	return f
}

// add keeps the part of a membership within the run.
func (f *fleet) add(m membership, to time.Time, in Input) {
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

func (f *fleet) addWork(in Input) {
	starts := map[string]workerd.Event{}
	keep := func(e workerd.Event, to time.Time) {
		f.work[e.Worker] = append(f.work[e.Worker], work{pool: e.Pool, from: e.Time, to: to, requestID: e.RequestID})
	}
	for _, e := range in.Journal {
		switch e.Kind {
		case workerd.Start:
			starts[e.RunID] = e
		case workerd.End:
			if s, ok := starts[e.RunID]; ok {
				keep(s, e.Time)
				delete(starts, e.RunID)
			}
		}
	}
	for _, s := range starts {
		keep(s, in.To)
	}
}

func spare(in Input, f *fleet) Spare {
	isSpare := map[string]bool{}
	for _, p := range in.Spare {
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
		for _, w := range f.work[m.worker] {
			busy += overlap(w.from, w.to, m.from, m.to).Seconds()
		}
		s.IdleWorkerSeconds += max(seconds-busy/float64(max(m.slots, 1)), 0)
	}
	if total > 0 {
		s.Share = s.IdleWorkerSeconds / total
	}
	return s
}

func overlap(a, b, from, to time.Time) time.Duration {
	if a.Before(from) {
		a = from
	}
	if b.After(to) {
		b = to
	}
	return max(b.Sub(a), 0)
}

// sortedPools returns the pools that have work.
func (f *fleet) sortedPools() []string {
	seen := map[string]bool{}
	var names []string
	for _, list := range f.work {
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
