package wave

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"samphirepoint/instance"
	"samphirepoint/table"
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// fleetOf returns a fleet of n instances, assigned to pools round-robin and to racks of four, which are assigned to
// zones round-robin.
func fleetOf(n, pools, zones int) *instance.Fleet {
	f := &instance.Fleet{Version: 1, Instances: map[string]instance.Instance{}}
	for i := range n {
		rack := i / 4
		id := fmt.Sprintf("w%03d", i)
		f.Instances[id] = instance.Instance{ID: id, Pool: fmt.Sprintf("p%d", i%pools), Zone: fmt.Sprintf("z%d", rack%zones),
			Rack: fmt.Sprintf("r%d", rack), State: instance.Serving, Slots: 8}
	}
	return f
}

func updateInstance(f *instance.Fleet, id string, change func(*instance.Instance)) {
	in := f.Instances[id]
	change(&in)
	f.Instances[id] = in
}

// The lowest maxUnavailable among the backers of all queues that use a pool must determine its budget; a pool without
// queues must be unlimited.
func TestBudgetsOf(t *testing.T) {
	g := NewWithT(t)
	doc := &table.Document{
		Backers: []table.Backer{{Name: "a", MaxUnavailable: 3}, {Name: "b", MaxUnavailable: 1}, {Name: "c", MaxUnavailable: 0}},
		Pools:   []table.Pool{{Name: "x"}, {Name: "y"}, {Name: "parked", Spare: true}},
		Queues:  []table.Queue{{Name: "q", Pools: []string{"x", "y"}, Backers: []string{"a", "b"}}, {Name: "r", Pools: []string{"y"}, Backers: []string{"a"}}},
	}
	b := BudgetsOf(doc)
	g.Expect(b).To(Equal(Budgets{"x": {1, "b"}, "y": {1, "b"}, "parked": {Limit: Unlimited}}))
	for pool, budget := range b {
		if limit, used := table.PoolBudget(doc, pool); used {
			g.Expect(budget.Limit).To(Equal(limit), "the table preview must show the same budget")
		}
	}
}

// simulation applies the planner's steps to a fleet with failures, as the controller does.
type simulation struct {
	t          *rapid.T
	now        time.Time
	f          *instance.Fleet
	budgets    Budgets
	waves      []*Wave
	failures   []Failure
	maintained map[string]int
}

func (s *simulation) wave(id string) *Wave {
	i := slices.IndexFunc(s.waves, func(w *Wave) bool { return w.ID == id })
	return s.waves[i]
}

func (s *simulation) step() {
	var active []*Wave
	for _, w := range s.waves {
		if !w.Status.Ended() {
			active = append(active, w)
		}
	}
	for _, st := range Next(Input{Now: s.now, Fleet: s.f, Budgets: s.budgets, Waves: active, Failures: s.failures}) {
		s.apply(st)
	}
}

func (s *simulation) apply(st Step) {
	w := s.wave(st.Wave)
	switch st.Kind {
	case StepStart:
		w.Start(s.now)
	case StepDrain:
		s.drain(w, st)
	case StepSettle:
		w.Settle(st.Instance, st.Result)
	case StepPause:
		w.Status, w.Pause = Paused, st.Pause
	case StepResume:
		w.Status, w.Pause = Running, nil
	case StepFinish:
		w.Status = Done
	case StepYield:
		w.YieldTo = st.YieldTo
		for id, in := range s.f.Instances {
			if in.Wave == w.ID && in.State == instance.Draining {
				s.serve(id)
			}
		}
	case StepWait:
		if len(st.Waits) == 0 || st.Waits[0].For.Name == "" {
			s.t.Fatalf("wait without a cause: %+v", st)
		}
	}
}

func (s *simulation) drain(w *Wave, st Step) {
	in := s.f.Instances[st.Instance]
	if in.State != instance.Serving || w.Status != Running {
		s.t.Fatalf("drain of an instance in state %s by a wave in status %s", in.State, w.Status)
	}
	for _, id := range UnavailableInstances(s.f, in.Pool) {
		if o := s.f.Instances[id]; o.Wave != "" && (o.Rack != in.Rack || o.Zone != in.Zone) {
			s.t.Fatalf("pool %s maintains racks %s and %s at the same time", in.Pool, o.Rack, in.Rack)
		}
	}
	updateInstance(s.f, st.Instance, func(in *instance.Instance) { in.State, in.Wave, in.Since = instance.Draining, w.ID, s.now })
	if unavailable := UnavailableInstances(s.f, in.Pool); len(unavailable) > s.budgets.Of(in.Pool).Limit {
		s.t.Fatalf("pool %s has %v unavailable, budget %d", in.Pool, unavailable, s.budgets.Of(in.Pool).Limit)
	}
}

