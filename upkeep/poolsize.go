package upkeep

import (
	"cmp"
	"slices"
	"time"

	"samphirepoint/engine"
)

const (
	// spikeMargin is the ratio of capacity to arriving work that a pool gets in its peak period, as the rate is known only
	// with a delay.
	spikeMargin = 1.35
	// backlogMargin is the ratio of capacity to work that is already pending or running.
	backlogMargin = 1.1
	// donorShare is the share of its desired instances that a pool outside its peak period keeps while another pool lacks
	// some.
	donorShare = 0.75
	// spikeRampTime is the time after the start of a spike during which its highest rate and the expected one count instead of
	// a lower present one: demand still rises, and an instance that is ordered now serves only at the end of this time.
	spikeRampTime = 3 * time.Second
	// expectedPeakMargin is the ratio of capacity to the expected rate of a peak period.
	expectedPeakMargin = 1.1
	// minObservation is how long a pool is observed before its instances are moved.
	minObservation = time.Second
	// offPeakMargin is the ratio of capacity to use that an off-peak pool keeps, and offPeakExtra the number of instances
	// that each of its shards keeps in addition.
	offPeakMargin = 1.5
	offPeakExtra  = 1
)

// poolSize is the present and the desired number of instances of a pool.
type poolSize struct {
	pool    string
	current int
	desired int
	// missing is the number of instances that single shards of the pool lack, whatever the pool has as a whole.
	missing int
	// urgent is set while the pool's peak period lasts or is near, and while its tasks wait for capacity. expected is set if nothing but the
	// forecast makes it urgent.
	urgent, expected bool
	// minimum is the number of instances that the pool keeps when it is a donor for another pool.
	minimum int
	// empty are the pool's instances that can be released now; busy are others without long-running tasks, cordoned ones
	// first, then the least loaded.
	empty []Instance
	busy  []Instance
}

// surplus returns by how many instances the pool exceeds its desired size; it is negative while the pool lacks some.
func (p *poolSize) surplus() int { return p.current - p.desired }

// reserve returns by how many instances the pool exceeds what it keeps as a donor.
func (p *poolSize) reserve() int { return p.current - p.minimum }

// rank orders the pools that lack instances: those whose work arrives or waits now, those that expect their peak, then those that restore their size.
func (p *poolSize) rank() int {
	switch {
	case p.expected:
		return 1
	case p.urgent:
		return 0
	}
	return 2
}

// take removes and returns the best instance to release, if there is one.
func (p *poolSize) take() (Instance, bool) {
	list := &p.empty
	if len(*list) == 0 {
		list = &p.busy
	}
	if len(*list) == 0 {
		return Instance{}, false
	}
	i := (*list)[0]
	*list = (*list)[1:]
	p.current--
	return i, true
}

// poolSizes computes the desired size of each pool that is not spare, ordered by rank and then the largest shortage first.
func (s *State) poolSizes(f *Forecast) []poolSize {
	var out []poolSize
	for pool, r := range s.Reports {
		if s.Spare[pool] {
			continue
		}
		p := poolSize{pool: pool, current: s.currentSize(pool)}
		p.desired = s.desiredSize(pool, r, f, p.current)
		p.minimum = p.desired
		peak := f.PeakExpected(pool, s.Now)
		lacking := r.LongRunningPending() || r.UsedCPU+r.PendingCPU > r.CapacityCPU
		p.urgent, p.expected = peak || lacking, peak && !lacking && !f.spiking(pool)
		switch {
		case p.expected:
			p.minimum = min(p.desired, max(s.Baseline[pool], ceilDiv(backlogMargin*float64(r.UsedCPU+r.PendingCPU), s.instanceCPU(pool))))
		case !peak:
			p.minimum = min(p.desired, ceilDiv(donorShare*float64(p.desired), 1))
		}
		p.empty, p.busy = s.releasable(pool, r)
		s.keepShards(&p, s.shardSizes(pool, r, f))
		out = append(out, p)
	}
	slices.SortFunc(out, func(a, b poolSize) int {
		return cmp.Or(cmp.Compare(a.rank(), b.rank()), cmp.Compare(b.desired-b.current, a.desired-a.current), cmp.Compare(a.pool, b.pool))
	})
	return out
}

