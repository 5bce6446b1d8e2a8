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
	req, _ := w.pool.NextRenewal(f.info.ID, w.clock())
	w.pool.RenewalAnswered(req.To, a, w.now, w.clock())
}

// expectOneRun advances the time by d and expects the task of an order to run on one worker at most all the while, and on another than f at its end.
func (w *testPool) expectOneRun(g *WithT, o Order, f *fakeWorker, d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.run(50 * time.Millisecond)
		g.Expect(w.countRuns(o.Task.String())).To(BeNumerically("<=", 1), "%s after the restart", w.now-f.startedAt)
	}
	g.Expect(w.countRuns(o.Task.String())).To(Equal(1))
	g.Expect(f.running).To(BeEmpty(), "it runs elsewhere")
}

// Guards against a second run of a task when a repeated start order is rejected while the first one is still in flight:
// only a stop order prevents the first one from being executed.
func TestRejectedRetryIsStopped(t *testing.T) {
	g := NewWithT(t)
	w := newTestPool(2)
	o, _ := w.startOne("00000000000000b1")
	w.pool.StartAnswered(o, StartAnswer{Outcome: StartUnknown}, w.clock())
	w.now += time.Second
	w.renewLeases()
	w.pool.Tick(w.clock())
	again := w.pool.TakeOrders()
	g.Expect(again).To(HaveLen(1))
	g.Expect(again[0].Kind).To(Equal(OrderStart))
	w.pool.StartAnswered(again[0], StartAnswer{Outcome: StartRejected, Reason: ReasonNoCapacity}, w.clock())
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
	w.pool.StartAnswered(o, StartAnswer{Outcome: StartAccepted}, w.clock())
	w.now += 100 * time.Millisecond
	second := RenewalReply{Incarnation: f.incarnation + 1, ClockMS: 90, Running: []RunningRow{{Task: o.Task.String(), Run: o.Run, Percent: 100}}}
	w.renewLeaseWith(f, second)
	w.renewLeaseWith(f, second)
	w.pool.RequestPlacement()
	w.pool.Place(w.clock())
	w.write()
	g.Expect(w.pool.TakeOrders()).To(BeEmpty(), "neither a stop nor a second start")

	w.now += 100 * time.Millisecond
	w.renewLeaseWith(f, RenewalReply{Incarnation: f.incarnation + 2, ClockMS: 90})
	w.renewLeaseWith(f, RenewalReply{Incarnation: f.incarnation + 2, ClockMS: 92})
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
	w.pool.StartAnswered(o, StartAnswer{Outcome: StartUnknown}, w.clock())
	w.renewLeases()
	w.now += time.Second
	w.pool.Tick(w.clock())
	g.Expect(w.pool.TakeOrders()).To(BeEmpty())
	f.unresponsive = false
	w.renewLeases()
	w.pool.Tick(w.clock())
	g.Expect(w.pool.TakeOrders()).To(HaveLen(1))
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
// holds the lease of a renewal for its former incarnation, executed before or after the owner has learned of the restart.
func TestRestartedWorkerMayGetLongestLeaseLate(t *testing.T) {
	for _, late := range []time.Duration{0, 50 * time.Millisecond, 100 * time.Millisecond, 3 * time.Second, 8 * time.Second} {
		t.Run(fmt.Sprint(late), func(t *testing.T) {
			g := NewWithT(t)
			w := newTestPool(2)
			former := map[string]RenewalRequest{}
			for id, f := range w.workers {
				former[id], _ = w.pool.NextRenewal(id, w.clock())
				f.restart(w.now, 0)
			}
			w.run(late)
			for id, f := range w.workers {
				f.executeLate(former[id], w.now)
			}
			w.run(200 * time.Millisecond)
			o, f := w.startOne("00000000000000b8")
			w.execute(o)
			w.run(100 * time.Millisecond)
			f.unresponsive = true
			w.expectOneRun(g, o, f, 30*time.Second)
		})
	}
}

// Guards against a task that runs twice since its order was repeated, and the earlier one is executed late by the next incarnation of the
// worker.
func TestNextIncarnationRejectsEarlierOrders(t *testing.T) {
	g := NewWithT(t)
	w := newTestPool(2)
	const id = "00000000000000b9"
	o, f := w.startOne(id)
	w.pool.StartAnswered(o, StartAnswer{Outcome: StartUnknown}, w.clock())
	w.run(time.Second)
	g.Expect(w.countRuns(o.Task.String())).To(Equal(1))
	f.restart(w.now, 0)
	w.run(200 * time.Millisecond)
	g.Expect(w.pool.Job(id).occurrences[0].tasks[0].lastRun).To(Equal(o.Run + 1))
	starts := f.startsTotal
	w.execute(o)
	g.Expect(f.startsTotal).To(Equal(starts))
	g.Expect(w.countRuns(o.Task.String())).To(Equal(1))
}

// Guards against a task that runs again elsewhere although the next incarnation of its worker, which is cut off before it has answered, has
// executed the order: an unanswered one, one whose answer shows another clock, and one that was repeated at the former incarnation.
func TestUnsettledOrderMayRunOnTheNextIncarnation(t *testing.T) {
	for _, order := range []string{"unanswered", "answered", "repeated"} {
		t.Run(order, func(t *testing.T) {
			g := NewWithT(t)
			w := newTestPool(2)
			w.run(w.pool.longestLease())
			o, f := w.startOne("00000000000000ba")
			former := f.incarnation
			if order == "repeated" {
				w.pool.StartAnswered(o, StartAnswer{Outcome: StartUnknown}, w.clock())
				w.run(500 * time.Millisecond)
				g.Expect(f.running).To(HaveLen(1))
			}
			f.restart(w.now, time.Hour)
			f.losesAnswers = order != "answered"
			w.execute(o)
			g.Expect(f.running).To(HaveLen(1))
			f.lease = w.now + w.pool.options.MaxLease
			f.unresponsive = true
			w.run(50 * time.Millisecond)
			w.pool.ReportTerminated(f.info.ID, former, w.clock())
			w.expectOneRun(g, o, f, 30*time.Second)
		})
	}
}

// Guards against a start by the labels and the capacity of a former incarnation: the present one may be of another kind.
func TestNoStartByTheEntryOfAFormerIncarnation(t *testing.T) {
	g := NewWithT(t)
	w := newTestPool(1)
	f := w.workers["i-00"]
	f.info.Incarnation = f.incarnation
	w.updateRoster()
	f.restart(w.now, 0)
	w.run(200 * time.Millisecond)
	w.pool.Submit(oneStep("00000000000000bb", Step{Count: 1, Need: Resources{CPU: 1000}}), w.clock())
	w.run(time.Second)
	g.Expect(f.startsTotal).To(BeZero())
	f.info.Incarnation = f.incarnation
	w.updateRoster()
	w.run(200 * time.Millisecond)
	g.Expect(f.startsTotal).To(Equal(1))
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
	f.restart(w.now, 0)
	f.incarnation = 9999
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
				f.restart(w.now, time.Hour)
				f.lease = w.now + w.pool.options.MaxLease
			}
			if successor {
				w.successor()
			}
			w.run(200 * time.Millisecond)
			o, f := w.startOne("00000000000000b4")
			w.execute(o)
			f.unresponsive = true
			w.expectOneRun(g, o, f, f.lease-w.now+2*time.Second)
		})
	}
}

