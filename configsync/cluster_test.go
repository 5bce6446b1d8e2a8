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

var errDown = errors.New("no route")

// entry is one process under test.
type entry struct {
	c      *cluster
	id     string
	gossip *peer.Gossip
	syncer *Syncer
	paused bool
	// noTable cuts the entry off from the table.
	noTable bool
	highest int64
}

// cluster is a set of entries with a table, function calls as network and a virtual clock.
type cluster struct {
	mu      sync.Mutex // guards rows, cut and paused against background pushes
	clock   atomic.Int64
	entries []*entry
	rows    map[string]services.Row
	cut     func(from, to string) bool
	// noTransfer makes the transfer of documents fail.
	noTransfer bool
	steps      int
}

func newCluster(n int) *cluster {
	c := &cluster{rows: map[string]services.Row{}, cut: func(string, string) bool { return false }}
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
		Seeds: []string{"e0", "e1"}, Now: c.now, Clients: link{e}, Rand: rand.New(rand.NewPCG(uint64(i), 5)),
	})
	e.syncer = New(Config{Table: tableLink{e}, Peers: e.gossip, Now: c.now})
	e.gossip.Bind(peer.Hooks{Document: e.syncer.Snapshot, Install: e.syncer.Install})
	if i == len(c.entries) {
		c.entries = append(c.entries, nil)
	}
	c.entries[i] = e
	return e
}

// list shows the instance list with all entries to all entries.
func (c *cluster) list() {
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

// run lets time pass. An entry gossips every second, polls every 2 s and looks at its peers in each step.
func (c *cluster) run(d time.Duration, check func()) {
	ctx := context.Background()
	for range d / step {
		c.clock.Add(int64(step))
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

func (c *cluster) cutTable(down bool, ids ...int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, e := range c.entries {
		for _, id := range ids {
			if i == id {
				e.noTable = down
			}
		}
	}
}

func (c *cluster) setCut(cut func(from, to string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = cut
}

// split cuts all links between the given entries and the others.
func (c *cluster) split(ids ...int) {
	in := map[string]bool{}
	for _, i := range ids {
		in[c.entries[i].id] = true
	}
	c.setCut(func(from, to string) bool { return in[from] != in[to] })
}

type tableLink struct{ e *entry }

func (t tableLink) Get(_ context.Context, key string) (services.Row, error) {
	t.e.c.mu.Lock()
	defer t.e.c.mu.Unlock()
	if t.e.noTable {
		return services.Row{}, errDown
	}
	return t.e.c.rows[key], nil
}

func (t tableLink) List(context.Context, string, string, int) ([]services.Row, error) {
	return nil, errDown
}
func (t tableLink) Commit(context.Context, []services.Write) ([]int64, error) { return nil, errDown }

type link struct{ e *entry }

func (l link) Peer(address string) peerpb.Peer  { return call{l.e, address} }
func (l link) Fresh(address string) peerpb.Peer { return call{l.e, address} }

// call sends the calls of a twirp client to another entry; the methods not used here are missing.
type call struct {
	from *entry
	to   string
}

func deliver[In, Out any](c call, in In, f func(peerpb.Peer, context.Context, In) (Out, error)) (Out, error) {
	var none Out
	cl := c.from.c
	cl.mu.Lock()
	var to *entry
	for _, e := range cl.entries {
		if e.id == c.to && !e.paused && !cl.cut(c.from.id, c.to) {
			to = e
		}
	}
	lost := cl.cut(c.to, c.from.id)
	cl.mu.Unlock()
	if to == nil {
		return none, errDown
	}
	out, err := f(to.gossip.Service(), context.Background(), in)
	if lost {
		return none, errDown
	}
	return out, err
}

func (c call) Exchange(_ context.Context, in *peerpb.View) (*peerpb.View, error) {
	return deliver(c, in, peerpb.Peer.Exchange)
}
func (c call) Ping(_ context.Context, in *peerpb.PingRequest) (*peerpb.PingReply, error) {
	return deliver(c, in, peerpb.Peer.Ping)
}
func (c call) Document(_ context.Context, in *peerpb.DocumentRequest) (*peerpb.DocumentReply, error) {
	if c.from.c.noTransfer {
		return nil, errDown
	}
	return deliver(c, in, peerpb.Peer.Document)
}
func (c call) Fleet(_ context.Context, in *peerpb.FleetRequest) (*peerpb.FleetReply, error) {
	return deliver(c, in, peerpb.Peer.Fleet)
}
func (c call) Install(_ context.Context, in *peerpb.DocumentReply) (*peerpb.InstallReply, error) {
	return deliver(c, in, peerpb.Peer.Install)
}

func all(n int) []int {
	ids := make([]int, n)
	for i := range ids {
		ids[i] = i
	}
	return ids
}
