// Package workerd is a stand-in of a backend server ("worker") with the worker API of the design page: slots,
// connections, tasks under leases, drains and reboots. It can misbehave in the ways that package samphirepoint
// must withstand, and it keeps a journal of all work it started, from which package checker judges the properties.
package workerd

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"sync"
	"time"

	"samphirepoint/network"
	"samphirepoint/request"
	"samphirepoint/services"
	"samphirepoint/standin"
	"samphirepoint/verdict"
)

const (
	// DefaultSlots and DefaultConnections are those of the fleet's workers (design page, section 1.3).
	DefaultSlots       = 8
	DefaultConnections = 64
	// defaultDowntime of a reboot is short, so that experiments last seconds.
	defaultDowntime = 2 * time.Second
	// relistenInterval is the pause between attempts to take the port again after a reboot.
	relistenInterval = 50 * time.Millisecond
)

// Options of a worker. ID is required.
type Options struct {
	ID, Zone, Region, Rack string
	// Slots and Connections default to DefaultSlots and DefaultConnections.
	Slots, Connections int
	// Platform is the base URL of the platform to register with; empty means none.
	Platform string
	// Advertise is the address to register, if it differs from the one that the worker listens on.
	Advertise string
	// Seed makes the choice of affected requests repeatable.
	Seed uint64
	// Network carries all connections; nil is that of the machine.
	Network network.Network
}

// Server is a worker. It is safe for concurrent use.
type Server struct {
	options Options
	mux     *http.ServeMux
	journal journal
	kick    chan struct{}

	mu       sync.Mutex
	mode     Mode
	draining bool
	off      bool          // between a reboot or Close and the return
	changed  chan struct{} // closed at each change of mode
	running  map[string]*run
	tasks    map[string]*task
	previous *answer // for mode Swap
	cuts     int     // answers truncated so far
	usage    Usage
	random   *rand.Rand

	lifeMu   sync.Mutex
	listener *standin.Listener
	address  string
	closed   chan struct{}
	cancel   context.CancelFunc
	loops    sync.WaitGroup
}

// Running describes work that holds a slot.
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

// Usage is the use of a worker at a time before now.
type Usage struct {
	Slots int       `json:"slots"`
	AsOf  time.Time `json:"asOf,omitzero"`
}

