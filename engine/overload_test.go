package engine

import (
	"encoding/json"
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
)

// overloadedPool returns a pool whose workers are full, with many more jobs waiting than they can run.
func overloadedPool(workers, waiting int) *testPool {
	w := newTestPool(workers)
	for n := range waiting + workers {
		w.pool.Submit(oneStep(fmt.Sprintf("%016x", n), Step{Count: 8, Need: Resources{CPU: 8000, Mem: 100}, EstimateMS: 850}), w.clock())
	}
	for range 20 {
		w.place()
	}
	return w
}

// Guards against a processor that is used up by placements: in a burst the queue holds hundreds of jobs that fit nowhere, and a
// placement runs after nearly each event.
func TestPlacementInFullPoolIsCheap(t *testing.T) {
	g := NewWithT(t)
	w := overloadedPool(85, 400)
	c := w.clock()
	place := func() {
		w.pool.RequestPlacement()
		w.pool.Place(c)
	}
	place()
	g.Expect(w.pool.TakeDecisions()).NotTo(BeEmpty())
	g.Expect(testing.AllocsPerRun(20, place)).To(BeNumerically("<", 5))
	g.Expect(w.pool.noRoom).To(HaveLen(1), "one search of all workers covers all waiting jobs")
	g.Expect(w.pool.TakeDecisions()).To(BeEmpty())
}

// Guards against tasks that are kept waiting because a larger or more demanding one found no worker before them.
func TestSmallTaskIsPlacedBehindLargeOne(t *testing.T) {
	g := NewWithT(t)
	w := newTestPool(2)
	w.pool.Submit(oneStep("00000000000000a1", Step{Count: 1, Need: Resources{CPU: 70000, Mem: 100}}), w.clock())
	w.pool.Submit(oneStep("00000000000000a2", Step{Count: 1, Need: Resources{CPU: 1000, Mem: 100}, RequiredLabel: "none"}), w.clock())
	w.pool.Submit(oneStep("00000000000000a3", Step{Count: 3, Need: Resources{CPU: 1000, Mem: 100}, AntiAffinity: 1}), w.clock())
	w.pool.Submit(oneStep("00000000000000a4", Step{Count: 1, Need: Resources{CPU: 1000, Mem: 100}}), w.clock())
	w.place()
	g.Expect(w.countRuns("00000000000000a1.0.0.0")).To(BeZero())
	g.Expect(w.countRuns("00000000000000a2.0.0.0")).To(BeZero())
	g.Expect(w.countRuns("00000000000000a3.0.0.2")).To(BeZero(), "one task a worker")
	g.Expect(w.countRuns("00000000000000a4.0.0.0")).To(Equal(1))
}

// Guards against task names that are read as the name of another task.
func TestTaskNamesAreParsedStrictly(t *testing.T) {
	g := NewWithT(t)
	id := TaskID{Job: "5c0e7a21d94b36f8", Occ: 3, Step: 1, IndexInStep: 17}
	got, err := ParseTaskID(id.String())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(Equal(id))
	for _, s := range []string{"", "a", "a.1.2", "a.1.2.3.4", "a.1.2.3.", "a.1.-2.3", "a.x.2.3", "a.1..3"} {
		_, err := ParseTaskID(s)
		g.Expect(err).To(HaveOccurred(), s)
	}
}

// pendingStarts returns the number of pending starts and checks that it is the number of such runs.
func pendingStarts(g *WithT, p *Pool) int {
	n := 0
	for _, w := range p.workers {
		n += w.countRuns((*Run).awaitsOutcome)
	}
	g.Expect(p.pendingStarts).To(Equal(n))
	return n
}

// Guards against a burst of which all starts are decided at once: on a slow processor they waited for seconds, while the queue and
// the workers changed, until their leases were used up. Long-running tasks are not held back.
func TestStartsOfBurstAreDecidedAsTheyAreAnswered(t *testing.T) {
	g := NewWithT(t)
	w := newTestPool(85)
	w.storeDown = true
	for n := range 500 {
		w.pool.Submit(oneStep(fmt.Sprintf("%016x", n), Step{Count: 8, Need: Resources{CPU: 1000, Mem: 100}, EstimateMS: 850}), w.clock())
	}
	w.pool.Place(w.clock())
	g.Expect(pendingStarts(g, w.pool)).To(And(BeNumerically(">=", maxPendingStarts), BeNumerically("<", maxPendingStarts+8)))
	w.pool.Submit(oneStep("000000000000fff0", Step{Count: 24, Need: Resources{CPU: 1000, Mem: 100}, LongRunning: true}), w.clock())
	w.place()
	g.Expect(pendingStarts(g, w.pool)).To(And(BeNumerically(">=", maxPendingStarts+24), BeNumerically("<", maxPendingStarts+24+8)))
	w.storeDown = false
	for range 40 {
		w.place()
	}
	g.Expect(pendingStarts(g, w.pool)).To(BeZero())
	g.Expect(w.pool.TakeDecisions()).NotTo(BeEmpty())
	running := 0
	for _, f := range w.workers {
		running += len(f.running)
	}
	g.Expect(running).To(Equal(500*8 + 24))
}

// Guards against records that a successor reads differently from what was written.
func TestRecordIsEncodedAsByEncodingJSON(t *testing.T) {
	g := NewWithT(t)
	for _, r := range []Record{
		{},
		{Queue: `q"1`, State: Running, SubmittedMS: 1_800_000_000_000, EndedMS: 5, Started: true, Finished: []int{0, 3}, Tasks: []TaskRecord{{LastRun: 1}}},
		{State: Queued, Tasks: []TaskRecord{
			{Occ: 1, Step: 2, Index: 3, LastRun: 4, Failures: 5, Done: true, Checkpoint: "a\nb", Live: []RunRecord{{Run: 4, Worker: "i-1"}, {Run: 5, Worker: "i-2", Incarnation: 6}}},
			{Index: 7},
		}},
	} {
		want, err := json.Marshal(r)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(r.encode())).To(Equal(string(want)))
	}
}
