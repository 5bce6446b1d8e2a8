package engine

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Load pattern: a wave of upkeep that covers half of a pool with long-running tasks. Guards against tasks that leave one instance for
// another that is due as well, which makes the wave last several times as long.
func TestEvacuatedTasksAvoidWorkersDueForUpkeep(t *testing.T) {
	g := NewWithT(t)
	w := newTestPool(5)
	for _, id := range []string{"00000000000000d1", "00000000000000d2", "00000000000000d3"} {
		spec := longRunning(id, 1)
		spec.Steps[0].Need.CPU = 30000 // two fit on a worker
		w.pool.Submit(spec, w.clock())
		w.run(time.Second)
	}
	var due []string
	for id, f := range w.workers {
		if len(f.running) > 0 {
			due = append(due, id)
		}
	}
	g.Expect(due).To(HaveLen(2))
	slices.Sort(due)
	w.pool.SetUpkeepDue(due, w.now+time.Minute)
	for _, id := range due {
		for range 100 {
			w.pool.Cordon(id, w.now+100*time.Millisecond, w.clock())
			w.run(50 * time.Millisecond)
		}
		w.pool.SetUpkeepDue([]string{id}, 0)
	}
	stops := 0
	for _, o := range w.orders {
		if o.Kind == OrderStop {
			stops++
		}
	}
	g.Expect(stops).To(Equal(3), "each task leaves its worker once")
}
