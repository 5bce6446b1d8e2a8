package upkeep

import (
	"cmp"
	"slices"
	"time"

	"samphirepoint/engine"
)

const (
	// instanceTime is the approximate time that one instance takes: to be drained, and to be down.
	instanceTime = 5 * time.Second
	// minAvailableShare is the share of a pool's workers that stays available unless the wave is urgent.
	minAvailableShare = 0.5
	// demandMargin is the ratio of capacity to present use that a pool keeps unless the wave is urgent.
	demandMargin = 1.25
)

// PlanWave returns the instances of a wave that are to be cordoned now: those that are cordoned already, then those that are
// least costly to disrupt. Together with the instances that may be down already, they are no more than the wave's cap.
func (s *State) PlanWave(w Wave, cordoned map[string]bool) []string {
	slots := w.Cap
	for _, id := range w.Instances {
		if (s.started(id, w.ID) || s.Orders[id].Open) && s.mayBeDown(id) {
			slots--
		}
	}
	remaining := s.Remaining(w)
	urgent := s.urgent(w, len(remaining))
	sel := s.newSelection(s.keepCordoned(remaining, cordoned))
	for _, id := range s.sortByDisruption(remaining) {
		if len(sel.ids) >= slots {
			break
		}
		i := s.Instances[id]
		if i.State != StateUp || cordoned[id] || s.mayBeDown(id) || s.coolingDown[id] || s.longRunningPending(i) {
			continue
		}
		if urgent || sel.mayDrainEarly(i) || sel.canSpare(i) {
			sel.add(i)
		}
	}
	return sel.ids[:min(len(sel.ids), max(slots, 0))]
}

// selection is the instances that are selected for a wave, with what their pools and shards release.
type selection struct {
	state *State
	ids   []string
	// releasedCPU is the capacity that each pool releases, released the number of instances that each shard does.
	releasedCPU map[string]int64
	released    map[string]int
	// longRunning is the number of selected instances with long-running tasks, longRunningLimit how many may drain at the same time, both
	// by shard.
	longRunning, longRunningLimit map[string]int
	// available is the availability of each shard before the selection.
	available map[string]availability
}

// newSelection returns a selection of the given instances.
func (s *State) newSelection(ids []string) *selection {
	sel := &selection{
		state:            s,
		ids:              ids,
		releasedCPU:      map[string]int64{},
		released:         map[string]int{},
		longRunning:      s.countLongRunning(ids),
		longRunningLimit: s.longRunningDrains(),
		available:        s.availabilities(),
	}
	for _, id := range ids {
		sel.release(s.Instances[id])
	}
	return sel
}

// add selects an instance.
func (sel *selection) add(i Instance) {
	sel.ids = append(sel.ids, i.ID)
	sel.release(i)
	if sel.state.longRunningOn(i.ID) > 0 {
		sel.longRunning[sel.state.shardOfInstance(i)]++
	}
}

func (sel *selection) release(i Instance) {
	sel.releasedCPU[i.Pool] += i.CapacityCPU
	sel.released[sel.state.shardOfInstance(i)]++
}

// mayDrainEarly reports whether an instance may drain whatever the demand, because of its long-running tasks. See longRunningDrainShare.
func (sel *selection) mayDrainEarly(i Instance) bool {
	shard := sel.state.shardOfInstance(i)
	return sel.state.longRunningOn(i.ID) > 0 && sel.longRunning[shard] < sel.longRunningLimit[shard] && len(sel.state.Reports[i.Pool].Workers) > 2
}

// canSpare reports whether the instance's pool and shard have enough capacity without it and those selected before.
func (sel *selection) canSpare(i Instance) bool {
	r, ok := sel.state.Reports[i.Pool]
	if !ok {
		return sel.state.Spare[i.Pool]
	}
	shard := sel.state.shardOfInstance(i)
	a := sel.available[shard]
	if float64(a.usable-sel.released[shard]-1) < minAvailableShare*float64(a.workers) {
		return false
	}
	need := float64(r.UsedCPU+r.PendingCPU) * demandMargin
	return float64(r.CapacityCPU-sel.releasedCPU[i.Pool]-i.CapacityCPU) >= need
}

