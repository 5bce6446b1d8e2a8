package cluster

import (
	"context"
	"encoding/json"
	"errors"
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
	"samphirepoint/verdict"
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

// FleetDuty is the name under which the upkeep and moves of instances are owned, as if they were a pool.
const FleetDuty = "~fleet"

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
	// Ordered lists the workers whose instance has an open order.
	Ordered func(ctx context.Context) ([]string, error)
	Options engine.Options
	// Fleet starts the duties of the fleet under a token and the version of its claim.
	Fleet func(ctx context.Context, token, ver int64) Tenure
	Log   zerolog.Logger
	Now   func() time.Duration
}

// Tenure is one ownership, of a pool or of the fleet's duties.
type Tenure interface {
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
	owned map[string]Tenure
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
	// unreached are the daemons that could not be reached, and when.
	unreached map[string]time.Duration
}

// NewNode returns a daemon that has not joined yet.
func NewNode(s Settings) *Node {
	return &Node{
		set: s, view: NewView(s.Name, deadAfter), owned: map[string]Tenure{}, pools: map[string]*owner.Owner{}, tried: map[string]time.Duration{},
		kick: make(chan struct{}, 1), peers: newPeerClient(), since: s.Now(), unreached: map[string]time.Duration{},
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
	if !n.observe(ctx) {
		return
	}
	n.confirm(ctx)
	n.takePools(ctx)
	n.rebalance(ctx)
}

// self is the daemon's row as it is now.
func (n *Node) self() Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.beat++
	m := Member{
		Node: n.set.Name, Incarnation: n.set.Incarnation, Address: n.set.Address, Zone: n.set.Zone, Beat: n.beat,
		Leaving: n.leaving.Load(), Pools: map[string]int64{},
	}
	for p, o := range n.owned {
		m.Pools[p] = o.Token()
	}
	for node, at := range n.unreached {
		if n.set.Now()-at < unreachedFor {
			m.Unreachable = append(m.Unreachable, node)
		}
	}
	if c := n.catalog.Load(); c != nil {
		m.Version = c.Version
	}
	return m
}

func (n *Node) writeBeat(ctx context.Context) {
	m := n.self()
	value, err := json.Marshal(m)
	if err != nil {
		panic(err) // A member holds plain values only.
	}
	c, cancel := context.WithTimeout(ctx, storeTime)
	defer cancel()
	key := rows.Key{Table: TableMembers, Part: memberPart(n.set.Name), Name: n.set.Name}
	began := n.set.Now()
	if _, err := n.set.Store.Transact(c, rows.Tx{Writes: []rows.Write{{Key: key, Value: value}}}); err != nil {
		n.set.Log.Warn().Err(err).Msg("beat not written")
	}
	n.beatTook = n.set.Now() - began
}

// observe reads what has changed of the members. While the store can't be read, nobody is taken for dead.
func (n *Node) observe(ctx context.Context) bool {
	list, all, err := n.readMembers(ctx)
	now := n.set.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	if err != nil {
		n.set.Log.Warn().Err(err).Msg("members not read")
		return false
	}
	if gap := now - n.lastOK; n.lastOK != 0 && gap > deadAfter/2 {
		n.view.Postpone(gap)
	}
	n.lastOK = now
	n.view.Observe(parseMembers(list), all, now)
	return true
}

func parseMembers(list []rows.Row) []Member {
	var members []Member
	for _, r := range list {
		var m Member
		if !r.Removed && json.Unmarshal(r.Value, &m) == nil && m.Node != "" {
			members = append(members, m)
		}
	}
	return members
}

// confirm reads the rows of owners that seem to stand still, before they are taken for dead.
func (n *Node) confirm(ctx context.Context) {
	n.mu.Lock()
	stale := n.view.Stale(n.view.deadAfter * 6 / 10)
	n.mu.Unlock()
	parts := map[string]bool{}
	for _, node := range stale {
		parts[memberPart(node)] = true
	}
	for part := range parts {
		c, cancel := context.WithTimeout(ctx, storeTime)
		list, _, err := n.set.Store.Read(c, TableMembers, part)
		cancel()
		if err != nil {
			continue
		}
		n.mu.Lock()
		n.view.Observe(parseMembers(list), false, n.set.Now())
		n.mu.Unlock()
	}
}

// readMembers returns the changed rows, or all of them at first and after a gap in the history.
func (n *Node) readMembers(ctx context.Context) (list []rows.Row, all bool, err error) {
	c, cancel := context.WithTimeout(ctx, storeTime)
	defer cancel()
	if n.seenVer > 0 {
		list, ver, err := n.set.Store.Watch(c, TableMembers, n.seenVer, 0)
		if err == nil {
			n.seenVer = max(ver, n.seenVer)
			return list, false, nil
		}
		if !errors.Is(err, rows.ErrHistoryGone) {
			return nil, false, err
		}
	}
	list, ver, err := n.readAllMembers(ctx)
	if err == nil {
		n.seenVer = ver
	}
	return list, true, err
}

// readAllMembers reads every part and returns the version as of which the first one was read.
func (n *Node) readAllMembers(ctx context.Context) (list []rows.Row, first int64, err error) {
	for k := range uint64(memberParts) {
		c, cancel := context.WithTimeout(ctx, storeTime)
		of, ver, err := n.set.Store.Read(c, TableMembers, strconv.FormatUint(k, 16))
		cancel()
		if err != nil {
			return nil, 0, err
		}
		if k == 0 {
			first = ver
		}
		list = append(list, of...)
	}
	return list, first, nil
}

