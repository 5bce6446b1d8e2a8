package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"samphirepoint/drainer"
	"samphirepoint/instance"
	"samphirepoint/lease"
	"samphirepoint/services"
	"samphirepoint/services/memtable"
	"samphirepoint/table"
	"samphirepoint/wave"
)

// world is a fleet in virtual time: a table, a list, workers, and processes that run controllers.
type world struct {
	mu      sync.Mutex
	t       time.Time
	table   *memtable.Table
	doc     *table.Document
	workers map[string]*fakeWorker
	procs   []*process
	// faults are broken rules, reported by the test.
	faults []string
	// unchecked leaves out the checks after each commit, for benchmarks.
	unchecked bool
}

type fakeWorker struct {
	in       services.Instance
	draining bool
	running  []drainer.Work
	downTill time.Time
	dead     bool
	reboots  int
	stopped  []string
}

// process is an entry that runs a view and a controller, and may die after a number of commits.
type process struct {
	w       *world
	id      string
	view    *View
	lease   *lease.Lease
	ctl     *Controller
	left    int // commits until death; negative for an immortal process
	dead    bool
	contact time.Time
}

var errDead = errors.New("the process is dead")

func newWorld(n int) *world {
	w := &world{t: time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC), table: memtable.New(), workers: map[string]*fakeWorker{}}
	w.doc = &table.Document{Version: 1,
		Backers: []table.Backer{{Name: "x", MaxUnavailable: 2}},
		Pools:   []table.Pool{{Name: "p"}, {Name: "q"}, {Name: "spare", Spare: true}},
		Queues:  []table.Queue{{Name: "jobs", Pools: []string{"p", "spare"}}, {Name: "calls", Pools: []string{"q", "spare"}}},
	}
	for i := range n {
		id := fmt.Sprintf("w%02d", i)
		w.workers[id] = &fakeWorker{in: services.Instance{ID: id, Kind: services.KindWorker, Address: "10.0.0.1:1", Zone: fmt.Sprintf("z%d", i/4%2),
			Rack: fmt.Sprintf("r%d", i/4), State: services.StateLive, Slots: 8}}
	}
	return w
}

func (w *world) now() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.t
}

func (w *world) process(id string, commits int) *process {
	p := &process{w: w, id: id, left: commits, contact: w.t}
	p.lease = lease.New(p, LeaseName, id, w.now)
	p.view = NewView(p, nil)
	p.ctl = NewController(Config{Table: p, Instances: w, Lease: p.lease, View: p.view, Workers: p, Members: w.members,
		Document: func() *table.Document { return w.doc }, Now: w.now, Log: zerolog.Nop(),
		Assign: func(in services.Instance, _ *table.Document) string { return []string{"p", "q"}[int(in.ID[2]-'0')%2] }})
	w.procs = append(w.procs, p)
	return p
}

func (w *world) members() []drainer.Member {
	var all []drainer.Member
	for _, p := range w.procs {
		all = append(all, drainer.Member{ID: p.id, FleetVersion: p.view.Version(), LastContact: p.contact})
	}
	return all
}

// tick advances the time by a second and lets all processes step.
func (w *world) tick(ctx context.Context) {
	w.mu.Lock()
	w.t = w.t.Add(time.Second)
	w.mu.Unlock()
	for _, p := range w.procs {
		if p.dead {
			continue
		}
		p.contact = w.t
		_ = p.lease.Step(ctx)
		_ = p.view.Refresh(ctx)
		_ = p.ctl.Step(ctx)
	}
}

// List implements services.Instances.
func (w *world) List(context.Context) ([]services.Instance, error) {
	var all []services.Instance
	for _, k := range sortedKeys(w.workers) {
		f := w.workers[k]
		if f.dead || w.t.Before(f.downTill) {
			continue
		}
		in := f.in
		if f.draining {
			in.State = services.StateLeaving
		}
		all = append(all, in)
	}
	return all, nil
}

