package dev

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"samphirepoint/admin"
	"samphirepoint/checker"
	"samphirepoint/fleet"
	"samphirepoint/instance"
	"samphirepoint/mover"
	"samphirepoint/request"
	"samphirepoint/standin"
	"samphirepoint/standin/platformd"
	"samphirepoint/standin/workerd"
	"samphirepoint/table"
	"samphirepoint/wave"
)

// Guards against moves that release an instance while an entry still sends it work of the old pool: all entries are
// replaced while instances move.
func TestLiveMovesByCommand(t *testing.T) {
	runLive(t, Options{Rate: 100, Seed: 4}, func(l *liveCluster) {
		move := func(pool string, ids ...string) {
			_, err := l.fleetAdmin().Move(l.ctx, pool, "move", admin.MoveBody{Instances: ids})
			l.Expect(err).NotTo(gomega.HaveOccurred())
		}
		move("pumps", "ledger-common-01", "ledger-common-02", "routes-01")
		move("slips", "deliveries-01", "deliveries-02", "routes-02")
		l.waitUntil("an instance has moved", conditionTimeout, func() bool {
			for _, m := range l.moveRows() {
				if m.Status == fleet.MoveDone {
					return true
				}
			}
			return false
		})
		move("routes", "pumps-04", "slips-04")
		l.replaceEntries("b")
		l.waitUntil("all moves are done", conditionTimeout, func() bool {
			for _, m := range l.moveRows() {
				if m.Status != fleet.MoveDone {
					return false
				}
			}
			return true
		})
		for id, pool := range map[string]string{"ledger-common-01": "pumps", "routes-01": "pumps", "deliveries-02": "slips", "routes-02": "slips", "pumps-04": "routes", "slips-04": "routes"} {
			l.Expect(l.instanceRow(id).Pool).To(gomega.Equal(pool), id)
		}
		l.finish()
		l.expectKnownOutcomes()
	})
}

// Guards against a learned policy that does not follow a lasting change of demand, moves one instance twice, or releases
// it too early. The settings differ from the defaults only in time constants, costs and hysteresis.
func TestLiveLearnedMoves(t *testing.T) {
	runLive(t, Options{Rate: 130, Seed: 5, WorkersPerPool: map[string]int{"pumps": 1, "deliveries": 1, "slips": 1, "routes": 1, "ledger-common": 4},
		MovePolicy: func() mover.Policy {
			s := mover.InziraSettings()
			s.Window, s.Stabilization, s.MoveInterval = 10*time.Second, 2*time.Second, 2*time.Second
			s.BlockingCost, s.MoveCost, s.Hysteresis = 1000, 1, 0.9
			return mover.NewLearned(s)
		}}, func(l *liveCluster) {
		l.waitUntil("the learned policy has moved an instance", conditionTimeout, func() bool {
			for _, m := range l.moveRows() {
				if m.Status == fleet.MoveDone && strings.HasPrefix(m.By, "mover learned") {
					return true
				}
			}
			return false
		})
		l.finish()
	})
}

