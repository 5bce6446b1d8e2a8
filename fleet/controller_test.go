package fleet

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"samphirepoint/drainer"
	"samphirepoint/instance"
	"samphirepoint/services"
	"samphirepoint/wave"
)

// startWave registers the workers through a process that then releases the lease, and starts a wave over the whole
// fleet.
func startWave(ctx context.Context, g *WithT, env *testEnv) *Operations {
	initial := env.process("starter", -1)
	for range 3 {
		env.tick(ctx)
	}
	g.Expect(initial.lease.Release(ctx)).To(Succeed())
	env.procs = nil
	ops := NewOperations(env.table, env.now)
	plan, err := wave.Plan(&instance.Fleet{Instances: env.rows()}, wave.BudgetsOf(env.doc), wave.Request{ID: "wave", By: "op", Operation: "op1"}, env.now())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(ops.CreateWaves(ctx, plan)).To(Succeed())
	_, err = ops.ChangeWave(ctx, "wave", ActionStart, "op")
	g.Expect(err).NotTo(HaveOccurred())
	return ops
}

// finished reports whether the only wave is done.
func finished(ctx context.Context, ops *Operations) bool {
	waves, err := ops.Waves(ctx)
	return err == nil && len(waves) == 1 && waves[0].Status == wave.Done
}

// Guards against a wave that a second lease holder cannot finish. The first holder dies after each of its commits in
// turn, with the reply lost; each instance must be maintained, none rebooted while it serves, and no budget exceeded.
func TestHolderDiesAfterEachCommit(t *testing.T) {
	ctx := context.Background()
	for commits := 1; ; commits++ {
		g := NewWithT(t)
		env := newTestEnv(8)
		ops := startWave(ctx, g, env)
		first := env.process("a", commits)
		env.process("b", -1)
		for range 400 {
			if env.tick(ctx); finished(ctx, ops) {
				break
			}
		}
		g.Expect(env.violations).To(BeEmpty(), "death after commit %d", commits)
		waves, err := ops.Waves(ctx)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(waves[0].Status).To(Equal(wave.Done), "death after commit %d: %+v", commits, waves[0])
		g.Expect(waves[0].Count()).To(Equal(map[wave.Result]int{wave.Maintained: 8}), "death after commit %d", commits)
		for id, in := range env.rows() {
			g.Expect(in.State).To(Equal(instance.Serving))
			g.Expect(env.workers[id].reboots).To(BeNumerically(">=", 1), id)
			g.Expect(env.workers[id].draining).To(BeFalse(), id)
		}
		if !first.dead {
			t.Logf("the wave takes fewer than %d commits", commits)
			return
		}
	}
}

// Guards against a reboot order that arrives late and ends what the next incarnation of the worker runs.
func TestLateRebootOrderEndsNoLaterIncarnation(t *testing.T) {
	g := NewWithT(t)
	ctx, env := context.Background(), newTestEnv(8)
	ops := startWave(ctx, g, env)
	env.process("a", -1)
	env.repeatReboots = true
	for range 400 {
		if env.tick(ctx); finished(ctx, ops) {
			break
		}
	}
	g.Expect(env.violations).To(BeEmpty())
	g.Expect(finished(ctx, ops)).To(BeTrue())
	for id, f := range env.workers {
		g.Expect(f.reboots).To(Equal(1), id)
	}
}

// Guards against a move that ends in more than one pool, does not wait for work in flight, or leaves the worker
// draining.
func TestMove(t *testing.T) {
	g := NewWithT(t)
	ctx, env := context.Background(), newTestEnv(8)
	env.process("a", -1)
	for range 3 {
		env.tick(ctx)
	}
	env.workers["w00"].running = []drainer.Work{{ID: "r", Backer: "x"}}
	ops := NewOperations(env.table, env.now)
	m := Move{ID: "m", Instance: "w00", From: "p", To: "spare", Created: env.now(), Status: MovePending}
	g.Expect(ops.CreateMoves(ctx, m)).To(Succeed())
	for range 20 {
		env.tick(ctx)
	}
	g.Expect(env.rows()["w00"]).To(And(HaveField("Pool", "p"), HaveField("State", instance.Draining)))
	moves, err := ops.Moves(ctx)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(moves[0].Waits[0].For).To(Equal(wave.Node{Kind: wave.KindWork, Name: "r"}))
	env.workers["w00"].running = nil
	for range 4 {
		env.tick(ctx)
	}
	g.Expect(env.rows()["w00"]).To(And(HaveField("Pool", "spare"), HaveField("State", instance.Serving)))
	g.Expect(env.workers["w00"].draining).To(BeFalse())
	g.Expect(env.violations).To(BeEmpty())
}

