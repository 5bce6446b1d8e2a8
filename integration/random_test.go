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
	// seedVariable names the environment variable with the seed that selects the faults of TestRandomFaults.
	seedVariable = "SAMPHIREPOINT_SEED"
	defaultSeed  = 1
	rounds       = 3
	// faultDuration is longer than the freshness bound of an entry, after which it stops admitting work.
	faultDuration = 6 * time.Second
)

// fault is a fault that inject starts immediately. The function that inject returns ends it and starts or resumes the
// processes it stopped.
type fault struct {
	name   string
	inject func(d *deployment, random *rand.Rand) (end func())
}

func entryFault(begin func(d *deployment, e *entryProcess) func()) func(*deployment, *rand.Rand) func() {
	return func(d *deployment, random *rand.Rand) func() { return begin(d, d.entries[random.IntN(len(d.entries))]) }
}

func workerFault(m workerd.Mode) func(*deployment, *rand.Rand) func() {
	return func(d *deployment, random *rand.Rand) func() {
		worker := d.workers[random.IntN(len(d.workers))]
		d.setMode(worker, m)
		return func() { d.setMode(worker, workerd.Mode{Mode: workerd.Normal}) }
	}
}

func tableFault(f platformd.Fault) func(*deployment, *rand.Rand) func() {
	return func(d *deployment, _ *rand.Rand) func() {
		d.setFaults(platformd.Faults{Table: f})
		return func() { d.setFaults(platformd.Faults{}) }
	}
}

func isolationFault(mode isolation) func(*deployment, *rand.Rand) func() {
	return entryFault(func(d *deployment, e *entryProcess) func() {
		d.isolate(e, mode)
		return func() { d.isolate(e, isolation{}) }
	})
}

var faults = []fault{
	{"entry killed", entryFault(func(d *deployment, e *entryProcess) func() {
		if e.session.ExitCode() >= 0 {
			return func() {}
		}
		d.kill(e)
		return func() { d.startEntry(e) }
	})},
	{"entry stopped", entryFault(func(d *deployment, e *entryProcess) func() {
		if e.session.ExitCode() >= 0 {
			return func() {}
		}
		d.signal(e, syscall.SIGSTOP)
		return func() {
			if e.session.ExitCode() < 0 {
				d.signal(e, syscall.SIGCONT)
			}
		}
	})},
	{"entry isolated", isolationFault(isolation{sends: true, receives: true})},
	{"entry sends nothing", isolationFault(isolation{sends: true})},
	{"entry receives nothing", isolationFault(isolation{receives: true})},
	{"connections between entries black-holed", func(d *deployment, _ *rand.Rand) func() {
		for _, e := range d.entries {
			d.network.blackHole(e.id)
		}
		return func() {}
	}},
	{"connections to workers black-holed", func(d *deployment, _ *rand.Rand) func() {
		for _, worker := range d.workers {
			worker.proxy.BlackHole()
		}
		return func() {}
	}},
	{"worker answers held back", func(d *deployment, random *rand.Rand) func() {
		worker := d.workers[random.IntN(len(d.workers))]
		worker.proxy.Set(faultproxy.Faults{Down: faultproxy.Direction{Cut: true}})
		return func() { worker.proxy.Set(faultproxy.Faults{}) }
	}},
	{"table down", tableFault(platformd.Fault{Down: true})},
	{"table slow", tableFault(platformd.Fault{Delay: standin.Duration(time.Second)})},
	{"table loses replies", tableFault(platformd.Fault{LoseProbability: 0.3})},
	{"worker leaves", workerFault(workerd.Mode{Mode: workerd.Leave})},
	{"worker fails everything", workerFault(workerd.Mode{Mode: workerd.FailFast})},
	{"worker truncates answers", workerFault(workerd.Mode{Mode: workerd.Truncate, Probability: 0.3})},
	{"worker swaps answers", workerFault(workerd.Mode{Mode: workerd.Swap, Probability: 0.3})},
}

// seed returns the seed of the environment or a fixed default, so that plain runs always inject the same faults.
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

// TestRandomFaults injects two random faults at a time, which leads to states that no other scenario covers. In all of them
// no non-idempotent work runs twice, no verdict is wrong, no wrong response is passed on, and versions do not go back;
// afterwards requests succeed again.
func TestRandomFaults(t *testing.T) {
	parallel(t)
	s := seed(t)
	random := rand.New(rand.NewPCG(s, 4))
	t.Logf("reproduce with %s=%d", seedVariable, s)
	d := newDeployment(t, 5)
	d.watchVersions()
	c := d.startCallers(s, false)
	c.awaitSuccesses(time.Time{}, idempotent, nonIdempotent)
	for round := range rounds {
		first, second := faults[random.IntN(len(faults))], faults[random.IntN(len(faults))]
		offset := time.Duration(random.IntN(2000)) * time.Millisecond
		t.Logf("round %d: %s, %v later %s", round+1, first.name, offset, second.name)
		endFirst := first.inject(d, random)
		injectedAt := time.Now()
		sleepUntil(injectedAt.Add(offset))
		endSecond := second.inject(d, random)
		d.acceptChange(d.entries...) // may fail under the faults; an accepted change counts for P8
		sleepUntil(injectedAt.Add(faultDuration))
		endFirst()
		endSecond()
		d.waitReady(d.entries...)
		c.awaitSuccesses(time.Now(), idempotent, nonIdempotent)
	}
	d.checkProperties(c.finish(), checker.P3, checker.P5, checker.P8)
}
