package configsync

import (
	"context"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"samphirepoint/services"
	"samphirepoint/table"
)

const (
	step = 250 * time.Millisecond
	// bound is the time after which an accepted version must be in force at each entry that admits work (P8).
	bound = 7 * time.Second
	// staleAfter is the time after which an entry without contact must not admit work: freshness and its check.
	staleAfter = 5*time.Second + step
)

// Guards against entries that never become ready, and a change that the poll alone does not bring within its 2.4 s.
func TestPollBringsChangeEverywhere(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(8)
	c.run(3*time.Second, nil)
	c.commit(2)
	c.run(2500*time.Millisecond, nil)
	for _, e := range c.entries {
		g.Expect(e.syncer.Version()).To(Equal(int64(2)))
		g.Expect(e.syncer.Fresh(c.now())).To(BeTrue())
	}
}

// Guards against a minority without the table that goes on under old limits, and a majority that stops without need.
func TestMinorityWithoutTableStops(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(8)
	c.list()
	c.run(10*time.Second, nil)
	c.cutTable(true, all(8)...)
	c.split(5, 6, 7)
	c.run(staleAfter, nil)
	for range 20 {
		for i, e := range c.entries {
			g.Expect(e.syncer.Fresh(c.now())).To(Equal(i < 5), "entry %d", i)
		}
		c.run(10*time.Second, nil)
	}
}

// Guards against a group that serves without the table under the version before the accepted one.
func TestMajorityWithoutTableGetsAcceptedVersion(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(8)
	c.list()
	c.run(10*time.Second, nil)
	c.cutTable(true, 0, 1, 2, 3, 4)
	c.setCut(func(from, to string) bool { return from == "e6" && (to == "e2" || to == "e3" || to == "e4") })
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	installed, members := c.entries[6].syncer.PushAccepted(ctx, c.commit(2))
	cancel()
	g.Expect(members).To(Equal(8))
	g.Expect(2 * installed).To(BeNumerically(">", members))
	c.split(5, 6, 7)
	c.run(bound, nil)
	for i, e := range c.entries {
		g.Expect(e.syncer.Fresh(c.now())).To(BeTrue(), "entry %d", i)
		g.Expect(e.syncer.Version()).To(Equal(int64(2)), "entry %d", i)
	}
}

// Guards against an accept that is reported without a majority, and a push that ends with the operator's request.
func TestPushGoesOnInBackground(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(4)
	c.run(5*time.Second, nil)
	c.cutTable(true, all(4)...)
	c.split(0, 1)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	doc := c.commit(2)
	installed, members := c.entries[0].syncer.PushAccepted(ctx, doc)
	g.Expect(members).To(Equal(4))
	g.Expect(installed).To(BeNumerically("<=", 2))
	c.setCut(func(string, string) bool { return false })
	for _, e := range c.entries {
		g.Eventually(e.syncer.Version, "20s").Should(Equal(int64(2)))
	}
}

// Guards against an entry that wakes from a pause and admits work under what it knew before.
func TestPausedEntryIsStaleOnWake(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(8)
	c.run(10*time.Second, nil)
	e := c.entries[4]
	e.paused = true
	c.commit(2)
	c.run(30*time.Second, nil)
	g.Expect(e.syncer.Fresh(c.now())).To(BeFalse())
	e.paused = false
	c.run(3*time.Second, nil)
	g.Expect(e.syncer.Fresh(c.now())).To(BeTrue())
	g.Expect(e.syncer.Version()).To(Equal(int64(2)))
}

// Guards against a fresh start that fails while the table is down, or that takes the version of the first peer it meets.
func TestFreshStartWhileTableIsDown(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(8)
	c.list()
	c.run(10*time.Second, nil)
	c.cutTable(true, all(8)...)
	doc := c.commit(2)
	for i := range 5 {
		c.entries[7-i].syncer.Install(doc)
	}
	e := c.start(7)
	c.cutTable(true, 7)
	e.syncer.CatchUp(context.Background())
	g.Expect(e.syncer.Version()).To(BeZero())
	c.run(bound, func() { g.Expect(e.syncer.Version()).NotTo(Equal(int64(1))) })
	g.Expect(e.syncer.Version()).To(Equal(int64(2)))
	g.Expect(e.syncer.Fresh(c.now())).To(BeTrue())
}

