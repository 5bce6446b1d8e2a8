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
	stepInterval = 250 * time.Millisecond
	// rolloutBound is the time within which an accepted version must be in force at each entry that admits work (property P8).
	rolloutBound = 7 * time.Second
	// maxAdmissionWithoutContact is the time after which an entry without contact must not admit work: the freshness bound
	// and the step in which it is checked.
	maxAdmissionWithoutContact = 5*time.Second + stepInterval
)

// Guards against entries that never become fresh, and against a change that is not installed by polling alone within the
// longest poll interval of 2.4 s.
func TestPollingInstallsChangeAtAllEntries(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(8)
	c.advance(3*time.Second, nil)
	c.commit(2)
	c.advance(2500*time.Millisecond, nil)
	for _, e := range c.entries {
		g.Expect(e.syncer.Version()).To(Equal(int64(2)))
		g.Expect(e.syncer.Fresh(c.now())).To(BeTrue())
	}
}

// Guards against a minority without the table that keeps admitting work under old limits, and against a majority that
// stops although it need not.
func TestMinorityWithoutTableStopsAdmitting(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(8)
	c.publishInstances()
	c.advance(10*time.Second, nil)
	c.setTableDown(true, allEntries(8)...)
	c.partition(5, 6, 7)
	c.advance(maxAdmissionWithoutContact, nil)
	for range 20 {
		for i, e := range c.entries {
			g.Expect(e.syncer.Fresh(c.now())).To(Equal(i < 5), "entry %d", i)
		}
		c.advance(10*time.Second, nil)
	}
}

// Guards against a majority that keeps admitting work without the table under the version before the accepted one.
func TestMajorityWithoutTableGetsAcceptedVersion(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(8)
	c.publishInstances()
	c.advance(10*time.Second, nil)
	c.setTableDown(true, 0, 1, 2, 3, 4)
	c.setPartition(func(from, to string) bool { return from == "e6" && (to == "e2" || to == "e3" || to == "e4") })
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	installed, members := c.entries[6].syncer.PushAccepted(ctx, c.commit(2))
	cancel()
	g.Expect(members).To(Equal(8))
	g.Expect(2 * installed).To(BeNumerically(">", members))
	c.partition(5, 6, 7)
	c.advance(rolloutBound, nil)
	for i, e := range c.entries {
		g.Expect(e.syncer.Fresh(c.now())).To(BeTrue(), "entry %d", i)
		g.Expect(e.syncer.Version()).To(Equal(int64(2)), "entry %d", i)
	}
}

// Guards against an accept that a restarted entry reports as installed at all members while it knows no other entry.
func TestAcceptAtEntryThatKnowsNoOther(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(4)
	c.publishInstances()
	c.advance(5*time.Second, nil)
	c.partition(3)
	e := c.start(3)
	c.advance(5*time.Second, nil)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	installed, members := e.syncer.PushAccepted(ctx, c.commit(2))
	g.Expect(2 * installed).To(BeNumerically("<=", members))
	c.publishInstances()
	_, members = e.syncer.PushAccepted(ctx, c.commit(3))
	g.Expect(members).To(Equal(4))
}

// Guards against an accept that is reported as installed without a majority, and against a push that ends with the
// operator's request.
func TestPushContinuesInBackground(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(4)
	c.advance(5*time.Second, nil)
	c.setTableDown(true, allEntries(4)...)
	c.partition(0, 1)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	doc := c.commit(2)
	installed, members := c.entries[0].syncer.PushAccepted(ctx, doc)
	g.Expect(members).To(Equal(4))
	g.Expect(installed).To(BeNumerically("<=", 2))
	c.setPartition(func(string, string) bool { return false })
	for _, e := range c.entries {
		g.Eventually(e.syncer.Version, "20s").Should(Equal(int64(2)))
	}
}

// Guards against an entry that resumes after a pause and admits work under the version from before it.
func TestPausedEntryIsStaleAfterResume(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(8)
	c.advance(10*time.Second, nil)
	e := c.entries[4]
	e.paused = true
	c.commit(2)
	c.advance(30*time.Second, nil)
	g.Expect(e.syncer.Fresh(c.now())).To(BeFalse())
	e.paused = false
	c.advance(3*time.Second, nil)
	g.Expect(e.syncer.Fresh(c.now())).To(BeTrue())
	g.Expect(e.syncer.Version()).To(Equal(int64(2)))
}

