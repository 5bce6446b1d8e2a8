package engine

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func longRunning(id string, count int) Spec {
	return oneStep(id, Step{Count: count, Need: Resources{CPU: 5000, Mem: 9000}, LongRunning: true, MaxUnavailable: 1, AntiAffinity: 1})
}

// Guards against a lease that each unanswered renewal extends, so that tasks of an unresponsive worker are never
// restarted.
func TestLeaseOfUnresponsiveWorkerExpires(t *testing.T) {
	g := NewWithT(t)
	w := newTestPool(4)
	w.run(w.pool.longestLease()) // Until then, former owners may have granted longer leases.
	w.pool.Submit(longRunning("00000000000000aa", 3), w.clock())
	w.flush()
	w.run(time.Second)
	var lost *fakeWorker
	for _, f := range w.workers {
		if len(f.running) > 0 {
			lost = f
			break
		}
	}
	lost.unresponsive = true
	w.run(7 * time.Second)
	running := 0
	for _, f := range w.workers {
		if !f.unresponsive {
			running += len(f.running)
		}
	}
	g.Expect(running).To(Equal(3), "the task of the unresponsive worker runs elsewhere")
}

// Guards against a second run of a task while an unreachable worker may still run it under its lease.
func TestNoSecondRunBeforeLeaseExpiry(t *testing.T) {
	g := NewWithT(t)
	w := newTestPool(2)
	w.run(w.pool.longestLease()) // Until then, former owners may have granted longer leases.
	w.pool.Submit(oneStep("00000000000000ab", Step{Count: 1, Need: Resources{CPU: 1000}, EstimateMS: 500}), w.clock())
	w.flush()
	w.run(100 * time.Millisecond)
	for _, f := range w.workers {
		f.unresponsive = len(f.running) > 0
	}
	for range 200 {
		w.run(50 * time.Millisecond)
		g.Expect(w.countRuns("00000000000000ab.0.0.0")).To(BeNumerically("<=", 1))
	}
	g.Expect(w.countRuns("00000000000000ab.0.0.0")).To(Equal(1))
}

// Guards against a start order that is sent before its run is stored: a successor would not know of the run.
func TestNoOrderBeforeTheRunIsStored(t *testing.T) {
	g := NewWithT(t)
	w := newTestPool(1)
	w.storeDown = true
	w.pool.Submit(oneStep("00000000000000ac", Step{Count: 2, Need: Resources{CPU: 1000}}), w.clock())
	w.place()
	g.Expect(w.orders).To(BeEmpty())
	w.storeDown = false
	w.flush()
	g.Expect(w.orders).To(HaveLen(2))
}

// Guards against ends that a worker discards before they are stored: after a crash of the owner the task would run
// again.
func TestEndIsAcknowledgedOnlyOnceStored(t *testing.T) {
	g := NewWithT(t)
	w := newTestPool(1)
	w.pool.Submit(oneStep("00000000000000ad", Step{Count: 1, Need: Resources{CPU: 1000}}), w.clock())
	w.place()
	w.storeDown = true
	w.endAll(EndDone)
	w.run(500 * time.Millisecond)
	g.Expect(w.workers["i-00"].ackedUpTo).To(BeZero())
	g.Expect(w.pool.Job("00000000000000ad").State()).NotTo(Equal(Completed), "reported before it is stored")

	w.storeDown = false
	w.successor()
	w.run(500 * time.Millisecond)
	g.Expect(w.workers["i-00"].startsTotal).To(Equal(1))
	g.Expect(w.pool.Job("00000000000000ad").State()).To(Equal(Completed))
	g.Expect(w.workers["i-00"].ackedUpTo).To(Equal(int64(1)))
}

