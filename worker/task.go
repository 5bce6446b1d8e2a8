package worker

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"samphirepoint/request"
	"samphirepoint/verdict"
)

// TaskState is the state of a task as its worker reports it.
type TaskState string

// States of a task; all but TaskRunning are final.
const (
	TaskRunning      TaskState = "running"
	TaskDone         TaskState = "done"
	TaskFailed       TaskState = "failed"
	TaskStopped      TaskState = "stopped"
	TaskLeaseExpired TaskState = "lapsed"
)

// ErrUnknownTask reports that the worker has never received the task, or lost it in a reboot.
var ErrUnknownTask = errors.New("worker does not know the task")

// TaskStart describes a task to start; a second start with the same id has no effect.
type TaskStart struct {
	ID string `json:"-"`
	// Worker is the id of the intended worker; see Attempt.
	Worker string `json:"-"`
	// LeaseSeconds is the time after which the worker stops a task whose lease is not renewed.
	LeaseSeconds float64 `json:"leaseSeconds"`
	// Checkpoint is the state from which to continue the work of an earlier task; its format is private to the worker.
	Checkpoint json.RawMessage `json:"checkpoint,omitempty"`
	Work       json.RawMessage `json:"work"`
}

// Task is the state of a task as its worker reports it.
type Task struct {
	ID         string          `json:"id"`
	State      TaskState       `json:"state"`
	Checkpoint json.RawMessage `json:"checkpoint"`
	// Status and Result are the outcome of a task that is done or failed.
	Status int             `json:"status"`
	Result json.RawMessage `json:"result"`
}

// StartTask starts a task. An error with verdict NotRun proves that this call did not start it.
func (c *Client) StartTask(ctx context.Context, r *request.Request, t TaskStart) (Task, error) {
	header := http.Header{}
	header.Set(request.HeaderRequestID, r.ID)
	header.Set(request.HeaderAttempt, t.ID)
	if t.Worker != "" {
		header.Set(request.HeaderWorker, t.Worker)
	}
	header.Set(request.HeaderBacker, r.Backer)
	header.Set(request.HeaderQueue, r.Queue)
	header.Set(request.HeaderPool, r.Pool)
	header.Set(request.HeaderKind, r.Kind)
	header.Set(request.HeaderIdempotent, strconv.FormatBool(r.Idempotent))
	if r.Key != "" {
		header.Set(request.HeaderIdempotencyKey, r.Key)
	}
	return c.task(ctx, http.MethodPut, t.ID, "", header, t)
}

// Task returns the state of a task.
func (c *Client) Task(ctx context.Context, id string) (Task, error) {
	return c.task(ctx, http.MethodGet, id, "", nil, nil)
}

// renewal is the body of a renew call. It has no other fields, because workers reject unknown fields.
type renewal struct {
	LeaseSeconds float64 `json:"leaseSeconds"`
}

// RenewTask extends the lease of a task.
func (c *Client) RenewTask(ctx context.Context, id string, leaseSeconds float64) (Task, error) {
	return c.task(ctx, http.MethodPost, id, "/renew", nil, renewal{LeaseSeconds: leaseSeconds})
}

// CheckpointTask makes the worker record a checkpoint of a task and returns the task.
func (c *Client) CheckpointTask(ctx context.Context, id string) (Task, error) {
	return c.task(ctx, http.MethodPost, id, "/checkpoint", nil, nil)
}

// throttle is the body of a throttle call.
type throttle struct {
	Speed float64 `json:"speed"`
}

// ThrottleTask sets the speed of a task; 1 is full speed and 0 pauses it.
func (c *Client) ThrottleTask(ctx context.Context, id string, speed float64) (Task, error) {
	return c.task(ctx, http.MethodPost, id, "/throttle", nil, throttle{Speed: speed})
}

// StopTask stops a task and returns its final state once it no longer runs.
func (c *Client) StopTask(ctx context.Context, id string) (Task, error) {
	return c.task(ctx, http.MethodPost, id, "/stop", nil, nil)
}

// task makes one call on a new connection: task calls are rare, and an unresponsive connection must not cause a lease to
// expire.
func (c *Client) task(ctx context.Context, method, id, action string, header http.Header, in any) (Task, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return Task{}, verdict.Wrap(err, verdict.NotRun, http.StatusBadRequest)
		}
		body = io.NopCloser(bytes.NewReader(data))
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.address+"/tasks/"+id+action, body)
	if err != nil {
		return Task{}, verdict.Wrap(err, verdict.NotRun, http.StatusBadRequest)
	}
	if header != nil {
		req.Header = header
	}
	resp, err := c.fresh.RoundTrip(req)
	if err != nil {
		if verdict.NeverSent(err) {
			return Task{}, verdict.Wrap(err, verdict.NotRun, http.StatusBadGateway)
		}
		return Task{}, err
	}
	defer resp.Body.Close()
	return readTask(resp, id, header)
}

// readTask decodes a response and checks that it belongs to the task. A rejection counts only if it echoes the headers of
// the request.
func readTask(resp *http.Response, id string, sent http.Header) (Task, error) {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return Task{}, err
	}
	if isRefusal(resp) {
		for _, h := range []string{request.HeaderRequestID, request.HeaderAttempt} {
			if resp.Header.Get(h) != sent.Get(h) {
				return Task{}, fmt.Errorf("%w: refusal has %s %q", ErrInvalidResponse, h, resp.Header.Get(h))
			}
		}
		return Task{}, refusalError(resp.StatusCode, resp.Header.Get(request.HeaderLeaving) == "true")
	}
	switch resp.StatusCode {
	case http.StatusNotFound:
		return Task{}, ErrUnknownTask
	case http.StatusOK, http.StatusCreated, http.StatusConflict:
		var t Task
		if err := json.Unmarshal(data, &t); err != nil {
			return Task{}, fmt.Errorf("task response: %w", err)
		}
		if t.ID != id {
			return Task{}, fmt.Errorf("%w: response is for task %q", ErrInvalidResponse, t.ID)
		}
		return t, nil
	}
	return Task{}, fmt.Errorf("task response: status %d", resp.StatusCode)
}
