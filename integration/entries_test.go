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

// goesOnWithin is the time in which work goes on after the loss of an owner: detection and takeover take about 1 s
// (design page, sections 3.1 and 6).
const goesOnWithin = 2 * time.Second

// A takeover that runs claimed work again, answers not-run for work that the dead owner had sent, or waits for the
// heartbeat rule fails here.
func TestKilledOwner(t *testing.T) {
	parallel(t)
	w := newWorld(t, 5)
	c := w.startCallers(1, false)
	c.awaitSuccesses(time.Time{}, idempotent, nonIdempotent)
	victim := w.owner("north")
	killed := time.Now()
	w.signal(victim, syscall.SIGKILL)
	until := killed.Add(2 * goesOnWithin)
	awaitTime(until)
	records := c.finish()
	journal := w.judge(records, checker.P3, checker.P5)
	for _, q := range w.doc.Queues {
		w.Expect(longestGap(records, q.Name, idempotent, killed, until, victim)).To(BeNumerically("<=", goesOnWithin), "idempotent work of queue %s", q.Name)
		w.Expect(longestGap(records, q.Name, nonIdempotent, killed, until, victim)).To(BeNumerically("<=", goesOnWithin), "non-idempotent work of queue %s", q.Name)
	}
	w.Expect(underWay(journal, "north", killed)).NotTo(BeZero(), "no work was under way when the owner was killed")
}

// underWay counts non-idempotent runs in a pool at a moment.
func underWay(journal []workerd.Event, pool string, at time.Time) int {
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

// An owner that wakes up and sends work whose claim or callers have gone on to another entry fails here.
func TestStoppedOwner(t *testing.T) {
	parallel(t)
	w := newWorld(t, 5)
	c := w.startCallers(2, false)
	c.awaitSuccesses(time.Time{}, idempotent, nonIdempotent)
	victim := w.owner("south")
	stopped := time.Now()
	w.signal(victim, syscall.SIGSTOP)
	until := stopped.Add(8 * time.Second)
	awaitTime(until)
	w.signal(victim, syscall.SIGCONT)
	awake := time.Now()
	w.Eventually(func() bool { return w.ready(victim) }, settleTimeout, "20ms").Should(BeTrue())
	c.awaitSuccesses(awake, idempotent, nonIdempotent)
	records := c.finish()
	w.judge(records, checker.P3, checker.P5)
	for _, q := range w.doc.Queues {
		w.Expect(longestGap(records, q.Name, idempotent, stopped, until, victim)).To(BeNumerically("<=", goesOnWithin), "idempotent work of queue %s", q.Name)
		w.Expect(longestGap(records, q.Name, nonIdempotent, stopped, until, victim)).To(BeNumerically("<=", goesOnWithin), "non-idempotent work of queue %s", q.Name)
	}
}

// Idempotent work that needs the table, non-idempotent work that runs without a claim, and claims whose reply was lost
// and that are taken for absent fail here.
func TestTableFaults(t *testing.T) {
	parallel(t)
	w := newWorld(t, 4)
	c := w.startCallers(3, false)
	c.awaitSuccesses(time.Time{}, idempotent, nonIdempotent)

	down := time.Now()
	w.setFaults(platformd.Faults{Table: platformd.Fault{Down: true}})
	isDown := time.Now()
	awaitTime(isDown.Add(3 * time.Second))
	for _, q := range w.doc.Queues {
		w.Expect(longestGap(c.seen(), q.Name, idempotent, down, time.Now())).To(BeNumerically("<=", goesOnWithin), "idempotent work of queue %s while the table is down", q.Name)
	}
	lastDown := time.Now()
	w.setFaults(platformd.Faults{Table: platformd.Fault{Delay: standin.Duration(400 * time.Millisecond)}})
	slow := time.Now()
	c.awaitSuccesses(slow, idempotent, nonIdempotent)

	w.setFaults(platformd.Faults{Table: platformd.Fault{LoseProbability: 0.3}})
	lossy := time.Now()
	c.awaitSuccesses(lossy, idempotent, nonIdempotent)
	awaitTime(lossy.Add(2 * time.Second))

	w.setFaults(platformd.Faults{})
	c.awaitSuccesses(time.Now(), idempotent, nonIdempotent)
	records := c.finish()
	w.judge(records, checker.P3, checker.P4, checker.P5)
	refused := 0
	for _, r := range records {
		if r.Idempotent || r.Intended.Before(isDown) || r.Ended.After(lastDown) {
			continue
		}
		refused++
		w.Expect(r.Verdict).To(Equal("not-run"), "non-idempotent work submitted while the table is down: %+v", r)
	}
	w.Expect(refused).NotTo(BeZero())
}
