package owner

import (
	"context"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"samphirepoint/engine"
	"samphirepoint/rows"
	"samphirepoint/rows/memrows"
	"samphirepoint/verdict"
)

// holdingStore is one owner's access to a shared store. While held is set, its transactions wait until their context ends
// and have no effect.
type holdingStore struct {
	*memrows.Store
	mu   sync.Mutex
	held bool
}

func (s *holdingStore) hold(held bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held = held
}

func (s *holdingStore) Transact(ctx context.Context, tx rows.Tx) (int64, error) {
	s.mu.Lock()
	held := s.held
	s.mu.Unlock()
	if held {
		<-ctx.Done()
		return 0, verdict.Wrap(ctx.Err(), verdict.MayHaveRun, 504)
	}
	return s.Store.Transact(ctx, tx)
}

// replace ends the worker incarnation with its list of ends, as a move of its instance does.
func (w *fakeWorkers) replace() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended, w.endCount = nil, 0
	w.incarnation++
}

// Guards against a task that runs again after a takeover because the instance of its worker was moved, as empty, before the
// end of its first run was stored.
func TestWorkerWithUnstoredEndsIsNotReportedEmpty(t *testing.T) {
	g := NewWithT(t)
	shared, w := memrows.New(), newFakeWorkers(t)
	held := &holdingStore{Store: shared}
	first := serveOn(t, held, claim(t, shared, 1), w, 1)
	spec := engine.Spec{ID: job(1).ID, Queue: "q", Steps: []engine.Step{{Count: 1, Need: engine.Resources{CPU: 1000, Mem: 100}}}}
	g.Expect(first.Submit(context.Background(), spec)).To(Succeed())
	usedCPU := func() int64 {
		r, err := first.Report(context.Background())
		g.Expect(err).NotTo(HaveOccurred())
		return r.UsedCPU
	}
	g.Eventually(usedCPU, time.Minute, time.Millisecond).Should(Equal(int64(1000)))
	g.Eventually(func() int { w.mu.Lock(); defer w.mu.Unlock(); return w.starts }, time.Minute, time.Millisecond).Should(Equal(1))
	held.hold(true)
	w.finishAll()
	g.Eventually(usedCPU, time.Minute, time.Millisecond).Should(BeZero(), "the first owner has applied the end")
	a, err := first.Cordon(context.Background(), "i-1", time.Second)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(a.Known).To(BeTrue())
	if a.Empty {
		w.replace()
	}
	second := serve(t, shared, w, 2)
	g.Eventually(func() bool {
		a, err = second.Cordon(context.Background(), "i-1", time.Second)
		return err == nil && a.Known && a.Empty
	}, time.Minute, 5*time.Millisecond).Should(BeTrue())
	_, err = second.Cordon(context.Background(), "i-1", 0)
	g.Expect(err).NotTo(HaveOccurred())
	eventuallyInState(g, second, spec.ID, engine.Completed)
	w.mu.Lock()
	defer w.mu.Unlock()
	g.Expect(w.starts).To(Equal(1))
}

// Guards against the removal of a cordon that is executed after its caller has given up, when a later cordon may be in force and
// an order for the instance on its way.
func TestAbandonedRemovalOfCordonHasNoEffect(t *testing.T) {
	g := NewWithT(t)
	o := serve(t, memrows.New(), newFakeWorkers(t), 1)
	g.Eventually(func() bool {
		a, err := o.Cordon(context.Background(), "i-1", time.Minute)
		return err == nil && a.Known
	}, time.Minute, time.Millisecond).Should(BeTrue())
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	for range 20 {
		_, _ = o.Cordon(ended, "i-1", 0)
	}
	r, err := o.Report(context.Background())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(r.Workers[0].Cordoned).To(BeTrue())
}

// Guards against a function that still changes the state, and the variables of its caller, after WithState has reported that it was
// not executed because the owner was stopped.
func TestStateIsNotUsedAfterOwnerWasStopped(t *testing.T) {
	g := NewWithT(t)
	o := serve(t, memrows.New(), newFakeWorkers(t), 1)
	g.Expect(o.Submit(context.Background(), job(1))).To(Succeed())
	reached, release := make(chan struct{}), make(chan struct{})
	o.post(func() {
		close(reached)
		<-release
	})
	<-reached
	executed := false
	failed := make(chan error)
	go func() {
		failed <- o.WithState(context.Background(), func(*engine.Pool, engine.Clock) { executed = true })
	}()
	g.Eventually(func() int { return len(o.inbox) }, time.Minute, time.Millisecond).Should(BeNumerically(">", 0))
	time.Sleep(20 * time.Millisecond)
	o.Stop()
	g.Expect(<-failed).To(HaveOccurred())
	close(release)
	<-o.Done()
	g.Expect(executed).To(BeFalse())
}

// Guards against a job that a successor has accepted, and that the former owner, which does not know of its successor yet, reports as
// unknown.
func TestFormerOwnerReportsNoJobAsUnknown(t *testing.T) {
	g := NewWithT(t)
	s := memrows.New()
	o := serve(t, s, newFakeWorkers(t), 1)
	_, known, err := o.State(context.Background(), job(1).ID, "")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(known).To(BeFalse())
	claim(t, s, 2)
	_, _, err = o.State(context.Background(), job(1).ID, "")
	g.Expect(verdict.Is(err, verdict.NotRun)).To(BeTrue(), "%v", err)
	_, err = o.Cancel(context.Background(), job(1).ID, "")
	g.Expect(err).To(HaveOccurred())
}
