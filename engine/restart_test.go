package engine

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// startOne submits a job with one task and returns its unanswered start order and the order's worker.
func (w *testPool) startOne(id string) (Order, *fakeWorker) {
	w.pool.Submit(oneStep(id, Step{Count: 1, Need: Resources{CPU: 1000}}), w.clock())
	w.pool.Place(w.clock())
	w.write()
	o := w.pool.TakeOrders()[0]
	return o, w.workers[o.Worker.ID]
}

// renewLeaseWith starts a lease renewal of a worker now and passes the given answer to the pool.
func (w *testPool) renewLeaseWith(f *fakeWorker, a RenewalReply) {
	w.pool.NextRenewal(f.info.ID, w.clock())
	w.pool.RenewalAnswered(f.info.ID, a, w.now, w.clock())
}

// Guards against a second run of a task when a repeated start order is rejected while the first one is still in flight:
// only a stop order prevents the first one from being executed.
func TestRejectedRetryIsStopped(t *testing.T) {
	g := NewWithT(t)
	w := newTestPool(2)
	o, _ := w.startOne("00000000000000b1")
	w.pool.StartAnswered(o, StartUnknown, "", w.clock())
	w.now += time.Second
	w.renewLeases()
	w.pool.Tick(w.clock())
	again := w.pool.TakeOrders()
	g.Expect(again).To(HaveLen(1))
	g.Expect(again[0].Kind).To(Equal(OrderStart))
	w.pool.StartAnswered(again[0], StartRejected, ReasonNoCapacity, w.clock())
	orders := w.pool.TakeOrders()
	g.Expect(orders).To(HaveLen(1))
	g.Expect(orders[0].Kind).To(Equal(OrderStop))
	w.renewLeases()
	w.place()
	g.Expect(w.countRuns("00000000000000b1.0.0.0")).To(BeZero(), "no run before the stop is executed")
}

// Guards against a run that is considered over when its worker restarts, although the start order has reached the new
// incarnation.
func TestRestartedWorkerKeepsListedRuns(t *testing.T) {
	g := NewWithT(t)
	w := newTestPool(1)
	o, f := w.startOne("00000000000000b2")
	w.pool.StartAnswered(o, StartAccepted, "", w.clock())
	w.now += 100 * time.Millisecond
	w.renewLeaseWith(f, RenewalReply{Incarnation: f.incarnation + 1, ClockMS: 90, Running: []RunningRow{{Task: o.Task.String(), Run: o.Run, Percent: 100}}})
	w.pool.RequestPlacement()
	w.pool.Place(w.clock())
	w.write()
	g.Expect(w.pool.TakeOrders()).To(BeEmpty(), "neither a stop nor a second start")

	w.now += 100 * time.Millisecond
	w.renewLeaseWith(f, RenewalReply{Incarnation: f.incarnation + 2, ClockMS: 90})
	w.pool.RequestPlacement()
	w.pool.Place(w.clock())
	w.write()
	orders := w.pool.TakeOrders()
	g.Expect(orders).To(HaveLen(1), "an incarnation that lists no runs has none")
	g.Expect(orders[0].Run).To(Equal(o.Run + 1))
}

// Guards against resending starts to an unresponsive worker: one that restarts during a network partition would run
// them under a lease that the owner doesn't know.
func TestNoStartIsResentToUnresponsiveWorker(t *testing.T) {
	g := NewWithT(t)
	w := newTestPool(1)
	o, f := w.startOne("00000000000000b3")
	f.unresponsive = true
	w.pool.StartAnswered(o, StartUnknown, "", w.clock())
	w.renewLeases()
	w.now += time.Second
	w.pool.Tick(w.clock())
	g.Expect(w.pool.TakeOrders()).To(BeEmpty())
	f.unresponsive = false
	w.renewLeases()
	w.pool.Tick(w.clock())
	g.Expect(w.pool.TakeOrders()).To(HaveLen(1))
}

