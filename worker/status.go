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

// ErrUnresponsive reports a connection on which an answer did not arrive although the worker does not run the
// request any more, or a worker that does not answer at all.
var ErrUnresponsive = errors.New("connection or worker went silent")

const (
	// watchFirst is the earliest check of an attempt that takes longer than expected.
	watchFirst = time.Second
	// watchFactor times the expected run time is the time before the first check.
	watchFactor = 3
	// watchMax bounds the doubling interval between checks.
	watchMax = 30 * time.Second
	// watchGrace lets an answer that is on its way arrive.
	watchGrace = 500 * time.Millisecond
	// statusTimeout bounds one status call.
	statusTimeout = time.Second
	// statusAge is the age up to which attempts share the result of one status call.
	statusAge = 500 * time.Millisecond
	// maxStatusBytes bounds the reply.
	maxStatusBytes = 1 << 20
)

// Running is work that holds a slot of the worker.
type Running struct {
	RequestID  string    `json:"requestId"`
	Attempt    string    `json:"attempt"`
	Task       string    `json:"task"`
	Backer     string    `json:"backer"`
	Pool       string    `json:"pool"`
	Idempotent bool      `json:"idempotent"`
	Started    time.Time `json:"started"`
}

// Status is the worker's own view.
type Status struct {
	ID       string    `json:"id"`
	Draining bool      `json:"draining"`
	Leaving  bool      `json:"leaving"`
	Running  []Running `json:"running"`
}

// Status asks the worker on a connection of its own, since pooled ones may have gone silent.
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

// statusCache shares one status call between the attempts that are watched.
type statusCache struct {
	mu    sync.Mutex
	at    time.Time
	value Status
	err   error
}

func (c *Client) sharedStatus() (Status, error) {
	c.status.mu.Lock()
	defer c.status.mu.Unlock()
	if time.Since(c.status.at) < statusAge {
		return c.status.value, c.status.err
	}
	c.status.value, c.status.err = c.Status(context.Background())
	c.status.at = time.Now()
	return c.status.value, c.status.err
}

// watch cancels the attempt with ErrSilent once the worker does not run it and no answer came.
func (c *Client) watch(ctx context.Context, a Attempt) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	interval := max(watchFirst, watchFactor*a.Expected)
	var mu sync.Mutex
	var timer *time.Timer
	ended := false
	var check func()
	check = func() {
		alive := c.attemptAlive(a.ID)
		mu.Lock()
		defer mu.Unlock()
		if ended {
			return
		}
		if alive {
			interval = min(2*interval, watchMax)
			timer = time.AfterFunc(interval, check)
			return
		}
		timer = time.AfterFunc(watchGrace, func() {
			cancel(ErrUnresponsive)
			c.Suspect()
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

// attemptAlive reports whether the worker says that it runs the attempt. Two failed status calls in
// a row count as a worker that does not run anything.
func (c *Client) attemptAlive(attempt string) bool {
	st, err := c.sharedStatus()
	if err != nil {
		time.Sleep(statusAge)
		if st, err = c.sharedStatus(); err != nil {
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
