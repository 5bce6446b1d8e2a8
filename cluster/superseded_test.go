package cluster

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"samphirepoint/engine"
	"samphirepoint/owner"
)

// ownersOfOnePool lets two owners serve the same pool one after the other, with control over what each of them reaches.
type ownersOfOnePool struct {
	*simPlatform
	ctx context.Context
}

func (x *ownersOfOnePool) serve(g *WithT, daemon string, settings owner.Settings) *owner.Owner {
	access := &simAccess{simPlatform: x.simPlatform, daemon: daemon}
	claim, ver, err := Claim(x.ctx, x.store, "pumps", owner.Claim{Node: daemon}, func(owner.Claim) error { return nil })
	g.Expect(err).NotTo(HaveOccurred())
	settings.Pool, settings.Token, settings.ClaimVer, settings.Store, settings.Workers = "pumps", claim.Token, ver, access, access
	settings.Options, settings.Log, settings.Now = engine.DefaultOptions(), zerolog.Nop(), func() time.Duration { return time.Since(x.began) }
	o := owner.New(x.ctx, settings)
	go func() { _ = o.Run() }()
	list, err := access.Workers(x.ctx, 0)
	g.Expect(err).NotTo(HaveOccurred())
	o.SetRoster(list["pumps"])
	return o
}

// lastingJob is a job whose runs go on until they are stopped, so that each task is at work all the time.
func (x *ownersOfOnePool) lastingJob() engine.Spec {
	spec := engine.Spec{ID: "00000000000000d1", Queue: "q", Steps: []engine.Step{{Count: 3, Need: engine.Resources{CPU: 5000, Mem: 100}}}}
	x.setLasting(spec.ID)
	x.setCPU(spec.ID, spec.Steps[0].Need.CPU)
	return spec
}

// workersOf returns the workers that run a task of a job.
func (x *ownersOfOnePool) workersOf(job string) map[string]bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	out := map[string]bool{}
	for id, w := range x.workers {
		x.expireLease(w)
		for task := range w.running {
			if t, err := engine.ParseTaskID(task); err == nil && t.Job == job {
				out[id] = true
			}
		}
	}
	return out
}

func (x *ownersOfOnePool) setCut(cut func(daemon, worker string) bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.cut = cut
}

func runOwnersOfOnePool(t *testing.T, fn func(g *WithT, x *ownersOfOnePool)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		x := &ownersOfOnePool{simPlatform: newSimPlatform(1), ctx: ctx}
		x.faultFree = true
		g := NewWithT(t)
		defer func() {
			cancel()
			time.Sleep(time.Minute)
		}()
		fn(g, x)
		x.mu.Lock()
		defer x.mu.Unlock()
		g.Expect(x.violations).To(BeEmpty())
	})
}

// Guards against a task that runs twice after a partition of the network: the former owner, on one side with some of the workers, can't
// know that the pool has another owner, and went on renewing the leases of its workers. The new owner, on the other side with the store,
// waits until these leases must have expired, and starts the tasks again.
func TestSupersededOwnerLetsLeasesExpire(t *testing.T) {
	for _, afterCut := range []time.Duration{0, 2 * time.Second, 6 * time.Second} {
		t.Run(fmt.Sprint(afterCut), func(t *testing.T) {
			runOwnersOfOnePool(t, func(g *WithT, x *ownersOfOnePool) {
				former := x.serve(g, "a", owner.Settings{})
				spec := x.lastingJob()
				g.Expect(former.Submit(x.ctx, spec)).To(Succeed())
				time.Sleep(4 * time.Second)
				side := x.workersOf(spec.ID)
				g.Expect(side).To(HaveLen(3))
				x.setCut(func(daemon, worker string) bool { return (daemon == "a") != side[worker] })
				time.Sleep(afterCut)
				x.serve(g, "b", owner.Settings{})
				time.Sleep(20 * time.Second)
				again := x.workersOf(spec.ID)
				g.Expect(again).To(HaveLen(3))
				for id := range again {
					g.Expect(side).NotTo(HaveKey(id), "the tasks run on the side of the new owner")
				}
				x.setCut(nil)
				time.Sleep(10 * time.Second)
				g.Expect(former.Done()).To(BeClosed())
				g.Expect(x.workersOf(spec.ID)).To(Equal(again))
			})
		})
	}
}

