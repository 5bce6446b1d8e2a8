package claim

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"samphirepoint/services"
	"samphirepoint/services/memtable"
	"samphirepoint/verdict"
)

const key = "claims/b/k"

func newStore(t *testing.T, table services.Table, owner string) *Store {
	t.Helper()
	s := NewStore(table, &memtable.Objects{}, owner)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { s.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return s
}

func flush(t *testing.T, s *Store) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	s.Flush(ctx)
	NewWithT(t).Expect(ctx.Err()).To(Succeed(), "background records did not finish")
}

func record(t *testing.T, table *memtable.Table) Record {
	t.Helper()
	row, _ := table.Direct().Get(context.Background(), key)
	rec, err := decode(row.Value)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return rec
}

// nthCommit returns a hook that injects f into the n-th commit of the claim key.
func nthCommit(n int32, f memtable.Fault) memtable.Hook {
	var seen atomic.Int32
	return func(c memtable.Call) memtable.Fault {
		if c.Op == memtable.OpCommit && c.Touches(key) && seen.Add(1) == n {
			return f
		}
		return memtable.Fault{}
	}
}

// Guards against a second run of a request with the same key, and against a wrong reply to its resubmission.
func TestResubmissionOfKey(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	ctx := context.Background()
	table := memtable.New()
	s, other := newStore(t, table, "a"), newStore(t, table, "b")
	first, err := s.Acquire(ctx, key, "h")
	g.Expect(err).NotTo(HaveOccurred())

	var existing *ExistingError
	_, err = other.Acquire(ctx, key, "h")
	g.Expect(errors.As(err, &existing)).To(BeTrue())
	g.Expect(existing.Record.State).To(Equal(Claimed))
	g.Expect(existing.Record.Owner).To(Equal("a"))
	g.Expect(existing.Mismatch).To(BeFalse())

	_, err = other.Acquire(ctx, key, "another body")
	g.Expect(errors.As(err, &existing)).To(BeTrue())
	g.Expect(existing.Mismatch).To(BeTrue())

	s.Release(first)
	flush(t, s)
	second, err := other.Acquire(ctx, key, "another body")
	g.Expect(err).NotTo(HaveOccurred(), "a released key can be claimed again")

	g.Expect(other.Finish(second, Outcome{Verdict: "ran", Status: 200, Body: []byte("x")})).To(BeTrue())
	_, err = s.Acquire(ctx, key, "another body")
	g.Expect(errors.As(err, &existing)).To(BeTrue())
	g.Expect(existing.Record.State).To(Equal(Done))
	g.Expect(existing.Record.Outcome.Body).To(Equal([]byte("x")))
}

// Guards against a claim that is lost or rejected although its write took effect, or that is acquired twice.
func TestReplyOfClaimLost(t *testing.T) {
	t.Parallel()
	unknown := errors.New("connection reset")
	faults := map[string]memtable.Fault{
		"reply lost after the write":    {LoseReply: true},
		"request lost before the write": {ErrBefore: unknown},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			table := memtable.New()
			s := newStore(t, table, "a")
			table.SetHook(nthCommit(1, fault))
			c, err := s.Acquire(context.Background(), key, "h")
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(record(t, table).ClaimID).To(Equal(c.ID))
			g.Expect(s.Finish(c, Outcome{Verdict: "ran"})).To(BeTrue())
			g.Expect(record(t, table).State).To(Equal(Done))
		})
	}
}

// Guards against the reply "not run, table down" for a key that another process holds or finished, if the
// reply to the conflicting write is lost.
func TestLostConflictReplyReturnsExisting(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	table := memtable.New()
	s, other := newStore(t, table, "a"), newStore(t, table, "b")
	c, err := other.Acquire(context.Background(), key, "h")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(other.Finish(c, Outcome{Verdict: "ran", Status: 200})).To(BeTrue())
	table.SetHook(nthCommit(1, memtable.Fault{LoseReply: true}))
	_, err = s.Acquire(context.Background(), key, "h")
	var existing *ExistingError
	g.Expect(errors.As(err, &existing)).To(BeTrue(), "got %v", err)
	g.Expect(existing.Record.State).To(Equal(Done))
}

