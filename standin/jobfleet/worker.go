package jobfleet

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"samphirepoint/rows"
)

func asConflict(err error, target **rows.Conflict) bool { return errors.As(err, target) }

// defaultTaskDuration is the run time of each task unless Fleet.TaskDuration is changed.
const defaultTaskDuration = 60 * time.Millisecond

// worker is one incarnation of an instance's worker.
type worker struct {
	fleet      *Fleet
	id         string
	startedAt  time.Time
	token      int64
	terminated bool
	// silentUntil is the end of the time in which calls are not answered.
	silentUntil time.Time
	leaseEndMS  int64
	running     map[string]*run
	// lastRun is the highest run of each task that has ended here.
	lastRun  map[string]int64
	ended    [][]any
	endSeq   int64
	ackedSeq int64
}

type run struct {
	number    int64
	startedAt time.Time
}

type callRequest struct {
	Task       string `json:"task"`
	Run        int64  `json:"run"`
	DeadlineMS int64  `json:"deadline_ms"`
	FenceToken int64  `json:"fence_token"`
	SeenUpto   int64  `json:"seen_upto"`
	WaitMS     int64  `json:"wait_ms"`
}

func (w *worker) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/run-start", w.fenced(w.start))
	mux.HandleFunc("POST /api/run-stop", w.fenced(w.stop))
	mux.HandleFunc("POST /api/pace", w.fenced(func(callRequest) (int, map[string]any) { return 200, w.status() }))
	mux.HandleFunc("POST /api/hold", func(rw http.ResponseWriter, r *http.Request) {
		var c callRequest
		_ = json.NewDecoder(r.Body).Decode(&c)
		status, body := w.renewLease(c)
		for end := time.Now().Add(time.Duration(c.WaitMS) * time.Millisecond); status == 200 && len(body["ended"].([][]any)) == 0 && time.Now().Before(end); {
			time.Sleep(5 * time.Millisecond)
			status, body = w.renewLease(c)
		}
		writeJSON(rw, status, body)
	})
	return mux
}

func (w *worker) clockMS() int64 { return time.Since(w.startedAt).Milliseconds() }

func (w *worker) status() map[string]any {
	return map[string]any{"clock_ms": w.clockMS(), "born": w.startedAt.UnixMilli()}
}

// fenced decodes a call, ends the runs that are due, checks the fencing token and calls fn under the fleet's mutex.
func (w *worker) fenced(fn func(callRequest) (int, map[string]any)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var c callRequest
		_ = json.NewDecoder(r.Body).Decode(&c)
		w.fleet.mu.Lock()
		status, body := w.checkToken(c)
		if status == 0 {
			status, body = fn(c)
		}
		w.fleet.mu.Unlock()
		writeJSON(rw, status, body)
	}
}

func (w *worker) checkToken(c callRequest) (int, map[string]any) {
	w.endDueRuns()
	if w.terminated {
		return 421, map[string]any{}
	}
	if c.FenceToken < w.token {
		body := w.status()
		body["reason"] = "fence"
		return 409, body
	}
	w.token = c.FenceToken
	return 0, nil
}

// endDueRuns ends runs that are done, and all runs once the lease has expired.
func (w *worker) endDueRuns() {
	for task, r := range w.running {
		switch {
		case w.leaseEndMS > 0 && w.clockMS() > w.leaseEndMS:
			w.end(task, r, "lapsed")
		case time.Since(r.startedAt) > w.fleet.TaskDuration:
			w.fleet.completed[task]++
			w.end(task, r, "done")
		}
	}
}

func (w *worker) end(task string, r *run, reason string) {
	delete(w.running, task)
	w.lastRun[task] = max(w.lastRun[task], r.number)
	w.endSeq++
	w.ended = append(w.ended, []any{w.endSeq, task, r.number, reason, ""})
}

func (w *worker) start(c callRequest) (int, map[string]any) {
	if r := w.running[c.Task]; r != nil && r.number == c.Run {
		return 200, w.status()
	}
	if reason := w.rejection(c); reason != "" {
		body := w.status()
		body["reason"] = reason
		return 409, body
	}
	if w.fleet.completed[c.Task] > 0 && !w.fleet.unnoticed[c.Task] {
		w.fleet.violations = append(w.fleet.violations, fmt.Sprintf("%s run %d starts after the task was done", c.Task, c.Run))
	}
	for _, other := range w.fleet.workers {
		if other.running[c.Task] != nil && !other.terminated {
			w.fleet.violations = append(w.fleet.violations, fmt.Sprintf("%s run %d starts while the task runs on %s", c.Task, c.Run, other.id))
		}
	}
	w.leaseEndMS = max(w.leaseEndMS, c.DeadlineMS)
	w.running[c.Task] = &run{number: c.Run, startedAt: time.Now()}
	w.fleet.starts[c.Task]++
	return 200, w.status()
}

// rejection returns why a start has no effect, or "".
func (w *worker) rejection(c callRequest) string {
	switch {
	case c.Run <= w.lastRun[c.Task]:
		return "old"
	case c.DeadlineMS > 0 && w.clockMS() > c.DeadlineMS:
		return "late"
	}
	return ""
}

func (w *worker) stop(c callRequest) (int, map[string]any) {
	if r := w.running[c.Task]; r != nil && r.number == c.Run {
		w.end(c.Task, r, "stopped")
	}
	w.lastRun[c.Task] = max(w.lastRun[c.Task], c.Run)
	return 200, w.status()
}

func (w *worker) renewLease(c callRequest) (int, map[string]any) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	if status, body := w.checkToken(c); status != 0 {
		return status, body
	}
	w.leaseEndMS = max(w.leaseEndMS, c.DeadlineMS)
	w.ackedSeq = max(w.ackedSeq, c.SeenUpto)
	running, ended := [][]any{}, [][]any{}
	for task, r := range w.running {
		running = append(running, []any{task, r.number, "", 100, 0})
	}
	for _, e := range w.ended {
		if e[0].(int64) > w.ackedSeq {
			ended = append(ended, e)
		}
	}
	body := w.status()
	body["running"], body["ended"] = running, ended
	return 200, body
}
