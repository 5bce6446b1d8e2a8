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

// startWave registers the workers and starts a wave over the whole fleet.
func startWave(ctx context.Context, g *WithT, w *world) *Operations {
	first := w.process("starter", -1)
	for range 3 {
		w.tick(ctx)
	}
	g.Expect(first.lease.Release(ctx)).To(Succeed())
	w.procs = nil
	ops := NewOperations(w.table, w.now)
	plan, err := wave.Plan(&instance.Fleet{Instances: w.rows()}, wave.BudgetsOf(w.doc), wave.Request{ID: "wave", By: "op", Operation: "op1"}, w.now())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(ops.CreateWaves(ctx, plan)).To(Succeed())
	_, err = ops.ChangeWave(ctx, "wave", ActionStart, "op")
	g.Expect(err).NotTo(HaveOccurred())
	return ops
}

func finished(ctx context.Context, ops *Operations) bool {
	waves, err := ops.Waves(ctx)
	return err == nil && len(waves) == 1 && waves[0].Status == wave.Done
}

// Whenever the first holder dies, after any of its commits and with the reply lost, the second one must
// finish the wave: each instance maintained, none rebooted while it serves, no budget exceeded.
func TestHolderDiesAfterEachCommit(t *testing.T) {
	ctx := context.Background()
	for commits := 1; ; commits++ {
		g := NewWithT(t)
		w := newWorld(8)
		ops := startWave(ctx, g, w)
		first := w.process("a", commits)
		w.process("b", -1)
		for range 400 {
			if w.tick(ctx); finished(ctx, ops) {
				break
			}
		}
		g.Expect(w.faults).To(BeEmpty(), "death after commit %d", commits)
		waves, err := ops.Waves(ctx)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(waves[0].Status).To(Equal(wave.Done), "death after commit %d: %+v", commits, waves[0])
		g.Expect(waves[0].Count()).To(Equal(map[wave.Result]int{wave.Maintained: 8}), "death after commit %d", commits)
		for id, in := range w.rows() {
			g.Expect(in.State).To(Equal(instance.Serving))
			g.Expect(w.workers[id].reboots).To(BeNumerically(">=", 1), id)
			g.Expect(w.workers[id].draining).To(BeFalse(), id)
		}
		if !first.dead {
			t.Logf("the wave takes fewer than %d commits", commits)
			return
		}
	}
}

// A move must end in exactly one pool, wait for work in flight, and give the worker back to service.
func TestMove(t *testing.T) {
	g := NewWithT(t)
	ctx, w := context.Background(), newWorld(8)
	w.process("a", -1)
	for range 3 {
		w.tick(ctx)
	}
	w.workers["w00"].running = []drainer.Work{{ID: "r", Backer: "x"}}
	ops := NewOperations(w.table, w.now)
	m := Move{ID: "m", Instance: "w00", From: "p", To: "spare", Created: w.now(), Status: MovePending}
	g.Expect(ops.CreateMoves(ctx, m)).To(Succeed())
	for range 20 {
		w.tick(ctx)
	}
	g.Expect(w.rows()["w00"]).To(And(HaveField("Pool", "p"), HaveField("State", instance.Draining)))
	moves, err := ops.Moves(ctx)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(moves[0].Waits[0].For).To(Equal(wave.Node{Kind: wave.KindTask, Name: "r"}))
	w.workers["w00"].running = nil
	for range 4 {
		w.tick(ctx)
	}
	g.Expect(w.rows()["w00"]).To(And(HaveField("Pool", "spare"), HaveField("State", instance.Serving)))
	g.Expect(w.workers["w00"].draining).To(BeFalse())
	g.Expect(w.faults).To(BeEmpty())
}

// Failed workers must leave service after 10 s without an answer, count against the budget, come back when they
// answer, and lose their row after an hour off the list.
func TestFailures(t *testing.T) {
	g := NewWithT(t)
	ctx, w := context.Background(), newWorld(8)
	w.process("a", -1)
	for range 40 {
		w.tick(ctx)
	}
	w.workers["w00"].downTill = w.t.Add(20 * time.Second)
	w.workers["w01"].dead = true
	for range 14 {
		w.tick(ctx)
	}
	g.Expect(w.rows()["w00"].State).To(Equal(instance.Failed))
	g.Expect(w.rows()["w01"].State).To(Equal(instance.Failed))
	for range 15 {
		w.tick(ctx)
	}
	g.Expect(w.rows()["w00"].State).To(Equal(instance.Serving))
	for range 3700 {
		w.tick(ctx)
	}
	g.Expect(w.rows()).NotTo(HaveKey("w01"))
	g.Expect(w.faults).To(BeEmpty())
}

// A list that suddenly misses most instances is broken and must not fail the fleet.
func TestBrokenListIsNotTrusted(t *testing.T) {
	g := NewWithT(t)
	ctx, w := context.Background(), newWorld(8)
	p := w.process("a", -1)
	for range 40 {
		w.tick(ctx)
	}
	p.ctl.Instances = emptyList{}
	for range 60 {
		w.tick(ctx)
	}
	for id, in := range w.rows() {
		g.Expect(in.State).To(Equal(instance.Serving), id)
	}
}

type emptyList struct{}

func (emptyList) List(context.Context) ([]services.Instance, error) { return nil, nil }

// A cancelled wave must return drained instances to service and let those that reboot finish.
func TestCancel(t *testing.T) {
	g := NewWithT(t)
	ctx, w := context.Background(), newWorld(8)
	ops := startWave(ctx, g, w)
	w.process("a", -1)
	for _, f := range w.workers {
		f.running = []drainer.Work{{ID: "r", Backer: "x"}}
	}
	for range 20 {
		w.tick(ctx)
	}
	_, err := ops.ChangeWave(ctx, "wave", ActionCancel, "op")
	g.Expect(err).NotTo(HaveOccurred())
	for range 5 {
		w.tick(ctx)
	}
	for id, in := range w.rows() {
		g.Expect(in.State).To(Equal(instance.Serving), id)
		g.Expect(w.workers[id].draining).To(BeFalse(), id)
	}
	g.Expect(w.faults).To(BeEmpty())
}

// While the table is down no step may be taken, and draining instances must stay as they are.
func TestTableDown(t *testing.T) {
	g := NewWithT(t)
	ctx, w := context.Background(), newWorld(8)
	ops := startWave(ctx, g, w)
	p := w.process("a", -1)
	for _, f := range w.workers {
		f.running = []drainer.Work{{ID: "t", Task: true, Idempotent: true, Backer: "x"}}
	}
	for range 14 {
		w.tick(ctx)
	}
	before := w.rows()
	p.dead = true // its calls fail; the process itself goes on
	for range 300 {
		w.t = w.t.Add(time.Second)
		_ = p.lease.Step(ctx)
		_ = p.ctl.Step(ctx)
	}
	g.Expect(w.rows()).To(Equal(before))
	for id, f := range w.workers {
		g.Expect(f.stopped).To(BeEmpty(), id)
	}
	p.dead = false
	for range 500 {
		if w.tick(ctx); finished(ctx, ops) {
			break
		}
	}
	g.Expect(finished(ctx, ops)).To(BeTrue())
	g.Expect(w.faults).To(BeEmpty())
}
