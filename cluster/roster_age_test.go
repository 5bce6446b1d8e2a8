package cluster

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"samphirepoint/engine"
	"samphirepoint/rows/memrows"
)

// failingRoster is a list of workers of which reads can be made to fail.
type failingRoster struct {
	Roster
	fails bool
}

func (r *failingRoster) Workers(ctx context.Context, wait time.Duration) (map[string][]engine.WorkerInfo, error) {
	if r.fails {
		return nil, errNoResponse()
	}
	return r.Roster.Workers(ctx, wait)
}

// Guards against a new owner that starts work at a worker that began to drain long ago: its daemon has owned nothing for some seconds, so
// that its list of workers is old, and the first read of the new term fails.
func TestNewOwnerStartsNothingByAListFromBeforeItsTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(t.Context())
		x := newClusterSimulation(t, ctx, 0)
		x.faultFree = true
		ln, err := x.network.Listen("127.0.0.1:0")
		g.Expect(err).NotTo(HaveOccurred())
		access := &simAccess{simPlatform: x.simPlatform, daemon: "a"}
		n, server := x.newNode("a", "a", ln, access)
		defer func() {
			cancel()
			n.stopTerms()
			_ = server.Close()
			n.peers.http.CloseIdleConnections()
			x.judge(t)
		}()
		started := func() int {
			x.mu.Lock()
			defer x.mu.Unlock()
			return len(x.simPlatform.tasks)
		}
		roster := &failingRoster{Roster: access}
		n.settings.Roster = roster
		n.SetCatalog(x.catalog)
		n.readLayout(ctx)

		n.readRoster(ctx)
		for _, in := range x.instances {
			x.drain(in)
		}
		time.Sleep(simNoticeTime + 500*time.Millisecond)
		pool := simPools[0]
		g.Expect(n.claimOnce(ctx, pool, 0, "test")).To(Succeed())
		spec := engine.Spec{ID: "00000000000000e1", Queue: "q-" + pool, Steps: []engine.Step{{Count: 4, Need: engine.Resources{CPU: 1000, Mem: 100}}}}
		x.spawn(func() { _ = n.Submit(ctx, pool, &spec) })
		roster.fails = true
		for range 3 {
			time.Sleep(100 * time.Millisecond)
			n.readRoster(ctx)
		}
		time.Sleep(500 * time.Millisecond)
		g.Expect(started()).To(BeZero(), "nothing starts by the old list")
		roster.fails = false
		time.Sleep(simDrainTime)
		n.readRoster(ctx)
		time.Sleep(time.Second)
		g.Expect(started()).To(Equal(4), "work starts once the list is read")
	})
}

// stuckRoster is a list of workers whose next reads take the given time and fail.
type stuckRoster struct{ stuckFor time.Duration }

func (r *stuckRoster) Workers(context.Context, time.Duration) (map[string][]engine.WorkerInfo, error) {
	time.Sleep(r.stuckFor)
	if r.stuckFor > 0 {
		return nil, errNoResponse()
	}
	return map[string][]engine.WorkerInfo{}, nil
}

// Guards against owners that stop starting work while the list of workers is away for everybody, and against a list that counts as
// followed although its daemon owned nothing or was paused meanwhile.
func TestFailedReadsExtendOnlyAFollowedList(t *testing.T) {
	const readLimit = rosterWait + storeTimeout
	for name, c := range map[string]struct {
		pauseBefore, readTakes time.Duration
		extends                bool
	}{
		"reads that get no answer": {20 * time.Millisecond, readLimit, true},
		"reads that are rejected":  {250 * time.Millisecond, time.Millisecond, true},
		"paused in a read":         {20 * time.Millisecond, readLimit + time.Second, false},
		"owned nothing":            {time.Second, time.Millisecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				began := time.Now()
				roster := &stuckRoster{}
				n := NewNode(Settings{Name: "a", Store: memrows.New(), Roster: roster, Log: zerolog.Nop(), Now: func() time.Duration { return time.Since(began) }})
				n.readRoster(t.Context())
				readAt := n.rosterReadAt
				for range 6 {
					time.Sleep(c.pauseBefore)
					roster.stuckFor = c.readTakes
					n.readRoster(t.Context())
					g.Expect(n.rosterReadAt).To(Equal(readAt))
					if c.extends {
						g.Expect(n.rosterTriedAt).To(Equal(n.clock()))
					} else {
						g.Expect(n.rosterTriedAt).To(Equal(readAt))
					}
				}
				roster.stuckFor = 0
				n.readRoster(t.Context())
				g.Expect(n.rosterTriedAt).To(Equal(n.clock()), "a read that succeeds counts at once")
			})
		})
	}
}
