package engine

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func lasting(id string, count int) Spec {
	return oneStep(id, Step{Count: count, Need: Resources{CPU: 5000, Mem: 9000}, LongRunning: true, MaxUnavailable: 1, AntiAffinity: 1})
}

// Guards against leases that each unanswered hold extends: what ran on a worker that went dark was never started again.
func TestLeaseOfUnresponsiveWorkerExpires(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(4)
	w.pool.Submit(lasting("00000000000000aa", 3), w.clock())
	w.flush()
	w.step(time.Second)
	var dark *fakeWorker
	for _, f := range w.workers {
		if len(f.running) > 0 {
			dark = f
			break
		}
	}
	dark.silent = true
	w.step(7 * time.Second)
	running := 0
	for _, f := range w.workers {
		if !f.silent {
			running += len(f.running)
		}
	}
	g.Expect(running).To(Equal(3), "the task of the dark worker runs elsewhere")
}

// Guards against a second run while the first may live on a worker that is cut off but has its lease.
func TestNoSecondRunBeforeLeaseExpiry(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(2)
	w.pool.Submit(oneStep("00000000000000ab", Step{Count: 1, Need: Resources{CPU: 1000}, EstimateMS: 500}), w.clock())
	w.flush()
	w.step(100 * time.Millisecond)
	for _, f := range w.workers {
		f.silent = len(f.running) > 0
	}
	for range 200 {
		w.step(50 * time.Millisecond)
		g.Expect(w.runs("00000000000000ab.0.0.0")).To(BeNumerically("<=", 1))
	}
	g.Expect(w.runs("00000000000000ab.0.0.0")).To(Equal(1))
}

// Guards against a start order before its run is in the store: a successor could not know of it.
func TestNoOrderBeforeTheRunIsStored(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(1)
	w.storeDown = true
	w.pool.Submit(oneStep("00000000000000ac", Step{Count: 2, Need: Resources{CPU: 1000}}), w.clock())
	w.place()
	g.Expect(w.orders).To(BeEmpty())
	w.storeDown = false
	w.flush()
	g.Expect(w.orders).To(HaveLen(2))
}

// Guards against ends that a worker forgets before they are in the store: after a death of the owner the task would run again.
func TestEndIsAcknowledgedOnlyOnceStored(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(1)
	w.pool.Submit(oneStep("00000000000000ad", Step{Count: 1, Need: Resources{CPU: 1000}}), w.clock())
	w.place()
	w.storeDown = true
	w.endAll(EndDone)
	w.step(500 * time.Millisecond)
	g.Expect(w.workers["i-00"].seen).To(BeZero())
	g.Expect(w.pool.Job("00000000000000ad").State()).NotTo(Equal(Completed), "shown before it is stored")

	w.storeDown = false
	w.successor()
	w.step(500 * time.Millisecond)
	g.Expect(w.workers["i-00"].startsTotal).To(Equal(1))
	g.Expect(w.pool.Job("00000000000000ad").State()).To(Equal(Completed))
	g.Expect(w.workers["i-00"].seen).To(Equal(int64(1)))
}

// Guards against a second run after a takeover while the first still runs.
func TestSuccessorAdoptsRunningTasks(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(3)
	w.pool.Submit(oneStep("00000000000000ae", Step{Count: 5, Need: Resources{CPU: 9000}}), w.clock())
	w.place()
	w.successor()
	w.step(time.Second)
	total := 0
	for _, f := range w.workers {
		total += f.startsTotal
	}
	g.Expect(total).To(Equal(5))
}

// Guards against a start whose answer is lost being given to another worker while the first one has it.
func TestUnansweredStartStaysOnItsWorker(t *testing.T) {
	for _, carriesOut := range []bool{true, false} {
		g := NewWithT(t)
		w := newWorld(2)
		for _, f := range w.workers {
			f.mute, f.carriesOut = true, carriesOut
		}
		w.pool.Submit(oneStep("00000000000000af", Step{Count: 1, Need: Resources{CPU: 1000}}), w.clock())
		w.place()
		for _, f := range w.workers {
			f.mute = false
		}
		w.step(2 * time.Second)
		g.Expect(w.runs("00000000000000af.0.0.0")).To(Equal(1))
		total := w.workers["i-00"].startsTotal + w.workers["i-01"].startsTotal
		g.Expect(total).To(Equal(1))
	}
}

// Guards against starts beyond a worker's room, with what is being stopped still counted.
func TestWorkerCapacityIsNotExceeded(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(2)
	w.pool.Submit(oneStep("00000000000000b0", Step{Count: 40, Need: Resources{CPU: 7000, Mem: 15000}}), w.clock())
	w.step(time.Second)
	w.pool.Cancel("00000000000000b0", w.clock())
	w.pool.Submit(oneStep("00000000000000b1", Step{Count: 40, Need: Resources{CPU: 9000, Mem: 15000}}), w.clock())
	w.step(time.Second)
	for _, f := range w.workers {
		g.Expect(f.maxUsed.CPU).To(BeNumerically("<=", f.info.Capacity.CPU))
		g.Expect(f.maxUsed.Mem).To(BeNumerically("<=", f.info.Capacity.Mem))
	}
}

