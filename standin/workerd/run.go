package workerd

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"samphirepoint/request"
	"samphirepoint/standin"
	"samphirepoint/verdict"
)

// maxRequestBytes bounds the size of a request body.
const maxRequestBytes = 16 << 20

// Work is the body of POST /run: the work that the worker simulates.
type Work struct {
	// RunMs is the service time in milliseconds at normal speed.
	RunMs int `json:"runMs"`
	// Fail makes the work end with status 500 after its service time.
	Fail bool `json:"fail,omitempty"`
	// Size is the number of padding bytes in the response.
	Size int `json:"size,omitempty"`
	// NeverRuns makes the work fail as soon as it starts, on every worker.
	NeverRuns bool `json:"neverRuns,omitempty"`
	// Payload is echoed in the response.
	Payload json.RawMessage `json:"payload,omitempty"`
}

// Result is the body of a response.
type Result struct {
	RunID     string          `json:"runId"`
	RequestID string          `json:"requestId"`
	Worker    string          `json:"worker"`
	Payload   json.RawMessage `json:"payload,omitempty"`
	Error     string          `json:"error,omitempty"`
	Padding   string          `json:"padding,omitempty"`
}

// run is work that occupies a slot.
type run struct {
	event   Event
	started time.Time
	stop    chan struct{} // closed to end the run early
	ended   chan struct{} // closed when the slot is released
	outcome Outcome       // set by abort or at the end of the run; guarded by Server.mu
}

func (r *run) describe() Running {
	e := r.event
	return Running{RequestID: e.RequestID, Attempt: e.Attempt, Task: e.Task, RunID: e.RunID, Backer: e.Backer, Queue: e.Queue,
		Pool: e.Pool, Kind: e.Work, Key: e.Key, Idempotent: e.Idempotent, Started: r.started}
}

// response is a complete response, kept for mode Swap.
type response struct {
	status int
	header map[string]string
	body   []byte
}

// startRun occupies a slot. The caller holds mu and has checked admit.
func (s *Server) startRun(e Event) *run {
	e.RunID = uuid.NewString()
	r := &run{event: e, started: time.Now(), stop: make(chan struct{}), ended: make(chan struct{})}
	s.running[e.RunID] = r
	s.journal.add(e)
	return r
}

func (s *Server) finishRun(r *run, o Outcome) Outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.finishRunLocked(r, o)
}

// finishRunLocked releases the slot. An outcome set by abort takes precedence. The caller holds mu.
func (s *Server) finishRunLocked(r *run, o Outcome) Outcome {
	if r.outcome != "" {
		o = r.outcome
	}
	r.outcome = o
	delete(s.running, r.event.RunID)
	e := r.event
	e.Kind, e.Outcome = End, o
	s.journal.add(e)
	close(r.ended)
	return o
}

// abort ends a run early. The caller holds mu.
func (r *run) abort(o Outcome) {
	if r.outcome == "" {
		r.outcome = o
		close(r.stop)
	}
}

// goOffline aborts all work as lost, removes the tasks and admits no work until the worker listens again.
func (s *Server) goOffline() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.offline = true
	for _, r := range s.running {
		r.abort(Lost)
	}
	s.tasks = map[string]*task{}
}

// parseWork decodes the work to simulate; the callers let work that can't be decoded fail immediately.
func parseWork(body []byte) (Work, error) {
	var work Work
	err := json.Unmarshal(body, &work)
	return work, err
}

// handleRun runs a request to completion even if the client disconnects, as a real server may.
func (s *Server) handleRun(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		w.Header().Set(request.HeaderVerdict, verdict.NotRun.String())
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	work, workErr := parseWork(body)
	s.mu.Lock()
	if rejected := s.admit(r); rejected != nil {
		s.mu.Unlock()
		s.refuse(w, r, "", *rejected)
		return
	}
	run := s.startRun(eventOf(s.options.ID, Start, r))
	failFast, hang := s.modeApplies(FailFast), s.modeApplies(Hang)
	s.mu.Unlock()

	outcome, status, message := Done, http.StatusOK, ""
	switch {
	case workErr != nil:
		outcome, status, message = Failed, http.StatusBadRequest, workErr.Error()
	case failFast || work.NeverRuns:
		outcome, status, message = Failed, http.StatusInternalServerError, "cannot run"
	case work.Fail:
		outcome, status, message = Failed, http.StatusInternalServerError, "failed"
		fallthrough
	default:
		s.simulate(run, time.Duration(work.RunMs)*time.Millisecond, hang)
	}
	switch s.finishRun(run, outcome) {
	case Lost:
		panic(http.ErrAbortHandler) // a reboot closes the connection
	case Stopped:
		status, message = http.StatusConflict, "stopped"
	}
	s.send(w, s.compose(run.event, status, message, work))
}

