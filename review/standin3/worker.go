package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// worker runs tasks on orders, as "Running tasks" in PROTOCOL.md describes. It starts whatever it is instructed to start.
type worker struct {
	sys     *system
	id      string
	machine string
	service string
	address string
	rack    string
	born    time.Time
	// clockStart is the reading of its steady clock at its start.
	clockStart int64

	mu       sync.Mutex
	fence    int64
	deadline int64
	running  map[string]*run
	// over has the highest run of each task that was stopped or has ended here.
	over    map[string]int64
	ended   [][]any
	seenTo  int64
	lastEnd int64
	wake    chan struct{}
}

// run is a run of a task on a worker.
type run struct {
	task  string
	num   int64
	cpu   int64
	began time.Time
	timer *time.Timer
}

const (
	roomCPU   = 64000
	roomMemMB = 131072
	beat      = 1500 * time.Millisecond
)

func (s *system) newWorker(n int, service string) *worker {
	w := &worker{
		sys: s, id: fmt.Sprintf("i-%08x", rand.Uint32()), machine: fmt.Sprintf("m-%03d", n), service: service, rack: fmt.Sprintf("r1-%d", n/4),
		born: time.Now(), clockStart: rand.Int64N(1_000_000), running: map[string]*run{}, over: map[string]int64{}, wake: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/run-start", w.start)
	mux.HandleFunc("POST /api/run-stop", w.stop)
	mux.HandleFunc("POST /api/hold", w.hold)
	mux.HandleFunc("POST /api/pace", w.pace)
	w.address = s.serve(w.addressed(mux))
	go w.register()
	go w.watchLease()
	return w
}

// addressed refuses calls that are meant for another worker.
func (w *worker) addressed(next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if id := r.Header.Get("Expect-Instance"); id != "" && id != w.id {
			w.answer(rw, http.StatusMisdirectedRequest, map[string]any{})
			return
		}
		next.ServeHTTP(rw, r)
	})
}

func (w *worker) register() {
	for seq := 1; ; seq++ {
		w.sys.store.put("servers", w.id, map[string]any{
			"service": w.service, "address": w.address, "zone": "z1", "version": "1", "slots": 8, "state": "ready", "cold_left_ms": 0, "seq": seq,
			"room": map[string]int{"cpu": roomCPU, "mem_mb": roomMemMB, "gpu": 0}, "labels": []string{"a", w.rack}, "born": w.born.UnixMilli(), "machine": w.machine,
		})
		time.Sleep(beat)
	}
}

func (w *worker) clock() int64 { return w.clockStart + time.Since(w.born).Milliseconds() }

func (w *worker) answer(rw http.ResponseWriter, status int, body map[string]any) {
	body["clock_ms"], body["born"] = w.clock(), w.born.UnixMilli()
	reply(rw, status, body)
}

type order struct {
	Task       string
	Run        int64
	TaskSpec   string `json:"task_spec"`
	DeadlineMS int64  `json:"deadline_ms"`
	FenceToken int64  `json:"fence_token"`
	SeenUpto   int64  `json:"seen_upto"`
	WaitMS     int64  `json:"wait_ms"`
	Ticket     string
}

// take decodes an order and checks its fencing token. The caller must hold mu if it reports true, and it does.
func (w *worker) take(rw http.ResponseWriter, r *http.Request) (order, bool) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.answer(rw, http.StatusBadRequest, map[string]any{})
		return o, false
	}
	w.mu.Lock()
	if o.FenceToken < w.fence {
		w.mu.Unlock()
		w.answer(rw, http.StatusConflict, map[string]any{"reason": "fence"})
		return o, false
	}
	w.fence = o.FenceToken
	return o, true
}

// extend extends the lease. The caller must hold mu.
func (w *worker) extend(deadline int64) {
	w.deadline = max(w.deadline, min(deadline, w.clock()+w.sys.holdMax.Milliseconds()))
}

func (w *worker) start(rw http.ResponseWriter, r *http.Request) {
	o, ok := w.take(rw, r)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	status, reason := w.tryStart(o)
	body := map[string]any{}
	if reason != "" {
		body["reason"] = reason
	}
	w.sys.note("start %s run %d at %s: %d %s", o.Task, o.Run, w.id, status, reason)
	w.answer(rw, status, body)
}

