// Package dispatch runs the pools that an entry owns: it keeps their queues and the slots in use, and
// grants slots to the goroutines that carry requests.
//
// One goroutine owns all state. Traffic goroutines talk to it through functions sent over a channel, so
// no decision sees a half-applied change.
package dispatch

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"samphirepoint/fairqueue"
	"samphirepoint/instance"
	"samphirepoint/network"
	"samphirepoint/placement"
	"samphirepoint/request"
	"samphirepoint/retry"
	"samphirepoint/runtimes"
	"samphirepoint/verdict"
)

const (
	// tickInterval bounds the delay of expiry, reclassification and outlier decisions.
	tickInterval = 50 * time.Millisecond
	// foreignPeriod is the time for which a worker's refusal counts as a slot used by another owner.
	foreignPeriod = 500 * time.Millisecond
	// unreachablePauseMin and unreachablePauseMax bound the time for which a worker that can't be reached gets no work.
	unreachablePauseMin = 250 * time.Millisecond
	unreachablePauseMax = 2 * time.Second
	// overflowAfter is the wait after which a request may try another pool of its queue.
	overflowAfter = 100 * time.Millisecond
	// latencyDecay is the weight of a new run time in a worker's relative latency.
	latencyDecay = 0.1
	// meanRunDecay is the weight of a new run time in the mean of a pool.
	meanRunDecay = 0.1
)

var (
	// ErrOverflow tells the caller of Acquire that the request waited long and may try
	// another pool. The request is no longer queued.
	ErrOverflow = errors.New("no slot in time, another pool may have one")
	// errWithdrawn ends the wait of a ticket whose caller gave up.
	errWithdrawn = errors.New("request does not wait any more")
	// ErrNotOwner reports that this entry does not own the pool.
	ErrNotOwner = errors.New("this entry does not own the pool")
)

// Policies creates the decision policies of a pool.
type Policies struct {
	Queue     func() fairqueue.Policy
	Placement func() placement.Policy
}

// Config sets up a Scheduler.
type Config struct {
	Zone     string
	Policies Policies
	// Network carries the connections to workers; nil is that of the machine.
	Network network.Network
	Log     zerolog.Logger
	// Now is the clock; tests replace it.
	Now func() time.Time
}

// SlotRequest says how a request wants its slot.
type SlotRequest struct {
	Request *request.Request
	// Exclude names workers on which the request failed.
	Exclude []string
	// NoWait asks for a slot at once or a refusal.
	NoWait bool
	// MayOverflow asks for ErrOverflow instead of a longer wait.
	MayOverflow bool
	// MaxQueue bounds the waiting requests of the pool; 0 means no bound.
	MaxQueue int
	// Force serves the request even if this entry does not own the pool in its own view.
	Force bool
}

// Fleet is the part of the entry's snapshots that the scheduler works from.
type Fleet struct {
	// Pools holds the instance rows per pool.
	Pools map[string][]instance.Instance
	// Owned names the pools that this entry owns.
	Owned map[string]bool
	// Leaving reports workers that take no new work.
	Leaving func(workerID string) bool
	// Shares holds weights and limits per backer, per owned pool.
	Shares map[string]map[string]fairqueue.Share
	// Applied, if set, is called once no request is placed by an older snapshot any more.
	Applied func()
}

// Scheduler owns the queues and slots of pools.
type Scheduler struct {
	cfg      Config
	actions  chan func()
	fleet    Fleet
	pools    map[string]*pool
	times    *runtimes.Tracker
	sequence uint64
	random   *rand.Rand
	stopped  chan struct{}
}

// New returns a Scheduler; Run must be running before other methods are called.
func New(cfg Config) *Scheduler {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Scheduler{
		cfg:     cfg,
		actions: make(chan func(), 256),
		fleet:   Fleet{Leaving: func(string) bool { return false }},
		pools:   map[string]*pool{},
		times:   runtimes.New(runtimes.DefaultMaxKeys),
		random:  rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		stopped: make(chan struct{}),
	}
}

// Run owns the state until ctx ends.
func (s *Scheduler) Run(ctx context.Context) error {
	defer close(s.stopped)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case f := <-s.actions:
			f()
		case <-ticker.C:
			s.tick()
		}
	}
}

// do runs f in the owning goroutine without waiting for it. It reports false after Run has ended.
func (s *Scheduler) do(f func()) bool {
	select {
	case s.actions <- f:
		return true
	case <-s.stopped:
		return false
	}
}

// ask runs f in the owning goroutine and waits for it.
func (s *Scheduler) ask(f func()) bool {
	done := make(chan struct{})
	if !s.do(func() { f(); close(done) }) {
		return false
	}
	select {
	case <-done:
		return true
	case <-s.stopped:
		return false
	}
}

// Acquire waits for a slot. Every error has verdict NotRun, or is ErrOverflow.
func (s *Scheduler) Acquire(ctx context.Context, w SlotRequest) (*Grant, error) {
	t := &ticket{wish: w, ready: make(chan result, 1)}
	if !s.do(func() { s.enqueue(t) }) {
		return nil, verdict.Unavailable(time.Second, "entry is shutting down")
	}
	select {
	case r := <-t.ready:
		return r.grant, r.err
	case <-ctx.Done():
		return nil, s.withdraw(ctx, t)
	case <-s.stopped:
		return nil, verdict.Unavailable(time.Second, "entry is shutting down")
	}
}

