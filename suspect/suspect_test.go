package suspect

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

const simSeeds = 5

// eachSeed runs a test of a pattern with several seeds on 10 workers.
func eachSeed(t *testing.T, test func(t *testing.T, x *simulation)) {
	for seed := range uint64(simSeeds) {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) { test(t, newSimulation(seed, 10)) })
	}
}

// Pattern: a worker fails everything that it starts. Guards against a worker that takes work for seconds, and for seconds again after
// each pause.
func TestWorkerThatFailsAllItsRuns(t *testing.T) {
	eachSeed(t, func(t *testing.T, x *simulation) {
		g := NewWithT(t)
		x.run(2 * time.Second)
		bad := x.workers[3]
		bad.failShare = 1
		x.run(2 * time.Second)
		g.Expect(bad.State()).To(Equal(Suspected))
		g.Expect(bad.failed).To(BeNumerically("<=", 12))
		x.expectFewStarts(t, 30*time.Second, 0.05)
		bad.failShare = 0
		x.run(8 * time.Second)
		g.Expect(bad.State()).To(Equal(Normal), "it works again")
	})
}

// Pattern: workers fail 30 to 45 % of their runs. Guards against a worker whose successes hide its failures.
func TestWorkersThatFailAPart(t *testing.T) {
	eachSeed(t, func(t *testing.T, x *simulation) {
		x.workers[1].failShare, x.workers[6].failShare = 0.3, 0.45
		x.run(10 * time.Second)
		x.expectFewStarts(t, 60*time.Second, 0.35)
	})
}

// Pattern: runs on a worker never end. Guards against a worker that is taken for busy.
func TestWorkerThatStalls(t *testing.T) {
	eachSeed(t, func(t *testing.T, x *simulation) {
		x.workers[2].stallShare = 1
		x.run(3 * time.Second)
		x.expectFewStarts(t, 30*time.Second, 0.1)
	})
}

// Pattern: workers are 4 and 5 times as slow. Guards against a slow worker that gets full load after each pause.
func TestSlowWorkers(t *testing.T) {
	eachSeed(t, func(t *testing.T, x *simulation) {
		x.workers[0].slowness, x.workers[9].slowness = 4, 5
		x.run(5 * time.Second)
		x.expectFewStarts(t, 30*time.Second, 0.1)
		x.workers[0].slowness = 1
		x.run(12 * time.Second)
		NewWithT(t).Expect(x.workers[0].State()).To(Equal(Normal), "it is fast again")
	})
}

// Pattern: a worker restarts every 1.4 s. Guards against runs that are lost again and again.
func TestWorkerThatFlaps(t *testing.T) {
	eachSeed(t, func(t *testing.T, x *simulation) {
		x.workers[5].restarts = func(now time.Duration) bool { return now%(1400*time.Millisecond) == 0 }
		x.run(6 * time.Second)
		x.expectFewStarts(t, 30*time.Second, 0.5)
	})
}

// Pattern: every 1.4 s the next one of three workers restarts. Guards against runs that are lost again and again on workers of which each
// works for some seconds in between.
func TestWorkersThatRestartByTurns(t *testing.T) {
	eachSeed(t, func(t *testing.T, x *simulation) {
		for n, w := range x.workers[:3] {
			w.restarts = func(now time.Duration) bool {
				const turn = 1400 * time.Millisecond
				return now%turn == 0 && int(now/turn)%3 == n
			}
		}
		x.run(15 * time.Second)
		x.expectFewStarts(t, 30*time.Second, 0.7)
	})
}

// Pattern: every worker restarts once, one after the other every 1.4 s. Guards against taking an orderly restart of a whole pool for
// trouble.
func TestOrderlyRestartOfAPool(t *testing.T) {
	eachSeed(t, func(t *testing.T, x *simulation) {
		x.jobErrors = 0
		for n, w := range x.workers {
			w.restarts = func(now time.Duration) bool { return now == time.Duration(n+1)*1400*time.Millisecond }
		}
		x.run(20 * time.Second)
		for _, w := range x.workers {
			NewWithT(t).Expect(w.suspectedAt).To(BeZero())
		}
	})
}

// Pattern: the workers of a rack fail at once. Guards against ejecting others with them, and against ejecting more than the bound.
func TestRackThatFails(t *testing.T) {
	for _, rack := range []int{3, 5} {
		t.Run(fmt.Sprint(rack, " of 10"), func(t *testing.T) {
			eachSeed(t, func(t *testing.T, x *simulation) {
				g := NewWithT(t)
				for _, w := range x.workers[:rack] {
					w.failShare = 1
				}
				x.run(2 * time.Second)
				g.Expect(x.tracker.suspects).To(Equal(3))
				x.run(20 * time.Second)
				g.Expect(x.maxSuspects).To(Equal(3))
				g.Expect(x.falseSuspicions).To(BeZero())
				for _, w := range x.workers[:rack] {
					g.Expect(w.State() == Suspected || w.State() == Returning || w.Avoided(x.now)).To(BeTrue())
				}
			})
		})
	}
}

