package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// The times and sizes of workers, within what the pages allow.
const (
	maxHoldMS     = 10000
	maxWaitMS     = 2000
	gangTime      = 3 * time.Second
	workerCPU     = 64000
	workerMem     = 131072
	tickTime      = 5 * time.Millisecond
	endsPerAnswer = 500
	perRack       = 4
	moveTime      = 1500 * time.Millisecond
)

// pool is a service and the number of its workers. The machines of a spare pool are off.
type pool struct {
	name    string
	workers int
	spare   bool
}

// machine is a machine of the platform; its worker is nil while it is off or moves.
type machine struct {
	id, pool, rack, state string
	worker                *worker
	token                 int64
}

// worker runs tasks as the pages say. All its fields are protected by world.mu.
type worker struct {
	world      *world
	id, pool   string
	rack       string
	born       time.Time
	token      int64
	deadlineMS int64
	running    map[string]*taskRun
	lastRun    map[string]int64
	ended      [][]any
	endSeq     int64
	gone       bool
	// failing is set while the worker fails all that it starts.
	failing bool
}

// taskRun is one run of a task on a worker. worksSince is zero until it works: a gang works once all its members are present.
type taskRun struct {
	task              string
	run               int64
	step              *step
	began, worksSince time.Time
}

func (w *world) startPool(p pool) error {
	for k := range p.workers {
		m := &machine{id: fmt.Sprintf("m-%s-%02d", p.name, k), pool: p.name, state: "up", rack: fmt.Sprintf("r-%s-%d", p.name, k/perRack)}
		w.machines = append(w.machines, m)
		if p.spare {
			continue
		}
		if err := w.startWorker(m); err != nil {
			return err
		}
	}
	return nil
}

// startWorker starts a worker on a machine and registers it. Its ID is used only once.
func (w *world) startWorker(m *machine) error {
	x := &worker{world: w, id: fmt.Sprintf("%s-w%04d", m.id, len(w.workers)), pool: m.pool, rack: m.rack, born: time.Now(), running: map[string]*taskRun{}, lastRun: map[string]int64{}}
	l, err := w.serve(x.handler())
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.workers = append(w.workers, x)
	m.worker, m.state = x, "up"
	w.mu.Unlock()
	w.store.put("servers", x.id, map[string]any{
		"service": m.pool, "address": l.Addr().String(), "zone": "z", "version": "1", "slots": 8, "state": "ready", "cold_left_ms": 0, "seq": 1,
		"room": map[string]int{"cpu": workerCPU, "mem_mb": workerMem, "gpu": 0}, "labels": []string{"a", m.rack}, "born": x.born.UnixMilli(),
	})
	return nil
}

// terminate ends a worker and all that it runs. The caller holds world.mu.
func (x *worker) terminate() {
	x.gone = true
	for _, r := range x.list() {
		x.world.noteEnd(r, "terminated")
	}
	x.running = map[string]*taskRun{}
}

// runWorkers ends runs that are due, until the world ends.
func (w *world) runWorkers() {
	for w.ctx.Err() == nil {
		w.mu.Lock()
		for _, x := range w.workers {
			x.tick(time.Now())
		}
		w.mu.Unlock()
		time.Sleep(tickTime)
	}
}

func (x *worker) clockMS() int64 { return time.Since(x.born).Milliseconds() }

func (x *worker) tick(now time.Time) {
	if x.gone || len(x.running) == 0 {
		return
	}
	if x.clockMS() > x.deadlineMS {
		for _, r := range x.list() {
			x.end(r, "lapsed")
		}
		return
	}
	for _, r := range x.list() {
		if r.worksSince.IsZero() {
			r.beginWork(x.world, now)
		}
	}
	for _, r := range x.list() {
		switch {
		case x.running[r.task] != r:
		case r.worksSince.IsZero() && now.Sub(r.began) > gangTime:
			x.end(r, "alone")
			x.world.endGang(r, "broken")
		case r.worksSince.IsZero():
		case x.failing:
			x.end(r, "failed")
		case r.step.fails && now.Sub(r.worksSince) >= r.step.work:
			x.end(r, "failed")
			x.world.endGang(r, "broken")
		case !r.step.lasts && now.Sub(r.worksSince) >= r.step.work:
			x.end(r, "done")
			x.world.endGang(r, "done")
		}
	}
	// The other members of a gang learn of a failure after those on the same worker that fail at the same moment.
	for _, r := range x.failedGangs() {
		x.world.endGang(r, "broken")
	}
}

// list returns the worker's runs in the order of their tasks.
func (x *worker) list() []*taskRun {
	var out []*taskRun
	for _, r := range x.running {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b *taskRun) int { return strings.Compare(a.task, b.task) })
	return out
}