// Guards against a platform outage that stops serving, lets steps of a wave or move proceed, repeats writes, or ends in
// a thundering herd of reads; a wave and a move are in progress.
func TestLivePlatformOutage(t *testing.T) {
	const entries = 4
	runLive(t, Options{Rate: 60, Seed: 6, Entries: entries, WorkersPerPool: workersInEachPool(2)}, func(l *liveCluster) {
		l.startWave(admin.PlanBody{ID: "wave", Pools: []string{"pumps"}, DrainTimeout: "1m"})
		_, err := l.fleetAdmin().Move(l.ctx, "slips", "move", admin.MoveBody{Instances: []string{"ledger-common-01"}})
		l.Expect(err).NotTo(gomega.HaveOccurred())
		l.waitUntil("a drain has started", conditionTimeout, func() bool { return l.instanceRow("pumps-01").State == instance.Draining })
		down := platformd.Fault{Down: true}
		l.Platform.SetFaults(platformd.Faults{Table: down, Objects: down, Instances: down})
		from, before := len(l.history()), l.Platform.Counters()
		begin := time.Now()
		const outage = 16 * time.Second
		l.waitUntil("the outage has lasted long enough", conditionTimeout, func() bool { return time.Since(begin) > outage })
		during := l.Platform.Counters()
		l.Expect(l.history()[from:]).To(gomega.BeEmpty(), "rows written while the table was down")
		refused := float64(during.Refused-before.Refused) / outage.Seconds()
		t.Logf("calls refused during the outage: %.1f/s by %d entries and %d workers", refused, entries, len(l.Workers))
		// The platform is available again, at first with slow replies.
		l.Platform.SetFaults(platformd.Faults{Table: platformd.Fault{Delay: standin.Duration(300 * time.Millisecond)}})
		recovered, recoveredAt := l.Platform.Counters(), time.Now()
		maxReadRate, last, lastAt := 0.0, recovered, recoveredAt
		l.waitUntil("the observation window after the outage has ended", conditionTimeout, func() bool {
			if time.Since(lastAt) >= time.Second {
				now := l.Platform.Counters()
				rate := float64(now.Reads-last.Reads) / time.Since(lastAt).Seconds()
				maxReadRate, last, lastAt = max(maxReadRate, rate), now, time.Now()
			}
			return time.Since(recoveredAt) > 5*time.Second
		})
		t.Logf("highest read rate after the outage: %.0f/s", maxReadRate)
		// The platform serves about 2,000 reads a second to all its users; a quarter of that for 4 entries would be a
		// thundering herd.
		l.Expect(maxReadRate).To(gomega.BeNumerically("<", 500))
		l.Platform.SetFaults(platformd.Faults{})
		l.expectMaintained(l.waitForWave("wave"))
		l.waitUntil("the move is done", conditionTimeout, func() bool { return l.instanceRow("ledger-common-01").Pool == "slips" })
		for _, id := range []string{"pumps-01", "pumps-02"} {
			l.Expect(l.reboots(id)).To(gomega.Equal(1), id)
		}
		l.finish()
		served := 0
		for _, r := range l.records {
			if r.Idempotent && r.OK() && r.Sent.After(begin.Add(time.Second)) && r.Sent.Before(begin.Add(outage)) {
				served++
			}
		}
		l.Expect(served).To(gomega.BeNumerically(">", 60), "idempotent work continues during the outage")
	})
}

// Guards against instances that appear, disappear or return under another address and are not registered, not marked
// failed, or registered in two pools.
func TestLiveInstanceChurn(t *testing.T) {
	runLive(t, Options{Rate: 60, Seed: 7}, func(l *liveCluster) {
		l.addWorker("new-01", "gasabo", "new-r1")
		l.killWorker("pumps-01")
		l.killWorker("routes-02")
		l.waitUntil("the new instance is in the spare pool", conditionTimeout, func() bool { return l.instanceRow("new-01").Pool == "ledger-common" })
		l.waitUntil("instances that disappeared are marked failed", 30*time.Second, func() bool {
			return l.instanceRow("pumps-01").State == instance.Failed && l.instanceRow("routes-02").State == instance.Failed
		})
		w := l.addWorker("pumps-01", "kicukiro", "pumps-r9")
		l.waitUntil("the replaced instance serves in its pool", 30*time.Second, func() bool {
			in := l.instanceRow("pumps-01")
			return in.State == instance.Serving && in.Address == w.Address() && in.Pool == "pumps" && in.Rack == "pumps-r9"
		})
		from := len(w.Journal(0))
		l.waitUntil("the replaced instance receives work", 30*time.Second, func() bool { return len(w.Journal(from)) > 0 })
		l.killWorker("slips-01")
		replacement := l.addWorker("slips-01", "gasabo", "slips-r1") // replaced before the failure is detected
		l.waitUntil("the row has the address of the quickly replaced instance", 30*time.Second, func() bool {
			return l.instanceRow("slips-01").Address == replacement.Address() && l.instanceRow("slips-01").State == instance.Serving
		})
		l.Expect(l.instanceRow("routes-02").State).To(gomega.Equal(instance.Failed))
		l.finish()
	})
}

