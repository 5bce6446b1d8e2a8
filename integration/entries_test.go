//go:build linux

package integration

import (
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"samphirepoint/checker"
	"samphirepoint/standin"
	"samphirepoint/standin/platformd"
	"samphirepoint/standin/workerd"
)

// interruptionBound is the longest time without a successful response after the loss of an owner: detection and takeover
// take about 1 s (design document, sections 3.1 and 6).
const interruptionBound = 2 * time.Second

// TestKilledOwner kills the owner of a pool. It guards against a takeover that runs claimed work again, reports not-run
// for work that the dead owner had sent to a worker, or waits for the heartbeat timeout.
func TestKilledOwner(t *testing.T) {
	parallel(t)
	d := newDeployment(t, 5)
	c := d.startCallers(1, false)
	c.awaitSuccesses(time.Time{}, idempotent, nonIdempotent)
	victim := d.expectedOwner("north")
	killedAt := time.Now()
	d.signal(victim, syscall.SIGKILL)
	until := killedAt.Add(2 * interruptionBound)
	sleepUntil(until)
	records := c.finish()
	journal := d.checkProperties(records, checker.P3, checker.P5)
	for _, q := range d.doc.Queues {
		d.Expect(longestGap(records, q.Name, idempotent, killedAt, until, victim)).To(BeNumerically("<=", interruptionBound), "idempotent work of queue %s", q.Name)
		d.Expect(longestGap(records, q.Name, nonIdempotent, killedAt, until, victim)).To(BeNumerically("<=", interruptionBound), "non-idempotent work of queue %s", q.Name)
	}
	d.Expect(countRunningNonIdempotent(journal, "north", killedAt)).NotTo(BeZero(), "no work was running when the owner was killed")
}

// countRunningNonIdempotent returns the number of non-idempotent runs in a pool at a point in time.
func countRunningNonIdempotent(journal []workerd.Event, pool string, at time.Time) int {
	n := 0
	for _, e := range journal {
		if e.Pool != pool || e.Idempotent || !e.Time.Before(at) {
			continue
		}
		switch e.Kind {
		case workerd.Start:
			n++
		case workerd.End:
			n--
		}
	}
	return n
}

// TestStoppedOwner suspends the owner of a pool with SIGSTOP for 8 s and resumes it. It guards against a resumed owner that
// sends work whose claim or callers have moved on to another entry.
func TestStoppedOwner(t *testing.T) {
	parallel(t)
	d := newDeployment(t, 5)
	c := d.startCallers(2, false)
	c.awaitSuccesses(time.Time{}, idempotent, nonIdempotent)
	victim := d.expectedOwner("south")
	stoppedAt := time.Now()
	d.signal(victim, syscall.SIGSTOP)
	until := stoppedAt.Add(8 * time.Second)
	sleepUntil(until)
	d.signal(victim, syscall.SIGCONT)
	resumedAt := time.Now()
	d.Eventually(func() bool { return d.isReady(victim) }, completionTimeout, "20ms").Should(BeTrue())
	c.awaitSuccesses(resumedAt, idempotent, nonIdempotent)
	records := c.finish()
	d.checkProperties(records, checker.P3, checker.P5)
	for _, q := range d.doc.Queues {
		d.Expect(longestGap(records, q.Name, idempotent, stoppedAt, until, victim)).To(BeNumerically("<=", interruptionBound), "idempotent work of queue %s", q.Name)
		d.Expect(longestGap(records, q.Name, nonIdempotent, stoppedAt, until, victim)).To(BeNumerically("<=", interruptionBound), "non-idempotent work of queue %s", q.Name)
	}
}

// TestTableFaults makes the table unavailable, slow and lossy. It guards against idempotent work that depends on the table,
// non-idempotent work that runs without a claim, and a written claim that is considered absent because its reply was lost.
func TestTableFaults(t *testing.T) {
	parallel(t)
	d := newDeployment(t, 4)
	c := d.startCallers(3, false)
	c.awaitSuccesses(time.Time{}, idempotent, nonIdempotent)

	downRequestedAt := time.Now()
	d.setFaults(platformd.Faults{Table: platformd.Fault{Down: true}})
	downSince := time.Now()
	sleepUntil(downSince.Add(3 * time.Second))
	for _, q := range d.doc.Queues {
		d.Expect(longestGap(c.recordsSoFar(), q.Name, idempotent, downRequestedAt, time.Now())).To(BeNumerically("<=", interruptionBound), "idempotent work of queue %s while the table is down", q.Name)
	}
	downUntil := time.Now()
	d.setFaults(platformd.Faults{Table: platformd.Fault{Delay: standin.Duration(400 * time.Millisecond)}})
	slowSince := time.Now()
	c.awaitSuccesses(slowSince, idempotent, nonIdempotent)

	d.setFaults(platformd.Faults{Table: platformd.Fault{LoseProbability: 0.3}})
	lossySince := time.Now()
	c.awaitSuccesses(lossySince, idempotent, nonIdempotent)
	sleepUntil(lossySince.Add(2 * time.Second))

	d.setFaults(platformd.Faults{})
	c.awaitSuccesses(time.Now(), idempotent, nonIdempotent)
	records := c.finish()
	d.checkProperties(records, checker.P3, checker.P4, checker.P5)
	submittedWhileDown := 0
	for _, r := range records {
		if r.Idempotent || r.Intended.Before(downSince) || r.Ended.After(downUntil) {
			continue
		}
		submittedWhileDown++
		d.Expect(r.Verdict).To(Equal("not-run"), "non-idempotent work submitted while the table is down: %+v", r)
	}
	d.Expect(submittedWhileDown).NotTo(BeZero())
}
