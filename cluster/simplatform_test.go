package cluster

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"samphirepoint/engine"
	"samphirepoint/owner"
	"samphirepoint/rows"
	"samphirepoint/rows/memrows"
	"samphirepoint/upkeep"
	"samphirepoint/verdict"
)

// simPlatform is the platform of a simulated cluster: its store, workers, instances and operator. It checks what the workers see.
type simPlatform struct {
	store *memrows.Store

	mu         sync.Mutex
	rnd        *rand.Rand
	workers    map[string]*simWorker
	instances  map[string]*simInstance
	tasks      map[string]*simTask
	violations []string
	wave       upkeep.Wave
	began      time.Time
	// faultFree ends lost responses; slowUntil is when each slow daemon's calls are fast again.
	faultFree bool
	slowUntil map[string]time.Time
	// cut reports whether a daemon can't reach a worker, or the store if that is "". It may be nil.
	cut func(daemon, worker string) bool
	// cutOff is the daemon that gets no calls of others, cutUntil the end of the last partition.
	cutOff   string
	cutUntil time.Time
	// lasting holds the jobs whose tasks run until they are stopped.
	lasting map[string]bool
	// cpu holds the CPU request of the tasks of a job, if it isn't simTaskCPU.
	cpu map[string]int64
	// away holds the outages of parts of the store.
	away map[string]simOutage
	simDivisions
}

// simOutage is the outage of a part of the store. A silent part gives no response, and executes some of the calls at the end.
type simOutage struct {
	until  time.Time
	silent bool
}

type simInstance struct {
	id, pool, state string
	worker          *simWorker
	wave            int64
}

// simTask is what the workers know of a task: where it runs, and the ends as done that its owner may have heard of.
type simTask struct {
	runningOn *simWorker
	run       int64
	doneEnds  []*simEnd
	history   []string
}

// simEnd is an end at a worker. It is void if the worker's lease expired before it was acknowledged.
type simEnd struct {
	engine.EndedRow
	worker       *simWorker
	listed, void bool
}

type simWorker struct {
	info engine.WorkerInfo
	born time.Time
	// restarts is how often the worker has started again under its ID.
	restarts int
	// clockStartMS is what the worker's clock shows at its start.
	clockStartMS int64
	// former is the entry of the worker's former incarnation, which is listed until registeredAt.
	former       engine.WorkerInfo
	registeredAt time.Time
	// silentUntil is when the worker starts, or a worker that is about to crash starts again. Calls before then reach that incarnation at the
	// earliest.
	silentUntil time.Time
	// drainingSince is when the worker reported that it drains, or zero.
	drainingSince time.Time
	token         int64
	leaseMS       int64
	gone          bool
	running       map[string]int64
	highestRun    map[string]int64
	ended         []*simEnd
	ackedUpTo     int64
	// changed is closed at the next end.
	changed chan struct{}
}

// listedInfo returns the worker's entry in the list of workers. The caller must hold mu.
func (w *simWorker) listedInfo() engine.WorkerInfo {
	if time.Now().Before(w.registeredAt) {
		return w.former
	}
	return w.info
}

const (
	// simTaskCPU is the CPU request of most tasks, simWorkerCPU the CPU of each worker.
	simTaskCPU   = 1000
	simWorkerCPU = 8000
	// simMaxClockStart bounds what a worker's clock shows at its start.
	simMaxClockStart = time.Hour
	// simMoveTime is how long an instance is down for its upkeep.
	simMoveTime = 700 * time.Millisecond
	// simInstancesPerPool is the number of instances of each pool.
	simInstancesPerPool = 6
	// simWaveCap is how many instances may be down at once. It is high, so that instances are ordered all the time.
	simWaveCap = 4
)

var simPools = []string{"pumps", "routes"}

func newSimPlatform(seed uint64) *simPlatform {
	p := &simPlatform{
		store: memrows.New(), rnd: rand.New(rand.NewPCG(seed, 7)), workers: map[string]*simWorker{}, instances: map[string]*simInstance{},
		tasks: map[string]*simTask{}, began: time.Now(), slowUntil: map[string]time.Time{}, away: map[string]simOutage{}, lasting: map[string]bool{}, cpu: map[string]int64{},
		simDivisions: newSimDivisions(),
	}
	for _, pool := range simPools {
		for k := range simInstancesPerPool {
			in := &simInstance{id: fmt.Sprintf("m-%s-%d", pool, k), pool: pool}
			p.instances[in.id] = in
			p.startWorker(in)
		}
	}
	p.nextWave()
	return p
}

func (p *simPlatform) startWorker(in *simInstance) {
	id := fmt.Sprintf("i-%03d", len(p.workers))
	w := p.newWorker(engine.WorkerInfo{ID: id, Address: id, Labels: []string{"a", "r-1"}, Capacity: engine.Resources{CPU: simWorkerCPU, Mem: 8000}}, time.Now())
	p.workers[id] = w
	in.worker, in.state = w, upkeep.StateUp
}

