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
	// scaleDownDelay is how long a pool must have had surplus instances before it is scaled down.
	scaleDownDelay = 1200 * time.Millisecond
)

// poolSize is the present and the desired number of instances of a pool.
type poolSize struct {
	pool    string
	current int
	desired int
	// missing is the number of instances that single shards of the pool lack, whatever the pool has as a whole.
	missing int
	// urgent is set while the pool's peak period lasts or is near, and while its tasks wait for capacity.
	urgent bool
	// minimum is the number of instances that the pool keeps when it is a donor for another pool.
	minimum int
	// empty are the pool's instances that can be released now; busy are others without long-running tasks, cordoned ones
	// first, then the least loaded.
	empty []Instance
	busy  []Instance
}

// take removes and returns the best instance to release, if there is one.
func (n *poolSize) take() (Instance, bool) {
	list := &n.empty
	if len(*list) == 0 {
		list = &n.busy
	}
	if len(*list) == 0 {
		return Instance{}, false
	}
	i := (*list)[0]
	*list = (*list)[1:]
	n.current--
	return i, true
}

// PlanMoves returns the moves to be made now, as a map from instance to target pool. Pools that lack instances get them from
// the spare pool, then from other pools; pools with a surplus are scaled down, to the spare pool.
func (s *State) PlanMoves(f *Forecast, surplusSince map[string]time.Duration) map[string]string {
	spare := s.sparePool()
	if spare == "" {
		return nil
	}
	sizes := s.poolSizes(f)
	donors := s.dueFirst(s.inPool(spare))
	moves := map[string]string{}
	s.moveKinds(spare, moves)
	donors = slices.DeleteFunc(donors, func(i Instance) bool { return moves[i.ID] != "" })
	for _, n := range sizes {
		for missing := max(n.desired-n.current, n.missing); missing > 0; missing-- {
			id := s.donor(&donors, sizes, n)
			if id == "" {
				break
			}
			moves[id] = n.pool
		}
	}
	for i := range sizes {
		s.scaleDown(&sizes[i], spare, surplusSince, moves)
	}
	return moves
}

func (s *State) sparePool() string {
	for p, spare := range s.Spare {
		if spare {
			return p
		}
	}
	return ""
}