// Guards against an entry that returns from a partition and admits work under the version from before it while it gets
// the newer one from its peers.
func TestIsolatedEntryIsStaleUntilItHasNewerVersion(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(4)
	c.publishInstances()
	c.advance(10*time.Second, nil)
	c.setTableDown(true, allEntries(4)...)
	c.partition(0)
	doc := c.commit(2)
	for _, e := range c.entries[1:] {
		e.syncer.Install(doc)
	}
	c.advance(30*time.Second, nil)
	c.transferDown = true
	c.setPartition(func(string, string) bool { return false })
	e := c.entries[0]
	c.advance(3*time.Second, func() { g.Expect(e.syncer.Fresh(c.now())).To(BeFalse()) })
	c.transferDown = false
	c.advance(stepInterval, nil)
	g.Expect(e.syncer.Version()).To(Equal(int64(2)))
	g.Expect(e.syncer.Fresh(c.now())).To(BeTrue())
}

// Guards against an entry that cannot start while the table is down, or that installs the version of the first peer it
// contacts.
func TestStartWhileTableIsDown(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(8)
	c.publishInstances()
	c.advance(10*time.Second, nil)
	c.setTableDown(true, allEntries(8)...)
	doc := c.commit(2)
	for i := range 5 {
		c.entries[7-i].syncer.Install(doc)
	}
	e := c.start(7)
	c.setTableDown(true, 7)
	e.syncer.CatchUp(context.Background())
	g.Expect(e.syncer.Version()).To(BeZero())
	c.advance(rolloutBound, func() { g.Expect(e.syncer.Version()).NotTo(Equal(int64(1))) })
	g.Expect(e.syncer.Version()).To(Equal(int64(2)))
	g.Expect(e.syncer.Fresh(c.now())).To(BeTrue())
}

// Guards against an entry that keeps admitting work without a version that a contacted peer has, and against an entry
// that stops because of a version that it can neither get nor find at a majority.
func TestKnownVersionThatCannotBeFetched(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(8)
	c.publishInstances()
	c.advance(10*time.Second, nil)
	c.setTableDown(true, allEntries(8)...)
	c.setPartition(func(_, to string) bool { return to == "e3" })
	c.entries[3].syncer.Install(c.commit(2))
	c.advance(20*time.Second, nil)
	for i, e := range c.entries {
		g.Expect(e.syncer.Version()).To(BeNumerically("==", map[bool]int{false: 1, true: 2}[i == 3]))
		g.Expect(e.syncer.Fresh(c.now())).To(Equal(i != 3), "entry %d", i)
	}
	c.transferDown = true
	c.setPartition(func(string, string) bool { return false })
	c.advance(rolloutBound, nil)
	for i, e := range c.entries {
		g.Expect(e.syncer.Fresh(c.now())).To(Equal(i == 3), "entry %d", i)
	}
}

// Guards against the installation of inconsistent rows: version and document rows that do not match, a malformed
// document, or a lower version.
func TestPollRejectsInvalidRows(t *testing.T) {
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
	g.Expect(s.Poll(context.Background())).To(Succeed(), "the document row alone is enough")
}

// Guards against simultaneous retries of all entries after an outage.
func TestBackoffIsBoundedAndJittered(t *testing.T) {
	g := NewWithT(t)
	s := New(Config{})
	for failures := range 40 {
		limit := min(DefaultBackoffMin<<min(failures, 10), DefaultBackoffMax)
		g.Expect(s.backoff(failures)).To(And(BeNumerically(">=", minRetryDelay), BeNumerically("<=", limit)))
	}
	g.Expect(s.backoff(40)).NotTo(Equal(s.backoff(40)))
}

