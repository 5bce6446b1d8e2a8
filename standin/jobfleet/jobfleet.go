// Package jobfleet provides a small stand-in for the users' platform: its metadata store, workers that run tasks under
// leases, and the instance service. It serves the platform's published protocol on loopback and checks the system's
// guarantees from the workers' side.
//
//	f, err := jobfleet.New(map[string]int{"pumps": 4, "common": 2})
//	defer f.Close()
//	f.Configure(json.RawMessage(`{"version":1,...}`))
package jobfleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"samphirepoint/rows"
	"samphirepoint/rows/memrows"
)

// SparePool is the pool whose instances are powered off.
const SparePool = "common"

// Fleet is a stand-in platform with its store, workers and instances.
type Fleet struct {
	Store *memrows.Store
	// TaskDuration is the run time of each task whose specification isn't a duration itself, such as "8s". MaxLease is the longest lease that
	// workers accept. Both must be set before the first start.
	TaskDuration, MaxLease time.Duration
	// MaxRunning is the number of tasks for which a worker has room. If it is set, a start beyond it is a violation. It must be set before the
	// first start.
	MaxRunning int
	// CheckStart, if set, gets the job of each task that starts, and the number of tasks that each job has running on all workers, that one
	// included. Its error is recorded as a violation. It is called while the fleet is locked, and must be set before the first start.
	CheckStart func(job string, running map[string]int) error
	// Advice configures the adviser. It must be set before the first start.
	Advice Advice

	mu           sync.Mutex
	rnd          *rand.Rand
	counts       Counts
	hosts        []*host
	workers      map[string]*worker
	instances    map[string]*instance
	incarnations int
	tasks        map[string]*task
	tickets      map[string]issuedTicket
	// violations lists broken guarantees.
	violations []string
	// away selects the parts of the store that are not available, if set.
	away func(part string) bool
	// maintenanceStarted is keyed by "wave/instance".
	maintenanceStarted map[string]bool

	storeAddr, cloudAddr string
	listeners            []net.Listener
	// endpoints holds the endpoints of the network by address, views the daemons' views of it.
	endpoints map[string]Endpoint
	views     []*View
	partition Partition
}

type instance struct {
	id, pool, zone string
	worker         *worker
	token          int64
}

// Zones are the availability zones over which the instances of a pool are spread.
var Zones = []string{"z1", "z2", "z3", "z4"}

// New starts a fleet with the given number of instances in each pool.
func New(pools map[string]int) (*Fleet, error) { return NewSeeded(rand.Uint64(), pools) }

// NewSeeded is like New. What the fleet draws at random, such as the readings of the workers' clocks, comes from the seed.
func NewSeeded(seed uint64, pools map[string]int) (*Fleet, error) {
	f := &Fleet{
		rnd: rand.New(rand.NewPCG(seed, 0)), Store: memrows.New(), TaskDuration: defaultTaskDuration, MaxLease: defaultMaxLease,
		workers: map[string]*worker{}, instances: map[string]*instance{},
		tasks: map[string]*task{}, tickets: map[string]issuedTicket{}, maintenanceStarted: map[string]bool{}, endpoints: map[string]Endpoint{},
	}
	var err error
	if f.storeAddr, err = f.serve(f.storeHandler(nil)); err != nil {
		return nil, err
	}
	if f.cloudAddr, err = f.serve(f.cloudHandler()); err != nil {
		return nil, err
	}
	f.endpoints[f.cloudAddr] = Endpoint{Kind: EndpointInstances}
	for _, pool := range slices.Sorted(maps.Keys(pools)) {
		for k := range pools[pool] {
			in := &instance{id: fmt.Sprintf("m-%s-%02d", pool, k), pool: pool, zone: Zones[k%len(Zones)]}
			f.instances[in.id] = in
			if err := f.startWorker(in); err != nil {
				return nil, err
			}
		}
	}
	return f, nil
}

// StoreAddress returns the address of the store.
func (f *Fleet) StoreAddress() string { return f.storeAddr }

// CloudAddress returns the address of the instance service.
func (f *Fleet) CloudAddress() string { return f.cloudAddr }

