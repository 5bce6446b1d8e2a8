// Package dispatch schedules requests onto the worker slots of the pools that an entry owns. It keeps the queues,
// tracks the slots in use and grants slots to the goroutines that serve requests.
//
// One goroutine owns all state. Other goroutines access it by sending functions over a channel, so that no
// decision is based on a partially applied change.
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
	// tickInterval is the maximum delay of expiry, reclassification and outlier decisions.
	tickInterval = 50 * time.Millisecond
	// usedByOthersPeriod is the time for which slots of a worker that refused a request count as used by another owner.
	usedByOthersPeriod = 500 * time.Millisecond
	// unreachableBackoffMin and unreachableBackoffMax bound the time for which an unreachable worker gets no requests.
	unreachableBackoffMin = 250 * time.Millisecond
	unreachableBackoffMax = 2 * time.Second
	// overflowAfter is the time in the queue after which a request may try another pool.
	overflowAfter = 100 * time.Millisecond
	// latencyDecay is the weight of a new sample in a worker's relative latency.
	latencyDecay = 0.1
	// meanRunTimeDecay is the weight of a new sample in a pool's mean run time.
	meanRunTimeDecay = 0.1
)

var (
	// ErrOverflow reports to the caller of Acquire that the request has waited for overflowAfter and
	// may try another pool. The request is no longer queued.
	ErrOverflow = errors.New("no slot became free in time; another pool may have one")
	// errWithdrawn ends the wait of a request whose caller has given up.
	errWithdrawn = errors.New("request was withdrawn from the queue")
	// ErrNotOwner reports that this entry does not own the pool.
	ErrNotOwner = errors.New("this entry does not own the pool")
)

// Policies holds the constructors of a pool's queueing and placement policies.
type Policies struct {
	Queue     func() fairqueue.Policy
	Placement func() placement.Policy
}

// Config sets up a Scheduler.
type Config struct {
	Zone     string
	Policies Policies
	// Network carries the connections to workers; nil means the host's network.
	Network network.Network
	Log     zerolog.Logger
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
}

// SlotRequest describes the slot that a request needs and how long it may wait for it.
type SlotRequest struct {
	Request *request.Request
	// Exclude lists the IDs of workers on which the request has failed.
	Exclude []string
	// NoWait rejects the request unless a slot is free immediately.
	NoWait bool
	// MayOverflow allows Acquire to return ErrOverflow after overflowAfter instead of waiting longer.
	MayOverflow bool
	// MaxQueue is the maximum number of waiting requests in the pool; 0 means no limit.
	MaxQueue int
	// Force serves the request even if this entry does not own the pool according to its own snapshot.
	Force bool
}

// Fleet is the part of the entry's snapshots that the scheduler uses.
type Fleet struct {
	// Pools maps pools to their instance rows.
	Pools map[string][]instance.Instance
	// Owned is the set of pools that this entry owns.
	Owned map[string]bool
	// Leaving reports whether a worker is draining and accepts no new requests.
	Leaving func(workerID string) bool
	// Shares maps owned pools to the weights and limits of their backers.
	Shares map[string]map[string]fairqueue.Share
	// Applied, if set, is called when no further request will be placed using an older snapshot.
	Applied func()
}

// Scheduler owns the queues and slots of the pools that this entry serves.
type Scheduler struct {
	cfg      Config
	actions  chan func()
	fleet    Fleet
	pools    map[string]*pool
	runTimes *runtimes.Tracker
	sequence uint64
	random   *rand.Rand
	stopped  chan struct{}
}

// New returns a Scheduler. Its other methods may be called only while Run is running.
func New(cfg Config) *Scheduler {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Scheduler{
		cfg:      cfg,
		actions:  make(chan func(), 256),
		fleet:    Fleet{Leaving: func(string) bool { return false }},
		pools:    map[string]*pool{},
		runTimes: runtimes.New(runtimes.DefaultMaxKeys),
		random:   rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		stopped:  make(chan struct{}),
	}
}

// Run executes all operations on the scheduler's state until ctx ends.
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

// post runs f in the goroutine of Run without waiting for it. It returns false after Run has ended.
func (s *Scheduler) post(f func()) bool {
	select {
	case s.actions <- f:
		return true
	case <-s.stopped:
		return false
	}
}

// call runs f in the goroutine of Run and waits for it to return. It returns false if Run has ended.
func (s *Scheduler) call(f func()) bool {
	done := make(chan struct{})
	if !s.post(func() { f(); close(done) }) {
		return false
	}
	select {
	case <-done:
		return true
	case <-s.stopped:
		return false
	}
}

// Acquire waits for a slot. Every error has verdict NotRun or wraps ErrOverflow.
func (s *Scheduler) Acquire(ctx context.Context, req SlotRequest) (*Grant, error) {
	a := &acquisition{request: req, ready: make(chan result, 1)}
	if !s.post(func() { s.enqueue(a) }) {
		return nil, verdict.Unavailable(time.Second, "entry is shutting down")
	}
	select {
	case r := <-a.ready:
		return r.grant, r.err
	case <-ctx.Done():
		return nil, s.withdraw(ctx, a)
	case <-s.stopped:
		return nil, verdict.Unavailable(time.Second, "entry is shutting down")
	}
}

