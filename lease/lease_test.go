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

type clock struct {
	mu sync.Mutex
	t  time.Time
}

func (c *clock) now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.t
}

func (c *clock) add(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.t = c.t.Add(d)
}

func newClock() *clock { return &clock{t: time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)} }

// A second process must not take the lease before it has seen the row unchanged for its duration,
// even if its wall clock is far ahead of the holder's.
func TestExpiryIgnoresWallClocks(t *testing.T) {
	g := NewWithT(t)
	ctx, tab := context.Background(), memtable.New()
	c1, c2 := newClock(), newClock()
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

// A holder that was paused past its time must notice by its own clock before it asks the table, and a
// transaction that it built before the pause must fail.
func TestPausedHolder(t *testing.T) {
	g := NewWithT(t)
	ctx, tab, c := context.Background(), memtable.New(), newClock()
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

// A lost reply must neither lose a lease that was written nor count time that the write did not buy.
func TestLostReply(t *testing.T) {
	g := NewWithT(t)
	ctx, tab, c := context.Background(), memtable.New(), newClock()
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

// While the table is down the lease must run out by itself.
func TestTableDown(t *testing.T) {
	g := NewWithT(t)
	ctx, tab, c := context.Background(), memtable.New(), newClock()
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

// A renewal that arrives late must not count as fresh when it is read back: observers count from its
// arrival, the holder from its start.
func TestLateRenewal(t *testing.T) {
	g := NewWithT(t)
	ctx, tab, c := context.Background(), memtable.New(), newClock()
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

// Under any order of steps, pauses, lost replies and refused calls, no two processes may consider
// themselves holder at the same time, and the token must never fall.
func TestOneHolder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ctx, tab, c := context.Background(), memtable.New(), newClock()
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
