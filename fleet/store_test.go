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

// Guards against races of two lease holders and operators, with lost replies, failed calls and pauses: no more instances
// may be unavailable than the budget allows, and every change must be listed in fleet/version exactly once.
func TestRacingHolders(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ctx, env := context.Background(), newTestEnv(8)
		budget := wave.Budget{Limit: 2, Backer: "x"}
		fault := 0
		var interfere func() // what the other holder does between the reads and the commit
		env.table.SetHook(func(c memtable.Call) memtable.Fault {
			switch {
			case fault == 3 && c.Op == memtable.OpCommit:
				fault = 0
				interfere()
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
			l := lease.New(env.table, LeaseName, name, env.now)
			holders = append(holders, holder{l, NewStore(env.table, l, env.now)})
		}
		ops := NewOperations(env.table, env.now)
		views := []*View{NewView(env.table, nil), NewView(env.table, nil)}
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
			interfere = func() {
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
				env.clock = env.clock.Add(time.Duration(rapid.IntRange(0, 15).Draw(rt, "s")) * time.Second)
			case 3:
				_, _ = s.Register(ctx, []services.Instance{env.workers[id].in}, "p")
			case 4, 5:
				if ops.CreateMoves(ctx, move) == nil {
					_, _ = s.StartDrain(ctx, Drain{Instance: id, Version: in.Version, Move: move.ID, Budget: budget})
				}
			case 6:
				_, _ = s.FinishMove(ctx, move)
			case 7:
				_, _ = s.Fail(ctx, id, "test")
			case 8:
				_, _ = s.Return(ctx, env.workers[id].in)
			case 9:
				_, _ = s.AbortMove(ctx, move, MoveFailed, "test")
			}
			env.checkBudgets()
			if len(env.violations) > 0 {
				rt.Fatal(env.violations)
			}
		}
		fault = 0
		for _, v := range views {
			if err := v.Refresh(ctx); err != nil {
				rt.Fatal(err)
			}
			fresh := NewView(env.table, nil)
			_ = fresh.Refresh(ctx)
			if fmt.Sprint(v.Snapshot()) != fmt.Sprint(fresh.Snapshot()) {
				rt.Fatalf("a view that read changes differs from one that read all rows:\n%v\n%v", v.Snapshot(), fresh.Snapshot())
			}
		}
	})
}

// Guards against a second write after a commit whose reply is lost: the retry must find that it took effect.
func TestLostReplyIsNotWrittenTwice(t *testing.T) {
	g := NewWithT(t)
	ctx, env := context.Background(), newTestEnv(4)
	l := lease.New(env.table, LeaseName, "a", env.now)
	g.Expect(l.Step(ctx)).To(Succeed())
	s := NewStore(env.table, l, env.now)
	lostReplies := 0
	env.table.SetHook(func(c memtable.Call) memtable.Fault {
		if c.Op == memtable.OpCommit && c.Touches(instance.Prefix) {
			lostReplies++
			return memtable.Fault{LoseReply: true}
		}
		return memtable.Fault{}
	})
	_, err := s.Register(ctx, []services.Instance{env.workers["w00"].in}, "p")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(lostReplies).To(Equal(1))
	row, err := env.table.Direct().Get(ctx, instance.KeyFleetVersion)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(row.Version).To(BeEquivalentTo(1))
}

// Guards against the commit of a holder that was paused between reading and committing, after another process has
// acquired the lease.
func TestPausedHolderCannotCommit(t *testing.T) {
	g := NewWithT(t)
	ctx, env := context.Background(), newTestEnv(4)
	a, b := lease.New(env.table, LeaseName, "a", env.now), lease.New(env.table, LeaseName, "b", env.now)
	g.Expect(a.Step(ctx)).To(Succeed())
	g.Expect(b.Step(ctx)).To(Succeed())
	paused := false
	env.table.SetHook(func(c memtable.Call) memtable.Fault {
		if !paused && c.Touches(instance.Prefix) && c.Op == memtable.OpCommit {
			paused = true // 30 s pass while the commit is in flight
			env.clock = env.clock.Add(30 * time.Second)
			g.Expect(b.Step(ctx)).To(Succeed())
		}
		return memtable.Fault{}
	})
	_, err := NewStore(env.table, a, env.now).Register(ctx, []services.Instance{env.workers["w00"].in}, "p")
	g.Expect(err).To(MatchError(lease.ErrNotHeld))
	g.Expect(env.rows()).To(BeEmpty())
	_, held := b.Token()
	g.Expect(held).To(BeTrue())
}