func (s *simulation) serve(id string) {
	updateInstance(s.f, id, func(in *instance.Instance) { in.State, in.Wave, in.TargetPool = instance.Serving, "", "" })
}

// advance moves an instance to its next state.
func (s *simulation) advance(id string) {
	in := s.f.Instances[id]
	switch in.State {
	case instance.Draining:
		if in.TargetPool != "" {
			updateInstance(s.f, id, func(in *instance.Instance) { in.Pool = in.TargetPool })
			s.serve(id)
			return
		}
		w := s.wave(in.Wave)
		for _, peer := range w.RackPeers(id, s.f) {
			if s.f.Instances[peer].Wave != w.ID {
				return
			}
		}
		updateInstance(s.f, id, func(in *instance.Instance) { in.State = instance.Rebooting })
	case instance.Rebooting:
		s.wave(in.Wave).Settle(id, Maintained)
		s.maintained[id]++
		s.serve(id)
	}
}

func (s *simulation) fail(id string) {
	in := s.f.Instances[id]
	if in.Wave != "" {
		s.wave(in.Wave).Settle(id, Failed)
	}
	s.failures = append(s.failures, Failure{Instance: id, Zone: in.Zone, Rack: in.Rack, At: s.now})
	updateInstance(s.f, id, func(in *instance.Instance) { in.State, in.Wave, in.TargetPool = instance.Failed, "", "" })
}

// With random waves, moves, failures and recoveries, no step may exceed a budget, maintain two racks of a pool at the
// same time or drain an instance twice. Once failures stop, all waves must end.
func TestWavesKeepBudgets(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		pools := rapid.IntRange(1, 4).Draw(rt, "pools")
		s := &simulation{t: rt, now: start, f: fleetOf(rapid.IntRange(4, 40).Draw(rt, "n"), pools, 3), budgets: Budgets{}, maintained: map[string]int{}}
		for p := range pools {
			s.budgets[fmt.Sprintf("p%d", p)] = Budget{rapid.IntRange(1, 4).Draw(rt, "limit"), "b"}
		}
		for i := range rapid.IntRange(1, 3).Draw(rt, "waves") {
			r := Request{ID: fmt.Sprint("wave", i), RackAtOnce: rapid.Bool().Draw(rt, "rack"), Length: time.Hour}
			w, err := Plan(s.f, s.budgets, r, start.Add(time.Duration(i)))
			if err != nil {
				continue
			}
			w.Start(s.now)
			s.waves = append(s.waves, w)
		}
		ids := slices.Sorted(func(yield func(string) bool) {
			for id := range s.f.Instances {
				if !yield(id) {
					return
				}
			}
		})
		for range rapid.IntRange(0, 80).Draw(rt, "events") {
			s.now = s.now.Add(time.Duration(rapid.IntRange(0, 60).Draw(rt, "s")) * time.Second)
			id := rapid.SampledFrom(ids).Draw(rt, "instance")
			switch rapid.IntRange(0, 9).Draw(rt, "event") {
			case 0:
				s.fail(id)
			case 1:
				if s.f.Instances[id].State == instance.Failed {
					s.serve(id)
				}
			case 2:
				if in := s.f.Instances[id]; in.State == instance.Serving && len(UnavailableInstances(s.f, in.Pool)) < s.budgets.Of(in.Pool).Limit {
					updateInstance(s.f, id, func(in *instance.Instance) { in.State, in.TargetPool = instance.Draining, "p0" })
				}
			default:
				s.advance(id)
			}
			s.step()
		}
		s.checkWavesEnd(rt, ids)
	})
}

// checkWavesEnd ends all failures, resumes paused waves and checks that all waves end before their deadlines.
func (s *simulation) checkWavesEnd(rt *rapid.T, ids []string) {
	s.failures = nil
	for _, id := range ids {
		if s.f.Instances[id].State == instance.Failed {
			s.serve(id)
		}
	}
	for _, w := range s.waves {
		if w.Status == Paused {
			w.Status, w.Pause = Running, nil
		}
		w.Deadline = s.now.Add(time.Hour)
	}
	for range 600 {
		s.now = s.now.Add(time.Second)
		s.step()
		for _, id := range ids {
			s.advance(id)
		}
	}
	for _, w := range s.waves {
		if w.Status != Done {
			rt.Fatalf("wave %s is %s: %v, YieldTo %q", w.ID, w.Status, w.Results, w.YieldTo)
		}
	}
	for id, n := range s.maintained {
		if n > len(s.waves) {
			rt.Fatalf("instance %s maintained %d times by %d waves", id, n, len(s.waves))
		}
	}
}

