package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"samphirepoint/drainer"
	"samphirepoint/instance"
	"samphirepoint/network"
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
	ID       string `json:"id"`
	Draining bool   `json:"draining"`
	Running  []struct {
		RequestID  string `json:"requestId"`
		Task       string `json:"task"`
		Backer     string `json:"backer"`
		Idempotent bool   `json:"idempotent"`
	} `json:"running"`
}

// Status implements Workers.
func (h *HTTPWorkers) Status(ctx context.Context, in instance.Instance) (drainer.Worker, error) {
	data, err := h.do(ctx, http.MethodGet, in, "/status")
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
	w := drainer.Worker{Draining: s.Draining}
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
func (h *HTTPWorkers) Drain(ctx context.Context, in instance.Instance) error {
	return h.post(ctx, in, "/drain")
}

// Undrain implements Workers.
func (h *HTTPWorkers) Undrain(ctx context.Context, in instance.Instance) error {
	return h.post(ctx, in, "/undrain")
}

// Reboot implements Workers.
func (h *HTTPWorkers) Reboot(ctx context.Context, in instance.Instance) error {
	return h.post(ctx, in, "/reboot")
}

// Checkpoint implements Workers.
func (h *HTTPWorkers) Checkpoint(ctx context.Context, in instance.Instance, task string) error {
	return h.post(ctx, in, "/tasks/"+url.PathEscape(task)+"/checkpoint")
}

// Stop implements Workers.
func (h *HTTPWorkers) Stop(ctx context.Context, in instance.Instance, task string) error {
	return h.post(ctx, in, "/tasks/"+url.PathEscape(task)+"/stop")
}

func (h *HTTPWorkers) post(ctx context.Context, in instance.Instance, path string) error {
	_, err := h.do(ctx, http.MethodPost, in, path)
	return err
}

func (h *HTTPWorkers) do(ctx context.Context, method string, in instance.Instance, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+in.Address+path, nil)
	if err != nil {
		return nil, err
	}
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
