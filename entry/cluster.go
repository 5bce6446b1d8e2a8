package entry

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"samphirepoint/filter"
	"samphirepoint/membership"
	"samphirepoint/retry"
)

// router implements filter.Router and filter.ClaimHolders from the member view.
type router struct{ e *Entry }

// Owner implements filter.Router. If the owner is in except, it is computed again among the other entries.
func (r router) Owner(pool string, except []string) (filter.Target, bool) {
	if r.e.cfg.Policies.Shares == "static-split" {
		return filter.Target{ID: r.e.cfg.ID, Self: true}, true
	}
	snapshot := r.e.gossip.Members()
	owner, ok := snapshot.Owner(pool)
	if ok && slices.Contains(except, owner.ID) {
		owner, ok = r.nextOwner(snapshot, pool, except)
	}
	if !ok {
		return filter.Target{}, false
	}
	return filter.Target{ID: owner.ID, Self: owner.ID == r.e.cfg.ID}, true
}

// nextOwner returns the owner of a pool among the members that are not in except.
func (r router) nextOwner(s *membership.Snapshot, pool string, except []string) (membership.Member, bool) {
	var candidates []membership.Member
	for _, m := range membership.Candidates(s.Alive()) {
		if !slices.Contains(except, m.ID) {
			candidates = append(candidates, m)
		}
	}
	region := ""
	if doc := r.e.Document(); doc != nil {
		if p, ok := doc.Pool(pool); ok {
			region = p.Region
		}
	}
	m, ok := membership.Owners([]membership.Pool{{Name: pool, Region: region}}, candidates)[pool]
	return m, ok
}

// recentHeartbeatMaxAge is the age of a heartbeat up to which a member is considered running although it cannot be
// reached.
const recentHeartbeatMaxAge = 1500 * time.Millisecond

// Relay implements filter.Router: any other live member that is not leaving.
func (r router) Relay(target filter.Target, except []string) (filter.Target, bool) {
	id, ok := relay(r.e.gossip.Members(), target.ID, except, time.Now())
	return filter.Target{ID: id}, ok
}

// relay returns a member that can forward a request to target, which has a recent heartbeat but cannot be reached from the
// entry itself. A leaving member is none, since it may reject the request.
func relay(s *membership.Snapshot, target string, except []string, now time.Time) (string, bool) {
	if m, ok := s.Member(target); !ok || now.Sub(m.HeartbeatAt) > recentHeartbeatMaxAge {
		return "", false
	}
	for _, m := range s.Alive() {
		if !m.Leaving && m.ID != s.Self && m.ID != target && !slices.Contains(except, m.ID) {
			return m.ID, true
		}
	}
	return "", false
}

// Suspect implements filter.Router.
func (r router) Suspect(ctx context.Context, target filter.Target) bool {
	alive := r.e.gossip.Probe(context.WithoutCancel(ctx), target.ID)
	if !alive {
		r.e.control.wake()
	}
	return alive
}

// Holder implements filter.ClaimHolders. A process is gone only if it was forgotten or replaced by a later start: a leaving
// entry completes its requests, and a suspect one may only have been slow to answer a ping.
func (r router) Holder(owner string) (filter.Target, bool) {
	id, started, ok := splitProcessName(owner)
	if owner == r.e.processName() {
		return filter.Target{ID: id, Self: true}, true
	}
	m, known := r.e.gossip.Members().Member(id)
	return filter.Target{ID: id}, ok && known && id != r.e.cfg.ID && m.Incarnation <= started
}

// splitProcessName returns the entry id and the incarnation in a process name, or false if the name is malformed.
func splitProcessName(name string) (id string, incarnation int64, ok bool) {
	id, started := filter.SplitOwner(name)
	at, err := time.Parse(time.RFC3339Nano, started)
	return id, at.UnixMilli(), err == nil
}

// cluster implements job.Cluster.
type cluster struct{ e *Entry }

// OwnedPools implements job.Cluster.
func (c cluster) OwnedPools() []string {
	if c.e.leaving.Load() || !c.e.Fresh(time.Now()) {
		return nil
	}
	return c.e.gossip.Members().Owned(c.e.cfg.ID)
}

