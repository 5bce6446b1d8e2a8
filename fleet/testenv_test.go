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

// testEnv is a fleet in virtual time: a table, an instance list, fake workers, and processes that run controllers.
type testEnv struct {
	mu      sync.Mutex
	clock   time.Time
	table   *memtable.Table
	doc     *table.Document
	workers map[string]*fakeWorker
	procs   []*process
	// violations lists the broken invariants; the test reports them.
	violations []string
	// skipChecks turns off the checks after each commit, for benchmarks.
	skipChecks bool
	// repeatReboots makes a copy of each reboot order arrive up to 10 s late; late holds these copies.
	repeatReboots bool
	late          []func()
}

type fakeWorker struct {
	in          services.Instance
	incarnation int64
	draining    bool
	running     []drainer.Work
	downUntil   time.Time
	dead        bool
	reboots     int
	stopped     []string
}

// process is an entry that runs a view and a controller, and may die after a number of commits. It implements
// services.Table and Workers, whose calls fail once it is dead.
type process struct {
	env              *testEnv
	id               string
	view             *View
	lease            *lease.Lease
	controller       *Controller
	remainingCommits int // commits until the process dies; negative if it never dies
	dead             bool
	contact          time.Time
}

var errDead = errors.New("the process is dead")

func newTestEnv(n int) *testEnv {
	env := &testEnv{clock: time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC), table: memtable.New(), workers: map[string]*fakeWorker{}}
	env.doc = &table.Document{Version: 1,
		Backers: []table.Backer{{Name: "x", MaxUnavailable: 2}},
		Pools:   []table.Pool{{Name: "p"}, {Name: "q"}, {Name: "spare", Spare: true}},
		Queues:  []table.Queue{{Name: "jobs", Pools: []string{"p", "spare"}}, {Name: "calls", Pools: []string{"q", "spare"}}},
	}
	for i := range n {
		id := fmt.Sprintf("w%02d", i)
		env.workers[id] = &fakeWorker{incarnation: 1, in: services.Instance{ID: id, Kind: services.KindWorker, Address: "10.0.0.1:1", Zone: fmt.Sprintf("z%d", i/4%2),
			Rack: fmt.Sprintf("r%d", i/4), State: services.StateLive, Slots: 8}}
	}
	return env
}

func (env *testEnv) now() time.Time {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.clock
}

// process adds a process that dies after a number of commits, or never if commits is negative.
func (env *testEnv) process(id string, commits int) *process {
	p := &process{env: env, id: id, remainingCommits: commits, contact: env.clock}
	p.lease = lease.New(p, LeaseName, id, env.now)
	p.view = NewView(p, nil)
	p.controller = NewController(Config{Table: p, Instances: env, Lease: p.lease, View: p.view, Workers: p, Members: env.members,
		Document: func() *table.Document { return env.doc }, Now: env.now, Log: zerolog.Nop(),
		Assign: func(in services.Instance, _ *table.Document) string { return []string{"p", "q"}[int(in.ID[2]-'0')%2] }})
	env.procs = append(env.procs, p)
	return p
}

func (env *testEnv) members() []drainer.Member {
	var all []drainer.Member
	for _, p := range env.procs {
		all = append(all, drainer.Member{ID: p.id, FleetVersion: p.view.Version(), LastContact: p.contact})
	}
	return all
}

// tick advances the time by a second and runs a step of each live process.
func (env *testEnv) tick(ctx context.Context) {
	env.mu.Lock()
	env.clock = env.clock.Add(time.Second)
	env.mu.Unlock()
	if env.clock.Second()%10 == 0 {
		for _, arrive := range env.late {
			arrive()
		}
		env.late = nil
	}
	for _, p := range env.procs {
		if p.dead {
			continue
		}
		p.contact = env.clock
		_ = p.lease.Step(ctx)
		_ = p.view.Refresh(ctx)
		_ = p.controller.Step(ctx)
	}
}

