package engine

import (
	"cmp"
	"slices"
)

// reserve keeps shorter work off the worker that is nearest to room for a task that lasts, and makes room by
// stopping work of lower rank if there is any.
func (p *Pool) reserve(t *Task, workers []*Worker, c Clock) {
	var best *Worker
	for _, w := range workers {
		st := t.step.spec
		if (st.RequiredLabel != "" && !w.hasLabel(st.RequiredLabel)) || (st.AntiAffinity > 0 && w.ofStep(t.step) >= st.AntiAffinity) {
			continue
		}
		if !w.info.Room.Sub(w.lastingUse()).Covers(st.Occupies()) || w.reservedAt == c.Now {
			continue
		}
		if best == nil || w.info.Room.CPU-w.used.CPU > best.info.Room.CPU-best.used.CPU {
			best = w
		}
	}
	if best == nil {
		return
	}
	best.reservedAt = c.Now
	p.preempt(t, best, c)
}

// lastingUse is the room that tasks that last hold on the worker: it does not come free by waiting.
func (w *Worker) lastingUse() Resources {
	var u Resources
	for _, r := range w.runs {
		if r.Task.step.spec.Lasting {
			u = u.Add(r.Task.step.spec.Occupies())
		}
	}
	return u
}

// preempt stops runs of queues with lower priority until the task fits.
func (p *Pool) preempt(t *Task, w *Worker, c Clock) {
	mine := p.queues[t.job().Spec.Queue].Priority
	free := w.info.Room.Sub(w.used)
	for _, r := range w.runs {
		if r.phase == phaseStopping {
			free = free.Add(r.Task.step.spec.Occupies())
		}
	}
	victims := w.list()
	slices.SortFunc(victims, func(a, b *Run) int { return cmp.Compare(b.startedAt, a.startedAt) })
	for _, r := range victims {
		if free.Covers(t.step.spec.Occupies()) {
			return
		}
		if r.Task.step.spec.Lasting || r.phase == phaseStopping || p.queues[r.Task.job().Spec.Queue].Priority <= mine {
			continue
		}
		free = free.Add(r.Task.step.spec.Occupies())
		p.note("preempt", r.Task.id.String(), r.Num, w.ID, t.id.String())
		p.stop(r, c)
	}
}