// Guards against running work that is given up because the store is away for longer than a lease, although no daemon can claim the pool
// meanwhile.
func TestLeasesAreRenewedWhileNobodyCanClaim(t *testing.T) {
	runOwnersOfOnePool(t, func(g *WithT, x *ownersOfOnePool) {
		o := x.serve(g, "a", owner.Settings{ConfirmByPeers: func(context.Context, string, int64, int64) (bool, string, error) { return true, "nobody", nil }})
		spec := x.lastingJob()
		g.Expect(o.Submit(x.ctx, spec)).To(Succeed())
		time.Sleep(4 * time.Second)
		at := x.workersOf(spec.ID)
		x.setCut(func(_, worker string) bool { return worker == "" })
		time.Sleep(40 * time.Second)
		g.Expect(x.workersOf(spec.ID)).To(Equal(at))
		x.setCut(nil)
		time.Sleep(5 * time.Second)
		g.Expect(x.workersOf(spec.ID)).To(Equal(at))
	})
}

// Guards against a claim that counts as current although another daemon may have made a later one, and against one that doesn't although
// nobody can have.
func TestClaimIsConfirmedByPeers(t *testing.T) {
	g := NewWithT(t)
	p := newPair(t)
	p.observe()
	a, b := p.nodes[0], p.nodes[1]
	claim, ver, err := Claim(t.Context(), p.stores[0], "pumps", owner.Claim{Node: "a"}, func(owner.Claim) error { return nil })
	g.Expect(err).NotTo(HaveOccurred())
	confirm := func() (bool, error) {
		current, _, err := a.confirmByPeers(t.Context(), "pumps", claim.Token, ver)
		return current, err
	}

	p.stores[0].refuses.Store(true)
	current, err := confirm()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(current).To(BeTrue(), "b reads the claim")

	p.stores[1].refuses.Store(true)
	p.now.Add(int64(2 * time.Second))
	current, err = confirm()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(current).To(BeTrue(), "the store answers nobody")

	p.stores[1].refuses.Store(false)
	_, _, err = Claim(t.Context(), p.stores[1], "pumps", owner.Claim{Node: "b"}, func(owner.Claim) error { return nil })
	g.Expect(err).NotTo(HaveOccurred())
	b.observe(t.Context())
	current, err = confirm()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(current).To(BeFalse(), "b has claimed the pool")

	silent, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer silent.Close()
	a.mu.Lock()
	a.view.members["b"].Address = silent.Addr().String()
	a.mu.Unlock()
	_, err = confirm()
	g.Expect(err).To(HaveOccurred(), "b can't be asked")
}

// Guards against a task that runs twice since the former owner takes its claim for current although another daemon serves the pool: that
// one has lost the store as well, or counted as dead when the members were last read, or has joined since.
func TestClaimIsNotConfirmedWhileAPeerServesThePool(t *testing.T) {
	for name, hide := range map[string]func(p *pair){
		"both lost the store": func(*pair) {},
		"taken for dead": func(p *pair) {
			p.nodes[0].view.Refused("b")
			p.nodes[0].view.Refused("b")
		},
		"no heartbeats": func(p *pair) { p.nodes[0].view.members["b"].changedAt -= time.Hour },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			p := newPair(t)
			p.observe()
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			a, b := p.nodes[0], p.nodes[1]
			claim, ver, err := Claim(ctx, p.stores[0], "pumps", owner.Claim{Node: "a"}, func(owner.Claim) error { return nil })
			g.Expect(err).NotTo(HaveOccurred())
			p.stores[0].refuses.Store(true)
			g.Expect(b.claimPool(ctx, "pumps")).To(Succeed())
			p.stores[1].refuses.Store(true)
			p.now.Add(int64(2 * time.Second))
			hide(p)
			current, by, err := a.confirmByPeers(ctx, "pumps", claim.Token, ver)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(current).To(BeFalse(), by)
		})
	}
}

// Guards against a claim that counts as current since one daemon's read of it failed, while another daemon, which can't be asked or refuses
// connections as it is behind a partition, may have claimed the pool.
func TestFailedReadOfAPeerConfirmsNoClaim(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	refusing, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = refusing.Close()
	for name, address := range map[string]string{"silent": silent.Addr().String(), "refusing": refusing.Addr().String()} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			p := newPair(t)
			p.observe()
			a := p.nodes[0]
			claim, ver, err := Claim(t.Context(), p.stores[0], "pumps", owner.Claim{Node: "a"}, func(owner.Claim) error { return nil })
			g.Expect(err).NotTo(HaveOccurred())
			a.view.Refresh([]Member{{Node: "c", Address: address, Heartbeat: 1}}, a.settings.Now())
			p.stores[0].refuses.Store(true)
			p.stores[1].refuses.Store(true) // b has lost the store only now, so that it still counts as served.
			_, _, err = a.confirmByPeers(t.Context(), "pumps", claim.Token, ver)
			g.Expect(err).To(HaveOccurred())
		})
	}
}