// Guards against starts of a later step, more attempts than the queue allows, and states without cause.
func TestOrderOfStepsAndAttempts(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(2)
	spec := Spec{ID: "00000000000000b2", Queue: "q", Steps: []Step{
		{Count: 2, Need: Resources{CPU: 1000}}, {Count: 1, Need: Resources{CPU: 1000}, After: []int{0}},
	}}
	w.pool.Submit(spec, w.clock())
	w.place()
	g.Expect(w.runs("00000000000000b2.0.1.0")).To(BeZero())
	w.endAll(EndDone)
	w.step(200 * time.Millisecond)
	g.Expect(w.runs("00000000000000b2.0.1.0")).To(Equal(1))
	for range 3 {
		w.endAll(EndFailed)
		w.step(300 * time.Millisecond)
	}
	g.Expect(w.pool.Job("00000000000000b2").State()).To(Equal(Failed))
	w.step(time.Second)
	g.Expect(w.runs("00000000000000b2.0.1.0")).To(BeZero())
}

// Guards against gangs of which only a part starts.
func TestGangStartsWholeOrNotAtAll(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(2)
	w.pool.Submit(oneStep("00000000000000b3", Step{Count: 5, Gang: true, Need: Resources{CPU: 30000}}), w.clock())
	w.step(300 * time.Millisecond)
	g.Expect(w.orders).To(BeEmpty(), "four fit, five are needed")
	w.pool.Cancel("00000000000000b3", w.clock())
	w.pool.Submit(oneStep("00000000000000b4", Step{Count: 4, Gang: true, Need: Resources{CPU: 30000}}), w.clock())
	w.step(300 * time.Millisecond)
	g.Expect(w.orders).To(HaveLen(4))
	w.endOne("00000000000000b4.0.0.2", EndDone)
	w.step(300 * time.Millisecond)
	g.Expect(w.pool.Job("00000000000000b4").State()).To(Equal(Completed), "one end stands for all")
}

func (w *world) endOne(task string, how EndReason) {
	for _, f := range w.workers {
		for key, r := range f.running {
			if r.order.Task.String() == task {
				f.end(key, how)
			}
		}
	}
}

// Guards against occurrences that start before their time or are left out.
func TestOccurrencesStartWhenDue(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(1)
	spec := oneStep("00000000000000b5", Step{Count: 1, Need: Resources{CPU: 1000}})
	spec.RepeatCount, spec.IntervalMS, spec.FirstDueMS = 3, 1000, w.clock().Wall+1000
	w.pool.Submit(spec, w.clock())
	w.step(900 * time.Millisecond)
	g.Expect(w.orders).To(BeEmpty())
	w.step(200 * time.Millisecond)
	g.Expect(w.orders).To(HaveLen(1))
	w.step(2 * time.Second)
	g.Expect(w.orders).To(HaveLen(3))
	w.endAll(EndDone)
	w.step(300 * time.Millisecond)
	g.Expect(w.pool.Job("00000000000000b5").State()).To(Equal(Completed))
}

// Guards against a new life of a worker under the same id being taken for the old one: its tasks would be missed for ever.
func TestNewLifeOfAWorkerHasNothing(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(1)
	w.pool.Submit(lasting("00000000000000b6", 1), w.clock())
	w.step(200 * time.Millisecond)
	f := w.workers["i-00"]
	f.born, f.bornAt, f.running, f.n, f.seen, f.lease = 9999, w.now, map[string]*fakeRun{}, 0, 0, 0
	w.step(500 * time.Millisecond)
	g.Expect(w.runs("00000000000000b6.0.0.0")).To(Equal(1))
}

// Guards against taking more tasks that last off leaving workers than their step may miss.
func TestCordonRespectsMaxUnavailable(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(6)
	w.pool.Submit(lasting("00000000000000b7", 3), w.clock())
	w.step(time.Second)
	for range 60 {
		for id, f := range w.workers {
			if f.info.Labels[1] == "r-0" {
				w.pool.Cordon(id, w.now+time.Second, w.clock())
			}
		}
		w.step(50 * time.Millisecond)
		atWork := 0
		for _, f := range w.workers {
			atWork += len(f.running)
		}
		g.Expect(atWork).To(BeNumerically(">=", 2))
	}
}

// Guards against taking off the next task that lasts while the last one has only just been shown as at work again.
func TestNextEvictionWaitsUntilLastTaskIsReady(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(6)
	w.pool.Submit(lasting("00000000000000b8", 3), w.clock())
	w.step(2 * time.Second)
	var stops []time.Duration
	for range 80 {
		for id, f := range w.workers {
			if len(f.running) > 0 || f.info.Labels[1] == "r-0" {
				w.pool.Cordon(id, w.now+100*time.Millisecond, w.clock())
			}
		}
		before := len(w.orders)
		w.step(50 * time.Millisecond)
		for _, o := range w.orders[before:] {
			if o.Kind == OrderStop {
				stops = append(stops, w.now)
			}
		}
	}
	g.Expect(len(stops)).To(BeNumerically(">", 1))
	for i := 1; i < len(stops); i++ {
		g.Expect(stops[i] - stops[i-1]).To(BeNumerically(">", atWorkSettled))
	}
}

