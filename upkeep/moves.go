package upkeep

import (
	"cmp"
	"slices"
	"time"

	"samphirepoint/engine"
)

const (
	// surgeMargin is how much more room than the arriving work a pool in its turn gets; the rate is known late.
	surgeMargin = 1.35
	// backlogMargin is the same for work that waits or runs already.
	backlogMargin = 1.1
	// idleShare is the share of its instances that a pool outside its turn keeps while another one lacks some.
	idleShare = 0.75
	// risingTime is for how long after its start a surge is taken to last at its peak.
	risingTime = 2 * time.Second
	// watchFirst is how long a pool is watched before its instances are moved.
	watchFirst = time.Second
	// quietMargin and quietExtra are what a pool keeps between its turns beside what it uses.
	quietMargin = 1.5
	quietExtra  = 1
	// giveBackAfter is how long a pool must have had too many instances before it gives one back.
	giveBackAfter = 1200 * time.Millisecond
)

// need is how many instances a pool should have.
type need struct {
	pool string
	have int
	want int
	// least is how far another pool's need may bring it down.
	least int
	// empty are the instances of the pool that could go now; busy are others without work that lasts, the idlest first.
	empty []Instance
	busy  []Instance
}

// take removes the best instance to give, if there is one.
func (n *need) take() (Instance, bool) {
	list := &n.empty
	if len(*list) == 0 {
		list = &n.busy
	}
	if len(*list) == 0 {
		return Instance{}, false
	}
	i := (*list)[0]
	*list = (*list)[1:]
	n.have--
	return i, true
}

