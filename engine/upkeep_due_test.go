package engine

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Load pattern: a wave of upkeep that covers half of a pool with long-running tasks. Guards against tasks that leave one instance for
// another that is due as well, which makes the wave last several times as long.
func TestEvacuatedTasksAvoidWorkersDueForUpkeep(t *testing.T) {
	g := NewWithT(t)
	w := newTestPool(5)
	for _, id := range []string{"00000000000000d1", "00000000000000d2", "00000000000000d3"} {
		spec := longRunning(id, 1)
		spec.Steps[0].Need.CPU = 30000 // two fit on a worker
		w.pool.Submit(spec, w.clock())
		w.run(time.Second)
	}
	var due []string
	for id, f := range w.workers {
		if len(f.running) > 0 {
			due = append(due, id)
		}
	}
	g.Expect(due).To(HaveLen(2))
	slices.Sort(due)
	w.pool.SetUpkeepDue(due, w.now+time.Minute)
	for _, id := range due {
		for range 100 {
			w.pool.Cordon(id, w.now+100*time.Millisecond, w.clock())
			w.run(50 * time.Millisecond)
		}
		w.pool.SetUpkeepDue([]string{id}, 0)
	}
	stops := 0
	for _, o := range w.orders {
		if o.Kind == OrderStop {
			stops++
		}
	}
	g.Expect(stops).To(Equal(3), "each task leaves its worker once")
}

// Load pattern: a task whose run takes ten times as long as the others, on an instance that is due for upkeep. Guards against a wave that
// ends late for a single run although that could go on elsewhere from its checkpoint, and against lost work of one without a checkpoint.
func TestLongRunsWithCheckpointLeaveCordonedWorker(t *testing.T) {
	g := NewWithT(t)
	w := newTestPool(2)
	for n, checkpointed := range []bool{true, false} {
		w.pool.Submit(oneStep([]string{"00000000000000e1", "00000000000000e2"}[n], Step{Count: 1, Need: Resources{CPU: 1000, Mem: 100}, Checkpointed: checkpointed}), w.clock())
	}
	w.run(100 * time.Millisecond)
	task := w.pool.Job("00000000000000e1").task(TaskID{Job: "00000000000000e1"}, false)
	task.checkpoint = "saved"
	first := task.live[0].Worker.ID
	for range 2 * minCheckpointedRun / (50 * time.Millisecond) {
		w.pool.Cordon(first, w.now+time.Second, w.clock())
		w.run(50 * time.Millisecond)
	}
	g.Expect(task.live[0].Worker.ID).NotTo(Equal(first))
	g.Expect(w.orders[len(w.orders)-1].Checkpoint).To(Equal("saved"))
	g.Expect(w.countRuns("00000000000000e2.0.0.0")).To(Equal(1))
	g.Expect(w.workers[first].running).To(HaveKey("00000000000000e2.0.0.0#1"), "its work would be lost")
}