// Guards against an entry that goes on without a version which a peer showed it, and against one that stops because of a
// version which it can neither get nor meet at a majority.
func TestKnownVersionThatCannotBeFetched(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(8)
	c.list()
	c.run(10*time.Second, nil)
	c.cutTable(true, all(8)...)
	c.setCut(func(_, to string) bool { return to == "e3" })
	c.entries[3].syncer.Install(c.commit(2))
	c.run(20*time.Second, nil)
	for i, e := range c.entries {
		g.Expect(e.syncer.Version()).To(BeNumerically("==", map[bool]int{false: 1, true: 2}[i == 3]))
		g.Expect(e.syncer.Fresh(c.now())).To(Equal(i != 3), "entry %d", i)
	}
	c.noTransfer = true
	c.setCut(func(string, string) bool { return false })
	c.run(bound, nil)
	for i, e := range c.entries {
		g.Expect(e.syncer.Fresh(c.now())).To(Equal(i == 3), "entry %d", i)
	}
}

// Guards against a table that is read at the wrong moment: version and document rows that do not belong together, a
// broken document, or a lower version.
func TestPollRefusesBadRows(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(1)
	s := c.entries[0].syncer
	g.Expect(s.Poll(context.Background())).To(Succeed())
	c.commit(5)
	g.Expect(s.Poll(context.Background())).To(Succeed())
	c.rows[table.KeyVersion] = services.Row{Version: 9, Value: []byte("9")}
	g.Expect(s.Poll(context.Background())).NotTo(Succeed())
	c.rows[table.KeyCurrent] = services.Row{Version: 9, Value: []byte("{")}
	g.Expect(s.Poll(context.Background())).NotTo(Succeed())
	g.Expect(s.Version()).To(Equal(int64(5)))
	c.commit(3)
	g.Expect(s.Poll(context.Background())).To(Succeed())
	g.Expect(s.Install(&table.Document{Version: 4})).To(Equal(int64(5)))
	delete(c.rows, table.KeyVersion)
	g.Expect(s.Poll(context.Background())).To(Succeed(), "the document alone is enough")
}

// Guards against retries of all entries at the same moment after an outage.
func TestBackoffIsBoundedAndSpread(t *testing.T) {
	g := NewWithT(t)
	s := New(Config{})
	for failures := range 40 {
		limit := min(DefaultBackoffMin<<min(failures, 10), DefaultBackoffMax)
		g.Expect(s.backoff(failures)).To(And(BeNumerically(">=", minRetry), BeNumerically("<=", limit)))
	}
	g.Expect(s.backoff(40)).NotTo(Equal(s.backoff(40)))
}

// Guards against loops that the timers do not drive, and that outlive their context.
func TestRun(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(1)
	s := New(Config{Table: tableLink{c.entries[0]}, Peers: c.entries[0].gossip, PollInterval: 5 * time.Millisecond})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- s.Run(ctx) }()
	g.Eventually(s.Version, "20s").Should(Equal(int64(1)))
	c.commit(2)
	g.Eventually(s.Version, "20s").Should(Equal(int64(2)))
	g.Expect(s.Rollout()).To(ConsistOf(HaveField("Version", int64(2))))
	cancel()
	g.Eventually(done, "20s").Should(Receive(MatchError(context.Canceled)))
}

