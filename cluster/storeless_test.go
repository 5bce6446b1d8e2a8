package cluster

import (
	"context"
	"encoding/json"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"samphirepoint/catalog"
	"samphirepoint/rows"
	"samphirepoint/rows/memrows"
	"samphirepoint/verdict"
)

// partialStore is a store that can refuse one daemon and serve the others.
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

// pair is two daemons that know each other, each with its own way to one store.
type pair struct {
	nodes  [2]*Node
	stores [2]*partialStore
	now    atomic.Int64 // both daemons' clock
}

func newPair(t *testing.T) *pair {
	p := &pair{}
	shared := memrows.New()
	for i, name := range []string{"a", "b"} {
		s := &partialStore{Store: shared}
		n := NewNode(Settings{Name: name, Store: s, Log: zerolog.Nop(), Now: func() time.Duration { return time.Duration(p.now.Load()) }})
		server := httptest.NewServer(n.PeerHandler())
		t.Cleanup(server.Close)
		n.set.Address = strings.TrimPrefix(server.URL, "http://")
		c := &catalog.Catalog{Version: 1, Pools: []catalog.Pool{{Name: "pumps"}}}
		c.Index()
		n.SetCatalog(c)
		p.nodes[i], p.stores[i] = n, s
	}
	p.now.Store(int64(time.Minute))
	for _, n := range p.nodes {
		n.writeBeat(context.Background())
	}
	return p
}

func (p *pair) look() {
	for _, n := range p.nodes {
		n.observe(context.Background())
	}
}

func (p *pair) owner(g Gomega) string {
	list, _, err := p.stores[0].Store.Read(context.Background(), "owners", "pumps")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(list).To(HaveLen(1))
	var claim struct {
		Node string `json:"n"`
	}
	g.Expect(json.Unmarshal(list[0].Value, &claim)).To(Succeed())
	return claim.Node
}

// Guards against a pool that stands still until its owner has missed beats for 1.7 s, although the owner knows that only the store
// fails it; and against pools that wander from daemon to daemon while the store is away for all.
func TestStorelessOwnerGivesItsPoolsAway(t *testing.T) {
	g := NewWithT(t)
	p := newPair(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	a, b := p.nodes[0], p.nodes[1]
	p.look()
	g.Expect(a.take(ctx, "pumps")).To(Succeed())
	g.Expect(p.owner(g)).To(Equal("a"))

	for _, s := range p.stores {
		s.refuses.Store(true)
	}
	p.now.Add(int64(time.Second))
	p.look()
	g.Expect(a.handOffStoreless(ctx)).To(BeTrue())
	g.Eventually(a.handingOff.Load, "10s").Should(BeFalse())
	g.Expect(a.owned).To(HaveKey("pumps"), "while the store is away for all, the pool stays")

	p.stores[1].refuses.Store(false)
	p.now.Add(int64(declinedFor))
	p.look()
	g.Expect(a.handOffStoreless(ctx)).To(BeTrue())
	g.Eventually(func(g Gomega) { g.Expect(p.owner(g)).To(Equal("b")) }, "10s").Should(Succeed())
	g.Eventually(a.handingOff.Load, "10s").Should(BeFalse())
	g.Expect(a.owned).NotTo(HaveKey("pumps"))
	g.Expect(b.owned).To(HaveKey("pumps"))
	g.Expect(b.handOffStoreless(ctx)).To(BeFalse(), "a daemon that is served keeps its pools")
}
