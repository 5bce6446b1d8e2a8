package upkeep

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"samphirepoint/engine"
)

const testRoom = 64000

// fleet builds a state with n instances in each pool, all up and idle, and a spare pool.
func fleet(now time.Duration, sizes map[string]int) *State {
	s := &State{Now: now, Instances: map[string]Instance{}, Duties: map[string]Duty{}, Reports: map[string]engine.PoolReport{}, Spare: map[string]bool{"common": true}, Baseline: map[string]int{}}
	for pool, n := range sizes {
		s.Baseline[pool] = n
		r := engine.PoolReport{CapacityCPU: int64(n) * testRoom}
		for k := range n {
			id := fmt.Sprintf("%s-%02d", pool, k)
			s.Instances[id] = Instance{ID: id, Pool: pool, State: StateUp, Worker: "w-" + id, CapacityCPU: testRoom}
			r.Workers = append(r.Workers, engine.WorkerReport{ID: "w-" + id, CapacityCPU: testRoom, Usable: true})
		}
		if pool != "common" {
			s.Reports[pool] = r
		}
	}
	return s
}

// feed observes a constant rate of arriving work, in cores, for a while.
func feed(f *Forecast, pool string, cores float64, from, length time.Duration, room float64) time.Duration {
	const dt = 250 * time.Millisecond
	for t := from; t < from+length; t += dt {
		f.Observe(pool, engine.PoolReport{ArrivalCPU: int64(cores * 1000)}, room, t)
	}
	return from + length
}

// Load pattern: demand by turns, a twentieth of the room and then more than it. Guards against noise being taken for a turn,
// and against a turn that is seen too late to help.
func TestForecastSeesTurns(t *testing.T) {
	g := NewWithT(t)
	f := NewForecast()
	room := 10.0 * testRoom
	now := feed(f, "pumps", 30, 0, 8*time.Second, room)
	g.Expect(f.Expecting("pumps", now)).To(BeFalse())
	now = feed(f, "pumps", 760, now, 1500*time.Millisecond, room)
	g.Expect(f.Expecting("pumps", now)).To(BeTrue(), "seen within 1.5 s")
	now = feed(f, "pumps", 760, now, 6*time.Second, room)
	g.Expect(f.Quiet("pumps", now)).To(BeFalse())
	now = feed(f, "pumps", 30, now, 5*time.Second, room)
	g.Expect(f.Expecting("pumps", now)).To(BeFalse())
}

// Load pattern: single large jobs seconds apart. Guards against giving instances away after a burst that was no turn.
func TestForecastIgnoresSingleJobs(t *testing.T) {
	g := NewWithT(t)
	f := NewForecast()
	now := time.Duration(0)
	for range 10 {
		now = feed(f, "routes", 380, now, 1250*time.Millisecond, 12*testRoom)
		now = feed(f, "routes", 0, now, 1250*time.Millisecond, 12*testRoom)
	}
	g.Expect(f.Quiet("routes", now)).To(BeFalse())
}

// Load pattern: one pool in its turn, the others idle. Guards against a surge that is left to the pool's own instances.
func TestMovesFollowTheTurn(t *testing.T) {
	g := NewWithT(t)
	f := NewForecast()
	s := fleet(0, map[string]int{"pumps": 9, "routes": 12, "common": 8})
	feed(f, "routes", 30, 0, 4*time.Second, 12*testRoom)
	s.Now = feed(f, "pumps", 800, 0, 4*time.Second, 9*testRoom)
	moves := s.PlanMoves(f, map[string]time.Duration{})
	g.Expect(len(moves)).To(BeNumerically(">=", 6))
	for id, to := range moves {
		g.Expect(to).To(Equal("pumps"))
		g.Expect(s.Instances[id].Pool).To(Equal("common"), "instances that nobody pays for come first")
	}
}

// Load pattern: a turn that is over. Guards against paying for idle instances until the end of the day, and against taking
// those on which something runs.
func TestQuietPoolGivesBack(t *testing.T) {
	g := NewWithT(t)
	f := NewForecast()
	s := fleet(0, map[string]int{"pumps": 9, "routes": 12, "slips": 11, "common": 1})
	feed(f, "slips", 10, 0, 16*time.Second, 11*testRoom)
	now := feed(f, "pumps", 700, 0, 8*time.Second, 9*testRoom)
	feed(f, "routes", 700, now, 4*time.Second, 12*testRoom)
	now = feed(f, "pumps", 10, now, 4*time.Second, 9*testRoom)
	s.Now = now
	r := s.Reports["pumps"]
	r.Workers[0].Runs, r.Workers[0].LongRunning, r.Workers[0].UsedCPU = 1, 1, 5000
	r.UsedCPU, r.LongRunningCPU = 5000, 5000
	s.Reports["pumps"] = r
	since := map[string]time.Duration{}
	s.PlanMoves(f, since)
	s.Now += 2 * time.Second
	moves := s.PlanMoves(f, since)
	back := 0
	for id, to := range moves {
		g.Expect(id).NotTo(Equal("pumps-00"), "a task that lasts is there")
		if to == "common" || to == "routes" {
			back++
		}
	}
	g.Expect(back).To(BeNumerically(">=", 5))
}

