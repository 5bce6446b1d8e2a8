package placement

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// nearEqualSlots is the difference in load, in slots, up to which workers count as near-equal. It is half a
	// worker, so owners with the same snapshot spread their work even if one worker is empty, for example
	// after its maintenance.
	nearEqualSlots = 4
	// zoneSlots is the cost of a worker in another availability zone, in slots. The 0.5 ms between
	// zones matters less than one more request on a worker.
	zoneSlots = 0.5
	// latencySlots is the cost, in slots, of each multiple of the normal run time.
	latencySlots = 2
	// maxLatencySlots bounds that cost to one full worker of 8 slots, so that a slow worker still
	// serves when the others are full.
	maxLatencySlots = 8
	// suspectSlots is the cost of a suspect worker. It exceeds all other costs together by more than nearEqualSlots.
	suspectSlots = 32
)

// Reasons of the choices of LeastLoaded, for the log.
const (
	reasonProbe         = "probe of a worker that failed"
	reasonOnly          = "only worker with a free slot"
	reasonBest          = "clearly least loaded worker"
	reasonInZone        = "less loaded of two near-equal workers, in the owner's zone"
	reasonOffZone       = "less loaded of two near-equal workers, in another zone"
	reasonFallbackProbe = "probe of a worker that failed, no other has a free slot"
)

// LeastLoaded picks the less loaded of two random workers among those near the lowest load (power of two choices). The
// load includes a cost for another zone and for a high relative latency. A low relative latency doesn't reduce the load,
// because a worker that fails all requests answers fastest.
type LeastLoaded struct{ Rand *rand.Rand }

// placementCost returns the cost of placing one more request on w, in slots of a worker with 8 slots, or false if
// w must not get the request.
func (w *Worker) placementCost(now time.Time, constraints Constraints) (float64, bool) {
	const slotsPerWorker = 8
	free := w.Free(now)
	if free == 0 || slices.Contains(constraints.Exclude, w.ID) {
		return 0, false
	}
	load := slotsPerWorker * float64(w.Slots-free) / float64(w.Slots)
	if w.Zone != constraints.Zone {
		load += zoneSlots
	}
	if w.Suspect {
		load += suspectSlots
	}
	if w.Latency > 1 {
		load += min(latencySlots*(w.Latency-1), maxLatencySlots)
	}
	return load, true
}

// Pick implements Policy. A worker due for a probe gets the request first if the request is idempotent and has not failed
// before; the caller clears Worker.Probe when it sends the request.
func (l LeastLoaded) Pick(now time.Time, workers []*Worker, constraints Constraints) (Choice, bool) {
	var probe *Worker
	lowest, free := 0.0, 0
	for _, w := range workers {
		load, ok := w.placementCost(now, constraints)
		if !ok {
			continue
		}
		if w.Probe && (w.Ejected || w.Suspect) && !constraints.NoProbe {
			probe = w
		}
		if w.Ejected {
			continue
		}
		if free == 0 || load < lowest {
			lowest = load
		}
		free++
	}
	switch {
	case probe != nil && len(constraints.Exclude) == 0:
		return Choice{Worker: probe.ID, Reason: reasonProbe}, true
	case free > 0:
		return l.pickNear(now, workers, constraints, lowest, free), true
	case probe != nil:
		return Choice{Worker: probe.ID, Reason: reasonFallbackProbe}, true
	}
	return Choice{}, false
}

// pickNear picks from the free workers whose load is near the lowest.
func (l LeastLoaded) pickNear(now time.Time, workers []*Worker, constraints Constraints, lowest float64, free int) Choice {
	var pair [2]*Worker
	var loads [2]float64
	near := 0
	for _, w := range workers {
		if w.Ejected {
			continue
		}
		load, ok := w.placementCost(now, constraints)
		if !ok || load > lowest+nearEqualSlots {
			continue
		}
		// Reservoir sampling selects each pair of near workers with the same probability.
		i := near
		near++
		if i >= len(pair) {
			i = l.Rand.IntN(near)
		}
		if i < len(pair) {
			pair[i], loads[i] = w, load
		}
	}
	chosen := pair[0]
	if near > 1 && (loads[1] < loads[0] || loads[1] == loads[0] && l.Rand.IntN(2) == 0) {
		chosen = pair[1]
	}
	switch {
	case free == 1:
		return Choice{Worker: chosen.ID, Reason: reasonOnly}
	case near == 1:
		return Choice{Worker: chosen.ID, Reason: reasonBest}
	case chosen.Zone == constraints.Zone:
		return Choice{Worker: chosen.ID, Reason: reasonInZone}
	default:
		return Choice{Worker: chosen.ID, Reason: reasonOffZone}
	}
}