// withdraw removes a request from the queue after its caller has given up. A slot granted in the meantime is returned
// to the pool, so the request has not run in either case.
func (s *Scheduler) withdraw(ctx context.Context, a *acquisition) error {
	s.post(func() { s.remove(a) })
	select {
	case r := <-a.ready:
		if r.grant != nil {
			r.grant.Release(Result{Outcome: NotSent})
		}
		if errors.Is(r.err, ErrOverflow) {
			// The request has counted as running in another pool since it left the queue.
			s.post(func() { s.endOverflow(a.request.Request.Pool, a.request.Request.Backer) })
		}
	case <-s.stopped:
	}
	if errors.Is(context.Cause(ctx), verdict.ErrCancelled) {
		return verdict.Wrap(verdict.ErrCancelled, verdict.NotRun, http.StatusConflict)
	}
	return verdict.WithRetryAfter(verdict.New(verdict.NotRun, http.StatusGatewayTimeout, "deadline passed while waiting for a slot"), time.Second)
}

// SetFleet applies new snapshots without waiting. Requests that wait in a pool now owned by another entry fail with
// ErrNotOwner, so that the receiving entries submit them to the new owner; running requests continue.
func (s *Scheduler) SetFleet(f Fleet) {
	s.post(func() {
		s.fleet = f
		now := s.cfg.Now()
		for name, p := range s.pools {
			p.setMembers(f.Pools[name], f.Leaving, now)
			p.queue.SetShares(f.Shares[name])
			p.owned = f.Owned[name]
			if !p.owned {
				s.releaseOwnership(p)
			}
			s.grantFreeSlots(p)
		}
		if f.Applied != nil {
			f.Applied()
		}
	})
}

// releaseOwnership rejects the requests that wait in a pool now owned by another entry, except those with Force,
// which were sent here on purpose. It closes the pool once nothing waits or runs in it.
func (s *Scheduler) releaseOwnership(p *pool) {
	for id, a := range p.waiting {
		if a.request.Force {
			continue
		}
		p.queue.Remove(id)
		delete(p.waiting, id)
		a.ready <- result{err: errNotOwner(p.name)}
	}
	if len(p.running) == 0 && len(p.waiting) == 0 {
		p.close()
		delete(s.pools, p.name)
	}
}

func errNotOwner(pool string) error {
	return verdict.Wrap(ErrNotOwner, verdict.NotRun, http.StatusMisdirectedRequest)
}

// ensurePool returns the state of a pool and creates it if necessary.
func (s *Scheduler) ensurePool(name string) *pool {
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

func (s *Scheduler) enqueue(a *acquisition) {
	now := s.cfg.Now()
	r := a.request.Request
	p := s.ensurePool(r.Pool)
	if !p.owned && !a.request.Force {
		a.ready <- result{err: errNotOwner(r.Pool)}
		return
	}
	a.key = runtimes.Key{Queue: r.Queue, Backer: r.Backer, Kind: r.Kind}
	class := r.Class
	if class == request.Unclassified {
		class = s.runTimes.Class(a.key, 0, now)
	}
	if err := s.shed(p, a, class, now); err != nil {
		a.ready <- result{err: err}
		return
	}
	s.sequence++
	a.id = strconv.FormatUint(s.sequence, 36)
	a.since = now
	a.class = class
	a.estimate = s.runTimes.Estimate(a.key, 0, now)
	if class != request.Long {
		p.reserve.RecordArrival(now, a.estimate.Mean)
	}
	p.waiting[a.id] = a
	p.queue.Push(fairqueue.Item{ID: a.id, Backer: r.Backer, Class: class, Arrived: r.Received, Deadline: r.Deadline})
	s.grantFreeSlots(p)
	if a.request.NoWait {
		s.rejectIfWaiting(p, a)
	}
}

// shed rejects a request early if the queue is full or the estimated wait exceeds its deadline. The estimate is not
// applied in a pool without usable workers, since its members may not be known yet. It is not applied to a retry either:
// its verdict can no longer be NotRun, and after a stall the estimate is too high.
func (s *Scheduler) shed(p *pool, a *acquisition, class request.Class, now time.Time) error {
	r := a.request.Request
	wait := p.estimateWaitFor(r.Backer, class, now)
	switch {
	case a.request.MaxQueue > 0 && p.queue.Len() >= a.request.MaxQueue:
		return s.overloaded(wait, "queue of pool "+p.name+" is full")
	case len(a.request.Exclude) == 0 && p.slots > 0 && retry.Shed(now, r.Deadline, wait):
		return s.overloaded(wait, "estimated wait for a slot in pool "+p.name+" exceeds the deadline")
	}
	return nil
}

func (s *Scheduler) overloaded(wait time.Duration, reason string) error {
	return verdict.WithRetryAfter(verdict.New(verdict.NotRun, http.StatusTooManyRequests, "%s", reason), retry.RetryAfter(s.random, wait))
}

// rejectIfWaiting rejects a request with NoWait that did not get a slot immediately.
func (s *Scheduler) rejectIfWaiting(p *pool, a *acquisition) {
	if _, waits := p.waiting[a.id]; !waits {
		return
	}
	p.queue.Remove(a.id)
	delete(p.waiting, a.id)
	a.ready <- result{err: s.overloaded(0, "no free slot in pool "+p.name)}
}

// remove takes a waiting request out of the queue. The result it sends tells withdraw that no grant follows.
func (s *Scheduler) remove(a *acquisition) {
	p, ok := s.pools[a.request.Request.Pool]
	if !ok {
		return
	}
	if _, waits := p.waiting[a.id]; !waits {
		return
	}
	p.queue.Remove(a.id)
	delete(p.waiting, a.id)
	a.ready <- result{err: errWithdrawn}
}
