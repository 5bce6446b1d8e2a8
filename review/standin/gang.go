package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["gang"] = playGang }

// playGang submits jobs of one gang each. One worker fails all that it starts for some seconds.
func playGang(w *world, trouble bool) ([]string, error) {
	pools := []pool{{name: "pumps", workers: 12}, {name: sparePool, workers: 3, spare: true}}
	if err := w.start(pools, config(1, pools, [3]string{"q-pumps", "/pumps/", "pumps"}), 3, "/pumps/"); err != nil {
		return nil, err
	}
	if trouble {
		time.AfterFunc(6*time.Second, func() { w.failBusiest("pumps", 6500*time.Millisecond) })
	}
	var g sync.WaitGroup
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
		g.Go(func() {
			w.submit(w.newJob("/pumps/", "pumps", []step{{count: 4, cpu: 3500, gang: true, work: 600 * time.Millisecond}}))
		})
	}
	g.Wait()
	time.Sleep(finishTime)
	return w.falseFailures(), nil
}

// failBusiest makes the worker of a pool that runs most tasks fail all that it starts.
func (w *world) failBusiest(pool string, d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var busiest *worker
	for _, x := range w.workers {
		if x.pool == pool && !x.gone && (busiest == nil || len(x.running) > len(busiest.running)) {
			busiest = x
		}
	}
	busiest.failing = true
	w.record("%s fails all that it starts", busiest.id)
	time.AfterFunc(d, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		busiest.failing = false
		w.record("%s works again", busiest.id)
	})
}

// falseFailures returns the jobs that are shown as failed although no gang of theirs has failed as often as the queue allows.
func (w *world) falseFailures() []string {
	w.mu.Lock()
	var list []*job
	for _, j := range w.jobs {
		if j.accepted {
			list = append(list, j)
		}
	}
	w.mu.Unlock()
	var out []string
	for _, j := range list {
		status, state := w.state(j)
		w.mu.Lock()
		most := 0
		for _, runs := range j.failed {
			most = max(most, len(runs))
		}
		w.mu.Unlock()
		switch {
		case state == "failed" && most < maxAttempts:
			out = append(out, fmt.Sprintf("LOST: job %s is shown as failed; %d runs of its gang have failed, its queue has attempts = %d", j.id, most, maxAttempts))
		case status != http.StatusOK:
			out = append(out, fmt.Sprintf("LOST: job %s, which was accepted, is answered with %d", j.id, status))
		}
	}
	return out
}
