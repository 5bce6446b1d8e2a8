package filter

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"samphirepoint/auth"
	"samphirepoint/claim"
	"samphirepoint/dispatch"
	"samphirepoint/fairqueue"
	"samphirepoint/instance"
	"samphirepoint/placement"
	"samphirepoint/request"
	"samphirepoint/retry"
	"samphirepoint/services/memtable"
	"samphirepoint/standin/workerd"
	"samphirepoint/table"
	"samphirepoint/verdict"
)

// harness is a filter chain with a real scheduler and stand-in workers, and with fakes for the other entries.
type harness struct {
	t         *testing.T
	chain     Chain
	table     *memtable.Table
	claims    *claim.Store
	scheduler *dispatch.Scheduler
	workers   []*workerd.Server
	router    *fakeRouter
	peers     *fakePeers
	dedup     *Deduplication

	mu      sync.Mutex
	cancels map[string]context.CancelCauseFunc
}

// fakeRouter returns the owners that a test sets; this entry owns all pools without one.
type fakeRouter struct {
	mu       sync.Mutex
	owners   map[string][]string
	alive    map[string]bool
	suspects []string
}

func (r *fakeRouter) Owner(pool string, except []string) (Target, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range r.owners[pool] {
		skip := false
		for _, e := range except {
			skip = skip || e == id
		}
		if !skip {
			return Target{ID: id}, true
		}
	}
	return Target{ID: "self", Self: true}, true
}

func (r *fakeRouter) Relay(Target, []string) (Target, bool) { return Target{}, false }

func (r *fakeRouter) Suspect(_ context.Context, t Target) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.suspects = append(r.suspects, t.ID)
	return false
}

func (r *fakeRouter) Holder(owner string) (Target, bool) {
	return Target{ID: owner, Self: owner == "self"}, owner == "self" || r.alive[owner]
}

// fakePeers is a Forwarder that answers with a function of the test.
type fakePeers struct {
	mu     sync.Mutex
	calls  int
	answer func(c *Context, to Target, o ForwardOptions) (*Answer, error)
}

func (p *fakePeers) Forward(c *Context, to Target, o ForwardOptions) (*Answer, error) {
	p.mu.Lock()
	p.calls++
	f := p.answer
	p.mu.Unlock()
	return f(c, to, o)
}

// rejectNoSlot rejects an overflow because no slot is free.
func rejectNoSlot(*Context, Target, ForwardOptions) (*Answer, error) {
	return nil, verdict.New(verdict.NotRun, http.StatusTooManyRequests, "no free slot")
}

// unlimitedRetries is retry.Policy without a budget. It is also a LeavingRecorder that records nothing.
type unlimitedRetries struct{}

func (unlimitedRetries) Decide(now time.Time, _ string, a retry.Attempt) retry.Decision {
	return retry.Policy{Rand: rand.New(rand.NewPCG(1, 1))}.Decide(now, a)
}

func (unlimitedRetries) Success(time.Time, string) {}

func (unlimitedRetries) MarkLeaving(string) {}

