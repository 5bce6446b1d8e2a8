package cluster

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"time"
)

// The endpoints of the simulated network besides daemons and workers.
const (
	simStore     = "store"
	simInstances = "instances"
)

// workerOf returns the worker that an endpoint stands for, or "" for the others.
func workerOf(endpoint string) string {
	if endpoint == simStore || endpoint == simInstances {
		return ""
	}
	return endpoint
}

// simDivisions is what separates the endpoints of the simulated network, and the daemons that stand still. simPlatform.mu guards it.
type simDivisions struct {
	splits map[*simSplit]bool
	// pausedUntil is when each paused daemon goes on.
	pausedUntil map[string]time.Time
	// disturbedUntil is the end of the last disruption of each daemon.
	disturbedUntil map[string]time.Time
	// longRuns makes some runs outlast the longest lease.
	longRuns bool
	// callsPerLoss is how many calls between daemons there are for one that is lost.
	callsPerLoss int
}

func newSimDivisions() simDivisions {
	return simDivisions{splits: map[*simSplit]bool{}, pausedUntil: map[string]time.Time{}, disturbedUntil: map[string]time.Time{}, callsPerLoss: simCallsPerLoss}
}

// simSplit holds back messages from some endpoints to some others.
type simSplit struct {
	blocks func(from, to string) bool
}

// blocked reports whether a split holds back messages from an endpoint to another. The caller must hold mu.
func (p *simPlatform) blocked(from, to string) bool {
	for s := range p.splits {
		if s.blocks(from, to) {
			return true
		}
	}
	return false
}

// executeLate lets some of the requests that a split holds back be executed later, if it has ended by then: a request that gets through a split
// would show a new owner's token to the workers of the former one. The caller must hold mu.
func (p *simPlatform) executeLate(from, to string, exec func()) {
	if p.rnd.IntN(requestsPerDelay) != 0 {
		return
	}
	time.AfterFunc(time.Duration(p.rnd.IntN(int(longestDelay))), func() {
		p.mu.Lock()
		blocked := p.blocked(from, to)
		p.mu.Unlock()
		if !blocked {
			exec()
		}
	})
}

// awaitResume returns when a daemon isn't paused.
func (p *simPlatform) awaitResume(daemon string) {
	for {
		p.mu.Lock()
		rest := time.Until(p.pausedUntil[daemon])
		p.mu.Unlock()
		if rest <= 0 {
			return
		}
		time.Sleep(rest)
	}
}

// restartWorker ends a worker with all that it runs and knows, and starts it again under the same id, which it returns. A worker that drains or is
// down stays as it is.
func (p *simPlatform) restartWorker(in *simInstance, down time.Duration) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := in.worker
	if old == nil || old.info.Draining || time.Now().Before(old.born) {
		return ""
	}
	p.expireLease(old)
	for task, run := range old.running {
		p.tasks[task].runningOn = nil
		p.tasks[task].note(p, "run %d ends with the restart of %s", run, old.info.ID)
	}
	for _, e := range old.ended {
		e.void = e.void || e.Seq > old.ackedUpTo // Nobody can take note of it any more.
	}
	old.gone = true
	w := p.newWorker(old.info, time.Now().Add(down))
	w.former, w.registeredAt = old.listedInfo(), w.born.Add(time.Duration(p.rnd.IntN(int(longestRegistration))))
	w.silentUntil, w.restarts = w.born, old.restarts+1
	p.workers[w.info.ID], in.worker = w, w
	return w.info.ID
}

// simTransport carries the calls of one daemon to the others, as far as no split holds them back.
type simTransport struct {
	*splitSimulation
	access *simAccess
	base   http.RoundTripper
}

type exchange struct {
	resp *http.Response
	err  error
}

// RoundTrip implements http.RoundTripper.
func (t *simTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	from := t.access.daemon
	t.awaitResume(from)
	defer t.awaitResume(from)
	ctx := req.Context()
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return nil, err
	}
	// The other daemon doesn't learn whether this one still waits for the answer.
	send := func() exchange { return t.send(req.Clone(context.WithoutCancel(ctx)), body) }
	t.mu.Lock()
	to := t.names[req.URL.Host]
	ended, blocked, connecting := t.access.ended, t.blocked(from, to), t.rnd.IntN(2) == 0
	if blocked && !ended && !connecting {
		t.executeLate(from, to, func() { send() })
	}
	t.mu.Unlock()
	switch {
	case ended:
		<-ctx.Done()
		return nil, ctx.Err()
	case blocked && connecting:
		return nil, failedDial(ctx)
	case blocked:
		<-ctx.Done()
		return nil, ctx.Err()
	}
	done := make(chan exchange, 1)
	go func() { done <- send() }()
	select {
	case x := <-done:
		return t.answer(ctx, to, x)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// failedDial waits until a dial that gets no answer has failed.
func failedDial(ctx context.Context) error {
	timer := time.NewTimer(dialTimeout)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
	return &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}
}

// answer passes an answer on, unless a split holds it back.
func (t *simTransport) answer(ctx context.Context, from string, x exchange) (*http.Response, error) {
	t.mu.Lock()
	lost := t.access.ended || t.blocked(from, t.access.daemon)
	t.mu.Unlock()
	if lost {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return x.resp, x.err
}

// send sends a request and reads the whole answer.
func (t *simTransport) send(req *http.Request, body []byte) exchange {
	ctx, cancel := context.WithTimeout(req.Context(), time.Minute)
	defer cancel()
	req = req.WithContext(ctx)
	req.Body = io.NopCloser(bytes.NewReader(body))
	resp, err := t.base.RoundTrip(req)
	if err != nil {
		return exchange{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	resp.Body = io.NopCloser(bytes.NewReader(data))
	return exchange{resp: resp, err: err}
}

// CloseIdleConnections closes the connections that are not in use.
func (t *simTransport) CloseIdleConnections() {
	t.base.(*http.Transport).CloseIdleConnections()
}
