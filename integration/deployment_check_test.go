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

// journal collects what all workers did, after all work in flight has ended.
func (w *world) journal() []workerd.Event {
	w.t.Helper()
	var all []workerd.Event
	for _, worker := range w.workers {
		w.Eventually(func() (int, error) {
			var st workerd.Status
			err := w.do(http.MethodGet, "http://"+worker.address+"/status", nil, &st)
			return len(st.Running), err
		}, settleTimeout, "50ms").Should(BeZero(), "work goes on at %s", worker.id)
		var events []workerd.Event
		w.Expect(w.do(http.MethodGet, "http://"+worker.address+"/journal", nil, &events)).To(Succeed())
		all = append(all, events...)
	}
	return all
}

// judge lets the checker judge all evidence; each of the properties must have been tested.
func (w *world) judge(records []load.Record, tested ...checker.Property) []workerd.Event {
	w.t.Helper()
	journal := w.journal()
	w.mu.Lock()
	defer w.mu.Unlock()
	report := checker.Check(checker.Input{Journal: journal, Records: records, Versions: w.versions, Accepted: w.accepted,
		Shutdowns: w.shutdowns, Leaving: w.leaving})
	w.Expect(report.Violations).To(BeEmpty(), "%s", report)
	for _, p := range tested {
		w.Expect(report.Checked[p]).NotTo(BeZero(), "%s was not tested:\n%s", p, report)
	}
	w.t.Logf("%d submissions, facts judged: %v", len(records), report.Checked)
	return journal
}

// watchVersions samples readiness and version of all entries until the test ends.
func (w *world) watchVersions() {
	ctx, cancel := context.WithCancel(context.Background())
	var ended sync.WaitGroup
	w.t.Cleanup(func() { cancel(); ended.Wait() })
	client := &http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	for _, e := range w.entries {
		ended.Add(1)
		go func() {
			defer ended.Done()
			for ctx.Err() == nil {
				w.sampleVersion(ctx, client, e)
				select {
				case <-ctx.Done():
				case <-time.After(50 * time.Millisecond):
				}
			}
		}()
	}
}

// sampleVersion notes a version with the time before the question. The entry reads its readiness before its version, so
// a sample never shows a version from before the entry was ready.
func (w *world) sampleVersion(ctx context.Context, client *http.Client, e *entryProcess) {
	at := time.Now()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.callers+"/metrics", nil)
	w.Expect(err).NotTo(HaveOccurred())
	resp, err := client.Do(req)
	if err != nil {
		return // killed or stopped
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	ready, version := readyMetric.FindSubmatch(body), versionMetric.FindSubmatch(body)
	if err != nil || ready == nil || version == nil {
		return
	}
	n, err := strconv.ParseFloat(string(version[1]), 64)
	w.Expect(err).NotTo(HaveOccurred())
	w.mu.Lock()
	defer w.mu.Unlock()
	w.versions = append(w.versions, checker.VersionSample{Time: at, Entry: e.callers, Version: int64(n), Serving: string(ready[1]) == "1"})
}

// accept changes a weight and accepts the draft through the given entries. It reports whether a majority has
// installed the version; only then the operator is told that it is accepted.
func (w *world) accept(via ...*entryProcess) (version int64, ok bool) {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	var addresses []string
	for _, e := range via {
		addresses = append(addresses, e.callers)
	}
	client := admin.NewClient(addresses, w.operator, control)
	doc, err := client.Table(ctx)
	if err != nil {
		return 0, false
	}
	cell, err := table.ParseCell("orchard.weight")
	w.Expect(err).NotTo(HaveOccurred())
	base := doc.Value(cell)
	weight, err := strconv.ParseFloat(base, 64)
	w.Expect(err).NotTo(HaveOccurred())
	draft, err := client.SetCells(ctx, []table.Edit{{Cell: cell, Value: strconv.FormatFloat(weight+1, 'g', -1, 64), Base: base}})
	if err != nil {
		return 0, false
	}
	reply, err := client.Accept(ctx, admin.AcceptBody{Operation: admin.NewOperation(), Reason: "test", Draft: draft.Draft})
	if err != nil || !reply.Accepted {
		return 0, false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.accepted = append(w.accepted, checker.Acceptance{Time: time.Now(), Version: reply.Version})
	return reply.Version, true
}

// version is the last sampled version of an entry.
func (w *world) version(e *entryProcess) int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := len(w.versions) - 1; i >= 0; i-- {
		if w.versions[i].Entry == e.callers {
			return w.versions[i].Version
		}
	}
	return 0
}
