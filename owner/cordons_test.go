package owner

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"samphirepoint/rows/memrows"
)

// Guards against work that is started on a worker although its instance is about to be moved: the fleet controller stored the order,
// was paused for longer than its cordon lasts, and sends the order when it goes on.
func TestWorkerStaysCordonedWhileItsInstanceHasAnOpenOrder(t *testing.T) {
	g := NewWithT(t)
	s, w := memrows.New(), newFakeWorkers(t)
	var open atomic.Bool
	o := serveWith(t, Settings{Token: 1, ClaimVer: claim(t, s, 1), Store: s, Workers: w, WorkersWithOpenOrders: func(context.Context) ([]string, error) {
		if open.Load() {
			return []string{"i-1"}, nil
		}
		return nil, nil
	}})
	const cordon = 1200 * time.Millisecond
	g.Eventually(func() bool {
		a, err := o.Cordon(t.Context(), "i-1", cordon)
		return err == nil && a.Known && a.Empty
	}).Should(BeTrue())
	open.Store(true)
	g.Expect(o.Submit(t.Context(), job(1))).To(Succeed())
	starts := func() int {
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.starts
	}
	g.Consistently(starts, 2*cordon).Should(BeZero())
	open.Store(false)
	g.Eventually(starts, 10*time.Second).Should(Equal(3), "the worker is used again once the order is closed")
}
