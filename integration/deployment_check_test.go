//go:build linux

package integration

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	. "github.com/onsi/gomega"

	"samphirepoint/admin"
	"samphirepoint/checker"
	"samphirepoint/load"
	"samphirepoint/standin/workerd"
	"samphirepoint/table"
)

// collectJournals returns the journals of all workers, after all work in flight has ended.
func (d *deployment) collectJournals() []workerd.Event {
	d.t.Helper()
	var all []workerd.Event
	for _, worker := range d.workers {
		d.Eventually(func() (int, error) {
			var st workerd.Status
			err := d.operatorRequest(http.MethodGet, "http://"+worker.address+"/status", nil, &st)
			return len(st.Running), err
		}, completionTimeout, "50ms").Should(BeZero(), "work is still running at %s", worker.id)
		var events []workerd.Event
		d.Expect(d.operatorRequest(http.MethodGet, "http://"+worker.address+"/journal", nil, &events)).To(Succeed())
		all = append(all, events...)
	}
	return all
}

// checkProperties runs the checker on all evidence. Each property in tested must have been checked at least once.
func (d *deployment) checkProperties(records []load.Record, tested ...checker.Property) []workerd.Event {
	d.t.Helper()
	journal := d.collectJournals()
	d.mu.Lock()
	defer d.mu.Unlock()
	report := checker.Check(checker.Input{Journal: journal, Records: records, Versions: d.versions, Accepted: d.accepted,
		Shutdowns: d.shutdowns, Leaving: d.leaving})
	d.Expect(report.Violations).To(BeEmpty(), "%s", report)
	for _, p := range tested {
		d.Expect(report.Checked[p]).NotTo(BeZero(), "%s was not checked:\n%s", p, report)
	}
	d.t.Logf("%d submissions, checks by property: %v", len(records), report.Checked)
	return journal
}

// watchVersions samples the readiness and the configuration version of all entries until the test ends.
func (d *deployment) watchVersions() {
	ctx, cancel := context.WithCancel(context.Background())
	var ended sync.WaitGroup
	d.t.Cleanup(func() { cancel(); ended.Wait() })
	client := &http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	for _, e := range d.entries {
		ended.Add(1)
		go func() {
			defer ended.Done()
			for ctx.Err() == nil {
				d.sampleVersion(ctx, client, e)
				select {
				case <-ctx.Done():
				case <-time.After(50 * time.Millisecond):
				}
			}
		}()
	}
}

// sampleVersion records a version with the time before the request was sent. The entry reads its readiness before its
// version, so a sample never shows a version from before the entry was ready.
func (d *deployment) sampleVersion(ctx context.Context, client *http.Client, e *entryProcess) {
	at := time.Now()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.callersAddress+"/metrics", nil)
	d.Expect(err).NotTo(HaveOccurred())
	resp, err := client.Do(req)
	if err != nil {
		return // the entry is killed or suspended
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	ready, version := readyMetric.FindSubmatch(body), versionMetric.FindSubmatch(body)
	if err != nil || ready == nil || version == nil {
		return
	}
	n, err := strconv.ParseFloat(string(version[1]), 64)
	d.Expect(err).NotTo(HaveOccurred())
	d.mu.Lock()
	defer d.mu.Unlock()
	d.versions = append(d.versions, checker.VersionSample{Time: at, Entry: e.callersAddress, Version: int64(n), Serving: string(ready[1]) == "1"})
}

// acceptChange changes a weight and accepts the draft through the given entries. It reports whether a majority has
// installed the version; only then does the operator receive the reply that it is accepted.
func (d *deployment) acceptChange(via ...*entryProcess) (version int64, ok bool) {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	var addresses []string
	for _, e := range via {
		addresses = append(addresses, e.callersAddress)
	}
	client := admin.NewClient(addresses, d.operatorToken, controlClient)
	doc, err := client.Table(ctx)
	if err != nil {
		return 0, false
	}
	cell, err := table.ParseCell("orchard.weight")
	d.Expect(err).NotTo(HaveOccurred())
	base := doc.Value(cell)
	weight, err := strconv.ParseFloat(base, 64)
	d.Expect(err).NotTo(HaveOccurred())
	draft, err := client.SetCells(ctx, []table.Edit{{Cell: cell, Value: strconv.FormatFloat(weight+1, 'g', -1, 64), Base: base}})
	if err != nil {
		return 0, false
	}
	reply, err := client.Accept(ctx, admin.AcceptBody{Operation: admin.NewOperation(), Reason: "test", Draft: draft.Draft})
	if err != nil || !reply.Accepted {
		return 0, false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.accepted = append(d.accepted, checker.Acceptance{Time: time.Now(), Version: reply.Version})
	return reply.Version, true
}

// lastVersion returns the last sampled version of an entry, or 0.
func (d *deployment) lastVersion(e *entryProcess) int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := len(d.versions) - 1; i >= 0; i-- {
		if d.versions[i].Entry == e.callersAddress {
			return d.versions[i].Version
		}
	}
	return 0
}