// Guards against a usable claim from a write that arrives after its process rejected the request.
func TestLateWriteOfAbandonedClaim(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	table := memtable.New()
	s := newStore(t, table, "a")
	var late services.Write
	var caught atomic.Bool
	table.SetHook(func(c memtable.Call) memtable.Fault {
		if c.Op == memtable.OpCommit && !caught.Swap(true) {
			late = c.Writes[0]
		}
		return memtable.Fault{ErrBefore: errors.New("no reply")}
	})
	_, err := s.Acquire(context.Background(), key, "h")
	g.Expect(verdict.Is(err, verdict.NotRun)).To(BeTrue(), "got %v", err)
	table.SetHook(nil)
	flush(t, s)
	g.Expect(record(t, table).State).To(Equal(Released))

	_, err = table.Direct().Commit(context.Background(), []services.Write{late})
	g.Expect(err).To(MatchError(services.ErrConflict))
	_, err = newStore(t, table, "b").Acquire(context.Background(), key, "h")
	g.Expect(err).NotTo(HaveOccurred(), "the request did not run, so a resubmission may run")
}

// Guards against a usable claim from a late write that requires the version of a released row.
func TestLateWriteOverReleasedRow(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	table := memtable.New()
	s := newStore(t, table, "a")
	first, err := s.Acquire(context.Background(), key, "h")
	g.Expect(err).NotTo(HaveOccurred())
	s.Release(first)
	flush(t, s)
	released, _ := table.Direct().Get(context.Background(), key)

	var late services.Write
	table.SetHook(func(c memtable.Call) memtable.Fault {
		if c.Op != memtable.OpCommit {
			return memtable.Fault{}
		}
		if w := c.Writes[0]; w.IfVersion == released.Version && late.Key == "" {
			late = w
		}
		if late.Key != "" {
			return memtable.Fault{ErrBefore: errors.New("no reply")}
		}
		return memtable.Fault{}
	})
	_, err = s.Acquire(context.Background(), key, "h")
	g.Expect(verdict.Is(err, verdict.NotRun)).To(BeTrue(), "got %v", err)
	table.SetHook(nil)
	flush(t, s)
	_, err = table.Direct().Commit(context.Background(), []services.Write{late})
	g.Expect(err).To(MatchError(services.ErrConflict))
}

// Guards against one conflicting row that fails the other rows of its transaction, and against a separate
// transaction for each of those rows.
func TestGroupCommitWithOneConflict(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	ctx := context.Background()
	table := memtable.New()
	_, err := table.Direct().Commit(ctx, []services.Write{{Key: "claims/b/9", Value: []byte("{}")}})
	g.Expect(err).NotTo(HaveOccurred())
	c := newCommitter(table)
	batch := make([]*pendingWrite, maxBatch)
	for i := range batch {
		batch[i] = &pendingWrite{write: services.Write{Key: fmt.Sprintf("claims/b/%d", i)}, done: make(chan commitResult, 1)}
	}
	c.commit(ctx, batch)
	for i, p := range batch {
		r := <-p.done
		if i == 9 {
			g.Expect(r.err).To(MatchError(services.ErrConflict))
			continue
		}
		g.Expect(r.err).NotTo(HaveOccurred(), "row %d", i)
	}
	g.Expect(table.Calls(memtable.OpCommit)).To(BeNumerically("<=", 13), "1 + 2 log2(64)")
}

// Guards against a reply that is delayed until the table recovers, and against an outcome that is lost in an outage.
func TestRecordThroughOutage(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	table := memtable.New()
	s := newStore(t, table, "a")
	c, err := s.Acquire(context.Background(), key, "h")
	g.Expect(err).NotTo(HaveOccurred())
	table.SetHook(func(memtable.Call) memtable.Fault { return memtable.Fault{ErrBefore: verdict.Unavailable(0, "down")} })
	begin := time.Now()
	g.Expect(s.Finish(c, Outcome{Verdict: "ran"})).To(BeFalse())
	g.Expect(time.Since(begin)).To(BeNumerically(">=", RecordTimeout))
	g.Expect(record(t, table).State).To(Equal(Claimed))
	table.SetHook(nil)
	flush(t, s)
	g.Expect(record(t, table).State).To(Equal(Done))
}

