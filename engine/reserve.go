package engine

import (
	"cmp"
	"slices"

	"samphirepoint/ranking"
)

// reserve keeps shorter work off the worker that workerToReserve selects, and preempts lower-priority runs there.
func (p *Pool) reserve(t *Task, workers []*Worker, c Clock) {
	best := p.workerToReserve(t, workers, func(w *Worker) bool { return w.reservedAt == c.Now }, c)
	if best == nil {
		return
	}
	best.reservedAt, best.reservedFor = c.Now, nil
	p.preempt(t, best, c)
}

// workerToReserve returns the unreserved worker with the most free CPU that could fit a long-running task, or nil. Capacity held by other
// long-running tasks is excluded, as it does not become free by waiting, and so are workers that may not run the task, as it gets none of
// what becomes free there.
func (p *Pool) workerToReserve(t *Task, workers []*Worker, isReserved func(*Worker) bool, c Clock) *Worker {
	var best *Worker
	for _, w := range workers {
		if !p.mayRun(t, w, c) || !w.info.Capacity.Sub(w.usedBy(isLongRunning)).Covers(t.step.spec.Footprint()) || isReserved(w) {
			continue
		}
		if best == nil || w.info.Capacity.CPU-w.used.CPU > best.info.Capacity.CPU-best.used.CPU {
			best = w
		}
	}
	return best
}

// preempt stops runs of lower-priority queues until the task fits.
func (p *Pool) preempt(t *Task, w *Worker, c Clock) {
	ownPriority := p.queueOf(t.job()).Priority
	free := w.info.Capacity.Sub(w.used).Add(w.usedBy(func(r *Run) bool { return r.phase == phaseStopping }))
	victims := w.allRuns()
	p.sortVictims(victims, c)
	for _, r := range victims {
		if free.Covers(t.step.spec.Footprint()) {
			return
		}
		if r.Task.step.spec.LongRunning || r.phase == phaseStopping || p.queueOf(r.Task.job()).Priority <= ownPriority {
			continue
		}
		free = free.Add(r.Task.step.spec.Footprint())
		p.recordDecision("preempt", r.Task.id.String(), r.Num, w.ID, t.id.String())
		p.stop(r, c)
	}
}

// sortVictims orders runs by how little is lost if they are stopped: the newest first, in a ranked pool by the value of their jobs before that.
func (p *Pool) sortVictims(list []*Run, c Clock) {
	var ranks map[*Run]ranking.Rank
	if p.ranked() {
		ranks = make(map[*Run]ranking.Rank, len(list))
		for _, r := range list {
			ranks[r] = p.keyOf(r.Task.step.occ, p.queueOf(r.Task.job()), c).Rank
		}
	}
	slices.SortFunc(list, func(a, b *Run) int {
		return cmp.Or(cmp.Compare(ranks[b], ranks[a]), cmp.Compare(b.startedAt, a.startedAt))
	})
}