// Guards against more instances down than the wave's cap, whatever is known of earlier orders.
func TestWaveKeepsItsCap(t *testing.T) {
	g := NewWithT(t)
	s := fleet(0, map[string]int{"pumps": 9, "routes": 12, "common": 8})
	w := Wave{ID: 1, Cap: 4, Duration: 25 * time.Second}
	for id := range s.Instances {
		w.Instances = append(w.Instances, id)
	}
	g.Expect(s.PlanWave(w, nil)).To(HaveLen(4))
	s.Duties["common-00"] = Duty{Wave: 1, Open: true, Worker: "w-common-00"}
	s.Duties["common-01"] = Duty{Wave: 1, Begun: []int64{1}, Worker: "w-common-01"}
	g.Expect(s.PlanWave(w, nil)).To(HaveLen(2), "one order is open, one instance has not come back")
	i := s.Instances["common-01"]
	i.Worker = "w-new"
	s.Instances["common-01"] = i
	g.Expect(s.PlanWave(w, nil)).To(HaveLen(3))
}

// Load pattern: a wave at the peak of a pool. Guards against taking the instances of the pool that needs them most.
func TestWaveSparesThePoolInItsTurn(t *testing.T) {
	g := NewWithT(t)
	s := fleet(0, map[string]int{"pumps": 8, "routes": 8})
	r := s.Reports["pumps"]
	r.UsedCPU = r.CapacityCPU
	s.Reports["pumps"] = r
	w := Wave{ID: 1, Cap: 8, Duration: 60 * time.Second}
	for id := range s.Instances {
		w.Instances = append(w.Instances, id)
	}
	for _, id := range s.PlanWave(w, nil) {
		g.Expect(s.Instances[id].Pool).To(Equal("routes"))
	}
	s.Now = 55 * time.Second
	g.Expect(s.PlanWave(w, nil)).To(HaveLen(8), "time runs out")
}

// Guards against an instance of a wave being forgotten, and against waiting for one that has left the fleet.
func TestWaveCompletesWithWhatStays(t *testing.T) {
	g := NewWithT(t)
	s := fleet(0, map[string]int{"pumps": 2})
	w := Wave{ID: 3, Cap: 4, Instances: []string{"pumps-00", "pumps-01", "gone"}}
	s.Duties["pumps-00"] = Duty{Begun: []int64{3}}
	g.Expect(s.Left(w)).To(ConsistOf("pumps-01"))
}

// Guards against a successor that forgets whose turn is over and brings every pool back to its first size.
func TestTurnsOutliveTheirHolder(t *testing.T) {
	g := NewWithT(t)
	f := NewForecast()
	feed(f, "slips", 10, 0, 16*time.Second, 11*testRoom)
	now := feed(f, "pumps", 700, 0, 8*time.Second, 9*testRoom)
	now = feed(f, "pumps", 10, now, 5*time.Second, 9*testRoom)
	feed(f, "routes", 700, now, 1250*time.Millisecond, 12*testRoom)
	g.Expect(f.Quiet("pumps", now)).To(BeTrue())
	next := NewForecast()
	next.Recall(f.Turns(now, 1_800_000_000_000), time.Second, 1_800_000_000_300)
	feed(next, "slips", 10, time.Second, time.Second/2, 11*testRoom)
	g.Expect(next.Quiet("pumps", 1300*time.Millisecond)).To(BeTrue())
	g.Expect(next.Expecting("routes", 1300*time.Millisecond)).To(BeTrue())
}

// Load pattern: the end of the demand. Guards against full pools that nobody uses any more.
func TestPoolsAreQuietOnceNoneSurges(t *testing.T) {
	g := NewWithT(t)
	f := NewForecast()
	now := feed(f, "pumps", 700, 0, 8*time.Second, 9*testRoom)
	feed(f, "pumps", 10, now, 20*time.Second, 9*testRoom)
	now = feed(f, "routes", 700, now, 8*time.Second, 12*testRoom)
	g.Expect(f.Quiet("pumps", now)).To(BeFalse(), "its turn may come next")
	now = feed(f, "routes", 5, now, 6*time.Second, 12*testRoom)
	g.Expect(f.Quiet("pumps", now)).To(BeTrue())
	g.Expect(f.Quiet("routes", now)).To(BeTrue())
}

