// Package workerd provides a stand-in for a backend server ("worker") with the worker API of the design document: slots,
// connections, tasks under leases, drains and reboots. It simulates the failures that samphirepoint must tolerate, and
// keeps a journal of all work it started, from which package checker checks the properties.
package workerd

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"

	"samphirepoint/network"
	"samphirepoint/request"
	"samphirepoint/services"
	"samphirepoint/standin"
	"samphirepoint/verdict"
)

const (
	// DefaultSlots and DefaultConnections are those of the fleet's workers (design document, section 1.3).
	DefaultSlots       = 8
	DefaultConnections = 64
	// defaultDowntime is the default downtime of a reboot. It is short, so that experiments last seconds.
	defaultDowntime = 2 * time.Second
	// relistenInterval is the interval between attempts to listen on the port again after a reboot.
	relistenInterval = 50 * time.Millisecond
)

// Options configures a worker. ID is required.
type Options struct {
	ID, Zone, Region, Rack string
	// Slots and Connections default to DefaultSlots and DefaultConnections.
	Slots, Connections int
	// Platform is the base URL of the platform to register with; empty means none.
	Platform string
	// Advertise is the address to register, if it differs from the listen address.
	Advertise string
	// Seed makes the choice of affected requests reproducible.
	Seed uint64
	// Network carries all connections; nil means that of the host.
	Network network.Network
}

// Server is a stand-in worker. It is safe for concurrent use.
type Server struct {
	options Options
	mux     *http.ServeMux
	journal journal
	wake    chan struct{}

	mu               sync.Mutex
	incarnation      int64
	mode             Mode
	draining         bool
	offline          bool          // from a reboot until the worker listens again, or after Close
	changed          chan struct{} // closed and replaced on each change of mode
	running          map[string]*run
	tasks            map[string]*task
	previousResponse *response // for mode Swap
	truncations      int       // number of responses truncated so far
	usage            Usage
	random           *rand.Rand

	lifecycleMu      sync.Mutex
	listener         *standin.Listener
	address          string
	closed           chan struct{}
	stopRegistration context.CancelFunc
	background       sync.WaitGroup
}

// Running describes work that occupies a slot.
type Running struct {
	RequestID  string    `json:"requestId"`
	Attempt    string    `json:"attempt,omitempty"`
	Task       string    `json:"task,omitempty"`
	RunID      string    `json:"runId"`
	Backer     string    `json:"backer"`
	Queue      string    `json:"queue"`
	Pool       string    `json:"pool"`
	Kind       string    `json:"kind,omitempty"`
	Key        string    `json:"key,omitempty"`
	Idempotent bool      `json:"idempotent"`
	Started    time.Time `json:"started"`
}

// Usage is the number of occupied slots of a worker at a past time.
type Usage struct {
	Slots int       `json:"slots"`
	AsOf  time.Time `json:"asOf,omitzero"`
}

