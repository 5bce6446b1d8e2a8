package engine

import "slices"

// RenewalFailed marks a worker that did not answer a lease renewal as unresponsive, or as terminated if it is reported to be.
// It reports whether the worker was responsive before.
func (p *Pool) RenewalFailed(id string, c Clock) bool {
	w := p.workers[id]
	if w == nil || w.unresponsive {
		return false
	}
	w.unresponsive = true
	p.endAck(w, c)
	if w.condition != nil {
		w.condition.Silent(c.Now)
	}
	p.recordDecision("worker-silent", "", 0, id, "")
	if w.reportedGone {
		p.WorkerTerminated(id, w.incarnation, c)
	}
	return true
}

// ReportTerminated handles a report that an incarnation of a worker has terminated. The report may be wrong, as it may come from an outdated
// list of instances: a worker that still answers goes on. It may also be late, when the worker has started again under its ID.
func (p *Pool) ReportTerminated(id string, incarnation int64, c Clock) {
	w := p.workers[id]
	switch {
	case w == nil || w.startedAfter(incarnation):
	case w.contacted && !w.unresponsive:
		w.reportedGone = true
		p.recordDecision("worker-reported-gone", "", 0, id, "")
	default:
		p.WorkerTerminated(id, incarnation, c)
	}
}

// ReportAbsent handles a report that an incarnation of a worker has been on no instance for some time: one that has not answered in this session
// has terminated, and no later one has got the orders that were sent before.
func (p *Pool) ReportAbsent(id string, incarnation int64, c Clock) {
	if w := p.workers[id]; w != nil && !w.contacted {
		p.terminated(w, incarnation, func(r *Run) bool { return !r.mayReachNext(c) || c.Now-max(r.orderedAt, p.acquiredAt) > absenceDelay }, c)
	}
}

// AddressReused handles the answer of another worker at the address of a call. The worker for which the call was meant has terminated, unless
// it has another address by now: in its entry, or in that of a later incarnation which a former owner has reached and this one doesn't know yet.
func (p *Pool) AddressReused(to Target, c Clock) {
	if w := p.workers[to.ID]; w != nil && w.info.Address == to.Address {
		p.terminated(w, max(w.latest, w.info.Incarnation), func(*Run) bool { return true }, c)
	}
}

// startedBefore reports whether the session's incarnation is known to have started before the given one.
func (w *Worker) startedBefore(incarnation int64) bool {
	return w.incarnation != 0 && w.incarnation < incarnation
}

// startedAfter reports whether the worker is known to have started again after the given incarnation of it. A run that was ordered before may
// then be one of the later incarnation.
func (w *Worker) startedAfter(incarnation int64) bool {
	return incarnation != 0 && w.latestIncarnation() > incarnation
}

// latestIncarnation returns the latest incarnation of the worker that this owner knows of: from the worker, from its entry or from the
// records of its runs.
func (w *Worker) latestIncarnation() int64 {
	latest := max(w.latest, w.info.Incarnation)
	for _, r := range w.runs {
		latest = max(latest, r.incarnation)
	}
	return latest
}

// WorkerTerminated ends the runs of a worker incarnation that has certainly ended, unless the worker has started again since. 0 stands for an
// incarnation that isn't known. Runs whose orders may reach the worker's next incarnation go on.
func (p *Pool) WorkerTerminated(id string, incarnation int64, c Clock) {
	if w := p.workers[id]; w != nil {
		p.terminated(w, incarnation, func(r *Run) bool { return !r.mayReachNext(c) }, c)
	}
}

// terminated ends those runs of a terminated incarnation that are over.
func (p *Pool) terminated(w *Worker, incarnation int64, over func(*Run) bool, c Clock) {
	if w.startedAfter(incarnation) {
		return
	}
	ended := slices.DeleteFunc(w.allRuns(), func(r *Run) bool { return !over(r) })
	if w.contacted || len(ended) > 0 {
		p.recordDecision("worker-gone", "", 0, w.ID, "") // once: an entry of another writer may name an address again and again
	}
	for _, r := range ended {
		p.loseRun(r, c)
	}
	if w.contacted {
		p.beginSession(w, "terminated", c)
	}
	w.gone = true // Once it is unlisted, it needs no cordon. Until then it may start again under its ID while the order is still open.
	if !w.listed && len(w.runs) == 0 {
		p.removeWorker(w.ID)
	}
}

// loseRun ends a run that is over without an end listed by its worker.
func (p *Pool) loseRun(r *Run, c Clock) {
	p.recordDecision("run-lost", r.Task.id.String(), r.Num, r.Worker.ID, "")
	r.Task.readySince = 0
	p.dropRun(r)
	p.markDirty(r.Task.job())
	p.stopGang(r.Task, c)
}