// keepCordoned returns the cordoned instances that stay selected.
func (s *State) keepCordoned(remaining []string, cordoned map[string]bool) []string {
	var out []string
	for _, id := range remaining {
		if i := s.Instances[id]; cordoned[id] && i.State == StateUp && !s.coolingDown[id] && !s.longRunningPending(i) {
			out = append(out, id)
		}
	}
	return out
}

// longRunningPending reports whether a long-running task waits for capacity in the instance's shard.
func (s *State) longRunningPending(i Instance) bool {
	pending := s.Reports[i.Pool].LongRunningPendingIn
	return len(pending) > 0 && slices.Contains(pending, s.shardOfInstance(i))
}

// urgent reports whether the remaining instances need all the time that the wave has left.
func (s *State) urgent(w Wave, remaining int) bool {
	rounds := (remaining + max(w.Cap, 1) - 1) / max(w.Cap, 1)
	return s.Now-w.SeenAt+time.Duration(rounds+1)*instanceTime > w.Duration
}

// availability is the number of a shard's workers, and of those that take work.
type availability struct{ workers, usable int }

// availabilities returns the availability of each shard.
func (s *State) availabilities() map[string]availability {
	out := map[string]availability{}
	for pool, r := range s.Reports {
		for _, w := range r.Workers {
			name := s.shardOfInstance(Instance{Pool: pool, Worker: w.ID})
			a := out[name]
			a.workers++
			if w.Usable && !w.Cordoned {
				a.usable++
			}
			out[name] = a
		}
	}
	return out
}

// As many instances of a shard with long-running tasks drain at the same time from the start of a wave, whatever the demand:
// minLongRunningDrains, or one of longRunningDrainShare instances if that is more. The tasks of a job leave one after the other, each once the
// one before it is ready again, and a larger shard has more jobs. Shards, which have different jobs, don't wait for each other, or the
// last one would begin when the wave is nearly over.
const (
	minLongRunningDrains  = 2
	longRunningDrainShare = 12
)

// longRunningDrains returns how many instances with long-running tasks may drain at the same time, by shard.
func (s *State) longRunningDrains() map[string]int {
	out := map[string]int{}
	for _, i := range s.Instances {
		out[s.shardOfInstance(i)]++
	}
	for name, n := range out {
		out[name] = max(minLongRunningDrains, n/longRunningDrainShare)
	}
	return out
}

// longRunningOn counts the long-running tasks on an instance.
func (s *State) longRunningOn(id string) int {
	w, _ := s.workerOf(s.Instances[id])
	return w.LongRunning
}

// workerOf returns the pool owner's report of an instance's worker, and false if the owner doesn't know the worker.
func (s *State) workerOf(i Instance) (engine.WorkerReport, bool) {
	list := s.Reports[i.Pool].Workers
	if k := slices.IndexFunc(list, func(w engine.WorkerReport) bool { return w.ID == i.Worker }); k >= 0 {
		return list[k], true
	}
	return engine.WorkerReport{}, false
}

// countLongRunning counts the instances with long-running tasks by shard.
func (s *State) countLongRunning(ids []string) map[string]int {
	n := map[string]int{}
	for _, id := range ids {
		if s.longRunningOn(id) > 0 {
			n[s.shardOfInstance(s.Instances[id])]++
		}
	}
	return n
}

// sortByDisruption sorts instances by their present disruption cost, after those instances of each shard with long-running tasks
// that may drain at the same time.
func (s *State) sortByDisruption(ids []string) []string {
	out := slices.Clone(ids)
	slices.SortStableFunc(out, func(a, b string) int { return cmp.Compare(s.disruptionCost(a), s.disruptionCost(b)) })
	var first, rest []string
	drains, limit := map[string]int{}, s.longRunningDrains()
	for _, id := range out {
		if name := s.shardOfInstance(s.Instances[id]); s.longRunningOn(id) > 0 && drains[name] < limit[name] {
			drains[name]++
			first = append(first, id)
			continue
		}
		rest = append(rest, id)
	}
	return append(first, rest...)
}

func (s *State) disruptionCost(id string) float64 {
	i := s.Instances[id]
	r, ok := s.Reports[i.Pool]
	if !ok {
		return 0
	}
	load := float64(r.UsedCPU+r.PendingCPU) / float64(max(r.CapacityCPU, 1))
	w, ok := s.workerOf(i)
	if !ok {
		return load
	}
	return load + float64(w.UsedCPU)/float64(max(w.CapacityCPU, 1)) + 3*float64(w.LongRunning)
}
