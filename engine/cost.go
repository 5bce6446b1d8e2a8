package engine

import "slices"

// The costs of a placement, in the unit of a whole worker's idle room.
const (
	costFailedThere = 8.0
	costBadWorker   = 20.0
	costFar         = 4.0
	costOtherRack   = 4.0
	costDisturb     = 2.0
	costScarce      = 1.5
	// lastingShare is the share of its CPU that a worker keeps for other work before it gets more tasks that last.
	lastingShare = 0.4
)

// scarcity is how rare the worker's kind is, if tasks ask for that kind and this one doesn't: 0 to 1.
func (p *Pool) scarcity(st *Step, w *Worker) float64 {
	worst := 0.0
	for k, rare := range p.kinds {
		if w.isKind(k) && !slices.Contains(st.Kinds(), k) {
			worst = max(worst, rare)
		}
	}
	return worst
}

// weighKinds works out how rare each kind is among the workers, once for all tasks of a placement.
func (p *Pool) weighKinds() {
	for k := range p.kinds {
		with := 0
		for _, w := range p.workers {
			if w.isKind(k) {
				with++
			}
		}
		p.kinds[k] = 1 - float64(with)/float64(max(len(p.workers), 1))
	}
}

// isKind reports whether the worker is of a kind as Step.Kinds names it.
func (w *Worker) isKind(k string) bool { return IsKind(k, w.info.Labels, w.info.Capacity.GPU) }

func (p *Pool) cost(t *Task, w *Worker, rack string, c Clock) float64 {
	st := t.step.spec
	free := float64(w.info.Capacity.CPU-w.used.CPU) / float64(max(w.info.Capacity.CPU, 1))
	cost := free // the fullest worker first leaves whole workers idle
	if st.LongRunning {
		// Beside others that last, so that the other workers can be emptied.
		cost = free - float64(w.count(isLasting))
		if free < lastingShare {
			cost = 1 - free
		}
	}
	cost += costFailedThere * float64(t.failedOn[w.ID])
	if w.badUntil > c.Now {
		cost += costBadWorker
	}
	if st.AffinityRack != "" && w.rack() != st.AffinityRack {
		cost += costFar
	}
	cost += costScarce * p.scarcity(st, w)
	if rack != "" && w.rack() != rack {
		cost += costOtherRack
	}
	if st.BestEffort {
		cost += costDisturb * float64(w.count(isServing)) / 4
	}
	return cost
}