// Guards against a table change that is lost, late or reverted when entries restart and the table becomes unavailable,
// and against one operator silently overwriting a cell that another one has changed.
func TestLiveTableChanges(t *testing.T) {
	runLive(t, Options{Rate: 40, Seed: 8, Entries: 4, WorkersPerPool: workersInEachPool(2)}, func(l *liveCluster) {
		for i := range 2 {
			l.Expect(l.acceptWeightChange(l.ctx, i)).To(gomega.Succeed())
		}
		l.replaceEntries("b")
		l.Expect(l.acceptWeightChange(l.ctx, 2)).To(gomega.Succeed())
		var wins, conflicts atomic.Int32
		var both sync.WaitGroup
		cell, err := table.ParseCell("bus-company.weight")
		l.Expect(err).NotTo(gomega.HaveOccurred())
		doc, err := l.admin().Table(l.ctx)
		l.Expect(err).NotTo(gomega.HaveOccurred())
		base := doc.Value(cell)
		for i := range 2 {
			both.Add(1)
			go func() {
				defer both.Done()
				_, err := l.admin().SetCells(l.ctx, []table.Edit{{Cell: cell, Value: fmt.Sprint(7 + i), Base: base}})
				if err == nil {
					wins.Add(1)
				} else if strings.Contains(err.Error(), cell.String()) || strings.Contains(err.Error(), "weight") {
					conflicts.Add(1)
				} else {
					t.Error(err)
				}
			}()
		}
		both.Wait()
		l.Expect([]int32{wins.Load(), conflicts.Load()}).To(gomega.Equal([]int32{1, 1}), "one operator wins, the other gets a conflict")
		draft, err := l.admin().Draft(l.ctx)
		l.Expect(err).NotTo(gomega.HaveOccurred())
		reply, err := l.admin().Accept(l.ctx, admin.AcceptBody{Operation: admin.NewOperation(), Reason: "race", Draft: draft.Draft})
		l.Expect(err).NotTo(gomega.HaveOccurred())
		// The table becomes unavailable as soon as the change is accepted.
		l.Platform.SetFaults(platformd.Faults{Table: platformd.Fault{Down: true}})
		at := time.Now()
		l.mu.Lock()
		l.accepted = append(l.accepted, checker.Acceptance{Time: at, Version: reply.Version})
		l.mu.Unlock()
		l.waitUntil("the change is in force everywhere", 7*time.Second, func() bool {
			for _, e := range l.Entries {
				if e.ConfigVersion() < reply.Version {
					return false
				}
			}
			return true
		})
		l.waitUntil("all entries were sampled after the bound", conditionTimeout, func() bool { return time.Since(at) > 8*time.Second })
		l.Platform.SetFaults(platformd.Faults{})
		report := l.finish()
		l.Expect(report.Checked[checker.P8]).To(gomega.BeNumerically(">", 100))
	})
}

// submitJob submits a job and returns its id. With a key the job is non-idempotent.
func (l *liveCluster) submitJob(queue string, run time.Duration, key string) string {
	l.t.Helper()
	body, err := json.Marshal(workerd.Work{RunMs: int(run.Milliseconds())})
	l.Expect(err).NotTo(gomega.HaveOccurred())
	req, err := http.NewRequestWithContext(l.ctx, http.MethodPost, "http://"+l.targets()[0]+"/v1/queues/"+queue+"/jobs", bytes.NewReader(body))
	l.Expect(err).NotTo(gomega.HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+l.Tokens["water-board"])
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(request.HeaderKind, "audit")
	req.Header.Set(request.HeaderDeadline, "5m")
	if key != "" {
		req.Header.Set(request.HeaderIdempotent, "false")
		req.Header.Set(request.HeaderIdempotencyKey, key)
		req.Header.Set(request.HeaderIdempotencyIssued, time.Now().UTC().Format(time.RFC3339Nano))
	}
	resp, err := l.client.Do(req)
	l.Expect(err).NotTo(gomega.HaveOccurred())
	defer resp.Body.Close()
	var status struct{ ID string }
	l.Expect(json.NewDecoder(resp.Body).Decode(&status)).To(gomega.Succeed())
	l.Expect(resp.StatusCode).To(gomega.Equal(http.StatusAccepted))
	return status.ID
}

