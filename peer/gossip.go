// Package peer implements the communication between entries: gossip of members, versions, leaving workers and demand, and
// transfer of configuration documents and fleet snapshots. Calls are twirp over HTTP.
package peer

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"samphirepoint/auth"
	"samphirepoint/instance"
	"samphirepoint/limit"
	"samphirepoint/membership"
	"samphirepoint/network"
	"samphirepoint/peer/peerpb"
	"samphirepoint/services"
	"samphirepoint/table"
)

// Defaults of Config (section 3.9 of the design document).
const (
	DefaultInterval    = time.Second
	DefaultPingTimeout = 500 * time.Millisecond
	DefaultFreshFor    = 5 * time.Second
	// transferTimeout bounds the transfer of a document or a fleet snapshot (300 KB for 1,500 instances).
	transferTimeout = 2 * time.Second
	// jitter varies the interval by this fraction, so that entries that start together do not run their rounds at once.
	jitter = 0.1
)

// Config describes the entry and its connection to others.
type Config struct {
	// Self is the entry; Incarnation is the start time of the process in Unix milliseconds.
	Self membership.Member
	// Seeds are peer addresses that are contacted while no member with that address is known.
	Seeds []string
	// Interval is the time between two rounds, PingTimeout bounds Ping.
	Interval    time.Duration
	PingTimeout time.Duration
	// FreshFor is the age up to which a contact counts for Majority.
	FreshFor   time.Duration
	Membership membership.Options
	// Token returns the secret that is sent with each call; nil for none. Verifier checks the secret of received calls; nil
	// accepts every call.
	Token    func() string
	Verifier auth.Verifier
	// TLS, if set, protects calls to other entries.
	TLS *tls.Config
	// Traffic, if set, counts control traffic.
	Traffic *Traffic
	Log     zerolog.Logger
	// Network, Clients, Now and Rand replace the network, the clients, the clock and the random source in tests.
	Network network.Network
	Clients Clients
	Now     func() time.Time
	Rand    *rand.Rand
}

// Hooks give the gossip access to the data it carries. Each function may be nil and must be safe for concurrent use.
// Document and Fleet are called with the lock of Gossip held, so they must not call Gossip.
type Hooks struct {
	// Document returns the configuration in force, nil before the first one.
	Document func() *table.Document
	// Install receives a document that a peer pushed and returns the version in force afterwards.
	Install func(*table.Document) int64
	// Fleet returns the fleet snapshot, nil before the first one.
	Fleet func() *instance.Fleet
	// AppliedFleet returns the fleet version that the entry's scheduler uses; nil uses that of Fleet. A drain that counted a
	// version as observed before the scheduler applies it would release the instance while work is still sent to it.
	AppliedFleet func() int64
}

// Gossip is the entry's connection to its peers.
type Gossip struct {
	config    Config
	clients   Clients
	hooks     atomic.Pointer[Hooks]
	published atomic.Pointer[membership.Snapshot]
	// publishedLeaving is replaced and never modified, so that placement can read it without a lock.
	publishedLeaving atomic.Pointer[leavingTable]

	mu        sync.Mutex
	view      *membership.View
	listed    []string
	addresses []string // of listed entries
	contacts  map[string]membership.Contact
	digests   map[string]map[uint32]int64 // by member id: what the member knew with its last message, see decoded.digest
	demand    *demandTable
	leaving   leavingTable
	cleared   clearedTable
	schedule  schedule
	doc       *table.Document
	pools     []membership.Pool
	backers   map[uint32]string
}

