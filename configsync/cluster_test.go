package configsync

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"samphirepoint/membership"
	"samphirepoint/peer"
	"samphirepoint/peer/peerpb"
	"samphirepoint/services"
	"samphirepoint/table"
)

var errNoRoute = errors.New("no route")

// entry is one process under test.
type entry struct {
	c      *cluster
	id     string
	gossip *peer.Gossip
	syncer *Syncer
	paused bool
	// tableDown makes all table reads of the entry fail.
	tableDown bool
	highest   int64
}

// cluster is a set of entries with a shared table, a network of function calls and a virtual clock.
type cluster struct {
	mu          sync.Mutex // guards rows, partitioned and paused against background pushes
	clock       atomic.Int64
	entries     []*entry
	rows        map[string]services.Row
	partitioned func(from, to string) bool
	// transferDown makes all document transfers between peers fail.
	transferDown bool
	steps        int
}

func newCluster(n int) *cluster {
	c := &cluster{rows: map[string]services.Row{}, partitioned: func(string, string) bool { return false }}
	c.clock.Store(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC).UnixNano())
	c.commit(1)
	for i := range n {
		c.start(i)
	}
	return c
}

func (c *cluster) now() time.Time { return time.Unix(0, c.clock.Load()) }

// start starts or restarts entry i.
func (c *cluster) start(i int) *entry {
	e := &entry{c: c, id: fmt.Sprintf("e%d", i)}
	e.gossip = peer.New(peer.Config{
		Self:  membership.Member{ID: e.id, Address: e.id, Incarnation: c.now().UnixMilli()},
		Seeds: []string{"e0", "e1"}, Now: c.now, Clients: peerLink{e}, Rand: rand.New(rand.NewPCG(uint64(i), 5)),
	})
	e.syncer = New(Config{Table: tableLink{e}, Peers: e.gossip, Now: c.now})
	e.gossip.Bind(peer.Hooks{Document: e.syncer.Snapshot, Install: e.syncer.Install})
	if i == len(c.entries) {
		c.entries = append(c.entries, nil)
	}
	c.entries[i] = e
	return e
}

// publishInstances gives the instance list with all entries to each entry.
func (c *cluster) publishInstances() {
	var list []services.Instance
	for _, e := range c.entries {
		list = append(list, services.Instance{ID: e.id, Kind: services.KindEntry, Address: e.id, State: services.StateLive})
	}
	for _, e := range c.entries {
		e.gossip.SetListed(list)
	}
}

// commit writes a version to the table.
func (c *cluster) commit(version int64) *table.Document {
	doc := &table.Document{Version: version, Pools: []table.Pool{{Name: "pumps"}}}
	data, _ := json.Marshal(doc)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rows[table.KeyVersion] = services.Row{Key: table.KeyVersion, Version: version, Value: fmt.Append(nil, version)}
	c.rows[table.KeyCurrent] = services.Row{Key: table.KeyCurrent, Version: version, Value: data}
	return doc
}

// advance runs the entries for a duration of virtual time and calls check, if not nil, after each step. An entry
// gossips every second, polls every 2 s and catches up with its peers in each step.
func (c *cluster) advance(d time.Duration, check func()) {
	ctx := context.Background()
	for range d / stepInterval {
		c.clock.Add(int64(stepInterval))
		c.steps++
		for i, e := range c.entries {
			if e.paused {
				continue
			}
			if (c.steps+i)%4 == 0 {
				e.gossip.Round(ctx)
			}
			if (c.steps+i)%8 == 0 {
				_ = e.syncer.Poll(ctx)
			}
			e.syncer.CatchUp(ctx)
		}
		if check != nil {
			check()
		}
	}
}

func (c *cluster) setTableDown(down bool, ids ...int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, e := range c.entries {
		for _, id := range ids {
			if i == id {
				e.tableDown = down
			}
		}
	}
}

func (c *cluster) setPartition(partitioned func(from, to string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partitioned = partitioned
}

// partition separates the given entries from the others in both directions.
func (c *cluster) partition(ids ...int) {
	side := map[string]bool{}
	for _, i := range ids {
		side[c.entries[i].id] = true
	}
	c.setPartition(func(from, to string) bool { return side[from] != side[to] })
}

type tableLink struct{ e *entry }

func (t tableLink) Get(_ context.Context, key string) (services.Row, error) {
	t.e.c.mu.Lock()
	defer t.e.c.mu.Unlock()
	if t.e.tableDown {
		return services.Row{}, errNoRoute
	}
	return t.e.c.rows[key], nil
}

func (t tableLink) List(context.Context, string, string, int) ([]services.Row, error) {
	return nil, errNoRoute
}
func (t tableLink) Commit(context.Context, []services.Write) ([]int64, error) { return nil, errNoRoute }

type peerLink struct{ e *entry }

func (l peerLink) Peer(address string) peerpb.Peer  { return peerCall{l.e, address} }
func (l peerLink) Fresh(address string) peerpb.Peer { return peerCall{l.e, address} }

// peerCall is a client for the peer service of another entry, called by entry from.
type peerCall struct {
	from *entry
	to   string
}

func deliver[In, Out any](c peerCall, in In, f func(peerpb.Peer, context.Context, In) (Out, error)) (Out, error) {
	var none Out
	cl := c.from.c
	cl.mu.Lock()
	var to *entry
	for _, e := range cl.entries {
		if e.id == c.to && !e.paused && !cl.partitioned(c.from.id, c.to) {
			to = e
		}
	}
	lost := cl.partitioned(c.to, c.from.id)
	cl.mu.Unlock()
	if to == nil {
		return none, errNoRoute
	}
	out, err := f(to.gossip.Service(), context.Background(), in)
	if lost {
		return none, errNoRoute
	}
	return out, err
}

func (c peerCall) Exchange(_ context.Context, in *peerpb.View) (*peerpb.View, error) {
	return deliver(c, in, peerpb.Peer.Exchange)
}
func (c peerCall) Ping(_ context.Context, in *peerpb.PingRequest) (*peerpb.PingReply, error) {
	return deliver(c, in, peerpb.Peer.Ping)
}
func (c peerCall) Document(_ context.Context, in *peerpb.DocumentRequest) (*peerpb.DocumentReply, error) {
	if c.from.c.transferDown {
		return nil, errNoRoute
	}
	return deliver(c, in, peerpb.Peer.Document)
}
func (c peerCall) Fleet(_ context.Context, in *peerpb.FleetRequest) (*peerpb.FleetReply, error) {
	return deliver(c, in, peerpb.Peer.Fleet)
}
func (c peerCall) Install(_ context.Context, in *peerpb.DocumentReply) (*peerpb.InstallReply, error) {
	return deliver(c, in, peerpb.Peer.Install)
}

func allEntries(n int) []int {
	ids := make([]int, n)
	for i := range ids {
		ids[i] = i
	}
	return ids
}
