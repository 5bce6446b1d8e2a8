package cluster

import (
	"context"
	"encoding/json"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"samphirepoint/catalog"
	"samphirepoint/owner"
	"samphirepoint/rows"
	"samphirepoint/rows/memrows"
	"samphirepoint/verdict"
)

// partialStore is one daemon's access to a shared store; it can refuse calls while other daemons are served.
type partialStore struct {
	*memrows.Store
	refuses atomic.Bool
}

func (s *partialStore) fault() error {
	if s.refuses.Load() {
		return verdict.New(verdict.NotRun, 503, "refused")
	}
	return nil
}

func (s *partialStore) Transact(ctx context.Context, tx rows.Tx) (int64, error) {
	if err := s.fault(); err != nil {
		return 0, err
	}
	return s.Store.Transact(ctx, tx)
}

func (s *partialStore) Read(ctx context.Context, table, part string) ([]rows.Row, int64, error) {
	if err := s.fault(); err != nil {
		return nil, 0, err
	}
	return s.Store.Read(ctx, table, part)
}

func (s *partialStore) Watch(ctx context.Context, table string, after int64, wait time.Duration) ([]rows.Row, int64, error) {
	if err := s.fault(); err != nil {
		return nil, 0, err
	}
	return s.Store.Watch(ctx, table, after, wait)
}

// pair is two daemons that know each other and have separate access to one store.
type pair struct {
	nodes  [2]*Node
	stores [2]*partialStore
	now    atomic.Int64 // the clock of both daemons
}

func newPair(t *testing.T) *pair {
	p := &pair{}
	shared := memrows.New()
	for i, name := range []string{"a", "b"} {
		s := &partialStore{Store: shared}
		n := NewNode(Settings{Name: name, Store: s, Log: zerolog.Nop(), Now: func() time.Duration { return time.Duration(p.now.Load()) }})
		server := httptest.NewServer(n.PeerHandler())
		t.Cleanup(server.Close)
		n.settings.Address = strings.TrimPrefix(server.URL, "http://")
		c := &catalog.Catalog{Version: 1, Pools: []catalog.Pool{{Name: "pumps"}}}
		c.Index()
		n.SetCatalog(c)
		p.nodes[i], p.stores[i] = n, s
	}
	p.now.Store(int64(time.Minute))
	for _, n := range p.nodes {
		n.writeHeartbeat(context.Background())
	}
	return p
}

func (p *pair) observe() {
	for _, n := range p.nodes {
		n.observe(context.Background())
	}
}

func (p *pair) owner(g Gomega) string { return p.claim(g).Node }

// claim returns the claim of the pool that is in the store.
func (p *pair) claim(g Gomega) owner.Claim {
	list, _, err := p.stores[0].Store.Read(context.Background(), "owners", "pumps")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(list).To(HaveLen(1))
	var claim owner.Claim
	g.Expect(json.Unmarshal(list[0].Value, &claim)).To(Succeed())
	return claim
}

// Guards against a pool that is not served until its owner has missed heartbeats for 1.7 s although the store fails only
// this owner, which still runs, and against pools that move between daemons while the store is unavailable to all.
func TestOwnerWithoutStoreAccessTransfersItsPools(t *testing.T) {
	g := NewWithT(t)
	p := newPair(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	a, b := p.nodes[0], p.nodes[1]
	p.observe()
	g.Expect(a.claimPool(ctx, "pumps")).To(Succeed())
	g.Expect(p.owner(g)).To(Equal("a"))

	for _, s := range p.stores {
		s.refuses.Store(true)
	}
	p.now.Add(int64(time.Second))
	p.observe()
	g.Expect(a.transferWithoutStore(ctx)).To(BeTrue())
	g.Eventually(a.transferring.Load, "10s").Should(BeFalse())
	g.Expect(a.owned).To(HaveKey("pumps"), "the pool stays while the store is unavailable to all daemons")

	p.stores[1].refuses.Store(false)
	p.now.Add(int64(declineBackoff))
	p.observe()
	g.Expect(a.transferWithoutStore(ctx)).To(BeTrue())
	g.Eventually(func(g Gomega) { g.Expect(p.owner(g)).To(Equal("b")) }, "10s").Should(Succeed())
	g.Eventually(a.transferring.Load, "10s").Should(BeFalse())
	g.Expect(a.owned).NotTo(HaveKey("pumps"))
	g.Expect(b.owned).To(HaveKey("pumps"))
	g.Expect(b.transferWithoutStore(ctx)).To(BeFalse(), "a daemon that the store serves keeps its pools")
}

// Guards against pools that go to and fro between daemons whose processors are exhausted: each took its own delay for a failure
// of the store, and every takeover cost more processor time than the work that it interrupted.
func TestLateDaemonKeepsItsPools(t *testing.T) {
	g := NewWithT(t)
	p := newPair(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	a := p.nodes[0]
	var late atomic.Bool
	a.settings.Late = late.Load
	p.observe()
	g.Expect(a.claimPool(ctx, "pumps")).To(Succeed())
	p.stores[0].refuses.Store(true)
	p.now.Add(int64(time.Second))
	p.observe()
	late.Store(true)
	g.Expect(a.transferWithoutStore(ctx)).To(BeFalse())
	late.Store(false)
	g.Expect(a.transferWithoutStore(ctx)).To(BeTrue(), "a failure of the store for a daemon that runs in time")
	g.Eventually(a.transferring.Load, "10s").Should(BeFalse())
	g.Expect(p.owner(g)).To(Equal("b"))
}

// slowReadStore answers reads of members only when the caller gives up.
type slowReadStore struct{ *memrows.Store }

func (s slowReadStore) Read(ctx context.Context, _, _ string) ([]rows.Row, int64, error) {
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

func (s slowReadStore) Watch(ctx context.Context, _ string, _ int64, _ time.Duration) ([]rows.Row, int64, error) {
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

// Guards against a daemon that is considered dead because its heartbeats wait for its reads of the members, which may each take
// as long as their time limit.
func TestHeartbeatsDoNotWaitForReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(t.Context())
		store := memrows.New()
		began := time.Now()
		n := NewNode(Settings{Name: "a", Store: slowReadStore{store}, Log: zerolog.Nop(), Now: func() time.Duration { return time.Since(began) }})
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_ = n.Run(ctx)
		}()
		var last int64
		for range 10 {
			time.Sleep(storeTimeout)
			list, _, err := store.Read(ctx, TableMembers, memberPart("a"))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(list).To(HaveLen(1))
			m := parseMembers(list)[0]
			g.Expect(m.Heartbeat).To(BeNumerically(">", last))
			last = m.Heartbeat
		}
		g.Expect(last).To(BeNumerically(">=", 15), "a heartbeat each 0.4 s for 8 s")
		cancel()
		<-ended
	})
}