// Guards against a second run of a task on another worker while its worker, partitioned soon after a restart, still
// holds the lease of an order for its former incarnation, which is the longest possible lease.
func TestRecentlyRestartedWorkerMayHoldLongestLease(t *testing.T) {
	for _, c := range []struct {
		age      time.Duration
		restarts bool
	}{{time.Second, false}, {time.Minute, true}} {
		g := NewWithT(t)
		w := newTestPool(2)
		for _, f := range w.workers {
			f.startedAt = w.now - c.age
		}
		w.successor()
		w.renewLeases()
		o, f := w.startOne("00000000000000b4")
		w.execute(o)
		f.unresponsive = true
		w.run(8 * time.Second)
		g.Expect(w.workers["i-00"].startsTotal+w.workers["i-01"].startsTotal == 2).To(Equal(c.restarts), "after 8 s, age %s", c.age)
		w.run(4 * time.Second)
		g.Expect(w.workers["i-00"].startsTotal + w.workers["i-01"].startsTotal).To(Equal(2))
	}
}

// Guards against an owner that grants leases for too long after its claim was last known to be current: by the monotonic clock, or by the
// time of day on a machine that was suspended, whose monotonic clock stood still.
func TestLeasesEndSoonAfterTheClaimWasConfirmed(t *testing.T) {
	g := NewWithT(t)
	w := newTestPool(1)
	w.pool.ClaimConfirmed(w.clock())
	lease := func(suspended time.Duration) time.Duration {
		c := w.clock()
		c.Wall += suspended.Milliseconds()
		return w.pool.grantableLease(c)
	}
	g.Expect(lease(0)).To(Equal(5 * time.Second))
	g.Expect(lease(8 * time.Second)).To(Equal(2 * time.Second))
	g.Expect(lease(20 * time.Second)).To(BeNumerically("<", 0))
	w.run(7 * time.Second)
	g.Expect(lease(0)).To(Equal(3 * time.Second))
	w.pool.ClaimConfirmed(w.clock())
	g.Expect(lease(0)).To(Equal(5 * time.Second))
	w.pool.Submit(oneStep("00000000000000d7", Step{Count: 1, Need: Resources{CPU: 1000}}), w.clock())
	w.run(20 * time.Second)
	g.Expect(w.workers["i-00"].ended).To(ContainElement(HaveField("Reason", EndLeaseExpired)))
}

// Guards against a second run of a task on another worker while its worker, which has started again under its ID and is partitioned later,
// holds the lease of an order for its former incarnation that it has executed late: after the owner had learned of the restart.
func TestRestartedWorkerMayGetLongestLeaseLate(t *testing.T) {
	for _, late := range []time.Duration{100 * time.Millisecond, 3 * time.Second, 8 * time.Second} {
		t.Run(fmt.Sprint(late), func(t *testing.T) {
			g := NewWithT(t)
			w := newTestPool(2)
			const id = "00000000000000b8"
			for _, f := range w.workers {
				f.incarnation, f.startedAt, f.lease = f.incarnation+100, w.now, 0
			}
			w.run(100 * time.Millisecond)
			o, f := w.startOne(id)
			w.execute(o)
			w.run(late)
			f.unresponsive = true
			w.run(50 * time.Millisecond)
			f.lease = w.now + w.pool.options.MaxLease // It executes a late renewal, whose deadline is far ahead on its new clock.
			for end := f.lease + 20*time.Second; w.now < end; {
				w.run(50 * time.Millisecond)
				g.Expect(w.countRuns(o.Task.String())).To(BeNumerically("<=", 1), "%s after the restart", w.now-f.startedAt)
			}
			g.Expect(w.countRuns(o.Task.String())).To(Equal(1))
			g.Expect(f.running).To(BeEmpty(), "it runs elsewhere")
		})
	}
}

