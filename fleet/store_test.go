package fleet

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"samphirepoint/instance"
	"samphirepoint/lease"
	"samphirepoint/services"
	"samphirepoint/services/memtable"
	"samphirepoint/wave"
)

// Two holders and operators that race with lost replies, refused calls and pauses must never take more out
// than the budget allows, and every change must be listed in fleet/version exactly once.
func TestRacingHolders(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ctx, w := context.Background(), newWorld(8)
		budget := wave.Budget{Limit: 2, Backer: "x"}
		fault := 0
		var intrude func() // what the other holder does between the reads and the commit
		w.table.SetHook(func(c memtable.Call) memtable.Fault {
			switch {
			case fault == 3 && c.Op == memtable.OpCommit:
				fault = 0
				intrude()
			case fault == 1 && c.Op == memtable.OpCommit:
				return memtable.Fault{LoseReply: true}
			case fault == 2:
				return memtable.Fault{ErrBefore: errors.New("down")}
			}
			return memtable.Fault{}
		})
		type holder struct {
			lease *lease.Lease
			store *Store
		}
		var holders []holder
		for _, name := range []string{"a", "b"} {
			l := lease.New(w.table, LeaseName, name, w.now)
			holders = append(holders, holder{l, NewStore(w.table, l, w.now)})
		}
		ops := NewOperations(w.table, w.now)
		views := []*View{NewView(w.table, nil), NewView(w.table, nil)}
		for i := range rapid.IntRange(1, 80).Draw(rt, "steps") {
			fault = rapid.SampledFrom([]int{0, 0, 0, 1, 2, 3}).Draw(rt, "fault")
			h := rapid.IntRange(0, 1).Draw(rt, "holder")
			s, id := holders[h].store, fmt.Sprintf("w%02d", rapid.IntRange(0, 7).Draw(rt, "instance"))
			_ = views[h].Refresh(ctx)
			in := instance.Instance{ID: id}
			if f := views[h].Snapshot(); f != nil {
				in = f.Instances[id]
			}
			move := Move{ID: fmt.Sprint("m", i), Instance: id, To: "q", Status: MovePending}
			intrude = func() {
				other, moved := holders[1-h], Move{ID: fmt.Sprint("i", i), Instance: "w00", To: "q", Status: MovePending}
				_ = other.lease.Step(ctx)
				_ = ops.CreateMoves(ctx, moved)
				_ = views[1-h].Refresh(ctx)
				if f := views[1-h].Snapshot(); f != nil {
					_, _ = other.store.StartDrain(ctx, Drain{Instance: "w00", Version: f.Instances["w00"].Version, Move: moved.ID, Budget: budget})
				}
			}
			switch rapid.IntRange(0, 9).Draw(rt, "action") {
			case 0, 1:
				_ = holders[h].lease.Step(ctx)
			case 2:
				w.t = w.t.Add(time.Duration(rapid.IntRange(0, 15).Draw(rt, "s")) * time.Second)
			case 3:
				_, _ = s.Register(ctx, []services.Instance{w.workers[id].in}, "p")
			case 4, 5:
				if ops.CreateMoves(ctx, move) == nil {
					_, _ = s.StartDrain(ctx, Drain{Instance: id, Version: in.Version, Move: move.ID, Budget: budget})
				}
			case 6:
				_, _ = s.FinishMove(ctx, move)
			case 7:
				_, _ = s.Fail(ctx, id, "test")
			case 8:
				_, _ = s.Return(ctx, w.workers[id].in)
			case 9:
				_, _ = s.AbortMove(ctx, move, MoveFailed, "test")
			}
			w.checkBudgets()
			if len(w.faults) > 0 {
				rt.Fatal(w.faults)
			}
		}
		fault = 0
		for _, v := range views {
			if err := v.Refresh(ctx); err != nil {
				rt.Fatal(err)
			}
			fresh := NewView(w.table, nil)
			_ = fresh.Refresh(ctx)
			if fmt.Sprint(v.Snapshot()) != fmt.Sprint(fresh.Snapshot()) {
				rt.Fatalf("a view that read changes differs from one that read all rows:\n%v\n%v", v.Snapshot(), fresh.Snapshot())
			}
		}
	})
}

// A commit whose reply is lost must be found in place by the repeat and not be written twice.
func TestLostReplyIsNotWrittenTwice(t *testing.T) {
	g := NewWithT(t)
	ctx, w := context.Background(), newWorld(4)
	l := lease.New(w.table, LeaseName, "a", w.now)
	g.Expect(l.Step(ctx)).To(Succeed())
	s := NewStore(w.table, l, w.now)
	lost := 0
	w.table.SetHook(func(c memtable.Call) memtable.Fault {
		if c.Op == memtable.OpCommit && c.Touches(instance.Prefix) {
			lost++
			return memtable.Fault{LoseReply: true}
		}
		return memtable.Fault{}
	})
	_, err := s.Register(ctx, []services.Instance{w.workers["w00"].in}, "p")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(lost).To(Equal(1))
	row, err := w.table.Direct().Get(ctx, instance.KeyFleetVersion)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(row.Version).To(BeEquivalentTo(1))
}

