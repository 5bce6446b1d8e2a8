package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	sparePool = "common"
	// jobHost is the host of all queues; requestTime is how long clients wait, attempts how often they send.
	jobHost     = "jobs.example"
	requestTime = 3 * time.Second
	attempts    = 5
	retryPause  = 300 * time.Millisecond
)

// step is a step of a job and how its tasks run.
type step struct {
	count, cpu  int
	after       []int
	gang, lasts bool
	// advised is set for the steps of queues with advice.
	advised bool
	// fails is set for tasks that fail at the end of their work.
	fails bool
	work  time.Duration
}

// job is what clients have sent, and what workers have done of it. Its fields are protected by world.mu.
type job struct {
	id, path, pool string
	steps          []step
	accepted       bool
	acceptedAt     time.Time
	// running and done hold the present runs and the tasks that have ended as done, failed the runs of each step that ended as failed.
	running map[string]int
	done    map[string]bool
	failed  map[string]map[int64]bool
	// failedRuns counts the failed runs of each task whose ends were taken note of.
	failedRuns map[string]int
	starts     []start
}

// start is a start of a task, as its worker has seen it.
type start struct {
	task, pool string
	run        int64
	at         time.Time
}

// newJob registers a job that a client is about to send.
func (w *world) newJob(path, pool string, steps []step) *job {
	j := &job{id: fmt.Sprintf("%016x", rand.Uint64()), path: path, pool: pool, steps: steps, running: map[string]int{}, done: map[string]bool{}, failed: map[string]map[int64]bool{}, failedRuns: map[string]int{}}
	w.mu.Lock()
	w.jobs[j.id] = j
	w.mu.Unlock()
	return j
}

func (j *job) body() []byte {
	var steps []map[string]any
	for _, s := range j.steps {
		row := map[string]any{"count": s.count, "cpu": s.cpu, "mem_mb": 10}
		if s.work > 0 {
			row["estimate_ms"] = s.work.Milliseconds()
		}
		if len(s.after) > 0 {
			row["after"] = s.after
		}
		if s.gang {
			row["gang"] = true
		}
		if s.lasts {
			row["long_running"] = true
		}
		steps = append(steps, row)
	}
	data, err := json.Marshal(map[string]any{"task_spec": "review " + j.id, "steps": steps})
	if err != nil {
		panic(err) // Maps of plain values always encode.
	}
	return data
}

// ask sends one request to a daemon on a new connection.
func (w *world) ask(d *daemon, method, path string, body []byte) (int, string, error) {
	ctx, cancel := context.WithTimeout(w.ctx, requestTime)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+d.front+path, bytes.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	req.Host = jobHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", strconv.FormatInt(requestTime.Milliseconds(), 10))
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, strings.TrimSpace(string(data)), err
}

// send sends a request for a job, at several daemons if need be, and records the answers. It stops at a 2xx, 404 or 410.
func (w *world) send(method string, j *job) (int, string) {
	var body []byte
	if method == http.MethodPost {
		body = j.body()
	}
	first := rand.IntN(len(w.daemons))
	for k := range attempts {
		d := w.daemons[(first+k)%len(w.daemons)]
		sent := time.Now()
		status, text, err := w.ask(d, method, j.path+j.id, body)
		w.record("client: %s %s%s at %s -> %d %s %v after %d ms", method, j.path, j.id, d.name, status, text, err, time.Since(sent).Milliseconds())
		if err == nil && (status/100 == 2 || status == http.StatusNotFound || status == http.StatusGone) {
			return status, text
		}
		time.Sleep(retryPause)
	}
	return 0, ""
}

// submit sends a job until it is accepted or the client gives up.
func (w *world) submit(j *job) bool {
	status, _ := w.send(http.MethodPost, j)
	w.mu.Lock()
	defer w.mu.Unlock()
	if status/100 == 2 {
		j.accepted, j.acceptedAt = true, time.Now()
	}
	return j.accepted
}

// state asks for the state of a job.
func (w *world) state(j *job) (int, string) {
	status, text := w.send(http.MethodGet, j)
	var answer struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal([]byte(text), &answer) // Other answers have no state.
	return status, answer.State
}

// stepOfTask returns the step of a task that a client has sent, or nil. The caller holds world.mu.
func (w *world) stepOfTask(task string) *step {
	parts := strings.Split(task, ".")
	if len(parts) != 4 || w.jobs[parts[0]] == nil {
		return nil
	}
	n, err := strconv.Atoi(parts[2])
	if j := w.jobs[parts[0]]; err == nil && n >= 0 && n < len(j.steps) {
		return &j.steps[n]
	}
	return nil
}

func (w *world) jobOf(task string) *job { return w.jobs[task[:strings.IndexByte(task, '.')]] }

// noteStart and noteEnd keep what workers have done of a job. The caller holds world.mu.
func (w *world) noteStart(x *worker, task string, run int64) {
	j := w.jobOf(task)
	j.running[task]++
	j.starts = append(j.starts, start{task: task, pool: x.pool, run: run, at: time.Now()})
}

func (w *world) noteEnd(r *taskRun, how string) {
	j := w.jobOf(r.task)
	if j.running[r.task]--; j.running[r.task] <= 0 {
		delete(j.running, r.task)
	}
	switch how {
	case "done":
		j.done[r.task] = true
	case "failed":
		name := stepOf(r.task)
		if j.failed[name] == nil {
			j.failed[name] = map[int64]bool{}
		}
		j.failed[name][r.run] = true
	}
}

// doneOf counts the tasks of a step that have ended as done.
func (j *job) doneOf(k int) int {
	n := 0
	for task := range j.done {
		if parts := strings.Split(task, "."); parts[2] == strconv.Itoa(k) {
			n++
		}
	}
	return n
}

// readyStep returns a step with a task whose turn has come: it isn't done, and the steps before it are.
func (j *job) readyStep() (*step, bool) {
	for k := range j.steps {
		s := &j.steps[k]
		ready := j.doneOf(k) < s.count
		for _, a := range s.after {
			ready = ready && j.doneOf(a) == j.steps[a].count
		}
		if ready {
			return s, true
		}
	}
	return nil, false
}

// advisedPrefix begins the names of the queues with advice.
const advisedPrefix = "advised-"

// config returns a configuration of the given version. Each route is a queue with a name, a path prefix and a service.
func config(version int, pools []pool, routes ...[3]string) map[string]any {
	var list, services []map[string]any
	for _, r := range routes {
		row := map[string]any{
			"name": r[0], "host": jobHost, "path_prefix": r[1], "service": r[2], "kind": "non_idempotent", "timeout_ms": requestTime.Milliseconds(),
			"target_latency_ms": 600, "priority": 0, "attempts": maxAttempts, "stretch": 1.6,
		}
		if strings.HasPrefix(r[0], advisedPrefix) {
			row["advice"] = map[string]any{"decide_ms": decideTime.Milliseconds(), "each_ms": eachTime.Milliseconds(), "valid_ms": ticketTime.Milliseconds()}
		}
		list = append(list, row)
	}
	for _, p := range pools {
		services = append(services, map[string]any{"name": p.name, "enforces_capacity": false, "spare": p.spare})
	}
	return map[string]any{"version": version, "routes": list, "services": services, "limits": map[string]any{"max_body_bytes": 262144}}
}
