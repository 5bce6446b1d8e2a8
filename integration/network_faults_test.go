//go:build linux

package integration

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"samphirepoint/checker"
	"samphirepoint/load"
	"samphirepoint/standin"
	"samphirepoint/standin/faultproxy"
	"samphirepoint/standin/platformd"
)

const (
	// admissionStopBound is the time within which an isolated entry stops admitting work: 5.25 s, and 7 s with scheduling
	// delays on a busy machine (design document, section 3.3).
	admissionStopBound = 7 * time.Second
	// rolloutBound is the bound of property P8: the time until an accepted change is in force everywhere.
	rolloutBound = 7 * time.Second
	// unresponsiveBound is the time until an unresponsive connection is abandoned (design document, section 6), plus one second
	// for the run of the work itself on a busy machine.
	unresponsiveBound = 3 * time.Second
)

// isolation is the set of directions in which an entry is partitioned from the table and the other entries. The zero
// value ends the partition.
type isolation struct {
	name            string
	sends, receives bool
}

func (d *deployment) isolate(e *entryProcess, mode isolation) {
	d.network.partition(e.id, mode.sends, mode.receives)
	e.platformProxy.Set(faultproxy.Faults{Up: faultproxy.Direction{Cut: mode.sends}, Down: faultproxy.Direction{Cut: mode.receives}})
}

// TestIsolatedEntry partitions one entry from the table and the other entries, in both directions and in each one alone. It
// guards against an entry that continues with an old table, admits work after the bound, or responds with a verdict
// other than not-run, and against a change that does not reach all entries or is undone when the partition ends.
func TestIsolatedEntry(t *testing.T) {
	parallel(t)
	d := newDeployment(t, 5)
	d.watchVersions()
	c := d.startCallers(4, false)
	c.awaitSuccesses(time.Time{}, idempotent, nonIdempotent)
	for i, mode := range []isolation{{"both ways", true, true}, {"sends nothing", true, false}, {"receives nothing", false, true}} {
		victim := d.entries[i]
		partitionedAt := time.Now()
		d.isolate(victim, mode)
		version, ok := d.acceptChange(d.entriesExcept(victim)...)
		d.Expect(ok).To(BeTrue(), "%s: a majority is in contact with the table", mode.name)
		acceptedAt := time.Now()
		for _, e := range d.entriesExcept(victim) {
			d.Eventually(func() int64 { return d.lastVersion(e) }, rolloutBound, "20ms").Should(BeNumerically(">=", version), "%s: %s", mode.name, e.id)
		}
		sleepUntil(partitionedAt.Add(admissionStopBound))
		stoppedAt := time.Now()
		d.Expect(d.isReady(victim)).To(BeFalse(), "%s: %s is ready", mode.name, victim.id)
		sleepUntil(acceptedAt.Add(rolloutBound + time.Second))
		expectNoAdmission(d, c.recordsSoFar(), victim, stoppedAt, mode.name)
		for _, q := range d.doc.Queues {
			d.Expect(longestGap(c.recordsSoFar(), q.Name, idempotent, partitionedAt, stoppedAt, victim)).To(BeNumerically("<=", unresponsiveBound), "%s: work of queue %s", mode.name, q.Name)
		}
		d.isolate(victim, isolation{})
		d.waitReady(victim)
		d.Eventually(func() int64 { return d.lastVersion(victim) }, rolloutBound, "20ms").Should(BeNumerically(">=", version))
		c.awaitSuccesses(time.Now(), idempotent, nonIdempotent)
	}
	d.checkProperties(c.finish(), checker.P3, checker.P4, checker.P5, checker.P8)
}

// expectNoAdmission expects that an entry rejected all work that was submitted after a point in time.
func expectNoAdmission(d *deployment, records []load.Record, e *entryProcess, after time.Time, name string) {
	d.t.Helper()
	n := 0
	for _, r := range records {
		if r.Entry == e.callersAddress && r.Sent.After(after) {
			n++
			d.Expect(r.Verdict).To(Equal("not-run"), "%s: %+v", name, r)
		}
	}
	d.Expect(n).NotTo(BeZero(), "%s: no work was submitted to %s", name, e.id)
}