// jobState returns a job's state and verdict.
func (l *liveCluster) jobState(id string) (state, verdict string) {
	req, err := http.NewRequestWithContext(l.ctx, http.MethodGet, "http://"+l.targets()[0]+"/v1/jobs/"+id, nil)
	l.Expect(err).NotTo(gomega.HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+l.Tokens["water-board"])
	resp, err := l.client.Do(req)
	l.Expect(err).NotTo(gomega.HaveOccurred())
	defer resp.Body.Close()
	var status struct{ State, Verdict string }
	l.Expect(json.NewDecoder(resp.Body).Decode(&status)).To(gomega.Succeed())
	return status.State, status.Verdict
}

// taskEvents returns the task events of a kind for a pool from the journals of all workers.
func (l *liveCluster) taskEvents(pool string, kind workerd.Kind) []workerd.Event {
	var list []workerd.Event
	for _, w := range l.Workers {
		for _, e := range w.Journal(0) {
			if e.Task != "" && e.Kind == kind && e.Pool == pool {
				list = append(list, e)
			}
		}
	}
	return list
}

// Guards against a drain that waits forever for an idempotent task, and against one that interrupts a non-idempotent
// task: the first is checkpointed, stopped and resumed on another worker, the second makes the wave end without
// maintaining the instance.
func TestLiveLongJobs(t *testing.T) {
	runLive(t, Options{Rate: 20, Seed: 9, WorkersPerPool: workersInEachPool(2)}, func(l *liveCluster) {
		idempotent := l.submitJob("pumps", 24*time.Second, "")
		once := l.submitJob("slips", 24*time.Second, "once")
		l.waitUntil("both jobs run", conditionTimeout, func() bool {
			return len(l.taskEvents("pumps", workerd.Start)) == 1 && len(l.taskEvents("slips", workerd.Start)) == 1
		})
		first, single := l.taskEvents("pumps", workerd.Start)[0], l.taskEvents("slips", workerd.Start)[0]
		l.startWave(admin.PlanBody{ID: "stops", Instances: []string{first.Worker}, DrainTimeout: "3s", Length: "1m"})
		l.startWave(admin.PlanBody{ID: "waits", Instances: []string{single.Worker}, DrainTimeout: "3s", Length: "14s"})
		l.waitUntil("the wave names the task that it waits for", conditionTimeout, func() bool {
			for _, w := range l.waveRow("waits").Waits {
				if w.For.Kind == wave.KindWork && strings.Contains(w.Reason, "water-board") {
					return true
				}
			}
			return false
		})
		l.expectMaintained(l.waitForWave("stops"))
		w := l.waitForWave("waits")
		l.Expect(w.Results[single.Worker]).To(gomega.Equal(wave.NotMaintained))
		l.Expect(l.reboots(single.Worker)).To(gomega.BeZero())
		for _, id := range []string{idempotent, once} {
			l.waitUntil("job "+id+" is done", conditionTimeout, func() bool { state, _ := l.jobState(id); return state == "done" })
		}
		l.Expect(l.taskEvents("slips", workerd.Start)).To(gomega.HaveLen(1), "the non-idempotent job")
		starts, ends := l.taskEvents("pumps", workerd.Start), l.taskEvents("pumps", workerd.End)
		l.Expect(len(starts)).To(gomega.Equal(2))
		var worked time.Duration
		for _, e := range ends {
			for _, s := range starts {
				if s.RunID == e.RunID {
					worked += e.Time.Sub(s.Time)
				}
			}
		}
		// Without its checkpoint the job would start over and take at least 8 s more.
		l.Expect(worked).To(gomega.BeNumerically("<", 24*time.Second+drainerGrace+2*time.Second))
		l.finish()
	})
}

// drainerGrace is the time between checkpoint and stop; work done in it is lost.
const drainerGrace = 5 * time.Second