// Guards against a second run of a task after a takeover while the first one is still running.
func TestSuccessorAdoptsRunningTasks(t *testing.T) {
	g := NewWithT(t)
	w := newTestPool(3)
	w.pool.Submit(oneStep("00000000000000ae", Step{Count: 5, Need: Resources{CPU: 9000}}), w.clock())
	w.place()
	w.successor()
	w.run(time.Second)
	total := 0
	for _, f := range w.workers {
		total += f.startsTotal
	}
	g.Expect(total).To(Equal(5))
}

// Guards against a task that is started on a second worker after the answer to its first start order was lost.
func TestUnansweredStartStaysOnItsWorker(t *testing.T) {
	for _, executed := range []bool{true, false} {
		g := NewWithT(t)
		w := newTestPool(2)
		for _, f := range w.workers {
			f.losesAnswers, f.executesUnanswered = true, executed
		}
		w.pool.Submit(oneStep("00000000000000af", Step{Count: 1, Need: Resources{CPU: 1000}}), w.clock())
		w.place()
		for _, f := range w.workers {
			f.losesAnswers = false
		}
		w.run(2 * time.Second)
		g.Expect(w.countRuns("00000000000000af.0.0.0")).To(Equal(1))
		total := w.workers["i-00"].startsTotal + w.workers["i-01"].startsTotal
		g.Expect(total).To(Equal(1))
	}
}

// Guards against starts beyond a worker's capacity, which includes runs that are still stopping.
func TestWorkerCapacityIsNotExceeded(t *testing.T) {
	g := NewWithT(t)
	w := newTestPool(2)
	w.pool.Submit(oneStep("00000000000000b0", Step{Count: 40, Need: Resources{CPU: 7000, Mem: 15000}}), w.clock())
	w.run(time.Second)
	w.pool.Cancel("00000000000000b0", w.clock())
	w.pool.Submit(oneStep("00000000000000b1", Step{Count: 40, Need: Resources{CPU: 9000, Mem: 15000}}), w.clock())
	w.run(time.Second)
	for _, f := range w.workers {
		g.Expect(f.maxUsed.CPU).To(BeNumerically("<=", f.info.Capacity.CPU))
		g.Expect(f.maxUsed.Mem).To(BeNumerically("<=", f.info.Capacity.Mem))
	}
}

// Guards against a step that starts too early, more attempts than the queue allows, and final states without a cause.
func TestOrderOfStepsAndAttempts(t *testing.T) {
	g := NewWithT(t)
	w := newTestPool(2)
	spec := Spec{ID: "00000000000000b2", Queue: "q", Steps: []Step{
		{Count: 2, Need: Resources{CPU: 1000}}, {Count: 1, Need: Resources{CPU: 1000}, After: []int{0}},
	}}
	w.pool.Submit(spec, w.clock())
	w.place()
	g.Expect(w.countRuns("00000000000000b2.0.1.0")).To(BeZero())
	w.endAll(EndDone)
	w.run(200 * time.Millisecond)
	g.Expect(w.countRuns("00000000000000b2.0.1.0")).To(Equal(1))
	for range 3 {
		w.endAll(EndFailed)
		w.run(300 * time.Millisecond)
	}
	g.Expect(w.pool.Job("00000000000000b2").State()).To(Equal(Failed))
	w.run(time.Second)
	g.Expect(w.countRuns("00000000000000b2.0.1.0")).To(BeZero())
}

// Guards against gangs of which only a part starts.
func TestGangStartsWholeOrNotAtAll(t *testing.T) {
	g := NewWithT(t)
	w := newTestPool(2)
	w.pool.Submit(oneStep("00000000000000b3", Step{Count: 5, Gang: true, Need: Resources{CPU: 30000}}), w.clock())
	w.run(300 * time.Millisecond)
	g.Expect(w.orders).To(BeEmpty(), "four fit, five are needed")
	w.pool.Cancel("00000000000000b3", w.clock())
	w.pool.Submit(oneStep("00000000000000b4", Step{Count: 4, Gang: true, Need: Resources{CPU: 30000}}), w.clock())
	w.run(300 * time.Millisecond)
	g.Expect(w.orders).To(HaveLen(4))
	w.endOne("00000000000000b4.0.0.2", EndDone)
	w.run(300 * time.Millisecond)
	g.Expect(w.pool.Job("00000000000000b4").State()).To(Equal(Completed), "one end counts for all members")
}

