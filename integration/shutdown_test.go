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

// longRunTime is longer than the time from SIGTERM to the closing of the listeners: 1 s for the load balancer and 2 s for
// the transfer of the pools.
const longRunTime = 4500 * time.Millisecond

// submitLongRequests submits work of both kinds at an entry and returns when all of it runs, so that it is in flight
// throughout the shutdown.
func (c *callers) submitLongRequests(e *entryProcess) {
	c.d.t.Helper()
	ids := map[string]bool{}
	for i, q := range c.d.doc.Queues {
		for _, k := range []workKind{idempotent, nonIdempotent} {
			a := arrival{id: int(nextID.Add(1)) + 1_000_000, runMS: int(longRunTime.Milliseconds()), backer: c.d.doc.Backers[i%2].Name, queue: q.Name,
				idempotent: bool(k), issued: time.Now()}
			ids[fmt.Sprintf("%s-%d-0", c.prefix, a.id)] = true
			target := slices.Index(*c.readyEntries.Load(), e)
			c.d.Expect(target).NotTo(BeNumerically("<", 0))
			c.wg.Add(1)
			go func() {
				defer c.wg.Done()
				c.submit(a, target)
			}()
		}
	}
	c.d.Eventually(func() int {
		n := 0
		for _, worker := range c.d.workers {
			var st workerd.Status
			c.d.Expect(c.d.operatorRequest("GET", "http://"+worker.address+"/status", nil, &st)).To(Succeed())
			for _, r := range st.Running {
				if ids[r.RequestID] {
					n++
				}
			}
		}
		return n
	}, startTimeout, "20ms").Should(Equal(len(ids)), "long requests run")
}

// TestGracefulShutdown terminates an entry without pools and one that owns a pool. It guards against a shutdown that closes
// connections in use, drops queued work, or leaves a caller with an unknown outcome.
func TestGracefulShutdown(t *testing.T) {
	parallel(t)
	d := newDeployment(t, 5)
	c := d.startCallers(8, true)
	c.awaitSuccesses(time.Time{}, idempotent, nonIdempotent)
	owner := d.expectedOwner("west")
	var other *entryProcess
	for _, e := range d.entriesExcept(owner) {
		if e != d.expectedOwner("north") && e != d.expectedOwner("south") {
			other = e
		}
	}
	for _, e := range []*entryProcess{other, owner} {
		c.submitLongRequests(e)
		d.terminate(e)
		c.awaitSuccesses(time.Now(), idempotent, nonIdempotent)
		d.startEntry(e)
		d.waitReady(e)
		c.awaitSuccesses(time.Now(), idempotent, nonIdempotent)
	}
	records := c.finish()
	d.checkProperties(records, checker.P3, checker.P5, checker.P7)
	for _, r := range records {
		d.Expect(r.ErrKind).To(BeEmpty(), "%+v", r)
		d.Expect(r.OutcomeUnknown()).To(BeFalse(), "%+v", r)
	}
}
