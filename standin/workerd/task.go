package workerd

import (
	"encoding/json"
	"net/http"
	"time"

	"samphirepoint/request"
	"samphirepoint/standin"
)

const (
	// taskTick is the step of simulated progress and the precision of leases.
	taskTick = 20 * time.Millisecond
	// defaultLeaseSeconds is the lease of the design page, section 3.6.
	defaultLeaseSeconds = 10
)

// TaskState is the state of a task.
type TaskState string

// States of a task; all but TaskRunning are final.
const (
	TaskRunning TaskState = "running"
	TaskDone    TaskState = "done"
	TaskFailed  TaskState = "failed"
	TaskStopped TaskState = "stopped"
	TaskLapsed  TaskState = "lapsed"
)

// TaskStart is the body of PUT /tasks/{id}. The request headers are those of POST /run.
type TaskStart struct {
	LeaseSeconds float64 `json:"leaseSeconds"`
	// Checkpoint continues the work of an earlier task.
	Checkpoint *Checkpoint `json:"checkpoint,omitempty"`
	// Work has the form of the body of POST /run; anything else fails as it does there.
	Work json.RawMessage `json:"work"`
}

// Checkpoint is the progress from which another task may continue.
type Checkpoint struct {
	DoneMs int `json:"doneMs"`
}

// Task is the answer of all calls on a task.
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

// RenewQuery is the body of POST /tasks/{id}/renew.
type RenewQuery struct {
	LeaseSeconds float64 `json:"leaseSeconds"`
}

// ThrottleQuery is the body of POST /tasks/{id}/throttle; 1 is full speed, 0 a pause.
type ThrottleQuery struct {
	Speed float64 `json:"speed"`
}

// task is guarded by Server.mu.
type task struct {
	run   *run
	work  Work
	done  time.Duration
	state Task
	fails bool // at its first step
}

// handleTaskStart starts a task. A known id is answered with its state and not started again.
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
	if why := s.admit(r); why != nil {
		s.mu.Unlock()
		s.refuse(w, r, id, *why)
		return
	}
	t := s.newTask(id, q, r)
	state := t.snapshot()
	s.mu.Unlock()
	go s.work(t)
	writeTask(w, http.StatusCreated, state)
}

// newTask takes a slot. The caller holds mu.
func (s *Server) newTask(id string, q TaskStart, r *http.Request) *task {
	e := eventOf(s.options.ID, Start, r)
	e.Task = id
	if e.RequestID == "" {
		e.RequestID = id
	}
	work, err := parseWork(q.Work)
	t := &task{run: s.begin(e), work: work, fails: err != nil || work.NeverRuns || s.affected(FailFast)}
	t.state = Task{ID: id, RequestID: e.RequestID, RunID: t.run.event.RunID, State: TaskRunning, Speed: 1,
		LeaseExpires: time.Now().Add(seconds(q.LeaseSeconds))}
	if q.Checkpoint != nil {
		t.done = time.Duration(q.Checkpoint.DoneMs) * time.Millisecond
		t.state.Checkpoint = *q.Checkpoint
	}
	s.tasks[id] = t
	return t
}

func seconds(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }

func (t *task) snapshot() Task {
	state := t.state
	state.DoneMs = int(t.done.Milliseconds())
	return state
}

// work advances a task until it ends.
func (s *Server) work(t *task) {
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

// advance returns the outcome if the task ends.
func (s *Server) advance(t *task, now time.Time, step time.Duration) Outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	t.done += time.Duration(float64(step) * t.state.Speed * s.mode.speed())
	switch {
	case now.After(t.state.LeaseExpires):
		return Lapsed
	case t.fails:
		return Failed
	case t.done < time.Duration(t.work.RunMs)*time.Millisecond:
		return ""
	case t.work.Fail:
		return Failed
	}
	return Done
}

func (s *Server) endTask(t *task, o Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o = s.finishLocked(t.run, o)
	e := t.run.event
	result := &Result{RunID: e.RunID, RequestID: e.RequestID, Worker: e.Worker, Payload: t.work.Payload}
	switch o {
	case Done:
		t.state.State, t.state.Status, t.state.Result = TaskDone, http.StatusOK, result
	case Failed:
		result.Error = "failed"
		t.state.State, t.state.Status, t.state.Result = TaskFailed, http.StatusInternalServerError, result
	case Lapsed:
		t.state.State = TaskLapsed
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

// handleTaskAction changes a running task. It answers 409 with the state if the task has ended.
func (s *Server) handleTaskAction(w http.ResponseWriter, r *http.Request) {
	var apply func(*task)
	switch r.PathValue("action") {
	case "renew":
		var q RenewQuery
		if !standin.ReadJSON(w, r, &q) {
			return
		}
		if q.LeaseSeconds <= 0 {
			q.LeaseSeconds = defaultLeaseSeconds
		}
		apply = func(t *task) { t.state.LeaseExpires = time.Now().Add(seconds(q.LeaseSeconds)) }
	case "throttle":
		var q ThrottleQuery
		if !standin.ReadJSON(w, r, &q) {
			return
		}
		apply = func(t *task) { t.state.Speed = max(q.Speed, 0) }
	case "checkpoint":
		apply = func(t *task) { t.state.Checkpoint = Checkpoint{DoneMs: int(t.done.Milliseconds())} }
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
	// A task whose lease ran out is not renewed, even if its next tick is still to come.
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
