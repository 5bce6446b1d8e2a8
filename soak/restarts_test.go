package soak

import (
	"os"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"samphirepoint/standin/jobfleet"
)

// Guards against a lease that ends later than its owner counts: all workers start again under their IDs, with clocks that read far less than
// before, and are started on at once; those of one availability zone are then cut off for longer than the lease that the owner counts, and run on.
func TestTasksRunOnceOnRestartedWorkers(t *testing.T) {
	t.Parallel()
	for name, dark := range map[string]bool{"connections are reset": false, "connections stay silent": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			r := startSplitRun(t, g, 3)
			r.submitLongTasks(g)
			zone, down := jobfleet.Zones[0], 600*time.Millisecond
			for _, z := range jobfleet.Zones {
				for _, in := range r.fleet.InstancesIn(z) {
					g.Expect(r.fleet.Restart(in, jobfleet.Restart{Down: down, EntryDelay: longestEntryDelay, Clock: time.Minute, Dark: dark})).To(BeTrue())
				}
			}
			time.Sleep(down)
			g.Eventually(func() (running int) {
				for _, in := range r.fleet.InstancesIn(zone) {
					_, n := r.fleet.Worker(in)
					running += n
				}
				return running
			}, startTime, 20*time.Millisecond).Should(BeNumerically(">", 0))
			time.Sleep(shortestWayToCut)
			inZone := func(e jobfleet.Endpoint) bool { return e.Kind == jobfleet.EndpointWorker && e.Zone == zone }
			r.fleet.SetPartition(func(from, to jobfleet.Endpoint) bool { return inZone(from) || inZone(to) })
			time.Sleep(maxLease + 4*time.Second)
			r.fleet.SetPartition(nil)
			time.Sleep(stableTime)
			broken, _ := r.fleet.Violations()
			g.Expect(broken).To(BeEmpty(), "logs in %s", r.options.Dir)
		})
	}
}

// Guards against a repeated start whose first order is executed by the next incarnation, after the owner has taken the run for over: half of
// the calls to the workers of an availability zone are late, and the workers start again, behind a cut or in reach.
func TestLateStartsRunOnceOnRestartedWorkers(t *testing.T) {
	t.Parallel()
	for name, s := range map[string]struct {
		least, most, down time.Duration
		cut               bool
	}{
		"behind a cut": {least: 4 * time.Second, most: longestDelay, down: longestDown, cut: true},
		"in reach":     {least: time.Second, most: 2 * time.Second, down: 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			r := startSplitRun(t, g, 3)
			zone := r.fleet.InstancesIn(jobfleet.Zones[0])
			for _, in := range zone {
				r.fleet.DelayCalls(in, jobfleet.LateCalls{Window: startTime, Least: s.least, Most: s.most, OneOf: 2})
			}
			r.submitLongTasks(g)
			if s.cut {
				defer r.cut(zone)()
			}
			for _, in := range zone {
				r.fleet.DelayCalls(in, jobfleet.LateCalls{})
				g.Expect(r.fleet.Restart(in, jobfleet.Restart{Down: s.down, Clock: time.Minute})).To(BeTrue())
			}
			time.Sleep(maxLease + 4*time.Second)
			g.Expect(r.fleet.Counts().CallsOfFormer).To(BeNumerically(">", 0))
			broken, _ := r.fleet.Violations()
			g.Expect(broken).To(BeEmpty(), "logs in %s", r.options.Dir)
		})
	}
}

// Guards against promises that hold while workers get a new ID with each start, and are broken when they start again under the one that they
// had, in series and with calls that are executed late.
func TestPromisesWhileWorkersRestart(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	program, err := os.Executable()
	g.Expect(err).NotTo(HaveOccurred())
	result, err := Run(t.Context(), Options{
		Seed: 2, Duration: 20 * time.Second, Program: program, Env: []string{daemonVariable + "=1"}, Dir: t.ArtifactDir(), Daemons: 3, Callers: 4, Restarts: true,
	})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(result.Violations).To(BeEmpty())
	g.Expect(result.Completed).To(BeNumerically(">", 0))
	g.Expect(result.Workers.StartsAfterRestart).To(BeNumerically(">", 0))
	g.Expect(result.Workers.CutOff).To(BeNumerically(">", 0))
}
