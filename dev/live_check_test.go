package dev

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/onsi/gomega"

	"samphirepoint/checker"
	"samphirepoint/fleet"
	"samphirepoint/instance"
	"samphirepoint/lease"
	"samphirepoint/load"
	"samphirepoint/standin/platformd"
	"samphirepoint/standin/workerd"
)

// history returns the row changes committed so far.
func (l *liveCluster) history() []platformd.Change {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.rowChanges)
}

// finish stops the load and checks the properties on the evidence. allowed lists properties that the test's own faults
// may violate.
func (l *liveCluster) finish(allowed ...checker.Property) checker.Report {
	l.t.Helper()
	if l.stopLoad != nil {
		l.stopLoad()
	}
	l.loads.Wait()
	// The platform calls recordChange under its own lock, so the platform must not be called with mu held.
	l.mu.Lock()
	changes, records, versions, accepted := slices.Clone(l.rowChanges), slices.Clone(l.records), slices.Clone(l.versions), slices.Clone(l.accepted)
	l.mu.Unlock()
	var journal []workerd.Event
	last := map[string]int{} // by worker; a replacement under the same id continues the sequence of the worker it replaced
	for _, w := range append(slices.Clone(l.stoppedWorkers), l.Workers...) {
		id := w.Status().ID
		first := last[id]
		for _, e := range w.Journal(0) {
			e.Seq += first
			last[id] = e.Seq
			journal = append(journal, e)
		}
	}
	pools, err := checker.PoolSamples(changes)
	l.Expect(err).NotTo(gomega.HaveOccurred())
	shares := map[string]checker.Share{}
	for _, b := range l.Document.Backers {
		shares[b.Name] = checker.Share{Weight: b.Weight, Limit: b.Limit()}
	}
	report := checker.Check(checker.Input{Journal: journal, Records: records, Pools: pools, Budgets: l.poolBudgets(time.Time{}),
		Shares: shares, Versions: versions, Accepted: accepted, Shutdowns: l.shutdowns})
	for _, v := range report.Violations {
		if !slices.Contains(allowed, v.Property) {
			l.t.Errorf("%s", report)
			break
		}
	}
	l.checkRowHistory()
	r := load.Result{Records: records}
	l.t.Logf("%s", r.Summary())
	l.t.Logf("checks by property: %v", report.Checked)
	return report
}

// checkRowHistory checks that each fleet change carries the fencing token of the current lease holder, that the
// disruption rows hold exactly the unavailable instances, and that instances make only allowed state transitions.
func (l *liveCluster) checkRowHistory() {
	l.t.Helper()
	var token int64
	states := map[string]instance.Instance{}
	allowed := map[instance.State][]instance.State{
		instance.Serving:   {instance.Serving, instance.Draining, instance.Failed},
		instance.Draining:  {instance.Draining, instance.Rebooting, instance.Serving, instance.Failed},
		instance.Rebooting: {instance.Rebooting, instance.Serving, instance.Failed},
		instance.Failed:    {instance.Failed, instance.Serving},
	}
	for _, ch := range l.history() {
		switch id, isInstance := strings.CutPrefix(ch.Row.Key, instance.Prefix); {
		case ch.Row.Version == 0:
			delete(states, id)
		case ch.Row.Key == lease.Prefix+fleet.LeaseName:
			var r lease.Record
			l.Expect(json.Unmarshal(ch.Row.Value, &r)).To(gomega.Succeed())
			l.Expect(r.Token).To(gomega.BeNumerically(">=", token), "lease row")
			token = r.Token
		case ch.Row.Key == instance.KeyFleetVersion:
			var v struct {
				Token int64 `json:"token"`
			}
			l.Expect(json.Unmarshal(ch.Row.Value, &v)).To(gomega.Succeed())
			l.Expect(v.Token).To(gomega.Equal(token), "change by an entry other than the lease holder at %s", ch.Time)
		case isInstance:
			var in instance.Instance
			l.Expect(json.Unmarshal(ch.Row.Value, &in)).To(gomega.Succeed())
			if old, ok := states[id]; ok {
				l.Expect(allowed[old.State]).To(gomega.ContainElement(in.State), "%s after %s", id, old.State)
				if old.Pool != in.Pool {
					l.Expect(old.State).To(gomega.Equal(instance.Draining), "%s leaves pool %s", id, old.Pool)
				}
			}
			states[id] = in
		}
	}
	unavailable := map[string]map[string]bool{}
	for _, row := range l.Platform.Rows(instance.PrefixDisruptions) {
		var d fleet.Disruptions
		l.Expect(json.Unmarshal(row.Value, &d)).To(gomega.Succeed())
		pool := strings.TrimPrefix(row.Key, instance.PrefixDisruptions)
		unavailable[pool] = map[string]bool{}
		for id := range d.Unavailable {
			unavailable[pool][id] = true
		}
	}
	for id, in := range l.instanceRows() {
		l.Expect(unavailable[in.Pool][id]).To(gomega.Equal(in.State != instance.Serving), "disruption row of pool %s, instance %s is %s", in.Pool, id, in.State)
		delete(unavailable[in.Pool], id)
	}
	for pool, remaining := range unavailable {
		l.Expect(remaining).To(gomega.BeEmpty(), "disruption row of pool %s", pool)
	}
}