// Guards P8 under cuts, one-way cuts, pauses and outages of the table for some or all entries, together and in any
// order: no entry lowers its version, no entry admits work 7 s after an accept under an older version, and no entry
// admits work longer than 5.25 s without any contact.
func TestAcceptedVersionIsInForceUnderAnyFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 8).Draw(t, "entries")
		c := newCluster(n)
		c.list()
		c.run(5*time.Second, nil)
		version, accepted, acceptedAt := int64(1), int64(1), c.now()
		var pending *push
		alone := make([]time.Time, n)
		some := func(label string) []int {
			return rapid.SliceOfDistinct(rapid.IntRange(0, n-1), func(i int) int { return i }).Draw(t, label)
		}
		check := func() {
			if pending != nil && !pending.syncer.paused(c) {
				for _, m := range pending.missing() {
					pending.send(context.Background(), m.ID)
				}
				if installed, members := pending.progress(); 2*installed > members {
					accepted, acceptedAt, pending = pending.doc.Version, c.now(), nil
				}
			}
			for i, e := range c.entries {
				if e.paused {
					continue
				}
				v := e.syncer.Version()
				if v < e.highest {
					t.Fatalf("%s reverts from %d to %d", e.id, e.highest, v)
				}
				e.highest = v
				if !e.syncer.Fresh(c.now()) {
					continue
				}
				if c.now().Sub(acceptedAt) >= bound && v < accepted {
					t.Fatalf("%s admits work under version %d, %v after the accept of %d", e.id, v, c.now().Sub(acceptedAt), accepted)
				}
				if !alone[i].IsZero() && c.now().Sub(alone[i]) > staleAfter {
					t.Fatalf("%s admits work %v after its last contact", e.id, c.now().Sub(alone[i]))
				}
			}
		}
		for range rapid.IntRange(1, 12).Draw(t, "events") {
			clear(alone)
			switch rapid.IntRange(0, 7).Draw(t, "event") {
			case 0:
				c.split(some("side")...)
			case 1:
				from, to := map[string]bool{}, map[string]bool{}
				for _, i := range some("from") {
					from[c.entries[i].id] = true
				}
				for _, i := range some("to") {
					to[c.entries[i].id] = true
				}
				c.setCut(func(a, b string) bool { return from[a] && to[b] })
			case 2:
				c.setCut(func(string, string) bool { return false })
			case 3:
				c.cutTable(true, some("table down")...)
			case 4:
				c.cutTable(false, all(n)...)
			case 5:
				paused := some("paused")
				for i, e := range c.entries {
					e.paused = false
					for _, p := range paused {
						e.paused = e.paused || p == i
					}
				}
			case 7:
				// Entries restart one at a time: if several lose an accepted version before it is everywhere,
				// and the table is down, no majority may hold it any more.
				if slices.ContainsFunc(c.entries, func(e *entry) bool { return e.syncer.Version() == 0 }) {
					break
				}
				i := rapid.IntRange(0, n-1).Draw(t, "restarted")
				down := c.entries[i].noTable
				if pending != nil && pending.syncer == c.entries[i].syncer {
					pending = nil
				}
				c.start(i).noTable = down
				if rapid.Bool().Draw(t, "list") {
					c.list()
				}
			case 6:
				e := c.entries[rapid.IntRange(0, n-1).Draw(t, "accepting")]
				if e.paused || e.noTable {
					break
				}
				version++
				doc := c.commit(version)
				e.syncer.Install(doc)
				pending = &push{syncer: e.syncer, doc: doc, have: map[string]bool{}, changed: make(chan struct{}, 1)}
			}
			for i, e := range c.entries {
				// With two entries the one with the lowest id is a majority by itself.
				alonePasses, _ := e.gossip.Quorum([]string{e.id})
				isolated := e.noTable && !alonePasses
				for _, other := range c.entries {
					isolated = isolated && (other == e || other.paused || c.cut(e.id, other.id) || c.cut(other.id, e.id))
				}
				if isolated {
					alone[i] = c.now()
				}
			}
			c.run(time.Duration(rapid.IntRange(1, 48).Draw(t, "steps"))*step, check)
		}
	})
}

// paused reports whether the entry of the syncer is paused.
func (s *Syncer) paused(c *cluster) bool {
	for _, e := range c.entries {
		if e.syncer == s {
			return e.paused
		}
	}
	return false
}