// tryStart starts a run unless there is a reason not to. The caller must hold mu.
func (w *worker) tryStart(o order) (status int, reason string) {
	if o.DeadlineMS <= w.clock() {
		return http.StatusConflict, "late"
	}
	if x := w.running[o.Task]; x != nil && x.num == o.Run {
		return http.StatusOK, ""
	}
	w.extend(o.DeadlineMS)
	if o.Run <= w.over[o.Task] {
		return http.StatusConflict, "old"
	}
	step := o.Task[:strings.LastIndexByte(o.Task, '.')]
	if w.sys.adviser != nil && !w.sys.adviser.valid(step, w, o.Ticket) {
		return http.StatusConflict, "ticket"
	}
	x := &run{task: o.Task, num: o.Run, began: time.Now()}
	var length time.Duration
	length, x.cpu = w.sys.jobs.begun(o.Task, fmt.Sprintf("run %d at %s", o.Run, w.id))
	x.timer = time.AfterFunc(length, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.end(x, "done")
	})
	w.running[o.Task] = x
	return http.StatusOK, ""
}

// end lists the end of a run. The caller must hold mu.
func (w *worker) end(x *run, how string) {
	if w.running[x.task] != x {
		return
	}
	x.timer.Stop()
	delete(w.running, x.task)
	w.over[x.task] = max(w.over[x.task], x.num)
	w.lastEnd++
	w.ended = append(w.ended, []any{w.lastEnd, x.task, x.num, how, ""})
	w.sys.note("end %s run %d at %s: %s", x.task, x.num, w.id, how)
	w.sys.jobs.ended(x.task, fmt.Sprintf("run %d at %s", x.num, w.id), how)
	close(w.wake)
	w.wake = make(chan struct{})
}

func (w *worker) stop(rw http.ResponseWriter, r *http.Request) {
	o, ok := w.take(rw, r)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	if x := w.running[o.Task]; x != nil && x.num == o.Run {
		w.end(x, "stopped")
	}
	w.over[o.Task] = max(w.over[o.Task], o.Run)
	w.answer(rw, http.StatusOK, map[string]any{})
}

func (w *worker) pace(rw http.ResponseWriter, r *http.Request) {
	if _, ok := w.take(rw, r); ok {
		w.mu.Unlock()
		w.answer(rw, http.StatusOK, map[string]any{})
	}
}

func (w *worker) hold(rw http.ResponseWriter, r *http.Request) {
	o, ok := w.take(rw, r)
	if !ok {
		return
	}
	w.extend(o.DeadlineMS)
	w.seenTo = max(w.seenTo, o.SeenUpto)
	for len(w.ended) > 0 && w.ended[0][0].(int64) <= w.seenTo {
		w.ended = w.ended[1:]
	}
	if wait := min(o.WaitMS, 2000); wait > 0 && len(w.ended) == 0 {
		wake := w.wake
		w.mu.Unlock()
		select {
		case <-wake:
		case <-r.Context().Done():
		case <-time.After(time.Duration(wait) * time.Millisecond):
		}
		w.mu.Lock()
	}
	running := [][]any{}
	for _, x := range w.running {
		running = append(running, []any{x.task, x.num, "", 50, x.cpu})
	}
	ended := w.ended[:min(len(w.ended), 500)]
	if ended == nil {
		ended = [][]any{}
	}
	body := map[string]any{"running": running, "ended": ended}
	w.answer(rw, http.StatusOK, body)
	w.mu.Unlock()
}

// watchLease ends everything once the lease has expired.
func (w *worker) watchLease() {
	for {
		time.Sleep(20 * time.Millisecond)
		w.mu.Lock()
		if w.clock() > w.deadline {
			for _, x := range w.running {
				w.end(x, "lapsed")
			}
		}
		w.mu.Unlock()
	}
}

// usedCPU returns what the runs use, in thousandths of a core.
func (w *worker) usedCPU() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	var n int64
	for _, x := range w.running {
		n += x.cpu
	}
	return n
}
