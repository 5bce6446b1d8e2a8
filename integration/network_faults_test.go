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
	// stopsWithin is the time in which an entry without contact stops admitting work: 5.25 s, and 7 s with the
	// scheduling of a busy machine (design page, section 3.3).
	stopsWithin = 7 * time.Second
	// rolledOutWithin is the bound of property P8.
	rolledOutWithin = 7 * time.Second
	// silentWithin is the time until a silent connection is given up (design page, section 6), with a second for the
	// run of the work itself on a busy machine.
	silentWithin = 3 * time.Second
)

// isolation is a way to cut an entry off from the table and the other entries.
type isolation struct {
	name            string
	sends, receives bool
}

func (w *world) isolate(e *entryProcess, how isolation) {
	w.network.cut(e.id, how.sends, how.receives)
	e.platform.Set(faultproxy.Faults{Up: faultproxy.Direction{Cut: how.sends}, Down: faultproxy.Direction{Cut: how.receives}})
}

// An entry that goes on by an old table, admits work after the bound, or gives another verdict than not-run fails here, as does a
// change that does not get everywhere or is undone when the entry is back.
func TestIsolatedEntry(t *testing.T) {
	parallel(t)
	w := newWorld(t, 5)
	w.watchVersions()
	c := w.startCallers(4, false)
	c.awaitSuccesses(time.Time{}, idempotent, nonIdempotent)
	for i, how := range []isolation{{"both ways", true, true}, {"sends nothing", true, false}, {"receives nothing", false, true}} {
		victim := w.entries[i]
		cut := time.Now()
		w.isolate(victim, how)
		version, ok := w.accept(w.without(victim)...)
		w.Expect(ok).To(BeTrue(), "%s: a majority is in contact with the table", how.name)
		accepted := time.Now()
		for _, e := range w.without(victim) {
			w.Eventually(func() int64 { return w.version(e) }, rolledOutWithin, "20ms").Should(BeNumerically(">=", version), "%s: %s", how.name, e.id)
		}
		awaitTime(cut.Add(stopsWithin))
		stopped := time.Now()
		w.Expect(w.ready(victim)).To(BeFalse(), "%s: %s is ready", how.name, victim.id)
		awaitTime(accepted.Add(rolledOutWithin + time.Second))
		checkStopped(w, c.seen(), victim, stopped, how.name)
		for _, q := range w.doc.Queues {
			w.Expect(longestGap(c.seen(), q.Name, idempotent, cut, stopped, victim)).To(BeNumerically("<=", silentWithin), "%s: work of queue %s", how.name, q.Name)
		}
		w.isolate(victim, isolation{})
		w.waitReady(victim)
		w.Eventually(func() int64 { return w.version(victim) }, rolledOutWithin, "20ms").Should(BeNumerically(">=", version))
		c.awaitSuccesses(time.Now(), idempotent, nonIdempotent)
	}
	w.judge(c.finish(), checker.P3, checker.P4, checker.P5, checker.P8)
}

// checkStopped expects that an entry refused all work that was submitted after a moment.
func checkStopped(w *world, records []load.Record, e *entryProcess, after time.Time, name string) {
	w.t.Helper()
	n := 0
	for _, r := range records {
		if r.Entry == e.callers && r.Sent.After(after) {
			n++
			w.Expect(r.Verdict).To(Equal("not-run"), "%s: %+v", name, r)
		}
	}
	w.Expect(n).NotTo(BeZero(), "%s: no work was submitted to %s", name, e.id)
}

// An entry that needs the table to start, or that installs no or an old version from its peers, fails here.
func TestStartWithoutTable(t *testing.T) {
	parallel(t)
	w := newWorld(t, 4)
	w.watchVersions()
	version, ok := w.accept(w.entries...)
	w.Expect(ok).To(BeTrue())
	w.setFaults(platformd.Faults{Table: platformd.Fault{Down: true}})
	fresh := w.entries[3]
	w.kill(fresh)
	w.startEntry(fresh)
	started := time.Now()
	w.waitReady(fresh)
	w.Eventually(func() int64 { return w.version(fresh) }, startTimeout, "20ms").Should(Equal(version))
	c := w.startCallers(5, false)
	c.awaitSuccesses(started, idempotent)
	w.setFaults(platformd.Faults{})
	c.awaitSuccesses(time.Now(), idempotent, nonIdempotent)
	records := c.finish()
	w.judge(records, checker.P3, checker.P4, checker.P5, checker.P8)
	served := 0
	for _, r := range records {
		if r.Entry == fresh.callers && r.OK() {
			served++
		}
	}
	w.Expect(served).NotTo(BeZero(), "the fresh entry served nothing")
}

// A request that waits for ever for an answer on a connection that went silent, or is given up although it could run
// elsewhere, fails here.
func TestSilentConnections(t *testing.T) {
	parallel(t)
	w := newWorld(t, 4)
	c := w.startCallers(6, false)
	c.awaitSuccesses(time.Time{}, idempotent, nonIdempotent)
	for _, phase := range []struct {
		name    string
		silence func()
	}{
		{"between entries", func() {
			for _, e := range w.entries {
				w.network.blackHole(e.id)
			}
		}},
		{"between entries and workers", func() {
			for _, worker := range w.workers {
				worker.proxy.BlackHole()
			}
		}},
	} {
		silent := time.Now()
		phase.silence()
		awaitTime(silent.Add(deadline + 2*time.Second)) // all that was under way has ended
		records := c.seen()
		answered := 0
		for _, r := range records {
			if r.Ended.Before(silent) || r.Sent.After(silent) {
				continue
			}
			answered++
			w.Expect(r.ErrKind).To(BeEmpty(), "%s: %+v", phase.name, r)
			if r.Idempotent {
				w.Expect(r.OK()).To(BeTrue(), "%s: %+v", phase.name, r)
			}
		}
		w.Expect(answered).NotTo(BeZero(), "%s: nothing was under way", phase.name)
		for _, q := range w.doc.Queues {
			w.Expect(longestGap(records, q.Name, idempotent, silent, time.Now())).To(BeNumerically("<=", silentWithin), "%s: work of queue %s", phase.name, q.Name)
		}
		c.awaitSuccesses(time.Now(), idempotent, nonIdempotent)
	}
	records := c.finish()
	w.judge(records, checker.P3, checker.P5)
	for _, r := range records {
		w.Expect(r.ErrKind).NotTo(Equal(load.ErrTimeout), "no answer within the deadline: %+v", r)
	}
}

// Work that is lost, run twice or refused when a link between entries is only slow fails here.
func TestSlowLinks(t *testing.T) {
	parallel(t)
	w := newWorld(t, 4)
	c := w.startCallers(7, false)
	c.awaitSuccesses(time.Time{}, idempotent, nonIdempotent)
	slow := faultproxy.Direction{Delay: standin.Duration(100 * time.Millisecond)}
	for _, e := range w.entries {
		for _, other := range w.without(e) {
			w.network.link(e.id, other.id).Set(faultproxy.Faults{Up: slow, Down: slow})
		}
	}
	awaitTime(time.Now().Add(3 * time.Second))
	c.awaitSuccesses(time.Now(), idempotent, nonIdempotent)
	w.judge(c.finish(), checker.P3, checker.P5)
}
