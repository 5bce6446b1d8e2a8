package engine

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against starts beyond a workspace's allotment, in a pool with idle workers, and against a capped workspace that holds up the others.
func TestStartsStayWithinTheAllotment(t *testing.T) {
	g := NewWithT(t)
	p := NewPool("pumps", 1, DefaultOptions(), 0)
	c := Clock{Now: time.Second, Wall: 1_000_000}
	p.SetWorkspaces([]Workspace{{Name: "capped", Capped: true}, {Name: "free"}})
	p.SetRoster([]WorkerInfo{{ID: "w", Address: "a:1", Capacity: Resources{CPU: 64_000, Mem: 64_000}}}, c)
	p.RenewalAnswered(p.workers["w"].target(), RenewalReply{Incarnation: 1, ClockMS: 1}, c.Now, c)
	submit := func(id, workspace string) {
		p.Submit(Spec{ID: id, Queue: "q", Workspace: workspace, Steps: []Step{{Count: 8, Need: Resources{CPU: 1000, Mem: 10}}}}, c)
	}
	place := func() Resources {
		p.RequestPlacement()
		p.Place(c)
		return p.WorkspaceDemands(c)["capped"].Used
	}
	submit("00000000000000a1", "capped")
	submit("00000000000000a2", "free")
	g.Expect(place()).To(Equal(Resources{}), "the allotment isn't known")
	g.Expect(p.WorkspaceDemands(c)["free"].Used.CPU).To(Equal(int64(8000)))
	p.SetAllotments(map[string]Allotment{"capped": {Limit: Resources{CPU: 500, Mem: Unlimited, GPU: Unlimited}}})
	g.Expect(place()).To(Equal(Resources{}))
	p.SetAllotments(map[string]Allotment{"capped": {Limit: Resources{CPU: 500, Mem: Unlimited, GPU: Unlimited}, First: Resources{CPU: Unlimited, Mem: Unlimited, GPU: Unlimited}}})
	g.Expect(place().CPU).To(Equal(int64(1000)), "one task that exceeds the cap runs alone")
	p.SetAllotments(map[string]Allotment{"capped": {Limit: Resources{CPU: 5500, Mem: Unlimited, GPU: Unlimited}}})
	g.Expect(place().CPU).To(Equal(int64(5000)))
	g.Expect(p.WorkspaceDemands(c)["capped"].Wanted.CPU).To(Equal(int64(8000)))
	p.Submit(Spec{ID: "00000000000000a3", Queue: "q", Workspace: "capped", Steps: []Step{{Count: 90, Need: Resources{CPU: 1000, Mem: 10}}}}, c)
	g.Expect(p.WorkspaceDemands(c)["capped"].Placeable.CPU).To(Equal(int64(64_000-8000+1000)), "the worker's room but for the other workspace's runs, and one task")
	lowered := p.LowerAllotments(map[string]Resources{"capped": {CPU: 2000, Mem: Unlimited, GPU: Unlimited}})
	g.Expect(lowered["capped"].CPU).To(Equal(int64(5000)), "what runs keeps its allotment")
	p.Cancel("00000000000000a1", c)
	p.Cancel("00000000000000a3", c)
	g.Expect(p.WorkspaceDemands(c)).NotTo(HaveKey("capped"))
}

// Guards against a gang that brings its workspace above the cap by more than one task.
func TestGangExceedsTheCapByOneTaskAtMost(t *testing.T) {
	g := NewWithT(t)
	p := NewPool("pumps", 1, DefaultOptions(), 0)
	c := Clock{Now: time.Second, Wall: 1_000_000}
	p.SetWorkspaces([]Workspace{{Name: "capped", Capped: true}})
	p.SetRoster([]WorkerInfo{{ID: "w", Address: "a:1", Capacity: Resources{CPU: 64_000, Mem: 64_000}}}, c)
	p.RenewalAnswered(p.workers["w"].target(), RenewalReply{Incarnation: 1, ClockMS: 1}, c.Now, c)
	p.Submit(Spec{ID: "00000000000000a1", Queue: "q", Workspace: "capped", Steps: []Step{{Count: 4, Gang: true, Need: Resources{CPU: 1000}}}}, c)
	alone := Resources{CPU: Unlimited, Mem: Unlimited, GPU: Unlimited}
	for _, x := range []struct{ limit, used int64 }{{2900, 0}, {3000, 4000}} {
		p.SetAllotments(map[string]Allotment{"capped": {Limit: Resources{CPU: x.limit}, First: alone}})
		p.Place(c)
		g.Expect(p.WorkspaceDemands(c)["capped"].Used.CPU).To(Equal(x.used))
	}
}

// Guards against a run that is counted out twice: members of a gang whose start is not stored yet, on a worker that terminates. The workspace could
// then have more running than its allotment for as long as the owner lives.
func TestRunsOfATerminatedWorkerAreCountedOutOnce(t *testing.T) {
	g := NewWithT(t)
	p := NewPool("pumps", 1, DefaultOptions(), 0)
	c := Clock{Now: time.Second, Wall: 1_000_000}
	p.SetWorkspaces([]Workspace{{Name: "capped", Capped: true}})
	p.SetRoster([]WorkerInfo{{ID: "w", Address: "a:1", Capacity: Resources{CPU: 64_000, Mem: 64_000}}}, c)
	p.RenewalAnswered(p.workers["w"].target(), RenewalReply{Incarnation: 1, ClockMS: 1}, c.Now, c)
	p.SetAllotments(map[string]Allotment{"capped": {Limit: Resources{CPU: 9000}}})
	p.Submit(Spec{ID: "00000000000000a1", Queue: "q", Workspace: "capped", Steps: []Step{{Count: 3, Gang: true, Need: Resources{CPU: 1000}}}}, c)
	p.Place(c)
	g.Expect(p.WorkspaceDemands(c)["capped"].Used.CPU).To(Equal(int64(3000)))
	p.WorkerTerminated("w", 0, c)
	g.Expect(p.WorkspaceDemands(c)["capped"].Used).To(Equal(Resources{}))
}
