package engine

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a long-running best-effort task that does not start while the owner's starts are used up by a burst of short jobs of a
// more important queue: it takes no CPU from them, and long-running tasks are not to be held back.
func TestBestEffortServiceIsNotHeldBackByBurst(t *testing.T) {
	g := NewWithT(t)
	w := newTestPool(85)
	w.storeDown = true
	for n := range 500 {
		w.pool.Submit(oneStep(fmt.Sprintf("%016x", n), Step{Count: 8, Need: Resources{CPU: 1000, Mem: 100}, EstimateMS: 850}), w.clock())
	}
	w.pool.Place(w.clock())
	spec := oneStep("000000000000fff0", Step{Count: 2, Need: Resources{CPU: 1000, Mem: 100}, LongRunning: true, BestEffort: true})
	spec.Queue = "low"
	j := w.pool.Submit(spec, w.clock())
	w.place()
	g.Expect(j.liveRuns()).To(Equal(2))
}
