package cluster

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"samphirepoint/owner"
	"samphirepoint/rows"
	"samphirepoint/rows/memrows"
)

// lateStore is a store whose answers to one call reach the daemon late, as its process is paused meanwhile.
type lateStore struct {
	rows.Store
	paused atomic.Bool
	pause  func()
}

func (s *lateStore) wait() {
	if s.paused.CompareAndSwap(true, false) {
		s.pause()
	}
}

func (s *lateStore) Read(ctx context.Context, table, part string) ([]rows.Row, int64, error) {
	list, ver, err := s.Store.Read(ctx, table, part)
	return list, ver, err
}

func (s *lateStore) Watch(ctx context.Context, table string, after int64, wait time.Duration) ([]rows.Row, int64, error) {
	list, ver, err := s.Store.Watch(ctx, table, after, wait)
	s.wait()
	return list, ver, err
}

func (s *lateStore) Transact(ctx context.Context, tx rows.Tx) (int64, error) {
	ver, err := s.Store.Transact(ctx, tx)
	s.wait()
	return ver, err
}

// joining returns a further daemon of a pair, which has not written its row yet.
func (p *pair) joining(t *testing.T, name string, store rows.Store) *Node {
	n := NewNode(Settings{Name: name, Store: store, Log: zerolog.Nop(), Now: func() time.Duration { return time.Duration(p.now.Load()) }})
	server := httptest.NewServer(n.PeerHandler())
	t.Cleanup(server.Close)
	n.settings.Address = strings.TrimPrefix(server.URL, "http://")
	return n
}

// Guards against a claim that counts as current on the word of nobody: the daemon got the pool by a transfer before it first read the members, so that it
// knows none, and takes the age of its process for that of its last read.
func TestDaemonThatNeverReadTheMembersConfirmsNoClaim(t *testing.T) {
	g := NewWithT(t)
	p := newPair(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	a, b := p.nodes[0], p.nodes[1]
	p.now.Store(int64(2 * time.Second)) // since the start of a's process
	_, err := a.handle(ctx, "pumps", claimRequest{From: "leaving"})
	g.Expect(err).NotTo(HaveOccurred())
	token, ver := p.claim(g).Token, claimVer(g, p)
	p.stores[0].refuses.Store(true)
	g.Expect(b.claimPool(ctx, "pumps")).To(Succeed())
	p.now.Add(int64(7 * time.Second))
	current, by, err := a.confirmByPeers(ctx, "pumps", token, ver)
	g.Expect(err == nil && current).To(BeFalse(), by)
}

func claimVer(g Gomega, p *pair) int64 {
	list, _, err := p.stores[0].Store.Read(context.Background(), owner.TableOwners, "pumps")
	g.Expect(err).NotTo(HaveOccurred())
	_, ver := owner.PresentClaim(owner.ClaimKey("pumps"), list)
	return ver
}

// Guards against a claim that counts as current since the members were read again while those of the former list were being asked: the list has no daemon
// that joined in between, and is older than the age that is checked.
func TestMembersReadWhileTheyAreAskedConfirmNoClaim(t *testing.T) {
	g := NewWithT(t)
	p := newPair(t)
	p.observe()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	a, b := p.nodes[0], p.nodes[1]
	claim, ver, err := Claim(ctx, p.stores[0], "pumps", owner.Claim{Node: "a"}, func(owner.Claim) error { return nil })
	g.Expect(err).NotTo(HaveOccurred())
	p.stores[0].refuses.Store(true)
	p.stores[1].refuses.Store(true)
	joined := p.joining(t, "c", p.stores[0].Store)
	joined.SetCatalog(a.Catalog())
	joined.writeHeartbeat(ctx)
	p.now.Add(int64(2 * time.Second))
	g.Expect(joined.claimPool(ctx, "pumps")).To(Succeed())
	for range 4 {
		p.now.Add(int64(maxViewAge / 4))
		joined.writeHeartbeat(ctx)
	}
	g.Expect(p.now.Load()).To(BeNumerically(">", joined.knownToAll()), "c needs not allow for daemons that don't know it")

	handler := b.PeerHandler()
	healing := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.stores[0].refuses.Store(false)
		g.Expect(a.observe(ctx)).To(BeTrue())
		handler.ServeHTTP(w, r)
	}))
	defer healing.Close()
	a.mu.Lock()
	a.view.members["b"].Address = strings.TrimPrefix(healing.URL, "http://")
	a.mu.Unlock()
	current, by, err := a.confirmByPeers(ctx, "pumps", claim.Token, ver)
	g.Expect(err == nil && current).To(BeFalse(), by)
}