// Close stops all listeners and the proxies of all views. It doesn't hold the mutex meanwhile: a server that is being closed waits for its accept
// loop, which takes the mutex for each new connection.
func (f *Fleet) Close() {
	f.mu.Lock()
	listeners, hosts, views := slices.Clone(f.listeners), slices.Clone(f.hosts), slices.Clone(f.views)
	f.mu.Unlock()
	for _, l := range listeners {
		_ = l.Close()
	}
	for _, h := range hosts {
		_ = h.server.Close()
	}
	for _, v := range views {
		v.close()
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

// startWorker starts a new incarnation of an instance's worker. Instances of the spare pool have none.
func (f *Fleet) startWorker(in *instance) error {
	in.worker = nil
	if in.pool == SparePool {
		return nil
	}
	f.incarnations++
	h, err := f.newHost()
	if err != nil {
		return err
	}
	id := fmt.Sprintf("i-%04d", f.incarnations)
	f.endpoints[h.address] = Endpoint{Kind: EndpointWorker, Zone: in.zone, Name: id}
	f.newIncarnation(in, id, h, f.drawClock(nil))
	return f.publish(in)
}

// newIncarnation makes a new worker the one of an instance and of a host.
func (f *Fleet) newIncarnation(in *instance, id string, h *host, clockStartMS int64) *worker {
	w := &worker{
		fleet: f, host: h, id: id, startedAt: time.Now(), clockStartMS: clockStartMS, clockRate: clockRates[f.rnd.IntN(len(clockRates))],
		running: map[string]*run{}, lastRun: map[string]int64{},
	}
	in.worker, h.worker, f.workers[id] = w, w, w
	return w
}

// publish writes the entry of an instance's worker to the list of workers.
func (f *Fleet) publish(in *instance) error {
	w := in.worker
	return f.putRow("servers", w.id, map[string]any{
		"service": in.pool, "address": w.host.address, "zone": in.zone, "state": "ready", "labels": []string{"a", "r-1"}, "born": w.startedAt.UnixMilli(),
		"room": map[string]int{"cpu": 16000, "mem_mb": 32000}, "seq": 1,
	})
}

func (f *Fleet) putRow(table, key string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	_, err = f.Store.Transact(context.Background(), rows.Tx{Writes: []rows.Write{{Key: rows.Key{Table: table, Name: key}, Value: data}}})
	return err
}

// Configure writes the operators' configuration.
func (f *Fleet) Configure(config any) error { return f.putRow("op", "config", config) }

// Wave requests the upkeep of instances as one wave, at most limit of them at the same time.
func (f *Fleet) Wave(id int, instances []string, limit int) error {
	return f.putRow("op", "wave/"+strconv.Itoa(id), map[string]any{"wave": id, "machines": instances, "duration_s": 20, "cap": limit})
}

// Instances lists the instances of a pool.
func (f *Fleet) Instances(pool string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for _, in := range f.instances {
		if in.pool == pool {
			out = append(out, in.id)
		}
	}
	return out
}

// Violations returns the violated guarantees and the number of completed tasks.
func (f *Fleet) Violations() (violations []string, completed int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, t := range f.tasks {
		if len(t.doneEnds) > 0 {
			completed++
		}
	}
	return append([]string(nil), f.violations...), completed
}

// MaintenanceStarted returns the number of upkeeps that were started.
func (f *Fleet) MaintenanceStarted() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.maintenanceStarted)
}

func (f *Fleet) cloudHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/machines", func(w http.ResponseWriter, _ *http.Request) {
		f.mu.Lock()
		defer f.mu.Unlock()
		list := []map[string]any{}
		for _, in := range f.instances {
			row := map[string]any{"machine": in.id, "pool": in.pool, "state": "up", "labels": []string{"a", "r-1"}, "room": map[string]int{"cpu": 16000}}
			if in.worker != nil {
				row["id"] = in.worker.id
			}
			list = append(list, row)
		}
		writeJSON(w, 200, map[string]any{"machines": list, "next_token": nil})
	})
	mux.HandleFunc("POST /api/machine-upkeep", func(w http.ResponseWriter, r *http.Request) { f.handleOrder(w, r, true) })
	mux.HandleFunc("POST /api/machine-move", func(w http.ResponseWriter, r *http.Request) { f.handleOrder(w, r, false) })
	return mux
}