// Guards against a successor that doesn't know the runs of ended tasks that are still being stopped, and fills their room.
func TestSuccessorCountsStoppingRuns(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(1)
	f := w.workers["i-00"]
	w.pool.Submit(oneStep("00000000000000b9", Step{Count: 1, Need: Resources{CPU: 40000}, Speculative: true, EstimateMS: 100}), w.clock())
	w.step(100 * time.Millisecond)
	j := w.pool.Job("00000000000000b9")
	// The task ends elsewhere; the run here is ordered to stop, and the order is not carried out yet.
	f.silent = true
	w.pool.taskDone(j.occs[0].steps[0].tasks[0], w.clock())
	w.flush()
	f.silent = false
	w.successor()
	w.hold()
	w.pool.Submit(oneStep("00000000000000ba", Step{Count: 1, Need: Resources{CPU: 40000}}), w.clock())
	w.pool.Place(w.clock())
	w.write()
	g.Expect(w.pool.TakeOrders()).To(HaveEach(HaveField("Kind", OrderStop)), "no start before the room is free")
}

// Guards against filling the room of runs that nobody knows.
func TestOrphanedRunsBlockNewStarts(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(1)
	f := w.workers["i-00"]
	f.running["x"] = &fakeRun{order: Order{Task: TaskID{Job: "00000000000000ff"}, Run: 1}}
	w.hold()
	w.pool.Submit(oneStep("00000000000000bb", Step{Count: 1, Need: Resources{CPU: 1000}}), w.clock())
	w.pool.Place(w.clock())
	w.write()
	g.Expect(w.pool.TakeOrders()).To(HaveEach(HaveField("Kind", OrderStop)))
}

// Guards against a task that lasts and can never fit keeping a worker from all other work.
func TestUnschedulableLongRunningTaskReservesNothing(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(1)
	big := oneStep("00000000000000bc", Step{Count: 2, Need: Resources{CPU: 40000, Mem: 9000}, LongRunning: true})
	w.pool.Submit(big, w.clock())
	w.step(500 * time.Millisecond)
	w.pool.Submit(oneStep("00000000000000bd", Step{Count: 1, Need: Resources{CPU: 1000}}), w.clock())
	w.step(500 * time.Millisecond)
	g.Expect(w.runs("00000000000000bd.0.0.0")).To(Equal(1))
}

// Load pattern: a few tasks that only one of many workers may run. Guards against filling that worker with other work.
func TestScarceWorkersAreKeptForTheirTasks(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(4)
	w.workers["i-02"].info.Labels = []string{"b", "r-0"}
	w.roster()
	need := Step{Count: 1, Need: Resources{CPU: 60000}, RequiredLabel: "b"}
	w.pool.Submit(oneStep("00000000000000be", need), w.clock())
	w.step(200 * time.Millisecond)
	w.endAll(EndDone)
	w.step(200 * time.Millisecond)
	w.pool.Submit(oneStep("00000000000000bf", Step{Count: 9, Need: Resources{CPU: 20000}}), w.clock())
	w.step(200 * time.Millisecond)
	w.pool.Submit(oneStep("00000000000000c0", need), w.clock())
	w.step(200 * time.Millisecond)
	g.Expect(w.runs("00000000000000c0.0.0.0")).To(Equal(1))
}

// Guards against taking tasks that fill off a worker that is to be emptied, beyond what their step may miss.
func TestFillingTasksKeepMayMiss(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(6)
	spec := lasting("00000000000000c1", 3)
	spec.Steps[0].BestEffort = true
	w.pool.Submit(spec, w.clock())
	w.step(time.Second)
	for id := range w.workers {
		if id < "i-04" {
			w.pool.Cordon(id, w.now+time.Second, w.clock())
		}
	}
	w.step(50 * time.Millisecond)
	running := 0
	for _, f := range w.workers {
		running += len(f.running)
	}
	g.Expect(running).To(BeNumerically(">=", 2))
}

// Guards against callers whose jobs wait for the store behind a crowd of changes to accepted jobs: while the store is slow, a
// transaction takes half a second and holds a part of them.
func TestNewJobsGoFirstToTheStore(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(2)
	for n := range 40 {
		w.pool.Submit(oneStep(fmt.Sprintf("%016x", n), Step{Count: 1, Need: Resources{CPU: 1000}}), w.clock())
	}
	w.place()
	w.storeDown = true
	w.endAll(EndDone)
	w.hold()
	w.pool.Submit(oneStep("00000000000000ff", Step{Count: 1, Need: Resources{CPU: 1000}}), w.clock())
	batch := w.pool.NextBatch(10, 1<<20)
	ids := []string{}
	for _, ch := range batch {
		ids = append(ids, ch.Job.Spec.ID)
	}
	g.Expect(ids).To(HaveLen(5), "two entries each: a record, and a spec that comes or goes")
	g.Expect(ids[0]).To(Equal("00000000000000ff"))
}