// A holder that was paused between reading and committing must not commit after another one took over.
func TestPausedHolderWakes(t *testing.T) {
	g := NewWithT(t)
	ctx, w := context.Background(), newWorld(4)
	a, b := lease.New(w.table, LeaseName, "a", w.now), lease.New(w.table, LeaseName, "b", w.now)
	g.Expect(a.Step(ctx)).To(Succeed())
	g.Expect(b.Step(ctx)).To(Succeed())
	paused := false
	w.table.SetHook(func(c memtable.Call) memtable.Fault {
		if !paused && c.Touches(instance.Prefix) && c.Op == memtable.OpCommit {
			paused = true // the commit is on its way while 30 s pass
			w.t = w.t.Add(30 * time.Second)
			g.Expect(b.Step(ctx)).To(Succeed())
		}
		return memtable.Fault{}
	})
	_, err := NewStore(w.table, a, w.now).Register(ctx, []services.Instance{w.workers["w00"].in}, "p")
	g.Expect(err).To(MatchError(lease.ErrNotHeld))
	g.Expect(w.rows()).To(BeEmpty())
	_, held := b.Token()
	g.Expect(held).To(BeTrue())
}

// A drain planned from an old snapshot must be rejected when the budget or the wave changed meanwhile.
func TestPlansAreCheckedAgain(t *testing.T) {
	g := NewWithT(t)
	ctx, w := context.Background(), newWorld(8)
	ops := startWave(ctx, g, w)
	l := lease.New(w.table, LeaseName, "a", w.now)
	g.Expect(l.Step(ctx)).To(Succeed())
	s, rows := NewStore(w.table, l, w.now), w.rows()
	drain := func(id string) error {
		_, err := s.StartDrain(ctx, Drain{Instance: id, Version: rows[id].Version, Wave: "wave", Budget: wave.Budget{Limit: 1, Backer: "x"}})
		return err
	}
	g.Expect(drain("w00")).To(Succeed())
	g.Expect(drain("w00")).To(Succeed(), "a repeat finds its goal reached")
	g.Expect(drain("w02")).To(MatchError(ErrBudget))
	_, err := s.Serve(ctx, "w00", "wave", wave.Maintained)
	g.Expect(err).NotTo(HaveOccurred())
	rows = w.rows()
	g.Expect(drain("w00")).To(MatchError(ErrChanged), "the wave has a result for it")
	_, err = ops.ChangeWave(ctx, "wave", ActionPause, "op")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(drain("w01")).To(MatchError(ErrChanged))
}

// A view must start from a peer while the table is down, replace the peer's rows once the table answers, and
// never go back to a lower version.
func TestViewFallback(t *testing.T) {
	g := NewWithT(t)
	ctx, w := context.Background(), newWorld(4)
	peer := &instance.Fleet{Version: 1, Instances: map[string]instance.Instance{"old": {ID: "old"}}}
	v := NewView(w.table, func(context.Context, int64) (*instance.Fleet, error) { return peer, nil })
	w.table.SetHook(func(memtable.Call) memtable.Fault { return memtable.Fault{ErrBefore: errors.New("down")} })
	g.Expect(v.Refresh(ctx)).NotTo(Succeed())
	v.fallBack(ctx)
	g.Expect(v.Snapshot()).To(Equal(peer))
	w.table.SetHook(nil)
	l := lease.New(w.table, LeaseName, "a", w.now)
	g.Expect(l.Step(ctx)).To(Succeed())
	_, err := NewStore(w.table, l, w.now).Register(ctx, []services.Instance{w.workers["w00"].in}, "p")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(v.Refresh(ctx)).To(Succeed())
	g.Expect(v.Snapshot().Instances).To(And(HaveKey("w00"), Not(HaveKey("old"))))
	g.Expect(v.Install(&instance.Fleet{Version: 0})).To(BeEquivalentTo(1))
	g.Expect(v.Snapshot().Instances).To(HaveKey("w00"))
}

// Retries must spread out and stay within 8 s; a healthy poll must stay within 2.4 s.
func TestPollWaits(t *testing.T) {
	g := NewWithT(t)
	for failures := range 20 {
		longest := time.Duration(0)
		for range 200 {
			longest = max(longest, wait(failures))
		}
		limit := min(500*time.Millisecond<<max(0, min(failures-1, 8)), 8*time.Second) + time.Millisecond
		if failures == 0 {
			limit = 2400 * time.Millisecond
		}
		g.Expect(longest).To(BeNumerically("<=", limit))
	}
}

// A view that missed more versions than fleet/version lists must read all rows.
func TestViewFarBehind(t *testing.T) {
	g := NewWithT(t)
	ctx, w := context.Background(), newWorld(recentChanges+4)
	l := lease.New(w.table, LeaseName, "a", w.now)
	g.Expect(l.Step(ctx)).To(Succeed())
	s, v := NewStore(w.table, l, w.now), NewView(w.table, nil)
	for i, id := range sortedKeys(w.workers) {
		_, err := s.Register(ctx, []services.Instance{w.workers[id].in}, "p")
		g.Expect(err).NotTo(HaveOccurred())
		if i == 0 {
			g.Expect(v.Refresh(ctx)).To(Succeed())
		}
	}
	g.Expect(v.Refresh(ctx)).To(Succeed())
	g.Expect(v.Snapshot().Instances).To(HaveLen(recentChanges + 4))
}
