package engine

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against tasks that fail and start without end once their queue was removed from the configuration and their pool has another owner,
// which never saw the queue's settings (review/5).
func TestJobsOfARemovedQueueKeepItsSettings(t *testing.T) {
	submitted := Queue{Name: "removed", Version: 4, Attempts: 3, Stretch: 1.6, TargetMS: 600, Priority: 2}
	changed := submitted
	changed.Version, changed.Attempts = 5, 2
	for name, settings := range map[string][]Queue{"as submitted": {submitted}, "changed later": {submitted, changed}, "never seen by an owner": nil} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			w := newTestPool(2)
			spec := oneStep("00000000000000c5", Step{Count: 1, Need: Resources{CPU: 1000}})
			spec.Queue, spec.Settings = "removed", &submitted
			want := submitted
			for k, q := range settings {
				w.pool.SetQueues([]Queue{q})
				if k == 0 {
					w.pool.Submit(spec, w.clock())
				}
				w.run(100 * time.Millisecond)
				want = q
			}
			w.pool.Submit(spec, w.clock())
			w.run(100 * time.Millisecond)
			w.successor()
			w.pool.SetQueues([]Queue{{Name: "another", Attempts: 7}})
			for range 12 {
				w.run(500 * time.Millisecond)
				w.endAll(EndFailed)
				w.renewLeases()
				w.flush()
			}
			job := w.pool.Job(spec.ID)
			g.Expect(job.State()).To(Equal(Failed))
			g.Expect(job.occurrences[0].tasks[0].lastRun).To(Equal(int64(want.Attempts)))
			g.Expect(w.pool.queueOf(job).Priority).To(Equal(2))
		})
	}
}