// Pattern: jobs with an error rate of their own of 3 % on workers without a fault. Guards against suspicions by chance.
func TestJobsWithErrorsOfTheirOwn(t *testing.T) {
	starts, suspicions := 0, 0
	for seed := range uint64(simSeeds) {
		x := newSimulation(seed, 10)
		x.jobErrors = 0.03
		x.run(60 * time.Second)
		suspicions += x.falseSuspicions
		for _, w := range x.workers {
			starts += w.started
		}
	}
	t.Logf("%d suspicions in %d runs", suspicions, starts)
	NewWithT(t).Expect(suspicions).To(BeNumerically("<=", starts/500))
}

// Pattern: estimates that are four times too low for all jobs. Guards against taking the whole pool for slow for good.
func TestEstimatesThatAreTooLow(t *testing.T) {
	eachSeed(t, func(t *testing.T, x *simulation) {
		for _, w := range x.workers {
			w.slowness = 4
		}
		x.run(20 * time.Second)
		x.isGood = func(*simWorker) bool { return true }
		x.falseSuspicions = 0
		x.run(20 * time.Second)
		NewWithT(t).Expect(x.falseSuspicions).To(BeZero())
	})
}

// Pattern: 15 % of the jobs take eight times as long as expected, on any worker. Guards against taking the workers that happen to run them
// for slow.
func TestJobsOfUnevenLength(t *testing.T) {
	starts, suspicions := 0, 0
	for seed := range uint64(simSeeds) {
		x := newSimulation(seed, 10)
		x.longJobs = 0.15
		x.run(60 * time.Second)
		suspicions += x.falseSuspicions
		for _, w := range x.workers {
			starts += w.started
		}
	}
	t.Logf("%d suspicions in %d runs", suspicions, starts)
	NewWithT(t).Expect(suspicions).To(BeNumerically("<=", starts/200))
}

// Pattern: false answers of the health path. Guards against a good worker that is never probed, against a bad one that returns by its
// answer, and against too many questions.
func TestFalseHealthAnswers(t *testing.T) {
	for name, answer := range map[string]Health{"healthy while all fails": Healthy, "unhealthy while all works": Unhealthy, "no answer": Unknown} {
		t.Run(name, func(t *testing.T) {
			eachSeed(t, func(t *testing.T, x *simulation) {
				g := NewWithT(t)
				x.tracker.SetAsksHealth(true)
				askedAt := time.Duration(-time.Hour)
				x.health = func(*simWorker) Health {
					g.Expect(x.now-askedAt).To(BeNumerically(">=", time.Second), "%s", x.now)
					askedAt = x.now
					return answer
				}
				x.jobErrors = 0
				bad := x.workers[3]
				bad.failShare = 1
				x.run(2 * time.Second)
				g.Expect(bad.State()).To(Equal(Suspected))
				x.expectFewStarts(t, 20*time.Second, 0.05)
				bad.failShare = 0
				x.run(maxProbeDelay + maxHealthDelay + 4*time.Second)
				g.Expect(bad.State()).To(Equal(Normal), "it works again")
				g.Expect(x.asked).To(BeNumerically("<=", 30))
			})
		})
	}
}

// Guards against a successful run from before the suspicion, or a healthy answer, that ends it, and against a second probe run beside the
// first one.
func TestOnlyTheProbeRunEndsASuspicion(t *testing.T) {
	g := NewWithT(t)
	x := newSimulation(1, 10)
	w := x.workers[0].Worker
	early := w.Started()
	for n := range 3 {
		w.Failed(w.Started(), fmt.Sprint(n), time.Second)
	}
	g.Expect(w.State()).To(Equal(Suspected))
	w.Done(early, "early", 0, 0, time.Second)
	w.HealthAnswered(Healthy, time.Second)
	g.Expect(w.State()).To(Equal(Suspected))
	due := time.Second + minProbeDelay
	g.Expect(w.Room(due - 1)).To(BeZero())
	g.Expect(w.Room(due)).To(Equal(1))
	probe := w.Started()
	g.Expect(w.Room(due + time.Minute)).To(BeZero())
	w.Over(probe)
	g.Expect(w.Room(due+time.Minute)).To(Equal(1), "a probe run without a result may be repeated")
	probe = w.Started()
	w.Over(probe)
	w.Done(probe, "p", 0, 0, due)
	g.Expect(w.State()).To(Equal(Returning))
	g.Expect(w.Room(due)).To(Equal(firstReturnLimit))
	run := w.Started()
	w.Over(run)
	w.Done(run, "r", 0, 0, due)
	g.Expect(w.Room(due)).To(Equal(2 * firstReturnLimit))
}

// Guards against a delay between probe runs that stays short while all of them fail, or grows without bound.
func TestFailedProbesDoubleTheDelay(t *testing.T) {
	g := NewWithT(t)
	x := newSimulation(1, 10)
	w := x.workers[0].Worker
	for n := range 3 {
		w.Failed(w.Started(), fmt.Sprint(n), 0)
	}
	now := minProbeDelay
	for _, delay := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 4 * time.Second} {
		g.Expect(w.Room(now)).To(Equal(1))
		probe := w.Started()
		w.Over(probe)
		w.Failed(probe, "p", now)
		g.Expect(w.Room(now + delay - 1)).To(BeZero())
		now += delay
	}
}

