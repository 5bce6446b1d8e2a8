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
	// address reveals that a worker was replaced under the same ID.
	address string
	// unreachableBackoff is the current delay after failed connection attempts; 0 after an attempt that reached the worker.
	unreachableBackoff time.Duration
	// removed marks a worker that has left the pool but still runs requests of this entry.
	removed bool
}

// acquisition is a call to Acquire. It waits in the queue until a slot is granted or an error ends it.
type acquisition struct {
	id       string
	request  SlotRequest
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

// running is a slot that was granted and not yet released.
type running struct {
	acquisition *acquisition
	member      *member
	pool        *pool
	started     time.Time
	class       request.Class
}

// pool is the state of one pool that this entry serves. Only the scheduler's goroutine accesses it.
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
	waiting   map[string]*acquisition
	running   map[string]*running
	overflow  overflowLimiter
	// overflowed counts, per backer, the requests that were offered to or run in other pools.
	overflowed  map[string]int
	completions rateMeter
	// lastFree is the last time at which the pool had a free slot.
	lastFree time.Time
	// meanRunTime is the exponentially weighted mean run time of all requests.
	meanRunTime time.Duration
	// slots is the number of slots of usable workers; reserved of them are not available to long work.
	slots, reserved int
}

func newPool(name string, cfg Config) *pool {
	return &pool{
		name:       name,
		newClient:  func(address string) *worker.Client { return worker.NewClientOn(cfg.Network, address) },
		queue:      cfg.Policies.Queue(),
		placement:  cfg.Policies.Placement(),
		outliers:   outlier.New(),
		members:    map[string]*member{},
		waiting:    map[string]*acquisition{},
		running:    map[string]*running{},
		overflow:   overflowLimiter{batch: 1},
		overflowed: map[string]int{},
	}
}

// setMembers applies the instance rows of the pool. Only serving instances get new work.
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
		m.removed, m.state.Leaving = true, true
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
		p.outliers.Forget(row.ID)
	}
	m.removed = false
	m.state.ID, m.state.Zone, m.state.Slots = row.ID, row.Zone, row.Slots
	m.state.Leaving = row.State != instance.Serving || leaving
}

// isCurrent reports whether the member is still the worker with its ID: another one may have replaced it.
func (p *pool) isCurrent(m *member) bool { return p.members[m.state.ID] == m }

// refresh recomputes the usable slots after members, ejections or demand have changed.
func (p *pool) refresh(now time.Time) {
	p.workers = p.workers[:0]
	total := 0
	for id, m := range p.members {
		if m.removed {
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
	// Slots still in use on workers that left the pool must not reduce the capacity of the remaining workers.
	p.queue.SetSlots(total+p.inUseOnUnusable(), p.reserved)
	if p.free() > 0 {
		p.lastFree = now
	}
}

// usable reports whether the worker may get new work.
func (m *member) usable() bool {
	return !m.removed && !m.state.Leaving && (!m.state.Ejected || m.state.Probe)
}

// inUseOnUnusable counts running requests on workers that get no new work, including workers that were
// replaced under the same ID.
func (p *pool) inUseOnUnusable() int {
	n := 0
	for _, run := range p.running {
		if m := run.member; !m.usable() || !p.isCurrent(m) {
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

// estimateWaitFor estimates the time until a request of the backer and class that arrives now gets a slot.
func (p *pool) estimateWaitFor(backer string, class request.Class, now time.Time) time.Duration {
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

// estimateWait estimates the time until a request at the end of the queue gets a slot.
func (p *pool) estimateWait(now time.Time) time.Duration { return p.load(now).Wait() }

// load returns the load that a request at the end of the queue faces. If the pool has been full for the whole window of
// the rate meter, the mean run time is derived from the completion rate: the mean of completed runs would be too low,
// since long runs occupy slots but complete rarely. Otherwise the value derived from the rate is only an upper bound.
func (p *pool) load(now time.Time) retry.Load {
	mean := p.meanRunTime
	if rate := p.completions.perSecond(now); rate > 0 {
		byRate := time.Duration(float64(p.slots) / rate * float64(time.Second))
		if now.Sub(p.lastFree) < 2*rateWindow {
			byRate = min(mean, byRate)
		}
		mean = byRate
	}
	return retry.Load{Ahead: p.queue.Len(), Slots: p.slots, Free: p.free(), MeanRun: mean}
}

// free returns the number of slots that the queue may grant.
func (p *pool) free() int { return max(p.slots+p.inUseOnUnusable()-p.queue.InUse(), 0) }

// recordCompletion updates the completion rate and the mean run time with a completed run.
func (p *pool) recordCompletion(took time.Duration, now time.Time) {
	p.completions.add(now)
	if p.meanRunTime == 0 {
		p.meanRunTime = took
		return
	}
	p.meanRunTime += time.Duration(meanRunTimeDecay * float64(took-p.meanRunTime))
}

// overflowLimiter limits how many waiting requests are offered to other pools at a time. The batch doubles while offers
// are accepted and drops to one after a rejection, so that a full pool is not flooded with offers.
type overflowLimiter struct {
	batch int
	next  time.Time
}

const (
	maxOverflowBatch = 32
	overflowBackoff  = 100 * time.Millisecond
)

func (g *overflowLimiter) record(now time.Time, accepted bool) {
	if accepted {
		g.batch = min(2*g.batch, maxOverflowBatch)
		return
	}
	g.batch, g.next = 1, now.Add(overflowBackoff)
}

// rateMeter measures an event rate over the current and the previous window.
type rateMeter struct {
	start             time.Time
	current, previous int
}

const rateWindow = 2 * time.Second

func (r *rateMeter) rotate(now time.Time) {
	switch age := now.Sub(r.start); {
	case age < rateWindow:
	case age < 2*rateWindow:
		r.previous, r.current, r.start = r.current, 0, r.start.Add(rateWindow)
	default:
		r.previous, r.current, r.start = 0, 0, now
	}
}

func (r *rateMeter) add(now time.Time) {
	r.rotate(now)
	r.current++
}

func (r *rateMeter) perSecond(now time.Time) float64 {
	r.rotate(now)
	span := now.Sub(r.start) + rateWindow
	return float64(r.previous+r.current) / span.Seconds()
}