// rows reads all instance rows and checks that the disruption rows agree with them.
func (w *world) rows() map[string]instance.Instance {
	all := map[string]instance.Instance{}
	rows, _ := w.table.Direct().List(context.Background(), instance.Prefix, "", 0)
	out := map[string]int{}
	for _, row := range rows {
		in, err := decode(row)
		if err != nil {
			panic(err)
		}
		all[in.ID] = in
		if in.State != instance.Serving {
			out[in.Pool]++
		}
	}
	for _, pool := range w.doc.Pools {
		row, _ := w.table.Direct().Get(context.Background(), instance.PrefixDisruptions+pool.Name)
		var d Disruptions
		_ = json.Unmarshal(row.Value, &d)
		if len(d.Unavailable) != out[pool.Name] {
			w.fault("disruptions of pool %s list %d, rows %d", pool.Name, len(d.Unavailable), out[pool.Name])
		}
	}
	return all
}

func (w *world) fault(format string, args ...any) {
	w.faults = append(w.faults, fmt.Sprintf(format, args...))
}

// checkBudgets fails if more instances are out for maintenance and moves than any backer allows.
func (w *world) checkBudgets() {
	f := &instance.Fleet{Instances: w.rows()}
	for pool, b := range wave.BudgetsOf(w.doc) {
		planned := 0
		for _, id := range wave.UnavailableInstances(f, pool) {
			if f.Instances[id].State != instance.Failed {
				planned++
			}
		}
		if planned > b.Limit {
			w.fault("pool %s has %v out", pool, wave.UnavailableInstances(f, pool))
		}
	}
}

// Get implements services.Table for the process.
func (p *process) Get(ctx context.Context, key string) (services.Row, error) {
	if p.dead {
		return services.Row{}, errDead
	}
	return p.w.table.Get(ctx, key)
}

func (p *process) List(ctx context.Context, prefix, after string, limit int) ([]services.Row, error) {
	if p.dead {
		return nil, errDead
	}
	return p.w.table.List(ctx, prefix, after, limit)
}

// Commit takes effect for the last time and loses its reply when the process dies.
func (p *process) Commit(ctx context.Context, writes []services.Write) ([]int64, error) {
	if p.dead {
		return nil, errDead
	}
	versions, err := p.w.table.Commit(ctx, writes)
	if !p.w.unchecked {
		p.w.checkBudgets()
	}
	if p.left--; p.left == 0 {
		p.dead = true
		return nil, errDead
	}
	return versions, err
}

func (p *process) worker(in instance.Instance) (*fakeWorker, error) {
	f := p.w.workers[in.ID]
	if p.dead || f == nil || f.dead || p.w.t.Before(f.downTill) {
		return nil, errors.New("no answer")
	}
	return f, nil
}

// Status implements Workers for the process.
func (p *process) Status(_ context.Context, in instance.Instance) (drainer.Worker, error) {
	p.w.mu.Lock()
	defer p.w.mu.Unlock()
	f, err := p.worker(in)
	if err != nil {
		return drainer.Worker{}, err
	}
	return drainer.Worker{Draining: f.draining, Running: f.running}, nil
}

func (p *process) Drain(_ context.Context, in instance.Instance) error {
	f, err := p.worker(in)
	if err == nil {
		f.draining = true
	}
	return err
}

func (p *process) Undrain(_ context.Context, in instance.Instance) error {
	f, err := p.worker(in)
	if err == nil {
		f.draining = false
	}
	return err
}

// Reboot fails the test if the worker serves or has work.
func (p *process) Reboot(_ context.Context, in instance.Instance) error {
	f, err := p.worker(in)
	if err != nil {
		return err
	}
	if !p.w.unchecked {
		if row := p.w.rows()[in.ID]; row.State != instance.Rebooting || len(f.running) > 0 || !f.draining {
			p.w.fault("reboot of %s: row %s, %d running, draining %t", in.ID, row.State, len(f.running), f.draining)
		}
	}
	f.reboots++
	f.draining = false
	f.downTill = p.w.t.Add(3 * time.Second)
	return nil
}

func (p *process) Checkpoint(context.Context, instance.Instance, string) error { return nil }

func (p *process) Stop(_ context.Context, in instance.Instance, task string) error {
	f, err := p.worker(in)
	if err == nil {
		f.stopped = append(f.stopped, task)
		f.running = nil
	}
	return err
}
