package upkeep

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"samphirepoint/engine"
)

const testCapacity = 64000

// fleet builds a state with n instances in each pool, all up and idle, and a spare pool.
func fleet(now time.Duration, sizes map[string]int) *State {
	s := &State{Now: now, Instances: map[string]Instance{}, Orders: map[string]OrderRecord{}, Reports: map[string]engine.PoolReport{}, Spare: map[string]bool{"common": true}, Baseline: map[string]int{}}
	for pool, n := range sizes {
		s.Baseline[pool] = n
		r := engine.PoolReport{CapacityCPU: int64(n) * testCapacity}
		for k := range n {
			id := fmt.Sprintf("%s-%02d", pool, k)
			s.Instances[id] = Instance{ID: id, Pool: pool, State: StateUp, Worker: "w-" + id, CapacityCPU: testCapacity}
			r.Workers = append(r.Workers, engine.WorkerReport{ID: "w-" + id, CapacityCPU: testCapacity, Usable: true})
		}
		if pool != "common" {
			s.Reports[pool] = r
		}
	}
	return s
}

// feed observes a constant rate of arriving work, in cores, and returns the time at its end.
func feed(f *Forecast, pool string, cores float64, from, length time.Duration, baselineCPU float64) time.Duration {
	const dt = 250 * time.Millisecond
	for t := from; t < from+length; t += dt {
		f.Observe(pool, engine.PoolReport{ArrivalCPU: int64(cores * 1000)}, baselineCPU, t)
	}
	return from + length
}

// Load pattern: demand of a twentieth of the pool's capacity, then a spike above the capacity. Guards against noise being
// taken for a peak period, and against detecting a peak too late to help.
func TestForecastDetectsPeakPeriod(t *testing.T) {
	g := NewWithT(t)
	f := NewForecast()
	baselineCPU := 10.0 * testCapacity
	now := feed(f, "pumps", 30, 0, 8*time.Second, baselineCPU)
	g.Expect(f.PeakExpected("pumps", now)).To(BeFalse())
	now = feed(f, "pumps", 760, now, 1500*time.Millisecond, baselineCPU)
	g.Expect(f.PeakExpected("pumps", now)).To(BeTrue(), "the peak must be detected within 1.5 s")
	now = feed(f, "pumps", 760, now, 6*time.Second, baselineCPU)
	g.Expect(f.OffPeak("pumps", now)).To(BeFalse())
	now = feed(f, "pumps", 30, now, 5*time.Second, baselineCPU)
	g.Expect(f.PeakExpected("pumps", now)).To(BeFalse())
}

// Load pattern: single large jobs seconds apart. Guards against moving instances away after a burst that was no peak period.
func TestForecastIgnoresSingleJobs(t *testing.T) {
	g := NewWithT(t)
	f := NewForecast()
	now := time.Duration(0)
	for range 10 {
		now = feed(f, "routes", 380, now, 1250*time.Millisecond, 12*testCapacity)
		now = feed(f, "routes", 0, now, 1250*time.Millisecond, 12*testCapacity)
	}
	g.Expect(f.OffPeak("routes", now)).To(BeFalse())
}

// Load pattern: one pool in its peak period, the others idle. Guards against serving a peak with the pool's own instances
// only.
func TestMovesFollowPeakPeriod(t *testing.T) {
	g := NewWithT(t)
	f := NewForecast()
	s := fleet(0, map[string]int{"pumps": 9, "routes": 12, "common": 8})
	feed(f, "routes", 30, 0, 4*time.Second, 12*testCapacity)
	s.Now = feed(f, "pumps", 800, 0, 4*time.Second, 9*testCapacity)
	moves := s.PlanMoves(f, map[string]time.Duration{})
	g.Expect(len(moves)).To(BeNumerically(">=", 6))
	for id, to := range moves {
		g.Expect(to).To(Equal("pumps"))
		g.Expect(s.Instances[id].Pool).To(Equal("common"), "spare instances, which nobody pays for, move first")
	}
}