// Guards against a drain that was planned from an old snapshot and starts although the budget or the wave has changed.
func TestPlansAreCheckedAgain(t *testing.T) {
	g := NewWithT(t)
	ctx, env := context.Background(), newTestEnv(8)
	ops := startWave(ctx, g, env)
	l := lease.New(env.table, LeaseName, "a", env.now)
	g.Expect(l.Step(ctx)).To(Succeed())
	s, rows := NewStore(env.table, l, env.now), env.rows()
	drain := func(id string) error {
		_, err := s.StartDrain(ctx, Drain{Instance: id, Version: rows[id].Version, Wave: "wave", Budget: wave.Budget{Limit: 1, Backer: "x"}})
		return err
	}
	g.Expect(drain("w00")).To(Succeed())
	g.Expect(drain("w00")).To(Succeed(), "a retry finds its goal reached")
	g.Expect(drain("w02")).To(MatchError(ErrBudget))
	_, err := s.Serve(ctx, "w00", "wave", wave.Maintained)
	g.Expect(err).NotTo(HaveOccurred())
	rows = env.rows()
	g.Expect(drain("w00")).To(MatchError(ErrChanged), "the wave has a result for it")
	_, err = ops.ChangeWave(ctx, "wave", ActionPause, "op")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(drain("w01")).To(MatchError(ErrChanged))
}

// Guards against a view that cannot start from a peer's snapshot while the table is unavailable, keeps the peer's rows
// once the table answers, or goes back to a lower version.
func TestViewFallback(t *testing.T) {
	g := NewWithT(t)
	ctx, env := context.Background(), newTestEnv(4)
	peer := &instance.Fleet{Version: 1, Instances: map[string]instance.Instance{"old": {ID: "old"}}}
	v := NewView(env.table, func(context.Context, int64) (*instance.Fleet, error) { return peer, nil })
	env.table.SetHook(func(memtable.Call) memtable.Fault { return memtable.Fault{ErrBefore: errors.New("down")} })
	g.Expect(v.Refresh(ctx)).NotTo(Succeed())
	v.refreshFromPeer(ctx)
	g.Expect(v.Snapshot()).To(Equal(peer))
	env.table.SetHook(nil)
	l := lease.New(env.table, LeaseName, "a", env.now)
	g.Expect(l.Step(ctx)).To(Succeed())
	_, err := NewStore(env.table, l, env.now).Register(ctx, []services.Instance{env.workers["w00"].in}, "p")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(v.Refresh(ctx)).To(Succeed())
	g.Expect(v.Snapshot().Instances).To(And(HaveKey("w00"), Not(HaveKey("old"))))
	g.Expect(v.Install(&instance.Fleet{Version: 0})).To(BeEquivalentTo(1))
	g.Expect(v.Snapshot().Instances).To(HaveKey("w00"))
}

// Guards against a random delay after failures that exceeds its exponential bound of at most 8 s, and against a delay
// above 2.4 s after a successful poll.
func TestPollDelays(t *testing.T) {
	g := NewWithT(t)
	for failures := range 20 {
		longest := time.Duration(0)
		for range 200 {
			longest = max(longest, pollDelay(failures))
		}
		limit := min(500*time.Millisecond<<max(0, min(failures-1, 8)), 8*time.Second) + time.Millisecond
		if failures == 0 {
			limit = 2400 * time.Millisecond
		}
		g.Expect(longest).To(BeNumerically("<=", limit))
	}
}

// Guards against missing rows in a view that is more versions behind than fleet/version lists: it must read all rows.
func TestViewFarBehind(t *testing.T) {
	g := NewWithT(t)
	ctx, env := context.Background(), newTestEnv(recentChanges+4)
	l := lease.New(env.table, LeaseName, "a", env.now)
	g.Expect(l.Step(ctx)).To(Succeed())
	s, v := NewStore(env.table, l, env.now), NewView(env.table, nil)
	for i, id := range sortedKeys(env.workers) {
		_, err := s.Register(ctx, []services.Instance{env.workers[id].in}, "p")
		g.Expect(err).NotTo(HaveOccurred())
		if i == 0 {
			g.Expect(v.Refresh(ctx)).To(Succeed())
		}
	}
	g.Expect(v.Refresh(ctx)).To(Succeed())
	g.Expect(v.Snapshot().Instances).To(HaveLen(recentChanges + 4))
}
