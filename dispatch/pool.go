package dispatch

import (
	"time"

	"samphirepoint/fairqueue"
	"samphirepoint/instance"
	"samphirepoint/outlier"
	"samphirepoint/placement"
	"samphirepoint/request"
	"samphirepoint/retry"
	"samphirepoint/runtimes"
	"samphirepoint/worker"
)

// member is a worker of a pool.
type member struct {
	state  placement.Worker
	client *worker.Client
	// address detects a worker that was replaced under the same id.
	address string
	// unreachablePause is how long the worker got no work after the last attempt to reach it failed, 0 once one has not.
	unreachablePause time.Duration
	// gone workers are not in the pool any more but still run requests of this entry.
	gone bool
}

// ticket is a request that waits in Acquire.
type ticket struct {
	id       string
	wish     SlotRequest
	ready    chan result
	since    time.Time
	key      runtimes.Key
	class    request.Class
	estimate runtimes.Estimate
}

type result struct {
	grant *Grant
	err   error
}

// running is a granted slot.
type running struct {
	ticket  *ticket
	member  *member
	pool    *pool
	started time.Time
	class   request.Class
}

// pool is the state of one pool that this entry serves.
type pool struct {
	name      string
	newClient func(address string) *worker.Client
	owned     bool
	queue     fairqueue.Policy
	placement placement.Policy
	outliers  *outlier.Tracker
	reserve   runtimes.Reserve
	members   map[string]*member
	workers   []*placement.Worker
	waiting   map[string]*ticket
	running   map[string]*running
	overflow  overflowGate
	// away counts requests of this pool's queues that other pools work on, per backer.
	away     map[string]int
	finishes rateMeter
	// freeAt is the last time at which the pool had a free slot.
	freeAt time.Time
	// meanRun is the decayed mean run time of all work.
	meanRun time.Duration
	// slots is the number of slots of usable workers, reserved the part that long work leaves free.
	slots, reserved int
}

func newPool(name string, cfg Config) *pool {
	return &pool{
		name:      name,
		newClient: func(address string) *worker.Client { return worker.NewClientOn(cfg.Network, address) },
		queue:     cfg.Policies.Queue(),
		placement: cfg.Policies.Placement(),
		outliers:  outlier.New(),
		members:   map[string]*member{},
		waiting:   map[string]*ticket{},
		running:   map[string]*running{},
		overflow:  overflowGate{batch: 1},
		away:      map[string]int{},
	}
}

// setMembers takes over the instance rows of the pool. Only serving instances get new work.
func (p *pool) setMembers(rows []instance.Instance, leaving func(string) bool, now time.Time) {
	ids := make([]string, 0, len(rows))
	seen := make(map[string]bool, len(rows))
	for _, row := range rows {
		ids, seen[row.ID] = append(ids, row.ID), true
		p.setMember(row, leaving(row.ID))
	}
	for id, m := range p.members {
		if seen[id] {
			continue
		}
		m.gone, m.state.Leaving = true, true
		if m.state.InUse == 0 {
			m.client.Close()
			delete(p.members, id)
		}
	}
	p.outliers.SetWorkers(ids)
	p.refresh(now)
}

func (p *pool) setMember(row instance.Instance, leaving bool) {
	m, ok := p.members[row.ID]
	if !ok || m.address != row.Address {
		m = &member{client: p.newClient(row.Address), address: row.Address}
		p.members[row.ID] = m
	}
	m.gone = false
	m.state.ID, m.state.Zone, m.state.Slots = row.ID, row.Zone, row.Slots
	m.state.Leaving = row.State != instance.Serving || leaving
}

// refresh recomputes the usable slots after a change of members, ejections or demand.
func (p *pool) refresh(now time.Time) {
	p.workers = p.workers[:0]
	total := 0
	for id, m := range p.members {
		if m.gone {
			continue
		}
		state := p.outliers.State(id, now)
		m.state.Ejected, m.state.Suspect, m.state.Probe = state.Ejected, state.Suspect, state.Probe
		p.workers = append(p.workers, &m.state)
		if m.usable() {
			total += m.state.Slots
		}
	}
	p.slots = total
	p.reserved = p.reserve.Slots(now, total)
	// A change of members can leave slots in use on workers that left; they must not block the others.
	p.queue.SetSlots(total+p.inUseElsewhere(), p.reserved)
	if p.free() > 0 {
		p.freeAt = now
	}
}

