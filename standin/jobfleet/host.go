package jobfleet

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"samphirepoint/network"
)

// pollInterval is how often a call that waits looks whether it may go on.
const pollInterval = 5 * time.Millisecond

// maxCallBytes bounds the body of a call.
const maxCallBytes = 1 << 20

// outage says what becomes of connections to a host.
type outage uint8

const (
	// outageNone means that the host is up.
	outageNone outage = iota
	// outageReset means that connections are reset.
	outageReset
	// outageDark means that connections stay open and nothing is answered on them. Those opened meanwhile work once the host is up.
	outageDark
)

// host is the address of a worker. A call is executed by the incarnation that is there at that time, which need not be the one that was
// there when the call arrived.
type host struct {
	fleet   *Fleet
	address string
	server  *http.Server

	// The fleet's mutex guards what follows.
	worker *worker
	outage outage
	// conns holds the open connections, with true for those that were open when a dark outage began. No later incarnation gets anything
	// that is sent on them.
	conns map[net.Conn]bool
	// silentUntil is the end of the time in which calls are neither executed nor answered.
	silentUntil time.Time
	// late says which calls are executed late.
	late LateCalls
}

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// newHost starts a host without a worker.
func (f *Fleet) newHost() (*host, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	h := &host{fleet: f, address: l.Addr().String(), conns: map[net.Conn]bool{}}
	h.server = &http.Server{
		Handler: h, ConnState: h.track,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
	}
	f.hosts = append(f.hosts, h)
	go func() { _ = h.server.Serve(l) }() // It returns at Close.
	return h, nil
}

// track records the open connections, and resets new ones during an outage.
func (h *host) track(c net.Conn, state http.ConnState) {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	switch state {
	case http.StateNew:
		h.conns[c] = false
		if h.outage == outageReset {
			network.Reset(c)
		}
	case http.StateClosed, http.StateHijacked:
		delete(h.conns, c)
	}
}

// fail begins an outage. The caller must hold the fleet's mutex.
func (h *host) fail(o outage) {
	h.outage = o
	for c := range h.conns {
		if o == outageReset {
			network.Reset(c)
		}
		h.conns[c] = true
	}
}

// restore ends an outage. The caller must hold the fleet's mutex.
func (h *host) restore() {
	h.outage = outageNone
	for c, former := range h.conns {
		if former {
			network.Reset(c)
		}
	}
}

// isFormer reports whether a request came on a connection to a former incarnation.
func (h *host) isFormer(r *http.Request) bool {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	c, _ := r.Context().Value(connKey{}).(net.Conn)
	return h.conns[c]
}

// ServeHTTP implements http.Handler.
func (h *host) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxCallBytes))
	if err != nil {
		return
	}
	var c callRequest
	_ = json.Unmarshal(data, &c) // A call of the health path has no body.
	if h.isFormer(r) {
		abandon(r)
	}
	receiver, delay := h.receive()
	if delay > 0 {
		c.WaitMS = 0
		time.AfterFunc(delay, func() { h.execute(receiver, r.URL.Path, c) })
		abandon(r)
	}
	executor, status, body := h.execute(receiver, r.URL.Path, c)
	switch h.outageOf(executor) {
	case outageReset:
		panic(http.ErrAbortHandler)
	case outageDark:
		abandon(r)
	}
	writeJSON(rw, status, body)
}

// abandon ends a call without an answer, once its client has given it up.
func abandon(r *http.Request) {
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// receive returns the worker that is there when a call arrives, and how late the call is executed.
func (h *host) receive() (*worker, time.Duration) {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	if time.Now().After(h.late.until) || h.fleet.rnd.IntN(max(1, h.late.OneOf)) > 0 {
		return h.worker, 0
	}
	h.fleet.counts.LateCalls++
	return h.worker, h.fleet.between(h.late.Least, h.late.Most)
}

// execute executes a call, at the end of any silence or outage, and returns the worker that has executed it.
func (h *host) execute(receiver *worker, path string, c callRequest) (executor *worker, status int, body map[string]any) {
	for executor == nil {
		if executor = h.available(); executor == nil {
			time.Sleep(pollInterval)
		}
	}
	if c.former = executor != receiver; c.former {
		h.fleet.count(func(c *Counts) { c.CallsOfFormer++ })
	}
	status, body = executor.execute(path, c)
	return executor, status, body
}

// available returns the worker, or nil while calls are not executed.
func (h *host) available() *worker {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	if h.outage != outageNone || time.Now().Before(h.silentUntil) {
		return nil
	}
	return h.worker
}

// outageOf returns the outage that has ended a worker before it could answer.
func (h *host) outageOf(w *worker) outage {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	if h.outage == outageNone && h.worker != w {
		return outageReset
	}
	return h.outage
}
