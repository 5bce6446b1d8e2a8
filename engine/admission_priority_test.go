package engine

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against refusing a job that would be placed first, because less important work of another queue waits.
func TestBacklogOfLowerPriorityDoesNotRefuseJob(t *testing.T) {
	g := NewWithT(t)
	w := newTestPool(4)
	for n := range 200 {
		spec := oneStep(itoa(int64(n)), Step{Count: 10, Need: Resources{CPU: 5000, Mem: 1000}, EstimateMS: 800})
		spec.Queue = "low"
		w.pool.Submit(spec, w.clock())
	}
	w.work(4 * time.Second)
	urgent := oneStep("urgent", Step{Count: 1, Need: Resources{CPU: 5000, Mem: 1000}, EstimateMS: 800})
	_, ok := w.pool.Admit(&urgent)
	g.Expect(ok).To(BeTrue(), "a job of a queue with a higher priority")
}