// Load pattern: a peak begins while instances of the spare pool wait for their upkeep. Guards against moving these before others.
func TestInstancesDueForUpkeepMoveLast(t *testing.T) {
	g := NewWithT(t)
	f := NewForecast()
	s := fleet(0, map[string]int{"pumps": 9, "routes": 12, "common": 20})
	s.Waves = []Wave{{ID: 1, Cap: 1, Instances: []string{"common-17", "common-18", "common-19"}}}
	feed(f, "routes", 30, 0, 4*time.Second, 12*testCapacity)
	s.Now = feed(f, "pumps", 800, 0, 4*time.Second, 9*testCapacity)
	moves := s.PlanMoves(f, map[string]time.Duration{})
	g.Expect(len(moves)).To(BeNumerically(">=", 6))
	for _, id := range s.Waves[0].Instances {
		g.Expect(moves).NotTo(HaveKey(id))
	}
}

// Load pattern: a peak period that is over. Guards against paying for idle instances until the end of the day, and against
// moving an instance on which something runs, here a long-running task.
func TestOffPeakPoolScalesDown(t *testing.T) {
	g := NewWithT(t)
	f := NewForecast()
	s := fleet(0, map[string]int{"pumps": 9, "routes": 12, "slips": 11, "common": 1})
	feed(f, "slips", 10, 0, 16*time.Second, 11*testCapacity)
	now := feed(f, "pumps", 700, 0, 8*time.Second, 9*testCapacity)
	feed(f, "routes", 700, now, 4*time.Second, 12*testCapacity)
	now = feed(f, "pumps", 10, now, 4*time.Second, 9*testCapacity)
	s.Now = now
	r := s.Reports["pumps"]
	r.Workers[0].Runs, r.Workers[0].LongRunning, r.Workers[0].UsedCPU = 1, 1, 5000
	r.UsedCPU, r.LongRunningCPU = 5000, 5000
	s.Reports["pumps"] = r
	since := map[string]time.Duration{}
	s.PlanMoves(f, since)
	s.Now += 2 * time.Second
	moves := s.PlanMoves(f, since)
	released := 0
	for id, to := range moves {
		g.Expect(id).NotTo(Equal("pumps-00"), "it runs a long-running task")
		if to == "common" || to == "routes" {
			released++
		}
	}
	g.Expect(released).To(BeNumerically(">=", 5))
}

// Guards against more instances down than the wave's cap, whatever is known of earlier orders.
func TestWaveRespectsCap(t *testing.T) {
	g := NewWithT(t)
	s := fleet(0, map[string]int{"pumps": 9, "routes": 12, "common": 8})
	w := Wave{ID: 1, Cap: 4, Duration: 25 * time.Second}
	for id := range s.Instances {
		w.Instances = append(w.Instances, id)
	}
	g.Expect(s.PlanWave(w, nil)).To(HaveLen(4))
	s.Orders["common-00"] = OrderRecord{Wave: 1, Open: true, Worker: "w-common-00"}
	s.Orders["common-01"] = OrderRecord{Wave: 1, Started: []int64{1}, Worker: "w-common-01"}
	g.Expect(s.PlanWave(w, nil)).To(HaveLen(2), "one order is open, one instance has not come back")
	i := s.Instances["common-01"]
	i.Worker = "w-new"
	s.Instances["common-01"] = i
	g.Expect(s.PlanWave(w, nil)).To(HaveLen(3))
}

// Load pattern: a wave during the peak of one pool. Guards against draining instances of the pool with the highest demand.
func TestWaveSparesPoolInPeakPeriod(t *testing.T) {
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
	g.Expect(s.PlanWave(w, nil)).To(HaveLen(8), "the wave's remaining time is short")
}

// Guards against a wave that skips one of its instances, or waits for one that has left the fleet.
func TestWaveIgnoresDepartedInstances(t *testing.T) {
	g := NewWithT(t)
	s := fleet(0, map[string]int{"pumps": 2})
	w := Wave{ID: 3, Cap: 4, Instances: []string{"pumps-00", "pumps-01", "gone"}}
	s.Orders["pumps-00"] = OrderRecord{Started: []int64{3}}
	g.Expect(s.Remaining(w)).To(ConsistOf("pumps-01"))
}

