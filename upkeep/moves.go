package upkeep

import (
	"cmp"
	"slices"
	"time"
)

// scaleDownDelay is how long a pool must have had surplus instances before it is scaled down.
const scaleDownDelay = 1200 * time.Millisecond

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
	for _, p := range sizes {
		for missing := max(p.desired-p.current, p.missing); missing > 0; missing-- {
			id := s.donor(&donors, sizes, p)
			if id == "" {
				break
			}
			moves[id] = p.pool
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
// first. Only a pool whose work arrives or waits now gets one that the donor may miss later: pools that merely restore their size would otherwise take
// instances from each other in a circle. A pool that only expects its peak is such a donor, as the forecast may be wrong.
func (s *State) donor(spares *[]Instance, sizes []poolSize, to poolSize) string {
	if n := len(*spares); n > 0 {
		id := (*spares)[n-1].ID
		*spares = (*spares)[:n-1]
		return id
	}
	var best *poolSize
	for i := range sizes {
		p := &sizes[i]
		if p.pool == to.pool || len(p.empty)+len(p.busy) == 0 || p.surplus() <= 0 {
			continue
		}
		if best == nil || p.surplus() > best.surplus() {
			best = p
		}
	}
	if best == nil && to.urgent && !to.expected {
		best = largestReserveDonor(sizes, to.pool)
	}
	if best == nil {
		return ""
	}
	i, _ := best.take()
	return i.ID
}

// largestReserveDonor returns the pool without a present peak that can best spare an empty instance although it has no surplus,
// or nil.
func largestReserveDonor(sizes []poolSize, to string) *poolSize {
	var best *poolSize
	for i := range sizes {
		p := &sizes[i]
		if p.pool == to || p.reserve() <= 0 || len(p.empty) == 0 {
			continue
		}
		if best == nil || p.reserve() > best.reserve() {
			best = p
		}
	}
	return best
}

// scaleDown moves empty instances to the spare pool once the pool has had a surplus for scaleDownDelay.
func (s *State) scaleDown(p *poolSize, spare string, since map[string]time.Duration, moves map[string]string) {
	if p.surplus() <= 0 || len(p.empty) == 0 {
		delete(since, p.pool)
		return
	}
	if _, ok := since[p.pool]; !ok {
		since[p.pool] = s.Now
	}
	if s.Now-since[p.pool] < scaleDownDelay {
		return
	}
	for p.surplus() > 0 && len(p.empty) > 0 {
		moves[p.empty[0].ID] = spare
		p.empty = p.empty[1:]
		p.current--
	}
}
