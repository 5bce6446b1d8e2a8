package peer

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"samphirepoint/auth"
	"samphirepoint/membership"
	"samphirepoint/peer/peerpb"
	"samphirepoint/table"
)

// testCluster is a set of entries that share a virtual clock and a simulated network.
type testCluster struct {
	clock   atomic.Int64
	entries []*Gossip
	next    []int64 // time of each entry's next round
	docs    []*atomic.Pointer[table.Document]
	// dropMessage, if set, reports whether a message from one entry to another is lost.
	dropMessage func(from, to string) bool
	paused      map[string]bool
	rand        *rand.Rand
}

func (f *testCluster) now() time.Time { return time.Unix(0, f.clock.Load()) }

func document(version int64, backers int) *table.Document {
	d := &table.Document{Version: version}
	for i := range backers {
		d.Backers = append(d.Backers, table.Backer{Name: fmt.Sprintf("backer-%03d", i), Weight: 1, NominalQuota: 4})
	}
	for i := range 5 {
		d.Pools = append(d.Pools, table.Pool{Name: fmt.Sprintf("pool-%d", i)})
	}
	return d
}

func id(i int) string { return fmt.Sprintf("inzira-%d", i) }

// add starts an entry whose configuration has version 1.
func (f *testCluster) add(c Config) *Gossip {
	i := len(f.entries)
	c.Self = membership.Member{
		ID: id(i), Address: c.Self.Address, Zone: "nyarugenge", Region: "rw", Incarnation: f.now().UnixMilli(),
	}
	if c.Self.Address == "" {
		c.Self.Address = id(i)
		c.Clients = simulatedNetwork{f, id(i)}
	}
	if i > 0 {
		c.Seeds = []string{f.entries[0].config.Self.Address}
	}
	c.Now, c.Rand = f.now, rand.New(rand.NewPCG(uint64(i), 1))
	g := New(c)
	doc := &atomic.Pointer[table.Document]{}
	doc.Store(document(1, 210))
	g.Bind(Hooks{Document: doc.Load, Install: func(d *table.Document) int64 { doc.Store(d); return d.Version }})
	f.entries, f.docs = append(f.entries, g), append(f.docs, doc)
	f.next = append(f.next, f.clock.Load()+f.rand.Int64N(int64(time.Second)))
	return g
}

// newTestCluster starts n entries that are connected by function calls.
func newTestCluster(n int) *testCluster {
	f := &testCluster{paused: map[string]bool{}, rand: rand.New(rand.NewPCG(7, 7))}
	f.clock.Store(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC).UnixNano())
	for range n {
		f.add(Config{})
	}
	return f
}

// run advances the virtual clock by some seconds with the same intervals between rounds as Run, and calls check, if set,
// after each round.
func (f *testCluster) run(seconds int, check func()) {
	end := f.clock.Load() + int64(seconds)*int64(time.Second)
	for {
		first := 0
		for i := range f.next {
			if f.next[i] < f.next[first] {
				first = i
			}
		}
		if f.next[first] >= end {
			f.clock.Store(end)
			return
		}
		f.clock.Store(max(f.next[first], f.clock.Load()))
		f.next[first] += int64(float64(time.Second) * (1 - jitter + 2*jitter*f.rand.Float64()))
		if !f.paused[id(first)] {
			f.entries[first].Round(context.Background())
		}
		if check != nil {
			check()
		}
	}
}

var errNoRoute = errors.New("no route")

// simulatedNetwork implements Clients for the entry from.
type simulatedNetwork struct {
	cluster *testCluster
	from    string
}

func (l simulatedNetwork) Peer(address string) peerpb.Peer  { return simulatedClient{l, address} }
func (l simulatedNetwork) Fresh(address string) peerpb.Peer { return simulatedClient{l, address} }

type simulatedClient struct {
	simulatedNetwork
	to string
}

// do delivers the request to its receiver, unless the request or its reply is lost.
func (c simulatedClient) do(f func(peerpb.Peer)) error {
	lost := func(from, to string) bool { return c.cluster.dropMessage != nil && c.cluster.dropMessage(from, to) }
	for _, g := range c.cluster.entries {
		if g.config.Self.ID != c.to || c.cluster.paused[c.to] || lost(c.from, c.to) {
			continue
		}
		f(g.Service())
		if lost(c.to, c.from) {
			break
		}
		return nil
	}
	return errNoRoute
}

func (c simulatedClient) Exchange(ctx context.Context, in *peerpb.View) (out *peerpb.View, err error) {
	if lost := c.do(func(p peerpb.Peer) { out, err = p.Exchange(ctx, in) }); lost != nil {
		return nil, lost
	}
	return out, err
}

func (c simulatedClient) Ping(ctx context.Context, in *peerpb.PingRequest) (out *peerpb.PingReply, err error) {
	if lost := c.do(func(p peerpb.Peer) { out, err = p.Ping(ctx, in) }); lost != nil {
		return nil, lost
	}
	return out, err
}

func (c simulatedClient) Document(ctx context.Context, in *peerpb.DocumentRequest) (out *peerpb.DocumentReply, err error) {
	if lost := c.do(func(p peerpb.Peer) { out, err = p.Document(ctx, in) }); lost != nil {
		return nil, lost
	}
	return out, err
}

func (c simulatedClient) Fleet(ctx context.Context, in *peerpb.FleetRequest) (out *peerpb.FleetReply, err error) {
	if lost := c.do(func(p peerpb.Peer) { out, err = p.Fleet(ctx, in) }); lost != nil {
		return nil, lost
	}
	return out, err
}

func (c simulatedClient) Install(ctx context.Context, in *peerpb.DocumentReply) (out *peerpb.InstallReply, err error) {
	if lost := c.do(func(p peerpb.Peer) { out, err = p.Install(ctx, in) }); lost != nil {
		return nil, lost
	}
	return out, err
}

// newHTTPCluster starts n entries on loopback with a peer token and returns their counters.
func newHTTPCluster(t testing.TB, n int) (*testCluster, []*Traffic) {
	g := NewWithT(t)
	f := newTestCluster(0)
	secret, _ := auth.NewToken("peer", auth.RolePeer)
	store, err := auth.Static(nil, secret)
	g.Expect(err).NotTo(HaveOccurred())
	var traffic []*Traffic
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		g.Expect(err).NotTo(HaveOccurred())
		counters := NewTraffic(metrics.NewRegistry())
		e := f.add(Config{
			Self: membership.Member{Address: l.Addr().String()}, Traffic: counters, Token: store.PeerToken, Verifier: store,
		})
		server := &http.Server{Handler: e.Handler(), ConnContext: ConnContext}
		var done sync.WaitGroup
		done.Go(func() { _ = server.Serve(counters.Listener(l)) })
		t.Cleanup(func() { _ = server.Close(); done.Wait() })
		traffic = append(traffic, counters)
	}
	return f, traffic
}

// index returns the number of an entry.
func (f *testCluster) index(entry string) int {
	for i := range f.entries {
		if id(i) == entry {
			return i
		}
	}
	return -1
}