// Guards against one job, whose tasks all fail or are all slow by themselves, that makes its worker a suspect.
func TestTasksOfOneJobCountLess(t *testing.T) {
	g := NewWithT(t)
	w := newSimulation(1, 10).workers[0].Worker
	for range 5 {
		w.Failed(w.Started(), "same", 0)
		w.Slow(w.Started(), "same", 0)
	}
	g.Expect(w.State()).To(Equal(Normal))
}

// Guards against a worker beyond the bound that gets all the work which others have no room for and fails it at once, and against one that gets
// none although it succeeds.
func TestToleratedWorkerPausesAfterFailures(t *testing.T) {
	g := NewWithT(t)
	w := newSimulation(1, 3).workers[0].Worker // 30 % of 3 are none
	for n := range 3 {
		w.Failed(w.Started(), fmt.Sprint(n), 0)
	}
	g.Expect(w.State()).To(Equal(Tolerated))
	g.Expect(w.Room(toleratedPause - 1)).To(BeZero())
	g.Expect(w.Room(toleratedPause)).To(BeNumerically(">", simSlots))
	w.Done(w.Started(), "done", 0, 0, toleratedPause)
	g.Expect(w.Room(toleratedPause)).To(BeNumerically(">", simSlots))
	g.Expect(w.Avoided(time.Second)).To(BeTrue())
	g.Expect(w.Avoided(time.Minute)).To(BeFalse())
}

// Guards against ejecting more than the bound, or all workers, whatever happens in whatever order, and against a second probe run.
func TestBoundsHoldAfterAnyEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := New()
		tracker.SetAsksHealth(rapid.Bool().Draw(t, "asks"))
		runs := map[string][]Period{}
		probes := map[string]int{}
		now := time.Duration(0)
		id := func() string { return fmt.Sprint("i", rapid.IntRange(0, 11).Draw(t, "worker")) }
		take := func(id string) (Period, bool) {
			if len(runs[id]) == 0 {
				return 0, false
			}
			n := rapid.IntRange(0, len(runs[id])-1).Draw(t, "run")
			r := runs[id][n]
			runs[id] = append(runs[id][:n:n], runs[id][n+1:]...)
			tracker.Worker(id).Over(r)
			return r, true
		}
		job := func() string { return fmt.Sprint(rapid.IntRange(0, 100).Draw(t, "job")) }
		t.Repeat(map[string]func(*rapid.T){
			"list": func(t *rapid.T) {
				ids := map[string]bool{}
				for n := range rapid.IntRange(0, 12).Draw(t, "listed") {
					ids[fmt.Sprint("i", n)] = true
				}
				tracker.SetListed(ids, now)
			},
			"wait": func(t *rapid.T) { now += time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond },
			"start": func(t *rapid.T) {
				id := id()
				if w := tracker.Worker(id); w.Room(now) > 0 {
					runs[id] = append(runs[id], w.Started())
				}
			},
			"fail": func(t *rapid.T) {
				id := id()
				if r, ok := take(id); ok {
					tracker.Worker(id).Failed(r, job(), now)
				}
			},
			"done": func(t *rapid.T) {
				id := id()
				if r, ok := take(id); ok {
					took := time.Duration(rapid.IntRange(1, 9000).Draw(t, "took")) * time.Millisecond
					tracker.Worker(id).Done(r, job(), took, time.Second, now)
				}
			},
			"lose":    func(t *rapid.T) { take(id()) },
			"restart": func(t *rapid.T) { tracker.Worker(id()).Restarted(now) },
			"reject":  func(t *rapid.T) { tracker.Worker(id()).Rejected(now) },
			"silence": func(t *rapid.T) { tracker.Worker(id()).Silent(now) },
			"health": func(t *rapid.T) {
				if w := tracker.Worker(id()); w.AskHealth(now) {
					w.HealthAnswered(Health(rapid.IntRange(0, 2).Draw(t, "health")), now)
				}
			},
			"": func(t *rapid.T) {
				listed, suspects := 0, 0
				for id, w := range tracker.workers {
					clear(probes)
					for _, r := range runs[id] {
						if w.State() == Suspected && r == w.period {
							probes[id]++
						}
					}
					if probes[id] > 1 {
						t.Fatalf("%s has %d probe runs", id, probes[id])
					}
					if w.running < 0 {
						t.Fatalf("%s has %d runs", id, w.running)
					}
					if w.listed {
						listed++
						if w.State() == Suspected {
							suspects++
						}
					}
				}
				if suspects != tracker.suspects || listed != tracker.listed {
					t.Fatalf("%d suspects of %d, counted %d of %d", suspects, listed, tracker.suspects, tracker.listed)
				}
				if 100*suspects > MaxSuspectPercent*listed || listed > 0 && suspects == listed {
					t.Fatalf("%d suspects of %d workers", suspects, listed)
				}
			},
		})
	})
}