// Guards against a task that runs twice since its order was repeated, and the earlier one is executed late by the next incarnation of the
// worker: only a stop that this one has executed prevents that.
func TestRepeatedStartIsStoppedOnRestartedWorker(t *testing.T) {
	g := NewWithT(t)
	w := newTestPool(2)
	const id = "00000000000000b9"
	o, f := w.startOne(id)
	w.pool.StartAnswered(o, StartUnknown, "", w.clock())
	w.run(time.Second)
	g.Expect(w.countRuns(o.Task.String())).To(Equal(1))
	f.incarnation, f.startedAt, f.lease, f.running = f.incarnation+1, w.now, 0, map[string]*fakeRun{}
	w.now += 50 * time.Millisecond
	w.renewLeases()
	w.pool.RequestPlacement()
	w.pool.Place(w.clock())
	w.write()
	orders := w.pool.TakeOrders()
	g.Expect(orders).To(ConsistOf(And(HaveField("Kind", OrderStop), HaveField("Run", o.Run), HaveField("Worker.ID", o.Worker.ID))))
	w.execute(orders[0])
	w.run(200 * time.Millisecond)
	g.Expect(w.countRuns(o.Task.String())).To(Equal(1))
	g.Expect(w.pool.Job(id).occurrences[0].tasks[0].lastRun).To(Equal(o.Run + 1))
}

// Guards against a task that runs again after its end as done: the worker, started again under its id, had executed the order, and the
// owner's next renewal acknowledged as many ends as it had seen of the former incarnation, so that the end was never listed.
func TestEndsOfARestartedWorkerAreListedBeforeTheyAreAcknowledged(t *testing.T) {
	g := NewWithT(t)
	w := newTestPool(1)
	f := w.workers["i-00"]
	w.pool.Submit(oneStep("00000000000000b3", Step{Count: 1, Need: Resources{CPU: 1000}}), w.clock())
	w.run(200 * time.Millisecond)
	w.endAll(EndDone)
	w.run(200 * time.Millisecond)
	g.Expect(f.ackedUpTo).To(Equal(int64(1)))

	w.pool.Submit(oneStep("00000000000000b4", Step{Count: 1, Need: Resources{CPU: 1000}}), w.clock())
	f.incarnation, f.startedAt, f.ended, f.lastEnd, f.ackedUpTo, f.lease = 9999, w.now, nil, 0, 0, 0
	w.place()
	w.endAll(EndDone)
	starts := f.startsTotal
	w.pool.RenewalFailed("i-00", w.clock())
	w.run(time.Second)
	g.Expect(f.startsTotal).To(Equal(starts))
	g.Expect(w.pool.Job("00000000000000b4").State()).To(Equal(Completed))
	g.Expect(f.ackedUpTo).To(Equal(int64(1)), "the end is stored")

	w.pool.WorkerTerminated("i-00", 9999, w.clock())
	req, _ := w.pool.NextRenewal("i-00", w.clock())
	g.Expect(req.AckedUpTo).To(BeZero(), "another incarnation may answer")
}

// Guards against a second run of a task while its worker, partitioned soon after a restart, still holds the longest lease by an order for its
// former incarnation: a worker's clock starts anew at any value, so that it doesn't tell how long ago the worker has started.
func TestClockOfARestartedWorkerDoesNotTellItsAge(t *testing.T) {
	for _, successor := range []bool{false, true} {
		t.Run(fmt.Sprintf("successor=%t", successor), func(t *testing.T) {
			g := NewWithT(t)
			w := newTestPool(2)
			for _, f := range w.workers {
				f.incarnation, f.startedAt, f.clockBase = f.incarnation+1, w.now, time.Hour
				f.lease = w.now + w.pool.options.MaxLease
			}
			if successor {
				w.successor()
			}
			w.run(200 * time.Millisecond)
			o, f := w.startOne("00000000000000b4")
			w.execute(o)
			f.unresponsive = true
			for end := f.lease + 2*time.Second; w.now < end; {
				w.run(50 * time.Millisecond)
				g.Expect(w.countRuns(o.Task.String())).To(BeNumerically("<=", 1), "%s after the restart", w.now-f.startedAt)
			}
			g.Expect(f.running).To(BeEmpty())
			g.Expect(w.countRuns(o.Task.String())).To(Equal(1), "it runs elsewhere")
		})
	}
}