// Guards against a task that runs again after its end as done: the next incarnation of its worker has executed the start and, after the end, a
// renewal that acknowledges ends of the former one, so that nobody has seen the end.
func TestNoStartIsOpenWhileEndsAreAcknowledged(t *testing.T) {
	g := NewWithT(t)
	w := newTestPool(1)
	f := w.workers["i-00"]
	w.pool.Submit(oneStep("00000000000000bc", Step{Count: 1, Need: Resources{CPU: 1000}}), w.clock())
	w.run(200 * time.Millisecond)
	w.endAll(EndDone)
	w.renewLeases()
	w.write()
	o, _ := w.startOne("00000000000000bd")
	req, _ := w.pool.NextRenewal(f.info.ID, w.clock())
	g.Expect(req.AckedUpTo).To(BeZero(), "a start is open")
	w.execute(o)
	req, _ = w.pool.NextRenewal(f.info.ID, w.clock())
	g.Expect(req.AckedUpTo).To(Equal(int64(1)))
	w.pool.Submit(oneStep("00000000000000be", Step{Count: 1, Need: Resources{CPU: 1000}}), w.clock())
	w.pool.Place(w.clock())
	w.write()
	g.Expect(w.pool.TakeOrders()).To(BeEmpty(), "the renewal is not answered")
	w.pool.RenewalAnswered(req.To, f.answer(req, w.now), w.now, w.clock())
	g.Expect(w.pool.TakeOrders()).To(HaveLen(1))
	req, _ = w.pool.NextRenewal(f.info.ID, w.clock())
	g.Expect(req.AckedUpTo).To(BeZero(), "the worker has discarded its ends")
}
