package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"samphirepoint/retry"
	"samphirepoint/verdict"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func seeded(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1)) }

// Guards against a second run of non-idempotent work, retries after the deadline, retries without end, and
// a rejection as not run that is not resent although nothing prevents it.
func TestDecideInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := retry.Attempt{
			Verdict:    rapid.SampledFrom([]verdict.Verdict{verdict.MayHaveRun, verdict.NotRun, verdict.Ran}).Draw(t, "verdict"),
			Idempotent: rapid.Bool().Draw(t, "idempotent"),
			Tries:      rapid.IntRange(0, 6).Draw(t, "tries"), Resends: rapid.IntRange(0, 20).Draw(t, "resends"),
			Expected:  time.Duration(rapid.IntRange(0, 3000).Draw(t, "expected")) * time.Millisecond,
			CannotRun: rapid.Bool().Draw(t, "cannotRun"),
		}
		if rapid.Bool().Draw(t, "hasDeadline") {
			a.Deadline = start.Add(time.Duration(rapid.IntRange(-1000, 5000).Draw(t, "deadline")) * time.Millisecond)
		}
		d := retry.Policy{Budget: retry.NewBudget(), Rand: seeded(rapid.Uint64().Draw(t, "seed"))}.Decide(start, a)
		switch {
		case d.Reason == "":
			t.Fatalf("the decision has no reason for the log")
		case !d.Retry:
			if a.Verdict == verdict.NotRun && a.Resends <= 1 && a.Deadline.IsZero() && !a.CannotRun {
				t.Fatalf("first rejection as not run must be resent: %+v", d)
			}
		case a.CannotRun || a.Verdict != verdict.NotRun && (!a.Idempotent || a.Tries >= retry.MaxTries):
			t.Fatalf("retry of %+v", a)
		case !a.Deadline.IsZero() && start.Add(d.After+a.Expected).After(a.Deadline):
			t.Fatalf("retry after %v ends past the deadline of %+v", d.After, a)
		}
	})
}

// countAttempts sends 100 requests a second, which succeed for a minute and then fail for a minute, and returns the number
// of attempts during the failures.
func countAttempts(budget *retry.Budget) int {
	p := retry.Policy{Budget: budget, Rand: seeded(2)}
	now, n := start, 0
	for i := range 12000 {
		now = now.Add(10 * time.Millisecond)
		if i < 6000 {
			if budget != nil {
				budget.Success(now)
			}
			continue
		}
		for try := 1; ; try++ {
			n++
			if !p.Decide(now, retry.Attempt{Idempotent: true, Tries: try}).Retry {
				break
			}
		}
	}
	return n
}

// Guards against retries that multiply the load while everything fails.
func TestBudgetBoundsRetriesInOutage(t *testing.T) {
	g := NewWithT(t)
	unlimited, limited := countAttempts(nil), countAttempts(retry.NewBudget())
	t.Logf("attempts of 6000 requests in an outage: without budget %d, with budget %d", unlimited, limited)
	g.Expect(unlimited).To(Equal(6000 * retry.MaxTries))
	g.Expect(limited).To(BeNumerically("<=", 6000*11/10))
}

// Guards against more retries than a tenth of the successes plus the minimum bucket, which covers one rack.
func TestRetriesAreTenthOfSuccesses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, now := retry.NewBudget(), start
		successes, retries := 0, 0
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				if float64(retries) > 32+float64(successes)/10+1e-6 {
					t.Fatalf("%d retries after %d successes", retries, successes)
				}
			},
			"success": func(t *rapid.T) {
				for range rapid.IntRange(1, 50).Draw(t, "n") {
					successes++
					b.Success(now)
				}
			},
			"retry": func(t *rapid.T) {
				for range rapid.IntRange(1, 50).Draw(t, "n") {
					if b.Take(now) {
						retries++
					}
				}
			},
			"advance": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 9000).Draw(t, "ms")) * time.Millisecond)
			},
		})
	})
}