// usable reports whether the worker may get new work.
func (m *member) usable() bool {
	return !m.gone && !m.state.Leaving && (!m.state.Ejected || m.state.Probe)
}

// inUseElsewhere counts running requests on workers that get no new work, among them workers that were
// replaced under the same id.
func (p *pool) inUseElsewhere() int {
	n := 0
	for _, run := range p.running {
		if m := run.member; !m.usable() || p.members[m.state.ID] != m {
			n++
		}
	}
	return n
}

func (p *pool) close() {
	for _, m := range p.members {
		m.client.Close()
	}
}

// positioner is implemented by queues that order requests by class and backer.
type positioner interface {
	Position(backer string, class request.Class) fairqueue.Position
}

// waitOf estimates the time until a request of backer and class that arrives now gets a slot.
func (p *pool) waitOf(backer string, class request.Class, now time.Time) time.Duration {
	load := p.load(now)
	if class == request.Long {
		load.Slots -= p.reserved
		load.Free = max(load.Free-p.reserved, 0)
	}
	if q, ok := p.queue.(positioner); ok {
		at := q.Position(backer, class)
		load.Ahead, load.OwnAhead, load.Share = at.Ahead, at.OwnAhead, at.Share
	}
	return load.Wait()
}

// estimatedWait is the time until a request behind all others gets a slot.
func (p *pool) estimatedWait(now time.Time) time.Duration { return p.load(now).Wait() }

// load is the state of the queue as its last request sees it. In a pool that has been full for the whole window of the
// rate meter, the rate at which slots became free gives the mean run time of what holds the slots; the mean of ended runs
// would be too low, since long runs hold slots and seldom end. Before that the rate only bounds the mean.
func (p *pool) load(now time.Time) retry.Load {
	mean := p.meanRun
	if rate := p.finishes.perSecond(now); rate > 0 {
		byRate := time.Duration(float64(p.slots) / rate * float64(time.Second))
		if now.Sub(p.freeAt) < 2*rateWindow {
			byRate = min(mean, byRate)
		}
		mean = byRate
	}
	return retry.Load{Ahead: p.queue.Len(), Slots: p.slots, Free: p.free(), MeanRun: mean}
}

// free is the number of slots that the queue may grant.
func (p *pool) free() int { return max(p.slots+p.inUseElsewhere()-p.queue.InUse(), 0) }

// observe notes a run that ended.
func (p *pool) observe(took time.Duration, now time.Time) {
	p.finishes.add(now)
	if p.meanRun == 0 {
		p.meanRun = took
		return
	}
	p.meanRun += time.Duration(meanRunDecay * float64(took-p.meanRun))
}

// overflowGate bounds how many waiting requests try another pool at a time: it doubles while they are
// taken and falls to one after a refusal, so that a full neighbor is not flooded with offers.
type overflowGate struct {
	batch int
	next  time.Time
}

const (
	maxOverflowBatch = 32
	overflowPause    = 100 * time.Millisecond
)

func (g *overflowGate) record(now time.Time, taken bool) {
	if taken {
		g.batch = min(2*g.batch, maxOverflowBatch)
		return
	}
	g.batch, g.next = 1, now.Add(overflowPause)
}

// rateMeter measures a rate over the last seconds as the mean of two windows.
type rateMeter struct {
	start           time.Time
	current, before int
}

const rateWindow = 2 * time.Second

func (r *rateMeter) roll(now time.Time) {
	switch age := now.Sub(r.start); {
	case age < rateWindow:
	case age < 2*rateWindow:
		r.before, r.current, r.start = r.current, 0, r.start.Add(rateWindow)
	default:
		r.before, r.current, r.start = 0, 0, now
	}
}

func (r *rateMeter) add(now time.Time) {
	r.roll(now)
	r.current++
}

func (r *rateMeter) perSecond(now time.Time) float64 {
	r.roll(now)
	span := now.Sub(r.start) + rateWindow
	return float64(r.before+r.current) / span.Seconds()
}
