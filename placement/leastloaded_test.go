package placement_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"samphirepoint/placement"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func drawWorkers(t *rapid.T) []*placement.Worker {
	workers := make([]*placement.Worker, rapid.IntRange(0, 8).Draw(t, "workers"))
	for i := range workers {
		workers[i] = &placement.Worker{
			ID:   fmt.Sprint("w", i),
			Zone: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone"), Slots: rapid.SampledFrom([]int{0, 4, 8}).Draw(t, "slots"),
			InUse: rapid.IntRange(0, 8).Draw(t, "inUse"), UsedByOthers: rapid.SampledFrom([]int{0, 4, 8}).Draw(t, "usedByOthers"),
			UsedByOthersUntil: now.Add(rapid.SampledFrom([]time.Duration{-1, 0, 1}).Draw(t, "usedByOthersUntil")),
			Leaving:           rapid.IntRange(0, 3).Draw(t, "leaving") == 0,
			Ejected:           rapid.Bool().Draw(t, "ejected"), Probe: rapid.Bool().Draw(t, "probe"),
			Latency: float64(rapid.IntRange(0, 100).Draw(t, "latency")) / 10,
		}
		workers[i].Suspect = !workers[i].Ejected && rapid.Bool().Draw(t, "suspect")
	}
	return workers
}

// Guards against work sent to a leaving, full, ejected or excluded worker, against a probe with work that must not
// run twice, and against a slot that stays idle while work waits.
func TestPickInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		workers := drawWorkers(t)
		constraints := placement.Constraints{
			Zone:    "a",
			Exclude: rapid.SliceOfDistinct(rapid.SampledFrom([]string{"w0", "w1", "w2"}), rapid.ID).Draw(t, "exclude"),
			NoProbe: rapid.Bool().Draw(t, "noProbe"),
		}
		var allowed []string
		for _, w := range workers {
			used := w.InUse
			if now.Before(w.UsedByOthersUntil) {
				used += w.UsedByOthers
			}
			if used < w.Slots && !w.Leaving && !slices.Contains(constraints.Exclude, w.ID) && (!w.Ejected || w.Probe && !constraints.NoProbe) {
				allowed = append(allowed, w.ID)
			}
		}
		policy := placement.LeastLoaded{Rand: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))}
		choice, ok := policy.Pick(now, workers, constraints)
		if ok != (len(allowed) > 0) || ok && !slices.Contains(allowed, choice.Worker) {
			t.Fatalf("picked %q of allowed workers %v", choice.Worker, allowed)
		}
		if ok && choice.Reason == "" {
			t.Fatalf("the choice has no reason for the log")
		}
	})
}

// Guards against an ejected worker that never returns because no request is placed on it as a probe.
func TestDueProbeGoesFirst(t *testing.T) {
	g := NewWithT(t)
	policy := placement.LeastLoaded{Rand: rand.New(rand.NewPCG(1, 2))}
	workers := fleet(8, 3)
	workers[5].Ejected, workers[5].Probe = true, true
	choice, _ := policy.Pick(now, workers, placement.Constraints{})
	g.Expect(choice.Worker).To(Equal("w5"))
	choice, _ = policy.Pick(now, workers, placement.Constraints{Exclude: []string{"w1"}})
	g.Expect(choice.Worker).NotTo(Equal("w5"), "a request that failed before must not be risked on a probe")
}

// fleet returns workers of 8 slots with inUse slots in use.
func fleet(n, inUse int) []*placement.Worker {
	workers := make([]*placement.Worker, n)
	for i := range workers {
		workers[i] = &placement.Worker{ID: fmt.Sprint("w", i), Zone: []string{"a", "b", "c"}[i%3], Slots: 8, InUse: inUse, Latency: 1}
	}
	return workers
}

// firstLeastLoaded picks the first of the workers with the most free slots; it is the baseline.
type firstLeastLoaded struct{}

func (firstLeastLoaded) Pick(now time.Time, workers []*placement.Worker, _ placement.Constraints) (placement.Choice, bool) {
	best := workers[0]
	for _, w := range workers {
		if w.Free(now) > best.Free(now) {
			best = w
		}
	}
	return placement.Choice{Worker: best.ID}, true
}

// refusals places requests of several owners that see the same snapshot and only their own placements, and returns how
// many of them exceed the free slots.
func refusals(policy placement.Policy, owners, each int) int {
	total, refused := map[string]int{}, 0
	for range owners {
		view := fleet(24, 4)
		view[7].InUse = 0
		for range each {
			choice, _ := policy.Pick(now, view, placement.Constraints{Zone: "a"})
			for _, w := range view {
				if w.ID == choice.Worker {
					w.InUse++
				}
			}
			total[choice.Worker]++
		}
	}
	for _, w := range fleet(24, 4) {
		free := w.Slots - w.InUse
		if w.ID == "w7" {
			free = 8
		}
		refused += max(total[w.ID]-free, 0)
	}
	return refused
}

// Guards against owners that all choose the same worker because they have the same snapshot, as after a partition.
func TestOwnersWithSameSnapshotDoNotHerd(t *testing.T) {
	g := NewWithT(t)
	leastLoaded, deterministic := 0, 0
	for seed := range uint64(20) {
		leastLoaded += refusals(placement.LeastLoaded{Rand: rand.New(rand.NewPCG(seed, 1))}, 8, 6)
		deterministic += refusals(firstLeastLoaded{}, 8, 6)
	}
	t.Logf("refused of 960 requests: lowest load first %d, LeastLoaded %d", deterministic, leastLoaded)
	g.Expect(leastLoaded).To(BeNumerically("<", deterministic/2))
}

// Guards against a placement that ignores slow workers, other zones or uneven load.
func TestLeastLoadedPrefersFastNearAndFree(t *testing.T) {
	g := NewWithT(t)
	share := func(policy placement.Policy, change func(*placement.Worker)) float64 {
		hits := 0
		for range 1000 {
			workers := fleet(9, 4)
			for _, w := range workers {
				w.Zone = "a"
			}
			for _, w := range workers[:3] {
				change(w)
			}
			choice, _ := policy.Pick(now, workers, placement.Constraints{Zone: "a"})
			if choice.Worker < "w3" {
				hits++
			}
		}
		return float64(hits) / 1000
	}
	rnd := rand.New(rand.NewPCG(3, 4))
	for name, change := range map[string]func(*placement.Worker){
		"slow":       func(w *placement.Worker) { w.Latency = 3 },
		"loaded":     func(w *placement.Worker) { w.InUse = 7 },
		"other zone": func(w *placement.Worker) { w.Zone = "far" },
	} {
		g.Expect(share(placement.Random{Rand: rnd}, change)).To(BeNumerically("~", 1.0/3, 0.1), name)
		g.Expect(share(placement.LeastLoaded{Rand: rnd}, change)).To(BeNumerically("<", 0.2), name)
	}
	fast := func(w *placement.Worker) { w.Latency = 0.01 }
	g.Expect(share(placement.LeastLoaded{Rand: rnd}, fast)).To(BeNumerically("<", 0.45), "fast answers may be failures")
}

func BenchmarkLeastLoaded(b *testing.B) {
	for _, n := range []int{8, 24, 64, 200} {
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			workers := fleet(n, 0)
			for i, w := range workers {
				w.InUse = i % 9
			}
			policy := placement.LeastLoaded{Rand: rand.New(rand.NewPCG(1, 1))}
			constraints := placement.Constraints{Zone: "a", Exclude: []string{"w1"}}
			b.ReportAllocs()
			for range b.N {
				policy.Pick(now, workers, constraints)
			}
		})
	}
}
