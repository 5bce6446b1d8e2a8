//go:build linux

package integration

import (
	"math/rand/v2"
	"os"
	"strconv"
	"syscall"
	"testing"
	"time"

	"samphirepoint/checker"
	"samphirepoint/standin"
	"samphirepoint/standin/faultproxy"
	"samphirepoint/standin/platformd"
	"samphirepoint/standin/workerd"
)

const (
	// seedVariable chooses the faults of TestRandomFaults.
	seedVariable = "SAMPHIREPOINT_SEED"
	defaultSeed  = 1
	rounds       = 3
	// faultLength is longer than the freshness bound of an entry.
	faultLength = 6 * time.Second
)

// fault begins at once; end heals it and waits until its processes run again.
type fault struct {
	name  string
	begin func(w *world, random *rand.Rand) (end func())
}

func onEntry(begin func(w *world, e *entryProcess) func()) func(*world, *rand.Rand) func() {
	return func(w *world, random *rand.Rand) func() { return begin(w, w.entries[random.IntN(len(w.entries))]) }
}

func onWorker(m workerd.Mode) func(*world, *rand.Rand) func() {
	return func(w *world, random *rand.Rand) func() {
		worker := w.workers[random.IntN(len(w.workers))]
		w.setMode(worker, m)
		return func() { w.setMode(worker, workerd.Mode{Mode: workerd.Normal}) }
	}
}

func onTable(f platformd.Fault) func(*world, *rand.Rand) func() {
	return func(w *world, _ *rand.Rand) func() {
		w.setFaults(platformd.Faults{Table: f})
		return func() { w.setFaults(platformd.Faults{}) }
	}
}

func isolated(how isolation) func(*world, *rand.Rand) func() {
	return onEntry(func(w *world, e *entryProcess) func() {
		w.isolate(e, how)
		return func() { w.isolate(e, isolation{}) }
	})
}

var faults = []fault{
	{"entry killed", onEntry(func(w *world, e *entryProcess) func() {
		if e.session.ExitCode() >= 0 {
			return func() {}
		}
		w.kill(e)
		return func() { w.startEntry(e) }
	})},
	{"entry stopped", onEntry(func(w *world, e *entryProcess) func() {
		if e.session.ExitCode() >= 0 {
			return func() {}
		}
		w.signal(e, syscall.SIGSTOP)
		return func() {
			if e.session.ExitCode() < 0 {
				w.signal(e, syscall.SIGCONT)
			}
		}
	})},
	{"entry isolated", isolated(isolation{sends: true, receives: true})},
	{"entry sends nothing", isolated(isolation{sends: true})},
	{"entry receives nothing", isolated(isolation{receives: true})},
	{"connections between entries silent", func(w *world, _ *rand.Rand) func() {
		for _, e := range w.entries {
			w.network.blackHole(e.id)
		}
		return func() {}
	}},
	{"connections to workers silent", func(w *world, _ *rand.Rand) func() {
		for _, worker := range w.workers {
			worker.proxy.BlackHole()
		}
		return func() {}
	}},
	{"worker answers late", func(w *world, random *rand.Rand) func() {
		worker := w.workers[random.IntN(len(w.workers))]
		worker.proxy.Set(faultproxy.Faults{Down: faultproxy.Direction{Cut: true}})
		return func() { worker.proxy.Set(faultproxy.Faults{}) }
	}},
	{"table down", onTable(platformd.Fault{Down: true})},
	{"table slow", onTable(platformd.Fault{Delay: standin.Duration(time.Second)})},
	{"table loses replies", onTable(platformd.Fault{LoseProbability: 0.3})},
	{"worker leaves", onWorker(workerd.Mode{Mode: workerd.Leave})},
	{"worker fails everything", onWorker(workerd.Mode{Mode: workerd.FailFast})},
	{"worker truncates answers", onWorker(workerd.Mode{Mode: workerd.Truncate, Probability: 0.3})},
	{"worker swaps answers", onWorker(workerd.Mode{Mode: workerd.Swap, Probability: 0.3})},
}

// seed is that of the environment or the default one, so that the verdict of a plain run is always the same.
func seed(t *testing.T) uint64 {
	text := os.Getenv(seedVariable)
	if text == "" {
		return defaultSeed
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		t.Fatalf("%s: %v", seedVariable, err)
	}
	return n
}

// Two faults at a time meet states that none of the other scenarios has. Whatever they are, nothing non-idempotent runs twice,
// no verdict is untrue, no wrong answer is passed on, versions do not go back, and afterwards work succeeds again.
func TestRandomFaults(t *testing.T) {
	parallel(t)
	s := seed(t)
	random := rand.New(rand.NewPCG(s, 4))
	t.Logf("reproduce with %s=%d", seedVariable, s)
	w := newWorld(t, 5)
	w.watchVersions()
	c := w.startCallers(s, false)
	c.awaitSuccesses(time.Time{}, idempotent, nonIdempotent)
	for round := range rounds {
		first, second := faults[random.IntN(len(faults))], faults[random.IntN(len(faults))]
		offset := time.Duration(random.IntN(2000)) * time.Millisecond
		t.Logf("round %d: %s, %v later %s", round+1, first.name, offset, second.name)
		endFirst := first.begin(w, random)
		began := time.Now()
		awaitTime(began.Add(offset))
		endSecond := second.begin(w, random)
		w.accept(w.entries...) // may fail under the faults; an accepted change counts for P8
		awaitTime(began.Add(faultLength))
		endFirst()
		endSecond()
		w.waitReady(w.entries...)
		c.awaitSuccesses(time.Now(), idempotent, nonIdempotent)
	}
	w.judge(c.finish(), checker.P3, checker.P5, checker.P8)
}
