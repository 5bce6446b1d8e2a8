package engine

import (
	"testing"

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
