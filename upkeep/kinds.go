package upkeep

import "samphirepoint/engine"

// isKind reports whether the instance is of a kind, in the notation of engine.Step.Kinds.
func (i *Instance) isKind(kind string) bool {
	return engine.IsKind(kind, i.Labels, i.CapacityGPU)
}

// kinds returns the kinds that the instance is of, in the notation of engine.Step.Kinds, without its rack.
func (i *Instance) kinds() []string {
	var out []string
	for _, label := range i.Labels {
		if label != i.Rack {
			out = append(out, label)
		}
	}
	if i.CapacityGPU > 0 {
		out = append(out, engine.KindGPU)
	}
	return out
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
	for _, i := range s.Instances {
		if i.isKind(kind) && s.movingTo(i) == pool {
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
