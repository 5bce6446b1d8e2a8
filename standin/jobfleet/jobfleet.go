// Package jobfleet is a small stand-in for the users' platform: its metadata store, workers that run tasks under leases, and the
// service for instances. It speaks the platform's published protocol on loopback and judges the promises from the workers' side.
//
//	f, err := jobfleet.New(map[string]int{"pumps": 4, "common": 2})
//	defer f.Close()
//	f.Configure(`{"version":1,...}`)
package jobfleet

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"samphirepoint/rows"
	"samphirepoint/rows/memrows"
)

// SparePool is the pool whose instances are off.
const SparePool = "common"

// Fleet is the whole stand-in.
type Fleet struct {
	Store *memrows.Store

	mu       sync.Mutex
	workers  map[string]*worker
	machines map[string]*machine
	lives    int
	// done, runs and broken record what the workers saw.
	done   map[string]int
	runs   map[string]int
	broken []string
	begun  map[string]bool

	storeAddr, cloudAddr string
	listeners            []net.Listener
}

type machine struct {
	id, pool string
	worker   *worker
	token    int64
}

// New starts a fleet with so many instances in each pool.
func New(pools map[string]int) (*Fleet, error) {
	f := &Fleet{
		Store: memrows.New(), workers: map[string]*worker{}, machines: map[string]*machine{},
		done: map[string]int{}, runs: map[string]int{}, begun: map[string]bool{},
	}
	var err error
	if f.storeAddr, err = f.serve(f.storeHandler()); err != nil {
		return nil, err
	}
	if f.cloudAddr, err = f.serve(f.cloudHandler()); err != nil {
		return nil, err
	}
	for pool, n := range pools {
		for k := range n {
			m := &machine{id: fmt.Sprintf("m-%s-%02d", pool, k), pool: pool}
			f.machines[m.id] = m
			if err := f.live(m); err != nil {
				return nil, err
			}
		}
	}
	return f, nil
}

// StoreAddress and CloudAddress are where the store and the service for instances listen.
func (f *Fleet) StoreAddress() string { return f.storeAddr }

// CloudAddress is where the service for instances listens.
func (f *Fleet) CloudAddress() string { return f.cloudAddr }

// Close stops all listeners.
func (f *Fleet) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, l := range f.listeners {
		_ = l.Close()
	}
}

func (f *Fleet) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	f.listeners = append(f.listeners, l)
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String(), nil
}

// live starts a new life of a machine's worker. The spare pool's machines have none.
func (f *Fleet) live(m *machine) error {
	m.worker = nil
	if m.pool == SparePool {
		return nil
	}
	f.lives++
	w := &worker{fleet: f, id: fmt.Sprintf("i-%04d", f.lives), born: time.Now(), running: map[string]*run{}}
	addr, err := f.serve(w.handler())
	if err != nil {
		return err
	}
	m.worker = w
	f.workers[w.id] = w
	entry := map[string]any{
		"service": m.pool, "address": addr, "zone": "z", "state": "ready", "labels": []string{"a", "r-1"}, "born": w.born.UnixMilli(),
		"room": map[string]int{"cpu": 16000, "mem_mb": 32000}, "seq": f.lives,
	}
	return f.put("servers", w.id, entry)
}

func (f *Fleet) put(table, key string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	_, err = f.Store.Transact(context.Background(), rows.Tx{Writes: []rows.Write{{Key: rows.Key{Table: table, Name: key}, Value: data}}})
	return err
}

// Configure writes the operators' configuration; Wave asks for a wave of upkeep.
func (f *Fleet) Configure(config any) error { return f.put("op", "config", config) }

// Wave asks for the upkeep of machines.
func (f *Fleet) Wave(id int, machines []string, limit int) error {
	return f.put("op", "wave/"+strconv.Itoa(id), map[string]any{"wave": id, "machines": machines, "duration_s": 20, "cap": limit})
}

// Instances lists the machines of a pool.
func (f *Fleet) Instances(pool string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for _, m := range f.machines {
		if m.pool == pool {
			out = append(out, m.id)
		}
	}
	return out
}

// Violations returns the broken promises, and how many tasks have ended as done.
func (f *Fleet) Violations() (broken []string, done int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.broken...), len(f.done)
}

// MaintenanceStarted reports how many machines have begun their upkeep.
func (f *Fleet) MaintenanceStarted() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.begun)
}

