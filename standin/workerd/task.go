package workerd

import (
	"encoding/json"
	"net/http"
	"time"

	"samphirepoint/request"
	"samphirepoint/standin"
)

const (
	// taskTick is the interval at which progress is simulated and leases are checked.
	taskTick = 20 * time.Millisecond
	// defaultLeaseSeconds is the lease duration of the design document, section 3.6.
	defaultLeaseSeconds = 10
)

// TaskState is the state of a task.
type TaskState string

// States of a task; all but TaskRunning are final.
const (
	TaskRunning      TaskState = "running"
	TaskDone         TaskState = "done"
	TaskFailed       TaskState = "failed"
	TaskStopped      TaskState = "stopped"
	TaskLeaseExpired TaskState = "lapsed"
)

// TaskStart is the body of PUT /tasks/{id}. The request headers are those of POST /run.
type TaskStart struct {
	LeaseSeconds float64 `json:"leaseSeconds"`
	// Checkpoint resumes the work of an earlier task.
	Checkpoint *Checkpoint `json:"checkpoint,omitempty"`
	// Work has the format of the body of POST /run; a malformed value fails as it does there.
	Work json.RawMessage `json:"work"`
}

// Checkpoint is the progress from which another task may resume.
type Checkpoint struct {
	DoneMs int `json:"doneMs"`
}

// Task is the response to all calls on a task.
type Task struct {
	ID           string     `json:"id"`
	RequestID    string     `json:"requestId"`
	RunID        string     `json:"runId"`
	State        TaskState  `json:"state"`
	DoneMs       int        `json:"doneMs"`
	Checkpoint   Checkpoint `json:"checkpoint"`
	Speed        float64    `json:"speed"`
	LeaseExpires time.Time  `json:"leaseExpires"`
	// Status and Result are the outcome of a task that is done or failed.
	Status int     `json:"status,omitempty"`
	Result *Result `json:"result,omitempty"`
}

// RenewRequest is the body of POST /tasks/{id}/renew.
type RenewRequest struct {
	LeaseSeconds float64 `json:"leaseSeconds"`
}

// ThrottleRequest is the body of POST /tasks/{id}/throttle. Speed 1 is full speed, 0 pauses the task.
type ThrottleRequest struct {
	Speed float64 `json:"speed"`
}

// task is a task with its progress. It is guarded by Server.mu.
type task struct {
	run          *run
	work         Work
	progress     time.Duration
	state        Task
	failsAtStart bool // at its first tick
}

// handleTaskStart starts a task. If the id exists, it returns the task's state and does not start it again.
func (s *Server) handleTaskStart(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	var q TaskStart
	if !standin.ReadJSON(w, r, &q) {
		return
	}
	if q.LeaseSeconds <= 0 {
		q.LeaseSeconds = defaultLeaseSeconds
	}
	s.mu.Lock()
	if t := s.tasks[id]; t != nil {
		state := t.snapshot()
		s.mu.Unlock()
		writeTask(w, http.StatusOK, state)
		return
	}
	if rejected := s.admit(r); rejected != nil {
		s.mu.Unlock()
		s.refuse(w, r, id, *rejected)
		return
	}
	t := s.newTask(id, q, r)
	state := t.snapshot()
	s.mu.Unlock()
	go s.runTask(t)
	writeTask(w, http.StatusCreated, state)
}

// newTask creates a task and occupies a slot. The caller holds mu.
func (s *Server) newTask(id string, q TaskStart, r *http.Request) *task {
	e := eventOf(s.options.ID, Start, r)
	e.Task = id
	if e.RequestID == "" {
		e.RequestID = id
	}
	work, err := parseWork(q.Work)
	t := &task{run: s.startRun(e), work: work, failsAtStart: err != nil || work.NeverRuns || s.modeApplies(FailFast)}
	t.state = Task{ID: id, RequestID: e.RequestID, RunID: t.run.event.RunID, State: TaskRunning, Speed: 1,
		LeaseExpires: time.Now().Add(seconds(q.LeaseSeconds))}
	if q.Checkpoint != nil {
		t.progress = time.Duration(q.Checkpoint.DoneMs) * time.Millisecond
		t.state.Checkpoint = *q.Checkpoint
	}
	s.tasks[id] = t
	return t
}