// Guards against an instance that stays in service although its worker has not answered for 10 s, that does not count
// against the budget or does not return to service when the worker answers, and against a row that remains after an hour
// in which the instance is not listed.
func TestFailures(t *testing.T) {
	g := NewWithT(t)
	ctx, env := context.Background(), newTestEnv(8)
	env.process("a", -1)
	for range 40 {
		env.tick(ctx)
	}
	env.workers["w00"].downUntil = env.clock.Add(20 * time.Second)
	env.workers["w01"].dead = true
	for range 14 {
		env.tick(ctx)
	}
	g.Expect(env.rows()["w00"].State).To(Equal(instance.Failed))
	g.Expect(env.rows()["w01"].State).To(Equal(instance.Failed))
	for range 15 {
		env.tick(ctx)
	}
	g.Expect(env.rows()["w00"].State).To(Equal(instance.Serving))
	for range 3700 {
		env.tick(ctx)
	}
	g.Expect(env.rows()).NotTo(HaveKey("w01"))
	g.Expect(env.violations).To(BeEmpty())
}

// Guards against a broken instance list that suddenly misses most instances and thereby fails the whole fleet.
func TestBrokenListIsNotTrusted(t *testing.T) {
	g := NewWithT(t)
	ctx, env := context.Background(), newTestEnv(8)
	p := env.process("a", -1)
	for range 40 {
		env.tick(ctx)
	}
	p.controller.Instances = emptyList{}
	for range 60 {
		env.tick(ctx)
	}
	for id, in := range env.rows() {
		g.Expect(in.State).To(Equal(instance.Serving), id)
	}
}

type emptyList struct{}

func (emptyList) List(context.Context) ([]services.Instance, error) { return nil, nil }

// Guards against a cancelled wave that does not return drained instances to service, or does not let those that reboot
// finish.
func TestCancel(t *testing.T) {
	g := NewWithT(t)
	ctx, env := context.Background(), newTestEnv(8)
	ops := startWave(ctx, g, env)
	env.process("a", -1)
	for _, f := range env.workers {
		f.running = []drainer.Work{{ID: "r", Backer: "x"}}
	}
	for range 20 {
		env.tick(ctx)
	}
	_, err := ops.ChangeWave(ctx, "wave", ActionCancel, "op")
	g.Expect(err).NotTo(HaveOccurred())
	for range 5 {
		env.tick(ctx)
	}
	for id, in := range env.rows() {
		g.Expect(in.State).To(Equal(instance.Serving), id)
		g.Expect(env.workers[id].draining).To(BeFalse(), id)
	}
	g.Expect(env.violations).To(BeEmpty())
}

// Guards against steps taken while the table is unavailable: draining instances must stay as they are.
func TestTableDown(t *testing.T) {
	g := NewWithT(t)
	ctx, env := context.Background(), newTestEnv(8)
	ops := startWave(ctx, g, env)
	p := env.process("a", -1)
	for _, f := range env.workers {
		f.running = []drainer.Work{{ID: "t", Task: true, Idempotent: true, Backer: "x"}}
	}
	for range 14 {
		env.tick(ctx)
	}
	before := env.rows()
	p.dead = true // its table and worker calls fail; the process itself keeps running
	for range 300 {
		env.clock = env.clock.Add(time.Second)
		_ = p.lease.Step(ctx)
		_ = p.controller.Step(ctx)
	}
	g.Expect(env.rows()).To(Equal(before))
	for id, f := range env.workers {
		g.Expect(f.stopped).To(BeEmpty(), id)
	}
	p.dead = false
	for range 500 {
		if env.tick(ctx); finished(ctx, ops) {
			break
		}
	}
	g.Expect(finished(ctx, ops)).To(BeTrue())
	g.Expect(env.violations).To(BeEmpty())
}