// Status is the response to GET /status.
type Status struct {
	ID string `json:"id"`
	// Incarnation is the start time of the worker in Unix milliseconds. It is higher after each reboot.
	Incarnation int64  `json:"incarnation"`
	Zone        string `json:"zone"`
	Region      string `json:"region,omitempty"`
	Rack        string `json:"rack"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	// Draining is set by POST /drain, Leaving also by the modes Leave and LeaveSilently.
	Draining bool      `json:"draining"`
	Leaving  bool      `json:"leaving"`
	Running  []Running `json:"running"`
	// Usage lags by up to one renewal of the registration (2 s).
	Usage Usage `json:"usage"`
}

// New returns a worker that does not listen yet; call Start.
func New(o Options) *Server {
	if o.Slots == 0 {
		o.Slots = DefaultSlots
	}
	if o.Connections == 0 {
		o.Connections = DefaultConnections
	}
	s := &Server{
		options: o,
		mux:     http.NewServeMux(),
		wake:    make(chan struct{}, 1),
		closed:  make(chan struct{}),
		mode:    Mode{Mode: Normal},

		incarnation: time.Now().UnixMilli(),
		changed:     make(chan struct{}),
		running:     map[string]*run{},
		tasks:       map[string]*task{},
		random:      rand.New(rand.NewPCG(o.Seed, 2)),
	}
	s.routes()
	return s
}

func (s *Server) network() network.Network { return network.OrDefault(s.options.Network) }

// Start listens on addr (IP:port, port 0 picks a free one) and registers with the platform.
func (s *Server) Start(addr string) error {
	ln, err := s.network().Listen(addr)
	if err != nil {
		return err
	}
	s.lifecycleMu.Lock()
	defer s.lifecycleMu.Unlock()
	s.address = ln.Addr().String()
	s.serve(ln)
	ctx, cancel := context.WithCancel(context.Background())
	s.stopRegistration = cancel
	s.background.Add(1)
	go func() {
		defer s.background.Done()
		s.keepRegistered(ctx)
	}()
	return nil
}

// Address returns IP:port.
func (s *Server) Address() string {
	s.lifecycleMu.Lock()
	defer s.lifecycleMu.Unlock()
	return s.address
}

// serve starts serving on ln; the caller holds lifecycleMu.
func (s *Server) serve(ln net.Listener) {
	s.listener = standin.Serve(&limitedListener{Listener: ln, limit: s.options.Connections}, s.mux)
}

// SetMode changes the failure mode.
func (s *Server) SetMode(m Mode) error {
	if err := m.validate(); err != nil {
		return err
	}
	s.mu.Lock()
	before := s.leavingLocked()
	s.mode = m
	close(s.changed)
	s.changed = make(chan struct{})
	s.journalLeaving(before)
	s.mu.Unlock()
	s.triggerRegistration()
	return nil
}

// Drain starts or ends a drain: new work is rejected as not run, work in flight continues.
func (s *Server) Drain(on bool) {
	s.mu.Lock()
	before := s.leavingLocked()
	s.draining = on
	s.journalLeaving(before)
	s.mu.Unlock()
	s.triggerRegistration()
}

func (s *Server) leavingLocked() bool { return s.draining || s.mode.leaving() }

func (s *Server) journalLeaving(before bool) {
	switch now := s.leavingLocked(); {
	case now && !before:
		s.journal.add(Event{Worker: s.options.ID, Kind: Leaving})
	case before && !now:
		s.journal.add(Event{Worker: s.options.ID, Kind: Available})
	}
}

// Journal returns the events with a sequence number above seq.
func (s *Server) Journal(seq int) []Event { return s.journal.after(seq) }

// Status returns the state of the worker.
func (s *Server) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.options
	st := Status{ID: o.ID, Incarnation: s.incarnation, Zone: o.Zone, Region: o.Region, Rack: o.Rack, Slots: o.Slots, Connections: o.Connections,
		Draining: s.draining, Leaving: s.leavingLocked(), Running: []Running{}, Usage: s.usage}
	for _, r := range s.running {
		st.Running = append(st.Running, r.describe())
	}
	sort.Slice(st.Running, func(i, j int) bool { return st.Running[i].RunID < st.Running[j].RunID })
	return st
}

func (s *Server) routes() {
	s.mux.HandleFunc("POST /run", s.handleRun)
	s.mux.HandleFunc("POST /stop/{id}", s.handleStop)
	s.mux.HandleFunc("PUT /tasks/{id}", s.handleTaskStart)
	s.mux.HandleFunc("GET /tasks/{id}", s.handleTask)
	s.mux.HandleFunc("POST /tasks/{id}/{action}", s.handleTaskAction)
	s.mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		standin.WriteJSON(w, http.StatusOK, s.Status())
	})
	s.mux.HandleFunc("GET /journal", s.handleJournal)
	s.mux.HandleFunc("PUT /mode", s.handleMode)
	s.mux.HandleFunc("POST /drain", s.addressed(func(w http.ResponseWriter, _ *http.Request) { s.Drain(true); w.WriteHeader(http.StatusNoContent) }))
	s.mux.HandleFunc("POST /undrain", s.addressed(func(w http.ResponseWriter, _ *http.Request) { s.Drain(false); w.WriteHeader(http.StatusNoContent) }))
	s.mux.HandleFunc("POST /reboot", s.addressed(s.handleReboot))
}

// addressed rejects the orders that are meant for another worker, or for another incarnation of this one.
func (s *Server) addressed(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		incarnation := strconv.FormatInt(s.incarnation, 10)
		s.mu.Unlock()
		if !names(r, request.HeaderWorker, s.options.ID) || !names(r, request.HeaderIncarnation, incarnation) {
			http.Error(w, "meant for another worker or incarnation", http.StatusConflict)
			return
		}
		h(w, r)
	}
}

// names reports whether a header of the request has the value, or is missing.
func names(r *http.Request, header, value string) bool {
	given := r.Header.Get(header)
	return given == "" || given == value
}

func (s *Server) handleJournal(w http.ResponseWriter, r *http.Request) {
	after, err := parseAfter(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	standin.WriteJSON(w, http.StatusOK, s.Journal(after))
}

func (s *Server) handleMode(w http.ResponseWriter, r *http.Request) {
	var m Mode
	if !standin.ReadJSON(w, r, &m) {
		return
	}
	if err := s.SetMode(m); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// refuse rejects work as not run. A worker that is offline closes the connection instead.
func (s *Server) refuse(w http.ResponseWriter, r *http.Request, taskID string, rejected refusal) {
	if rejected.noAnswer {
		panic(http.ErrAbortHandler)
	}
	e := eventOf(s.options.ID, Refused, r)
	e.Task, e.Reason = taskID, rejected.reason
	s.journal.add(e)
	h := w.Header()
	h.Set(request.HeaderVerdict, verdict.NotRun.String())
	h.Set(request.HeaderRequestID, r.Header.Get(request.HeaderRequestID))
	h.Set(request.HeaderAttempt, r.Header.Get(request.HeaderAttempt))
	h.Set(request.HeaderWorker, s.options.ID)
	if rejected.leaving {
		h.Set(request.HeaderLeaving, "true")
	}
	http.Error(w, rejected.reason, rejected.status)
}

type refusal struct {
	status   int
	reason   string
	leaving  bool
	noAnswer bool
}

// admit returns the reason for rejecting new work, or nil if it is admitted. The caller holds mu.
func (s *Server) admit(r *http.Request) *refusal {
	intended := r.Header.Get(request.HeaderWorker)
	switch {
	case s.offline:
		return &refusal{noAnswer: true}
	case intended != "" && intended != s.options.ID:
		return &refusal{status: http.StatusServiceUnavailable, reason: "meant for worker " + intended}
	case s.mode.Mode == Leave || s.draining:
		return &refusal{status: http.StatusServiceUnavailable, reason: "leaving", leaving: true}
	case s.mode.Mode == Refuse:
		return &refusal{status: http.StatusServiceUnavailable, reason: "refusing"}
	case len(s.running) >= s.options.Slots:
		return &refusal{status: http.StatusTooManyRequests, reason: "full"}
	}
	return nil
}

// modeApplies reports whether mode m is set and affects the next request. The caller holds mu.
func (s *Server) modeApplies(m ModeName) bool {
	return s.mode.Mode == m && (s.mode.Probability == 0 || s.random.Float64() < s.mode.Probability)
}

func eventOf(worker string, kind Kind, r *http.Request) Event {
	h := r.Header
	return Event{
		Worker: worker, Kind: kind,
		RequestID: h.Get(request.HeaderRequestID), Attempt: h.Get(request.HeaderAttempt),
		Key: h.Get(request.HeaderIdempotencyKey), Idempotent: h.Get(request.HeaderIdempotent) != "false",
		Backer: h.Get(request.HeaderBacker), Queue: h.Get(request.HeaderQueue),
		Pool: h.Get(request.HeaderPool), Work: h.Get(request.HeaderKind),
	}
}

func (s *Server) triggerRegistration() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *Server) registrationRecord() services.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.usage = Usage{Slots: len(s.running), AsOf: time.Now()}
	state := services.StateLive
	if s.leavingLocked() {
		state = services.StateLeaving
	}
	o := s.options
	address := o.Advertise
	if address == "" {
		address = s.address // set before the registration starts
	}
	return services.Instance{ID: o.ID, Kind: services.KindWorker, Address: address, Zone: o.Zone, Region: o.Region,
		Rack: o.Rack, State: state, Slots: o.Slots}
}

// String identifies the worker in messages.
func (s *Server) String() string { return fmt.Sprintf("worker %s", s.options.ID) }