func seconds(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }

func (t *task) snapshot() Task {
	state := t.state
	state.DoneMs = int(t.progress.Milliseconds())
	return state
}

// runTask advances a task until it ends.
func (s *Server) runTask(t *task) {
	ticker := time.NewTicker(taskTick)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-t.run.stop:
			s.endTask(t, Stopped)
			return
		case <-ticker.C:
		}
		now := time.Now()
		if o := s.advance(t, now, now.Sub(last)); o != "" {
			s.endTask(t, o)
			return
		}
		last = now
	}
}

// advance simulates a step of progress. It returns the outcome if the task ends, and an empty one otherwise.
func (s *Server) advance(t *task, now time.Time, step time.Duration) Outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	t.progress += time.Duration(float64(step) * t.state.Speed * s.mode.speed())
	switch {
	case now.After(t.state.LeaseExpires):
		return LeaseExpired
	case t.failsAtStart:
		return Failed
	case t.progress < time.Duration(t.work.RunMs)*time.Millisecond:
		return ""
	case t.work.Fail:
		return Failed
	}
	return Done
}

func (s *Server) endTask(t *task, o Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o = s.finishRunLocked(t.run, o)
	e := t.run.event
	result := &Result{RunID: e.RunID, RequestID: e.RequestID, Worker: e.Worker, Payload: t.work.Payload}
	switch o {
	case Done:
		t.state.State, t.state.Status, t.state.Result = TaskDone, http.StatusOK, result
	case Failed:
		result.Error = "failed"
		t.state.State, t.state.Status, t.state.Result = TaskFailed, http.StatusInternalServerError, result
	case LeaseExpired:
		t.state.State = TaskLeaseExpired
	default:
		t.state.State = TaskStopped
	}
}

func (s *Server) handleTask(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	t := s.tasks[r.PathValue("id")]
	var state Task
	if t != nil {
		state = t.snapshot()
	}
	s.mu.Unlock()
	if t == nil {
		http.Error(w, "unknown task", http.StatusNotFound)
		return
	}
	writeTask(w, http.StatusOK, state)
}

// handleTaskAction changes a running task. It responds with 409 and the state if the task has ended.
func (s *Server) handleTaskAction(w http.ResponseWriter, r *http.Request) {
	var apply func(*task)
	switch r.PathValue("action") {
	case "renew":
		var q RenewRequest
		if !standin.ReadJSON(w, r, &q) {
			return
		}
		if q.LeaseSeconds <= 0 {
			q.LeaseSeconds = defaultLeaseSeconds
		}
		apply = func(t *task) { t.state.LeaseExpires = time.Now().Add(seconds(q.LeaseSeconds)) }
	case "throttle":
		var q ThrottleRequest
		if !standin.ReadJSON(w, r, &q) {
			return
		}
		apply = func(t *task) { t.state.Speed = max(q.Speed, 0) }
	case "checkpoint":
		apply = func(t *task) { t.state.Checkpoint = Checkpoint{DoneMs: int(t.progress.Milliseconds())} }
	case "stop":
		apply = func(t *task) { t.run.abort(Stopped) }
	default:
		http.Error(w, "expected renew, checkpoint, throttle or stop", http.StatusNotFound)
		return
	}
	s.changeTask(w, r, apply)
}

func (s *Server) changeTask(w http.ResponseWriter, r *http.Request, apply func(*task)) {
	s.mu.Lock()
	t := s.tasks[r.PathValue("id")]
	if t == nil {
		s.mu.Unlock()
		http.Error(w, "unknown task", http.StatusNotFound)
		return
	}
	status := http.StatusConflict
	// An expired lease is not renewed, even before the tick that detects the expiry.
	if t.state.State == TaskRunning && !time.Now().After(t.state.LeaseExpires) {
		apply(t)
		status = http.StatusOK
	}
	state := t.snapshot()
	s.mu.Unlock()
	if r.PathValue("action") == "stop" {
		<-t.run.ended
		s.mu.Lock()
		state = t.snapshot()
		s.mu.Unlock()
	}
	writeTask(w, status, state)
}

func writeTask(w http.ResponseWriter, status int, t Task) {
	w.Header().Set(request.HeaderRequestID, t.RequestID)
	standin.WriteJSON(w, status, t)
}