func (w *testPool) endOne(task string, reason EndReason) {
	for _, f := range w.workers {
		for key, r := range f.running {
			if r.order.Task.String() == task {
				f.end(key, reason)
			}
		}
	}
}

// Guards against occurrences that start before their time or are left out.
func TestOccurrencesStartWhenDue(t *testing.T) {
	g := NewWithT(t)
	w := newTestPool(1)
	spec := oneStep("00000000000000b5", Step{Count: 1, Need: Resources{CPU: 1000}})
	spec.RepeatCount, spec.IntervalMS, spec.FirstDueMS = 3, 1000, w.clock().Wall+1000
	w.pool.Submit(spec, w.clock())
	w.run(900 * time.Millisecond)
	g.Expect(w.orders).To(BeEmpty())
	w.run(200 * time.Millisecond)
	g.Expect(w.orders).To(HaveLen(1))
	w.run(2 * time.Second)
	g.Expect(w.orders).To(HaveLen(3))
	w.endAll(EndDone)
	w.run(300 * time.Millisecond)
	g.Expect(w.pool.Job("00000000000000b5").State()).To(Equal(Completed))
}

// Guards against a restarted worker with the same ID that is treated as its former incarnation: its tasks would never
// be restarted.
func TestRestartedWorkerHasNoRuns(t *testing.T) {
	g := NewWithT(t)
	w := newTestPool(1)
	w.pool.Submit(longRunning("00000000000000b6", 1), w.clock())
	w.run(200 * time.Millisecond)
	f := w.workers["i-00"]
	f.incarnation, f.startedAt, f.running, f.lastEnd, f.ackedUpTo, f.lease = 9999, w.now, map[string]*fakeRun{}, 0, 0, 0
	w.run(500 * time.Millisecond)
	g.Expect(w.countRuns("00000000000000b6.0.0.0")).To(Equal(1))
}

// Guards against evicting more long-running tasks from cordoned workers than their step may have unavailable.
func TestCordonRespectsMaxUnavailable(t *testing.T) {
	g := NewWithT(t)
	w := newTestPool(6)
	w.pool.Submit(longRunning("00000000000000b7", 3), w.clock())
	w.run(time.Second)
	for range 60 {
		for id, f := range w.workers {
			if f.info.Labels[1] == "r-0" {
				w.pool.Cordon(id, w.now+time.Second, w.clock())
			}
		}
		w.run(50 * time.Millisecond)
		running := 0
		for _, f := range w.workers {
			running += len(f.running)
		}
		g.Expect(running).To(BeNumerically(">=", 2))
	}
}

// Guards against evicting the next long-running task when the previous one has only just been reported ready again.
func TestNextEvictionWaitsUntilLastTaskIsReady(t *testing.T) {
	g := NewWithT(t)
	w := newTestPool(6)
	w.pool.Submit(longRunning("00000000000000b8", 3), w.clock())
	w.run(2 * time.Second)
	var stops []time.Duration
	for range 80 {
		for id, f := range w.workers {
			if len(f.running) > 0 || f.info.Labels[1] == "r-0" {
				w.pool.Cordon(id, w.now+100*time.Millisecond, w.clock())
			}
		}
		before := len(w.orders)
		w.run(50 * time.Millisecond)
		for _, o := range w.orders[before:] {
			if o.Kind == OrderStop {
				stops = append(stops, w.now)
			}
		}
	}
	g.Expect(len(stops)).To(BeNumerically(">", 1))
	for i := 1; i < len(stops); i++ {
		g.Expect(stops[i] - stops[i-1]).To(BeNumerically(">", minReadyTime))
	}
}

