package engine

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against tasks that wait for half a minute since their worker has crashed for good before its owner had an answer to their start, as the
// next incarnation of the worker might have executed the order.
func TestCrashedWorkerReleasesItsStarts(t *testing.T) {
	for _, sent := range []bool{false, true} {
		t.Run(fmt.Sprintf("sent=%t", sent), func(t *testing.T) {
			g := NewWithT(t)
			w := newTestPool(2)
			w.run(w.pool.longestLease())
			o, f := w.startOne("00000000000000c1")
			f.unresponsive = true
			if sent {
				w.pool.StartAnswered(o, StartAnswer{Outcome: StartUnknown}, w.clock())
			}
			w.run(100 * time.Millisecond)
			w.pool.ReportTerminated(f.info.ID, f.incarnation, w.clock())
			delete(w.workers, f.info.ID)
			w.updateRoster()
			g.Expect(w.pool.AwaitsStart(o, w.clock())).To(BeFalse())
			for end := w.now + 3*time.Second; w.now < end; {
				w.run(50 * time.Millisecond)
				w.pool.ReportAbsent(f.info.ID, f.incarnation, w.clock())
			}
			g.Expect(w.countRuns(o.Task.String())).To(Equal(1))
		})
	}
}

// Guards against a second run of a task that a former owner has started: its order was executed by the next incarnation of the worker, which
// is cut off from the present owner, while a report says that the former incarnation has terminated.
func TestInheritedStartMayRunOnTheNextIncarnation(t *testing.T) {
	for _, reported := range []bool{false, true} {
		t.Run(fmt.Sprintf("reported=%t", reported), func(t *testing.T) {
			g := NewWithT(t)
			w := newTestPool(2)
			w.run(time.Second)
			o, f := w.startOne("00000000000000c2")
			former := f.incarnation
			w.successor()
			f.restart(w.now, 0)
			f.unresponsive = true
			w.run(1500 * time.Millisecond)
			f.running[runKey(o.Task, o.Run)], f.lease = &fakeRun{order: o}, w.now+w.pool.options.MaxLease
			if reported {
				w.pool.ReportTerminated(f.info.ID, former, w.clock())
			}
			w.expectOneRun(g, o, f, 20*time.Second)
		})
	}
}

// Guards against starts that wait in the owner's queue and are sent to a worker that has been reported as terminated, doesn't answer or has
// started again meanwhile, and against runs that are kept for them.
func TestQueuedStartIsNotSentToAWorkerThatMayBeGone(t *testing.T) {
	for name, happens := range map[string]func(w *testPool, f *fakeWorker){
		"reported": func(w *testPool, f *fakeWorker) { w.pool.ReportTerminated(f.info.ID, f.incarnation, w.clock()) },
		"silent":   func(w *testPool, f *fakeWorker) { w.pool.RenewalFailed(f.info.ID, w.clock()) },
		"listed as another incarnation": func(w *testPool, f *fakeWorker) {
			f.info.Incarnation = f.incarnation + 1
			w.updateRoster()
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			w := newTestPool(1)
			o, f := w.startOne("00000000000000c3")
			happens(w, f)
			g.Expect(w.pool.AwaitsStart(o, w.clock())).To(BeFalse())
			g.Expect(w.pool.workers[f.info.ID].runs).To(BeEmpty())
		})
	}
}

// Guards against a worker that is taken for restarted, and gets no work for a while, since its answer was handled late.
func TestAnswerHandledLateShowsNoOtherClock(t *testing.T) {
	g := NewWithT(t)
	w := newTestPool(1)
	f := w.workers["i-00"]
	req, _ := w.pool.NextRenewal("i-00", w.clock())
	sent := w.now
	w.now += time.Second
	a := f.answer(req, w.now)
	w.now += time.Second
	w.pool.RenewalAnswered(req.To, a, sent, w.clock())
	w.pool.Submit(oneStep("00000000000000c4", Step{Count: 1, Need: Resources{CPU: 1000}}), w.clock())
	w.place()
	g.Expect(f.startsTotal).To(Equal(1))
	g.Expect(w.pool.workers["i-00"].token).To(Equal(req.To.Token))
}

// Guards against an inherited run of a worker that has crashed for good, which is kept while former owners may not know of the present one: they
// may renew leases, but start nothing.
func TestInheritedRunOfACrashedWorkerIsReleased(t *testing.T) {
	g := NewWithT(t)
	w := newTestPool(2)
	o, f := w.startOne("00000000000000c5")
	w.successor()
	delete(w.workers, f.info.ID)
	w.updateRoster()
	for end := w.now + 3*time.Second; w.now < end; {
		w.run(50 * time.Millisecond)
		w.pool.AwaitLeasesFrom(w.now)
		w.pool.ReportAbsent(f.info.ID, f.incarnation, w.clock())
	}
	g.Expect(w.countRuns(o.Task.String())).To(Equal(1))
}
