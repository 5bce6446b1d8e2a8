package engine

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// burst submits jobs of ten tasks of 800 ms each, a number of jobs every 100 ms for a period, and returns how many the pool
// admitted and refused. The workers of the test run about 12 tasks of a step each at a time.
func (w *testPool) burst(g Gomega, prefix string, jobs int, period time.Duration) (admitted, refused int) {
	step := Step{Count: 10, Need: Resources{CPU: 5000, Mem: 1000}, EstimateMS: 800}
	for end := w.now + period; w.now < end; w.work(100 * time.Millisecond) {
		for k := range jobs {
			spec := oneStep(fmt.Sprintf("%s-%d-%d", prefix, w.now.Milliseconds(), k), step)
			refusal, ok := w.pool.Admit(&spec)
			if !ok {
				g.Expect(refusal.RetryAfter).To(BeNumerically(">", 0))
				refused++
				continue
			}
			w.pool.Submit(spec, w.clock())
			admitted++
		}
	}
	return admitted, refused
}

// work runs the pool for d; each run ends as done after 800 ms.
func (w *testPool) work(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.run(50 * time.Millisecond)
		for _, f := range w.workers {
			for _, r := range f.running {
				if r.ends == 0 {
					r.ends, r.reason = w.now+800*time.Millisecond, EndDone
				}
			}
		}
	}
}

// Guards against accepted jobs that are not completed within the time limit after a surge far beyond what the pool completes: they
// were acknowledged with success and then lost to their callers.
func TestAcceptedWorkOfASurgeIsCompletedInTime(t *testing.T) {
	g := NewWithT(t)
	w := newTestPool(4)
	admitted, refused := w.burst(g, "surge", 3, 15*time.Second)
	g.Expect(refused).To(BeNumerically(">", 0))
	g.Expect(admitted).To(BeNumerically(">=", 125), "the pool is used while it refuses: 5 jobs a second, and a backlog of 10 s")
	w.work(w.pool.options.CompleteWithin)
	g.Expect(w.pool.OpenJobs()).To(BeZero())
	_, refused = w.burst(g, "later", 1, time.Second)
	g.Expect(refused).To(BeZero(), "nothing is refused once the backlog has drained")
}

// Guards against refusing jobs at the start of a surge that the pool can complete, because the throughput of the calm before is
// taken for its limit.
func TestShortSurgeAfterCalmIsAdmitted(t *testing.T) {
	g := NewWithT(t)
	w := newTestPool(4)
	w.work(5 * time.Second)
	_, refused := w.burst(g, "surge", 1, 4*time.Second) // twice what the pool completes
	g.Expect(refused).To(BeZero())
}

// Guards against refusing long-running and scheduled jobs behind a backlog of short ones.
func TestBacklogDoesNotRefuseLongRunningAndScheduledJobs(t *testing.T) {
	g := NewWithT(t)
	w := newTestPool(4)
	w.burst(g, "surge", 3, 12*time.Second)
	short := oneStep("short", Step{Count: 1, Need: Resources{CPU: 1000}})
	_, ok := w.pool.Admit(&short)
	g.Expect(ok).To(BeFalse())
	service := longRunning("service", 2)
	_, ok = w.pool.Admit(&service)
	g.Expect(ok).To(BeTrue())
	short.RepeatCount = 3
	_, ok = w.pool.Admit(&short)
	g.Expect(ok).To(BeTrue())
}
