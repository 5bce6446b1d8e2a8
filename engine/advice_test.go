package engine

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a step of an advised queue that waits for ever in a pool of more workers than one question may name, as
// the same workers are asked for each time.
func TestEachWorkerOfALargePoolIsAskedFor(t *testing.T) {
	g := NewWithT(t)
	const workers = 100
	w := newWorld(workers)
	w.pool.SetQueues([]Queue{{Name: "q", Attempts: 3, Stretch: 1.6, TargetMS: 600, Advised: true}})
	w.pool.Submit(oneStep("00000000000000f1", Step{Count: 1, Need: Resources{CPU: 1000}}), w.clock())
	const good = "i-98" // the only worker that may run the step
	asked := map[string]int{}
	for range 8 {
		w.place()
		for _, req := range w.pool.TakeAdviceRequests() {
			var rows []AdviceRow
			for _, id := range req.Workers {
				asked[id]++
				if id == good {
					rows = append(rows, AdviceRow{Worker: id, Ticket: "t"})
				}
			}
			w.pool.AdviceAnswered(req, rows, 3*time.Second, true, w.clock())
		}
		w.now += adviceRetry + time.Millisecond
		w.hold()
	}
	w.place()
	g.Expect(asked).To(HaveLen(workers))
	g.Expect(w.workers[good].startsTotal).To(Equal(1))
}
