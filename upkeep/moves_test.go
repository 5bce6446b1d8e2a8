package upkeep

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// shrink moves the pool's first n instances to another pool.
func shrink(s *State, pool, to string, n int) {
	r := s.Reports[pool]
	for _, w := range r.Workers[:n] {
		i := s.Instances[w.ID[len("w-"):]]
		i.Pool = to
		s.Instances[i.ID] = i
	}
	r.Workers = r.Workers[n:]
	r.CapacityCPU -= int64(n) * testCapacity
	s.Reports[pool] = r
}

// Load pattern: one pool at the start of its peak period while another one restores its size. Guards against giving the spare
// instances to the pool that is idle because its shortage is larger.
func TestPeakPeriodGoesBeforeRestoredSize(t *testing.T) {
	g := NewWithT(t)
	f := NewForecast()
	s := fleet(0, map[string]int{"letters": 9, "pumps": 20, "common": 2})
	shrink(s, "pumps", "common", 14)
	feed(f, "pumps", 10, 0, 5*time.Second, 20*testCapacity)
	feed(f, "letters", 10, 0, 4*time.Second, 9*testCapacity)
	s.Now = feed(f, "letters", 800, 4*time.Second, time.Second, 9*testCapacity)
	counts := map[string]int{}
	for _, to := range s.PlanMoves(f, map[string]time.Duration{}) {
		counts[to]++
	}
	g.Expect(counts["letters"]).To(BeNumerically(">=", 8), "800 cores of work arrive at 9 instances")
	g.Expect(counts["pumps"]).To(BeNumerically(">", 0), "what the peak does not need restores the other pool")
}

// Load pattern: a peak period has taken instances from all other pools. Guards against pools outside their peak period that
// restore their size from each other, so that instances move in a circle and serve nobody meanwhile.
func TestPoolsDoNotRestoreFromEachOther(t *testing.T) {
	g := NewWithT(t)
	f := NewForecast()
	s := fleet(0, map[string]int{"letters": 9, "pumps": 20, "routes": 20, "common": 0})
	shrink(s, "pumps", "letters", 2)
	shrink(s, "routes", "letters", 4)
	for _, pool := range []string{"letters", "pumps", "routes"} {
		s.Now = feed(f, pool, 10, 0, 4*time.Second, 20*testCapacity)
	}
	for id, i := range s.Instances {
		if i.Pool == "letters" {
			i.State = StateUpkeep
			s.Instances[id] = i
		}
	}
	g.Expect(s.PlanMoves(f, map[string]time.Duration{})).To(BeEmpty())
}

// Load pattern: a peak that begins under one fleet controller and goes on under the next one. Guards against a successor that knows only the start of
// the peak, and moves instances for the rate that it sees rise again.
func TestSuccessorKnowsThePresentPeak(t *testing.T) {
	g := NewWithT(t)
	f := NewForecast()
	feed(f, "pumps", 10, 0, 4*time.Second, 10*testCapacity)
	feed(f, "pumps", 900, 4*time.Second, time.Second, 10*testCapacity)
	g.Expect(f.spiking("pumps")).To(BeTrue())
	stored := f.PeakPeriods(5*time.Second, 1_800_000_000_000)
	g.Expect(f.Outdated(stored, 5*time.Second)).To(BeFalse(), "its rate may rise further")
	now := feed(f, "pumps", 1800, 5*time.Second, 3*time.Second, 10*testCapacity)
	g.Expect(f.Outdated(stored, now)).To(BeTrue())
	stored = f.PeakPeriods(now, 1_800_000_000_000)
	g.Expect(f.Outdated(stored, now)).To(BeFalse())
	next := NewForecast()
	next.Restore(stored, now, 1_800_000_000_000)
	feed(next, "pumps", 300, now, 250*time.Millisecond, 10*testCapacity)
	g.Expect(next.expectedPeak("pumps", now)).To(BeNumerically("~", f.expectedPeak("pumps", now), 1000))
}

