package main

import (
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// rowKey names a row of the store.
type rowKey struct{ Table, Part, Key string }

// row is a row as the store sends it.
type row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Ver       int64  `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

func (r row) id() rowKey { return rowKey{r.Table, r.Part, r.Key} }

// store is the platform's metadata store of PROTOCOL.md: transactions with conditions, reads of a part, and a feed.
type store struct {
	mu      sync.Mutex
	began   time.Time
	ver     int64
	rows    map[rowKey]row
	history []row
	changed chan struct{}
}

const (
	txTime       = 4 * time.Millisecond
	pageRows     = 500
	maxRowBytes  = 64 << 10
	maxTxEntries = 100
)

func newStore() *store {
	return &store{began: time.Now(), rows: map[rowKey]row{}, changed: make(chan struct{})}
}

// put writes a row, as the operator and the workers do.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{Table: table, Key: key, Value: data}}, nil)
}

// apply applies a transaction. The caller must hold mu.
func (s *store) apply(writes, remove []row) {
	s.ver++
	for _, w := range writes {
		w.Ver = s.ver
		s.rows[w.id()] = w
		s.history = append(s.history, w)
	}
	for _, r := range remove {
		if _, ok := s.rows[r.id()]; !ok {
			continue
		}
		delete(s.rows, r.id())
		s.history = append(s.history, row{Table: r.Table, Part: r.Part, Key: r.Key, Ver: s.ver, Tombstone: true})
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/rows-tx", s.transact)
	mux.HandleFunc("GET /api/rows-get", s.read)
	mux.HandleFunc("GET /api/rows-feed", s.feed)
	return mux
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Expected, Writes, Remove []row
		Across                   bool
	}
	if json.NewDecoder(r.Body).Decode(&tx) != nil || len(tx.Expected)+len(tx.Writes)+len(tx.Remove) > maxTxEntries {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	for _, x := range tx.Writes {
		if len(x.Value) > maxRowBytes || x.Table == "op" || x.Table == "servers" {
			reply(w, http.StatusForbidden, map[string]any{})
			return
		}
	}
	time.Sleep(txTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	present := []row{}
	holds := true
	for _, e := range tx.Expected {
		now, ok := s.rows[e.id()]
		if !ok {
			now = row{Table: e.Table, Part: e.Part, Key: e.Key}
		}
		holds = holds && now.Ver == e.Ver
		present = append(present, now)
	}
	if !holds {
		reply(w, http.StatusPreconditionFailed, map[string]any{"rows": present, "ver": s.ver, "now_ms": s.now()})
		return
	}
	s.apply(tx.Writes, tx.Remove)
	reply(w, http.StatusOK, map[string]any{"ver": s.ver, "now_ms": s.now()})
}

func (s *store) now() int64 { return time.Since(s.began).Milliseconds() }

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	time.Sleep(txTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	list := []row{}
	for k, x := range s.rows {
		if k.Table == q.Get("table") && k.Part == q.Get("part") && k.Key >= q.Get("from") && (q.Get("to") == "" || k.Key < q.Get("to")) {
			list = append(list, x)
		}
	}
	slices.SortFunc(list, func(a, b row) int { return cmp.Compare(a.Key, b.Key) })
	more := len(list) > pageRows
	if more {
		list = list[:pageRows]
	}
	reply(w, http.StatusOK, map[string]any{"rows": list, "more_pages": more, "ver": s.ver, "now_ms": s.now()})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(wait)*time.Millisecond)
	defer cancel()
	for {
		s.mu.Lock()
		list, ver, changed := s.since(q.Get("table"), after), s.ver, s.changed
		s.mu.Unlock()
		if len(list) == 0 {
			select {
			case <-changed:
				continue
			case <-ctx.Done():
			}
		}
		reply(w, http.StatusOK, map[string]any{"rows": list, "ver": ver, "now_ms": s.now()})
		return
	}
}

// since returns the rows of a table that changed after a version. The caller must hold mu.
func (s *store) since(table string, after int64) []row {
	list := []row{}
	from, _ := slices.BinarySearchFunc(s.history, after+1, func(x row, ver int64) int { return cmp.Compare(x.Ver, ver) })
	for _, x := range s.history[from:] {
		if x.Table == table {
			list = append(list, x)
		}
	}
	return list
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // The caller may have left.
}