// Guards against retries that arrive together: the delays must grow and spread over the whole range.
func TestBackoffHasFullJitter(t *testing.T) {
	g := NewWithT(t)
	rnd := seeded(3)
	for try, limit := range map[int]time.Duration{1: 25 * time.Millisecond, 3: 100 * time.Millisecond, 50: time.Second} {
		low, high := time.Hour, time.Duration(0)
		for range 1000 {
			d := retry.Backoff(rnd, try)
			low, high = min(low, d), max(high, d)
		}
		g.Expect(low).To(BeNumerically("<", limit/20))
		g.Expect(high).To(BeNumerically("~", limit, limit/20))
	}
}

// countInTime simulates a queue of 8 slots at twice its capacity for a minute, with a run time of 100 ms and a deadline of
// 1 s, and returns the number of requests that end before their deadline.
func countInTime(shed bool) int {
	const slots, run, gap, deadline = 8, 100 * time.Millisecond, 6250 * time.Microsecond, time.Second
	free := make([]time.Time, slots) // when each slot becomes free
	var starts []time.Time
	inTime := 0
	for at := time.Duration(0); at < time.Minute; at += gap {
		now := start.Add(at)
		ahead := 0
		for _, s := range starts {
			if s.After(now) {
				ahead++
			}
		}
		starts = starts[len(starts)-ahead:]
		slot, idle := 0, 0
		for i := range free {
			if free[i].Before(free[slot]) {
				slot = i
			}
			if !free[i].After(now) {
				idle++
			}
		}
		load := retry.Load{Ahead: ahead, OwnAhead: ahead, Share: 1, Slots: slots, Free: idle, MeanRun: run}
		if shed && retry.Shed(now, now.Add(deadline), load.Wait()+run) {
			continue
		}
		begin := now
		if free[slot].After(now) {
			begin = free[slot]
		}
		free[slot] = begin.Add(run)
		starts = append(starts, begin)
		if !free[slot].After(now.Add(deadline)) {
			inTime++
		}
	}
	return inTime
}

// Guards against an overloaded queue in which every request waits past its deadline. The pool can serve 4800 requests.
func TestSheddingKeepsGoodput(t *testing.T) {
	g := NewWithT(t)
	without, with := countInTime(false), countInTime(true)
	t.Logf("requests in time of 9600, capacity 4800: without shedding %d, with shedding %d", without, with)
	g.Expect(with).To(BeNumerically(">", 4800*9/10))
	g.Expect(without).To(BeNumerically("<", 4800/2))
}

// Guards against shedding one backer's work because of another's backlog, against shedding in an idle pool, and
// against rejected callers that all retry in the same second.
func TestWaitAndRetryAfter(t *testing.T) {
	g := NewWithT(t)
	load := retry.Load{Ahead: 1000, OwnAhead: 0, Share: 0.5, Slots: 10, MeanRun: time.Second}
	g.Expect(load.Wait()).To(Equal(200 * time.Millisecond))
	load.OwnAhead = 1000
	g.Expect(load.Wait()).To(BeNumerically("~", 100*time.Second, time.Second))
	g.Expect(retry.Load{Free: 1, Slots: 10, MeanRun: time.Hour}.Wait()).To(BeZero())
	g.Expect(retry.Load{}.Wait()).To(BeNumerically(">", 0), "a pool without slots")
	g.Expect(retry.Shed(start, time.Time{}, time.Hour)).To(BeFalse())
	rnd, seen := seeded(4), map[time.Duration]bool{}
	for range 100 {
		d := retry.RetryAfter(rnd, 10*time.Second)
		g.Expect(d).To(BeNumerically(">=", 10*time.Second))
		g.Expect(d % time.Second).To(BeZero())
		seen[d] = true
	}
	g.Expect(len(seen)).To(BeNumerically(">", 3))
}

func BenchmarkDecide(b *testing.B) {
	p := retry.Policy{Budget: retry.NewBudget(), Rand: seeded(5)}
	b.ReportAllocs()
	for range b.N {
		p.Decide(start, retry.Attempt{Verdict: verdict.NotRun, Resends: 2})
	}
}