// currentSize counts a pool's instances, including those that are moving to it, and those in upkeep, which return
// without an order. Instances in StateDown count only while they are starting.
func (s *State) currentSize(pool string) int {
	n := 0
	for _, i := range s.Instances {
		if cmp.Or(s.movingTo(i), i.Pool) == pool && (i.State != StateDown || s.starting[i.ID]) {
			n++
		}
	}
	return n
}

// movingTo returns the pool that an instance is moving to, or will once its open order is executed, and "" if there is none.
func (s *State) movingTo(i Instance) string {
	if rec := s.Orders[i.ID]; rec.Open || i.State == StateMoving {
		return rec.TargetPool
	}
	return ""
}

// desiredSize returns the number of instances that a pool is to have: by its demand, and more than now while a long-running task waits.
func (s *State) desiredSize(pool string, r engine.PoolReport, f *Forecast, current int) int {
	d := f.pools[pool]
	if d == nil || s.Now-d.firstObserved < minObservation {
		return current
	}
	size := s.sizeByDemand(pool, r, f)
	if r.LongRunningPending() {
		return max(size, current+1)
	}
	return size
}

func (s *State) sizeByDemand(pool string, r engine.PoolReport, f *Forecast) int {
	d := f.pools[pool]
	instanceCPU := s.instanceCPU(pool)
	used := float64(r.UsedCPU - r.LongRunningCPU + r.PendingCPU)
	switch {
	case f.PeakExpected(pool, s.Now):
		load := max(d.rate*spikeMargin, used*backlogMargin)
		if start, _ := d.lastStart(); !d.spiking || s.Now-start < spikeRampTime {
			load = max(load, d.peak*spikeMargin, f.expectedPeak(pool, s.Now)*expectedPeakMargin)
		}
		return max(s.Baseline[pool], ceilDiv(load+float64(r.LongRunningCPU), instanceCPU))
	case f.OffPeak(pool, s.Now):
		total := 0
		for _, size := range s.shardSizes(pool, r, f) {
			total += size.offPeak
		}
		return total
	case used > float64(r.CapacityCPU):
		return max(s.Baseline[pool], ceilDiv(used+float64(r.LongRunningCPU), instanceCPU))
	}
	return max(s.Baseline[pool], 1)
}

func ceilDiv(load, unit float64) int {
	n := int(load / unit)
	if float64(n)*unit < load {
		n++
	}
	return n
}

// instanceCPU returns the CPU capacity of one of the pool's instances, or else of any instance.
func (s *State) instanceCPU(pool string) float64 {
	for _, i := range s.Instances {
		if i.Pool == pool && i.CapacityCPU > 0 {
			return float64(i.CapacityCPU)
		}
	}
	for _, i := range s.Instances {
		if i.CapacityCPU > 0 {
			return float64(i.CapacityCPU)
		}
	}
	return 1
}

// releasable lists the pool's instances that may be released: those on which nothing runs, and those without long-running
// tasks, which will soon be empty.
func (s *State) releasable(pool string, r engine.PoolReport) (empty, busy []Instance) {
	reports := map[string]engine.WorkerReport{}
	for _, w := range r.Workers {
		if w.Usable && w.LongRunning == 0 {
			reports[w.ID] = w
		}
	}
	for _, i := range s.inPool(pool) {
		w, ok := reports[i.Worker]
		switch {
		case !ok, s.requiredForKind(i, r):
		case w.Runs == 0:
			empty = append(empty, i)
		default:
			busy = append(busy, i)
		}
	}
	slices.SortStableFunc(busy, func(a, b Instance) int {
		x, y := reports[a.Worker], reports[b.Worker]
		return cmp.Or(cmp.Compare(rankTrueFirst(x.Cordoned), rankTrueFirst(y.Cordoned)), cmp.Compare(x.UsedCPU, y.UsedCPU))
	})
	return empty, busy
}

func rankTrueFirst(first bool) int {
	if first {
		return 0
	}
	return 1
}