// newWorker returns an incarnation of a worker, which knows nothing of those before.
func (p *simPlatform) newWorker(info engine.WorkerInfo, born time.Time) *simWorker {
	info.Incarnation = born.UnixMilli()
	return &simWorker{
		info: info, born: born, clockStartMS: p.rnd.Int64N(simMaxClockStart.Milliseconds()),
		running: map[string]int64{}, highestRun: map[string]int64{}, changed: make(chan struct{}),
	}
}

// nextWave requests the upkeep of all instances once more.
func (p *simPlatform) nextWave() {
	p.wave = upkeep.Wave{ID: p.wave.ID + 1, Cap: simWaveCap, Duration: 8 * time.Second, SeenAt: time.Since(p.began)}
	for id := range p.instances {
		p.wave.Instances = append(p.wave.Instances, id)
	}
	slices.Sort(p.wave.Instances)
}

func (p *simPlatform) violate(format string, args ...any) {
	p.violations = append(p.violations, fmt.Sprintf("%s ", time.Since(p.began))+fmt.Sprintf(format, args...))
}

// simAccess is one daemon's access to the platform. It implements rows.Store, owner.Workers, Roster, upkeep.Instances and
// upkeep.Waves.
type simAccess struct {
	*simPlatform
	daemon string
	// ended is set once the daemon's process has ended: no call of it begins or returns any more.
	ended bool
}

// remote executes a call with the delays of the network. It reports false if the response is lost or ctx ends first; the call
// may then have been executed, or may be executed later.
func (a *simAccess) remote(ctx context.Context, exec func()) bool {
	return a.remoteTo(ctx, simStore, exec)
}

// remoteTo executes a call to a worker or to another endpoint of the platform. A daemon that is paused or has ended stands still in it.
func (a *simAccess) remoteTo(ctx context.Context, to string, exec func()) bool {
	a.awaitResume(a.daemon)
	defer a.awaitResume(a.daemon)
	a.mu.Lock()
	split := a.blocked(a.daemon, to)
	if a.ended || split || a.cut != nil && a.cut(a.daemon, workerOf(to)) {
		if split && !a.ended && to != simInstances {
			a.executeLate(a.daemon, to, exec)
		}
		a.mu.Unlock()
		<-ctx.Done()
		return false
	}
	there, back := time.Duration(1+a.rnd.IntN(8))*time.Millisecond, time.Duration(1+a.rnd.IntN(8))*time.Millisecond
	if time.Now().Before(a.slowUntil[a.daemon]) {
		there += time.Duration(a.rnd.IntN(900)) * time.Millisecond
		back += time.Duration(a.rnd.IntN(900)) * time.Millisecond
	}
	lost := !a.faultFree && a.rnd.IntN(40) == 0
	maxRestarts := math.MaxInt
	if w := a.workers[to]; w != nil {
		there, maxRestarts = there+a.delayToNextIncarnation(w), w.lastReachable()
	}
	a.mu.Unlock()
	done := make(chan struct{})
	go func() {
		time.Sleep(there)
		if a.restartsOf(to) > maxRestarts {
			return
		}
		exec()
		time.Sleep(back)
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		return false
	}
	a.mu.Lock()
	unanswered := a.ended || a.blocked(to, a.daemon)
	a.mu.Unlock()
	if unanswered {
		<-ctx.Done()
		return false
	}
	return !lost
}

func errNoResponse() error {
	return verdict.New(verdict.MayHaveRun, http.StatusGatewayTimeout, "no response")
}

// partAway returns the error of a call to a part of the store that is away. Of the transactions that get no response, half are executed
// at the end of the outage.
func (a *simAccess) partAway(ctx context.Context, part string, tx *rows.Tx) error {
	a.mu.Lock()
	o := a.away[part]
	late := a.rnd.IntN(2) == 0
	a.mu.Unlock()
	rest := time.Until(o.until)
	switch {
	case rest <= 0:
		return nil
	case !o.silent:
		return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "part %s is away", part)
	case tx != nil && late:
		time.AfterFunc(rest, func() { _, _ = a.store.Transact(context.Background(), *tx) })
	}
	<-ctx.Done()
	return errNoResponse()
}

func (a *simAccess) Transact(ctx context.Context, tx rows.Tx) (int64, error) {
	for _, part := range tx.Parts() {
		if err := a.partAway(ctx, part, &tx); err != nil {
			return 0, err
		}
	}
	var ver int64
	var err error
	if !a.remote(ctx, func() { ver, err = a.store.Transact(context.Background(), tx) }) {
		return 0, errNoResponse()
	}
	return ver, err
}

func (a *simAccess) Read(ctx context.Context, table, part string) ([]rows.Row, int64, error) {
	if err := a.partAway(ctx, part, nil); err != nil {
		return nil, 0, err
	}
	var list []rows.Row
	var ver int64
	var err error
	if !a.remote(ctx, func() { list, ver, err = a.store.Read(context.Background(), table, part) }) {
		return nil, 0, errNoResponse()
	}
	return list, ver, err
}

