package cluster

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/singleflight"

	"samphirepoint/catalog"
	"samphirepoint/engine"
	"samphirepoint/network"
	"samphirepoint/owner"
	"samphirepoint/quota"
	"samphirepoint/rows"
	"samphirepoint/shard"
)

// FleetControllerRole is the name of the fleet controller role, which covers the upkeep and moves of instances. A daemon claims
// and owns it like a pool.
const FleetControllerRole = "~fleet"

const (
	// startupDelay is how long a starting daemon observes the members before it claims pools that others may be about to claim.
	startupDelay = 350 * time.Millisecond
	// storeTimeout bounds a call to the store.
	storeTimeout = 800 * time.Millisecond
	// unreachablePeriod is how long a daemon counts as unreachable after a failed call, unless a later call succeeds.
	unreachablePeriod = 2 * time.Second
	// unreachableRetryInterval is the time between two attempts to reach such a daemon; calls in between fail fast.
	unreachableRetryInterval = 500 * time.Millisecond
	// claimRetryInterval is the least time between two attempts to claim the same pool.
	claimRetryInterval = 300 * time.Millisecond
	// minLoopWait is the least time between two passes of a loop of Run that nothing has woken.
	minLoopWait = 20 * time.Millisecond
)

// Roster follows the platform's list of workers.
type Roster interface {
	// Workers returns the usable workers by pool. Once the list is known, it waits up to wait for the first change.
	Workers(ctx context.Context, wait time.Duration) (map[string][]engine.WorkerInfo, error)
}

// Settings configures a Node.
type Settings struct {
	Name        string
	Incarnation string
	Address     string
	Zone        string
	// Cores is the processor share of this machine, in cores; 0 if it isn't known.
	Cores   float64
	Store   rows.Store
	Workers owner.Workers
	Adviser owner.Adviser
	Roster  Roster
	// Network is for the calls to other daemons; nil stands for TCP.
	Network network.Network
	// WorkersWithOpenOrders lists the workers whose instances have an open order.
	WorkersWithOpenOrders func(ctx context.Context) ([]string, error)
	Options               engine.Options
	// NewFleetController returns the fleet controller, to run under a fencing token and the version of its claim.
	NewFleetController func(ctx context.Context, token, ver int64) Term
	// Late reports whether this process runs late, so that its calls time out whatever the other side does. It may be nil.
	Late func() bool
	Log  zerolog.Logger
	Now  func() time.Duration
}

// Node is one daemon's membership in the cluster.
type Node struct {
	settings Settings
	catalog  atomic.Pointer[catalog.Catalog]
	// layout has the shards of the pools, as far as this daemon has read them; assignments has those of the workers.
	layout      atomic.Pointer[shard.Layout]
	assignments *shard.Assignments
	quotas      *quota.Keeper
	// catalogMu is held while the configuration is passed to an owner, so that an older version never follows a newer one.
	catalogMu sync.Mutex
	// rosterMu is held while a list of workers is passed to the owners.
	rosterMu sync.Mutex
	// unassignedSince is when this daemon first found each worker that has no shard, unlistedSince when it first missed each worker
	// that has one, and unlistedCheckedAt when it last looked for those. Only FollowRoster uses them.
	unassignedSince, unlistedSince map[string]time.Duration
	unlistedCheckedAt              time.Duration
	leaving                        atomic.Bool
	peers                          *peerClient
	// advice holds the turns at the adviser, which all pools of this daemon share.
	advice *owner.AdviceTurns

	// histories caches the rows of the queues.
	histories queueHistories

	// assignees follows the daemons that are to claim pools without an owner. Only the goroutine of Run uses it.
	assignees assignees
	// claims makes concurrent requests to claim a pool share one attempt.
	claims singleflight.Group

	mu   sync.Mutex
	view *View
	// owned holds all terms of this daemon, by name; pools holds those of shards of pools only.
	owned         map[string]Term
	pools         map[string]*ownerTerm
	claimAttempts map[string]time.Duration
	heartbeat     int64
	// present is set once this daemon has written its row, and presentAt is when it last did. presentSince is when it became a member, or
	// became one again after others may have removed its row.
	present      bool
	presentAt    engine.Clock
	presentSince time.Duration
	// observedVer is the version up to which the members have been read. Only the goroutine of Run uses it.
	observedVer int64
	// heartbeatLatency is the latency of the last heartbeat write.
	heartbeatLatency time.Duration
	// excessSince is when this daemon began to own too many pools, or 0. Only the goroutine of Run uses it.
	excessSince time.Duration
	// layoutMissingSince is when this daemon first found each pool that has no shards yet. Only the goroutine of Run uses it.
	layoutMissingSince map[string]time.Duration
	lastStoreContact   time.Duration
	// highestTokens has the highest token of each pool that this daemon has heard of, also from members that are gone.
	highestTokens map[string]int64
	// membersReadAt is the beginning of the last read of the members.
	membersReadAt engine.Clock
	roster        map[string][]engine.WorkerInfo
	// rosterReadAt is when roster was read, rosterTriedAt when it was last tried to. rosterFollowedAt is the end of the last read up to which it
	// was followed without interruption.
	rosterReadAt, rosterTriedAt, rosterFollowedAt engine.Clock
	wakeRoster                                    chan struct{}
	wakeHeartbeat                                 chan struct{}
	wakeReconcile                                 chan struct{}
	createdAt                                     time.Duration
	// declined holds when each daemon last failed to claim a pool that was transferred to it; transferring is set while pools
	// are being transferred because the store does not serve this daemon.
	declined     map[string]time.Duration
	transferring atomic.Bool
	// pinging is set while unreachable daemons are being pinged.
	pinging atomic.Bool
	// unreachable holds when each daemon last could not be reached.
	unreachable map[string]time.Duration
}