// TestStartWithoutTable restarts an entry while the table is unavailable. It guards against an entry that needs the table to
// start, and against one that installs no version or an old one from its peers.
func TestStartWithoutTable(t *testing.T) {
	parallel(t)
	d := newDeployment(t, 4)
	d.watchVersions()
	version, ok := d.acceptChange(d.entries...)
	d.Expect(ok).To(BeTrue())
	d.setFaults(platformd.Faults{Table: platformd.Fault{Down: true}})
	fresh := d.entries[3]
	d.kill(fresh)
	d.startEntry(fresh)
	startedAt := time.Now()
	d.waitReady(fresh)
	d.Eventually(func() int64 { return d.lastVersion(fresh) }, startTimeout, "20ms").Should(Equal(version))
	c := d.startCallers(5, false)
	c.awaitSuccesses(startedAt, idempotent)
	d.setFaults(platformd.Faults{})
	c.awaitSuccesses(time.Now(), idempotent, nonIdempotent)
	records := c.finish()
	d.checkProperties(records, checker.P3, checker.P4, checker.P5, checker.P8)
	served := 0
	for _, r := range records {
		if r.Entry == fresh.callersAddress && r.OK() {
			served++
		}
	}
	d.Expect(served).NotTo(BeZero(), "the restarted entry served no request")
}

// TestUnresponsiveConnections drops all traffic on open connections between entries, then between entries and workers. It guards
// against a request that waits for a response on such a connection without end, and against one that fails although it could
// run elsewhere.
func TestUnresponsiveConnections(t *testing.T) {
	parallel(t)
	d := newDeployment(t, 4)
	c := d.startCallers(6, false)
	c.awaitSuccesses(time.Time{}, idempotent, nonIdempotent)
	for _, phase := range []struct {
		name      string
		blackHole func()
	}{
		{"between entries", func() {
			for _, e := range d.entries {
				d.network.blackHole(e.id)
			}
		}},
		{"between entries and workers", func() {
			for _, worker := range d.workers {
				worker.proxy.BlackHole()
			}
		}},
	} {
		blackHoledAt := time.Now()
		phase.blackHole()
		sleepUntil(blackHoledAt.Add(requestDeadline + 2*time.Second)) // all requests in flight have ended
		records := c.recordsSoFar()
		answered := 0
		for _, r := range records {
			if r.Ended.Before(blackHoledAt) || r.Sent.After(blackHoledAt) {
				continue
			}
			answered++
			d.Expect(r.ErrKind).To(BeEmpty(), "%s: %+v", phase.name, r)
			if r.Idempotent {
				d.Expect(r.OK()).To(BeTrue(), "%s: %+v", phase.name, r)
			}
		}
		d.Expect(answered).NotTo(BeZero(), "%s: no request was in flight", phase.name)
		for _, q := range d.doc.Queues {
			d.Expect(longestGap(records, q.Name, idempotent, blackHoledAt, time.Now())).To(BeNumerically("<=", unresponsiveBound), "%s: work of queue %s", phase.name, q.Name)
		}
		c.awaitSuccesses(time.Now(), idempotent, nonIdempotent)
	}
	records := c.finish()
	d.checkProperties(records, checker.P3, checker.P5)
	for _, r := range records {
		d.Expect(r.ErrKind).NotTo(Equal(load.ErrTimeout), "no answer within the deadline: %+v", r)
	}
}

// TestSlowLinks delays all traffic between entries by 100 ms in each direction. It guards against work that is lost, run
// twice or rejected because a link is slow.
func TestSlowLinks(t *testing.T) {
	parallel(t)
	d := newDeployment(t, 4)
	c := d.startCallers(7, false)
	c.awaitSuccesses(time.Time{}, idempotent, nonIdempotent)
	slow := faultproxy.Direction{Delay: standin.Duration(100 * time.Millisecond)}
	for _, e := range d.entries {
		for _, other := range d.entriesExcept(e) {
			d.network.link(e.id, other.id).Set(faultproxy.Faults{Up: slow, Down: slow})
		}
	}
	sleepUntil(time.Now().Add(3 * time.Second))
	c.awaitSuccesses(time.Now(), idempotent, nonIdempotent)
	d.checkProperties(c.finish(), checker.P3, checker.P5)
}
