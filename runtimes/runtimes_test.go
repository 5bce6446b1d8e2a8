package runtimes_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"samphirepoint/request"
	"samphirepoint/runtimes"
)

var (
	start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	key   = runtimes.Key{Queue: "q", Backer: "b", Kind: "k"}
)

// learn lets n requests of the key finish after d each and returns the time of the last end.
func learn(tr *runtimes.Tracker, k runtimes.Key, now time.Time, n int, d time.Duration) time.Time {
	for i := range n {
		id := fmt.Sprint(k, i, now.UnixNano())
		tr.Begin(id, k, now)
		now = now.Add(d)
		tr.End(id, now, true)
	}
	return now
}

// Guards against quantiles that are off by more than the width of a bin, for any run times from 1 ms to a day.
func TestQuantilesMatchObservations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		times := rapid.SliceOfN(rapid.Int64Range(1, 86_400_000), 11, 60).Draw(t, "ms")
		tr := runtimes.New(10)
		for i, ms := range times {
			id := fmt.Sprint(i)
			// All end at the same moment, so only the decay by count applies.
			tr.Begin(id, key, start.Add(-time.Duration(ms)*time.Millisecond))
		}
		for i := range times {
			tr.End(fmt.Sprint(i), start, true)
		}
		got := tr.Estimate(key, 0, start).P90
		// The exact weights of the decay are 0.98^age.
		order := make([]int, len(times))
		total := 0.0
		for i := range order {
			order[i] = i
			total += math.Pow(0.98, float64(len(times)-1-i))
		}
		slices.SortFunc(order, func(a, b int) int { return int(times[a] - times[b]) })
		rest, lower, upper := 0.9*total, time.Duration(0), time.Duration(0)
		for n, i := range order {
			rest -= math.Pow(0.98, float64(len(times)-1-i))
			if rest <= 1e-3 {
				lower = time.Duration(times[order[max(n-1, 0)]]) * time.Millisecond
				upper = time.Duration(times[order[min(n+1, len(order)-1)]]) * time.Millisecond
				break
			}
		}
		if float64(got) < float64(lower)/1.1 || float64(got) > float64(upper)*1.1 {
			t.Fatalf("p90 is %v, want between %v and %v", got, lower, upper)
		}
	})
}

// Guards against memory that grows with the kinds that callers invent.
func TestKeysAreBounded(t *testing.T) {
	g := NewWithT(t)
	tr := runtimes.New(100)
	learn(tr, key, start, 50, 5*time.Second)
	for i := range 1000 {
		learn(tr, runtimes.Key{Queue: "q", Backer: "b", Kind: fmt.Sprint(i)}, start, 1, time.Millisecond)
		tr.Class(key, 0, start)
	}
	g.Expect(tr.Keys()).To(Equal(100))
	g.Expect(tr.Estimate(key, 0, start).Observations).To(BeNumerically(">", 1), "a key in use must not be forgotten")
}

// Guards against estimates for new kinds that ignore the rest of the queue or trust declared times.
func TestNewKindFallsBackToQueue(t *testing.T) {
	g := NewWithT(t)
	tr := runtimes.New(100)
	g.Expect(tr.Class(runtimes.Key{Queue: "new"}, 0, start)).To(Equal(request.Short))
	now := learn(tr, key, start, 50, 5*time.Second)
	other := runtimes.Key{Queue: "q", Backer: "b", Kind: "other"}
	g.Expect(tr.Class(other, 10*time.Millisecond, now)).To(Equal(request.Long))
	now = learn(tr, other, now, 30, 20*time.Millisecond)
	g.Expect(tr.Class(other, time.Hour, now)).To(Equal(request.Short))
	g.Expect(tr.Class(key, 0, now)).To(Equal(request.Long))
}

// Guards against a class that changes with every observation near the limit.
func TestClassHasHysteresis(t *testing.T) {
	g := NewWithT(t)
	rnd := rand.New(rand.NewPCG(1, 2))
	tr := runtimes.New(100)
	now, changes, last := learn(tr, key, start, 60, 500*time.Millisecond), 0, request.Unclassified
	for range 2000 {
		now = learn(tr, key, now, 1, time.Duration(float64(request.ShortLimit)*(0.9+0.15*rnd.Float64())))
		if c := tr.Class(key, 0, now); c != last {
			changes, last = changes+1, c
		}
	}
	g.Expect(changes).To(Equal(1), "from unknown to short")
	now = learn(tr, key, now, 200, 1200*time.Millisecond)
	g.Expect(tr.Class(key, 0, now)).To(Equal(request.Long))
	now = learn(tr, key, now, 200, 100*time.Millisecond)
	g.Expect(tr.Class(key, 0, now)).To(Equal(request.Short))
}

