package placement

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// nearSlots is the difference in load, in slots, up to which workers count as near-equal. With
	// half a worker, owners with the same snapshot spread out although one worker is
	// empty, as after its maintenance.
	nearSlots = 4
	// zoneSlots is the cost of a worker in another zone, in slots. The 0.5 ms between
	// zones matters less than one more request on a worker.
	zoneSlots = 0.5
	// slowSlots is the cost, in slots, of each multiple of the normal run time.
	slowSlots = 2
	// maxSlowSlots bounds that cost to one full worker of 8 slots, so a slow worker still
	// serves when the others are full.
	maxSlowSlots = 8
	// suspectSlots is the cost of a suspect worker. It exceeds all other costs together by more than nearSlots.
	suspectSlots = 32
)

// Reasons of LeastLoaded for the log.
const (
	reasonProbe    = "probe of a worker that failed"
	reasonOnly     = "only worker with a free slot"
	reasonBest     = "clearly least loaded worker"
	reasonInZone   = "less loaded of two near-equal workers, in the owner's zone"
	reasonOffZone  = "less loaded of two near-equal workers, in another zone"
	reasonLastHope = "probe of a worker that failed, no other has a free slot"
)

// LeastLoaded takes the better of two random workers among those near the lowest load, where load
// includes a cost for another zone and for a high relative latency. A low relative latency earns
// nothing, because a worker that fails everything answers fastest of all.
type LeastLoaded struct{ Rand *rand.Rand }

// candidate returns the cost of placing one more request on w, in slots of a worker of 8, or false if
// w may not get the request at all.
func (w *Worker) candidate(now time.Time, want Constraints) (float64, bool) {
	const slotsPerWorker = 8
	free := w.Free(now)
	if free == 0 || slices.Contains(want.Exclude, w.ID) {
		return 0, false
	}
	load := slotsPerWorker * float64(w.Slots-free) / float64(w.Slots)
	if w.Zone != want.Zone {
		load += zoneSlots
	}
	if w.Suspect {
		load += suspectSlots
	}
	if w.Latency > 1 {
		load += min(slowSlots*(w.Latency-1), maxSlowSlots)
	}
	return load, true
}

// Pick implements Policy. A due probe takes an idempotent request that has not failed before; the
// caller clears Worker.Probe when it sends the request.
func (l LeastLoaded) Pick(now time.Time, workers []*Worker, want Constraints) (Choice, bool) {
	var probe *Worker
	lowest, free := 0.0, 0
	for _, w := range workers {
		load, ok := w.candidate(now, want)
		if !ok {
			continue
		}
		if w.Probe && (w.Ejected || w.Suspect) && !want.NoProbe {
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
	case probe != nil && len(want.Exclude) == 0:
		return Choice{Worker: probe.ID, Reason: reasonProbe}, true
	case free > 0:
		return l.among(now, workers, want, lowest, free), true
	case probe != nil:
		return Choice{Worker: probe.ID, Reason: reasonLastHope}, true
	}
	return Choice{}, false
}

// among picks from the free workers whose load is near the lowest.
func (l LeastLoaded) among(now time.Time, workers []*Worker, want Constraints, lowest float64, free int) Choice {
	var pair [2]*Worker
	var loads [2]float64
	near := 0
	for _, w := range workers {
		if w.Ejected {
			continue
		}
		load, ok := w.candidate(now, want)
		if !ok || load > lowest+nearSlots {
			continue
		}
		// Reservoir sampling keeps each pair of near workers with the same probability.
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
	case chosen.Zone == want.Zone:
		return Choice{Worker: chosen.ID, Reason: reasonInZone}
	default:
		return Choice{Worker: chosen.ID, Reason: reasonOffZone}
	}
}
