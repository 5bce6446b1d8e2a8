package upkeep

import (
	"context"
	"errors"
	"fmt"
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

func (p *absentPools) WorkerAbsent(_ context.Context, _, worker string, _ int64) error {
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

// reportedPools records the reports on workers, which fail while unreachable is set.
type reportedPools struct {
	*testPools
	unreachable bool
	reported    []string
}

func (p *reportedPools) note(what, worker string, incarnation int64) error {
	if p.unreachable {
		return errors.New("unreachable")
	}
	p.reported = append(p.reported, fmt.Sprint(what, " ", worker, " ", incarnation))
	return nil
}

func (p *reportedPools) WorkerTerminated(_ context.Context, _, worker string, incarnation int64) error {
	return p.note("terminated", worker, incarnation)
}

func (p *reportedPools) WorkerAbsent(_ context.Context, _, worker string, incarnation int64) error {
	return p.note("absent", worker, incarnation)
}

// observeWorker reads a list with the given worker on the only instance, and then the owner's report with an incarnation of w-1, if any.
func observeWorker(t *testing.T, c *Controller, now time.Duration, worker string, incarnation int64) {
	s := &State{Now: now, Instances: map[string]Instance{"m": {ID: "m", Pool: "pumps", Worker: worker}}, Reports: map[string]engine.PoolReport{}}
	if incarnation != 0 {
		s.Reports["pumps"] = engine.PoolReport{Workers: []engine.WorkerReport{{ID: "w-1", Incarnation: incarnation, Runs: 1}}}
	}
	c.notifyTerminated(t.Context(), s)
	c.reportAbsent(t.Context(), s)
	c.noteIncarnations(s)
}

// Guards against a report that names an incarnation which has begun since the first list without the worker. The second such list may be
// outdated.
func TestReportNamesNoIncarnationThatBeganBetweenTwoLists(t *testing.T) {
	g := NewWithT(t)
	pools := &reportedPools{testPools: &testPools{}}
	c := New(t.Context(), Settings{Pools: pools})
	observeWorker(t, c, 0, "w-1", 5)
	observeWorker(t, c, time.Second, "", 6)
	observeWorker(t, c, 2*time.Second, "", 6)
	g.Expect(pools.reported).To(Equal([]string{"terminated w-1 5"}))
}

// Guards against a report on a worker that has started again under its ID since the list that lacked it was read: it must name the
// incarnation that was known before, so that the runs of the later one go on.
func TestReportsNameTheIncarnationKnownBeforeTheList(t *testing.T) {
	g := NewWithT(t)
	pools := &reportedPools{testPools: &testPools{}, unreachable: true}
	c := New(t.Context(), Settings{Pools: pools})
	observe := func(now time.Duration, worker string, incarnation int64) {
		observeWorker(t, c, now, worker, incarnation)
	}
	observe(0, "w-1", 5)
	observe(time.Second, "", 0)
	observe(2*time.Second, "", 6) // The owner knows of the next incarnation, the list was read before.
	pools.unreachable = false
	observe(3*time.Second, "w-1", 6)
	g.Expect(pools.reported).To(Equal([]string{"terminated w-1 5"}))

	pools.reported = nil
	observe(4*time.Second, "w-2", 6)
	g.Expect(pools.reported).To(Equal([]string{"terminated w-1 6"}))

	pools.reported = nil
	observe(4*time.Second+absentAfter-time.Millisecond, "w-2", 6)
	observe(4*time.Second+absentAfter, "w-2", 7)
	g.Expect(pools.reported).To(BeEmpty(), "another incarnation than the one that the lists lacked")
	observe(4*time.Second+2*absentAfter, "w-2", 7)
	g.Expect(pools.reported).To(Equal([]string{"absent w-1 7"}))

	pools.reported = nil
	observe(time.Minute, "w-3", 0)
	g.Expect(pools.reported).To(BeEmpty(), "the owner has not reported w-2, so that its incarnation is not known")
}
