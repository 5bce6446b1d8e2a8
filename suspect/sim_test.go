package suspect

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// simWorker is a worker that may fail, stall, restart or be slow.
type simWorker struct {
	*Worker
	failShare, stallShare float64
	slowness              float64
	// restarts reports whether the worker starts again at the given time.
	restarts func(now time.Duration) bool
	runs     []*simRun

	started, failed int
	suspectedAt     time.Duration
}

type simRun struct {
	period            Period
	job               string
	began, took       time.Duration
	fails, slowCalled bool
}

// simulation drives a Tracker by workers that always have enough work.
type simulation struct {
	tracker *Tracker
	workers []*simWorker
	rnd     *rand.Rand
	now     time.Duration
	// jobErrors is the share of runs that fail on any worker.
	jobErrors float64
	// longJobs is the share of runs that take eight times as long on any worker.
	longJobs float64
	// health answers the questions to suspects; nil if there is no health path.
	health      func(w *simWorker) Health
	asked       int
	maxSuspects int
	// falseSuspicions counts those of workers for which isGood holds.
	falseSuspicions int
	isGood          func(w *simWorker) bool
}

const (
	simStep     = 10 * time.Millisecond
	simExpected = 400 * time.Millisecond
	simSlots    = 4
)

func newSimulation(seed uint64, workers int) *simulation {
	x := &simulation{tracker: New(), rnd: rand.New(rand.NewPCG(seed, 1)), jobErrors: 0.01}
	ids := map[string]bool{}
	for n := range workers {
		id := fmt.Sprintf("i-%02d", n)
		ids[id] = true
		x.workers = append(x.workers, &simWorker{Worker: x.tracker.Worker(id), slowness: 1})
	}
	x.tracker.SetListed(ids, 0)
	x.isGood = func(w *simWorker) bool {
		return w.failShare == 0 && w.stallShare == 0 && w.slowness == 1 && w.restarts == nil
	}
	return x
}

func (x *simulation) run(d time.Duration) {
	for end := x.now + d; x.now < end; x.now += simStep {
		for _, w := range x.workers {
			x.advance(w)
		}
		suspects := 0
		for _, w := range x.workers {
			if w.State() == Suspected {
				suspects++
			}
		}
		x.maxSuspects = max(x.maxSuspects, suspects)
		x.countEvents()
	}
}

func (x *simulation) countEvents() {
	for _, e := range x.tracker.TakeEvents() {
		i := slices.IndexFunc(x.workers, func(w *simWorker) bool { return w.id == e.Worker })
		w := x.workers[i]
		if e.Kind == EventSuspected && w.suspectedAt == 0 {
			w.suspectedAt = x.now
		}
		if e.Kind == EventSuspected && x.isGood(w) {
			x.falseSuspicions++
		}
	}
}

func (x *simulation) advance(w *simWorker) {
	if w.restarts != nil && w.restarts(x.now) {
		w.Restarted(x.now)
		for _, r := range w.runs {
			w.Over(r.period)
		}
		w.runs = nil
	}
	if x.health != nil && w.AskHealth(x.now) {
		x.asked++
		w.HealthAnswered(x.health(w), x.now)
	}
	w.runs = slices.DeleteFunc(w.runs, func(r *simRun) bool { return x.end(w, r) })
	for len(w.runs) < simSlots && w.Room(x.now) > 0 {
		x.start(w)
	}
}

func (x *simulation) start(w *simWorker) {
	r := &simRun{period: w.Started(), job: fmt.Sprint("j", x.rnd.Int64()), began: x.now}
	r.took = time.Duration(float64(200+x.rnd.IntN(400)) * w.slowness * float64(time.Millisecond))
	if x.longJobs > 0 && x.rnd.Float64() < x.longJobs {
		r.took *= 8
	}
	r.fails = x.rnd.Float64() < max(x.jobErrors, w.failShare)
	if x.rnd.Float64() < w.stallShare {
		r.took = time.Hour
	}
	w.runs = append(w.runs, r)
	w.started++
}

// end handles a run that is over, or has become slow. It reports whether the run is over. A stalled run on a suspect is stopped.
func (x *simulation) end(w *simWorker, r *simRun) bool {
	elapsed := x.now - r.began
	switch {
	case elapsed >= r.took:
		w.Over(r.period)
		switch {
		case r.fails:
			w.failed++
			w.Failed(r.period, r.job, x.now)
		case !r.slowCalled:
			w.Done(r.period, r.job, elapsed, simExpected, x.now)
		}
		return true
	case elapsed > x.tracker.StalledAfter(simExpected) && w.State() == Suspected:
		w.Over(r.period)
		return true
	case elapsed > x.tracker.SlowAfter(simExpected) && !r.slowCalled:
		r.slowCalled = true
		w.Slow(r.period, r.job, x.now)
	}
	return false
}

// expectFewStarts fails the test if, in the given time, bad workers get more than the given share of the starts of the good ones.
func (x *simulation) expectFewStarts(t *testing.T, d time.Duration, share float64) {
	t.Helper()
	before := map[string]int{}
	for _, w := range x.workers {
		before[w.id] = w.started
	}
	x.run(d)
	good, goodWorkers := 0, 0
	for _, w := range x.workers {
		if x.isGood(w) {
			good += w.started - before[w.id]
			goodWorkers++
		}
	}
	for _, w := range x.workers {
		if n := w.started - before[w.id]; !x.isGood(w) && float64(n) > share*float64(good)/float64(goodWorkers) {
			t.Errorf("%s has got %d starts, a good worker %d", w.id, n, good/goodWorkers)
		}
	}
}