func (f *Fleet) cloudHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/machines", func(w http.ResponseWriter, _ *http.Request) {
		f.mu.Lock()
		defer f.mu.Unlock()
		list := []map[string]any{}
		for _, m := range f.machines {
			row := map[string]any{"machine": m.id, "pool": m.pool, "state": "up", "labels": []string{"a", "r-1"}, "room": map[string]int{"cpu": 16000}}
			if m.worker != nil {
				row["id"] = m.worker.id
			}
			list = append(list, row)
		}
		answer(w, 200, map[string]any{"machines": list, "next_token": nil})
	})
	mux.HandleFunc("POST /api/machine-upkeep", func(w http.ResponseWriter, r *http.Request) { f.order(w, r, true) })
	mux.HandleFunc("POST /api/machine-move", func(w http.ResponseWriter, r *http.Request) { f.order(w, r, false) })
	return mux
}

// order ends a machine's life and begins the next one.
func (f *Fleet) order(w http.ResponseWriter, r *http.Request, upkeep bool) {
	var o struct {
		Machine, Pool string
		Wave          int
	}
	_ = json.NewDecoder(r.Body).Decode(&o)
	token, _ := strconv.ParseInt(r.Header.Get("Fence-Token"), 10, 64)
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.machines[o.Machine]
	if m == nil {
		answer(w, 400, nil)
		return
	}
	if token < m.token {
		answer(w, 409, map[string]string{"reason": "fence"})
		return
	}
	m.token = token
	key := fmt.Sprint(o.Wave, "/", m.id)
	if (upkeep && f.begun[key]) || (!upkeep && m.pool == o.Pool) {
		answer(w, 200, map[string]any{})
		return
	}
	if upkeep {
		f.begun[key] = true
	} else {
		m.pool = o.Pool
	}
	if old := m.worker; old != nil {
		old.dead = true
		if len(old.running) > 0 {
			f.broken = append(f.broken, "an order ended running tasks on "+m.id)
		}
		_, _ = f.Store.Transact(context.Background(), rows.Tx{Remove: []rows.Key{{Table: "servers", Name: old.id}}})
	}
	if err := f.live(m); err != nil {
		f.broken = append(f.broken, err.Error())
	}
	answer(w, 200, map[string]any{})
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

type wireRow struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Ver       int64  `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

func (r wireRow) key() rows.Key { return rows.Key{Table: r.Table, Part: r.Part, Name: r.Key} }

func wire(list []rows.Row) []wireRow {
	out := []wireRow{}
	for _, r := range list {
		out = append(out, wireRow{Table: r.Table, Part: r.Part, Key: r.Name, Value: r.Value, Ver: r.Ver, Tombstone: r.Removed})
	}
	return out
}

func (f *Fleet) storeHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/rows-tx", f.transact)
	mux.HandleFunc("GET /api/rows-get", func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		list, ver, err := f.Store.Read(r.Context(), q.Get("table"), q.Get("part"))
		f.page(w, q, list, ver, err)
	})
	mux.HandleFunc("GET /api/rows-feed", func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
		ms, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
		list, ver, err := f.Store.Watch(r.Context(), q.Get("table"), after, time.Duration(ms)*time.Millisecond)
		if err == rows.ErrHistoryGone {
			answer(w, 410, map[string]any{})
			return
		}
		f.page(w, url.Values{}, list, ver, err)
	})
	return mux
}

// pageRows makes pages small, so that readers meet more than one.
const pageRows = 7

func (f *Fleet) page(w http.ResponseWriter, q url.Values, list []rows.Row, ver int64, err error) {
	if err != nil {
		answer(w, 503, map[string]any{})
		return
	}
	var page []rows.Row
	more := false
	for _, r := range list {
		if from := q.Get("from"); from != "" && r.Name < from {
			continue
		}
		if len(page) == pageRows && q.Has("part") {
			more = true
			break
		}
		page = append(page, r)
	}
	answer(w, 200, map[string]any{"rows": wire(page), "more_pages": more, "ver": ver, "now_ms": 1})
}

func (f *Fleet) transact(w http.ResponseWriter, r *http.Request) {
	var m struct{ Expected, Writes, Remove []wireRow }
	if json.NewDecoder(r.Body).Decode(&m) != nil {
		answer(w, 400, map[string]any{})
		return
	}
	var tx rows.Tx
	for _, e := range m.Expected {
		tx.Expected = append(tx.Expected, rows.Condition{Key: e.key(), Ver: e.Ver})
	}
	for _, e := range m.Writes {
		tx.Writes = append(tx.Writes, rows.Write{Key: e.key(), Value: e.Value})
	}
	for _, e := range m.Remove {
		tx.Remove = append(tx.Remove, e.key())
	}
	ver, err := f.Store.Transact(r.Context(), tx)
	var conflict *rows.Conflict
	switch {
	case err == nil:
		answer(w, 200, map[string]any{"ver": ver, "now_ms": 1})
	case asConflict(err, &conflict):
		answer(w, 412, map[string]any{"rows": wire(conflict.Rows), "ver": ver})
	default:
		answer(w, 503, map[string]any{})
	}
}
