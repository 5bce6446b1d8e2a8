package engine

import (
	"cmp"
	"slices"
)

// reserve keeps shorter work off the worker that is nearest to room for a task that lasts, and makes room by
// stopping work of lower rank if there is any. What tasks that last hold there does not come free by waiting.
func (p *Pool) reserve(t *Task, workers []*Worker, c Clock) {
	var best *Worker
	for _, w := range workers {
		if !t.step.allows(w) || !w.info.Capacity.Sub(w.use(isLasting)).Covers(t.step.spec.Occupies()) || w.reservedAt == c.Now {
			continue
		}
		if best == nil || w.info.Capacity.CPU-w.used.CPU > best.info.Capacity.CPU-best.used.CPU {
			best = w
		}
	}
	if best == nil {
		return
	}
	best.reservedAt = c.Now
	p.preempt(t, best, c)
}

// preempt stops runs of queues with lower priority until the task fits.
func (p *Pool) preempt(t *Task, w *Worker, c Clock) {
	mine := p.queues[t.job().Spec.Queue].Priority
	free := w.info.Capacity.Sub(w.used).Add(w.use(func(r *Run) bool { return r.phase == phaseStopping }))
	victims := w.list()
	slices.SortFunc(victims, func(a, b *Run) int { return cmp.Compare(b.startedAt, a.startedAt) })
	for _, r := range victims {
		if free.Covers(t.step.spec.Occupies()) {
			return
		}
		if r.Task.step.spec.LongRunning || r.phase == phaseStopping || p.queues[r.Task.job().Spec.Queue].Priority <= mine {
			continue
		}
		free = free.Add(r.Task.step.spec.Occupies())
		p.note("preempt", r.Task.id.String(), r.Num, w.ID, t.id.String())
		p.stop(r, c)
	}
}
