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
	for range 2 {
		c := w.serve(callSpec{body: `{"runMs":5}`, headers: map[string]string{request.HeaderDeadline: "20s"}})
		g.Expect(c.Verdict()).To(Equal(verdict.Ran))
	}
	// The slot of the hung worker is free once the worker has confirmed the stop.
	g.Eventually(w.inUse).WithTimeout(10 * time.Second).Should(BeZero())
}