// Guards against slots that are held for claims that cannot succeed, and against a circuit breaker that stays open
// after the outage.
func TestBreakerOpensAndProbes(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	table := memtable.New()
	s := newStore(t, table, "a")
	var clock atomic.Int64
	s.now = func() time.Time { return time.Unix(0, clock.Load()) }
	table.SetHook(func(memtable.Call) memtable.Fault { return memtable.Fault{ErrBefore: verdict.Unavailable(0, "down")} })
	for i := range failureThreshold {
		g.Expect(s.Available()).To(BeTrue(), "attempt %d", i)
		_, err := s.Acquire(context.Background(), key, "h")
		g.Expect(verdict.Is(err, verdict.NotRun)).To(BeTrue())
	}
	g.Expect(s.Available()).To(BeFalse())
	calls := table.Calls(memtable.OpCommit)
	_, err := s.Acquire(context.Background(), key, "h")
	g.Expect(verdict.RetryAfter(err)).To(Equal(probeInterval))
	g.Expect(table.Calls(memtable.OpCommit)).To(Equal(calls), "no call while open")
	clock.Add(int64(probeInterval))
	table.SetHook(nil)
	_, err = s.Acquire(context.Background(), key, "h")
	g.Expect(err).NotTo(HaveOccurred(), "a successful probe closes the breaker")
	g.Expect(s.Available()).To(BeTrue())
}

// Guards against a burst of cancellations that opens the circuit breaker while the table is available.
func TestCancelledClaimsDoNotOpenTheBreaker(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	s := newStore(t, memtable.New(), "a")
	ctx, cancel := context.WithCancelCause(context.Background())
	cancel(verdict.ErrCancelled)
	for range 10 * failureThreshold {
		_, err := s.Acquire(ctx, key, "h")
		if err != nil {
			g.Expect(verdict.Is(err, verdict.NotRun)).To(BeTrue())
		}
	}
	g.Expect(s.Available()).To(BeTrue())
}

// Guards against rows that are too long for the table.
func TestLongOutcomeGoesToTheObjectStore(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	table := memtable.New()
	s := newStore(t, table, "a")
	c, err := s.Acquire(context.Background(), key, "h")
	g.Expect(err).NotTo(HaveOccurred())
	body := bytes.Repeat([]byte("x"), maxInlineBytes+1)
	g.Expect(s.Finish(c, Outcome{Verdict: "ran", Body: body})).To(BeTrue())
	o := record(t, table).Outcome
	g.Expect(o.Body).To(BeEmpty())
	g.Expect(s.Body(context.Background(), o)).To(Equal(body))
}

// Guards against a request that is sent too late by a process that was paused after its claim.
func TestSendWindow(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	c := &Claim{AcquiredAt: time.Now()}
	g.Expect(c.InWindow(c.AcquiredAt.Add(SendWindow - 1))).To(BeTrue())
	g.Expect(c.InWindow(c.AcquiredAt.Add(SendWindow))).To(BeFalse())
}

// Guards against a sweep that deletes a row which was claimed again after the sweep read it.
func TestSweepKeepsRowClaimedAgain(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	table := memtable.New()
	s := newStore(t, table, "a")
	for _, k := range []string{key, "claims/b/old"} {
		c, err := s.Acquire(context.Background(), k, "h")
		g.Expect(err).NotTo(HaveOccurred())
		s.Release(c)
	}
	flush(t, s)
	sweeper := newStore(t, table, "sweeper")
	sweeper.now = func() time.Time { return time.Now().Add(Retention + time.Minute) }
	other := newStore(t, table, "b")
	var once sync.Once
	table.SetHook(func(c memtable.Call) memtable.Fault {
		f := memtable.Fault{}
		if c.Op == memtable.OpList {
			f.AfterApply = func() {
				once.Do(func() {
					_, err := other.Acquire(context.Background(), key, "h")
					g.Expect(err).NotTo(HaveOccurred())
				})
			}
		}
		return f
	})
	deleted, err := sweeper.Sweep(context.Background())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(deleted).To(Equal(1))
	g.Expect(record(t, table).Owner).To(Equal("b"))
}