// StoreSeen is how long ago the store last answered.
func (n *Node) StoreSeen() time.Duration {
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

func (n *Node) takePools(ctx context.Context) {
	cat := n.catalog.Load()
	if cat == nil || n.leaving.Load() || n.set.Now()-n.since < settleTime {
		return
	}
	alive := WithoutIsolated(n.Alive())
	for pool, node := range Assign(alive, append(cat.Working(), FleetDuty), false) {
		if node == n.set.Name && n.mayTry(pool) {
			n.take(ctx, pool)
		}
	}
}

func (n *Node) mayTry(pool string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.set.Now()
	if o := n.owned[pool]; o != nil {
		return false
	}
	if t, ok := n.tried[pool]; ok && now-t < claimPause {
		return false
	}
	n.tried[pool] = now
	return true
}

// take claims a pool and serves it. It returns once the claim has succeeded or failed.
func (n *Node) take(ctx context.Context, pool string) error {
	c, cancel := context.WithTimeout(ctx, 2*storeTime)
	defer cancel()
	claim, ver, err := Claim(c, n.set.Store, pool, owner.Claim{Node: n.set.Name, Incarnation: n.set.Incarnation, Address: n.set.Address})
	if err != nil {
		n.set.Log.Warn().Str("pool", pool).Err(err).Msg("pool not taken")
		return err
	}
	n.own(ctx, pool, claim.Token, ver)
	return nil
}

// own serves a pool, or the fleet's duties, under a claim.
func (n *Node) own(ctx context.Context, pool string, token, ver int64) {
	if pool == FleetDuty {
		if n.set.Fleet != nil {
			n.serve(pool, n.set.Fleet(ctx, token, ver))
		}
		return
	}
	o := owner.New(ctx, owner.Settings{
		Pool: pool, Token: token, ClaimVer: ver, Store: n.set.Store, Workers: n.set.Workers, Adviser: n.set.Adviser,
		Ordered: n.set.Ordered, Options: n.set.Options, Log: n.set.Log, Now: n.set.Now,
	})
	n.mu.Lock()
	n.pools[pool] = o
	list := n.roster[pool]
	n.mu.Unlock()
	n.serve(pool, o)
	if cat := n.catalog.Load(); cat != nil {
		o.SetQueues(cat.QueuesOf(pool))
	}
	if list != nil {
		o.SetRoster(list)
	}
	n.announce(ctx, pool, token)
}

// serve runs an ownership until it ends.
func (n *Node) serve(pool string, t Tenure) {
	n.mu.Lock()
	if old := n.owned[pool]; old != nil {
		old.Stop()
	}
	n.owned[pool] = t
	n.mu.Unlock()
	n.Kick()
	go func() {
		_ = t.Run()
		n.mu.Lock()
		if n.owned[pool] == t {
			delete(n.owned, pool)
			delete(n.pools, pool)
		}
		n.mu.Unlock()
		n.Kick()
	}()
}

// Claim raises a pool's token by one conditional write. A write without an answer is looked up, so
// the outcome is known unless err says otherwise.
func Claim(ctx context.Context, store rows.Store, pool string, c owner.Claim) (owner.Claim, int64, error) {
	key := rows.Key{Table: owner.TableOwners, Part: pool, Name: owner.OwnerKey}
	for {
		list, _, err := store.Read(ctx, owner.TableOwners, pool)
		if err != nil {
			return c, 0, err
		}
		var old owner.Claim
		ver := int64(0)
		for _, r := range list {
			if r.Name == owner.OwnerKey {
				ver = r.Ver
				_ = json.Unmarshal(r.Value, &old)
			}
		}
		if c.Token != 0 && old == c {
			return c, ver, nil
		}
		c.Token = old.Token + 1
		value, err := json.Marshal(c)
		if err != nil {
			return c, 0, err
		}
		v, err := store.Transact(ctx, rows.Tx{Expected: []rows.Condition{{Key: key, Ver: ver}}, Writes: []rows.Write{{Key: key, Value: value}}})
		if err == nil {
			return c, v, nil
		}
		if verdict.Is(err, verdict.NotRun) || ctx.Err() != nil {
			return c, 0, err
		}
	}
}

// FollowRoster reads the list of workers while this daemon owns pools.
func (n *Node) FollowRoster(ctx context.Context, every time.Duration) error {
	for ctx.Err() == nil {
		n.mu.Lock()
		busy := len(n.pools) > 0
		n.mu.Unlock()
		if busy {
			n.readRoster(ctx)
		}
		t := time.NewTimer(every)
		select {
		case <-ctx.Done():
		case <-t.C:
		}
		t.Stop()
	}
	return nil
}

func (n *Node) readRoster(ctx context.Context) {
	c, cancel := context.WithTimeout(ctx, storeTime)
	defer cancel()
	list, err := n.set.Roster.Workers(c)
	if err != nil {
		n.set.Log.Warn().Err(err).Msg("workers not read")
		return
	}
	n.mu.Lock()
	n.roster = list
	pools := maps.Clone(n.pools)
	n.mu.Unlock()
	for pool, o := range pools {
		o.SetRoster(list[pool])
	}
}