// inPool lists the instances of a pool that are available for an order now, by ID.
func (s *State) inPool(pool string) []Instance {
	var out []Instance
	for _, i := range s.Instances {
		if i.Pool == pool && i.State == StateUp && !s.Orders[i.ID].Open && !s.inProgress[i.ID] && !s.coolingDown[i.ID] {
			out = append(out, i)
		}
	}
	slices.SortFunc(out, func(a, b Instance) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// dueFirst orders instances so that those that wait for their upkeep come first, as the last to be taken by donor: on an instance that is
// moved before its upkeep, work starts that delays it.
func (s *State) dueFirst(list []Instance) []Instance {
	due := map[string]bool{}
	for _, w := range s.Waves {
		for _, id := range s.Remaining(w) {
			due[id] = true
		}
	}
	slices.SortStableFunc(list, func(a, b Instance) int { return cmp.Compare(rankTrueFirst(due[a.ID]), rankTrueFirst(due[b.ID])) })
	return list
}

// donor takes an instance for a pool from the spare pool, or else one from the pool with the largest surplus, empty ones
// first. Only an urgent pool gets one that the donor may miss later: pools that merely restore their size would otherwise take
// instances from each other in a circle.
func (s *State) donor(spares *[]Instance, sizes []poolSize, to poolSize) string {
	if n := len(*spares); n > 0 {
		id := (*spares)[n-1].ID
		*spares = (*spares)[:n-1]
		return id
	}
	var best *poolSize
	for i := range sizes {
		n := &sizes[i]
		if n.pool == to.pool || len(n.empty)+len(n.busy) == 0 {
			continue
		}
		if n.current > n.desired && (best == nil || n.current-n.desired > best.current-best.desired) {
			best = n
		}
	}
	if best == nil && to.urgent {
		best = largestReserveDonor(sizes, to.pool)
	}
	if best == nil {
		return ""
	}
	i, _ := best.take()
	return i.ID
}

// largestReserveDonor returns the pool outside its peak period that can best spare an empty instance although it has no surplus,
// or nil.
func largestReserveDonor(sizes []poolSize, to string) *poolSize {
	var best *poolSize
	for i := range sizes {
		n := &sizes[i]
		if n.pool != to && n.current > n.minimum && len(n.empty) > 0 && (best == nil || n.current-n.minimum > best.current-best.minimum) {
			best = n
		}
	}
	return best
}

// scaleDown moves empty instances to the spare pool once the pool has had a surplus for scaleDownDelay.
func (s *State) scaleDown(n *poolSize, spare string, since map[string]time.Duration, moves map[string]string) {
	if n.current <= n.desired || len(n.empty) == 0 {
		delete(since, n.pool)
		return
	}
	if _, ok := since[n.pool]; !ok {
		since[n.pool] = s.Now
	}
	if s.Now-since[n.pool] < scaleDownDelay {
		return
	}
	for n.current > n.desired && len(n.empty) > 0 {
		moves[n.empty[0].ID] = spare
		n.empty = n.empty[1:]
		n.current--
	}
}

// poolSizes computes the desired size of each pool that is not spare: the urgent ones first, then the largest shortage first.
func (s *State) poolSizes(f *Forecast) []poolSize {
	var out []poolSize
	for pool, r := range s.Reports {
		if s.Spare[pool] {
			continue
		}
		n := poolSize{pool: pool, current: s.currentSize(pool)}
		n.desired = s.desiredSize(pool, r, f, n.current)
		n.minimum = n.desired
		peak := f.PeakExpected(pool, s.Now)
		n.urgent = peak || r.LongRunningPending() || r.UsedCPU+r.PendingCPU > r.CapacityCPU
		if !peak {
			n.minimum = min(n.desired, ceilDiv(donorShare*float64(n.desired), 1))
		}
		n.empty, n.busy = s.releasable(pool, r)
		s.keepShards(&n, s.shardSizes(pool, r, f))
		out = append(out, n)
	}
	slices.SortFunc(out, func(a, b poolSize) int {
		return cmp.Or(cmp.Compare(rankTrueFirst(a.urgent), rankTrueFirst(b.urgent)), cmp.Compare(b.desired-b.current, a.desired-a.current), cmp.Compare(a.pool, b.pool))
	})
	return out
}

// currentSize counts a pool's instances, including those that are moving to it, and those in upkeep, which return
// without an order. Instances in StateDown count only while they are starting.
func (s *State) currentSize(pool string) int {
	n := 0
	for _, i := range s.Instances {
		to := i.Pool
		if rec := s.Orders[i.ID]; rec.TargetPool != "" && (rec.Open || i.State == StateMoving) {
			to = rec.TargetPool
		}
		if to == pool && (i.State != StateDown || s.starting[i.ID]) {
			n++
		}
	}
	return n
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
		if !d.spiking || s.Now-d.starts[len(d.starts)-1] < spikeRampTime {
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

// minOfKind is how many instances of a kind a pool keeps once its tasks have required that kind.
const minOfKind = 1

// requiredForKind reports whether the pool needs the instance for tasks that only workers of its kind may run.
func (s *State) requiredForKind(i Instance, r engine.PoolReport) bool {
	for kind, cpu := range r.Kinds {
		if !i.isKind(kind) {
			continue
		}
		count, capacity := 0, int64(0)
		for _, other := range s.Instances {
			if other.Pool == i.Pool && other.ID != i.ID && other.State == StateUp && other.isKind(kind) {
				count++
				capacity += other.CapacityCPU
			}
		}
		if count < minOfKind || float64(capacity) < float64(cpu)*offPeakMargin {
			return true
		}
	}
	return false
}

// moveKinds moves instances to pools with tasks that are unschedulable for lack of a kind, one instance of a kind at a time.
func (s *State) moveKinds(spare string, moves map[string]string) {
	for pool, r := range s.Reports {
		for kind, cpu := range r.UnschedulableKinds {
			if cpu == 0 || s.movingOfKind(pool, kind) {
				continue
			}
			if id := s.findKind(pool, kind, spare, moves); id != "" {
				moves[id] = pool
			}
		}
	}
}

// movingOfKind reports whether an instance of a kind is moving to a pool.
func (s *State) movingOfKind(pool, kind string) bool {
	for id, rec := range s.Orders {
		i := s.Instances[id]
		if rec.TargetPool == pool && i.isKind(kind) && (rec.Open || i.State == StateMoving) {
			return true
		}
	}
	return false
}

// findKind returns an instance of a kind from the spare pool, or else an empty one that another pool does not need.
func (s *State) findKind(pool, kind, spare string, moves map[string]string) string {
	for _, i := range s.inPool(spare) {
		if i.isKind(kind) && moves[i.ID] == "" {
			return i.ID
		}
	}
	for other, r := range s.Reports {
		if other == pool {
			continue
		}
		empty, _ := s.releasable(other, r)
		for _, i := range empty {
			if i.isKind(kind) && moves[i.ID] == "" {
				return i.ID
			}
		}
	}
	return ""
}
