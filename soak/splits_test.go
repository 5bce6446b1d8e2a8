package soak

import (
	"fmt"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"samphirepoint/standin/jobfleet"
)

// splitScenario says which daemons a partition leaves without the store.
type splitScenario struct {
	// with are the daemons that stay with the owners, by index; the store is on the other side.
	with []int
	// restarted is the daemon that is down when the partition begins, and starts on the side of the store.
	restarted int
}

// forgetTime is how long a daemon is down until the others have taken over its pools and removed its row.
const forgetTime = 10 * time.Second

// noDaemon stands for a scenario in which no daemon is restarted.
const noDaemon = -1

// Guards against tasks that run twice at the same time after a split of the network, on both sides of which there are daemons and workers: the
// owners on the side without the store go on renewing the leases of their workers, while the other side starts the tasks again.
func TestTasksRunOnceBehindASplit(t *testing.T) {
	for name, s := range map[string]splitScenario{
		"all but one daemon without the store":                  {with: []int{0, 1}, restarted: noDaemon},
		"a daemon that was down joins on the side of the store": {with: []int{0, 1}, restarted: 2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			r := startSplitRun(t, g, 3)
			if s.restarted != noDaemon {
				p := r.daemons[s.restarted]
				p.signal(syscall.SIGKILL)
				g.Expect(p.hasExited(killReserve)).To(BeTrue())
				time.Sleep(forgetTime)
			}
			r.submitLongTasks(g)
			behind := map[endpointGroup]bool{}
			for _, k := range s.with {
				behind[endpointGroup{jobfleet.EndpointDaemon, r.daemons[k].zone}] = true
				behind[endpointGroup{jobfleet.EndpointWorker, r.daemons[k].zone}] = true
			}
			side := func(e jobfleet.Endpoint) bool { return behind[endpointGroup{e.Kind, e.Zone}] }
			r.fleet.SetPartition(func(from, to jobfleet.Endpoint) bool { return side(from) != side(to) })
			if s.restarted != noDaemon {
				g.Expect(r.daemons[s.restarted].start()).To(Succeed())
			}
			time.Sleep(3 * maxLease)
			r.fleet.SetPartition(nil)
			time.Sleep(stableTime)
			broken, _ := r.fleet.Violations()
			g.Expect(broken).To(BeEmpty(), "logs in %s", r.options.Dir)
		})
	}
}

// startSplitRun starts a fleet and its daemons, one in each availability zone.
func startSplitRun(t *testing.T, g *WithT, daemons int) *run {
	program, err := os.Executable()
	g.Expect(err).NotTo(HaveOccurred())
	r, err := newRun(Options{Program: program, Env: []string{daemonVariable + "=1"}, Dir: t.ArtifactDir(), Daemons: daemons})
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(r.close)
	g.Expect(r.configure(func() {})).To(Succeed())
	g.Expect(r.startDaemons(t.Context())).To(Succeed())
	return r
}

// submitLongTasks submits jobs whose tasks outlast the longest lease, and waits until they run.
func (r *run) submitLongTasks(g *WithT) {
	const jobs = 6
	for k := range jobs {
		c := call{method: http.MethodPost, queue: queues[k%len(queues)], id: fmt.Sprintf("%016x", k+1), key: r.drawValidKey()}
		c.body = `{"task_spec":"40s","steps":[{"count":4,"cpu":4000,"mem_mb":100,"estimate_ms":40000}]}`
		g.Eventually(func() (int, error) {
			status, _, err := r.daemons[0].ask(c, nil)
			return status, err
		}, startTime, 100*time.Millisecond).Should(Equal(http.StatusOK))
	}
	g.Eventually(func() (running int) {
		for k := range jobs {
			_, _, n := r.fleet.Job(fmt.Sprintf("%016x", k+1))
			running += n
		}
		return running
	}, startTime, 100*time.Millisecond).Should(Equal(4 * jobs))
}