func newHarness(t *testing.T, workers, slots int) *harness {
	t.Helper()
	w := &harness{t: t, table: memtable.New(), cancels: map[string]context.CancelCauseFunc{},
		router: &fakeRouter{owners: map[string][]string{}, alive: map[string]bool{}}, peers: &fakePeers{answer: rejectNoSlot}}
	w.claims = claim.NewStore(w.table, &memtable.Objects{}, "self")
	w.scheduler = dispatch.New(dispatch.Config{Log: zerolog.Nop(), Policies: dispatch.Policies{
		Queue:     func() fairqueue.Policy { return fairqueue.NewWeighted() },
		Placement: func() placement.Policy { return placement.LeastLoaded{Rand: rand.New(rand.NewPCG(1, 2))} },
	}})
	w.start()
	fleet := dispatch.Fleet{Pools: map[string][]instance.Instance{}, Owned: map[string]bool{"p": true, "o": true}, Leaving: func(string) bool { return false }}
	for i := range workers {
		s := workerd.New(workerd.Options{ID: fmt.Sprint("w", i), Slots: slots})
		NewWithT(t).Expect(s.Start("127.0.0.1:0")).To(Succeed())
		t.Cleanup(s.Close)
		w.workers = append(w.workers, s)
		fleet.Pools["p"] = append(fleet.Pools["p"], instance.Instance{ID: fmt.Sprint("w", i), Address: s.Address(), Slots: slots, State: instance.Serving})
	}
	w.scheduler.SetFleet(fleet)
	route := Route{Router: w.router, Forwarder: w.peers}
	queue := Queue{Slots: w.scheduler, Route: route, Router: w.router, Forwarder: w.peers}
	w.dedup = NewDeduplication()
	w.chain = Chain{Identification{EntryID: "self", Track: w.track}, w.dedup, route, queue,
		Claims{Store: w.claims, Holders: w.router, Forwarder: w.peers, InFlight: w.dedup}, NewDispatch("self", queue, unlimitedRetries{}, unlimitedRetries{})}
	return w
}

func (w *harness) start() {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Add(2)
	go func() { defer running.Done(); w.claims.Run(ctx) }()
	go func() { defer running.Done(); _ = w.scheduler.Run(ctx) }()
	w.t.Cleanup(func() { cancel(); running.Wait() })
}

func (w *harness) track(c *Context, cancel context.CancelCauseFunc) (func(), bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancels[c.Request.ID] = cancel
	return func() {}, true
}

func (w *harness) cancel(id string, cause error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancels[id](cause)
}

// testRequest describes a request of a test.
type testRequest struct {
	id, key, body string
	headers       map[string]string
	ctx           context.Context
	forwarded     bool
}

func (w *harness) context(s testRequest) *Context {
	r := httptest.NewRequest(http.MethodPost, "/", io.NopCloser(bytes.NewReader([]byte(s.body))))
	h := r.Header
	if s.id != "" {
		h.Set(request.HeaderRequestID, s.id)
	}
	if s.key != "" {
		h.Set(request.HeaderIdempotencyKey, s.key)
		h.Set(request.HeaderIdempotent, "false")
	}
	if s.forwarded {
		h.Set(request.HeaderBacker, "b")
		h.Set(request.HeaderPool, "p")
		h.Set(request.HeaderHops, "1")
		h.Set(request.HeaderVisited, "peer")
	}
	for k, v := range s.headers {
		h.Set(k, v)
	}
	if s.ctx == nil {
		s.ctx = context.Background()
	}
	return &Context{
		Ctx: s.ctx, HTTP: r, Writer: httptest.NewRecorder(), QueueName: "q", Principal: auth.Principal{Name: "b", Role: auth.RoleBacker}, Forwarded: s.forwarded,
		Document: &table.Document{Backers: []table.Backer{{Name: "b"}}, Queues: []table.Queue{{Name: "q", Pools: []string{"p", "o"}}}},
		Log:      zerolog.Nop(),
	}
}

func (w *harness) serve(s testRequest) *Context {
	c := w.context(s)
	w.chain.Serve(c)
	return c
}

// begin serves a request in the background and sends the result on the returned channel.
func (w *harness) begin(s testRequest) <-chan *Context {
	done := make(chan *Context, 1)
	c := w.context(s)
	go func() { w.chain.Serve(c); done <- c }()
	return done
}

// starts returns the number of runs that all workers started.
func (w *harness) starts() int {
	n := 0
	for _, s := range w.workers {
		for _, e := range s.Journal(0) {
			if e.Kind == workerd.Start {
				n++
			}
		}
	}
	return n
}

// inUse returns the number of slots in use in pool p.
func (w *harness) inUse() int { return w.scheduler.Usage()["p"].InUse }