// withdraw takes a ticket back after its caller gave up. A grant that was made meanwhile is returned to
// the pool, so the request did not run in either case.
func (s *Scheduler) withdraw(ctx context.Context, t *ticket) error {
	s.do(func() { s.remove(t) })
	select {
	case r := <-t.ready:
		if r.grant != nil {
			r.grant.Release(Result{Outcome: NotSent})
		}
		if errors.Is(r.err, ErrOverflow) {
			// The ticket counts as running elsewhere from the moment it left the queue.
			s.do(func() { s.endAway(t.wish.Request.Pool, t.wish.Request.Backer) })
		}
	case <-s.stopped:
	}
	if errors.Is(context.Cause(ctx), verdict.ErrCancelled) {
		return verdict.Wrap(verdict.ErrCancelled, verdict.NotRun, http.StatusConflict)
	}
	return verdict.WithRetryAfter(verdict.New(verdict.NotRun, http.StatusGatewayTimeout, "deadline passed while waiting for a slot"), time.Second)
}

// SetFleet takes over new snapshots. Requests that wait in a pool that another entry owns now are refused
// with ErrNotOwner, so that the receivers submit them there; running ones go on. It does not wait.
func (s *Scheduler) SetFleet(f Fleet) {
	s.do(func() {
		s.fleet = f
		now := s.cfg.Now()
		for name, p := range s.pools {
			p.setMembers(f.Pools[name], f.Leaving, now)
			p.queue.SetShares(f.Shares[name])
			p.owned = f.Owned[name]
			if !p.owned {
				s.disown(p)
			}
			s.pump(p)
		}
		if f.Applied != nil {
			f.Applied()
		}
	})
}

// disown refuses what waits in a pool that another entry owns, except requests that were sent
// here on purpose.
func (s *Scheduler) disown(p *pool) {
	for id, t := range p.waiting {
		if t.wish.Force {
			continue
		}
		p.queue.Remove(id)
		delete(p.waiting, id)
		t.ready <- result{err: errNotOwner(p.name)}
	}
	if len(p.running) == 0 && len(p.waiting) == 0 {
		p.close()
		delete(s.pools, p.name)
	}
}

func errNotOwner(pool string) error {
	return verdict.Wrap(ErrNotOwner, verdict.NotRun, http.StatusMisdirectedRequest)
}

// poolByName returns the state of a pool, creating it for its first request.
func (s *Scheduler) poolByName(name string) *pool {
	p, ok := s.pools[name]
	if !ok {
		p = newPool(name, s.cfg)
		p.owned = s.fleet.Owned[name]
		p.queue.SetShares(s.fleet.Shares[name])
		p.setMembers(s.fleet.Pools[name], s.fleet.Leaving, s.cfg.Now())
		s.pools[name] = p
	}
	return p
}

func (s *Scheduler) enqueue(t *ticket) {
	now := s.cfg.Now()
	r := t.wish.Request
	p := s.poolByName(r.Pool)
	if !p.owned && !t.wish.Force {
		t.ready <- result{err: errNotOwner(r.Pool)}
		return
	}
	t.key = runtimes.Key{Queue: r.Queue, Backer: r.Backer, Kind: r.Kind}
	class := r.Class
	if class == request.Unclassified {
		class = s.times.Class(t.key, 0, now)
	}
	if err := s.shed(p, t, class, now); err != nil {
		t.ready <- result{err: err}
		return
	}
	s.sequence++
	t.id = strconv.FormatUint(s.sequence, 36)
	t.since = now
	t.class = class
	t.estimate = s.times.Estimate(t.key, 0, now)
	if class != request.Long {
		p.reserve.Arrive(now, t.estimate.Mean)
	}
	p.waiting[t.id] = t
	p.queue.Push(fairqueue.Item{ID: t.id, Backer: r.Backer, Class: class, Arrived: r.Received, Deadline: r.Deadline})
	s.pump(p)
	if t.wish.NoWait {
		s.refuseWaiting(p, t)
	}
}

// shed refuses a request early if the queue is full or the wait would outlast its deadline. A pool without
// usable workers keeps its requests, since its members may not be known yet. The estimate is not applied to a repeat: its
// caller cannot be told any more that the work did not run, and after a stall the estimate is too high.
func (s *Scheduler) shed(p *pool, t *ticket, class request.Class, now time.Time) error {
	r := t.wish.Request
	wait := p.waitOf(r.Backer, class, now)
	switch {
	case t.wish.MaxQueue > 0 && p.queue.Len() >= t.wish.MaxQueue:
		return s.overloaded(wait, "queue of pool "+p.name+" is full")
	case len(t.wish.Exclude) == 0 && p.slots > 0 && retry.Shed(now, r.Deadline, wait):
		return s.overloaded(wait, "the wait for a slot in pool "+p.name+" would outlast the deadline")
	}
	return nil
}

func (s *Scheduler) overloaded(wait time.Duration, why string) error {
	return verdict.WithRetryAfter(verdict.New(verdict.NotRun, http.StatusTooManyRequests, "%s", why), retry.RetryAfter(s.random, wait))
}

// refuseWaiting ends the wait of a ticket that asked for a slot at once.
func (s *Scheduler) refuseWaiting(p *pool, t *ticket) {
	if _, waits := p.waiting[t.id]; !waits {
		return
	}
	p.queue.Remove(t.id)
	delete(p.waiting, t.id)
	t.ready <- result{err: s.overloaded(0, "no free slot in pool "+p.name)}
}

// remove takes a waiting ticket out; the answer tells withdraw that no grant follows.
func (s *Scheduler) remove(t *ticket) {
	p, ok := s.pools[t.wish.Request.Pool]
	if !ok {
		return
	}
	if _, waits := p.waiting[t.id]; !waits {
		return
	}
	p.queue.Remove(t.id)
	delete(p.waiting, t.id)
	t.ready <- result{err: errWithdrawn}
}