// PlanMoves returns the moves to be made now: instance to pool. Pools in their turn get instances from the spare pool, then
// from pools that have too many; pools between their turns give back to the spare pool what they don't need.
func (s *State) PlanMoves(f *Forecast, surplusSince map[string]time.Duration) map[string]string {
	spare := s.sparePool()
	if spare == "" {
		return nil
	}
	needs := s.needs(f)
	donors := s.inPool(spare)
	moves := map[string]string{}
	s.moveKinds(spare, moves)
	donors = slices.DeleteFunc(donors, func(i Instance) bool { return moves[i.ID] != "" })
	for _, n := range needs {
		if n.want <= n.have {
			continue
		}
		for missing := n.want - n.have; missing > 0; missing-- {
			id := s.donor(&donors, needs, n.pool)
			if id == "" {
				return moves
			}
			moves[id] = n.pool
		}
	}
	for i := range needs {
		s.giveBack(&needs[i], spare, surplusSince, moves)
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

// inPool lists the instances of a pool that can be ordered now.
func (s *State) inPool(pool string) []Instance {
	var out []Instance
	for _, i := range s.Instances {
		if i.Pool == pool && i.State == StateUp && !s.Duties[i.ID].Open && !s.inHand[i.ID] && !s.resting[i.ID] {
			out = append(out, i)
		}
	}
	slices.SortFunc(out, func(a, b Instance) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// donor takes an instance from the spare pool, or an empty one from the pool with the most to give.
func (s *State) donor(spares *[]Instance, needs []need, to string) string {
	if n := len(*spares); n > 0 {
		id := (*spares)[n-1].ID
		*spares = (*spares)[:n-1]
		return id
	}
	var best *need
	for i := range needs {
		n := &needs[i]
		if n.pool == to || len(n.empty)+len(n.busy) == 0 {
			continue
		}
		if n.have > n.want && (best == nil || n.have-n.want > best.have-best.want) {
			best = n
		}
	}
	if best == nil {
		best = idlest(needs, to)
	}
	if best == nil {
		return ""
	}
	i, _ := best.take()
	return i.ID
}

// idlest is the pool outside its turn that can best spare an instance, though it has none too many.
func idlest(needs []need, to string) *need {
	var best *need
	for i := range needs {
		n := &needs[i]
		if n.pool != to && n.have > n.least && len(n.empty) > 0 && (best == nil || n.have-n.least > best.have-best.least) {
			best = n
		}
	}
	return best
}

// giveBack sends what a pool has had too many of for a while to the spare pool.
func (s *State) giveBack(n *need, spare string, since map[string]time.Duration, moves map[string]string) {
	if n.have <= n.want || len(n.empty) == 0 {
		delete(since, n.pool)
		return
	}
	if _, ok := since[n.pool]; !ok {
		since[n.pool] = s.Now
	}
	if s.Now-since[n.pool] < giveBackAfter {
		return
	}
	for n.have > n.want && len(n.empty) > 0 {
		moves[n.empty[0].ID] = spare
		n.empty = n.empty[1:]
		n.have--
	}
}

// needs works out what each working pool should have, the greatest want first.
func (s *State) needs(f *Forecast) []need {
	var out []need
	for pool, r := range s.Reports {
		if s.Spare[pool] {
			continue
		}
		n := need{pool: pool, have: s.have(pool)}
		n.want = s.want(pool, r, f, n.have)
		n.least = n.want
		if !f.Expecting(pool, s.Now) {
			n.least = min(n.want, ceilDiv(idleShare*float64(n.want), 1))
		}
		n.empty, n.busy = s.givable(pool, r)
		out = append(out, n)
	}
	slices.SortFunc(out, func(a, b need) int {
		return cmp.Or(cmp.Compare(b.want-b.have, a.want-a.have), cmp.Compare(a.pool, b.pool))
	})
	return out
}

// have counts a pool's instances that are there or on their way; those down for upkeep come back by themselves.
func (s *State) have(pool string) int {
	n := 0
	for _, i := range s.Instances {
		to := i.Pool
		if d := s.Duties[i.ID]; d.To != "" && (d.Open || i.State == StateMoving) {
			to = d.To
		}
		if to == pool && i.State != StateDown {
			n++
		}
	}
	return n
}

func (s *State) want(pool string, r engine.PoolReport, f *Forecast, have int) int {
	d := f.pools[pool]
	if d == nil || s.Now-d.began < watchFirst {
		return have
	}
	room := s.roomOf(pool)
	used := float64(r.UsedCPU - r.LongRunningCPU + r.PendingCPU)
	if r.LongRunningPending {
		return have + 1
	}
	switch {
	case f.Expecting(pool, s.Now):
		load := max(d.rate*surgeMargin, used*backlogMargin)
		if !d.surging || s.Now-d.starts[len(d.starts)-1] < risingTime {
			load = max(load, d.peak*surgeMargin)
		}
		return max(s.Baseline[pool], ceilDiv(load+float64(r.LongRunningCPU), room))
	case f.Quiet(pool, s.Now):
		return max(hosts(r), min(s.Baseline[pool], ceilDiv(max(d.rate, used)*quietMargin+float64(r.LongRunningCPU), room)+quietExtra))
	case used > float64(r.CapacityCPU):
		return max(s.Baseline[pool], ceilDiv(used+float64(r.LongRunningCPU), room))
	}
	return max(s.Baseline[pool], 1)
}

func ceilDiv(load, room float64) int {
	n := int(load / room)
	if float64(n)*room < load {
		n++
	}
	return n
}

// hosts counts the workers with tasks that last.
func hosts(r engine.PoolReport) int {
	n := 0
	for _, w := range r.Workers {
		if w.LongRunning > 0 {
			n++
		}
	}
	return n
}

// roomOf is the CPU of one of the pool's instances.
func (s *State) roomOf(pool string) float64 {
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

// givable lists the pool's instances on which nothing runs, and those that will soon be empty.
func (s *State) givable(pool string, r engine.PoolReport) (empty, busy []Instance) {
	reports := map[string]engine.WorkerReport{}
	for _, w := range r.Workers {
		if w.Usable && w.LongRunning == 0 {
			reports[w.ID] = w
		}
	}
	for _, i := range s.inPool(pool) {
		w, ok := reports[i.Worker]
		switch {
		case !ok, s.lastOfKind(i, r):
		case w.Runs == 0:
			empty = append(empty, i)
		default:
			busy = append(busy, i)
		}
	}
	slices.SortStableFunc(busy, func(a, b Instance) int {
		x, y := reports[a.Worker], reports[b.Worker]
		return cmp.Or(cmp.Compare(boolRank(x.Cordoned), boolRank(y.Cordoned)), cmp.Compare(x.UsedCPU, y.UsedCPU))
	})
	return empty, busy
}

func boolRank(first bool) int {
	if first {
		return 0
	}
	return 1
}

// leastOfKind is how many instances of a kind a pool keeps once its tasks have asked for that kind.
const leastOfKind = 1

// lastOfKind reports whether the pool needs the instance for tasks that only its kind may run.
func (s *State) lastOfKind(i Instance, r engine.PoolReport) bool {
	for kind, cpu := range r.Kinds {
		if !i.is(kind) {
			continue
		}
		count, room := 0, int64(0)
		for _, other := range s.Instances {
			if other.Pool == i.Pool && other.ID != i.ID && other.State == StateUp && other.is(kind) {
				count++
				room += other.CapacityCPU
			}
		}
		if count < leastOfKind || float64(room) < float64(cpu)*quietMargin {
			return true
		}
	}
	return false
}

// moveKinds brings one instance at a time of a kind that a pool's tasks wait for.
func (s *State) moveKinds(spare string, moves map[string]string) {
	for pool, r := range s.Reports {
		for kind, cpu := range r.UnschedulableKinds {
			if cpu == 0 || s.comingOfKind(pool, kind) {
				continue
			}
			if id := s.findKind(pool, kind, spare, moves); id != "" {
				moves[id] = pool
			}
		}
	}
}

// comingOfKind reports whether an instance of a kind is on its way to a pool.
func (s *State) comingOfKind(pool, kind string) bool {
	for id, d := range s.Duties {
		i := s.Instances[id]
		if d.To == pool && i.is(kind) && (d.Open || i.State == StateMoving) {
			return true
		}
	}
	return false
}

// findKind returns an instance of a kind from the spare pool, or an idle one of another pool that can do without it.
func (s *State) findKind(pool, kind, spare string, moves map[string]string) string {
	for _, i := range s.inPool(spare) {
		if i.is(kind) && moves[i.ID] == "" {
			return i.ID
		}
	}
	for other, r := range s.Reports {
		if other == pool {
			continue
		}
		empty, _ := s.givable(other, r)
		for _, i := range empty {
			if i.is(kind) && moves[i.ID] == "" {
				return i.ID
			}
		}
	}
	return ""
}