// List implements services.Instances.
func (env *testEnv) List(context.Context) ([]services.Instance, error) {
	var all []services.Instance
	for _, k := range sortedKeys(env.workers) {
		f := env.workers[k]
		if f.dead || env.clock.Before(f.downUntil) {
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

// rows reads all instance rows and checks that the disruption rows are consistent with them.
func (env *testEnv) rows() map[string]instance.Instance {
	all := map[string]instance.Instance{}
	rows, _ := env.table.Direct().List(context.Background(), instance.Prefix, "", 0)
	unavailableCount := map[string]int{}
	for _, row := range rows {
		in, err := decode(row)
		if err != nil {
			panic(err)
		}
		all[in.ID] = in
		if in.State != instance.Serving {
			unavailableCount[in.Pool]++
		}
	}
	for _, pool := range env.doc.Pools {
		row, _ := env.table.Direct().Get(context.Background(), instance.PrefixDisruptions+pool.Name)
		var d Disruptions
		_ = json.Unmarshal(row.Value, &d)
		if len(d.Unavailable) != unavailableCount[pool.Name] {
			env.addViolation("disruptions of pool %s list %d, rows %d", pool.Name, len(d.Unavailable), unavailableCount[pool.Name])
		}
	}
	return all
}

// addViolation adds a broken invariant.
func (env *testEnv) addViolation(format string, args ...any) {
	env.violations = append(env.violations, fmt.Sprintf(format, args...))
}

// checkBudgets adds a violation if more instances are unavailable for maintenance and moves than any backer allows.
func (env *testEnv) checkBudgets() {
	f := &instance.Fleet{Instances: env.rows()}
	for pool, b := range wave.BudgetsOf(env.doc) {
		planned := 0
		for _, id := range wave.UnavailableInstances(f, pool) {
			if f.Instances[id].State != instance.Failed {
				planned++
			}
		}
		if planned > b.Limit {
			env.addViolation("pool %s has unavailable instances %v", pool, wave.UnavailableInstances(f, pool))
		}
	}
}

// Get implements services.Table for the process.
func (p *process) Get(ctx context.Context, key string) (services.Row, error) {
	if p.dead {
		return services.Row{}, errDead
	}
	return p.env.table.Get(ctx, key)
}

func (p *process) List(ctx context.Context, prefix, after string, limit int) ([]services.Row, error) {
	if p.dead {
		return nil, errDead
	}
	return p.env.table.List(ctx, prefix, after, limit)
}

// Commit implements services.Table. The commit at which the process dies takes effect, but its reply is lost.
func (p *process) Commit(ctx context.Context, writes []services.Write) ([]int64, error) {
	if p.dead {
		return nil, errDead
	}
	versions, err := p.env.table.Commit(ctx, writes)
	if !p.env.skipChecks {
		p.env.checkBudgets()
	}
	if p.remainingCommits--; p.remainingCommits == 0 {
		p.dead = true
		return nil, errDead
	}
	return versions, err
}

// incarnation returns the fake worker of the instance, or an error if it does not answer or is another incarnation.
func (p *process) incarnation(in instance.Instance, incarnation int64) (*fakeWorker, error) {
	f, err := p.worker(in)
	if err == nil && f.incarnation != incarnation {
		return nil, errors.New("another incarnation")
	}
	return f, err
}

// worker returns the fake worker of the instance, or an error if it does not answer.
func (p *process) worker(in instance.Instance) (*fakeWorker, error) {
	f := p.env.workers[in.ID]
	if p.dead || f == nil || f.dead || p.env.clock.Before(f.downUntil) {
		return nil, errors.New("no answer")
	}
	return f, nil
}

// Status implements Workers for the process.
func (p *process) Status(_ context.Context, in instance.Instance) (drainer.Worker, error) {
	p.env.mu.Lock()
	defer p.env.mu.Unlock()
	f, err := p.worker(in)
	if err != nil {
		return drainer.Worker{}, err
	}
	return drainer.Worker{Incarnation: f.incarnation, Draining: f.draining, Running: f.running}, nil
}

func (p *process) Drain(_ context.Context, in instance.Instance, incarnation int64) error {
	f, err := p.incarnation(in, incarnation)
	if err == nil {
		f.draining = true
	}
	return err
}

func (p *process) Undrain(_ context.Context, in instance.Instance, incarnation int64) error {
	f, err := p.incarnation(in, incarnation)
	if err == nil {
		f.draining = false
	}
	return err
}

// Reboot implements Workers for the process.
func (p *process) Reboot(_ context.Context, in instance.Instance, incarnation int64) error {
	if env := p.env; env.repeatReboots {
		env.late = append(env.late, func() { _ = p.reboot(in, incarnation) })
	}
	return p.reboot(in, incarnation)
}

// reboot adds a violation if the worker serves or has work.
func (p *process) reboot(in instance.Instance, incarnation int64) error {
	f, err := p.incarnation(in, incarnation)
	if err != nil {
		return err
	}
	if !p.env.skipChecks {
		if row := p.env.rows()[in.ID]; row.State != instance.Rebooting || len(f.running) > 0 || !f.draining {
			p.env.addViolation("reboot of %s: row %s, %d running, draining %t", in.ID, row.State, len(f.running), f.draining)
		}
	}
	f.reboots++
	f.incarnation++
	f.draining = false
	f.downUntil = p.env.clock.Add(3 * time.Second)
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
