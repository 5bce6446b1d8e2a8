// Package placement selects the worker of a pool on which a request runs. Policies are pure: the time
// and the state of the workers are arguments.
package placement

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Worker is the state of a worker as known to the pool's owner at the time of the decision.
type Worker struct {
	ID   string
	Zone string
	// Slots is the worker's capacity; InUse counts the slots that this owner has in use.
	Slots int
	InUse int
	// UsedByOthers is the number of slots that other owners are assumed to use until UsedByOthersUntil, because the worker
	// refused requests.
	UsedByOthers      int
	UsedByOthersUntil time.Time
	// Leaving is set for a worker that is leaving or does not serve; it gets no new requests.
	Leaving bool
	// Ejected is set for a worker that gets only probes; see package outlier.
	Ejected bool
	// Suspect is set for a worker that fails like an ejected one, while the pool has reached its limit of ejected workers.
	// It serves when no other worker has a free slot.
	Suspect bool
	// Probe allows one request to an ejected or suspect worker.
	Probe bool
	// Latency is the decayed mean of (run time / estimated run time); 0 means unknown, 1 is normal.
	Latency float64
}

// Free returns the number of slots that may be used at time now.
func (w *Worker) Free(now time.Time) int {
	if w.Leaving || (w.Ejected && !w.Probe) {
		return 0
	}
	used := w.InUse
	if now.Before(w.UsedByOthersUntil) {
		used += w.UsedByOthers
	}
	return max(w.Slots-used, 0)
}

// Constraints describe the request to place.
type Constraints struct {
	// Zone is the zone of the owner.
	Zone string
	// Exclude lists the IDs of workers on which the request failed before.
	Exclude []string
	// NoProbe keeps the request off ejected workers: non-idempotent work is not used as a probe.
	NoProbe bool
}

// Choice is the selected worker, with the reason for the log.
type Choice struct {
	Worker string
	Reason string
}

// Policy picks a worker with a free slot, or reports false if there is none.
type Policy interface {
	Pick(now time.Time, workers []*Worker, constraints Constraints) (Choice, bool)
}

// Random is a baseline policy that picks any worker with a free slot.
type Random struct{ Rand *rand.Rand }

// Pick implements Policy.
func (r Random) Pick(now time.Time, workers []*Worker, constraints Constraints) (Choice, bool) {
	var free []*Worker
	for _, w := range workers {
		if w.Free(now) > 0 && !slices.Contains(constraints.Exclude, w.ID) {
			free = append(free, w)
		}
	}
	if len(free) == 0 {
		return Choice{}, false
	}
	return Choice{Worker: free[r.Rand.IntN(len(free))].ID, Reason: "random"}, true
}
