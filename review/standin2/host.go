package main

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"samphirepoint/network"
)

// outage says what becomes of connections to a worker that is down.
type outage uint8

const (
	up outage = iota
	// refusing: connections are reset.
	refusing
	// dark: connections that were open stay silent for good. Calls on connections that are opened meanwhile are held up, and are carried out when
	// the worker is back, in the order in which they were sent: a call without an answer may be carried out seconds later.
	dark
)

// host is the address of a worker. world.mu protects the fields below conns.
type host struct {
	world   *world
	id      string
	service string
	rack    string
	address string
	conns   map[net.Conn]bool // true for those that were open when the worker went dark
	worker  *worker
	outage  outage
	seq     int
	lives   int
	beatAt  time.Time // the last heartbeat
	heldUp  []func(w *worker)
	// lateUntil is the end of the time in which half of the orders get no answer and are carried out late.
	lateUntil time.Time
}

type connKey struct{}

func (x *world) newHost(id, service, rack string) (*host, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	h := &host{world: x, id: id, service: service, rack: rack, address: l.Addr().String(), conns: map[net.Conn]bool{}}
	s := &http.Server{
		Handler: h, ConnState: h.track,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
	}
	go func() { _ = s.Serve(l) }()
	return h, nil
}

func (h *host) track(c net.Conn, state http.ConnState) {
	h.world.mu.Lock()
	defer h.world.mu.Unlock()
	switch state {
	case http.StateNew:
		h.conns[c] = false
		if h.outage == refusing {
			network.Reset(c)
		}
	case http.StateClosed, http.StateHijacked:
		delete(h.conns, c)
	}
}

// begin begins a life of the worker under the host's id. The caller must hold world.mu.
func (h *host) begin() {
	h.lives++
	h.worker = &worker{world: h.world, id: h.id, life: h.lives, born: time.Now(), running: map[string]*run{}, lastRun: map[string]int64{}}
	h.world.workers = append(h.world.workers, h.worker)
	h.outage = up
	for c, former := range h.conns {
		if former {
			network.Reset(c)
		}
	}
	h.world.record.note("%s is up", h.id)
	h.publish()
	for _, carryOut := range h.heldUp {
		carryOut(h.worker)
	}
	h.heldUp = nil
}

// publish writes the worker's entry. The caller must hold world.mu.
func (h *host) publish() {
	h.seq++
	h.beatAt = time.Now()
	_ = h.world.store.put("servers", h.id, map[string]any{
		"service": h.service, "address": h.address, "zone": "z1", "version": "1", "slots": 8, "state": "ready", "cold_left_ms": 0, "seq": h.seq,
		"labels": []string{"a", h.rack}, "born": h.worker.born.UnixMilli(), "room": map[string]int{"cpu": workerCPU, "mem_mb": workerMem, "gpu": 0},
	})
}

// crash ends the worker's life; the next one begins under the same id after the given time.
func (h *host) crash(o outage, length time.Duration) {
	h.world.mu.Lock()
	defer h.world.mu.Unlock()
	h.worker.crash()
	h.outage = o
	for c := range h.conns {
		h.conns[c] = true
		if o == refusing {
			network.Reset(c)
		}
	}
	time.AfterFunc(length, func() {
		h.world.mu.Lock()
		defer h.world.mu.Unlock()
		h.begin()
	})
}

const (
	heartbeat = 1500 * time.Millisecond
	// silence is the time without a heartbeat after which the platform counts a worker as gone.
	silence = 3 * heartbeat
)

// isSilent reports whether the platform counts the worker as gone. The caller must hold world.mu.
func (h *host) isSilent() bool { return h.outage != up && time.Since(h.beatAt) >= silence }

// beat writes the worker's entry every heartbeat interval. The platform removes it after three intervals of silence.
func (h *host) beat() {
	for next := time.Now().Add(time.Duration(rand.Int64N(int64(heartbeat)))); ; {
		time.Sleep(100 * time.Millisecond)
		h.world.mu.Lock()
		switch {
		case h.outage == up && time.Now().After(next):
			h.publish()
			next = time.Now().Add(heartbeat)
		case h.isSilent():
			h.world.store.remove("servers", h.id)
		}
		h.world.mu.Unlock()
	}
}

// ServeHTTP answers a call to the worker.
func (h *host) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	c := call{sent: time.Now()}
	if r.URL.Path == healthPath {
		h.health(rw, r)
		return
	}
	if json.Unmarshal(data, &c) != nil {
		writeJSON(rw, http.StatusBadRequest, map[string]any{})
		return
	}
	if r.Header.Get("Expect-Instance") != h.id {
		writeJSON(rw, http.StatusMisdirectedRequest, map[string]any{})
		return
	}
	h.world.mu.Lock()
	conn, _ := r.Context().Value(connKey{}).(net.Conn)
	receiver, lost, held, late := h.worker, h.conns[conn], h.outage == dark, time.Duration(0)
	if !held && time.Now().Before(h.lateUntil) && r.URL.Path != "/api/hold" && rand.IntN(2) == 0 {
		late = 2*time.Second + time.Duration(rand.IntN(10_000))*time.Millisecond
	}
	h.world.mu.Unlock()
	c.life = receiver.life
	if lost {
		abandon(r)
	}
	if c.held = held || late > 0; c.held {
		h.world.record.note("%s leaves %s %s run %d, token %d, without an answer", h.id, r.URL.Path, c.Task, c.Run, c.FenceToken)
		c.WaitMS = 0
		path := r.URL.Path
		time.AfterFunc(late, func() { h.carryOutLate(path, c) })
		abandon(r)
	}
	status, body, ok := h.carryOut(receiver, r.URL.Path, c)
	for end := time.Now().Add(time.Duration(c.WaitMS) * time.Millisecond); c.WaitMS > 0 && status == http.StatusOK && len(body["ended"].([][]any)) == 0 && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
		c.DeadlineMS = 0
		status, body, ok = h.carryOut(receiver, r.URL.Path, c)
	}
	if !ok {
		abandon(r)
	}
	writeJSON(rw, status, body)
}

// health answers whether the worker is healthy, which it is while it is up.
func (h *host) health(rw http.ResponseWriter, r *http.Request) {
	h.world.mu.Lock()
	isUp := h.outage == up
	h.world.mu.Unlock()
	if !isUp {
		abandon(r)
	}
	rw.WriteHeader(http.StatusOK)
}

// abandon leaves a call without an answer.
func abandon(r *http.Request) {
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// carryOut carries out a call. It reports false, without an answer, if the life of the worker that has received the call has ended.
func (h *host) carryOut(w *worker, path string, c call) (status int, body map[string]any, ok bool) {
	h.world.mu.Lock()
	defer h.world.mu.Unlock()
	if h.outage != up || h.worker != w {
		return 0, nil, false
	}
	status, body = w.carryOut(path, c)
	return status, body, true
}

// carryOutLate carries out a call without an answer, now or when the worker is back.
func (h *host) carryOutLate(path string, c call) {
	h.world.mu.Lock()
	defer h.world.mu.Unlock()
	if h.outage == up {
		h.worker.carryOut(path, c)
		return
	}
	h.heldUp = append(h.heldUp, func(w *worker) { w.carryOut(path, c) })
}