func (a *simAccess) Watch(ctx context.Context, table string, after int64, wait time.Duration) ([]rows.Row, int64, error) {
	var list []rows.Row
	var ver int64
	var err error
	if !a.remote(ctx, func() { list, ver, err = a.store.Watch(context.Background(), table, after, wait) }) {
		return nil, 0, errNoResponse()
	}
	return list, ver, err
}

func (a *simAccess) Workers(ctx context.Context, _ time.Duration) (map[string][]engine.WorkerInfo, error) {
	out := map[string][]engine.WorkerInfo{}
	if !a.remote(ctx, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		for _, in := range a.instances {
			if in.worker != nil {
				out[in.pool] = append(out[in.pool], in.worker.listedInfo())
			}
		}
	}) {
		return nil, errNoResponse()
	}
	return out, nil
}

func (a *simAccess) List(ctx context.Context) ([]upkeep.Instance, error) {
	var out []upkeep.Instance
	if !a.remoteTo(ctx, simInstances, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		for _, in := range a.instances {
			i := upkeep.Instance{ID: in.id, Pool: in.pool, State: in.state, CapacityCPU: simWorkerCPU}
			if in.worker != nil {
				i.Worker = in.worker.info.ID
			}
			out = append(out, i)
		}
	}) {
		return nil, errNoResponse()
	}
	return out, nil
}

func (a *simAccess) Move(context.Context, string, string, string, int64) error { return nil }

func (a *simAccess) Upkeep(ctx context.Context, instance string, wave int64, _ string, _ int64) error {
	var err error
	if !a.remoteTo(ctx, simInstances, func() { err = a.takeDown(instance, wave) }) {
		return errNoResponse()
	}
	return err
}

// takeDown ends an instance's worker, with its list of ends, and starts the next one after simMoveTime.
func (p *simPlatform) takeDown(instance string, wave int64) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	in := p.instances[instance]
	switch {
	case in.wave >= wave:
		return nil
	case in.state != upkeep.StateUp, in.worker.info.Draining:
		return upkeep.ErrBusy
	}
	p.expireLease(in.worker) // Runs whose lease has expired are over, although no call has reached the worker since.
	if len(in.worker.running) > 0 {
		p.violate("LOST: an order for %s ends %d runs on %s", in.id, len(in.worker.running), in.worker.info.ID)
	}
	for task := range in.worker.running {
		p.tasks[task].runningOn = nil
	}
	in.wave, in.state, in.worker.gone, in.worker = wave, upkeep.StateUpkeep, true, nil
	time.AfterFunc(simMoveTime, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.startWorker(in)
	})
	return nil
}

// setLasting makes the tasks of a job run until they are stopped.
func (p *simPlatform) setLasting(job string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lasting[job] = true
}

// setCPU sets the CPU request of the tasks of a job.
func (p *simPlatform) setCPU(job string, cpu int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cpu[job] = cpu
}

const (
	// simDrainTime is how long a draining worker goes on, simNoticeTime the time after which it must get no more work.
	simDrainTime  = 5 * time.Second
	simNoticeTime = 2 * time.Second
)

// drain makes a worker drain, and leave after simDrainTime with all that it runs. The instance then has another worker.
func (p *simPlatform) drain(in *simInstance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := in.worker
	if w == nil || w.info.Draining || in.state != upkeep.StateUp {
		return
	}
	w.info.Draining, w.drainingSince = true, time.Now()
	time.AfterFunc(simDrainTime, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if in.worker != w || w.gone {
			return
		}
		for task := range w.running {
			p.tasks[task].runningOn = nil
		}
		for _, e := range w.ended {
			e.void = e.void || e.Seq > w.ackedUpTo // Nobody can take note of it any more.
		}
		w.gone = true
		p.startWorker(in)
	})
}

// inTouch reports whether a daemon has had no disruption lately. The caller must hold mu.
func (p *simPlatform) inTouch(daemon string) bool {
	const window = 3 * time.Second
	return p.cut == nil && len(p.splits) == 0 && time.Since(p.cutUntil) > window && time.Since(p.slowUntil[daemon]) > window &&
		time.Since(p.disturbedUntil[daemon]) > window
}

func (a *simAccess) Waves() []upkeep.Wave {
	a.mu.Lock()
	defer a.mu.Unlock()
	return []upkeep.Wave{a.wave}
}

func (a *simAccess) Report(ctx context.Context, wave int64, completed bool) error {
	if !a.remote(ctx, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		if completed && wave == a.wave.ID && !a.faultFree {
			a.nextWave()
		}
	}) {
		return errNoResponse()
	}
	return nil
}

var _ interface {
	rows.Store
	owner.Workers
	Roster
	upkeep.Instances
	upkeep.Waves
} = (*simAccess)(nil)
