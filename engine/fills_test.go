package engine

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a filling task that disturbs a serving one for good, as the order that slows it down was lost, or as its pace was
// ordered by a former owner.
func TestPaceIsOrderedUntilItIsConfirmed(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(1)
	w.pool.Submit(Spec{ID: "00000000000000e1", Queue: "q", Steps: []Step{
		{Count: 1, Need: Resources{CPU: 1000}, LongRunning: true, TailTargetMS: 100},
		{Count: 1, Need: Resources{CPU: 1000}, LongRunning: true, BestEffort: true},
	}}, w.clock())
	w.place()
	w.hold()
	f := w.workers["i-00"]
	// paces answers holds for a while with a tail near the target and returns the paces that are ordered.
	paces := func(answered bool) (out []int64) {
		for range 4 {
			w.now += paceInterval + 10*time.Millisecond
			a := f.answer(RenewalRequest{}, w.now)
			for i := range a.Running {
				if a.Running[i].Task == "00000000000000e1.0.0.0" {
					a.Running[i].Load = 80
				}
			}
			w.holdWith(f, a)
			for _, o := range w.pool.TakeOrders() {
				if o.Kind == OrderThrottle {
					out = append(out, o.Percent)
					w.pool.ThrottleAnswered(o, answered)
				}
			}
		}
		return out
	}
	g.Expect(paces(true)).To(BeEmpty(), "a tail below the limit changes nothing")
	w.successor()
	w.hold()
	g.Expect(w.pool.TakeOrders()).To(ConsistOf(HaveField("Kind", OrderThrottle)), "the pace of an inherited run isn't known")
	g.Expect(paces(false)).To(HaveLen(4), "without an answer the pace is ordered again")
	g.Expect(paces(true)).To(HaveLen(1))
}
