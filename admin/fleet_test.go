package admin_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"samphirepoint/admin"
	"samphirepoint/auth"
	"samphirepoint/fleet"
	"samphirepoint/instance"
	"samphirepoint/services/memtable"
	"samphirepoint/table"
	"samphirepoint/wave"
)

// newFleetFixture returns a client of an entry with pools a (2 instances) and b (1) and spare pool s (2), and the table of the
// entry.
func newFleetFixture(t *testing.T, role auth.Role) (admin.FleetClient, *memtable.Table) {
	tab := memtable.New()
	doc := &table.Document{Version: 3,
		Backers: []table.Backer{{Name: "x", MaxUnavailable: 1}, {Name: "y", MaxUnavailable: 0}},
		Pools:   []table.Pool{{Name: "a"}, {Name: "b"}, {Name: "s", Spare: true}},
		Queues:  []table.Queue{{Name: "q", Pools: []string{"a"}, Backers: []string{"x"}}, {Name: "r", Pools: []string{"b"}, Backers: []string{"y"}}}}
	f := &instance.Fleet{Version: 9, Instances: map[string]instance.Instance{}}
	for id, pool := range map[string]string{"a1": "a", "a2": "a", "b1": "b", "s1": "s", "s2": "s"} {
		f.Instances[id] = instance.Instance{ID: id, Pool: pool, State: instance.Serving, Slots: 8, Zone: "z", Rack: "r" + id}
	}
	mux := http.NewServeMux()
	admin.RegisterFleet(mux, admin.FleetOptions{Operations: fleet.NewOperations(tab, time.Now), Verifier: roleNameVerifier{},
		Fleet: func() *instance.Fleet { return f }, Document: func() *table.Document { return doc }})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return admin.FleetClient{Caller: admin.NewClient([]string{server.URL}, string(role)+":ada", &http.Client{})}, tab
}

// Guards against pool descriptions without the budget or the backer that sets it.
func TestPools(t *testing.T) {
	g := NewWithT(t)
	c, _ := newFleetFixture(t, auth.RoleViewer)
	r, err := c.Pools(ctx)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(r.Pools[0]).To(And(HaveField("Instances", 2), HaveField("Budget", 1), HaveField("Backer", "x")))
	g.Expect(r.Pools[2]).To(HaveField("Budget", -1))
	_, err = c.Pool(ctx, "nope")
	g.Expect(err).To(MatchError(ContainSubstring("expected one of a, b, s")))
}

// Guards against further moves when a request is repeated after a lost reply, moves created by a dry run, and moves that a
// viewer creates.
func TestGrowIsIdempotent(t *testing.T) {
	g := NewWithT(t)
	c, tab := newFleetFixture(t, auth.RoleOperator)
	body := admin.MoveBody{Operation: "op", Count: 1, DryRun: true}
	r, err := c.Move(ctx, "a", "grow", body)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(r.Moves).To(HaveLen(1))
	g.Expect(tab.Calls(memtable.OpCommit)).To(BeZero())
	body.DryRun = false
	tab.SetHook(func(call memtable.Call) memtable.Fault {
		return memtable.Fault{LoseReply: call.Op == memtable.OpCommit && call.N == 1}
	})
	for range 2 {
		r, err = c.Move(ctx, "a", "grow", body)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(r.Moves).To(ConsistOf(HaveField("ID", "op-1")))
	}
	all, err := c.Moves(ctx)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(all.Moves).To(ConsistOf(And(HaveField("Instance", "s1"), HaveField("To", "a"), HaveField("By", "ada"))))
	_, err = c.Move(ctx, "a", "grow", admin.MoveBody{Count: 2})
	g.Expect(err).To(MatchError(ContainSubstring("has 1 serving instances that are not moving yet, 2 are requested")))
	viewer, _ := newFleetFixture(t, auth.RoleViewer)
	_, err = viewer.Move(ctx, "a", "grow", admin.MoveBody{Count: 1})
	g.Expect(err).To(MatchError(ContainSubstring("needs role operator")))
}

// Guards against waves that cannot be controlled over HTTP: planning reports blockers, repeated requests succeed, and invalid
// requests are rejected.
func TestMaintenance(t *testing.T) {
	g := NewWithT(t)
	c, _ := newFleetFixture(t, auth.RoleOperator)
	plan := admin.PlanBody{Operation: "op", ID: "w1", Length: "90m"}
	for range 2 {
		r, err := c.Plan(ctx, plan)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(r.Waves[0].Instances()).To(Equal([]string{"a1", "a2", "b1", "s1", "s2"}))
		g.Expect(r.Waves[0].Length).To(Equal(90 * time.Minute))
		g.Expect(r.Blockers).To(ConsistOf(HaveField("For", wave.Node{Kind: wave.KindBacker, Name: "y"})))
	}
	_, err := c.Plan(ctx, admin.PlanBody{Operation: "other", ID: "w1"})
	g.Expect(err).To(MatchError(ContainSubstring("exists, created by ada")))
	for _, a := range []fleet.WaveAction{fleet.ActionStart, fleet.ActionStart, fleet.ActionPause, fleet.ActionResume, fleet.ActionCancel} {
		_, err := c.ChangeWave(ctx, "w1", a)
		g.Expect(err).NotTo(HaveOccurred(), string(a))
	}
	_, err = c.ChangeWave(ctx, "w1", fleet.ActionStart)
	g.Expect(err).To(MatchError(ContainSubstring("it is cancelled")))
	_, err = c.Plan(ctx, admin.PlanBody{Length: "soon"})
	g.Expect(err).To(MatchError(ContainSubstring("expected a positive duration")))
	r, err := c.Plan(ctx, admin.PlanBody{Cycle: true, DryRun: true})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(r.Shortfalls).To(ConsistOf(HaveField("Pool", "b")))
}