// Alive implements job.Cluster: it reports whether this process keeps its jobs. A leaving entry does not: their tasks
// continue on the workers and are adopted by the next owner.
func (c cluster) Alive(owner string) bool {
	if owner == c.e.processName() {
		return true
	}
	id, started, ok := splitProcessName(owner)
	m, known := c.e.gossip.Members().Member(id)
	return ok && known && m.Status == membership.Alive && !m.Leaving && m.Incarnation == started
}

// peers implements forward.Peers.
type peers struct{ e *Entry }

// BaseURL implements forward.Peers.
func (p peers) BaseURL(id string) (string, bool) {
	m, ok := p.e.gossip.Members().Member(id)
	if !ok {
		return "", false
	}
	if p.e.cfg.PeerTLS.Enabled() {
		return "https://" + m.Address, true
	}
	return "http://" + m.Address, true
}

// Token implements forward.Peers.
func (p peers) Token() string { return p.e.tokens.PeerToken() }

// Self implements forward.Peers.
func (p peers) Self() string { return p.e.cfg.ID }

// Ping implements forward.Peers.
func (p peers) Ping(ctx context.Context, id string) bool { return p.e.pings.alive(ctx, id) }

// trackedForwarder records in the tracker where a request is forwarded, so that a cancel can be forwarded as well.
type trackedForwarder struct{ e *Entry }

// Forward implements filter.Forwarder.
func (t trackedForwarder) Forward(c *filter.Context, to filter.Target, o filter.ForwardOptions) (*filter.Answer, error) {
	if to.Self {
		return t.e.serveLocally(c, o)
	}
	t.e.tracker.setForwarded(c.Request.ID, to.ID)
	defer t.e.tracker.setForwarded(c.Request.ID, "")
	t.e.stats.forwarded.Inc(1)
	return t.e.forwarder.Forward(c, to, o)
}

// serveLocally runs the remaining filters for another pool that this entry owns itself.
func (e *Entry) serveLocally(c *filter.Context, o filter.ForwardOptions) (*filter.Answer, error) {
	local := c.ForPool(o)
	e.local.Serve(local)
	c.Sent = c.Sent || local.Sent
	return local.Answer, local.Err
}

// retries keeps the retry budget of each pool. It is safe for concurrent use.
type retries struct {
	mu    sync.Mutex
	rand  *rand.Rand
	pools map[string]*retry.Budget
}

func newRetries() *retries {
	return &retries{rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), pools: map[string]*retry.Budget{}}
}

func (r *retries) budget(pool string) *retry.Budget {
	b, ok := r.pools[pool]
	if !ok {
		b = retry.NewBudget()
		r.pools[pool] = b
	}
	return b
}

// Decide implements filter.Retries.
func (r *retries) Decide(now time.Time, pool string, a retry.Attempt) retry.Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	return retry.Policy{Budget: r.budget(pool), Rand: r.rand}.Decide(now, a)
}

// Success implements filter.Retries.
func (r *retries) Success(now time.Time, pool string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget(pool).Success(now)
}

// pings shares one ping per entry among all requests that wait for its result.
type pings struct {
	probe func(ctx context.Context, id string) bool
	mu    sync.Mutex
	last  map[string]*ping
}

type ping struct {
	at   time.Time
	done chan struct{}
	ok   bool
}

// pingResultMaxAge is the age up to which the result of a ping is reused.
const pingResultMaxAge = 500 * time.Millisecond

func newPings(probe func(ctx context.Context, id string) bool) *pings {
	return &pings{probe: probe, last: map[string]*ping{}}
}

// alive reports whether the entry answers a ping. Calls within pingResultMaxAge share the result of one ping. If ctx ends
// first, the entry counts as alive.
func (p *pings) alive(ctx context.Context, id string) bool {
	p.mu.Lock()
	current, ok := p.last[id]
	if !ok || time.Since(current.at) > pingResultMaxAge {
		current = &ping{at: time.Now(), done: make(chan struct{})}
		p.last[id] = current
		go func() {
			current.ok = p.probe(context.Background(), id)
			close(current.done)
		}()
	}
	p.mu.Unlock()
	select {
	case <-current.done:
		return current.ok
	case <-ctx.Done():
		return true
	}
}