// Guards against a kind that counts as long by chance because a twentieth of its work is: long work may not use the burst
// of a limit, and a backer far below its limit got no slot in one pool for 2.7 s.
func TestSomeLongWorkLeavesKindShort(t *testing.T) {
	const (
		interval = 50 * time.Millisecond
		arrivals = 600
		long     = 1500 * time.Millisecond
	)
	for seed := range uint64(20) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		tr := runtimes.New(100)
		ends := map[int]time.Time{}
		for i := range arrivals {
			now := start.Add(time.Duration(i) * interval)
			for id, end := range ends {
				if !end.After(now) {
					tr.End(fmt.Sprint(id), end, true)
					delete(ends, id)
				}
			}
			if c := tr.Class(key, 0, now); c != request.Short {
				t.Fatalf("seed %d: class %v after %d arrivals", seed, c, i)
			}
			tr.Begin(fmt.Sprint(i), key, now)
			took := time.Duration(20+rnd.IntN(80)) * time.Millisecond
			if rnd.IntN(20) == 0 {
				took = long
			}
			ends[i] = now.Add(took)
		}
	}
}

// Guards against work that counts as short until its first run of an hour has ended.
func TestRunningRequestsRaiseEstimate(t *testing.T) {
	g := NewWithT(t)
	tr := runtimes.New(100)
	now := learn(tr, key, start, 20, 100*time.Millisecond)
	for i := range 8 {
		tr.Begin(fmt.Sprint(i), key, now)
	}
	g.Expect(tr.Class(key, 0, now)).To(Equal(request.Short))
	later := now.Add(time.Minute)
	g.Expect(tr.Class(key, 0, later)).To(Equal(request.Long))
	g.Expect(tr.Estimate(key, 0, later).P90).To(BeNumerically(">", 50*time.Second))
	g.Expect(tr.Remaining("0", 0.5, later)).To(BeNumerically(">=", 30*time.Second))
}

// Guards against a fast-failing worker that makes long work look short.
func TestFailuresTeachNoShortRunTimes(t *testing.T) {
	g := NewWithT(t)
	tr := runtimes.New(100)
	now := learn(tr, key, start, 20, 5*time.Second)
	for i := range 200 {
		tr.Begin(fmt.Sprint(i), key, now)
		tr.End(fmt.Sprint(i), now.Add(time.Millisecond), false)
	}
	g.Expect(tr.Class(key, 0, now)).To(Equal(request.Long))
}

// Guards against a reserve that misses a surge of five times the mean, or that takes more than half a pool.
func TestReserveFollowsDemand(t *testing.T) {
	g := NewWithT(t)
	var r runtimes.Reserve
	g.Expect(r.Slots(start, 72)).To(Equal(1))
	arrive := func(now time.Time, perSecond, seconds int) time.Time {
		for range perSecond * seconds {
			now = now.Add(time.Second / time.Duration(perSecond))
			r.RecordArrival(now, 100*time.Millisecond)
		}
		return now
	}
	now := arrive(start, 40, 120)
	// 40/s x 0.1 s = 4 busy slots, plus 2 x sqrt(4).
	g.Expect(r.Slots(now, 72)).To(BeNumerically("~", 8, 1))
	now = arrive(now, 200, 4)
	g.Expect(r.Slots(now, 72)).To(BeNumerically(">=", 20+2*4-2))
	g.Expect(r.Slots(now, 16)).To(Equal(8))
	g.Expect(r.Slots(now.Add(10*time.Minute), 72)).To(Equal(1))
	g.Expect(r.Slots(now, 1)).To(Equal(0), "half of one slot")
}

func BenchmarkClass(b *testing.B) {
	for _, backers := range []int{5, 50, 210} {
		b.Run(fmt.Sprintf("backers=%d", backers), func(b *testing.B) {
			tr := runtimes.New(runtimes.DefaultMaxKeys)
			keys := make([]runtimes.Key, backers)
			for i := range keys {
				keys[i] = runtimes.Key{Queue: "q", Backer: fmt.Sprint(i), Kind: "k"}
				learn(tr, keys[i], start, 20, time.Second)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				tr.Class(keys[i%backers], 0, start)
			}
		})
	}
}
