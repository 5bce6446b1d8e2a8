package filter

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"samphirepoint/request"
	"samphirepoint/standin/workerd"
	"samphirepoint/verdict"
)

// Guards against short idempotent work that waits until its deadline for a worker that started it and hangs, although
// another worker is free.
func TestHungWorkerDoesNotHoldShortWork(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(t, 2, 1)
	for range 20 {
		g.Expect(w.serve(callSpec{body: `{"runMs":5}`, headers: map[string]string{request.HeaderDeadline: "20s"}}).Err).NotTo(HaveOccurred())
	}
	g.Expect(w.workers[0].SetMode(workerd.Mode{Mode: workerd.Hang})).To(Succeed())
	// Two requests at once take the single slots of both workers.
	spec := callSpec{body: `{"runMs":5}`, headers: map[string]string{request.HeaderDeadline: "20s"}}
	first, second := w.begin(spec), w.begin(spec)
	g.Expect((<-first).Verdict()).To(Equal(verdict.Ran))
	g.Expect((<-second).Verdict()).To(Equal(verdict.Ran))
	// The slot of the hung worker is free once the worker has confirmed the stop.
	g.Eventually(w.inUse).WithTimeout(10 * time.Second).Should(BeZero())
}

// Guards against a straggler that is stopped and started anew: it would need its long run time twice.
func TestHedgeDoesNotStopTheFirstAttempt(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(t, 2, 1)
	quick := callSpec{body: `{"runMs":5}`, headers: map[string]string{request.HeaderDeadline: "20s"}}
	for range 20 {
		g.Expect(w.serve(quick).Err).NotTo(HaveOccurred())
	}
	begin := time.Now()
	straggler := callSpec{body: `{"runMs":3000}`, headers: map[string]string{request.HeaderDeadline: "20s"}}
	c := w.serve(straggler)
	g.Expect(c.Verdict()).To(Equal(verdict.Ran))
	// The second attempt starts after 2 s at the earliest and would end after 5 s.
	g.Expect(time.Since(begin)).To(BeNumerically("<", 5*time.Second))
	g.Eventually(w.inUse).WithTimeout(10 * time.Second).Should(BeZero())
}
