package lease_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"samphirepoint/lease"
	"samphirepoint/services"
	"samphirepoint/services/memtable"
)

type fakeClock struct {
	mu sync.Mutex
	t  time.Time
}

func (c *fakeClock) now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.t
}

func (c *fakeClock) add(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.t = c.t.Add(d)
}

func newFakeClock() *fakeClock { return &fakeClock{t: time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)} }

// A second process must not acquire the lease before it has observed the row unchanged for longer than Duration,
// even if its wall clock is far ahead of the holder's.
func TestExpiryIgnoresWallClocks(t *testing.T) {
	g := NewWithT(t)
	ctx, tab := context.Background(), memtable.New()
	c1, c2 := newFakeClock(), newFakeClock()
	c2.add(5 * time.Hour)
	a, b := lease.New(tab, "fleet", "a", c1.now), lease.New(tab, "fleet", "b", c2.now)
	g.Expect(a.Step(ctx)).To(Succeed())
	g.Expect(b.Step(ctx)).To(Succeed())
	_, held := b.Token()
	g.Expect(held).To(BeFalse())
	c2.add(lease.Duration)
	g.Expect(b.Step(ctx)).To(Succeed())
	_, held = b.Token()
	g.Expect(held).To(BeFalse())
	c2.add(time.Millisecond)
	g.Expect(b.Step(ctx)).To(Succeed())
	token, held := b.Token()
	g.Expect(held).To(BeTrue())
	g.Expect(token).To(BeEquivalentTo(2))
}

// A holder that was paused beyond the expiry of its lease must detect this by its own clock before it calls the table,
// and a transaction that it created before the pause must fail.
func TestPausedHolderLosesLease(t *testing.T) {
	g := NewWithT(t)
	ctx, tab, c := context.Background(), memtable.New(), newFakeClock()
	a, b := lease.New(tab, "fleet", "a", c.now), lease.New(tab, "fleet", "b", c.now)
	g.Expect(a.Step(ctx)).To(Succeed())
	g.Expect(b.Step(ctx)).To(Succeed())
	stale, err := a.Condition()
	g.Expect(err).NotTo(HaveOccurred())
	c.add(30 * time.Second)
	_, err = a.Condition()
	g.Expect(err).To(MatchError(lease.ErrNotHeld))
	g.Expect(b.Step(ctx)).To(Succeed())
	_, err = tab.Commit(ctx, []services.Write{stale, {Key: "x"}})
	g.Expect(err).To(MatchError(services.ErrConflict))
	g.Expect(a.Step(ctx)).To(Succeed())
	_, held := a.Token()
	g.Expect(held).To(BeFalse())
	_, held = b.Token()
	g.Expect(held).To(BeTrue())
}

// A lost reply must not lose a lease that was written, nor extend it beyond the validity of the write.
func TestLostReply(t *testing.T) {
	g := NewWithT(t)
	ctx, tab, c := context.Background(), memtable.New(), newFakeClock()
	lose := true
	tab.SetHook(func(call memtable.Call) memtable.Fault {
		return memtable.Fault{LoseReply: lose && call.Op == memtable.OpCommit}
	})
	a := lease.New(tab, "fleet", "a", c.now)
	g.Expect(a.Step(ctx)).To(MatchError(memtable.ErrReplyLost))
	token, held := a.Token()
	g.Expect(held).To(BeTrue())
	g.Expect(token).To(BeEquivalentTo(1))
	lose = false
	c.add(lease.RenewInterval)
	g.Expect(a.Step(ctx)).To(Succeed())
	token, _ = a.Token()
	g.Expect(token).To(BeEquivalentTo(1), "a renewal is not a new holder")
}

// The lease must expire while the table is unavailable.
func TestLeaseExpiresWhileTableUnavailable(t *testing.T) {
	g := NewWithT(t)
	ctx, tab, c := context.Background(), memtable.New(), newFakeClock()
	a := lease.New(tab, "fleet", "a", c.now)
	g.Expect(a.Step(ctx)).To(Succeed())
	tab.SetHook(func(memtable.Call) memtable.Fault { return memtable.Fault{ErrBefore: errors.New("down")} })
	for range 4 {
		c.add(lease.RenewInterval)
		g.Expect(a.Step(ctx)).NotTo(Succeed())
	}
	_, err := a.Condition()
	g.Expect(err).To(MatchError(lease.ErrNotHeld))
}

// A renewal that takes effect late must not be counted from the time at which it is read back: observers count the
// lease's validity from the arrival of the write, the holder from its start.
func TestLateRenewal(t *testing.T) {
	g := NewWithT(t)
	ctx, tab, c := context.Background(), memtable.New(), newFakeClock()
	a := lease.New(tab, "fleet", "a", c.now)
	g.Expect(a.Step(ctx)).To(Succeed())
	var late []services.Write
	tab.SetHook(func(call memtable.Call) memtable.Fault {
		if call.Op == memtable.OpCommit && late == nil {
			late = call.Writes
			return memtable.Fault{ErrBefore: errors.New("reset")}
		}
		return memtable.Fault{}
	})
	c.add(2 * time.Second)
	g.Expect(a.Step(ctx)).NotTo(Succeed())
	_, err := tab.Direct().Commit(ctx, late) // arrives now
	g.Expect(err).NotTo(HaveOccurred())
	c.add(6 * time.Second)
	g.Expect(a.Step(ctx)).To(Succeed()) // finds its own late write
	_, held := a.Token()
	g.Expect(held).To(BeTrue())
	c.add(3 * time.Second) // 11 s after the start of the late renewal
	_, held = a.Token()
	g.Expect(held).To(BeFalse())
}

// Under any order of steps, pauses, lost replies and rejected calls, no two processes may consider
// themselves holder at the same time, and the token must never decrease.
func TestAtMostOneHolder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ctx, tab, c := context.Background(), memtable.New(), newFakeClock()
		fault := 0
		tab.SetHook(func(memtable.Call) memtable.Fault {
			switch fault {
			case 1:
				return memtable.Fault{LoseReply: true}
			case 2:
				return memtable.Fault{ErrBefore: errors.New("down")}
			}
			return memtable.Fault{}
		})
		var all []*lease.Lease
		for _, name := range []string{"a", "b", "c"} {
			all = append(all, lease.New(tab, "fleet", name, c.now))
		}
		highest := int64(0)
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			fault = rapid.SampledFrom([]int{0, 0, 0, 1, 2}).Draw(rt, "fault")
			i := rapid.IntRange(0, 2).Draw(rt, "process")
			if rapid.IntRange(0, 9).Draw(rt, "action") == 0 {
				_ = all[i].Release(ctx)
			} else {
				_ = all[i].Step(ctx)
			}
			c.add(time.Duration(rapid.IntRange(0, 6000).Draw(rt, "ms")) * time.Millisecond)
			holders := 0
			for _, l := range all {
				if token, held := l.Token(); held {
					holders++
					if token < highest {
						rt.Fatalf("token %d after %d", token, highest)
					}
					highest = token
				}
			}
			if holders > 1 {
				rt.Fatalf("%d holders", holders)
			}
		}
	})
}
