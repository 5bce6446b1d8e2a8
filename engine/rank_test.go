package engine

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"samphirepoint/ranking"
)

// stream is a stream of equal jobs.
type stream struct {
	workspace, queue string
	steps            []Step
	// every is the time between two jobs while the stream is active.
	every  time.Duration
	active func(time.Duration) bool
}

// outcome counts the jobs of a stream by how they ended.
type outcome struct {
	sent, refused, onTime, late int
}

// value returns the worth of the outcome for its callers, where a job on time is worth 1.
func (o outcome) value() float64 { return float64(o.onTime) + 0.07*float64(o.late) }

// play sends the streams to the pool for a period, lets it complete what it has accepted, and returns the outcome of each stream. A task takes
// 0.8 to 1.2 times its estimate.
func (w *testPool) play(g Gomega, period time.Duration, streams ...stream) []outcome {
	const step = 50 * time.Millisecond
	out := make([]outcome, len(streams))
	due := make([]time.Duration, len(streams))
	jobs := map[string]int{}
	runs := 0
	rnd := rand.New(rand.NewPCG(1, 2))
	for now := time.Duration(0); now < period; now += step {
		for i, s := range streams {
			for ; due[i] <= now; due[i] += time.Duration(2 * rnd.Float64() * float64(s.every)) {
				if s.active != nil && !s.active(now) {
					continue
				}
				spec := Spec{ID: fmt.Sprintf("%08x%08x", i, out[i].sent), Queue: s.queue, Workspace: s.workspace, Steps: s.steps}
				out[i].sent++
				if refusal, ok := w.pool.Admit(&spec); !ok {
					g.Expect(refusal.RetryAfter).To(BeNumerically(">", 0))
					out[i].refused++
					continue
				}
				jobs[spec.ID] = i
				w.pool.Submit(spec, w.clock())
			}
		}
		w.runTasks(step, &runs)
	}
	for range int(w.pool.options.CompleteWithin / step) {
		w.runTasks(step, &runs)
	}
	for id, i := range jobs {
		j := w.pool.Job(id)
		if w.pool.ranked() {
			g.Expect(j.state).To(Equal(Completed), "accepted work is completed in time")
		}
		q := w.pool.queueOf(j)
		took, objective := time.Duration(j.endedMS-j.submittedMS)*time.Millisecond, q.objective(j.criticalPath)
		switch {
		case j.state != Completed:
		case took <= objective:
			out[i].onTime++
		case took <= ranking.ValueFactor*objective:
			out[i].late++
		}
	}
	return out
}

// runTasks runs the pool for a step and gives each new run its end.
func (w *testPool) runTasks(step time.Duration, runs *int) {
	w.run(step)
	for _, f := range w.workers {
		for _, r := range f.running {
			if r.ends == 0 {
				*runs++
				estimate := time.Duration(w.pool.Job(r.order.Task.Job).Spec.Steps[r.order.Task.Step].EstimateMS) * time.Millisecond
				r.ends, r.reason = w.now+estimate*time.Duration(8+*runs%5)/10, EndDone
			}
		}
	}
}

// compare plays the streams in the present order and ranked, each in a pool of four workers with 256 cores.
func compare(g Gomega, period time.Duration, streams ...stream) (present, ranked []outcome) {
	w := newTestPool(4)
	present = w.play(g, period, streams...)
	w = newTestPool(4)
	w.pool.options.Ranked = true
	return present, w.play(g, period, streams...)
}

// twoSteps returns two steps of tasks of eight cores. The pool of compare completes five jobs of four tasks in each a second.
func twoSteps(tasks int) []Step {
	step := Step{Count: tasks, Need: Resources{CPU: 8000, Mem: 1000}, EstimateMS: 800}
	second := step
	second.After = []int{0}
	return []Step{step, second}
}

// Guards against jobs of two steps that all start as late as they may under twice the capacity, so that most are late in their second step.
func TestRankedServesMoreTwoStepJobsUnderTwiceTheCapacity(t *testing.T) {
	g := NewWithT(t)
	present, ranked := compare(g, 30*time.Second, stream{queue: "q", steps: twoSteps(4), every: 100 * time.Millisecond})
	t.Logf("present %+v, ranked %+v", present, ranked)
	g.Expect(ranked[0].value()).To(BeNumerically(">", 1.15*present[0].value()))
}

// Guards against a burst in one queue of which hardly any job is on time, because the oldest jobs, for which it is too late, go first.
func TestRankedServesMoreOfABurst(t *testing.T) {
	g := NewWithT(t)
	burst := func(at time.Duration) bool { return at < 5*time.Second }
	present, ranked := compare(g, 10*time.Second, stream{queue: "q", steps: twoSteps(4), every: 50 * time.Millisecond, active: burst})
	t.Logf("present %+v, ranked %+v", present, ranked)
	g.Expect(ranked[0].value()).To(BeNumerically(">", 1.3*present[0].value()))
}

