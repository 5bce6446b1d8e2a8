package cluster

import (
	"bytes"
	"context"
	"encoding/json"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"
	"github.com/rs/zerolog"

	"samphirepoint/engine"
	"samphirepoint/owner"
	"samphirepoint/rows"
	"samphirepoint/rows/memrows"
	"samphirepoint/verdict"
)

// slowStore answers each call after a second of simulated time, in which other calls begin.
type slowStore struct{ *memrows.Store }

func (s slowStore) Transact(ctx context.Context, tx rows.Tx) (int64, error) {
	time.Sleep(time.Second)
	return s.Store.Transact(ctx, tx)
}

func anyClaim(owner.Claim) error { return nil }

// Guards against two attempts of one daemon that take one row for the success of both: two owners of one pool then ran under one
// claim, and each took the other's transactions for its own.
func TestConcurrentClaimsOfOneDaemonAreNotTakenForOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := slowStore{memrows.New()}
		claim := owner.Claim{Node: "a", Incarnation: "x", Address: "y"}
		var mu sync.Mutex
		var versions []int64
		for range 2 {
			go func() {
				if _, ver, err := Claim(t.Context(), s, "pumps", claim, anyClaim); err == nil {
					mu.Lock()
					versions = append(versions, ver)
					mu.Unlock()
				}
			}()
		}
		time.Sleep(time.Minute)
		mu.Lock()
		defer mu.Unlock()
		g.Expect(versions).To(HaveLen(1), "the attempt that comes second is given up: it would end the term that has just begun")
	})
}

// Guards against a claim that is given up although it succeeded and only the response was lost.
func TestClaimWithLostResponseSucceeds(t *testing.T) {
	g := NewWithT(t)
	s := memrows.New()
	lost := false
	s.Fault = func(call string) memrows.Fault {
		first := call == "transact" && !lost
		lost = lost || first
		return memrows.Fault{LoseResponse: first}
	}
	c, ver, err := Claim(t.Context(), s, "pumps", owner.Claim{Node: "a"}, anyClaim)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c.Token).To(Equal(int64(engine.TokensPerTerm)))
	g.Expect(ver).To(Equal(int64(1)))
}

// Guards against a pool that is claimed from its present owner on the request of a former one, which doesn't know yet that it has
// lost the pool.
func TestFormerOwnerCannotTransferPool(t *testing.T) {
	g := NewWithT(t)
	p := newPair(t)
	p.observe()
	a, b := p.nodes[0], p.nodes[1]
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g.Expect(b.claimPool(ctx, "pumps")).To(Succeed())
	g.Expect(a.claimPool(ctx, "pumps")).To(Succeed())
	_, err := b.handle(ctx, "pumps", claimRequest{From: "c", Token: engine.TokensPerTerm})
	g.Expect(verdict.Is(err, verdict.NotRun)).To(BeTrue(), "%v", err)
	g.Expect(p.claim(g).Token).To(Equal(int64(2 * engine.TokensPerTerm)))
	_, err = b.handle(ctx, "pumps", claimRequest{From: "a", Token: 2 * engine.TokensPerTerm})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(p.claim(g).Token).To(Equal(int64(3 * engine.TokensPerTerm)))
}

// Guards against a second term of a daemon for a pool that it has just claimed, when the request to claim it is repeated by a
// sender that timed out, or arrives while the daemon claims the pool on its own: the pool would be loaded again, and the first
// owner's work lost.
func TestRepeatedClaimRequestsStartOneTerm(t *testing.T) {
	g := NewWithT(t)
	p := newPair(t)
	p.observe()
	a, b := p.nodes[0], p.nodes[1]
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g.Expect(b.claimPool(ctx, "pumps")).To(Succeed())
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			_, err := a.handle(ctx, "pumps", claimRequest{From: "b"})
			g.Expect(err).NotTo(HaveOccurred())
		})
		wg.Go(func() { g.Expect(a.claimPool(ctx, "pumps")).To(Succeed()) })
	}
	wg.Wait()
	_, err := a.handle(ctx, "pumps", claimRequest{From: "b"})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(p.claim(g).Token).To(Equal(int64(2 * engine.TokensPerTerm)))
	g.Expect(a.owned["pumps"].Token()).To(Equal(int64(2 * engine.TokensPerTerm)))

	g.Expect(b.claimPool(ctx, "pumps")).To(Succeed())
	_, err = a.handle(ctx, "pumps", claimRequest{From: "b"})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(p.claim(g).Token).To(Equal(int64(4*engine.TokensPerTerm)), "a term that another daemon has overtaken does not count as ownership")
}

// Guards against a claim that is reported as not run although an unanswered write may have claimed the pool.
func TestClaimAfterUnansweredWriteIsUncertain(t *testing.T) {
	g := NewWithT(t)
	s := memrows.New()
	calls := 0
	s.Fault = func(string) memrows.Fault {
		calls++
		return memrows.Fault{LoseResponse: calls == 2, Refuse: calls > 2}
	}
	_, _, err := Claim(t.Context(), s, "pumps", owner.Claim{Node: "a"}, anyClaim)
	g.Expect(verdict.Is(err, verdict.MayHaveRun)).To(BeTrue(), "%v", err)
	s.Fault = nil
	list, _, err := s.Read(t.Context(), owner.TableOwners, "pumps")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(list).To(HaveLen(1), "the write has claimed the pool")
	s.Fault = func(string) memrows.Fault { return memrows.Fault{Refuse: true} }
	_, _, err = Claim(t.Context(), s, "pumps", owner.Claim{Node: "a"}, anyClaim)
	g.Expect(verdict.Is(err, verdict.NotRun)).To(BeTrue(), "%v", err)
}

// Guards against takeovers whose cause can't be told afterwards: each claim takes one log line.
func TestClaimsAreLoggedWithTheirCause(t *testing.T) {
	g := NewWithT(t)
	p := newPair(t)
	p.observe()
	a, b := p.nodes[0], p.nodes[1]
	log := gbytes.NewBuffer()
	a.settings.Log, b.settings.Log = zerolog.New(log), zerolog.New(log)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	lastClaim := func() map[string]any {
		var last map[string]any
		for _, line := range bytes.Split(log.Contents(), []byte("\n")) {
			var m map[string]any
			if json.Unmarshal(line, &m) == nil && m["message"] == "pool claimed" {
				last = m
			}
		}
		return last
	}
	g.Expect(b.claimPool(ctx, "pumps")).To(Succeed())
	g.Expect(lastClaim()).To(And(HaveKeyWithValue("cause", "assigned: no member owns it"), HaveKeyWithValue("token", float64(engine.TokensPerTerm)), HaveKey("ver")))
	_, err := a.handle(ctx, "pumps", claimRequest{From: "b", Token: engine.TokensPerTerm})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(lastClaim()).To(And(HaveKeyWithValue("cause", "transferred by b"), HaveKeyWithValue("former", "b"), HaveKeyWithValue("formerToken", float64(engine.TokensPerTerm))))
	b.writeHeartbeat(ctx)
	a.writeHeartbeat(ctx)
	p.observe()
	b.view.Refused("a")
	b.view.Refused("a")
	g.Expect(b.claimPool(ctx, "pumps")).To(Succeed())
	g.Expect(lastClaim()).To(And(HaveKeyWithValue("cause", "assigned: a refuses connections"), HaveKeyWithValue("token", 3.0*engine.TokensPerTerm)))
}
