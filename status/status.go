// Package status serves the status of the fleet to operators as one daemon sees it: owners, pools, queues, waves and what a job
// is waiting for, as JSON and as an HTML page, and explains where a job would be placed. It is read-only.
//
//	mux.Handle("/status/", status.Handler(fleet, waves))
//	overview, err := status.NewClient("10.1.0.9:7075", http.DefaultClient).Overview(ctx)
package status

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"samphirepoint/catalog"
	"samphirepoint/cluster"
	"samphirepoint/engine"
	"samphirepoint/upkeep"
	"samphirepoint/verdict"
)

// Fleet is the source of the status: a daemon's view of the cluster and its calls to the owners of pools.
type Fleet interface {
	Catalog() *catalog.Catalog
	Owners() []cluster.Ownership
	Alive() []cluster.Member
	// StoreContactAge returns the time since the last contact with the store.
	StoreContactAge() time.Duration
	Report(ctx context.Context, pool string) (engine.PoolReport, error)
	Waiting(ctx context.Context, pool, queue string) (int, error)
	Explain(ctx context.Context, id string) (pool string, job engine.JobReport, known bool, err error)
	// ExplainPlacement asks the owner of the shard of a job that isn't submitted how it would treat the job.
	ExplainPlacement(ctx context.Context, pool string, spec engine.Spec) (cluster.Ownership, engine.PlacementReport, error)
	Shards(pool string) int
}

// Waves lists the waves that operators have requested.
type Waves interface {
	Waves() []upkeep.Wave
}

// Pool is the status of a pool, or of one shard of a large pool. CPU is in thousandths of a core. Error is the reason if its owner did not respond.
type Pool struct {
	cluster.Ownership
	Workers     int    `json:"workers"`
	Usable      int    `json:"usable"`
	Cordoned    int    `json:"cordoned"`
	CapacityCPU int64  `json:"roomCPU"`
	UsedCPU     int64  `json:"usedCPU"`
	PendingCPU  int64  `json:"pendingCPU"`
	Error       string `json:"error,omitempty"`
}

// Queue is the status of a queue. Waiting is -1 if the owner of its pool did not respond.
type Queue struct {
	Name     string `json:"name"`
	Pool     string `json:"pool"`
	Priority int    `json:"priority"`
	Waiting  int    `json:"waiting"`
}

// Wave is a wave of upkeep as operators requested it.
type Wave struct {
	ID        int64    `json:"id"`
	Instances []string `json:"instances"`
	Cap       int      `json:"cap"`
	Duration  string   `json:"duration"`
}

// Overview is the status of the fleet.
type Overview struct {
	Version           int64  `json:"version"`
	StoreContactAgeMS int64  `json:"storeSeenMS"`
	Daemons           int    `json:"daemons"`
	FleetController   string `json:"fleetDuties"`

	Pools  []Pool  `json:"pools"`
	Queues []Queue `json:"queues"`
	Waves  []Wave  `json:"waves"`
}

// Job is the status of a job, with its pool.
type Job struct {
	Pool string `json:"pool"`
	engine.JobReport
}

// responseTimeout bounds the wait for the responses of other daemons.
const responseTimeout = 900 * time.Millisecond

// Collect collects the status of the fleet. Pools and queues whose owner does not respond in time are marked as such.
func Collect(ctx context.Context, f Fleet, w Waves) Overview {
	ctx, cancel := context.WithTimeout(ctx, responseTimeout)
	defer cancel()
	out := Overview{StoreContactAgeMS: f.StoreContactAge().Milliseconds(), Daemons: len(f.Alive())}
	for _, o := range f.Owners() {
		if o.Pool == cluster.FleetControllerRole {
			out.FleetController = o.Node
			continue
		}
		out.Pools = append(out.Pools, Pool{Ownership: o})
	}
	if c := f.Catalog(); c != nil {
		out.Version = c.Version
		for _, q := range c.Queues {
			out.Queues = append(out.Queues, Queue{Name: q.Name, Pool: q.Pool, Priority: q.Priority, Waiting: -1})
		}
	}
	var g errgroup.Group
	for i := range out.Pools {
		g.Go(func() error { return out.Pools[i].fill(ctx, f) })
	}
	for i := range out.Queues {
		g.Go(func() error { return out.Queues[i].fill(ctx, f) })
	}
	_ = g.Wait() // each pool and queue records its own failure
	for _, wave := range w.Waves() {
		out.Waves = append(out.Waves, Wave{ID: wave.ID, Instances: wave.Instances, Cap: wave.Cap, Duration: wave.Duration.String()})
	}
	slices.SortFunc(out.Waves, func(a, b Wave) int { return int(a.ID - b.ID) })
	return out
}

func (p *Pool) fill(ctx context.Context, f Fleet) error {
	r, err := f.Report(ctx, p.Name())
	if err != nil {
		p.Error = err.Error()
		return nil
	}
	p.Workers, p.CapacityCPU, p.UsedCPU, p.PendingCPU = len(r.Workers), r.CapacityCPU, r.UsedCPU, r.PendingCPU
	for _, w := range r.Workers {
		if w.Usable {
			p.Usable++
		}
		if w.Cordoned {
			p.Cordoned++
		}
	}
	return nil
}

func (q *Queue) fill(ctx context.Context, f Fleet) error {
	if waiting, err := f.Waiting(ctx, q.Pool, q.Name); err == nil {
		q.Waiting = waiting
	}
	return nil
}

// Paths of the HTTP interface.
const (
	pathOverview  = "/status/overview"
	pathJobs      = "/status/jobs/"
	pathPlacement = "/status/placement"
)

// Handler serves the status as JSON, and as an HTML page at /status/.
func Handler(f Fleet, w Waves) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pathOverview, func(rw http.ResponseWriter, r *http.Request) { writeJSON(rw, Collect(r.Context(), f, w)) })
	mux.HandleFunc("GET "+pathJobs+"{id}", func(rw http.ResponseWriter, r *http.Request) { serveJob(rw, r, f) })
	mux.HandleFunc("POST "+pathPlacement, func(rw http.ResponseWriter, r *http.Request) { servePlacement(rw, r, f) })
	mux.HandleFunc("GET /status/{$}", func(rw http.ResponseWriter, r *http.Request) { servePage(rw, r, f, w) })
	return mux
}

func serveJob(w http.ResponseWriter, r *http.Request, f Fleet) {
	ctx, cancel := context.WithTimeout(r.Context(), responseTimeout)
	defer cancel()
	id := strings.ToLower(r.PathValue("id"))
	pool, job, known, err := f.Explain(ctx, id)
	switch {
	case known:
		writeJSON(w, Job{Pool: pool, JobReport: job})
	case err != nil:
		http.Error(w, "not every pool owner responded: "+err.Error(), verdict.Status(err))
	default:
		http.Error(w, "no job "+id+" is known; ended jobs are known for a few minutes", http.StatusNotFound)
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// Waiting returns the number of jobs that wait in a pool's queues. Queues without a known number are left out.
func (o *Overview) Waiting(pool string) (waiting int) {
	for _, q := range o.Queues {
		if q.Pool == pool && q.Waiting > 0 {
			waiting += q.Waiting
		}
	}
	return waiting
}