// Guards against a queue that is refused throughout, because the other one's peak before has left a backlog of jobs that are late anyway.
func TestRankedServesBothOfPeaksByTurns(t *testing.T) {
	g := NewWithT(t)
	turn := func(k int) func(time.Duration) bool {
		return func(at time.Duration) bool { return int(at/(4*time.Second))%2 == k }
	}
	present, ranked := compare(g, 32*time.Second,
		stream{queue: "q", steps: twoSteps(4), every: 100 * time.Millisecond, active: turn(0)},
		stream{queue: "low", steps: twoSteps(4), every: 100 * time.Millisecond, active: turn(1)})
	t.Logf("present %+v, ranked %+v", present, ranked)
	for i := range ranked {
		g.Expect(ranked[i].value()).To(BeNumerically(">", 1.1*present[i].value()))
	}
}

// Guards against a hot workspace that sends five times what the pool completes, and delays or displaces the work of others that stay within
// their shares.
func TestHotWorkspaceDoesNotDelayOthers(t *testing.T) {
	g := NewWithT(t)
	w := newTestPool(4)
	w.pool.SetWorkspaces([]Workspace{{Name: "a", Weight: 2}, {Name: "b", Weight: 2}, {Name: "hot", Weight: 2}})
	out := w.play(g, 30*time.Second,
		stream{workspace: "a", queue: "q", steps: twoSteps(4), every: time.Second},
		stream{workspace: "b", queue: "q", steps: twoSteps(4), every: time.Second},
		stream{workspace: "hot", queue: "q", steps: twoSteps(4), every: 40 * time.Millisecond})
	t.Logf("%+v", out)
	g.Expect(out[0].onTime + out[1].onTime).To(BeNumerically(">=", 9*(out[0].sent+out[1].sent)/10))
	g.Expect(out[2].onTime).To(BeNumerically(">", 30), "the hot workspace gets what the others leave")
}

// Guards against large jobs that never find room among small ones, and against many-task jobs that small ones displace.
func TestLargeJobsAreServedAmongSmallOnes(t *testing.T) {
	small := Step{Count: 8, Need: Resources{CPU: 4000, Mem: 1000}, EstimateMS: 800}
	for name, large := range map[string]Step{
		"large tasks": {Count: 2, Need: Resources{CPU: 48000, Mem: 1000}, EstimateMS: 800},
		"many tasks":  {Count: 48, Need: Resources{CPU: 4000, Mem: 1000}, EstimateMS: 800},
	} {
		g := NewWithT(t)
		w := newTestPool(8)
		w.pool.options.Ranked = true
		out := w.play(g, 60*time.Second,
			stream{queue: "q", steps: []Step{small}, every: 40 * time.Millisecond},
			stream{queue: "q", steps: []Step{large}, every: 400 * time.Millisecond})
		t.Logf("%s: %+v", name, out)
		all := float64(out[0].onTime+out[1].onTime) / float64(out[0].sent+out[1].sent)
		g.Expect(float64(out[1].onTime)/float64(out[1].sent)).To(BeNumerically(">=", all/2), name)
	}
}

// Guards against refusals and lateness that ranking causes in a pool with enough capacity.
func TestRankedRefusesNothingBelowCapacity(t *testing.T) {
	g := NewWithT(t)
	_, ranked := compare(g, 30*time.Second, stream{queue: "q", steps: twoSteps(4), every: 280 * time.Millisecond})
	g.Expect(ranked[0].onTime).To(Equal(ranked[0].sent))
}

// Guards against an accepted job without value that waits for as long as an overload lasts.
func TestStarvedJobRunsDuringOverload(t *testing.T) {
	g := NewWithT(t)
	w := newTestPool(4)
	w.pool.options.Ranked = true
	w.pool.SetQueues([]Queue{{Name: "hopeless", Priority: 9, TargetMS: 1}})
	hopeless := Spec{ID: "hopeless", Queue: "hopeless", Steps: []Step{{Count: 4, Need: Resources{CPU: 30_000}, EstimateMS: 800}}}
	runs := 0
	for n := range 8 {
		w.pool.Submit(Spec{ID: "first" + itoa(int64(n)), Queue: "q", Steps: twoSteps(4)}, w.clock())
	}
	w.runTasks(50*time.Millisecond, &runs)
	j := w.pool.Submit(hopeless, w.clock())
	for n := range 25 * 10 {
		spec := Spec{ID: itoa(int64(n)), Queue: "q", Steps: twoSteps(4)}
		if _, ok := w.pool.Admit(&spec); ok {
			w.pool.Submit(spec, w.clock())
		}
		w.runTasks(100*time.Millisecond, &runs)
	}
	g.Expect(j.state).To(Equal(Completed))
}