// Guards against a claim that counts as current on the word of the members that this daemon knew when it last read them, although one that has
// joined since may serve the pool. A daemon that has just joined waits for as long before it takes leases for expired.
func TestDaemonsThatJoinedLaterAreAllowedFor(t *testing.T) {
	g := NewWithT(t)
	p := newPair(t)
	p.observe()
	a, b := p.nodes[0], p.nodes[1]
	g.Expect(b.knownToAll()).To(Equal(a.settings.Now() + maxViewAge))
	claim, ver, err := Claim(t.Context(), p.stores[0], "pumps", owner.Claim{Node: "a"}, func(owner.Claim) error { return nil })
	g.Expect(err).NotTo(HaveOccurred())
	p.stores[0].refuses.Store(true)
	p.stores[1].refuses.Store(true)
	p.now.Add(int64(maxViewAge))
	current, _, err := a.confirmByPeers(t.Context(), "pumps", claim.Token, ver)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(current).To(BeTrue())
	p.now.Add(int64(time.Millisecond))
	_, _, err = a.confirmByPeers(t.Context(), "pumps", claim.Token, ver)
	g.Expect(err).To(HaveOccurred())

	p.stores[1].refuses.Store(false)
	b.writeHeartbeat(t.Context())
	g.Expect(b.knownToAll()).To(Equal(b.settings.Now()+maxViewAge), "its row may have been removed meanwhile")
	p.now.Add(int64(time.Second))
	b.writeHeartbeat(t.Context())
	g.Expect(b.knownToAll()).To(Equal(b.settings.Now() - time.Second + maxViewAge))
}

// Guards against a new owner that takes leases for expired while a former owner that doesn't know its daemon, or not any more, can still extend
// them.
func TestOwnerAllowsForFormersThatDoNotKnowIt(t *testing.T) {
	for name, forgottenAfter := range map[string]time.Duration{"joined": 0, "forgotten": 6 * time.Second} {
		t.Run(name, func(t *testing.T) {
			runOwnersOfOnePool(t, func(g *WithT, x *ownersOfOnePool) {
				var unawareUntil, forgottenAt time.Duration
				former := x.serve(g, "a", owner.Settings{ConfirmByPeers: func(context.Context, string, int64, int64) (bool, string, error) {
					if time.Since(x.began) > unawareUntil {
						return false, "", errors.New("the members were last read too long ago")
					}
					return true, "no member has a later claim", nil
				}})
				spec := x.lastingJob()
				g.Expect(former.Submit(x.ctx, spec)).To(Succeed())
				time.Sleep(4 * time.Second)
				side := x.workersOf(spec.ID)
				x.setCut(func(daemon, worker string) bool { return (daemon == "a") != side[worker] })
				forgottenAt = time.Since(x.began) + forgottenAfter
				unawareUntil = forgottenAt + maxViewAge
				x.serve(g, "b", owner.Settings{KnownToAll: func() time.Duration {
					if time.Since(x.began) < forgottenAt {
						return 0
					}
					return unawareUntil
				}})
				time.Sleep(unawareUntil + 20*time.Second)
				g.Expect(x.workersOf(spec.ID)).To(HaveLen(3))
				for id := range x.workersOf(spec.ID) {
					g.Expect(side).NotTo(HaveKey(id), "the tasks run on the side of the new owner")
				}
			})
		})
	}
}

// Guards against a former owner that goes on since the one message that tells it of the new claim was lost.
func TestFormerOwnerIsToldUntilItAnswers(t *testing.T) {
	g := NewWithT(t)
	p := newPair(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var calls atomic.Int32
	handler := p.nodes[0].PeerHandler()
	unreliable := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) <= 4 {
			panic(http.ErrAbortHandler)
		}
		handler.ServeHTTP(w, r)
	}))
	defer unreliable.Close()
	p.nodes[0].settings.Address = strings.TrimPrefix(unreliable.URL, "http://")
	p.nodes[0].writeHeartbeat(ctx)
	p.observe()
	g.Expect(p.nodes[0].claimPool(ctx, "pumps")).To(Succeed())
	p.nodes[0].mu.Lock()
	former := p.nodes[0].pools["pumps"]
	p.nodes[0].mu.Unlock()
	p.stores[0].refuses.Store(true)
	g.Expect(p.nodes[1].claimPool(ctx, "pumps")).To(Succeed())
	g.Eventually(former.Done(), 5*time.Second).Should(BeClosed())
}
