// Package platformd provides a stand-in for the platform: a transactional table, an object store and an instance list
// with a lag, behind the HTTP protocol of package platform, with faults that experiments inject. All state is in memory.
package platformd

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"samphirepoint/network"
	"samphirepoint/services"
	"samphirepoint/standin"
)

// maxObjectBytes bounds the size of an object; job results stay below 8 MB.
const maxObjectBytes = 16 << 20

// Counters is the response to GET /counters; all values count since the start.
type Counters struct {
	Reads         int64 `json:"reads"` // get and list calls
	ReadRows      int64 `json:"readRows"`
	Writes        int64 `json:"writes"` // committed transactions
	WriteRows     int64 `json:"writeRows"`
	Conflicts     int64 `json:"conflicts"`
	ObjectReads   int64 `json:"objectReads"`
	ObjectWrites  int64 `json:"objectWrites"`
	InstanceReads int64 `json:"instanceReads"`
	Registrations int64 `json:"registrations"`
	Refused       int64 `json:"refused"` // calls rejected with 503 while down
	LostReplies   int64 `json:"lostReplies"`
}

// Options configures a platform.
type Options struct {
	// ListLag is the initial lag of the instance list.
	ListLag time.Duration
	// Seed makes the choice of lost replies reproducible.
	Seed uint64
	// OnChange, if set, is called for each committed row, in order and under the table's lock.
	OnChange func(Change)
	// Network is the network on which Start listens; nil means that of the host.
	Network network.Network
}

// Server is a stand-in platform. It is safe for concurrent use.
type Server struct {
	mux      *http.ServeMux
	onChange func(Change)
	network  network.Network

	mu        sync.Mutex
	table     store
	objects   map[string][]byte
	instances instanceList
	faults    Faults
	counters  Counters
	random    *rand.Rand
	// readsBusyUntil and writesBusyUntil hold the time until which the capacity of each service is used up.
	readsBusyUntil, writesBusyUntil map[*Fault]time.Time
}

// New returns an empty platform without faults.
func New(o Options) *Server {
	s := &Server{
		mux:             http.NewServeMux(),
		onChange:        o.OnChange,
		network:         o.Network,
		table:           store{cells: map[string]cell{}},
		objects:         map[string][]byte{},
		instances:       instanceList{registrations: map[string]*registration{}},
		faults:          Faults{ListLag: standin.Duration(o.ListLag)},
		random:          rand.New(rand.NewPCG(o.Seed, 1)),
		readsBusyUntil:  map[*Fault]time.Time{},
		writesBusyUntil: map[*Fault]time.Time{},
	}
	s.routes()
	return s
}

// Start serves the platform on addr.
func (s *Server) Start(addr string) (*standin.Listener, error) {
	return standin.ListenOn(network.OrDefault(s.network), addr, s)
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Counters returns the counters since the start.
func (s *Server) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counters
}

// Row reads a row, bypassing faults and counters.
func (s *Server) Row(key string) services.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.get(key)
}

// Rows lists rows, bypassing faults and counters.
func (s *Server) Rows(prefix string) []services.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.list(services.ListRequest{Prefix: prefix})
}

func (s *Server) routes() {
	tableFault := func(f *Faults) *Fault { return &f.Table }
	objectFault := func(f *Faults) *Fault { return &f.Objects }
	instanceFault := func(f *Faults) *Fault { return &f.Instances }
	s.mux.HandleFunc("GET /table/rows/{key}", s.read(tableFault, s.getRow))
	s.mux.HandleFunc("POST /table/list", s.read(tableFault, s.listRows))
	s.mux.HandleFunc("POST /table/commit", s.write(tableFault, s.commit))
	s.mux.HandleFunc("GET /objects/{key}", s.read(objectFault, s.getObject))
	s.mux.HandleFunc("PUT /objects/{key}", s.write(objectFault, s.putObject))
	s.mux.HandleFunc("GET /instances", s.read(instanceFault, s.listInstances))
	s.mux.HandleFunc("PUT /instances/{id}", s.write(instanceFault, s.putInstance))
	s.mux.HandleFunc("DELETE /instances/{id}", s.write(instanceFault, s.deleteInstance))
	s.mux.HandleFunc("GET /counters", func(w http.ResponseWriter, _ *http.Request) {
		standin.WriteJSON(w, http.StatusOK, s.Counters())
	})
	s.mux.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) {
		standin.WriteJSON(w, http.StatusOK, s.Faults())
	})
	s.mux.HandleFunc("PUT /faults", func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if standin.ReadJSON(w, r, &f) {
			s.SetFaults(f)
			w.WriteHeader(http.StatusNoContent)
		}
	})
}

type reply struct {
	status int
	json   any
	raw    []byte
	rows   int // read or written; 0 counts as 1
	etag   string
}

// parse decodes a call; it responds with 400 and returns nil if the call is malformed.
type parse func(w http.ResponseWriter, r *http.Request) operation

func (s *Server) read(f faultSelector, p parse) http.HandlerFunc  { return s.handle(f, p, false) }
func (s *Server) write(f faultSelector, p parse) http.HandlerFunc { return s.handle(f, p, true) }

