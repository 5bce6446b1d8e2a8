package placement

import (
	"math/rand/v2"
	"time"
)

const (
	// nearSlots is the difference in load, in slots, below which workers count as near-equal. Two
	// slots leave enough candidates that owners with the same snapshot spread out.
	nearSlots = 2
	// zoneSlots is the cost of a worker in another zone, in slots. The 0.5 ms between
	// zones matters less than one more request on a worker.
	zoneSlots = 0.5
	// slowSlots is the cost, in slots, of each multiple of the normal run time.
	slowSlots = 2
	// maxSlowSlots bounds that cost to one full worker of 8 slots, so a slow worker still
	// serves when the others are full.
	maxSlowSlots = 8
)

// Reasons of LeastLoaded for the log.
const (
	reasonProbe    = "probe of an ejected worker"
	reasonOnly     = "only worker with a free slot"
	reasonBest     = "clearly least loaded worker"
	reasonInZone   = "less loaded of two near-equal workers, in the owner's zone"
	reasonOffZone  = "less loaded of two near-equal workers, in another zone"
	reasonLastHope = "probe of an ejected worker, no other has a free slot"
)

// LeastLoaded takes the better of two random workers among those near the lowest load, where load
// includes a cost for another zone and for a high relative latency. A low relative latency earns
// nothing, because a worker that fails everything answers fastest of all.
type LeastLoaded struct{ Rand *rand.Rand }

// load is the cost of placing one more request on w, in slots. It is relative to a worker of 8 slots
// if sizes differ.
func (w *Worker) load(now time.Time, zone string) float64 {
	const slotsPerWorker = 8
	load := slotsPerWorker * float64(w.Slots-w.Free(now)) / float64(w.Slots)
	if w.Zone != zone {
		load += zoneSlots
	}
	if w.Latency > 1 {
		load += min(slowSlots*(w.Latency-1), maxSlowSlots)
	}
	return load
}

// Pick implements Policy. A due probe of an ejected worker takes an idempotent request that has not
// failed before; the caller clears Worker.Probe when it sends the request.
func (l LeastLoaded) Pick(now time.Time, workers []*Worker, want Want) (Choice, bool) {
	var probe *Worker
	lowest, free := 0.0, 0
	for _, w := range workers {
		if w.Free(now) == 0 || contains(want.Exclude, w.ID) {
			continue
		}
		if w.Ejected {
			if !want.NoProbe {
				probe = w
			}
			continue
		}
		if load := w.load(now, want.Zone); free == 0 || load < lowest {
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
func (l LeastLoaded) among(now time.Time, workers []*Worker, want Want, lowest float64, free int) Choice {
	var pair [2]*Worker
	near := 0
	for _, w := range workers {
		if w.Ejected || w.Free(now) == 0 || contains(want.Exclude, w.ID) || w.load(now, want.Zone) >= lowest+nearSlots {
			continue
		}
		// Reservoir sampling keeps each pair of near workers with the same probability.
		near++
		if near <= len(pair) {
			pair[near-1] = w
		} else if i := l.Rand.IntN(near); i < len(pair) {
			pair[i] = w
		}
	}
	chosen := pair[0]
	if near > 1 {
		chosen = l.better(now, pair, want.Zone)
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

func (l LeastLoaded) better(now time.Time, pair [2]*Worker, zone string) *Worker {
	a, b := pair[0].load(now, zone), pair[1].load(now, zone)
	if a < b || a == b && l.Rand.IntN(2) == 0 {
		return pair[0]
	}
	return pair[1]
}
