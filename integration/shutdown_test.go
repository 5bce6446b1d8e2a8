//go:build linux

package integration

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"samphirepoint/checker"
	"samphirepoint/standin/workerd"
)

// longRun is longer than the time from SIGTERM to the closing of the listeners: 1 s for the balancer and 2 s for the hand-over
// of the pools.
const longRun = 4500 * time.Millisecond

// submitLong submits work of both kinds at an entry and returns when it runs, so that it is in flight through the whole
// shutdown.
func (c *callers) submitLong(e *entryProcess) {
	c.w.t.Helper()
	ids := map[string]bool{}
	for i, q := range c.w.doc.Queues {
		for _, k := range []kind{idempotent, nonIdempotent} {
			a := arrival{id: int(runs.Add(1)) + 1_000_000, run: int(longRun.Milliseconds()), backer: c.w.doc.Backers[i%2].Name, queue: q.Name,
				idempotent: bool(k), issued: time.Now()}
			ids[fmt.Sprintf("%s-%d-0", c.prefix, a.id)] = true
			home := slices.Index(*c.ready.Load(), e)
			c.w.Expect(home).NotTo(BeNumerically("<", 0))
			c.ended.Add(1)
			go func() {
				defer c.ended.Done()
				c.submit(a, home)
			}()
		}
	}
	c.w.Eventually(func() int {
		n := 0
		for _, worker := range c.w.workers {
			var st workerd.Status
			c.w.Expect(c.w.do("GET", "http://"+worker.address+"/status", nil, &st)).To(Succeed())
			for _, r := range st.Running {
				if ids[r.RequestID] {
					n++
				}
			}
		}
		return n
	}, startTimeout, "20ms").Should(Equal(len(ids)), "long work runs")
}

// A shutdown that closes connections in use, drops queued work, or leaves a caller without a clear answer fails here.
func TestGracefulShutdown(t *testing.T) {
	parallel(t)
	w := newWorld(t, 5)
	c := w.startCallers(8, true)
	c.awaitSuccesses(time.Time{}, idempotent, nonIdempotent)
	owner := w.owner("west")
	var other *entryProcess
	for _, e := range w.without(owner) {
		if e != w.owner("north") && e != w.owner("south") {
			other = e
		}
	}
	for _, e := range []*entryProcess{other, owner} {
		c.submitLong(e)
		w.terminate(e)
		c.awaitSuccesses(time.Now(), idempotent, nonIdempotent)
		w.startEntry(e)
		w.waitReady(e)
		c.awaitSuccesses(time.Now(), idempotent, nonIdempotent)
	}
	records := c.finish()
	w.judge(records, checker.P3, checker.P5, checker.P7)
	for _, r := range records {
		w.Expect(r.ErrKind).To(BeEmpty(), "%+v", r)
		w.Expect(r.OutcomeUnknown()).To(BeFalse(), "%+v", r)
	}
}