// beginWork lets a run work, or the runs of a gang once all its members are present.
func (r *taskRun) beginWork(w *world, now time.Time) {
	if !r.step.gang {
		r.worksSince = now
		return
	}
	members := w.gang(r)
	if len(members) < r.step.count {
		return
	}
	for _, m := range members {
		m.run.worksSince = now
	}
}

// member is a run of a gang and its worker.
type member struct {
	on  *worker
	run *taskRun
}

// stepOf returns the task's name without its index.
func stepOf(task string) string { return task[:strings.LastIndexByte(task, '.')] }

// gang lists the present members of a run's gang.
func (w *world) gang(r *taskRun) []member {
	var out []member
	for _, x := range w.workers {
		for _, other := range x.running {
			if other.run == r.run && stepOf(other.task) == stepOf(r.task) {
				out = append(out, member{x, other})
			}
		}
	}
	return out
}

// endGang ends the other members of a run's gang.
func (w *world) endGang(r *taskRun, how string) {
	if !r.step.gang {
		return
	}
	for _, m := range w.gang(r) {
		m.on.end(m.run, how)
	}
}

// failedGangs returns a run of each gang that failed on this worker and has members left.
func (x *worker) failedGangs() []*taskRun {
	if !x.failing {
		return nil
	}
	var out []*taskRun
	for _, e := range x.ended {
		if task := e[1].(string); e[3] == "failed" && x.world.stepOfTask(task) != nil && x.world.stepOfTask(task).gang {
			out = append(out, &taskRun{task: task, run: e[2].(int64), step: x.world.stepOfTask(task)})
		}
	}
	return out
}

func (x *worker) end(r *taskRun, how string) {
	delete(x.running, r.task)
	x.lastRun[r.task] = max(x.lastRun[r.task], r.run)
	x.endSeq++
	x.ended = append(x.ended, []any{x.endSeq, r.task, r.run, how, ""})
	x.world.noteEnd(r, how)
	x.world.record("%s: run %d of %s ends as %s", x.id, r.run, r.task, how)
}

type workerCall struct {
	Task       string `json:"task"`
	Run        int64  `json:"run"`
	TaskSpec   string `json:"task_spec"`
	DeadlineMS int64  `json:"deadline_ms"`
	Ticket     string `json:"ticket"`
	FenceToken int64  `json:"fence_token"`
	SeenUpTo   int64  `json:"seen_upto"`
	WaitMS     int64  `json:"wait_ms"`
}

func (x *worker) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/run-start", x.answer(x.start))
	mux.HandleFunc("POST /api/run-stop", x.answer(x.stop))
	mux.HandleFunc("POST /api/pace", x.answer(func(workerCall) (int, map[string]any) { return http.StatusOK, x.status() }))
	mux.HandleFunc("POST /api/hold", x.answer(x.hold))
	return mux
}

// answer decodes a call, checks its addressee and its fencing token, and answers it. A hold waits for an end.
func (x *worker) answer(do func(workerCall) (int, map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var c workerCall
		if json.NewDecoder(r.Body).Decode(&c) != nil {
			reply(w, http.StatusBadRequest, map[string]any{})
			return
		}
		until := time.Now().Add(time.Duration(min(c.WaitMS, maxWaitMS)) * time.Millisecond)
		for {
			x.world.mu.Lock()
			status, body := x.check(r.Header.Get("Expect-Instance"), c)
			if status == 0 {
				status, body = do(c)
			}
			x.world.mu.Unlock()
			ended, isHold := body["ended"].([][]any)
			if !isHold || len(ended) > 0 || time.Now().After(until) || r.Context().Err() != nil {
				reply(w, status, body)
				return
			}
			time.Sleep(tickTime)
		}
	}
}

func (x *worker) status() map[string]any {
	return map[string]any{"clock_ms": x.clockMS(), "born": x.born.UnixMilli()}
}

func (x *worker) refusal(reason string) (int, map[string]any) {
	body := x.status()
	body["reason"] = reason
	return http.StatusConflict, body
}

func (x *worker) check(expected string, c workerCall) (int, map[string]any) {
	if x.gone || (expected != "" && expected != x.id) {
		return http.StatusMisdirectedRequest, map[string]any{}
	}
	if c.FenceToken < x.token {
		return x.refusal("fence")
	}
	x.token = c.FenceToken
	return 0, nil
}

// extend extends the lease; a longer one is shortened to the maximum.
func (x *worker) extend(deadlineMS int64) {
	x.deadlineMS = max(x.deadlineMS, min(deadlineMS, x.clockMS()+maxHoldMS))
}