// Guards against refusing the work of others beside idle workers while a workspace waits for its quota, and against accepting work of that
// workspace which cannot be served in time.
func TestWorkBehindAQuotaIsRefusedAlone(t *testing.T) {
	g := NewWithT(t)
	w := newTestPool(4)
	w.pool.SetWorkspaces([]Workspace{{Name: "capped", Weight: 1, Capped: true}, {Name: "free", Weight: 1}})
	w.pool.SetAllotments(map[string]Allotment{"capped": {Limit: Resources{CPU: 32_000, Mem: Unlimited, GPU: Unlimited}}})
	out := w.play(g, 12*time.Second,
		stream{workspace: "capped", queue: "q", steps: twoSteps(4), every: 250 * time.Millisecond},
		stream{workspace: "free", queue: "q", steps: twoSteps(4), every: 500 * time.Millisecond})
	g.Expect(out[0].refused).To(BeNumerically(">", 10))
	g.Expect(out[1].onTime).To(Equal(out[1].sent))
	refusal, ok := w.pool.refuseBehindQuota("free", ranking.Timing{})
	g.Expect(ok).To(BeFalse(), refusal)
}

// Guards against stopping a run that is in time for a long-running task, beside one whose job has no value any more.
func TestPreemptionStopsWorkWithoutValueFirst(t *testing.T) {
	g := NewWithT(t)
	w := newTestPool(1)
	w.pool.options.Ranked = true
	half := Spec{ID: "old", Queue: "low", Steps: []Step{{Count: 1, Need: Resources{CPU: 32_000}, EstimateMS: 800}}}
	w.pool.Submit(half, w.clock())
	w.run(10 * time.Second)
	half.ID = "new"
	w.pool.Submit(half, w.clock())
	w.run(time.Second)
	w.pool.Submit(longRunning("service", 1), w.clock())
	w.run(time.Second)
	g.Expect(w.countRuns("service.0.0.0")).To(Equal(1))
	g.Expect([]int{w.countRuns("old.0.0.0"), w.countRuns("new.0.0.0")}).To(Equal([]int{0, 1}))
}

// Guards against a report on a waiting job that leaves open why others go first.
func TestExplainSaysWhyOthersGoFirst(t *testing.T) {
	g := NewWithT(t)
	w := overloadedPool(2, 40)
	w.pool.options.Ranked = true
	last := oneStep("last", Step{Count: 8, Need: Resources{CPU: 8000, Mem: 100}, EstimateMS: 850})
	last.Queue = "low"
	w.pool.Submit(last, w.clock())
	w.place()
	r, _ := w.pool.Explain("last", w.clock())
	g.Expect(r.Steps[0].WaitReason).To(Equal("no worker has room; 40 steps go first, as the job is on time, behind others by priority, begun work or deadline"))
	w.run(8 * time.Second)
	r, _ = w.pool.Explain("last", w.clock())
	g.Expect(r.Steps[0].WaitReason).To(HaveSuffix("40 steps go first, as the job is of no value"))
}

// Guards against a deployment without workspaces and without the option in which the order or the admission differs from before.
func TestUnrankedOrderIsUnchanged(t *testing.T) {
	g := NewWithT(t)
	w := newTestPool(0)
	w.pool.SetWorkspaces(nil)
	rnd := rand.New(rand.NewPCG(3, 4))
	for n := range 300 {
		spec := oneStep(itoa(int64(n)), Step{Count: 1 + rnd.IntN(3), Need: Resources{CPU: int64(rnd.IntN(9000))}, EstimateMS: int64(rnd.IntN(3000)), LongRunning: rnd.IntN(9) == 0, BestEffort: rnd.IntN(9) == 0})
		spec.Queue = []string{"q", "low"}[rnd.IntN(2)]
		w.pool.Submit(spec, w.clock())
		w.now += time.Duration(rnd.IntN(50)) * time.Millisecond
	}
	c := w.clock()
	former := func(a, b candidate) int {
		late := func(cd candidate) int {
			st := cd.step
			return rankTrueFirst(st.spec.LongRunning || c.Now+w.pool.remainingCriticalPath(st.occ) <= w.pool.deadline(st.occ, w.pool.queueOf(st.occ.job), c))
		}
		deadline := func(cd candidate) time.Duration {
			return w.pool.deadline(cd.step.occ, w.pool.queueOf(cd.step.occ.job), c)
		}
		return cmp.Or(
			cmp.Compare(rankTrueFirst(a.longRunning), rankTrueFirst(b.longRunning)),
			cmp.Compare(late(a), late(b)),
			cmp.Compare(w.pool.queueOf(a.step.occ.job).Priority, w.pool.queueOf(b.step.occ.job).Priority),
			cmp.Compare(deadline(a), deadline(b)),
		)
	}
	list := slices.Clone(w.pool.candidates(c))
	g.Expect(list).To(HaveLen(300))
	g.Expect(slices.IsSortedFunc(list, former)).To(BeTrue())
	g.Expect(w.pool.rank.queue).To(BeZero(), "nothing is recorded for refusals")
}
