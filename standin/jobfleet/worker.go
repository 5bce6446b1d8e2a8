package jobfleet

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"samphirepoint/rows"
)

func asConflict(err error, to **rows.Conflict) bool { return errors.As(err, to) }

// taskTime is how long each task takes.
const taskTime = 60 * time.Millisecond

// worker is one life of a machine.
type worker struct {
	fleet   *Fleet
	id      string
	born    time.Time
	token   int64
	dead    bool
	lease   int64
	running map[string]*run
	ended   [][]any
	n       int64
	seen    int64
}

type run struct {
	number int64
	began  time.Time
}

type call struct {
	Task       string `json:"task"`
	Run        int64  `json:"run"`
	DeadlineMS int64  `json:"deadline_ms"`
	FenceToken int64  `json:"fence_token"`
	SeenUpto   int64  `json:"seen_upto"`
	WaitMS     int64  `json:"wait_ms"`
}

func (w *worker) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/run-start", w.guard(w.start))
	mux.HandleFunc("POST /api/run-stop", w.guard(w.stop))
	mux.HandleFunc("POST /api/pace", w.guard(func(call) (int, map[string]any) { return 200, w.said() }))
	mux.HandleFunc("POST /api/hold", func(rw http.ResponseWriter, r *http.Request) {
		var c call
		_ = json.NewDecoder(r.Body).Decode(&c)
		status, body := w.hold(c)
		for end := time.Now().Add(time.Duration(c.WaitMS) * time.Millisecond); status == 200 && len(body["ended"].([][]any)) == 0 && time.Now().Before(end); {
			time.Sleep(5 * time.Millisecond)
			status, body = w.hold(c)
		}
		answer(rw, status, body)
	})
	return mux
}

func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() }

func (w *worker) said() map[string]any {
	return map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli()}
}

// guard decodes a call, checks the token, and lets time pass on the worker.
func (w *worker) guard(fn func(call) (int, map[string]any)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var c call
		_ = json.NewDecoder(r.Body).Decode(&c)
		w.fleet.mu.Lock()
		status, body := w.check(c)
		if status == 0 {
			status, body = fn(c)
		}
		w.fleet.mu.Unlock()
		answer(rw, status, body)
	}
}

func (w *worker) check(c call) (int, map[string]any) {
	w.age()
	if w.dead {
		return 421, map[string]any{}
	}
	if c.FenceToken < w.token {
		body := w.said()
		body["reason"] = "fence"
		return 409, body
	}
	w.token = c.FenceToken
	return 0, nil
}

// age ends what is done, and everything once the lease has run out.
func (w *worker) age() {
	for task, r := range w.running {
		switch {
		case w.lease > 0 && w.clock() > w.lease:
			w.end(task, r, "lapsed")
		case time.Since(r.began) > taskTime:
			w.fleet.done[task]++
			w.end(task, r, "done")
		}
	}
}

func (w *worker) end(task string, r *run, how string) {
	delete(w.running, task)
	w.n++
	w.ended = append(w.ended, []any{w.n, task, r.number, how, ""})
}

func (w *worker) start(c call) (int, map[string]any) {
	if r := w.running[c.Task]; r != nil && r.number == c.Run {
		return 200, w.said()
	}
	if w.fleet.done[c.Task] > 0 {
		w.fleet.broken = append(w.fleet.broken, fmt.Sprintf("%s run %d starts after it was done", c.Task, c.Run))
	}
	for _, other := range w.fleet.workers {
		if other.running[c.Task] != nil && !other.dead {
			w.fleet.broken = append(w.fleet.broken, fmt.Sprintf("%s run %d starts while it runs on %s", c.Task, c.Run, other.id))
		}
	}
	w.lease = max(w.lease, c.DeadlineMS)
	w.running[c.Task] = &run{number: c.Run, began: time.Now()}
	w.fleet.runs[c.Task]++
	return 200, w.said()
}

func (w *worker) stop(c call) (int, map[string]any) {
	if r := w.running[c.Task]; r != nil && r.number == c.Run {
		w.end(c.Task, r, "stopped")
	}
	return 200, w.said()
}

func (w *worker) hold(c call) (int, map[string]any) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	if status, body := w.check(c); status != 0 {
		return status, body
	}
	w.lease = max(w.lease, c.DeadlineMS)
	w.seen = max(w.seen, c.SeenUpto)
	running, ended := [][]any{}, [][]any{}
	for task, r := range w.running {
		running = append(running, []any{task, r.number, "", 100, 0})
	}
	for _, e := range w.ended {
		if e[0].(int64) > w.seen {
			ended = append(ended, e)
		}
	}
	body := w.said()
	body["running"], body["ended"] = running, ended
	return 200, body
}
