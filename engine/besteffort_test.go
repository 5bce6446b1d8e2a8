package engine

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a best-effort task that keeps slowing down a serving one because the order that throttles it was lost,
// or because it was throttled by a former owner.
func TestThrottleIsOrderedUntilConfirmed(t *testing.T) {
	g := NewWithT(t)
	w := newTestPool(1)
	w.pool.Submit(Spec{ID: "00000000000000e1", Queue: "q", Steps: []Step{
		{Count: 1, Need: Resources{CPU: 1000}, LongRunning: true, TailTargetMS: 100},
		{Count: 1, Need: Resources{CPU: 1000}, LongRunning: true, BestEffort: true},
	}}, w.clock())
	w.place()
	w.renewLeases()
	f := w.workers["i-00"]
	// throttles answers several renewals with a tail latency near the target and returns the ordered percentages.
	throttles := func(answered bool) (out []int64) {
		for range 4 {
			w.now += throttleInterval + 10*time.Millisecond
			a := f.answer(RenewalRequest{}, w.now)
			for i := range a.Running {
				if a.Running[i].Task == "00000000000000e1.0.0.0" {
					a.Running[i].Load = 80
				}
			}
			w.renewLeaseWith(f, a)
			for _, o := range w.pool.TakeOrders() {
				if o.Kind == OrderThrottle {
					out = append(out, o.Percent)
					w.pool.ThrottleAnswered(o, answered)
				}
			}
		}
		return out
	}
	g.Expect(throttles(true)).To(BeEmpty(), "a tail latency below the limit changes nothing")
	w.successor()
	w.renewLeases()
	g.Expect(w.pool.TakeOrders()).To(ConsistOf(HaveField("Kind", OrderThrottle)), "the throttle of an inherited run isn't known")
	g.Expect(throttles(false)).To(HaveLen(4), "without an answer the throttle is ordered again")
	g.Expect(throttles(true)).To(HaveLen(1))
}
