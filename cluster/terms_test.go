package cluster

import (
	"context"
	"maps"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"samphirepoint/catalog"
	"samphirepoint/engine"
	"samphirepoint/rows"
	"samphirepoint/rows/memrows"
)

// Guards against giving up a pool that has come back to this daemon while the response to its transfer was on its way.
func TestTransferReleasesOnlyTheTransferredTerm(t *testing.T) {
	g := NewWithT(t)
	p := newPair(t)
	p.observe()
	a := p.nodes[0]
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g.Expect(a.claimPool(ctx, "pumps")).To(Succeed())
	transferred := a.owned["pumps"]
	g.Expect(p.nodes[1].claimPool(ctx, "pumps")).To(Succeed())
	g.Expect(a.claimPool(ctx, "pumps")).To(Succeed())
	a.release("pumps", transferred)
	g.Expect(a.owned).To(HaveKey("pumps"))
	g.Expect(a.owned["pumps"].Token()).To(Equal(int64(3 * engine.TokensPerTerm)))
}

// blockedStore answers writes shortly after the caller has given up.
type blockedStore struct{ *memrows.Store }

func (s blockedStore) Transact(ctx context.Context, _ rows.Tx) (int64, error) {
	<-ctx.Done()
	time.Sleep(10 * time.Millisecond)
	return 0, ctx.Err()
}

// Guards against a daemon that does not end because Run holds the node's mutex while it waits for a heartbeat, which needs it.
func TestRunEndsDuringHeartbeat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		began := time.Now()
		n := NewNode(Settings{Name: "a", Store: blockedStore{memrows.New()}, Log: zerolog.Nop(), Now: func() time.Duration { return time.Since(began) }})
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_ = n.Run(ctx)
		}()
		time.Sleep(storeTimeout / 2)
		cancel()
		<-ended
	})
}

// Guards against a term that goes on although its successor has announced itself, because that daemon's row was not read yet.
func TestAnnouncementOfUnknownMemberEndsTerm(t *testing.T) {
	g := NewWithT(t)
	p := newPair(t)
	p.observe()
	a := p.nodes[0]
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g.Expect(a.claimPool(ctx, "pumps")).To(Succeed())
	term := a.pools["pumps"]
	_, err := a.handle(ctx, "pumps", ownerNotice{Token: 2 * engine.TokensPerTerm, From: "new"})
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(term.Done(), "10s").Should(BeClosed())
}

// panickingTerm panics while it serves.
type panickingTerm struct{ stopped atomic.Bool }

func (*panickingTerm) Token() int64 { return 1 }
func (*panickingTerm) Run() error   { panic("an unexpected state") }
func (t *panickingTerm) Stop()      { t.stopped.Store(true) }

// Guards against an unexpected state of one pool that takes down the process with all its pools and callers.
func TestPanicEndsOneTermOnly(t *testing.T) {
	g := NewWithT(t)
	p := newPair(t)
	a := p.nodes[0]
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g.Expect(a.claimPool(ctx, "routes")).To(Succeed())
	term := &panickingTerm{}
	a.runTerm("pumps", term, nil)
	owned := func() map[string]Term {
		a.mu.Lock()
		defer a.mu.Unlock()
		return maps.Clone(a.owned)
	}
	g.Eventually(owned).Should(And(HaveLen(1), HaveKey("routes")))
	g.Expect(term.stopped.Load()).To(BeTrue())
}

// Guards against an owner that keeps an older configuration, with no cap for a workspace, because a newer one came between the start of its term and
// its registration.
func TestConfigurationThatComesWhileATermStartsIsInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		began := time.Now()
		version := func(v int64, limit engine.Resources) *catalog.Catalog {
			c := &catalog.Catalog{Version: v, Workspaces: []catalog.Workspace{{Name: "w", Cap: limit}}}
			c.Index()
			return c
		}
		var n *Node
		starting := false
		n = NewNode(Settings{Name: "a", Store: memrows.New(), Options: engine.DefaultOptions(), Log: zerolog.Nop(), Now: func() time.Duration {
			if starting { // The owner that is being created reads the clock.
				starting = false
				n.SetCatalog(version(2, engine.Resources{CPU: 1000}))
			}
			return time.Since(began)
		}})
		n.SetCatalog(version(1, engine.Resources{}))
		starting = true
		n.startTerm(ctx, "pumps", 1, 0, time.Nanosecond)
		capped := false
		g.Expect(n.pools["pumps"].WithState(ctx, func(p *engine.Pool, c engine.Clock) {
			r := p.ExplainPlacement(engine.Spec{ID: "00000000000000a1", Workspace: "w", Steps: []engine.Step{{Count: 1}}}, c)
			capped = r.Workspace.Capped
		})).To(Succeed())
		g.Expect(capped).To(BeTrue())
	})
}