// simulate simulates the service time. A hanging run lasts until it is stopped or the mode changes.
func (s *Server) simulate(r *run, d time.Duration, hang bool) {
	s.mu.Lock()
	changed := s.changed
	if s.mode.Mode == Slow {
		d = time.Duration(float64(d) * s.mode.Factor)
	}
	s.mu.Unlock()
	if hang {
		select {
		case <-changed:
		case <-r.stop:
		}
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.stop:
	}
}

func (s *Server) compose(e Event, status int, message string, work Work) *response {
	result := Result{RunID: e.RunID, RequestID: e.RequestID, Worker: e.Worker, Payload: work.Payload, Error: message,
		Padding: strings.Repeat("x", max(work.Size, 0))}
	body, err := json.Marshal(result)
	if err != nil {
		status, body = http.StatusInternalServerError, []byte(err.Error())
	}
	v := verdict.Ran
	if message == "stopped" {
		v = verdict.MayHaveRun
	}
	return &response{status: status, body: body, header: map[string]string{
		"Content-Type":          "application/json",
		request.HeaderRequestID: e.RequestID,
		request.HeaderAttempt:   e.Attempt,
		request.HeaderWorker:    e.Worker,
		request.HeaderVerdict:   v.String(),
		request.HeaderBodyHash:  request.BodyHash(body),
	}}
}

// send writes the response, altered according to the mode.
func (s *Server) send(w http.ResponseWriter, a *response) {
	s.mu.Lock()
	leaving := s.leavingLocked() && s.mode.Mode != LeaveSilently
	swap, truncate := s.modeApplies(Swap), s.modeApplies(Truncate)
	previous := s.previousResponse
	s.previousResponse = a
	abortConnection := false
	if truncate {
		s.truncations++
		abortConnection = s.truncations%2 == 0
	}
	s.mu.Unlock()
	if swap && previous != nil {
		a = previous
	}
	for k, v := range a.header {
		w.Header().Set(k, v)
	}
	if leaving {
		w.Header().Set(request.HeaderLeaving, "true")
	}
	body, length := a.body, len(a.body)
	if truncate {
		body = body[:len(body)/2]
		if !abortConnection {
			length = len(body)
		}
	}
	w.Header().Set("Content-Length", strconv.Itoa(length))
	w.WriteHeader(a.status)
	_, _ = w.Write(body) // a disconnected client gets nothing; the run stays in the journal
	if abortConnection {
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

// StopReply is the response to POST /stop/{request id}.
type StopReply struct {
	// Stopped is the number of runs that were aborted; Finished counts those that had finished by then.
	Stopped  int `json:"stopped"`
	Finished int `json:"finished"`
}

// handleStop aborts the runs of a request, or of the attempt given in a header, and responds once all of them have
// released their slots.
func (s *Server) handleStop(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	attempt := r.Header.Get(request.HeaderAttempt)
	var found []*run
	s.mu.Lock()
	for _, run := range s.running {
		if run.event.RequestID == id && (attempt == "" || run.event.Attempt == attempt) {
			run.abort(Stopped)
			found = append(found, run)
		}
	}
	s.mu.Unlock()
	if len(found) == 0 {
		http.Error(w, "not running", http.StatusNotFound)
		return
	}
	var reply StopReply
	for _, run := range found {
		<-run.ended
		if run.outcome == Stopped {
			reply.Stopped++
		} else {
			reply.Finished++
		}
	}
	standin.WriteJSON(w, http.StatusOK, reply)
}