// Guards against a successor that doesn't know the stopping runs of ended tasks and places new work in their capacity.
func TestSuccessorCountsStoppingRuns(t *testing.T) {
	g := NewWithT(t)
	w := newTestPool(1)
	f := w.workers["i-00"]
	w.pool.Submit(oneStep("00000000000000b9", Step{Count: 1, Need: Resources{CPU: 40000}, Speculative: true, EstimateMS: 100}), w.clock())
	w.run(100 * time.Millisecond)
	j := w.pool.Job("00000000000000b9")
	// The task ends elsewhere; the run on this worker has a stop order that is not executed yet.
	f.unresponsive = true
	w.pool.completeTask(j.occurrences[0].steps[0].tasks[0], w.clock())
	w.flush()
	f.unresponsive = false
	w.successor()
	w.renewLeases()
	w.pool.Submit(oneStep("00000000000000ba", Step{Count: 1, Need: Resources{CPU: 40000}}), w.clock())
	w.pool.Place(w.clock())
	w.write()
	g.Expect(w.pool.TakeOrders()).To(HaveEach(HaveField("Kind", OrderStop)), "no start before the capacity is free")
}

// Guards against placing work on a worker whose capacity is used by orphaned runs.
func TestOrphanedRunsBlockNewStarts(t *testing.T) {
	g := NewWithT(t)
	w := newTestPool(1)
	f := w.workers["i-00"]
	f.running["x"] = &fakeRun{order: Order{Task: TaskID{Job: "00000000000000ff"}, Run: 1}}
	w.renewLeases()
	w.pool.Submit(oneStep("00000000000000bb", Step{Count: 1, Need: Resources{CPU: 1000}}), w.clock())
	w.pool.Place(w.clock())
	w.write()
	g.Expect(w.pool.TakeOrders()).To(HaveEach(HaveField("Kind", OrderStop)))
}

// Guards against a long-running task that can never fit reserving a worker and blocking all other work there.
func TestUnschedulableLongRunningTaskReservesNothing(t *testing.T) {
	g := NewWithT(t)
	w := newTestPool(1)
	big := oneStep("00000000000000bc", Step{Count: 2, Need: Resources{CPU: 40000, Mem: 9000}, LongRunning: true})
	w.pool.Submit(big, w.clock())
	w.run(500 * time.Millisecond)
	w.pool.Submit(oneStep("00000000000000bd", Step{Count: 1, Need: Resources{CPU: 1000}}), w.clock())
	w.run(500 * time.Millisecond)
	g.Expect(w.countRuns("00000000000000bd.0.0.0")).To(Equal(1))
}

// Load pattern: a few tasks that only one of many workers may run. Guards against filling that worker with other work.
func TestScarceWorkersAreKeptForTheirTasks(t *testing.T) {
	g := NewWithT(t)
	w := newTestPool(4)
	w.workers["i-02"].info.Labels = []string{"b", "r-0"}
	w.updateRoster()
	need := Step{Count: 1, Need: Resources{CPU: 60000}, RequiredLabel: "b"}
	w.pool.Submit(oneStep("00000000000000be", need), w.clock())
	w.run(200 * time.Millisecond)
	w.endAll(EndDone)
	w.run(200 * time.Millisecond)
	w.pool.Submit(oneStep("00000000000000bf", Step{Count: 9, Need: Resources{CPU: 20000}}), w.clock())
	w.run(200 * time.Millisecond)
	w.pool.Submit(oneStep("00000000000000c0", need), w.clock())
	w.run(200 * time.Millisecond)
	g.Expect(w.countRuns("00000000000000c0.0.0.0")).To(Equal(1))
}