// Guards against members that count as read when the answer was handled, not when it was asked for: a daemon that joined while this process was paused in
// between is neither asked nor waits for as long.
func TestMembersAreAsOldAsTheQuestion(t *testing.T) {
	g := NewWithT(t)
	p := newPair(t)
	p.observe()
	ctx := t.Context()
	a := p.nodes[0]
	claim, ver, err := Claim(ctx, p.stores[0], "pumps", owner.Claim{Node: "a"}, func(owner.Claim) error { return nil })
	g.Expect(err).NotTo(HaveOccurred())
	joined := p.joining(t, "c", memrows.New())
	joined.settings.Store = p.stores[0].Store
	late := &lateStore{Store: p.stores[0], pause: func() {
		joined.writeHeartbeat(ctx)
		p.now.Add(int64(5 * time.Second))
	}}
	late.paused.Store(true)
	a.settings.Store = late
	g.Expect(a.observe(ctx)).To(BeTrue())
	p.stores[0].refuses.Store(true)
	p.stores[1].refuses.Store(true)
	p.now.Add(int64(joined.knownToAll()) - p.now.Load() + int64(time.Millisecond))
	_, by, err := a.confirmByPeers(ctx, "pumps", claim.Token, ver)
	g.Expect(err).To(HaveOccurred(), by)
}

// Guards against a daemon that takes itself for known although its row was removed: its process was paused between the write of its row and the use of the
// answer, so that the next write seems to follow at once.
func TestDaemonPausedAfterItsHeartbeatMayBeUnknown(t *testing.T) {
	g := NewWithT(t)
	p := newPair(t)
	p.observe()
	ctx := t.Context()
	b := p.nodes[1]
	late := &lateStore{Store: p.stores[1], pause: func() { p.now.Add(int64(8 * time.Second)) }}
	late.paused.Store(true)
	b.settings.Store = late
	b.writeHeartbeat(ctx)
	p.now.Add(int64(400 * time.Millisecond)) // Its row may have been removed for a second by now.
	b.writeHeartbeat(ctx)
	g.Expect(b.knownToAll()).To(Equal(b.settings.Now() + maxViewAge))
}

// Guards against a task that runs twice since a successor that was cut off for long allowed for daemons that don't know it only at its claim: its row
// is removed, and the former owner forgets it while it still serves the pool.
func TestForgottenSuccessorIsAllowedFor(t *testing.T) {
	g := NewWithT(t)
	p := newPair(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	a, b := p.nodes[0], p.nodes[1]
	claim, ver, err := Claim(ctx, p.stores[0], "pumps", owner.Claim{Node: "a"}, func(owner.Claim) error { return nil })
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(b.claimPool(ctx, "pumps")).To(Succeed())
	b.writeHeartbeat(ctx)
	p.observe()
	knownAtTheClaim := b.knownToAll()

	for range 20 { // b is cut off from the store
		p.now.Add(int64(500 * time.Millisecond))
		a.writeHeartbeat(ctx)
		g.Expect(a.observe(ctx)).To(BeTrue())
		a.removeDeadMembers(ctx)
	}
	g.Expect(a.view.members).To(HaveLen(1), "b is forgotten")
	g.Expect(b.knownToAll()).To(Equal(b.settings.Now() + maxViewAge))
	g.Expect(b.knownToAll()).To(BeNumerically(">", knownAtTheClaim))
	p.stores[0].refuses.Store(true)
	current, _, err := a.confirmByPeers(ctx, "pumps", claim.Token, ver)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(current).To(BeFalse(), "its row has named the pool")
}
