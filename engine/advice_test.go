package engine

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a step of an advised queue that waits forever because every advice request names the same workers of a
// pool that is too large for a single request.
func TestEveryWorkerOfALargePoolIsAsked(t *testing.T) {
	g := NewWithT(t)
	const workers = 100
	w := newTestPool(workers)
	w.pool.SetQueues([]Queue{{Name: "q", Attempts: 3, Stretch: 1.6, TargetMS: 600, Advised: true}})
	w.pool.Submit(oneStep("00000000000000f1", Step{Count: 1, Need: Resources{CPU: 1000}}), w.clock())
	const eligible = "i-98" // the only worker that may run the step
	asked := map[string]int{}
	for range 8 {
		w.place()
		for _, req := range w.pool.TakeAdviceRequests() {
			var rows []AdviceRow
			for _, id := range req.Workers {
				asked[id]++
				if id == eligible {
					rows = append(rows, AdviceRow{Worker: id, Ticket: "t"})
				}
			}
			w.pool.AdviceAnswered(req, rows, 3*time.Second, true, w.clock())
		}
		w.now += adviceRetryDelay + time.Millisecond
		w.renewLeases()
	}
	w.place()
	g.Expect(asked).To(HaveLen(workers))
	g.Expect(w.workers[eligible].startsTotal).To(Equal(1))
}