// NewNode returns a node that has not joined the cluster yet; Run joins it.
func NewNode(s Settings) *Node {
	n := &Node{
		settings:           s,
		assignments:        &shard.Assignments{Store: s.Store},
		unassignedSince:    map[string]time.Duration{},
		unlistedSince:      map[string]time.Duration{},
		peers:              newPeerClient(s.Network),
		advice:             owner.NewAdviceTurns(s.Adviser),
		view:               NewView(s.Name, deadAfter),
		highestTokens:      map[string]int64{},
		owned:              map[string]Term{},
		pools:              map[string]*ownerTerm{},
		claimAttempts:      map[string]time.Duration{},
		layoutMissingSince: map[string]time.Duration{},
		wakeRoster:         make(chan struct{}, 1),
		wakeHeartbeat:      make(chan struct{}, 1),
		wakeReconcile:      make(chan struct{}, 1),
		createdAt:          s.Now(),
		declined:           map[string]time.Duration{},
		unreachable:        map[string]time.Duration{},
	}
	n.quotas = n.newQuotaKeeper()
	return n
}

// SetCatalog puts a version of the configuration in force, unless it is not newer than the current one. It reports whether that version is in
// force now.
func (n *Node) SetCatalog(c *catalog.Catalog) (inForce bool) {
	old := n.catalog.Load()
	if old != nil && old.Version >= c.Version {
		return old.Version == c.Version
	}
	n.catalog.Store(c)
	n.settings.Log.Info().Int64("version", c.Version).Int("queues", len(c.Queues)).Msg("configuration in force")
	n.setQueues()
	n.quotas.Wake()
	n.Wake()
	return true
}

// setQueues gives the owners of this daemon the settings of their queues.
func (n *Node) setQueues() {
	for name, t := range n.ownerTerms() {
		n.passCatalogTo(name, t.Owner)
	}
}

// passCatalogTo gives the newest configuration to the owner of a shard.
func (n *Node) passCatalogTo(name string, o *owner.Owner) {
	n.catalogMu.Lock()
	defer n.catalogMu.Unlock()
	cat := n.catalog.Load()
	if cat == nil {
		return
	}
	pool := n.layout.Load().PoolOf(name)
	o.SetQueues(cat.QueuesOf(pool))
	o.SetWorkspaces(cat.EngineWorkspaces())
	o.SetHealthPath(cat.HealthPath(pool))
}

// Catalog returns the configuration in force, or nil before the first one.
func (n *Node) Catalog() *catalog.Catalog { return n.catalog.Load() }

// Wake makes Run write a heartbeat and read the members immediately.
func (n *Node) Wake() {
	wake(n.wakeHeartbeat)
	wake(n.wakeReconcile)
}

// wake ends the present or next wait of a loop on the channel, which holds one value.
func wake(loop chan<- struct{}) {
	select {
	case loop <- struct{}{}:
	default:
	}
}

// Run writes heartbeats, reads the members and claims pools until ctx ends. It then stops all terms of this daemon.
func (n *Node) Run(ctx context.Context) error {
	var g errgroup.Group
	g.Go(func() error {
		n.writeHeartbeats(ctx)
		return nil
	})
	for ctx.Err() == nil {
		began := n.settings.Now()
		n.recovered("follow the members", func() { n.reconcile(ctx) })
		wait := min(max(pollInterval, n.interval()/pollsPerHeartbeat), n.interval()) - (n.settings.Now() - began)
		waitOrWake(ctx, wait, n.wakeReconcile)
	}
	n.stopTerms()
	return g.Wait()
}

// waitOrWake waits for d, but at least minLoopWait, or until wake or ctx ends the wait.
func waitOrWake(ctx context.Context, d time.Duration, wake <-chan struct{}) {
	t := time.NewTimer(max(d, minLoopWait))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-wake:
	case <-t.C:
	}
}

// reconcile reads the members, claims unowned pools, transfers a pool if this daemon has too many, and removes dead members.
// While the members can't be read, it does none of this; once the store has failed for storeFailureTimeout, it tries to transfer
// its pools to other daemons.
func (n *Node) reconcile(ctx context.Context) {
	n.pingUnreachable(ctx)
	if !n.observe(ctx) {
		n.transferWithoutStore(ctx)
		return
	}
	n.confirmStale(ctx)
	n.readLayout(ctx)
	n.claimPools(ctx)
	n.rebalance(ctx)
	n.removeDeadMembers(ctx)
}

// StoreContactAge returns the time since the last contact with the store.
func (n *Node) StoreContactAge() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.settings.Now() - n.lastStoreContact
}

// Alive returns the members that are considered alive, ordered by name.
func (n *Node) Alive() []Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view.Alive()
}