// Guards against a successor that doesn't know which peak periods are over and restores every pool to its baseline size.
func TestPeakPeriodsSurviveHandover(t *testing.T) {
	g := NewWithT(t)
	f := NewForecast()
	feed(f, "slips", 10, 0, 16*time.Second, 11*testCapacity)
	now := feed(f, "pumps", 700, 0, 8*time.Second, 9*testCapacity)
	now = feed(f, "pumps", 10, now, 5*time.Second, 9*testCapacity)
	feed(f, "routes", 700, now, 1250*time.Millisecond, 12*testCapacity)
	g.Expect(f.OffPeak("pumps", now)).To(BeTrue())
	next := NewForecast()
	next.Restore(f.PeakPeriods(now, 1_800_000_000_000), time.Second, 1_800_000_000_300)
	feed(next, "slips", 10, time.Second, time.Second/2, 11*testCapacity)
	g.Expect(next.OffPeak("pumps", 1300*time.Millisecond)).To(BeTrue())
	g.Expect(next.PeakExpected("routes", 1300*time.Millisecond)).To(BeTrue())
}

// rotation observes peaks of 8 s, one in each of the given pools in turn, and returns the end of the last one.
func rotation(f *Forecast, pools []string, turns int) time.Duration {
	now := time.Duration(0)
	for k := range turns {
		for _, p := range pools {
			cores := 10.0
			if p == pools[k] {
				cores = 700
			}
			feed(f, p, cores, now, 8*time.Second, 9*testCapacity)
		}
		now += 8 * time.Second
	}
	return now
}

// Load pattern: peaks that rotate, the last pool's first one begins. Guards against the first pool getting back all its instances for the
// whole of that peak, and against a pool that gets the instances for its peak only once that has begun, although no other can be next.
func TestOnlyPoolWithoutTurnIsPreparedForItsPeak(t *testing.T) {
	g := NewWithT(t)
	f := NewForecast()
	pools := []string{"pumps", "slips", "routes"}
	now := rotation(f, pools, 2)
	g.Expect(f.PeakExpected("routes", now)).To(BeTrue(), "both others have had their turn, the last of 8 s")
	g.Expect(f.PeakExpected("pumps", now)).To(BeFalse())

	f = NewForecast()
	now = rotation(f, pools, 3)
	g.Expect(f.PeakExpected("pumps", now-5*time.Second)).To(BeFalse())
	g.Expect(f.OffPeak("pumps", now-5*time.Second)).To(BeTrue())
	g.Expect(f.PeakExpected("pumps", now-time.Second)).To(BeTrue())
	g.Expect(f.PeakExpected("slips", now-time.Second)).To(BeFalse(), "pumps has not had its second turn yet")
}

// Load pattern: a long-running task waits for capacity during its pool's peak. Guards against a pool that gets one more instance instead of
// those for its peak.
func TestPendingLongRunningTaskDoesNotReplaceDemand(t *testing.T) {
	g := NewWithT(t)
	f := NewForecast()
	s := fleet(0, map[string]int{"pumps": 9, "routes": 12, "common": 8})
	feed(f, "routes", 30, 0, 4*time.Second, 12*testCapacity)
	s.Now = feed(f, "pumps", 800, 0, 4*time.Second, 9*testCapacity)
	r := s.Reports["pumps"]
	r.LongRunningPendingIn = []string{"pumps"}
	s.Reports["pumps"] = r
	g.Expect(len(s.PlanMoves(f, map[string]time.Duration{}))).To(BeNumerically(">=", 6))
}

