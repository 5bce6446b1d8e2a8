package engine

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// startOne submits a job of one task and returns its start order, not yet answered, and the worker that it is for.
func (w *world) startOne(id string) (Order, *fakeWorker) {
	w.pool.Submit(oneStep(id, Step{Count: 1, Need: Resources{CPU: 1000}}), w.clock())
	w.pool.Place(w.clock())
	w.write()
	o := w.pool.TakeOrders()[0]
	return o, w.workers[o.Worker.ID]
}

// holdWith answers one hold of a worker, sent now.
func (w *world) holdWith(f *fakeWorker, a RenewalReply) {
	w.pool.NextRenewal(f.info.ID, w.clock())
	w.pool.RenewalAnswered(f.info.ID, a, w.now, w.clock())
}

// Guards against a second run of a task whose start was rejected at the second try while the first try is still on its way: only a
// stop keeps that one from being carried out.
func TestRejectedRetryIsStopped(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(2)
	o, _ := w.startOne("00000000000000b1")
	w.pool.StartAnswered(o, StartUnknown, "", w.clock())
	w.now += time.Second
	w.hold()
	w.pool.Tick(w.clock())
	again := w.pool.TakeOrders()
	g.Expect(again).To(HaveLen(1))
	g.Expect(again[0].Kind).To(Equal(OrderStart))
	w.pool.StartAnswered(again[0], StartRejected, ReasonRoom, w.clock())
	orders := w.pool.TakeOrders()
	g.Expect(orders).To(HaveLen(1))
	g.Expect(orders[0].Kind).To(Equal(OrderStop))
	w.hold()
	w.place()
	g.Expect(w.runs("00000000000000b1.0.0.0")).To(BeZero(), "not before the stop is carried out")
}

// Guards against a run that is taken for over as its worker has a new life, although the order has reached that new life.
func TestRestartedWorkerKeepsListedRuns(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(1)
	o, f := w.startOne("00000000000000b2")
	w.pool.StartAnswered(o, StartAccepted, "", w.clock())
	w.now += 100 * time.Millisecond
	w.holdWith(f, RenewalReply{Incarnation: f.born + 1, ClockMS: 90, Running: []RunningRow{{Task: o.Task.String(), Run: o.Run, Percent: 100}}})
	w.pool.RequestPlacement()
	w.pool.Place(w.clock())
	w.write()
	g.Expect(w.pool.TakeOrders()).To(BeEmpty(), "neither a stop nor a second start")

	w.now += 100 * time.Millisecond
	w.holdWith(f, RenewalReply{Incarnation: f.born + 2, ClockMS: 90})
	w.pool.RequestPlacement()
	w.pool.Place(w.clock())
	w.write()
	orders := w.pool.TakeOrders()
	g.Expect(orders).To(HaveLen(1), "a life that lists nothing has nothing")
	g.Expect(orders[0].Run).To(Equal(o.Run + 1))
}

// Guards against starts that are sent again to a silent worker: one that starts anew behind a cut runs them under a lease that the
// owner knows nothing of.
func TestNoStartIsResentToUnresponsiveWorker(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(1)
	o, f := w.startOne("00000000000000b3")
	f.silent = true
	w.pool.StartAnswered(o, StartUnknown, "", w.clock())
	w.hold()
	w.now += time.Second
	w.pool.Tick(w.clock())
	g.Expect(w.pool.TakeOrders()).To(BeEmpty())
	f.silent = false
	w.hold()
	w.pool.Tick(w.clock())
	g.Expect(w.pool.TakeOrders()).To(HaveLen(1))
}

// Guards against a task that starts elsewhere while its worker, cut off soon after it has started anew, still holds the lease of
// an order to its former life, which is the longest that there is.
func TestRecentlyRestartedWorkerMayHoldLongestLease(t *testing.T) {
	for _, c := range []struct {
		age      time.Duration
		restarts bool
	}{{time.Second, false}, {time.Minute, true}} {
		g := NewWithT(t)
		w := newWorld(2)
		for _, f := range w.workers {
			f.bornAt = w.now - c.age
		}
		w.successor()
		w.hold()
		o, f := w.startOne("00000000000000b4")
		w.carryOut(o)
		f.silent = true
		w.step(8 * time.Second)
		g.Expect(w.workers["i-00"].startsTotal+w.workers["i-01"].startsTotal == 2).To(Equal(c.restarts), "after 8 s, age %s", c.age)
		w.step(4 * time.Second)
		g.Expect(w.workers["i-00"].startsTotal + w.workers["i-01"].startsTotal).To(Equal(2))
	}
}