// Load pattern: peaks by turns, of which the last one goes on although another pool's turn was expected. Guards against instances that stand idle in
// the pool with the wrong forecast while work waits in the other one.
func TestWaitingWorkGoesBeforeExpectedPeak(t *testing.T) {
	g := NewWithT(t)
	f := NewForecast()
	s := fleet(0, map[string]int{"letters": 10, "pumps": 10, "routes": 40, "common": 0})
	s.Baseline["routes"] = 10
	now := time.Duration(0)
	for _, pool := range []string{"letters", "pumps", "letters", "pumps"} {
		for _, other := range []string{"letters", "pumps", "routes"} {
			load := 10.0
			if other == pool {
				load = 900
			}
			feed(f, other, load, now, 5*time.Second, 10*testCapacity)
		}
		now += 5 * time.Second
	}
	f.pools["routes"].starts, f.pools["routes"].ends = []time.Duration{0, now - f.interval()}, []time.Duration{4 * time.Second}
	f.pools["routes"].lastPeak, f.pools["routes"].spiking = 40*testCapacity, false
	s.Now = feed(f, "pumps", 900, now, 500*time.Millisecond, 10*testCapacity)
	g.Expect(f.PeakExpected("routes", s.Now)).To(BeTrue())
	r := s.Reports["pumps"]
	r.UsedCPU, r.PendingCPU = r.CapacityCPU, 2*r.CapacityCPU
	s.Reports["pumps"] = r
	counts := map[string]int{}
	for _, to := range s.PlanMoves(f, map[string]time.Duration{}) {
		counts[to]++
	}
	g.Expect(counts["pumps"]).To(BeNumerically(">=", 15))
	g.Expect(counts["routes"]).To(BeZero())
}

// Load pattern: a fleet that is switched on, whose instances are listed as down at first. Guards against moving the first
// instances that are up to pools whose own instances are about to be up: 235 moves were once made before the first job.
func TestStartingInstancesCount(t *testing.T) {
	g := NewWithT(t)
	c := New(t.Context(), Settings{})
	s := fleet(0, map[string]int{"pumps": 9, "routes": 12, "common": 4})
	s.Now = feed(c.forecast, "pumps", 0, 0, 2*time.Second, 9*testCapacity)
	for _, id := range []string{"pumps-00", "pumps-01", "pumps-02"} {
		i := s.Instances[id]
		i.State, i.Worker = StateDown, ""
		s.Instances[id] = i
	}
	s.starting = c.starting(s)
	g.Expect(s.PlanMoves(c.forecast, c.surplusSince)).To(BeEmpty())
	c.lastSeen = s.Instances
	s.Now += startTime + time.Second
	s.starting = c.starting(s)
	g.Expect(s.PlanMoves(c.forecast, c.surplusSince)).To(HaveLen(3), "an instance that does not start is replaced")
}

// Load pattern: demand peaks in one pool after another, each to the same multiple of what the pool holds, and rises over
// seconds. Guards against sizing a pool by the rate at the start of its peak period, so that each order of instances arrives
// when twice as many are needed.
func TestStartOfPeakIsSizedByPeaksOfOtherPools(t *testing.T) {
	g := NewWithT(t)
	f := NewForecast()
	s := fleet(0, map[string]int{"pumps": 10, "letters": 20, "common": 40})
	feed(f, "letters", 10, 0, 12*time.Second, 20*testCapacity)
	now := feed(f, "pumps", 10, 0, 2*time.Second, 10*testCapacity)
	now = feed(f, "pumps", 2.2*640, now, 6*time.Second, 10*testCapacity)
	feed(f, "pumps", 10, now, 4*time.Second, 10*testCapacity)
	s.Now = feed(f, "letters", 0.6*1280, 12*time.Second, 500*time.Millisecond, 20*testCapacity)
	g.Expect(s.PlanMoves(f, map[string]time.Duration{})).To(HaveLen(29), "2.2 times 20 instances, and a tenth more")
	next := NewForecast()
	next.Restore(f.PeakPeriods(s.Now, 1_800_000_000_000), s.Now, 1_800_000_000_000)
	feed(next, "pumps", 10, s.Now, 250*time.Millisecond, 10*testCapacity)
	feed(next, "letters", 0.6*1280, s.Now, 250*time.Millisecond, 20*testCapacity)
	g.Expect(next.expectedPeak("letters", s.Now)).To(BeNumerically("~", f.expectedPeak("letters", s.Now), 1000), "a successor knows the peaks")
}

// Load pattern: a wave over several pools, all with long-running tasks. Guards against draining these tasks in one pool after
// the other, so that the last pool's instances are left when the wave's time is over.
func TestPoolsDrainLongRunningTasksInParallel(t *testing.T) {
	g := NewWithT(t)
	s := fleet(0, map[string]int{"pumps": 8, "routes": 8, "letters": 8})
	w := Wave{ID: 1, Cap: 12, Duration: 60 * time.Second}
	for pool, r := range s.Reports {
		r.UsedCPU = r.CapacityCPU
		for k := range r.Workers {
			r.Workers[k].LongRunning = 2
		}
		s.Reports[pool] = r
	}
	for id := range s.Instances {
		w.Instances = append(w.Instances, id)
	}
	got := s.countLongRunning(s.PlanWave(w, nil))
	g.Expect(got).To(Equal(map[string]int{"pumps": minLongRunningDrains, "routes": minLongRunningDrains, "letters": minLongRunningDrains}))
}
