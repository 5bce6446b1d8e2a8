package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"samphirepoint/drainer"
	"samphirepoint/instance"
	"samphirepoint/network"
	"samphirepoint/request"
)

// maxStatusBytes bounds a worker's status; one of 8 slots takes about 2 KB.
const maxStatusBytes = 1 << 20

// HTTPWorkers implements Workers over the worker API. Each call opens a new connection, because an
// existing one may have stopped responding while new ones work.
type HTTPWorkers struct {
	client *http.Client
}

// NewHTTPWorkers returns a client of all workers over network n; nil means TCP.
func NewHTTPWorkers(n network.Network) *HTTPWorkers {
	return &HTTPWorkers{client: &http.Client{
		Timeout:   probeTimeout,
		Transport: &http.Transport{DialContext: network.Dialer(n, probeTimeout, 0), DisableKeepAlives: true, DisableCompression: true},
	}}
}

// workerStatus is the part of GET /status that drains use.
type workerStatus struct {
	ID          string `json:"id"`
	Incarnation int64  `json:"incarnation"`
	Draining    bool   `json:"draining"`
	Running     []struct {
		RequestID  string `json:"requestId"`
		Task       string `json:"task"`
		Backer     string `json:"backer"`
		Idempotent bool   `json:"idempotent"`
	} `json:"running"`
}

// Status implements Workers.
func (h *HTTPWorkers) Status(ctx context.Context, in instance.Instance) (drainer.Worker, error) {
	data, err := h.do(ctx, http.MethodGet, in, "/status", http.Header{})
	if err != nil {
		return drainer.Worker{}, err
	}
	var s workerStatus
	if err := json.Unmarshal(data, &s); err != nil {
		return drainer.Worker{}, fmt.Errorf("status of %s: %w", in.ID, err)
	}
	if s.ID != "" && s.ID != in.ID {
		return drainer.Worker{}, fmt.Errorf("status of %s: worker %s answers at %s", in.ID, s.ID, in.Address)
	}
	w := drainer.Worker{Incarnation: s.Incarnation, Draining: s.Draining}
	for _, r := range s.Running {
		work := drainer.Work{ID: r.RequestID, Idempotent: r.Idempotent, Backer: r.Backer}
		if r.Task != "" {
			work.ID, work.Task = r.Task, true
		}
		w.Running = append(w.Running, work)
	}
	return w, nil
}

// Drain implements Workers.
func (h *HTTPWorkers) Drain(ctx context.Context, in instance.Instance, incarnation int64) error {
	return h.post(ctx, in, "/drain", incarnation)
}

// Undrain implements Workers.
func (h *HTTPWorkers) Undrain(ctx context.Context, in instance.Instance, incarnation int64) error {
	return h.post(ctx, in, "/undrain", incarnation)
}

// Reboot implements Workers.
func (h *HTTPWorkers) Reboot(ctx context.Context, in instance.Instance, incarnation int64) error {
	return h.post(ctx, in, "/reboot", incarnation)
}

// Checkpoint implements Workers.
func (h *HTTPWorkers) Checkpoint(ctx context.Context, in instance.Instance, task string) error {
	return h.post(ctx, in, "/tasks/"+url.PathEscape(task)+"/checkpoint", 0)
}

// Stop implements Workers.
func (h *HTTPWorkers) Stop(ctx context.Context, in instance.Instance, task string) error {
	return h.post(ctx, in, "/tasks/"+url.PathEscape(task)+"/stop", 0)
}

// post sends a command to an incarnation of the worker, or to any if that is 0. A task has an ID of its own, which no other incarnation knows.
func (h *HTTPWorkers) post(ctx context.Context, in instance.Instance, path string, incarnation int64) error {
	header := http.Header{}
	header.Set(request.HeaderWorker, in.ID)
	if incarnation != 0 {
		header.Set(request.HeaderIncarnation, strconv.FormatInt(incarnation, 10))
	}
	_, err := h.do(ctx, http.MethodPost, in, path, header)
	return err
}

func (h *HTTPWorkers) do(ctx context.Context, method string, in instance.Instance, path string, header http.Header) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+in.Address+path, nil)
	if err != nil {
		return nil, err
	}
	req.Header = header
	resp, err := h.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxStatusBytes))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode >= 300 {
		return nil, fmt.Errorf("worker %s: %s %s: status %d", in.ID, method, path, resp.StatusCode)
	}
	return data, nil
}