// handle executes a call with the injected faults. A call takes effect even if its client has disconnected, as in a slow
// store.
func (s *Server) handle(f faultSelector, p parse, writes bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		do := p(w, r)
		if do == nil {
			return
		}
		s.mu.Lock()
		delay := f(&s.faults).Delay.Std()
		s.mu.Unlock()
		time.Sleep(delay / 2)
		result, lost, queueDelay := s.apply(f, do, writes)
		time.Sleep(queueDelay + delay/2)
		if lost {
			panic(http.ErrAbortHandler) // closes the connection without a reply
		}
		result.send(w)
	}
}

func (a reply) send(w http.ResponseWriter) {
	if a.etag != "" {
		w.Header().Set("ETag", a.etag)
		w.Header().Set("Content-Type", "application/json")
	}
	switch {
	case a.json != nil:
		standin.WriteJSON(w, a.status, a.json)
	default:
		w.WriteHeader(a.status)
		_, _ = w.Write(a.raw) // the client detects a short body by its Content-Length
	}
}

func (s *Server) getRow(_ http.ResponseWriter, r *http.Request) operation {
	key := r.PathValue("key")
	return func() reply {
		s.counters.Reads++
		s.counters.ReadRows++
		return reply{status: http.StatusOK, json: s.table.get(key)}
	}
}

func (s *Server) listRows(w http.ResponseWriter, r *http.Request) operation {
	var q services.ListRequest
	if !standin.ReadJSON(w, r, &q) {
		return nil
	}
	return func() reply {
		rows := s.table.list(q)
		s.counters.Reads++
		s.counters.ReadRows += int64(len(rows))
		return reply{status: http.StatusOK, json: rows, rows: len(rows)}
	}
}

func (s *Server) commit(w http.ResponseWriter, r *http.Request) operation {
	var q services.CommitRequest
	if !standin.ReadJSON(w, r, &q) {
		return nil
	}
	if err := validate(q.Writes); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return nil
	}
	return func() reply {
		versions, err := s.table.commit(q.Writes)
		if err != nil {
			s.counters.Conflicts++
			return reply{status: http.StatusConflict, raw: []byte(err.Error())}
		}
		s.counters.Writes++
		s.recordChanges(q.Writes)
		return reply{status: http.StatusOK, json: services.CommitReply{Versions: versions}, rows: len(q.Writes)}
	}
}

// recordChanges counts the written rows and reports them to the OnChange callback.
func (s *Server) recordChanges(writes []services.Write) {
	now := time.Now()
	for _, w := range writes {
		if w.Check {
			continue
		}
		s.counters.WriteRows++
		if s.onChange != nil {
			s.onChange(Change{Time: now, Row: s.table.get(w.Key)})
		}
	}
}

func (s *Server) getObject(_ http.ResponseWriter, r *http.Request) operation {
	key := r.PathValue("key")
	return func() reply {
		s.counters.ObjectReads++
		data, ok := s.objects[key]
		if !ok {
			return reply{status: http.StatusNotFound}
		}
		return reply{status: http.StatusOK, raw: data}
	}
}

func (s *Server) putObject(w http.ResponseWriter, r *http.Request) operation {
	key := r.PathValue("key")
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxObjectBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return nil
	}
	return func() reply {
		s.counters.ObjectWrites++
		s.objects[key] = data
		return reply{status: http.StatusNoContent}
	}
}

// listInstances responds with 304 and no body if the client's entity tag matches the current list.
func (s *Server) listInstances(_ http.ResponseWriter, r *http.Request) operation {
	clientTag := r.Header.Get("If-None-Match")
	return func() reply {
		s.counters.InstanceReads++
		data, err := json.Marshal(s.instances.view(time.Now(), s.faults.ListLag.Std()))
		if err != nil {
			return reply{status: http.StatusInternalServerError, raw: []byte(err.Error())}
		}
		tag := fmt.Sprintf("%q", strconv.FormatUint(xxhash.Sum64(data), 16))
		if tag == clientTag {
			return reply{status: http.StatusNotModified, etag: tag}
		}
		return reply{status: http.StatusOK, raw: data, etag: tag}
	}
}

func (s *Server) putInstance(w http.ResponseWriter, r *http.Request) operation {
	var in services.Instance
	if !standin.ReadJSON(w, r, &in) {
		return nil
	}
	if in.ID == "" {
		in.ID = r.PathValue("id")
	}
	if in.State == "" {
		in.State = services.StateLive
	}
	if in.ID != r.PathValue("id") || (in.Kind != services.KindWorker && in.Kind != services.KindEntry) {
		http.Error(w, "instance id must match the path, and kind must be worker or entry", http.StatusBadRequest)
		return nil
	}
	return func() reply {
		s.counters.Registrations++
		s.instances.put(time.Now(), in)
		return reply{status: http.StatusNoContent}
	}
}

func (s *Server) deleteInstance(_ http.ResponseWriter, r *http.Request) operation {
	id := r.PathValue("id")
	return func() reply {
		s.instances.remove(time.Now(), id)
		return reply{status: http.StatusNoContent}
	}
}
