package engine

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

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
