package dev

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"samphirepoint/admin"
	"samphirepoint/fleet"
	"samphirepoint/instance"
	"samphirepoint/load"
	"samphirepoint/standin"
	"samphirepoint/standin/faultproxy"
	"samphirepoint/standin/platformd"
	"samphirepoint/wave"
)

// Guards against a wave that interrupts requests, sends work to a draining worker, exceeds a budget, or skips an
// instance; all entries are replaced while the wave runs.
func TestLiveWave(t *testing.T) {
	runLive(t, Options{Rate: 100, Seed: 1}, func(l *liveCluster) {
		l.startWave(admin.PlanBody{ID: "wave", Pools: []string{"pumps", "routes"}, DrainTimeout: "1m"})
		l.waitUntil("an instance is maintained", conditionTimeout, func() bool { return len(l.waveRow("wave").Results) > 0 })
		l.replaceEntries("b")
		w := l.waitForWave("wave")
		l.expectMaintained(w)
		for _, id := range w.Instances() {
			l.Expect(l.reboots(id)).To(gomega.Equal(1), id)
			l.Expect(l.instanceRow(id).State).To(gomega.Equal(instance.Serving))
			l.waitUntil(id+" accepts work again", 20*time.Second, func() bool { return !l.worker(id).Status().Draining })
		}
		report := l.finish()
		l.expectKnownOutcomes()
		for _, p := range []string{"P1", "P2", "P3", "P5", "P6", "P7"} {
			l.Expect(fmt.Sprint(report.Gaps)).NotTo(gomega.ContainSubstring(p + ": no evidence"))
		}
	})
}

// expectKnownOutcomes fails the test for each request whose outcome is unknown to its caller.
func (l *liveCluster) expectKnownOutcomes() {
	l.t.Helper()
	for _, r := range l.records {
		if r.ErrKind == load.ErrBroken || r.ErrKind == load.ErrTimeout || r.Verdict == "may-have-run" {
			l.t.Errorf("request %s of %s at %s: status %d verdict %s %s %s", r.RequestID, r.Queue, r.Sent, r.Status, r.Verdict, r.ErrKind, r.Err)
		}
	}
}

// Guards against two waves that together exceed a budget, against a wave that continues while failures use up the
// budget, and against one that stays paused afterwards.
func TestLiveTwoWavesAndFailures(t *testing.T) {
	runLive(t, Options{Rate: 80, Seed: 2, Document: liveTable(1), WorkersPerPool: map[string]int{"pumps": 3, "deliveries": 3, "slips": 2, "routes": 2, "ledger-common": 2}}, func(l *liveCluster) {
		var both sync.WaitGroup
		for _, body := range []admin.PlanBody{
			{ID: "one", Pools: []string{"pumps", "deliveries"}, DrainTimeout: "1m"},
			{ID: "two", Pools: []string{"deliveries", "pumps"}, DrainTimeout: "1m"},
		} {
			both.Add(1)
			go func() {
				defer both.Done()
				client := l.fleetAdmin()
				if _, err := client.Plan(l.ctx, body); err != nil {
					t.Error(err)
				}
				if _, err := client.ChangeWave(l.ctx, body.ID, fleet.ActionStart); err != nil {
					t.Error(err)
				}
			}()
		}
		both.Wait()
		l.waitUntil("the wave that waits for the other names what it waits for", conditionTimeout, func() bool {
			return len(l.waveRow("one").Waits)+len(l.waveRow("two").Waits) > 0
		})
		l.killWorker("pumps-03")
		var reason string
		l.waitUntil("a wave pauses because of the failure", conditionTimeout, func() bool {
			for _, id := range []string{"one", "two"} {
				if w := l.waveRow(id); w.Status == wave.Paused && w.Pause.Auto {
					reason = w.Pause.Reason
				}
			}
			return reason != ""
		})
		l.Expect(reason).To(gomega.And(gomega.ContainSubstring("pumps-03"), gomega.ContainSubstring("pool pumps"), gomega.ContainSubstring("backer")))
		w := l.addWorker("pumps-03", "gasabo", "pumps-r1") // another address
		l.waitUntil("the instance is available again under its new address", conditionTimeout, func() bool {
			in := l.instanceRow("pumps-03")
			return in.State != instance.Failed && in.Address == w.Address()
		})
		for _, id := range []string{"one", "two"} {
			l.waitForWave(id)
		}
		for id, in := range l.instanceRows() {
			if strings.HasPrefix(id, "pumps") || strings.HasPrefix(id, "deliveries") {
				l.Expect(in.State).To(gomega.Equal(instance.Serving), id)
			}
		}
		l.finish()
	})
}

// Guards against steps that are executed twice or by a former lease holder. After each kind of step the holder is
// partitioned from the platform until the next step, when its delayed calls are delivered late; replies are lost
// throughout.
func TestLiveLeaseHolderPartitioned(t *testing.T) {
	runLive(t, Options{Rate: 50, Seed: 3, Entries: 4, WorkersPerPool: workersInEachPool(2)}, func(l *liveCluster) {
		l.Platform.SetFaults(platformd.Faults{Table: platformd.Fault{LoseProbability: 0.1, Delay: standin.Duration(20 * time.Millisecond)}})
		_, err := l.fleetAdmin().Plan(l.ctx, admin.PlanBody{ID: "wave", Pools: []string{"pumps", "slips"}, DrainTimeout: "1m"})
		l.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = l.fleetAdmin().ChangeWave(l.ctx, "wave", fleet.ActionStart)
		l.Expect(err).NotTo(gomega.HaveOccurred())
		partitioned := ""
		for i, state := range []instance.State{instance.Draining, instance.Rebooting, instance.Serving} {
			from := len(l.history())
			l.waitUntil("a step to "+string(state), conditionTimeout, func() bool {
				for _, ch := range l.history()[from:] {
					if strings.HasPrefix(ch.Row.Key, instance.Prefix) && strings.Contains(string(ch.Row.Value), `"state":"`+string(state)+`"`) {
						return true
					}
				}
				return l.waveRow("wave").Status == wave.Done
			})
			if l.waveRow("wave").Status == wave.Done {
				t.Fatalf("the wave ended before fault %d", i)
			}
			if partitioned != "" {
				l.proxies[partitioned].Set(faultproxy.Faults{}) // delayed calls are delivered now
			}
			id, token := l.leaseHolder()
			partitioned = id
			l.proxies[id].Cut(true)
			l.waitUntil("another entry acquires the lease", conditionTimeout, func() bool { now, n := l.leaseHolder(); return n > token && now != id })
		}
		l.proxies[partitioned].Set(faultproxy.Faults{})
		w := l.waitForWave("wave")
		l.expectMaintained(w)
		for _, id := range w.Instances() {
			l.Expect(l.reboots(id)).To(gomega.Equal(1), id)
		}
		l.Platform.SetFaults(platformd.Faults{})
		l.finish()
	})
}
