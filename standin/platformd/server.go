// Package platformd is a stand-in of the platform: a transactional table, an object store and a lagging list
// of instances behind the HTTP protocol of package platform, with faults that experiments switch on. All state
// is in memory.
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

// maxObjectBytes bounds one object; results of jobs stay below 8 MB.
const maxObjectBytes = 16 << 20

// Counters is the answer of GET /counters; all values count from the start.
type Counters struct {
	Reads         int64 `json:"reads"` // calls of get and list
	ReadRows      int64 `json:"readRows"`
	Writes        int64 `json:"writes"` // committed transactions
	WriteRows     int64 `json:"writeRows"`
	Conflicts     int64 `json:"conflicts"`
	ObjectReads   int64 `json:"objectReads"`
	ObjectWrites  int64 `json:"objectWrites"`
	InstanceReads int64 `json:"instanceReads"`
	Registrations int64 `json:"registrations"`
	Refused       int64 `json:"refused"` // calls answered 503 while down
	LostReplies   int64 `json:"lostReplies"`
}

// Options of a platform.
type Options struct {
	// ListLag is the initial age of the instance list.
	ListLag time.Duration
	// Seed makes the choice of lost replies repeatable.
	Seed uint64
	// OnChange, if set, is called for each committed row, in order and under the table's lock.
	OnChange func(Change)
	// Network is where Start listens; nil is that of the machine.
	Network network.Network
}

// Server is the platform. It is safe for concurrent use.
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
	// reads and writes hold the times until which the capacity of each service is used up.
	reads, writes map[*Fault]time.Time
}

// New returns an empty platform without faults.
func New(o Options) *Server {
	s := &Server{
		mux:       http.NewServeMux(),
		onChange:  o.OnChange,
		network:   o.Network,
		table:     store{cells: map[string]cell{}},
		objects:   map[string][]byte{},
		instances: instanceList{registrations: map[string]*registration{}},
		faults:    Faults{ListLag: standin.Duration(o.ListLag)},
		random:    rand.New(rand.NewPCG(o.Seed, 1)),
		reads:     map[*Fault]time.Time{},
		writes:    map[*Fault]time.Time{},
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

// Counters returns the use of the platform since the start.
func (s *Server) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counters
}

// Row reads a row past all faults and counters.
func (s *Server) Row(key string) services.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.get(key)
}

// Rows lists rows past all faults and counters.
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
	tag    string
}

// parse reads the call; it answers 400 itself and returns nil if the call is malformed.
type parse func(w http.ResponseWriter, r *http.Request) effect

func (s *Server) read(f faultOf, p parse) http.HandlerFunc  { return s.call(f, p, false) }
func (s *Server) write(f faultOf, p parse) http.HandlerFunc { return s.call(f, p, true) }

// call applies the faults around an effect. A call whose client went away takes effect all the same, as one does in a
// slow store.
func (s *Server) call(f faultOf, p parse, writes bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		do := p(w, r)
		if do == nil {
			return
		}
		s.mu.Lock()
		delay := f(&s.faults).Delay.D()
		s.mu.Unlock()
		time.Sleep(delay / 2)
		answer, lost, turn := s.run(f, do, writes)
		time.Sleep(turn + delay/2)
		if lost {
			panic(http.ErrAbortHandler) // closes the connection without an answer
		}
		answer.send(w)
	}
}

func (a reply) send(w http.ResponseWriter) {
	if a.tag != "" {
		w.Header().Set("ETag", a.tag)
		w.Header().Set("Content-Type", "application/json")
	}
	switch {
	case a.json != nil:
		standin.WriteJSON(w, a.status, a.json)
	default:
		w.WriteHeader(a.status)
		_, _ = w.Write(a.raw) // the client sees a short body by its Content-Length
	}
}

func (s *Server) getRow(_ http.ResponseWriter, r *http.Request) effect {
	key := r.PathValue("key")
	return func() reply {
		s.counters.Reads++
		s.counters.ReadRows++
		return reply{status: http.StatusOK, json: s.table.get(key)}
	}
}

func (s *Server) listRows(w http.ResponseWriter, r *http.Request) effect {
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

func (s *Server) commit(w http.ResponseWriter, r *http.Request) effect {
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
		s.note(q.Writes)
		return reply{status: http.StatusOK, json: services.CommitReply{Versions: versions}, rows: len(q.Writes)}
	}
}

// note counts the written rows and reports them to the observer.
func (s *Server) note(writes []services.Write) {
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

func (s *Server) getObject(_ http.ResponseWriter, r *http.Request) effect {
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

func (s *Server) putObject(w http.ResponseWriter, r *http.Request) effect {
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

// listInstances answers 304 without a body if the list is the one that the client names by its entity tag.
func (s *Server) listInstances(_ http.ResponseWriter, r *http.Request) effect {
	known := r.Header.Get("If-None-Match")
	return func() reply {
		s.counters.InstanceReads++
		data, err := json.Marshal(s.instances.view(time.Now(), s.faults.ListLag.D()))
		if err != nil {
			return reply{status: http.StatusInternalServerError, raw: []byte(err.Error())}
		}
		tag := fmt.Sprintf("%q", strconv.FormatUint(xxhash.Sum64(data), 16))
		if tag == known {
			return reply{status: http.StatusNotModified, tag: tag}
		}
		return reply{status: http.StatusOK, raw: data, tag: tag}
	}
}

func (s *Server) putInstance(w http.ResponseWriter, r *http.Request) effect {
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
		http.Error(w, "id of the path and kind worker or entry expected", http.StatusBadRequest)
		return nil
	}
	return func() reply {
		s.counters.Registrations++
		s.instances.put(time.Now(), in)
		return reply{status: http.StatusNoContent}
	}
}

func (s *Server) deleteInstance(_ http.ResponseWriter, r *http.Request) effect {
	id := r.PathValue("id")
	return func() reply {
		s.instances.remove(time.Now(), id)
		return reply{status: http.StatusNoContent}
	}
}