// Two waves that reboot whole racks, each holding the budget that the other one needs, would wait for each other until
// their deadlines: the younger one must yield.
func TestYoungerWaveYieldsInWaitCycle(t *testing.T) {
	g := NewWithT(t)
	f := &instance.Fleet{Instances: map[string]instance.Instance{}}
	budgets := Budgets{"p": {1, "b"}, "q": {1, "b"}}
	for _, in := range []instance.Instance{
		{ID: "a1", Rack: "ra", Pool: "p", State: instance.Draining, Wave: "a"}, {ID: "a2", Rack: "ra", Pool: "q", State: instance.Serving},
		{ID: "b1", Rack: "rb", Pool: "p", State: instance.Serving}, {ID: "b2", Rack: "rb", Pool: "q", State: instance.Draining, Wave: "b"},
	} {
		f.Instances[in.ID] = in
	}
	var waves []*Wave
	for i, rack := range []string{"a", "b"} {
		w, err := Plan(f, budgets, Request{ID: rack, Rack: "r" + rack, RackAtOnce: true}, start.Add(time.Duration(i)))
		g.Expect(err).NotTo(HaveOccurred())
		w.Start(start)
		waves = append(waves, w)
	}
	steps := Next(Input{Now: start, Fleet: f, Budgets: budgets, Waves: waves})
	last := steps[len(steps)-1]
	g.Expect(last.Kind).To(Equal(StepYield))
	g.Expect([]string{last.Wave, last.YieldTo}).To(Equal([]string{"b", "a"}))
	for _, s := range steps[:len(steps)-1] {
		g.Expect(s.Kind).To(Equal(StepWait), "%+v", s)
	}
}

// Two failures in the active zone of a wave must pause it until an operator resumes it. Failures that only use up the
// budget must pause it until they are resolved.
func TestPauseOnFailures(t *testing.T) {
	g := NewWithT(t)
	f := fleetOf(24, 1, 2)
	budgets := Budgets{"p0": {2, "b"}}
	w, err := Plan(f, budgets, Request{ID: "w"}, start)
	g.Expect(err).NotTo(HaveOccurred())
	w.Start(start)
	in := Input{Now: start.Add(30 * time.Second), Fleet: f, Budgets: budgets, Waves: []*Wave{w},
		Failures: []Failure{{"w000", "z0", "r0", start}, {"w001", "z0", "r0", start.Add(20 * time.Second)}}}
	g.Expect(Next(in)[0].Pause).To(HaveField("Auto", false))
	w.Resumed = start.Add(25 * time.Second)
	g.Expect(Next(in)[0].Kind).To(Equal(StepDrain), "the operator resumed the wave after these failures")

	in.Failures = nil
	for _, id := range []string{"w020", "w021"} {
		updateInstance(f, id, func(in *instance.Instance) { in.State = instance.Failed })
	}
	s := Next(in)[0]
	g.Expect(s.Pause).To(HaveField("Auto", true))
	w.Status, w.Pause = Paused, s.Pause
	g.Expect(Next(in)).To(BeEmpty())
	updateInstance(f, "w020", func(in *instance.Instance) { in.State = instance.Serving })
	g.Expect(Next(in)[0].Kind).To(Equal(StepResume))
}

// A rack whose instances can never be unavailable together must be rejected when the wave is planned, not at its
// deadline.
func TestPlanRejectsRackBeyondBudget(t *testing.T) {
	g := NewWithT(t)
	_, err := Plan(fleetOf(8, 1, 1), Budgets{"p0": {2, "b"}}, Request{RackAtOnce: true}, start)
	g.Expect(err).To(MatchError(ContainSubstring("budget is 2")))
}

// The fleet size expected in two years must fit into 4 weeks with a budget of 2 per pool, with each instance maintained
// once and one zone per day. A pool without budget must be reported as a shortfall, not dropped.
func TestCycleOfWholeFleet(t *testing.T) {
	g := NewWithT(t)
	f := fleetOf(1500, 67, 5)
	budgets := Budgets{}
	for p := range 67 {
		budgets[fmt.Sprintf("p%d", p)] = Budget{2, "b"}
	}
	plan := Cycle(f, budgets, DefaultCycle(start))
	g.Expect(plan.Shortfalls).To(BeEmpty())
	seen := map[string]int{}
	for _, d := range plan.Days {
		g.Expect(d.Date).To(BeTemporally("<", start.AddDate(0, 0, 28)))
		for _, gr := range d.Groups {
			g.Expect(gr.Zone).To(Equal(d.Zone))
			for _, id := range gr.Instances {
				seen[id]++
			}
		}
	}
	g.Expect(seen).To(HaveLen(1500))
	g.Expect(seen).To(HaveEach(1))
	g.Expect(len(plan.Days)).To(BeNumerically("<=", 21))

	budgets["p0"] = Budget{0, "strict"}
	g.Expect(Cycle(f, budgets, DefaultCycle(start)).Shortfalls).To(ContainElement(HaveField("Reason", ContainSubstring("strict"))))
}
