package jobfleet

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"samphirepoint/rows"
)

func asConflict(err error, target **rows.Conflict) bool { return errors.As(err, target) }

// logTime is the format of times in violations.
const logTime = "15:04:05.000"

const (
	// defaultTaskDuration is the run time of each task unless Fleet.TaskDuration is changed.
	defaultTaskDuration = 60 * time.Millisecond
	// defaultMaxLease is the longest lease that a worker accepts unless Fleet.MaxLease is changed.
	defaultMaxLease = 10 * time.Second
)

// clockRates are the rates of the workers' clocks, which may be up to 2 % slow.
var clockRates = []float64{1, 0.99, 0.98}

// task is what the workers know of a task.
type task struct {
	starts   int
	doneEnds []*endedRun
}

// worker is one incarnation of an instance's worker.
type worker struct {
	fleet     *Fleet
	host      *host
	id        string
	startedAt time.Time
	// restarted is set if a former incarnation had the same ID.
	restarted bool
	// clockStartMS is the reading of the clock at the start.
	clockStartMS int64
	clockRate    float64
	token        int64
	terminated   bool
	leaseEndMS   int64
	running      map[string]*run
	// lastRun is the highest run of each task that has ended here.
	lastRun  map[string]int64
	ended    []*endedRun
	ackedSeq int64
	// failing is set while runs end as failed; healthAsked counts the calls of the health path.
	failing     bool
	healthAsked int
}

type run struct {
	number int64
	// start describes the start: when it was, and whether a former incarnation had received the call.
	start string
	// doneAtMS is when the run ends as done, on the worker's clock.
	doneAtMS int64
}

// endedRun is a listed end. It is void if it could not be acknowledged, as the worker's lease expired or the worker terminated before: the
// task may then run again.
type endedRun struct {
	worker       *worker
	seq, run     int64
	task, reason string
	void         bool
	// start, at and ack describe when the run started, when its end was listed, and when that was acknowledged.
	start, at, ack string
}

func (e *endedRun) String() string {
	return fmt.Sprintf("run %d, started on %s at %s, listed as %s at %s, acknowledged: %s", e.run, e.worker.id, e.start, e.reason, e.at, cmp.Or(e.ack, "no"))
}

func (e *endedRun) row() []any { return []any{e.seq, e.task, e.run, e.reason, ""} }

type callRequest struct {
	Task       string `json:"task"`
	TaskSpec   string `json:"task_spec"`
	Run        int64  `json:"run"`
	DeadlineMS int64  `json:"deadline_ms"`
	FenceToken int64  `json:"fence_token"`
	SeenUpto   int64  `json:"seen_upto"`
	WaitMS     int64  `json:"wait_ms"`
	Ticket     string `json:"ticket"`
	// former is set if a former incarnation of the worker had received the call.
	former bool
}

// describe says when the call is executed, which is now, and whether a former incarnation had received it.
func (c callRequest) describe() string {
	now := time.Now().Format(logTime)
	if c.former {
		return now + " by a call to a former incarnation"
	}
	return now
}

// execute executes a call and returns the status and the body of the answer.
func (w *worker) execute(path string, c callRequest) (int, map[string]any) {
	switch path {
	case "/api/run-start":
		return w.fenced(c, w.start)
	case "/api/run-stop":
		return w.fenced(c, w.stop)
	case "/api/pace":
		return w.fenced(c, func(callRequest) (int, map[string]any) { return http.StatusOK, w.status() })
	case "/api/hold":
		return w.renewAndWait(c)
	case HealthPath:
		return w.health()
	}
	return http.StatusNotFound, nil
}

// renewAndWait renews the lease once, and then waits for an end as long as the call says.
func (w *worker) renewAndWait(c callRequest) (int, map[string]any) {
	end := time.Now().Add(time.Duration(c.WaitMS) * time.Millisecond)
	status, body := w.fenced(c, w.renewLease)
	c.DeadlineMS = 0
	for status == http.StatusOK && len(body["ended"].([][]any)) == 0 && time.Now().Before(end) {
		time.Sleep(pollInterval)
		status, body = w.fenced(c, w.renewLease)
	}
	return status, body
}

func (w *worker) clockMS() int64 {
	return w.clockStartMS + int64(float64(time.Since(w.startedAt).Milliseconds())*w.clockRate)
}

func (w *worker) status() map[string]any {
	return map[string]any{"clock_ms": w.clockMS(), "born": w.startedAt.UnixMilli()}
}

// fenced ends the runs that are due, checks the fencing token and calls fn under the fleet's mutex.
func (w *worker) fenced(c callRequest, fn func(callRequest) (int, map[string]any)) (int, map[string]any) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	if status, body := w.checkToken(c); status != 0 {
		return status, body
	}
	return fn(c)
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

// endDueRuns ends the runs that are done, in the order of their ends, and all others once the lease has expired.
func (w *worker) endDueRuns() {
	now := w.clockMS()
	expired := w.leaseEndMS > 0 && now > w.leaseEndMS
	due := now
	if expired {
		due = w.leaseEndMS
	}
	for _, name := range slices.SortedFunc(maps.Keys(w.running), func(a, b string) int { return cmp.Compare(w.running[a].doneAtMS, w.running[b].doneAtMS) }) {
		switch r := w.running[name]; {
		case r.doneAtMS <= due:
			w.end(name, r, w.outcome())
		case expired:
			w.end(name, r, "lapsed")
		}
	}
	if expired {
		w.voidEnds()
		w.leaseEndMS = 0
	}
}