// New returns a Gossip whose only member is the entry itself. Call Bind before Run.
func New(c Config) *Gossip {
	if c.Interval == 0 {
		c.Interval = DefaultInterval
	}
	if c.PingTimeout == 0 {
		c.PingTimeout = DefaultPingTimeout
	}
	if c.FreshFor == 0 {
		c.FreshFor = DefaultFreshFor
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Rand == nil {
		c.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	g := &Gossip{
		config:   c,
		clients:  c.Clients,
		view:     membership.New(c.Self, c.Now(), c.Membership),
		contacts: map[string]membership.Contact{},
		digests:  map[string]map[uint32]int64{},
		demand:   newDemandTable(c.Self.ID),
		leaving:  leavingTable{},
		cleared:  clearedTable{},
		schedule: schedule{rand: c.Rand},
	}
	if g.clients == nil {
		g.clients = NewClients(c)
	}
	g.hooks.Store(&Hooks{})
	g.publish(c.Now())
	return g
}

// Bind sets the hooks.
func (g *Gossip) Bind(h Hooks) {
	g.hooks.Store(&h)
	g.Refresh()
}

func (g *Gossip) now() time.Time { return g.config.Now() }

func (g *Gossip) document() *table.Document {
	if f := g.hooks.Load().Document; f != nil {
		return f()
	}
	return nil
}

func (g *Gossip) fleet() *instance.Fleet {
	if f := g.hooks.Load().Fleet; f != nil {
		return f()
	}
	return nil
}

// Run runs gossip rounds until ctx ends. The interval between rounds does not depend on how long peers take to reply,
// since others would suspect the entry if its heartbeats were late.
func (g *Gossip) Run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
		}
		g.mu.Lock()
		timer.Reset(time.Duration(float64(g.config.Interval) * (1 - jitter + 2*jitter*g.config.Rand.Float64())))
		g.mu.Unlock()
		g.Round(ctx)
	}
}

// Round produces a heartbeat and exchanges views with some peers. It returns when all exchanges have succeeded or failed.
func (g *Gossip) Round(ctx context.Context) {
	g.exchangeAll(ctx, g.beginRound())
}

// Announce exchanges views with all live peers at once, for updates that must not wait for a round. It costs one message
// per peer, so callers limit its rate.
func (g *Gossip) Announce(ctx context.Context) {
	s := g.Members()
	var targets []target
	for _, m := range s.Alive() {
		if m.ID != s.Self {
			targets = append(targets, target{m, m.Address})
		}
	}
	g.exchangeAll(ctx, targets)
}

func (g *Gossip) exchangeAll(ctx context.Context, targets []target) {
	ctx, cancel := context.WithTimeout(ctx, g.config.Interval*8/10)
	defer cancel()
	var group errgroup.Group
	for _, target := range targets {
		group.Go(func() error {
			if err := g.exchange(ctx, target); err != nil {
				g.config.Log.Debug().Str("peer", target.address).Err(err).Msg("gossip exchange failed")
			}
			return nil
		})
	}
	_ = group.Wait()
}

// beginRound starts a round and returns the peers to contact.
func (g *Gossip) beginRound() []target {
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.view.Tick(now)
	g.view.Expire(now)
	g.leaving.expire(now)
	g.cleared.expire(now)
	g.refreshVersions()
	g.publish(now)
	s := g.published.Load()
	g.removeExpired(s)
	_, members := g.quorum(nil)
	return g.schedule.next(s, members, slices.Concat(g.addresses, g.config.Seeds))
}

// removeExpired removes the state of members that the view has removed.
func (g *Gossip) removeExpired(s *membership.Snapshot) {
	known := func(id string) bool {
		_, ok := s.Member(id)
		return ok
	}
	g.demand.retain(known)
	for id := range g.contacts {
		if !known(id) {
			delete(g.contacts, id)
			delete(g.digests, id)
		}
	}
}

// exchange performs one push-pull exchange with a peer.
func (g *Gossip) exchange(ctx context.Context, to target) error {
	start := g.now()
	g.mu.Lock()
	request := g.newMessage(g.digests[to.member.ID], false, start)
	g.mu.Unlock()
	reply, err := g.clients.Peer(to.address).Exchange(ctx, request)
	if err != nil {
		return err
	}
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	d := g.merge(reply, now)
	// The peer built the reply after start, however long the reply was in transit.
	if d.sender.ID != "" && start.After(g.contacts[d.sender.ID].At) {
		g.contacts[d.sender.ID] = membership.Contact{
			At: start, ConfigVersion: d.sender.ConfigVersion, Members: int(reply.GetElectorate()),
		}
	}
	g.publish(now)
	return nil
}