// handleOrder terminates an instance's worker and starts the next incarnation.
func (f *Fleet) handleOrder(w http.ResponseWriter, r *http.Request, upkeep bool) {
	var o struct {
		Machine, Pool string
		Wave          int
	}
	_ = json.NewDecoder(r.Body).Decode(&o)
	token, _ := strconv.ParseInt(r.Header.Get("Fence-Token"), 10, 64)
	f.mu.Lock()
	defer f.mu.Unlock()
	in := f.instances[o.Machine]
	if in == nil {
		writeJSON(w, 400, nil)
		return
	}
	if token < in.token {
		writeJSON(w, 409, map[string]string{"reason": "fence"})
		return
	}
	in.token = token
	key := fmt.Sprint(o.Wave, "/", in.id)
	if (upkeep && f.maintenanceStarted[key]) || (!upkeep && in.pool == o.Pool) {
		writeJSON(w, 200, map[string]any{})
		return
	}
	if upkeep {
		f.maintenanceStarted[key] = true
	} else {
		in.pool = o.Pool
	}
	if old := in.worker; old != nil {
		if len(old.running) > 0 {
			f.violations = append(f.violations, "an order terminated running tasks on "+in.id)
		}
		old.terminate()
		_, _ = f.Store.Transact(context.Background(), rows.Tx{Remove: []rows.Key{{Table: "servers", Name: old.id}}})
	}
	if err := f.startWorker(in); err != nil {
		f.violations = append(f.violations, err.Error())
	}
	writeJSON(w, 200, map[string]any{})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
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

func toWireRows(list []rows.Row) []wireRow {
	out := []wireRow{}
	for _, r := range list {
		out = append(out, wireRow{Table: r.Table, Part: r.Part, Key: r.Name, Value: r.Value, Ver: r.Ver, Tombstone: r.Removed})
	}
	return out
}

// storeHandler serves the store to the daemon with the given view, or to all if that is nil.
func (f *Fleet) storeHandler(v *View) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/rows-tx", func(w http.ResponseWriter, r *http.Request) { f.transact(w, r, v) })
	mux.HandleFunc("GET /api/rows-get", func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		if f.isAway(q.Get("part")) {
			writeJSON(w, 503, map[string]any{})
			return
		}
		list, ver, err := f.Store.Read(r.Context(), q.Get("table"), q.Get("part"))
		f.writePage(w, q, v.rows(list), ver, err)
	})
	mux.HandleFunc("GET /api/rows-feed", func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
		ms, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
		list, ver, err := f.Store.Watch(r.Context(), q.Get("table"), after, time.Duration(ms)*time.Millisecond)
		if err == rows.ErrHistoryGone {
			writeJSON(w, 410, map[string]any{})
			return
		}
		f.writePage(w, url.Values{}, v.rows(list), ver, err)
	})
	return mux
}

// pageRows is small, so that readers have to handle more than one page.
const pageRows = 7

func (f *Fleet) writePage(w http.ResponseWriter, q url.Values, list []rows.Row, ver int64, err error) {
	if err != nil {
		writeJSON(w, 503, map[string]any{})
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
	writeJSON(w, 200, map[string]any{"rows": toWireRows(page), "more_pages": more, "ver": ver, "now_ms": 1})
}

func (f *Fleet) transact(w http.ResponseWriter, r *http.Request, v *View) {
	var m struct {
		Expected, Writes, Remove []wireRow
		Across                   bool
	}
	if json.NewDecoder(r.Body).Decode(&m) != nil {
		writeJSON(w, 400, map[string]any{})
		return
	}
	tx := rows.Tx{Across: m.Across}
	for _, e := range m.Expected {
		tx.Expected = append(tx.Expected, rows.Condition{Key: e.key(), Ver: e.Ver})
	}
	for _, e := range m.Writes {
		tx.Writes = append(tx.Writes, rows.Write{Key: e.key(), Value: v.fromDaemon(e.Value)})
	}
	for _, e := range m.Remove {
		tx.Remove = append(tx.Remove, e.key())
	}
	if f.isAway(tx.Parts()...) {
		writeJSON(w, 503, map[string]any{})
		return
	}
	ver, err := f.Store.Transact(r.Context(), tx)
	var conflict *rows.Conflict
	switch {
	case err == nil:
		writeJSON(w, 200, map[string]any{"ver": ver, "now_ms": 1})
	case asConflict(err, &conflict):
		writeJSON(w, 412, map[string]any{"rows": toWireRows(v.rows(conflict.Rows)), "ver": ver})
	case errors.Is(err, rows.ErrInvalid):
		writeJSON(w, 400, map[string]any{})
	default:
		writeJSON(w, 503, map[string]any{})
	}
}
