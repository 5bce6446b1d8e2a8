package engine

import "time"

// paceInterval is the time between two changes of pace on a worker, so that their effect shows in between.
const paceInterval = 500 * time.Millisecond

const (
	// tailHigh and tailLow are the shares of a target at which filling work is slowed or let go.
	tailHigh = 0.85
	tailLow  = 0.6
	// paceDown multiplies, paceUp adds percent.
	paceDown = 0.5
	paceUp   = 10
	paceMin  = 5
	// inheritedPace is where a new owner begins with runs whose pace it doesn't know.
	inheritedPace = 50
)

// steerFills paces the tasks that fill a worker by the tails that its serving tasks report: fast down, slowly up.
func (p *Pool) steerFills(w *Worker, c Clock) {
	worst := 0.0
	for _, r := range w.runs {
		target := r.Task.step.spec.TailTargetMS
		if target > 0 && r.phase == phaseRunning && !r.Task.step.spec.BestEffort {
			worst = max(worst, float64(r.load)/float64(target))
		}
	}
	if c.Now < w.pacedAt+paceInterval {
		return
	}
	for _, r := range w.runs {
		if r.Task.step.spec.BestEffort && r.phase == phaseRunning {
			p.setPace(r, nextPace(r.pace, worst), worst > 1)
			w.pacedAt = c.Now
		}
	}
}

// nextPace is the pace in percent that follows a pace and the worst share of its target that a serving task shows.
func nextPace(pace int64, worst float64) int64 {
	switch {
	case worst > 1:
		return 0
	case worst > tailHigh:
		return max(paceMin, int64(float64(pace)*paceDown))
	case worst < tailLow:
		return min(100, pace+paceUp)
	}
	return pace
}

// setPace orders a pace that differs from the last one, or that the worker has not confirmed. With again it is ordered in any
// case: an earlier order may have been carried out after the last one.
func (p *Pool) setPace(r *Run, percent int64, again bool) {
	if percent == r.pace && r.paceKnown && !again {
		return
	}
	r.pace, r.paceKnown = percent, false
	p.orders = append(p.orders, Order{Kind: OrderThrottle, Task: r.Task.id, Run: r.Num, Worker: r.Worker.target(), Percent: percent})
}

// ThrottleAnswered takes in whether a worker has answered an order on pace.
func (p *Pool) ThrottleAnswered(o Order, done bool) {
	if r := p.findRun(o); r != nil && r.pace == o.Percent {
		r.paceKnown = done
	}
}