// Status is the answer of GET /status.
type Status struct {
	ID          string `json:"id"`
	Zone        string `json:"zone"`
	Region      string `json:"region,omitempty"`
	Rack        string `json:"rack"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	// Draining is set by POST /drain, Leaving also by the leaving modes.
	Draining bool      `json:"draining"`
	Leaving  bool      `json:"leaving"`
	Running  []Running `json:"running"`
	// Usage lags by up to one renewal of the registration (2 s).
	Usage Usage `json:"usage"`
}

// New returns a worker that does not listen yet.
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
		kick:    make(chan struct{}, 1),
		closed:  make(chan struct{}),
		mode:    Mode{Mode: Normal},
		changed: make(chan struct{}),
		running: map[string]*run{},
		tasks:   map[string]*task{},
		random:  rand.New(rand.NewPCG(o.Seed, 2)),
	}
	s.routes()
	return s
}

func (s *Server) network() network.Network { return network.OrDefault(s.options.Network) }

// Start listens on addr (IP:port, port 0 picks one) and registers with the platform.
func (s *Server) Start(addr string) error {
	ln, err := s.network().Listen(addr)
	if err != nil {
		return err
	}
	s.lifeMu.Lock()
	defer s.lifeMu.Unlock()
	s.address = ln.Addr().String()
	s.serve(ln)
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.loops.Add(1)
	go func() {
		defer s.loops.Done()
		s.register(ctx)
	}()
	return nil
}

// Address returns IP:port.
func (s *Server) Address() string {
	s.lifeMu.Lock()
	defer s.lifeMu.Unlock()
	return s.address
}

// serve starts to serve; the caller holds lifeMu.
func (s *Server) serve(ln net.Listener) {
	s.listener = standin.Serve(&limitedListener{Listener: ln, limit: s.options.Connections}, s.mux)
}

// SetMode changes the behaviour.
func (s *Server) SetMode(m Mode) error {
	if err := m.validate(); err != nil {
		return err
	}
	s.mu.Lock()
	before := s.leavingLocked()
	s.mode = m
	close(s.changed)
	s.changed = make(chan struct{})
	s.noteLeaving(before)
	s.mu.Unlock()
	s.kickRegistration()
	return nil
}

// Drain starts or ends a drain: new work is refused as not run, work in flight continues.
func (s *Server) Drain(on bool) {
	s.mu.Lock()
	before := s.leavingLocked()
	s.draining = on
	s.noteLeaving(before)
	s.mu.Unlock()
	s.kickRegistration()
}

func (s *Server) leavingLocked() bool { return s.draining || s.mode.leaving() }

func (s *Server) noteLeaving(before bool) {
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
	st := Status{ID: o.ID, Zone: o.Zone, Region: o.Region, Rack: o.Rack, Slots: o.Slots, Connections: o.Connections,
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
	s.mux.HandleFunc("POST /drain", func(w http.ResponseWriter, _ *http.Request) { s.Drain(true); w.WriteHeader(http.StatusNoContent) })
	s.mux.HandleFunc("POST /undrain", func(w http.ResponseWriter, _ *http.Request) { s.Drain(false); w.WriteHeader(http.StatusNoContent) })
	s.mux.HandleFunc("POST /reboot", s.handleReboot)
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

// refuse answers work as not run. A worker that is off closes the connection instead.
func (s *Server) refuse(w http.ResponseWriter, r *http.Request, taskID string, why refusal) {
	if why.silent {
		panic(http.ErrAbortHandler)
	}
	e := eventOf(s.options.ID, Refused, r)
	e.Task, e.Reason = taskID, why.reason
	s.journal.add(e)
	h := w.Header()
	h.Set(request.HeaderVerdict, verdict.NotRun.String())
	h.Set(request.HeaderRequestID, r.Header.Get(request.HeaderRequestID))
	h.Set(request.HeaderAttempt, r.Header.Get(request.HeaderAttempt))
	h.Set(request.HeaderWorker, s.options.ID)
	if why.leaving {
		h.Set(request.HeaderLeaving, "true")
	}
	http.Error(w, why.reason, why.status)
}

type refusal struct {
	status  int
	reason  string
	leaving bool
	silent  bool
}

// admit reports why new work is refused, or nil. The caller holds mu.
func (s *Server) admit(r *http.Request) *refusal {
	meant := r.Header.Get(request.HeaderWorker)
	switch {
	case s.off:
		return &refusal{silent: true}
	case meant != "" && meant != s.options.ID:
		return &refusal{status: http.StatusServiceUnavailable, reason: "meant for worker " + meant}
	case s.mode.Mode == Leave || s.draining:
		return &refusal{status: http.StatusServiceUnavailable, reason: "leaving", leaving: true}
	case s.mode.Mode == Refuse:
		return &refusal{status: http.StatusServiceUnavailable, reason: "refusing"}
	case len(s.running) >= s.options.Slots:
		return &refusal{status: http.StatusTooManyRequests, reason: "full"}
	}
	return nil
}

// affected says whether the mode applies to the next request. The caller holds mu.
func (s *Server) affected(m ModeName) bool {
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

func (s *Server) kickRegistration() {
	select {
	case s.kick <- struct{}{}:
	default:
	}
}

func (s *Server) describe() services.Instance {
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
		address = s.address // fixed before the registration starts
	}
	return services.Instance{ID: o.ID, Kind: services.KindWorker, Address: address, Zone: o.Zone, Region: o.Region,
		Rack: o.Rack, State: state, Slots: o.Slots}
}

// String names the worker in messages.
func (s *Server) String() string { return fmt.Sprintf("worker %s", s.options.ID) }
