package cluster

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"samphirepoint/owner"
)

// restartAll restarts all workers under their IDs. Each executes the last lease renewal of its former incarnation.
func (x *ownersOfOnePool) restartAll(down time.Duration) {
	var renewals []sentRenewal
	x.mu.Lock()
	for _, w := range x.workers {
		renewals = append(renewals, w.lastRenewal)
	}
	x.mu.Unlock()
	for _, in := range x.instances {
		x.restartWorker(in, down)
	}
	time.Sleep(down)
	for _, r := range renewals {
		r.Wait = 0
		_, _ = x.hold(r.to, r.LeaseRenewal)
	}
}

// Guards against a second run of a task whose worker, restarted under its ID and cut off, holds a longer lease than its owner counts, because it
// has read the deadline of a renewal for its former incarnation on its new clock.
func TestTasksRunOnceOnARestartedWorkerThatIsCutOff(t *testing.T) {
	for _, takeover := range []bool{false, true} {
		t.Run(fmt.Sprint("takeover=", takeover), func(t *testing.T) {
			runOwnersOfOnePool(t, func(g *WithT, x *ownersOfOnePool) {
				for _, w := range x.workers {
					w.clockStartMS = simMaxClockStart.Milliseconds() // later than on the clocks after the restart
				}
				o := x.serve(g, "a", owner.Settings{})
				time.Sleep(4 * time.Second)
				x.setCut(func(_, worker string) bool { return worker != "" })
				x.restartAll(600 * time.Millisecond)
				if takeover {
					o.Stop()
				}
				x.setCut(nil)
				time.Sleep(longestRegistration)
				if takeover {
					o = x.serve(g, "b", owner.Settings{})
				}
				x.setRoster(g, o)
				spec := x.lastingJob()
				g.Expect(o.Submit(x.ctx, spec)).To(Succeed())
				running := func() map[string]bool { return x.workersOf(spec.ID) }
				g.Eventually(running, 3*time.Second, 10*time.Millisecond).Should(HaveLen(3))
				behindCut := running()
				x.setCut(func(_, worker string) bool { return behindCut[worker] })
				time.Sleep(20 * time.Second)
				again := running()
				g.Expect(again).To(HaveLen(3))
				for id := range again {
					g.Expect(behindCut).NotTo(HaveKey(id))
				}
			})
		})
	}
}