// Load pattern: the end of all demand. Guards against unused pools that keep all their instances.
func TestPoolsAreOffPeakOnceDemandEnds(t *testing.T) {
	g := NewWithT(t)
	f := NewForecast()
	now := feed(f, "pumps", 700, 0, 8*time.Second, 9*testCapacity)
	feed(f, "pumps", 10, now, 20*time.Second, 9*testCapacity)
	now = feed(f, "routes", 700, now, 8*time.Second, 12*testCapacity)
	g.Expect(f.OffPeak("pumps", now)).To(BeFalse(), "its peak period may be the next one")
	now = feed(f, "routes", 5, now, 6*time.Second, 12*testCapacity)
	g.Expect(f.OffPeak("pumps", now)).To(BeTrue())
	g.Expect(f.OffPeak("routes", now)).To(BeTrue())
}

// Load pattern: tasks that only workers of one kind may run. Guards against moving the last of these workers away, and
// against tasks that wait for a kind of worker that is idle in another pool.
func TestRequiredKindsStay(t *testing.T) {
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
	empty, _ := s.releasable("pumps", r)
	g.Expect(empty).To(HaveLen(4), "both instances of kind b are needed")
	r.UnschedulableKinds = map[string]int64{"b": 50000}
	s.Reports["pumps"] = r
	moves := map[string]string{}
	s.moveKinds("common", moves)
	g.Expect(moves).To(Equal(map[string]string{"common-00": "pumps"}))
}

// Guards against an instance that stays cordoned forever because its long-running tasks fit on no other worker.
func TestInstanceThatCannotDrainIsUncordoned(t *testing.T) {
	g := NewWithT(t)
	c := New(t.Context(), Settings{})
	c.cordoned["pumps-00"] = "w"
	g.Expect(c.coolDown(0)).To(BeEmpty())
	g.Expect(c.coolDown(maxCordon + time.Second)).To(HaveKey("pumps-00"))
	s := fleet(0, map[string]int{"pumps": 4})
	s.coolingDown = map[string]bool{"pumps-00": true}
	w := Wave{ID: 1, Cap: 4, Duration: time.Second, Instances: []string{"pumps-00", "pumps-01"}}
	g.Expect(s.PlanWave(w, map[string]bool{"pumps-00": true})).To(ConsistOf("pumps-01"))
	delete(c.cordoned, "pumps-00")
	g.Expect(c.coolDown(maxCordon + coolDownPeriod + 2*time.Second)).To(BeEmpty())
}

// Load pattern: a wave during a peak period, with long-running tasks on some of its instances. Guards against leaving these
// instances to the end, when there is no time left to move their tasks one after the other.
func TestInstancesWithLongRunningTasksDrainEarly(t *testing.T) {
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
	g.Expect(got).To(HaveLen(minLongRunningDrains))
	g.Expect(s.countLongRunning(got)).To(Equal(map[string]int{"pumps": minLongRunningDrains}))
	cordoned := map[string]bool{got[0]: true, got[1]: true}
	g.Expect(s.PlanWave(w, cordoned)).To(ConsistOf(got), "no third instance with long-running tasks drains at the same time")
}

// Load pattern: the last seconds of a wave in a small pool that has lost a worker. Guards against cordoning all workers
// while a long-running task waits for capacity.
func TestPendingLongRunningTaskPausesWave(t *testing.T) {
	g := NewWithT(t)
	f := NewForecast()
	s := fleet(24*time.Second, map[string]int{"pumps": 4, "common": 2})
	w := Wave{ID: 1, Cap: 4, Duration: 25 * time.Second, Instances: []string{"pumps-00", "pumps-01", "pumps-02"}}
	g.Expect(s.PlanWave(w, nil)).To(HaveLen(3))
	r := s.Reports["pumps"]
	r.LongRunningPendingIn = []string{"pumps"}
	s.Reports["pumps"] = r
	g.Expect(s.PlanWave(w, map[string]bool{"pumps-00": true})).To(BeEmpty())
	feed(f, "pumps", 10, 20*time.Second, 4*time.Second, 4*testCapacity)
	g.Expect(s.PlanMoves(f, map[string]time.Duration{})).To(HaveLen(1), "one more instance moves to the pool")
}
