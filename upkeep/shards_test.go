package upkeep

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"samphirepoint/shard"
)

// dividedPool is a pool of 40 instances in four shards, after its peak period.
func dividedPool() (*State, *Forecast) {
	s := fleet(0, map[string]int{"pumps": 40, "common": 1})
	s.layout = shard.NewLayout(map[string]int{"pumps": 4})
	s.shardOf = s.layout.OfJob // a hash stands for the assignments
	f := NewForecast()
	feed(f, "slips", 1, 0, 16*time.Second, 40*testCapacity)
	over := feed(f, "pumps", 4000, 0, 8*time.Second, 40*testCapacity)
	feed(f, "routes", 4000, over, 4*time.Second, 40*testCapacity)
	s.Now = feed(f, "pumps", 1, over, 4*time.Second, 40*testCapacity)
	return s, f
}

// takeShardDown makes all instances of a shard of pumps unavailable.
func (s *State) takeShardDown(name string) {
	for id, i := range s.Instances {
		if i.Pool == "pumps" && s.shardOfInstance(i) == name {
			i.State = StateDown
			s.Instances[id] = i
		}
	}
}

// remaining returns the number of the pool's instances in each shard once the moves are made.
func (s *State) remaining(pool string, moves map[string]string) map[string]int {
	out := map[string]int{}
	for id, i := range s.Instances {
		if i.Pool == pool && moves[id] == "" {
			out[s.shardOfInstance(i)]++
		}
	}
	return out
}

// Load pattern: a pool of several shards shrinks after its peak period, with long-running tasks in one shard only. Guards against
// shards that are left without instances, as those with long-running tasks suffice for the pool, while an equal part of the jobs goes to
// each shard.
func TestShrinkingPoolKeepsInstancesInEachShard(t *testing.T) {
	g := NewWithT(t)
	s, f := dividedPool()
	r := s.Reports["pumps"]
	hosts := 0
	for k := range r.Workers {
		if s.shardOfInstance(Instance{Pool: "pumps", Worker: r.Workers[k].ID}) == "pumps#0" {
			r.Workers[k].LongRunning = 1
			hosts++
		}
	}
	g.Expect(hosts).To(BeNumerically(">", 4), "more than the whole pool needs besides")
	since := map[string]time.Duration{}
	s.PlanMoves(f, since)
	s.Now += 2 * scaleDownDelay
	left := s.remaining("pumps", s.PlanMoves(f, since))
	for _, name := range s.layout.Names("pumps")[1:] {
		g.Expect(left[name]).To(Equal(2), "one for the work and one more in %s", name)
	}
	g.Expect(left["pumps#0"]).To(Equal(hosts))
}

// Load pattern: a shard has lost its workers, while the others have more than enough for the whole pool. Guards against jobs of that
// shard that wait beside idle workers of the pool.
func TestShardWithoutWorkersGetsInstances(t *testing.T) {
	g := NewWithT(t)
	s, f := dividedPool()
	s.takeShardDown("pumps#1")
	moves := s.PlanMoves(f, map[string]time.Duration{})
	g.Expect(moves).To(HaveKeyWithValue("common-00", "pumps"))
}

// Load pattern: a pool of several shards shrinks after its peak period while a wave has an instance of each shard down. Guards against
// surplus instances that all stay because one shard lacks some for a moment.
func TestSurplusIsReleasedWhileAnotherShardLacksInstances(t *testing.T) {
	g := NewWithT(t)
	s, f := dividedPool()
	s.takeShardDown("pumps#1")
	since := map[string]time.Duration{}
	s.PlanMoves(f, since)
	s.Now += 2 * scaleDownDelay
	moves := s.PlanMoves(f, since)
	left := s.remaining("pumps", moves)
	g.Expect(left["pumps#0"]).To(BeNumerically("<", 5))
	g.Expect(moves).To(HaveKeyWithValue("common-00", "pumps"), "for the shard that lacks instances")
}

// Load pattern: a wave in a large pool with long-running tasks on every instance. Guards against instances that are still not drained at
// the end of the wave because the whole pool drains as few at a time as a small pool.
func TestShardsDrainLongRunningTasksSideBySide(t *testing.T) {
	g := NewWithT(t)
	s := fleet(time.Minute, map[string]int{"pumps": 160, "common": 1})
	s.layout = shard.NewLayout(map[string]int{"pumps": 4})
	s.shardOf = s.layout.OfJob
	r := s.Reports["pumps"]
	w := Wave{ID: 1, Cap: 80, Duration: time.Hour, SeenAt: time.Minute}
	for k := range r.Workers {
		r.Workers[k].LongRunning = 1
		r.Workers[k].UsedCPU = testCapacity
		w.Instances = append(w.Instances, r.Workers[k].ID[len("w-"):])
	}
	r.UsedCPU = 160 * testCapacity
	s.Reports["pumps"] = r
	drains := map[string]int{}
	for _, id := range s.PlanWave(w, map[string]bool{}) {
		drains[s.shardOfInstance(s.Instances[id])]++
	}
	for _, name := range s.layout.Names("pumps") {
		g.Expect(drains[name]).To(Equal(s.longRunningDrains()[name]), "instances of %s", name)
	}
	total := 0
	for _, n := range drains {
		total += n
	}
	g.Expect(total).To(BeNumerically(">", 4*minLongRunningDrains), "a shard of 40 instances drains more than a small pool")
}

// Load pattern: a wave in a divided pool, one shard of which lacks capacity for a long-running task. Guards against a wave that stands
// still in the other shards meanwhile, and against due workers that are named to the owner of another shard.
func TestPendingLongRunningTaskPausesItsShardOnly(t *testing.T) {
	g := NewWithT(t)
	s, _ := dividedPool()
	r := s.Reports["pumps"]
	r.LongRunningPendingIn = []string{"pumps#2"}
	s.Reports["pumps"] = r
	w := Wave{ID: 1, Cap: 40, Duration: time.Second}
	for id := range s.Instances {
		w.Instances = append(w.Instances, id)
	}
	s.Orders["pumps-00"] = OrderRecord{Started: []int64{1}}
	taken := map[string]int{}
	for _, id := range s.PlanWave(w, nil) {
		taken[s.shardOfInstance(s.Instances[id])]++
	}
	due := s.upkeepDue([]Wave{w})
	for _, name := range s.layout.Names("pumps") {
		g.Expect(taken[name] > 0).To(Equal(name != "pumps#2"), name)
		for _, worker := range due[name] {
			g.Expect(s.shardOfInstance(Instance{Pool: "pumps", Worker: worker})).To(Equal(name))
		}
	}
	all := 0
	for _, workers := range due {
		all += len(workers)
	}
	g.Expect(all).To(Equal(39), "neither the instance that has had its upkeep nor the spare one")
}
