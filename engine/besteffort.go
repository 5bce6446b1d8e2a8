package engine

import "time"

// throttleInterval is the minimum time between two changes of the throttle on a worker, so that each change shows its
// effect before the next.
const throttleInterval = 500 * time.Millisecond

const (
	// tailHighShare and tailLowShare are shares of the tail latency target: above tailHighShare, best-effort tasks are
	// slowed down; below tailLowShare, they are sped up.
	tailHighShare = 0.85
	tailLowShare  = 0.6
	// The throttle percentage is multiplied by throttleDecrease to slow down; throttleIncrease is added to speed up.
	throttleDecrease   = 0.5
	throttleIncrease   = 10
	minThrottlePercent = 5
	// inheritedThrottlePercent is what a new owner assumes for runs whose throttle it doesn't know.
	inheritedThrottlePercent = 50
)

// throttleBestEffort adjusts the throttle of a worker's best-effort tasks by the tail latencies that its serving tasks
// report: a multiplicative decrease and an additive increase.
func (p *Pool) throttleBestEffort(w *Worker, c Clock) {
	worst := 0.0
	for _, r := range w.runs {
		target := r.Task.step.spec.TailTargetMS
		if target > 0 && r.phase == phaseRunning && !r.Task.step.spec.BestEffort {
			worst = max(worst, float64(r.load)/float64(target))
		}
	}
	if c.Now < w.throttledAt+throttleInterval {
		return
	}
	for _, r := range w.runs {
		if r.Task.step.spec.BestEffort && r.phase == phaseRunning {
			p.setThrottle(r, nextThrottlePercent(r.throttlePercent, worst), worst > 1)
			w.throttledAt = c.Now
		}
	}
}

// nextThrottlePercent returns the throttle that follows the given one; 100 means full speed. worst is the highest tail
// latency of a serving task, as a share of its target.
func nextThrottlePercent(percent int64, worst float64) int64 {
	switch {
	case worst > 1:
		return 0
	case worst > tailHighShare:
		return max(minThrottlePercent, int64(float64(percent)*throttleDecrease))
	case worst < tailLowShare:
		return min(100, percent+throttleIncrease)
	}
	return percent
}

// setThrottle orders a throttle if it differs from the last one or the worker has not confirmed that one. With force set
// it is always ordered, because an earlier order may have been executed after the last one.
func (p *Pool) setThrottle(r *Run, percent int64, force bool) {
	if percent == r.throttlePercent && r.throttleConfirmed && !force {
		return
	}
	r.throttlePercent, r.throttleConfirmed = percent, false
	p.orders = append(p.orders, Order{Kind: OrderThrottle, Task: r.Task.id, Run: r.Num, Worker: r.Worker.target(), Percent: percent})
}

// ThrottleAnswered records whether a worker has confirmed a throttle order.
func (p *Pool) ThrottleAnswered(o Order, done bool) {
	if r := p.findRun(o); r != nil && r.throttlePercent == o.Percent && o.Worker.Token == r.Worker.token {
		r.throttleConfirmed = done
	}
}