// Guards against loops that are not driven by their timers or that outlive their context.
func TestRunFollowsTableUntilCancelled(t *testing.T) {
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

// Checks property P8 under network partitions, one-way partitions, pauses, restarts and outages of the table for some or all
// entries, combined in any order: no entry lowers its version, no entry admits work under an older version 7 s after an
// accept, and no entry admits work for longer than 5.25 s without any contact.
func TestAcceptedVersionIsInForceUnderAnyFaults(t *testing.T) {
	checkRollout(t, rapid.IntRange(1, 12), rapid.IntRange(eventPartition, eventRestart))
}

// Guards against faults of property P8 that need several overlapping outages, failing transfers of documents and accepts by
// entries that have just started, which the mix of events above rarely combines.
func TestAcceptedVersionIsInForceUnderLongOutages(t *testing.T) {
	checkRollout(t, rapid.IntRange(4, 20), rapid.SampledFrom([]int{
		eventPartition, eventPartition, eventOneWayPartition, eventHeal, eventHeal, eventHeal, eventTableOutage, eventTableOutage, eventTableUp,
		eventPause, eventPause, eventAccept, eventAccept, eventAccept, eventRestart, eventTransfer, eventTransfer,
	}))
}

// Events of checkRollout.
const (
	eventPartition = iota
	eventOneWayPartition
	eventHeal
	eventTableDown
	eventTableUp
	eventPause
	eventAccept
	eventRestart
	eventTransfer
	// eventTableOutage takes the table away from all entries but some.
	eventTableOutage
)

// checkRollout runs a cluster under a drawn number of drawn events and checks the promises of
// TestAcceptedVersionIsInForceUnderAnyFaults.
func checkRollout(t *testing.T, count, event *rapid.Generator[int]) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 8).Draw(t, "entries")
		c := newCluster(n)
		c.publishInstances()
		c.advance(5*time.Second, nil)
		version, accepted, acceptedAt := int64(1), int64(1), c.now()
		var pending *push
		isolatedSince := make([]time.Time, n)
		some := func(label string) []int {
			return rapid.SliceOfDistinct(rapid.IntRange(0, n-1), func(i int) int { return i }).Draw(t, label)
		}
		check := func() {
			if pending != nil && !pending.syncer.paused(c) {
				for _, m := range pending.outdatedMembers() {
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
				if c.now().Sub(acceptedAt) >= rolloutBound && v < accepted {
					t.Fatalf("%s admits work under version %d, %v after the accept of %d", e.id, v, c.now().Sub(acceptedAt), accepted)
				}
				if !isolatedSince[i].IsZero() && c.now().Sub(isolatedSince[i]) > maxAdmissionWithoutContact {
					t.Fatalf("%s admits work %v after its last contact", e.id, c.now().Sub(isolatedSince[i]))
				}
			}
		}
		for range count.Draw(t, "events") {
			clear(isolatedSince)
			switch event.Draw(t, "event") {
			case eventPartition:
				c.partition(some("side")...)
			case eventOneWayPartition:
				from, to := map[string]bool{}, map[string]bool{}
				for _, i := range some("from") {
					from[c.entries[i].id] = true
				}
				for _, i := range some("to") {
					to[c.entries[i].id] = true
				}
				c.setPartition(func(a, b string) bool { return from[a] && to[b] })
			case eventHeal:
				c.setPartition(func(string, string) bool { return false })
			case eventTableDown:
				c.setTableDown(true, some("table down")...)
			case eventTableOutage:
				c.setTableDown(true, allEntries(n)...)
				c.setTableDown(false, some("table up")...)
			case eventTransfer:
				c.transferDown = rapid.Bool().Draw(t, "transfer down")
			case eventTableUp:
				c.setTableDown(false, allEntries(n)...)
			case eventPause:
				paused := some("paused")
				for i, e := range c.entries {
					e.paused = false
					for _, p := range paused {
						e.paused = e.paused || p == i
					}
				}
			case eventRestart:
				// Entries restart one at a time: if several lose an accepted version before all entries have it,
				// and the table is down, it may no longer be held by a majority.
				if slices.ContainsFunc(c.entries, func(e *entry) bool { return e.syncer.Version() == 0 }) {
					break
				}
				i := rapid.IntRange(0, n-1).Draw(t, "restarted")
				down := c.entries[i].tableDown
				if pending != nil && pending.syncer == c.entries[i].syncer {
					pending = nil
				}
				c.start(i).tableDown = down
				if rapid.Bool().Draw(t, "list") {
					c.publishInstances()
				}
			case eventAccept:
				e := c.entries[rapid.IntRange(0, n-1).Draw(t, "accepting")]
				if e.paused || e.tableDown {
					break
				}
				version++
				doc := c.commit(version)
				e.syncer.Install(doc)
				pending = &push{syncer: e.syncer, doc: doc, holders: map[string]bool{}, changed: make(chan struct{}, 1)}
			}
			for i, e := range c.entries {
				// With two entries the one with the lowest id is a majority on its own.
				selfIsMajority, _ := e.gossip.Quorum([]string{e.id})
				isolated := e.tableDown && !selfIsMajority
				for _, other := range c.entries {
					isolated = isolated && (other == e || other.paused || c.partitioned(e.id, other.id) || c.partitioned(other.id, e.id))
				}
				if isolated {
					isolatedSince[i] = c.now()
				}
			}
			c.advance(time.Duration(rapid.IntRange(1, 48).Draw(t, "steps"))*stepInterval, check)
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
