package upkeep

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"samphirepoint/engine"
)

// Guards against a live worker that is reported as terminated because a list of instances was outdated or incomplete: its owner would start
// its tasks again elsewhere.
func TestOutdatedListsReportNoWorkerAsTerminated(t *testing.T) {
	g := NewWithT(t)
	c := New(t.Context(), Settings{})
	// observe lists instance m with the given worker, "" for none, or not at all for "-".
	observe := func(worker string) []string {
		s := &State{Instances: map[string]Instance{"other": {ID: "other", Worker: "w-other"}}}
		if worker != "-" {
			s.Instances["m"] = Instance{ID: "m", Pool: "pumps", Worker: worker}
		}
		c.findTerminated(s)
		var out []string
		for w := range c.terminated {
			out = append(out, w)
		}
		clear(c.terminated)
		return out
	}
	for _, worker := range []string{"w-1", "-", "w-1", "", "w-1", "-", "w-1"} {
		g.Expect(observe(worker)).To(BeEmpty(), "missing once")
	}
	g.Expect(observe("w-2")).To(ConsistOf("w-1"), "another worker")
	for _, worker := range []string{"w-1", "w-2", "w-1", "w-1", "w-2"} {
		g.Expect(observe(worker)).To(BeEmpty(), "a worker that was before w-2")
	}
	g.Expect(observe("")).To(BeEmpty())
	g.Expect(observe("")).To(ConsistOf("w-2"), "no worker in two lists")
	g.Expect(observe("w-2")).To(BeEmpty(), "started again under its ID")
	g.Expect(observe("-")).To(BeEmpty())
	g.Expect(observe("-")).To(ConsistOf("w-2"))
	g.Expect(observe("-")).To(BeEmpty())
}

// absentPools records the workers that were reported as absent.
type absentPools struct {
	*testPools
	absent []string
}

func (p *absentPools) WorkerAbsent(_ context.Context, _, worker string) error {
	p.absent = append(p.absent, worker)
	return nil
}

// Guards against an owner that has just begun its term and waits for the leases of a worker that has long terminated, while the tasks
// recorded there stand still.
func TestAbsentWorkersWithRunsAreReported(t *testing.T) {
	g := NewWithT(t)
	pools := &absentPools{}
	c := New(t.Context(), Settings{Pools: pools})
	report := engine.PoolReport{Workers: []engine.WorkerReport{{ID: "w-1", Runs: 1}, {ID: "gone", Runs: 2}, {ID: "idle"}}}
	observe := func(now time.Duration, instances ...string) {
		s := &State{Now: now, Instances: map[string]Instance{}, Reports: map[string]engine.PoolReport{"pumps": report}}
		for _, w := range instances {
			s.Instances["m-"+w] = Instance{ID: "m-" + w, Worker: w}
		}
		c.reportAbsent(t.Context(), s)
	}
	observe(0, "w-1")
	observe(absentAfter-time.Millisecond, "w-1")
	g.Expect(pools.absent).To(BeEmpty())
	observe(absentAfter, "w-1")
	g.Expect(pools.absent).To(Equal([]string{"gone"}))
	observe(2*absentAfter, "w-1", "gone")
	observe(3*absentAfter, "gone")
	g.Expect(pools.absent).To(Equal([]string{"gone"}), "listed again, and the other not absent for long")
}
