package jobfleet

import (
	"context"
	"net/http"
	"strings"
	"time"

	"samphirepoint/rows"
)

// TakeAway makes calls to the parts of the store that away selects fail with 503, until it is called again. Nil ends the outage. Calls
// without a part, those of watchers, are answered.
func (f *Fleet) TakeAway(away func(part string) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.away = away
}

func (f *Fleet) isAway(parts ...string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, part := range parts {
		if f.away != nil && f.away(part) {
			return true
		}
	}
	return false
}

// Silence leaves calls to the worker of an instance unanswered for the given time. They are executed at its end; the worker's tasks run on.
func (f *Fleet) Silence(instance string, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if in := f.instances[instance]; in != nil && in.worker != nil {
		in.worker.host.silentUntil = time.Now().Add(d)
	}
}

// HealthPath is the health path of the workers.
const HealthPath = "/alive"

// health answers a call of the health path. A failing worker is unhealthy.
func (w *worker) health() (int, map[string]any) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.healthAsked++
	if w.failing {
		return http.StatusServiceUnavailable, nil
	}
	return http.StatusOK, nil
}

// outcome returns how the runs of the worker end.
func (w *worker) outcome() string {
	if w.failing {
		return reasonFailed
	}
	return reasonDone
}

// Fail makes all runs at the worker of an instance end as failed, until it is called with false.
func (f *Fleet) Fail(instance string, failing bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if in := f.instances[instance]; in != nil && in.worker != nil {
		in.worker.failing = failing
	}
}

// HealthAsked returns how often the health of an instance's worker was asked.
func (f *Fleet) HealthAsked(instance string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if in := f.instances[instance]; in != nil && in.worker != nil {
		return in.worker.healthAsked
	}
	return 0
}

// Crash ends the worker of an instance with all that it runs. Its entry in the list of workers stays until the next worker starts, after
// the given time.
func (f *Fleet) Crash(instance string, down time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	in := f.instances[instance]
	if in == nil || in.worker == nil || in.worker.terminated {
		return
	}
	old := in.worker
	old.crash()
	time.AfterFunc(down, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if in.worker != old {
			return // An order for the instance came first.
		}
		_, _ = f.Store.Transact(context.Background(), rows.Tx{Remove: []rows.Key{{Table: "servers", Name: old.id}}})
		if err := f.startWorker(in); err != nil {
			f.violations = append(f.violations, err.Error())
		}
	})
}

// Job returns the number of starts of a job's tasks, how many tasks have ended as done at least once, and how many run now.
func (f *Fleet) Job(id string) (starts, done, running int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, t := range f.tasks {
		if !strings.HasPrefix(name, id+".") {
			continue
		}
		starts += t.starts
		if len(t.doneEnds) > 0 {
			done++
		}
	}
	for _, w := range f.workers {
		w.endDueRuns()
		for task := range w.running {
			if !w.terminated && strings.HasPrefix(task, id+".") {
				running++
			}
		}
	}
	return starts, done, running
}
