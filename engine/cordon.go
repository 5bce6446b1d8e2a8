package engine

import "time"

// Cordon keeps new work off a worker until the given time, and reports whether the worker is empty: it has no runs, and the
// store has all ends that it has listed. The instance of an empty worker may be moved or go down, and the worker's list of
// ends with it. A draining worker is not reported as empty: an order for its instance may be executed only after the worker has left, and
// would then end what the instance's next worker runs.
func (p *Pool) Cordon(id string, until time.Duration, c Clock) (empty, known bool) {
	w := p.workers[id]
	if w == nil || !w.contacted {
		return false, false
	}
	empty = w.occupancy() == 0 && !w.info.Draining
	if empty && (!w.reportedEmpty || w.cordonedUntil <= c.Now) {
		p.recordDecision("cordon-empty", "", 0, id, "ends stored up to "+itoa(w.ackedUpTo))
	}
	w.reportedEmpty = empty
	w.cordonedUntil = max(w.cordonedUntil, until)
	return empty, true
}

// ForceCordon cordons a worker even if it was not contacted or listed yet.
func (p *Pool) ForceCordon(id string, until time.Duration) {
	w := p.ensureWorker(id)
	w.cordonedUntil = max(w.cordonedUntil, until)
}

// SetUpkeepDue names the workers whose instances are due for upkeep but not cordoned yet. Until the given time, a long-running task
// starts on one of them only if it fits on no other worker, as it would have to leave again. Unknown workers are ignored.
func (p *Pool) SetUpkeepDue(ids []string, until time.Duration) {
	for _, id := range ids {
		if w := p.workers[id]; w != nil {
			w.upkeepDueUntil = until
		}
	}
}

const (
	// unlistedCordon is for how long the cordon of an unlisted worker goes on, if the worker isn't known to have terminated, and
	// relistedCordon the least time that is then left of it. Until the worker is listed again, nobody needs to know whether an order for
	// its instance is still open.
	unlistedCordon = 30 * time.Second
	relistedCordon = 2 * time.Second
)

// keepCordon extends the cordon of an unlisted worker.
func (w *Worker) keepCordon(c Clock) {
	if w.cordonedUntil > c.Now && c.Now-w.unlistedAt < unlistedCordon {
		w.cordonedUntil = max(w.cordonedUntil, c.Now+relistedCordon)
	}
}

// ExpiringCordons returns the listed workers whose cordon ends within the given time.
func (p *Pool) ExpiringCordons(c Clock, within time.Duration) []string {
	var out []string
	for id, w := range p.workers {
		if w.listed && w.cordonedUntil > c.Now && w.cordonedUntil <= c.Now+within {
			out = append(out, id)
		}
	}
	return out
}

// ExtendCordon makes the cordon of a worker that is still cordoned last for the given time from now. It reports whether it is.
func (p *Pool) ExtendCordon(id string, c Clock, length time.Duration) bool {
	w := p.workers[id]
	if w == nil || w.cordonedUntil <= c.Now {
		return false
	}
	w.cordonedUntil = max(w.cordonedUntil, c.Now+length)
	return true
}

// Uncordon makes a worker schedulable again.
func (p *Pool) Uncordon(id string) {
	if w := p.workers[id]; w != nil {
		w.cordonedUntil, w.reportedEmpty = 0, false
		p.placementNeeded = true
	}
}