func (x *worker) start(c workerCall) (int, map[string]any) {
	if r := x.running[c.Task]; r != nil && r.run == c.Run {
		return http.StatusOK, x.status()
	}
	s := x.world.stepOfTask(c.Task)
	switch {
	case s == nil:
		x.world.record("%s: a start of %s, which no client has sent", x.id, c.Task)
		return http.StatusBadRequest, x.status()
	case c.Run <= x.lastRun[c.Task] || x.running[c.Task] != nil:
		return x.refusal("old")
	case c.DeadlineMS < x.clockMS():
		return x.refusal("late")
	case s.advised && !x.world.adviser.valid(c.Ticket, c.Task, x):
		return x.refusal("ticket")
	}
	x.extend(c.DeadlineMS)
	x.running[c.Task] = &taskRun{task: c.Task, run: c.Run, step: s, began: time.Now()}
	x.world.record("%s of %s: run %d of %s starts", x.id, x.pool, c.Run, c.Task)
	x.world.noteStart(x, c.Task, c.Run)
	return http.StatusOK, x.status()
}

func (x *worker) stop(c workerCall) (int, map[string]any) {
	if r := x.running[c.Task]; r != nil && r.run == c.Run {
		x.end(r, "stopped")
		x.world.endGang(r, "broken")
	}
	x.lastRun[c.Task] = max(x.lastRun[c.Task], c.Run)
	return http.StatusOK, x.status()
}

func (x *worker) hold(c workerCall) (int, map[string]any) {
	if c.DeadlineMS > 0 {
		x.extend(c.DeadlineMS)
	}
	x.ended = slices.DeleteFunc(x.ended, func(e []any) bool {
		noted := e[0].(int64) <= c.SeenUpTo
		if noted && e[3] == "failed" {
			x.world.jobOf(e[1].(string)).failedRuns[e[1].(string)]++
		}
		return noted
	})
	running := [][]any{}
	for _, r := range x.list() {
		percent := 0
		if !r.worksSince.IsZero() {
			percent = 100
		}
		running = append(running, []any{r.task, r.run, "", percent, r.step.cpu})
	}
	body := x.status()
	body["running"], body["ended"] = running, append([][]any{}, x.ended[:min(len(x.ended), endsPerAnswer)]...)
	return http.StatusOK, body
}

// usedCPU returns the CPU of all that a pool's workers run, and their capacity.
func (w *world) usedCPU(pool string) (used, capacity int) {
	for _, x := range w.workers {
		if x.pool != pool || x.gone {
			continue
		}
		capacity += workerCPU
		for _, r := range x.running {
			used += r.step.cpu
		}
	}
	return used, capacity
}

// cloudHandler serves the list of machines and the orders for them. An order ends the machine's worker, and the next one starts at once.
func (w *world) cloudHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/machines", func(rw http.ResponseWriter, _ *http.Request) {
		w.mu.Lock()
		list := []map[string]any{}
		for _, m := range w.machines {
			row := map[string]any{
				"machine": m.id, "pool": m.pool, "state": m.state, "zone": "z", "labels": []string{"a", m.rack}, "id": "",
				"room": map[string]int{"cpu": workerCPU, "mem_mb": workerMem, "gpu": 0},
			}
			if m.worker != nil {
				row["id"] = m.worker.id
			}
			list = append(list, row)
		}
		w.mu.Unlock()
		reply(rw, http.StatusOK, map[string]any{"machines": list, "next_token": nil})
	})
	mux.HandleFunc("POST /api/machine-move", w.moveMachine)
	return mux
}

func (w *world) moveMachine(rw http.ResponseWriter, r *http.Request) {
	var o struct{ Machine, Pool string }
	_ = json.NewDecoder(r.Body).Decode(&o)
	token, _ := strconv.ParseInt(r.Header.Get("Fence-Token"), 10, 64)
	w.mu.Lock()
	k := slices.IndexFunc(w.machines, func(m *machine) bool { return m.id == o.Machine })
	if k < 0 {
		w.mu.Unlock()
		reply(rw, http.StatusBadRequest, map[string]any{})
		return
	}
	m := w.machines[k]
	if token < m.token || (m.state != "up" && m.pool != o.Pool) {
		reason := "busy"
		if token < m.token {
			reason = "fence"
		}
		w.mu.Unlock()
		reply(rw, http.StatusConflict, map[string]any{"reason": reason})
		return
	}
	m.token = token
	old := m.worker
	done := m.pool == o.Pool
	if !done {
		m.pool, m.worker, m.state = o.Pool, nil, "moving"
		if old != nil {
			old.terminate()
		}
	}
	w.mu.Unlock()
	if !done {
		w.record("cloud: %s moves to %s", o.Machine, o.Pool)
		if old != nil {
			w.store.put("servers", old.id, nil)
		}
		time.AfterFunc(moveTime, func() { w.endMove(m) })
	}
	reply(rw, http.StatusOK, map[string]any{})
}

// endMove starts the worker of a machine that has moved, unless its pool is the spare one.
func (w *world) endMove(m *machine) {
	w.mu.Lock()
	m.state = "up"
	spare := m.pool == sparePool
	w.mu.Unlock()
	if spare {
		return
	}
	if err := w.startWorker(m); err != nil {
		w.record("cannot start a worker: %v", err)
	}
}