// Load pattern: tasks that only workers of one kind may run. Guards against giving the last of them away, and against tasks
// that wait for a kind which stands idle elsewhere.
func TestKindsThatTasksAskForStay(t *testing.T) {
	g := NewWithT(t)
	s := fleet(0, map[string]int{"pumps": 6, "routes": 6, "common": 2})
	for id, i := range s.Instances {
		i.Labels = []string{"a", "r-1"}
		if id == "pumps-00" || id == "pumps-01" || id == "common-00" {
			i.Labels[0] = "b"
		}
		s.Instances[id] = i
	}
	r := s.Reports["pumps"]
	r.Kinds = map[string]int64{"b": 80000}
	s.Reports["pumps"] = r
	empty, _ := s.givable("pumps", r)
	g.Expect(empty).To(HaveLen(4), "neither of the two of kind b: both are needed")
	r.UnschedulableKinds = map[string]int64{"b": 50000}
	s.Reports["pumps"] = r
	moves := map[string]string{}
	s.moveKinds("common", moves)
	g.Expect(moves).To(Equal(map[string]string{"common-00": "pumps"}))
}

// Guards against an instance that is kept free of work for ever, because what lasts on it has no other place.
func TestInstanceThatCantBeEmptiedWorksAgain(t *testing.T) {
	g := NewWithT(t)
	c := New(t.Context(), Settings{})
	c.held["pumps-00"] = "w"
	g.Expect(c.rest(0)).To(BeEmpty())
	g.Expect(c.rest(holdLongest + time.Second)).To(HaveKey("pumps-00"))
	s := fleet(0, map[string]int{"pumps": 4})
	s.resting = map[string]bool{"pumps-00": true}
	w := Wave{ID: 1, Cap: 4, Duration: time.Second, Instances: []string{"pumps-00", "pumps-01"}}
	g.Expect(s.PlanWave(w, map[string]bool{"pumps-00": true})).To(ConsistOf("pumps-01"))
	delete(c.held, "pumps-00")
	g.Expect(c.rest(holdLongest + restLength + 2*time.Second)).To(BeEmpty())
}

// Load pattern: a wave with tasks that last on some of its instances, during a turn. Guards against leaving those to the end,
// when there is no time left to move their tasks one after the other.
func TestInstancesWithTasksThatLastAreEmptiedEarly(t *testing.T) {
	g := NewWithT(t)
	s := fleet(0, map[string]int{"pumps": 8})
	r := s.Reports["pumps"]
	r.UsedCPU = r.CapacityCPU
	for k := range 3 {
		r.Workers[k].LongRunning = 2
	}
	s.Reports["pumps"] = r
	w := Wave{ID: 1, Cap: 6, Duration: 60 * time.Second}
	for id := range s.Instances {
		w.Instances = append(w.Instances, id)
	}
	got := s.PlanWave(w, nil)
	g.Expect(got).To(HaveLen(lastingAtOnce))
	g.Expect(s.countLasting(got)).To(Equal(lastingAtOnce))
	held := map[string]bool{got[0]: true, got[1]: true}
	g.Expect(s.PlanWave(w, held)).To(ConsistOf(got), "no third one beside them")
}

// Load pattern: the last seconds of a wave in a small pool from which a worker leaves. Guards against keeping all workers free
// of new work while a task that lasts has no place.
func TestMissingTaskThatLastsGoesBeforeTheWave(t *testing.T) {
	g := NewWithT(t)
	f := NewForecast()
	s := fleet(24*time.Second, map[string]int{"pumps": 4, "common": 2})
	w := Wave{ID: 1, Cap: 4, Duration: 25 * time.Second, Instances: []string{"pumps-00", "pumps-01", "pumps-02"}}
	g.Expect(s.PlanWave(w, nil)).To(HaveLen(3))
	r := s.Reports["pumps"]
	r.LongRunningPending = true
	s.Reports["pumps"] = r
	g.Expect(s.PlanWave(w, map[string]bool{"pumps-00": true})).To(BeEmpty())
	feed(f, "pumps", 10, 20*time.Second, 4*time.Second, 4*testRoom)
	g.Expect(s.PlanMoves(f, map[string]time.Duration{})).To(HaveLen(1), "one more instance comes")
}
