package filter

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"samphirepoint/request"
	"samphirepoint/standin/workerd"
	"samphirepoint/verdict"
)

// Guards against short idempotent work that waits until its deadline for a worker that started it and hung, although
// another worker is free.
func TestShortWorkIsHedgedAwayFromHungWorker(t *testing.T) {
	g := NewWithT(t)
	w := newHarness(t, 2, 1)
	for range 20 {
		g.Expect(w.serve(testRequest{body: `{"runMs":5}`, headers: map[string]string{request.HeaderDeadline: "20s"}}).Err).NotTo(HaveOccurred())
	}
	g.Expect(w.workers[0].SetMode(workerd.Mode{Mode: workerd.Hang})).To(Succeed())
	// Two concurrent requests occupy the single slots of both workers.
	spec := testRequest{body: `{"runMs":5}`, headers: map[string]string{request.HeaderDeadline: "20s"}}
	first, second := w.begin(spec), w.begin(spec)
	g.Expect((<-first).Verdict()).To(Equal(verdict.Ran))
	g.Expect((<-second).Verdict()).To(Equal(verdict.Ran))
	// The slot of the hung worker is released once the worker has confirmed the stop.
	g.Eventually(w.inUse).WithTimeout(10 * time.Second).Should(BeZero())
}

// Guards against a straggler that is stopped and restarted: it would take its long run time twice.
func TestHedgeDoesNotStopTheFirstAttempt(t *testing.T) {
	g := NewWithT(t)
	w := newHarness(t, 2, 1)
	quick := testRequest{body: `{"runMs":5}`, headers: map[string]string{request.HeaderDeadline: "20s"}}
	for range 20 {
		g.Expect(w.serve(quick).Err).NotTo(HaveOccurred())
	}
	straggler := testRequest{id: "straggler", body: `{"runMs":3000}`, headers: map[string]string{request.HeaderDeadline: "20s"}}
	g.Expect(w.serve(straggler).Verdict()).To(Equal(verdict.Ran))
	var first workerd.Event
	outcomes := map[string]workerd.Outcome{}
	for _, s := range w.workers {
		for _, e := range s.Journal(0) {
			if e.RequestID == "straggler" && e.Kind == workerd.Start && (first.Time.IsZero() || e.Time.Before(first.Time)) {
				first = e
			}
			if e.Kind == workerd.End {
				outcomes[e.RunID] = e.Outcome
			}
		}
	}
	g.Expect(outcomes[first.RunID]).To(Equal(workerd.Done), "the attempt that started first must complete")
	g.Eventually(w.inUse).WithTimeout(10 * time.Second).Should(BeZero())
}
