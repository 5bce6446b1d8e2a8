package engine

import "slices"

// The costs of a placement. The unit is the free capacity of an idle worker.
const (
	costFailedOnWorker    = 8.0
	costAvoidedWorker     = 20.0
	costOtherAffinityRack = 4.0
	costOtherRack         = 4.0
	costInterference      = 2.0
	costScarceWorker      = 1.5
	// costUpkeepDue exceeds the gain from placing long-running tasks together.
	costUpkeepDue = 12.0
	// longRunningFreeShare is the share of its CPU that a worker keeps free for other work before it gets more
	// long-running tasks.
	longRunningFreeShare = 0.4
)

// scarcity returns how rare the worker's kind is, if other tasks ask for that kind and this step doesn't: 0 to 1.
func (p *Pool) scarcity(st *Step, w *Worker) float64 {
	worst := 0.0
	for k, scarcity := range p.kinds {
		if w.isKind(k) && !slices.Contains(st.Kinds(), k) {
			worst = max(worst, scarcity)
		}
	}
	return worst
}

// updateScarcity computes how rare each kind is among the workers, once for all tasks of a placement.
func (p *Pool) updateScarcity() {
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

// isKind reports whether the worker is of a kind as named by Step.Kinds.
func (w *Worker) isKind(k string) bool { return IsKind(k, w.info.Labels, w.info.Capacity.GPU) }

func (p *Pool) cost(t *Task, w *Worker, rack string, c Clock) float64 {
	st := t.step.spec
	free := float64(w.info.Capacity.CPU-w.used.CPU) / float64(max(w.info.Capacity.CPU, 1))
	cost := free // Bin packing: using the fullest worker first leaves whole workers idle.
	if st.LongRunning {
		// Long-running tasks are placed together, so that the other workers can be drained.
		cost = free - float64(w.countRuns(isLongRunning))
		if free < longRunningFreeShare {
			cost = 1 - free
		}
		if w.upkeepDueUntil > c.Now {
			cost += costUpkeepDue
		}
	}
	cost += costFailedOnWorker * float64(t.failedOn[w.ID])
	cost += w.cautionCost(c)
	if st.AffinityRack != "" && w.rack() != st.AffinityRack {
		cost += costOtherAffinityRack
	}
	cost += costScarceWorker * p.scarcity(st, w)
	if rack != "" && w.rack() != rack {
		cost += costOtherRack
	}
	if st.BestEffort {
		cost += costInterference * float64(w.countRuns(isServing)) / 4
	}
	return cost
}
