// Package dispatch runs the pools that an entry owns: it keeps their queues and the slots in use, and
// grants slots to the goroutines that carry requests.
//
// One goroutine owns all state. Traffic goroutines talk to it through functions sent over a channel, so
// no decision sees a half-applied change.
package dispatch

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"samphirepoint/fairqueue"
	"samphirepoint/instance"
	"samphirepoint/outlier"
	"samphirepoint/placement"
	"samphirepoint/request"
	"samphirepoint/runtimes"
	"samphirepoint/verdict"
	"samphirepoint/worker"
)

const (
	// tickInterval bounds the delay of expiry, reclassification and outlier decisions.
	tickInterval = 50 * time.Millisecond
	// foreignPeriod is the time for which a worker's refusal counts as a slot used by another owner.
	foreignPeriod = 500 * time.Millisecond
	// overflowAfter is the wait after which a request may try another pool of its queue.
	overflowAfter = 100 * time.Millisecond
)

// ErrOverflow tells the caller of Acquire that the request waited for overflowAfter and may try
// another pool. The request is no longer queued.
var ErrOverflow = errors.New("no slot in time, another pool may have one")

// ErrBusy refuses a request that asked for a slot without waiting.
var ErrBusy = errors.New("no free slot")

// Policies creates the decision policies of a pool.
type Policies struct {
	Queue     func() fairqueue.Policy
	Placement func() placement.Policy
}

// Config sets up a Scheduler.
type Config struct {
	Zone     string
	Policies Policies
	Log      zerolog.Logger
	// Now is the clock; tests replace it.
	Now func() time.Time
}

// Wish says how a request wants its slot.
type Wish struct {
	Request *request.Request
	// Exclude names workers on which the request failed.
	Exclude []string
	// NoWait asks for a slot at once or ErrBusy.
	NoWait bool
	// MayOverflow asks for ErrOverflow instead of a longer wait.
	MayOverflow bool
	// MaxQueue bounds the waiting requests of the pool.
	MaxQueue int
}

// Scheduler owns the queues and slots of pools.
type Scheduler struct {
	cfg      Config
	actions  chan func()
	pools    map[string]*pool
	times    *runtimes.Store
	stopped  chan struct{}
	snapshot snapshotHolder
}

// New returns a Scheduler; Run must be running before other methods are called.
func New(cfg Config) *Scheduler {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Scheduler{
		cfg:     cfg,
		actions: make(chan func(), 256),
		pools:   map[string]*pool{},
		times:   runtimes.NewStore(),
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

// Acquire waits for a slot. The error is ErrOverflow, ErrBusy, or has verdict NotRun.
func (s *Scheduler) Acquire(ctx context.Context, w Wish) (*Grant, error) {
	t := &ticket{wish: w, ready: make(chan result, 1), since: s.cfg.Now()}
	if !s.do(func() { s.enqueue(t) }) {
		return nil, verdict.Unavailable(time.Second, "entry is shutting down")
	}
	select {
	case r := <-t.ready:
		return r.grant, r.err
	case <-ctx.Done():
		return s.withdraw(ctx, t)
	}
}

// withdraw takes a ticket back after its caller gave up. A grant that was made meanwhile is returned to
// the pool, so the request did not run in either case.
func (s *Scheduler) withdraw(ctx context.Context, t *ticket) (*Grant, error) {
	s.do(func() { s.remove(t) })
	select {
	case r := <-t.ready:
		if r.grant != nil {
			r.grant.Release(Result{Outcome: NotSent})
		}
	case <-s.stopped:
	}
	if errors.Is(context.Cause(ctx), verdict.ErrCancelled) {
		return nil, verdict.New(verdict.NotRun, http.StatusConflict, "cancelled by the caller while waiting")
	}
	return nil, verdict.WithRetryAfter(verdict.New(verdict.NotRun, http.StatusGatewayTimeout, "deadline passed while waiting for a slot"), time.Second)
}

// SetFleet tells the workers of the pools this entry owns and which of them are leaving.
// Pools that are not in owned keep their running requests but refuse what waits.
func (s *Scheduler) SetFleet(owned map[string][]instance.Instance, leaving map[string]bool) {
	s.do(func() { s.setFleet(owned, leaving) })
}

// SetShares replaces weights and limits per pool and backer.
func (s *Scheduler) SetShares(shares map[string]map[string]fairqueue.Share) {
	s.do(func() {
		for name, p := range s.pools {
			p.queue.SetShares(shares[name])
			s.pump(p)
		}
	})
}

// Client returns the client of a worker, or nil if the worker is unknown.
func (s *Scheduler) Client(workerID string) *worker.Client {
	found := make(chan *worker.Client, 1)
	ok := s.do(func() {
		for _, p := range s.pools {
			if m, ok := p.members[workerID]; ok {
				found <- m.client
				return
			}
		}
		found <- nil
	})
	if !ok {
		return nil
	}
	select {
	case c := <-found:
		return c
	case <-s.stopped:
		return nil
	}
}

func (s *Scheduler) setFleet(owned map[string][]instance.Instance, leaving map[string]bool) {
	for name, members := range owned {
		p, ok := s.pools[name]
		if !ok {
			p = newPool(name, s.cfg.Policies, outlier.New())
			s.pools[name] = p
		}
		p.owned = true
		p.setMembers(members, leaving, s.cfg.Now())
	}
	for name, p := range s.pools {
		if _, ok := owned[name]; !ok {
			s.disown(p)
		}
		s.pump(p)
	}
	s.publish()
}

// disown refuses everything that waits in a pool another entry owns now; the receivers submit it there.
func (s *Scheduler) disown(p *pool) {
	p.owned = false
	for id, t := range p.waiting {
		p.queue.Remove(id)
		delete(p.waiting, id)
		t.ready <- result{err: errNotOwner(p.name)}
	}
	if len(p.running) == 0 {
		p.close()
		delete(s.pools, p.name)
	}
}

// errNotOwner tells a receiver to submit the request to the current owner.
func errNotOwner(pool string) error {
	return verdict.Wrap(ErrNotOwner, verdict.NotRun, http.StatusMisdirectedRequest)
}

// ErrNotOwner reports that this entry does not own the pool.
var ErrNotOwner = errors.New("this entry does not own the pool")