const (
	reasonDone   = "done"
	reasonFailed = "failed"
	// reasonOld is why a start of a run that is not higher than one that has ended is rejected. Its deadline is taken all the same.
	reasonOld = "old"
)

func (w *worker) end(name string, r *run, reason string) {
	delete(w.running, name)
	w.lastRun[name] = max(w.lastRun[name], r.number)
	e := &endedRun{worker: w, seq: int64(len(w.ended) + 1), task: name, run: r.number, reason: reason, start: r.start, at: time.Now().Format(logTime)}
	w.ended = append(w.ended, e)
	if reason == reasonDone {
		t := w.fleet.task(name)
		t.doneEnds = append(t.doneEnds, e)
	}
}

// crash ends the worker. Its unacknowledged ends are lost with it.
func (w *worker) crash() {
	w.endDueRuns()
	w.voidEnds()
	w.terminate()
}

// terminate ends the worker. What it ran has no end.
func (w *worker) terminate() {
	w.terminated = true
	clear(w.running)
}

// voidEnds records that the ends that are not acknowledged never will be in time.
func (w *worker) voidEnds() {
	for _, e := range w.ended[w.ackedSeq:] {
		e.void = true
	}
}

// extendLease extends the lease up to a time on the worker's clock. Workers shorten longer leases.
func (w *worker) extendLease(deadlineMS int64) {
	if deadlineMS <= 0 {
		return
	}
	longest := w.clockMS() + w.fleet.MaxLease.Milliseconds()
	if deadlineMS > longest {
		w.fleet.counts.ShortenedLeases++
	}
	w.leaseEndMS = max(w.leaseEndMS, min(deadlineMS, longest))
}

func (f *Fleet) task(name string) *task {
	t := f.tasks[name]
	if t == nil {
		t = &task{}
		f.tasks[name] = t
	}
	return t
}

// duration returns the run time of a task with the given specification.
func (f *Fleet) duration(spec string) time.Duration {
	if d, err := time.ParseDuration(spec); err == nil {
		return d
	}
	return f.TaskDuration
}

func (w *worker) start(c callRequest) (int, map[string]any) {
	if r := w.running[c.Task]; r != nil && r.number == c.Run {
		w.extendLease(c.DeadlineMS)
		return 200, w.status()
	}
	if reason := w.rejection(c); reason != "" {
		if reason == reasonOld {
			w.extendLease(c.DeadlineMS)
		}
		body := w.status()
		body["reason"] = reason
		return 409, body
	}
	w.checkStart(c)
	w.extendLease(c.DeadlineMS)
	w.running[c.Task] = &run{number: c.Run, start: c.describe(), doneAtMS: w.clockMS() + w.fleet.duration(c.TaskSpec).Milliseconds()}
	w.fleet.task(c.Task).starts++
	if w.restarted {
		w.fleet.counts.StartsAfterRestart++
	}
	return 200, w.status()
}

// checkStart checks the rules TWICE and LIMIT, and calls CheckStart.
func (w *worker) checkStart(c callRequest) {
	if limit := w.fleet.MaxRunning; limit > 0 && len(w.running) >= limit {
		w.fleet.violate("LIMIT: %s run %d starts on %s with token %d beside %d others, it has room for %d", c.Task, c.Run, w.id, c.FenceToken, len(w.running), limit)
	}
	running := map[string]int{jobOf(c.Task): 1}
	for _, other := range w.fleet.workers {
		if other.terminated {
			continue
		}
		other.endDueRuns()
		for task := range other.running {
			running[jobOf(task)]++
		}
		if r := other.running[c.Task]; r != nil {
			w.fleet.violate("TWICE: %s run %d starts on %s with token %d while run %d is on %s with token %d, started at %s",
				c.Task, c.Run, w.id, c.FenceToken, r.number, other.id, other.token, r.start)
		}
	}
	for _, e := range w.fleet.task(c.Task).doneEnds {
		if !e.void {
			w.fleet.violate("TWICE: %s run %d starts on %s with token %d after %v", c.Task, c.Run, w.id, c.FenceToken, e)
		}
	}
	if w.fleet.CheckStart == nil {
		return
	}
	if err := w.fleet.CheckStart(jobOf(c.Task), running); err != nil {
		w.fleet.violate("%v", err)
	}
}

// jobOf returns the ID of a task's job, which its name begins with.
func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}

func (f *Fleet) violate(format string, args ...any) {
	f.violations = append(f.violations, time.Now().Format(logTime)+" "+fmt.Sprintf(format, args...))
}

// rejection returns why a start has no effect, or "".
func (w *worker) rejection(c callRequest) string {
	switch {
	case c.Run <= w.lastRun[c.Task]:
		return reasonOld
	case c.DeadlineMS > 0 && w.clockMS() > c.DeadlineMS:
		return "late"
	case w.lacksTicket(c):
		return "ticket"
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
	w.extendLease(c.DeadlineMS)
	for w.ackedSeq < min(c.SeenUpto, int64(len(w.ended))) {
		w.ended[w.ackedSeq].ack = c.describe()
		w.ackedSeq++
	}
	running, ended := [][]any{}, [][]any{}
	for task, r := range w.running {
		running = append(running, []any{task, r.number, "", 100, 0})
	}
	for _, e := range w.ended[w.ackedSeq:] {
		ended = append(ended, e.row())
	}
	body := w.status()
	body["running"], body["ended"] = running, ended
	return 200, body
}
