package owner

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"samphirepoint/engine"
	"samphirepoint/rows"
	"samphirepoint/rows/memrows"
)

// Guards against a large job whose rows the store refuses, so that its pool stands still and refuses all new work (review/1).
func TestLargeJobStopsNoPool(t *testing.T) {
	g := NewWithT(t)
	s, w := memrows.New(), newFakeWorkers(t)
	o := serve(t, s, w, 1)
	need := engine.Resources{CPU: 40, Mem: 10}
	large := engine.Spec{ID: "00000000000000a1", Queue: "q", Steps: []engine.Step{{Count: 1, Need: need}, {Count: 1500, Need: need, After: []int{0}}}}
	g.Expect(o.Submit(context.Background(), large)).To(Succeed())
	eventuallyInState(g, o, large.ID, engine.Running)
	w.finishAll()
	g.Eventually(func() int {
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.starts
	}, 30*time.Second, 5*time.Millisecond).Should(BeNumerically(">", 1200))
	g.Expect(o.Submit(context.Background(), job(2))).To(Succeed())
	next := serve(t, s, w, 2)
	eventuallyCompleted(g, w, next, large.ID)
	eventuallyCompleted(g, w, next, job(2).ID)
}

// Guards against rows that the store refuses being taken for an outage of the store, after which the pool refuses new work.
func TestRefusedRowsAreNoOutage(t *testing.T) {
	g := NewWithT(t)
	s, w := memrows.New(), newFakeWorkers(t)
	o := serve(t, s, w, 1)
	unstorable := job(1)
	unstorable.Payload = string(make([]byte, rows.MaxValueBytes))
	refused := make(chan error)
	go func() { refused <- o.Submit(context.Background(), unstorable) }()
	for n := range 20 {
		g.Expect(o.Submit(context.Background(), job(2+n))).To(Succeed())
		time.Sleep(20 * time.Millisecond)
	}
	g.Expect(<-refused).NotTo(Succeed())
	_, known, err := o.State(context.Background(), unstorable.ID, "")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(known).To(BeFalse(), "it was refused, so it never runs")
	eventuallyCompleted(g, w, o, job(2).ID)
}

// Guards against one unreadable row that keeps the next owner from loading the pool, so that all its jobs stand still.
func TestUnreadableRowStopsNoPool(t *testing.T) {
	g := NewWithT(t)
	s, w := memrows.New(), newFakeWorkers(t)
	o := serve(t, s, w, 1)
	for n := range 3 {
		g.Expect(o.Submit(context.Background(), job(n))).To(Succeed())
	}
	o.Stop()
	<-o.Done()
	_, err := s.Transact(context.Background(), rows.Tx{Writes: []rows.Write{{Key: rows.Key{Table: TableJobs, Part: "pumps", Name: job(1).ID}, Value: []byte("{")}}})
	g.Expect(err).NotTo(HaveOccurred())
	next := serve(t, s, w, 2)
	eventuallyCompleted(g, w, next, job(0).ID)
	eventuallyCompleted(g, w, next, job(2).ID)
}
