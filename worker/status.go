package worker

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// ErrUnresponsive reports a connection on which no response arrived although the worker no longer runs the request, or a worker
// that does not respond at all.
var ErrUnresponsive = errors.New("connection or worker went silent")

const (
	// firstCheckMin is the shortest time after which an attempt that takes longer than expected is checked.
	firstCheckMin = time.Second
	// firstCheckFactor is multiplied by the expected run time to get the time before the first check.
	firstCheckFactor = 3
	// maxCheckInterval bounds the interval between checks, which doubles each time.
	maxCheckInterval = 30 * time.Second
	// lateResponseGrace is the time in which a response that is in transit can still arrive.
	lateResponseGrace = 500 * time.Millisecond
	// statusTimeout bounds one status call.
	statusTimeout = time.Second
	// statusCacheTTL is the age up to which attempts share the result of one status call, and the delay before a second
	// call.
	statusCacheTTL = 500 * time.Millisecond
	// maxStatusBytes bounds the body of a status response.
	maxStatusBytes = 1 << 20
)

// Running is work that occupies a slot of the worker.
type Running struct {
	RequestID  string    `json:"requestId"`
	Attempt    string    `json:"attempt"`
	Task       string    `json:"task"`
	Backer     string    `json:"backer"`
	Pool       string    `json:"pool"`
	Idempotent bool      `json:"idempotent"`
	Started    time.Time `json:"started"`
}

// Status is the state that a worker reports.
type Status struct {
	ID       string    `json:"id"`
	Draining bool      `json:"draining"`
	Leaving  bool      `json:"leaving"`
	Running  []Running `json:"running"`
}

// Status fetches the state of the worker on a new connection, since pooled ones may have become unresponsive.
func (c *Client) Status(ctx context.Context) (Status, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.address+"/status", nil)
	if err != nil {
		return Status{}, err
	}
	resp, err := c.fresh.RoundTrip(req)
	if err != nil {
		return Status{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return Status{}, fmt.Errorf("worker status: %d", resp.StatusCode)
	}
	var st Status
	err = json.NewDecoder(io.LimitReader(resp.Body, maxStatusBytes)).Decode(&st)
	return st, err
}

// statusCache shares the result of one status call between the attempts that are being checked.
type statusCache struct {
	mu    sync.Mutex
	at    time.Time
	value Status
	err   error
}

func (c *Client) cachedStatus() (Status, error) {
	c.status.mu.Lock()
	defer c.status.mu.Unlock()
	if time.Since(c.status.at) < statusCacheTTL {
		return c.status.value, c.status.err
	}
	c.status.value, c.status.err = c.Status(context.Background())
	c.status.at = time.Now()
	return c.status.value, c.status.err
}

// watch cancels the attempt with ErrUnresponsive once the worker no longer runs it and no response has arrived.
func (c *Client) watch(ctx context.Context, a Attempt) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	interval := max(firstCheckMin, firstCheckFactor*a.Expected)
	var mu sync.Mutex
	var timer *time.Timer
	ended := false
	var check func()
	check = func() {
		running := c.attemptRunning(a.ID)
		mu.Lock()
		defer mu.Unlock()
		if ended {
			return
		}
		if running {
			interval = min(2*interval, maxCheckInterval)
			timer = time.AfterFunc(interval, check)
			return
		}
		timer = time.AfterFunc(lateResponseGrace, func() {
			cancel(ErrUnresponsive)
			c.DropIdleConnections()
		})
	}
	timer = time.AfterFunc(interval, check)
	return ctx, func() {
		mu.Lock()
		ended = true
		timer.Stop()
		mu.Unlock()
		cancel(nil)
	}
}

// attemptRunning reports whether the worker lists the attempt as running. After two consecutive failed status calls the
// worker is considered to run nothing.
func (c *Client) attemptRunning(attempt string) bool {
	st, err := c.cachedStatus()
	if err != nil {
		time.Sleep(statusCacheTTL)
		if st, err = c.cachedStatus(); err != nil {
			return false
		}
	}
	for _, r := range st.Running {
		if r.Attempt == attempt {
			return true
		}
	}
	return false
}
