package engine

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a time to retry that tells callers to stay away for minutes, after a period in which nothing could complete, here
// because the store was down: the throughput of that period is taken for the pool's.
func TestRetryAfterStallIsShort(t *testing.T) {
	g := NewWithT(t)
	w := newTestPool(4)
	for n := range 55 { // 550 tasks, of which the workers complete about 60 a second
		w.pool.Submit(oneStep(itoa(int64(n)), Step{Count: 10, Need: Resources{CPU: 5000, Mem: 1000}, EstimateMS: 800}), w.clock())
	}
	w.storeDown = true
	w.work(5 * time.Second)
	w.storeDown = false
	worst := time.Duration(0)
	spec := oneStep("next", Step{Count: 1, Need: Resources{CPU: 5000, Mem: 1000}, EstimateMS: 800})
	for k := range 80 {
		w.run(50 * time.Millisecond)
		for _, f := range w.workers {
			for _, r := range f.running {
				if r.ends == 0 { // the runs do not end all at once
					k++
					r.ends, r.reason = w.now+time.Duration(50+k%30*50)*time.Millisecond, EndDone
				}
			}
		}
		if refusal, ok := w.pool.Admit(&spec); !ok {
			worst = max(worst, refusal.RetryAfter)
		}
	}
	g.Expect(worst).To(BeNumerically("<", w.pool.options.CompleteWithin))
	g.Expect(w.pool.OpenJobs()).To(BeNumerically("<", 55), "the pool completes work again")
}