// Guards against evicting more best-effort tasks from a cordoned worker than their step may have unavailable.
func TestBestEffortTasksRespectMaxUnavailable(t *testing.T) {
	g := NewWithT(t)
	w := newTestPool(6)
	spec := longRunning("00000000000000c1", 3)
	spec.Steps[0].BestEffort = true
	w.pool.Submit(spec, w.clock())
	w.run(time.Second)
	for id := range w.workers {
		if id < "i-04" {
			w.pool.Cordon(id, w.now+time.Second, w.clock())
		}
	}
	w.run(50 * time.Millisecond)
	running := 0
	for _, f := range w.workers {
		running += len(f.running)
	}
	g.Expect(running).To(BeNumerically(">=", 2))
}

// Guards against new jobs that wait for the store behind many changes to accepted jobs until their callers time out.
// While the store is slow, a transaction takes half a second and holds only a part of the changes.
func TestNewJobsAreStoredFirst(t *testing.T) {
	g := NewWithT(t)
	w := newTestPool(2)
	for n := range 40 {
		w.pool.Submit(oneStep(fmt.Sprintf("%016x", n), Step{Count: 1, Need: Resources{CPU: 1000}}), w.clock())
	}
	w.place()
	w.storeDown = true
	w.endAll(EndDone)
	w.renewLeases()
	w.pool.Submit(oneStep("00000000000000ff", Step{Count: 1, Need: Resources{CPU: 1000}}), w.clock())
	batch := w.pool.NextBatch(Primary, 10, 1<<20)
	ids := []string{}
	for _, ch := range batch {
		ids = append(ids, ch.Job.Spec.ID)
	}
	g.Expect(ids).To(HaveLen(5), "two entries each: a record, and a spec that is added or deleted")
	g.Expect(ids[0]).To(Equal("00000000000000ff"))
}

// Guards against an instance that is moved, and its worker's list of ends with it, before these ends are stored: a successor
// of the pool's owner would start the tasks again.
func TestWorkerIsEmptyOnlyOnceItsEndsAreStored(t *testing.T) {
	g := NewWithT(t)
	w := newTestPool(1)
	w.pool.Submit(oneStep("00000000000000b1", Step{Count: 1, Need: Resources{CPU: 1000}}), w.clock())
	w.flush()
	w.run(100 * time.Millisecond)
	cordon := func() bool {
		empty, known := w.pool.Cordon("i-00", w.now+time.Second, w.clock())
		g.Expect(known).To(BeTrue())
		return empty
	}
	w.storeDown = true
	w.endAll(EndDone)
	w.renewLeases()
	w.flush()
	g.Expect(cordon()).To(BeFalse(), "the end is not stored")
	g.Expect(w.pool.Report(w.clock()).Workers[0].Runs).To(Equal(1))
	w.storeDown = false
	w.flush()
	w.pool.TakeDecisions()
	g.Expect(cordon()).To(BeTrue())
	g.Expect(cordon()).To(BeTrue())
	g.Expect(w.pool.TakeDecisions()).To(ConsistOf(Decision{Event: "cordon-empty", Worker: "i-00", Detail: "ends stored up to 1"}), "one line when the answer becomes empty")
	g.Expect(w.pool.Report(w.clock()).Workers[0].Runs).To(BeZero())
}

// Guards against a malformed end in a worker's answer, with a number far above the others, after which the owner takes no note of any end.
func TestMalformedEndHidesNoOthers(t *testing.T) {
	g := NewWithT(t)
	w := newTestPool(1)
	w.pool.Submit(oneStep("00000000000000b2", Step{Count: 1, Need: Resources{CPU: 1000}}), w.clock())
	w.run(100 * time.Millisecond)
	f := w.workers["i-00"]
	f.ended = append(f.ended, EndedRow{Seq: 1 << 40, Task: "\x00"})
	w.renewLeases()
	w.endAll(EndDone)
	w.run(100 * time.Millisecond)
	g.Expect(w.pool.Job("00000000000000b2").State()).To(Equal(Completed))
	g.Expect(f.ackedUpTo).To(Equal(int64(1)))
}
