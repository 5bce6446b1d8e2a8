package engine

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// drain makes a worker drain, as the pool's owner sees it from the next list on.
func (w *testPool) drain(id string) {
	w.workers[id].info.Draining = true
	w.updateRoster()
}

// Guards against a start order that is sent again, or for the first time after it has waited, to a worker that has begun to drain.
func TestNoStartOrderReachesADrainingWorker(t *testing.T) {
	for name, losesAnswers := range map[string]bool{"unanswered": true, "waiting to be sent": false} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			w := newTestPool(1)
			f := w.workers["i-00"]
			f.losesAnswers, f.executesUnanswered = losesAnswers, false
			const id = "00000000000000d1"
			w.pool.Submit(oneStep(id, Step{Count: 1, Need: Resources{CPU: 1000}}), w.clock())
			w.pool.Place(w.clock())
			w.write()
			orders := w.pool.TakeOrders()
			g.Expect(orders).To(HaveLen(1))
			g.Expect(w.pool.AwaitsStart(orders[0], w.clock())).To(BeTrue())
			if losesAnswers {
				w.execute(orders[0])
			}
			w.drain("i-00")
			f.losesAnswers = false
			if !losesAnswers {
				g.Expect(w.pool.AwaitsStart(orders[0], w.clock())).To(BeFalse())
			}
			w.run(3 * time.Second)
			g.Expect(f.startsTotal).To(BeZero())
			g.Expect(w.pool.Job(id).occurrences[0].tasks[0].live).To(BeEmpty(), "the task may start on another worker")
		})
	}
}

// Guards against an owner that starts work by an old list of workers: at the beginning of its term, after a pause of its process, or on
// a machine that was suspended.
func TestNothingStartsByAnOldRoster(t *testing.T) {
	g := NewWithT(t)
	w := newTestPool(1)
	ago := func(d time.Duration) Clock { return Clock{Now: w.now - d, Wall: w.clock().Wall - d.Milliseconds()} }
	starts := func() int {
		w.place()
		return w.workers["i-00"].startsTotal
	}
	w.pool.SetRosterAge(ago(time.Minute), ago(time.Minute))
	w.pool.Submit(oneStep("00000000000000d2", Step{Count: 1, Need: Resources{CPU: 1000}}), w.clock())
	g.Expect(starts()).To(BeZero())
	w.pool.SetRosterAge(ago(0), ago(0))
	g.Expect(starts()).To(Equal(1))
	w.pool.SetRosterAge(ago(5*time.Second), ago(0))
	w.pool.Submit(oneStep("00000000000000d3", Step{Count: 1, Need: Resources{CPU: 1000}}), w.clock())
	g.Expect(starts()).To(Equal(2), "the list can't be read, as a part of the store is away")
	suspended := ago(0)
	suspended.Wall -= 5000
	w.pool.SetRosterAge(suspended, suspended)
	w.pool.Submit(oneStep("00000000000000d4", Step{Count: 1, Need: Resources{CPU: 1000}}), w.clock())
	g.Expect(starts()).To(Equal(2))
	g.Expect(w.pool.Report(w.clock()).CapacityCPU).To(Equal(int64(64000)), "the capacity is as it was")
}

// Guards against an order for an instance whose worker drains: it may be executed when the next worker is at work there.
func TestDrainingWorkerIsNotReportedAsEmpty(t *testing.T) {
	g := NewWithT(t)
	w := newTestPool(1)
	w.drain("i-00")
	empty, known := w.pool.Cordon("i-00", w.now+time.Second, w.clock())
	g.Expect(known).To(BeTrue())
	g.Expect(empty).To(BeFalse())
}
