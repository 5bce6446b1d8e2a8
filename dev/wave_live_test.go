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

// Guards against a wave that cuts requests off, sends work to a draining worker, exceeds a budget, or leaves
// an instance out; the entries are all replaced in the middle.
func TestLiveWave(t *testing.T) {
	runLive(t, Options{Rate: 100, Seed: 1}, func(l *live) {
		l.startWave(admin.PlanBody{ID: "wave", Pools: []string{"pumps", "routes"}, DrainTimeout: "1m"})
		l.until("an instance is maintained", patience, func() bool { return len(l.waveRow("wave").Results) > 0 })
		l.replaceEntries("b")
		w := l.waveEnds("wave")
		l.maintained(w)
		for _, id := range w.Instances() {
			l.Expect(l.reboots(id)).To(gomega.Equal(1), id)
			l.Expect(l.row(id).State).To(gomega.Equal(instance.Serving))
			l.until(id+" takes work again", 20*time.Second, func() bool { return !l.worker(id).Status().Draining })
		}
		report := l.finish()
		l.noneCutOff()
		for _, p := range []string{"P1", "P2", "P3", "P5", "P6", "P7"} {
			l.Expect(fmt.Sprint(report.Gaps)).NotTo(gomega.ContainSubstring(p + ": no evidence"))
		}
	})
}

// noneCutOff fails for each request whose caller does not know what became of it.
func (l *live) noneCutOff() {
	l.t.Helper()
	for _, r := range l.records {
		if r.ErrKind == load.ErrBroken || r.ErrKind == load.ErrTimeout || r.Verdict == "may-have-run" {
			l.t.Errorf("request %s of %s at %s: status %d verdict %s %s %s", r.RequestID, r.Queue, r.Sent, r.Status, r.Verdict, r.ErrKind, r.Err)
		}
	}
}

// Guards against two waves that together exceed a budget, against a wave that goes on while failures use the
// budget up, and against one that stays paused afterwards.
func TestLiveTwoWavesAndFailures(t *testing.T) {
	runLive(t, Options{Rate: 80, Seed: 2, Document: liveTable(1), Workers: map[string]int{"pumps": 3, "deliveries": 3, "slips": 2, "routes": 2, "ledger-common": 2}}, func(l *live) {
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
		l.until("the wave that waits for the other names what it waits for", patience, func() bool {
			return len(l.waveRow("one").Waits)+len(l.waveRow("two").Waits) > 0
		})
		l.closeWorker("pumps-03")
		var reason string
		l.until("a wave pauses for the failure", patience, func() bool {
			for _, id := range []string{"one", "two"} {
				if w := l.waveRow(id); w.Status == wave.Paused && w.Pause.Auto {
					reason = w.Pause.Reason
				}
			}
			return reason != ""
		})
		l.Expect(reason).To(gomega.And(gomega.ContainSubstring("pumps-03"), gomega.ContainSubstring("pool pumps"), gomega.ContainSubstring("backer")))
		w := l.addWorker("pumps-03", "gasabo", "pumps-r1") // another address
		l.until("the instance is back under its new address", patience, func() bool {
			in := l.row("pumps-03")
			return in.State != instance.Failed && in.Address == w.Address()
		})
		for _, id := range []string{"one", "two"} {
			l.waveEnds(id)
		}
		for id, in := range l.rows() {
			if strings.HasPrefix(id, "pumps") || strings.HasPrefix(id, "deliveries") {
				l.Expect(in.State).To(gomega.Equal(instance.Serving), id)
			}
		}
		l.finish()
	})
}

// Guards against steps that are taken twice or by a former holder: after each kind of step the holder loses the
// platform, in turn for good and for a while with its calls delivered late, and replies are lost all the time.
func TestLiveHolderLost(t *testing.T) {
	runLive(t, Options{Rate: 50, Seed: 3, Entries: 4, Workers: workers(2)}, func(l *live) {
		l.Platform.SetFaults(platformd.Faults{Table: platformd.Fault{LoseProbability: 0.1, Delay: standin.Duration(20 * time.Millisecond)}})
		_, err := l.fleetAdmin().Plan(l.ctx, admin.PlanBody{ID: "wave", Pools: []string{"pumps", "slips"}, DrainTimeout: "1m"})
		l.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = l.fleetAdmin().ChangeWave(l.ctx, "wave", fleet.ActionStart)
		l.Expect(err).NotTo(gomega.HaveOccurred())
		cut := ""
		for i, state := range []instance.State{instance.Draining, instance.Rebooting, instance.Serving} {
			from := len(l.history())
			l.until("a step to "+string(state), patience, func() bool {
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
			if cut != "" {
				l.proxies[cut].Set(faultproxy.Faults{}) // calls held back arrive now
			}
			id, token := l.holder()
			cut = id
			l.proxies[id].Cut(true)
			l.until("another entry takes the lease", patience, func() bool { now, n := l.holder(); return n > token && now != id })
		}
		l.proxies[cut].Set(faultproxy.Faults{})
		w := l.waveEnds("wave")
		l.maintained(w)
		for _, id := range w.Instances() {
			l.Expect(l.reboots(id)).To(gomega.Equal(1), id)
		}
		l.Platform.SetFaults(platformd.Faults{})
		l.finish()
	})
}
