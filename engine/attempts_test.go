package engine

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// failRun makes all members of the current run of a gang, or the run of a single task, end as failed at once.
func (w *testPool) failRun() {
	w.endAll(EndFailed)
	w.renewLeases()
	w.flush()
}

// Guards against a gang that is shown as failed after one failed run, as each of its members that failed counted as an attempt of the
// whole gang (review/4). An owner that takes over in between counts no member again.
func TestGangFailsOncePerRun(t *testing.T) {
	for name, takeover := range map[string]bool{"one owner": false, "takeover between the ends": true} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			w := newTestPool(3)
			const id = "00000000000000c1"
			w.pool.Submit(oneStep(id, Step{Count: 4, Need: Resources{CPU: 1000}, Gang: true}), w.clock())
			for attempt := 1; attempt <= 3; attempt++ {
				w.run(time.Second)
				job := w.pool.Job(id)
				g.Expect(job.State()).To(Equal(Running), "before attempt %d", attempt)
				g.Expect(job.occurrences[0].tasks[0].lastRun).To(Equal(int64(attempt)))
				if takeover {
					w.storeDown = true // Nothing is stored or acknowledged, so that the ends are listed to the successor again.
					for _, f := range w.workers {
						for key := range f.running {
							f.end(key, EndFailed)
							break
						}
					}
					w.renewLeases()
					w.storeDown = false
					w.flush()
					w.successor()
				}
				w.failRun()
			}
			g.Expect(w.pool.Job(id).State()).To(Equal(Failed))
		})
	}
}

// Guards against a task that starts more often than its queue allows: the failed end of a run that was considered lost is acknowledged, and
// must count as an attempt. An owner that is told again of an end that its predecessor has counted must not count it once more.
func TestLateFailureCountsOnce(t *testing.T) {
	g := NewWithT(t)
	w := newTestPool(2)
	const id = "00000000000000c2"
	w.pool.Submit(oneStep(id, Step{Count: 1, Need: Resources{CPU: 1000}}), w.clock())
	w.run(time.Second)
	var cut *fakeWorker
	for _, f := range w.workers {
		if len(f.running) > 0 {
			cut = f
		}
	}
	cut.unresponsive = true
	for key := range cut.running {
		cut.end(key, EndFailed)
	}
	w.run(12 * time.Second)
	task := w.pool.Job(id).occurrences[0].tasks[0]
	g.Expect(task.lastRun).To(Equal(int64(2)), "the run was lost with its worker's lease")
	g.Expect(task.failures).To(BeZero())
	cut.unresponsive = false
	w.run(time.Second)
	g.Expect(task.failures).To(Equal(1))
	g.Expect(cut.ackedUpTo).To(Equal(int64(1)))
	cut.ackedUpTo = 0
	w.successor()
	w.run(time.Second)
	g.Expect(w.pool.Job(id).occurrences[0].tasks[0].failures).To(Equal(1))
	w.failRun()
	w.run(time.Second)
	g.Expect(w.pool.Job(id).State()).To(Equal(Running))
	w.failRun()
	g.Expect(w.pool.Job(id).State()).To(Equal(Failed), "after three failed runs, one of them late")
}