// merge merges a received message. The caller holds the lock.
func (g *Gossip) merge(in *peerpb.View, now time.Time) decoded {
	d := decode(in, g.view.Reports(now))
	if g.view.Merge(d.reports, now) {
		g.config.Log.Warn().Str("id", g.config.Self.ID).Msg("another process uses or used this id with a later start time; incarnation increased")
	}
	for _, l := range in.GetLeaving() {
		g.markLeaving(l.GetWorker(), now.Add(-time.Duration(max(l.GetAgeMs(), 0))*time.Millisecond), now)
	}
	g.demand.merge(in.GetDemand(), g.view.Reports(now))
	if d.sender.ID != "" && d.sender.ID != g.config.Self.ID {
		g.digests[d.sender.ID] = d.digest
	}
	return d
}

// refreshVersions reads new versions from the hooks. The caller holds the lock.
func (g *Gossip) refreshVersions() {
	doc, fleet := g.document(), g.fleet()
	var config, fleetVersion int64
	if doc != nil {
		config = doc.Version
	}
	if fleet != nil {
		fleetVersion = fleet.Version
	}
	if f := g.hooks.Load().AppliedFleet; f != nil {
		fleetVersion = f()
	}
	g.view.SetVersions(config, fleetVersion)
	if doc == nil || doc == g.doc {
		return
	}
	g.doc = doc
	g.pools = make([]membership.Pool, 0, len(doc.Pools))
	for _, p := range doc.Pools {
		g.pools = append(g.pools, membership.Pool{Name: p.Name, Region: p.Region})
	}
	g.backers = make(map[uint32]string, len(doc.Backers))
	for _, b := range doc.Backers {
		g.backers[backerKey(b.Name)] = b.Name
	}
}

// publish replaces the snapshot that readers get. The caller holds the lock.
func (g *Gossip) publish(now time.Time) { g.published.Store(g.view.Snapshot(g.pools, now)) }

// Refresh publishes a new document or fleet version immediately instead of with the next round.
func (g *Gossip) Refresh() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refreshVersions()
	g.publish(g.now())
}

// Members returns the latest snapshot of the membership view. It is replaced at least once per round.
func (g *Gossip) Members() *membership.Snapshot { return g.published.Load() }

// Owner returns the entry that owns a pool; false if the pool is not in the configuration or no entry can own it.
func (g *Gossip) Owner(pool string) (membership.Member, bool) { return g.published.Load().Owner(pool) }

// Suspect marks a member as suspect until it produces a new heartbeat. It is called after a failed forward and a failed ping.
func (g *Gossip) Suspect(id string) {
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.view.Suspect(id, now)
	g.publish(now)
}

// Leave announces the shutdown of the entry: its pools are reassigned to others with the next exchanges. It runs a round
// immediately to notify some peers.
func (g *Gossip) Leave(ctx context.Context) {
	g.mu.Lock()
	g.view.SetLeaving()
	g.mu.Unlock()
	g.Round(ctx)
}

// SetListed sets the entries in the platform's instance list; their Address is that of the peer API. Before the first
// call only the members of the view count for a majority.
func (g *Gossip) SetListed(list []services.Instance) {
	ids, addresses := []string{}, []string{}
	for _, in := range list {
		if in.Kind == services.KindEntry && in.State == services.StateLive {
			ids = append(ids, in.ID)
			addresses = append(addresses, in.Address)
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.listed, g.addresses = ids, addresses
}

// SetDemand replaces the demand that the entry publishes. Owner and Heartbeat of the elements are ignored.
func (g *Gossip) SetDemand(list []limit.Demand) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.view.SetDemandVersion(g.demand.setOwn(list))
}

// Demands returns the demand at the other live entries, sorted by owner and backer.
func (g *Gossip) Demands() []limit.Demand {
	alive := g.published.Load().Alive()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.demand.demands(alive, g.backers)
}
