package cluster

import (
	"context"
	"maps"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"samphirepoint/catalog"
	"samphirepoint/engine"
	"samphirepoint/owner"
	"samphirepoint/rows"
)

// TableMembers holds one row a daemon, spread over memberParts parts: a slow store works through a part's writes one by
// one, and a daemon that starts reads all parts.
const (
	TableMembers = "members"
	memberParts  = 16
)

// memberPart is the part with a daemon's row.
func memberPart(node string) string {
	return strconv.FormatUint(xxhash.Sum64String(node)%memberParts, 16)
}

// FleetControllerRole is the name under which the upkeep and moves of instances are owned, as if they were a pool.
const FleetControllerRole = "~fleet"

const (
	// beatInterval is the least time between two writes of the daemon's row, beatPerMember what each member adds, so that
	// all beats together stay far below what the store takes.
	beatInterval  = 400 * time.Millisecond
	beatPerMember = 8 * time.Millisecond
	// lookInterval is the least time between two looks at the members; there are lookPerBeat looks to a beat in a large
	// cluster, as a store takes more readings than writes.
	lookInterval = 400 * time.Millisecond
	lookPerBeat  = 4
	// beatPerLatency times the store's time for a beat is the least interval, for a store that is slow.
	beatPerLatency = 4
	// deadAfter is how long a row may stand still, or deadBeats intervals if that is longer.
	deadAfter = 1700 * time.Millisecond
	deadBeats = 3.5
	// settleTime is how long a starting daemon looks before it takes pools that others may be about to take.
	settleTime = 350 * time.Millisecond
	// storeTime bounds one call to the store.
	storeTime = 800 * time.Millisecond
	// unreachedFor is how long a daemon that could not be reached counts as unreachable, unless it is reached.
	unreachedFor = 2 * time.Second
	// unreachedPause is the time between two tries to reach such a daemon; calls in between fail at once.
	unreachedPause = 500 * time.Millisecond
	// claimPause is the least time between two tries to take the same pool.
	claimPause = 300 * time.Millisecond
)

// Roster reads the platform's list of workers by pool.
type Roster interface {
	Workers(ctx context.Context) (map[string][]engine.WorkerInfo, error)
}

// Settings are what a Node needs.
type Settings struct {
	Name        string
	Incarnation string
	Address     string
	Zone        string
	Store       rows.Store
	Workers     owner.Workers
	Adviser     owner.Adviser
	Roster      Roster
	// WorkersWithOpenOrders lists the workers whose instance has an open order.
	WorkersWithOpenOrders func(ctx context.Context) ([]string, error)
	Options               engine.Options
	// NewFleetController starts the duties of the fleet under a token and the version of its claim.
	NewFleetController func(ctx context.Context, token, ver int64) Term
	Log                zerolog.Logger
	Now                func() time.Duration
}

// Term is one ownership, of a pool or of the fleet's duties.
type Term interface {
	Token() int64
	Run() error
	Stop()
}

// Node is one daemon's part in the cluster.
type Node struct {
	set     Settings
	catalog atomic.Pointer[catalog.Catalog]
	leaving atomic.Bool
	peers   *peerClient

	mu   sync.Mutex
	view *View
	// owned are all ownerships of this daemon; pools are those of pools.
	owned map[string]Term
	pools map[string]*owner.Owner
	tried map[string]time.Duration
	beat  int64
	// seenVer is the version up to which the members were read; only the goroutine of Run uses it.
	seenVer int64
	// beatTook is how long the store took for the last beat; only the goroutine of Run uses it.
	beatTook time.Duration
	// excessSince is since when this daemon has had too many pools; only the goroutine of Run uses it.
	excessSince time.Duration
	lastOK      time.Duration
	roster      map[string][]engine.WorkerInfo
	kick        chan struct{}
	since       time.Duration
	// declined are the daemons that did not take a pool, and when; handingOff is set while pools are offered.
	declined   map[string]time.Duration
	handingOff atomic.Bool
	// pinging is set while unreached daemons are looked at.
	pinging atomic.Bool
	// unreached are the daemons that could not be reached, and when.
	unreached map[string]time.Duration
}

// NewNode returns a daemon that has not joined yet.
func NewNode(s Settings) *Node {
	return &Node{
		set: s, view: NewView(s.Name, deadAfter), owned: map[string]Term{}, pools: map[string]*owner.Owner{}, tried: map[string]time.Duration{},
		kick: make(chan struct{}, 1), peers: newPeerClient(), since: s.Now(), unreached: map[string]time.Duration{}, declined: map[string]time.Duration{},
	}
}

// SetCatalog puts a newer version in force.
func (n *Node) SetCatalog(c *catalog.Catalog) {
	old := n.catalog.Load()
	if old != nil && old.Version >= c.Version {
		return
	}
	n.catalog.Store(c)
	n.set.Log.Info().Int64("version", c.Version).Int("queues", len(c.Queues)).Msg("configuration in force")
	n.mu.Lock()
	pools := maps.Clone(n.pools)
	n.mu.Unlock()
	for pool, o := range pools {
		o.SetQueues(c.QueuesOf(pool))
	}
	n.Kick()
}

// Catalog is the configuration in force, or nil.
func (n *Node) Catalog() *catalog.Catalog { return n.catalog.Load() }

// Kick lets the next beat come at once.
func (n *Node) Kick() {
	select {
	case n.kick <- struct{}{}:
	default:
	}
}

// Run beats, observes and takes pools until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	var nextBeat time.Duration
	for ctx.Err() == nil {
		began := n.set.Now()
		if began >= nextBeat {
			n.writeBeat(ctx)
			nextBeat = began + n.interval()
		}
		n.look(ctx)
		wait := min(max(lookInterval, n.interval()/lookPerBeat), n.interval()) - (n.set.Now() - began)
		t := time.NewTimer(max(wait, 20*time.Millisecond))
		select {
		case <-ctx.Done():
		case <-n.kick:
			nextBeat = 0
		case <-t.C:
		}
		t.Stop()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, o := range n.owned {
		o.Stop()
	}
	return nil
}

// interval is the time between two beats, by the number of members and the speed of the store.
func (n *Node) interval() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	d := max(beatInterval, time.Duration(len(n.view.members))*beatPerMember, beatPerLatency*n.beatTook)
	n.view.deadAfter = max(deadAfter, time.Duration(deadBeats*float64(d)))
	return d
}

// look reads the members and takes what is free.
func (n *Node) look(ctx context.Context) {
	n.pingUnreached(ctx)
	if !n.observe(ctx) {
		n.handOffStoreless(ctx)
		return
	}
	n.confirm(ctx)
	n.takePools(ctx)
	n.rebalance(ctx)
	n.forgetDead(ctx)
}

// StoreContactAge is how long ago the store last answered.
func (n *Node) StoreContactAge() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.set.Now() - n.lastOK
}

// Alive returns the members that beat.
func (n *Node) Alive() []Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view.Alive()
}
