package cluster

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"samphirepoint/catalog"
	"samphirepoint/engine"
	"samphirepoint/owner"
	"samphirepoint/shard"
	"samphirepoint/standin/memnet"
	"samphirepoint/upkeep"
)

const (
	simSeeds   = 12
	simDaemons = 4
	// simMaxShards is the greatest number of shards of a pool; the seeds have 1 up to this number.
	simMaxShards = 3
	// simFaultTime is the time with jobs and faults, simCalmTime the time after it in which all jobs must end.
	simFaultTime = 30 * time.Second
	simCalmTime  = 14 * time.Second
	// simJobInterval is the time between two jobs; the workers are about half busy.
	simJobInterval = 60 * time.Millisecond
	// simFaultInterval is the mean time between two faults.
	simFaultInterval = 1200 * time.Millisecond
)

// clusterSimulation is several daemons on a simulated platform and network.
type clusterSimulation struct {
	*simPlatform
	network  *memnet.Network
	catalog  *catalog.Catalog
	nodes    []*Node
	ctx      context.Context
	servers  []*http.Server
	tasks    sync.WaitGroup
	accepted map[string]string // job -> pool
	// faultTime, calmTime and jobInterval are simFaultTime, simCalmTime and simJobInterval, or those of another test.
	faultTime, calmTime, jobInterval time.Duration
	// logs receives the daemons' logs. It may be nil.
	logs *simLogs
}

func newClusterSimulation(t *testing.T, ctx context.Context, seed uint64) *clusterSimulation {
	x := &clusterSimulation{
		simPlatform: newSimPlatform(seed), network: memnet.New(), ctx: ctx, accepted: map[string]string{},
		faultTime: simFaultTime, calmTime: simCalmTime, jobInterval: simJobInterval,
	}
	c := &catalog.Catalog{Version: 1}
	for _, pool := range simPools {
		c.Pools = append(c.Pools, catalog.Pool{Name: pool})
		if err := shard.Create(ctx, x.store, pool, 1+int(seed%simMaxShards)); err != nil {
			t.Fatal(err)
		}
		c.Queues = append(c.Queues, catalog.Queue{Queue: engine.Queue{Name: "q-" + pool, Attempts: 9, Stretch: 2, TargetMS: 600}, Pool: pool})
	}
	c.Index()
	x.catalog = c
	return x
}

// startDaemons starts simDaemons daemons that run until the end.
func (x *clusterSimulation) startDaemons(t *testing.T) {
	for k := range simDaemons {
		ln, err := x.network.Listen("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		name := fmt.Sprintf("edge-%d", k)
		n, s := x.newNode(name, name, ln, &simAccess{simPlatform: x.simPlatform, daemon: name})
		x.nodes = append(x.nodes, n)
		x.servers = append(x.servers, s)
		x.runNode(x.ctx, n)
	}
}

func (x *clusterSimulation) runNode(ctx context.Context, n *Node) {
	n.SetCatalog(x.catalog)
	x.spawn(func() { _ = n.Run(ctx) })
	x.spawn(func() { _ = n.FollowRoster(ctx, 250*time.Millisecond) })
}

func (x *clusterSimulation) spawn(fn func()) { x.tasks.Go(fn) }

// newNode returns a daemon's node, and the server that receives the calls of others for it.
func (x *clusterSimulation) newNode(name, incarnation string, ln net.Listener, access *simAccess) (*Node, *http.Server) {
	now := func() time.Duration { return time.Since(x.began) }
	log := zerolog.Nop()
	if x.logs != nil {
		log = zerolog.New(x.logs).With().Str("node", name).Logger()
	}
	var n *Node
	n = NewNode(Settings{
		Name: name, Incarnation: incarnation, Address: ln.Addr().String(), Store: access, Workers: access, Roster: access, Network: x.network,
		Options: engine.DefaultOptions(), Log: log, Now: now,
		WorkersWithOpenOrders: func(ctx context.Context) ([]string, error) {
			return upkeep.WorkersWithOpenOrders(ctx, access, FleetControllerRole)
		},
		NewFleetController: func(ctx context.Context, token, ver int64) Term {
			return upkeep.New(ctx, upkeep.Settings{
				Role: FleetControllerRole, Holder: name, Token: token, ClaimVer: ver, Store: access, Instances: access, Pools: n, Waves: access,
				HandoverDelay: 300 * time.Millisecond, Log: log, Now: now,
			})
		},
	})
	s := &http.Server{Handler: x.unreliable(name, n.PeerHandler())}
	x.spawn(func() { _ = s.Serve(ln) })
	return n, s
}

// node returns a random daemon.
func (x *clusterSimulation) node() *Node {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.nodes[x.rnd.IntN(len(x.nodes))]
}

// unreliable delays or drops calls to a daemon.
func (x *clusterSimulation) unreliable(daemon string, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		x.mu.Lock()
		delay, dropped := time.Duration(x.rnd.IntN(5))*time.Millisecond, !x.faultFree && x.rnd.IntN(x.callsPerLoss) == 0
		if time.Now().Before(x.slowUntil[daemon]) {
			delay += time.Duration(x.rnd.IntN(400)) * time.Millisecond
		}
		lost := x.cutOff != daemon && x.rnd.IntN(2) == 0
		dropped = dropped || x.cutOff == daemon
		x.mu.Unlock()
		time.Sleep(delay)
		if dropped && lost {
			h.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler) // executed, but not answered
		}
		if dropped {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		h.ServeHTTP(w, r)
	})
}

func (x *clusterSimulation) intN(n int) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.rnd.IntN(n)
}

// submitJobs submits jobs until the end of the time with faults.
func (x *clusterSimulation) submitJobs() {
	for k := 0; time.Since(x.began) < x.faultTime; k++ {
		time.Sleep(x.jobInterval)
		pool := simPools[x.intN(len(simPools))]
		spec := engine.Spec{ID: fmt.Sprintf("%016x", k), Queue: "q-" + pool, Steps: []engine.Step{
			{Count: 1 + x.intN(4), Need: engine.Resources{CPU: 1000, Mem: 100}, EstimateMS: 300},
			{Count: 1 + x.intN(2), Need: engine.Resources{CPU: 1000, Mem: 100}, EstimateMS: 300, After: []int{0}},
		}}
		n := x.node()
		x.spawn(func() {
			x.awaitResume(n.settings.Name)
			ctx, cancel := context.WithTimeout(x.ctx, 3*time.Second)
			defer cancel()
			if n.Submit(ctx, pool, &spec) == nil {
				x.mu.Lock()
				x.accepted[spec.ID] = pool
				x.mu.Unlock()
			}
		})
	}
}

// injectFaults makes daemons slow and lets pools change their owner, until the end of the time with faults.
func (x *clusterSimulation) injectFaults() {
	for time.Since(x.began) < simFaultTime {
		time.Sleep(time.Duration(x.intN(int(2 * simFaultInterval))))
		parts := append([]string{FleetControllerRole}, x.nodes[0].Layout().Names(simPools...)...)
		pool := parts[x.intN(len(parts))]
		from, ok := Owner(x.nodes[0].Alive(), pool)
		to := x.nodes[x.intN(len(x.nodes))]
		if !ok {
			continue
		}
		switch x.intN(7) {
		case 0: // the owner's calls are slow, while its workers finish what they run
			x.slowDown(from.Node)
		case 1: // the request to claim a pool is repeated before it was answered
			x.slowDown(to.settings.Name)
			for range 3 {
				x.spawn(func() {
					time.Sleep(time.Duration(x.intN(400)) * time.Millisecond)
					_, _ = to.handle(x.ctx, pool, claimRequest{From: from.Node, Token: from.Pools[pool]})
				})
			}
		case 2: // a daemon with another view of the members claims the pool
			x.spawn(func() { _ = to.claimPool(x.ctx, pool) })
		case 3: // parts of the store are away
			x.takeAway(pool, memberPart(from.Node))
			if x.intN(4) == 0 {
				x.takeAway(owner.StandbyPart(pool))
			}
		case 4: // the owner is on one side of a partition with some of the workers, the store and all others on the other side
			x.partition(from.Node)
		case 5: // a worker leaves
			x.drain(x.instances[fmt.Sprintf("m-%s-%d", simPools[x.intN(len(simPools))], x.intN(simInstancesPerPool))])
		case 6: // the owner transfers the pool, as when it leaves or the store doesn't serve it
			k := slices.IndexFunc(x.nodes, func(n *Node) bool { return n.settings.Name == from.Node })
			if m, ok := memberNamed(x.nodes[0].Alive(), to.settings.Name); ok && to != x.nodes[k] {
				x.spawn(func() { _ = x.nodes[k].transferPool(x.ctx, pool, m, x.intN(2) == 0) })
			}
		}
	}
}

// partition cuts a daemon off from the store, from calls of the other daemons and from half of the workers, and the other daemons from
// the other half. It begins only while there is time for the leases behind it to expire before the jobs are checked.
func (x *clusterSimulation) partition(daemon string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.cut != nil || time.Since(x.began) > simFaultTime/3 {
		return
	}
	side := map[string]bool{}
	for id := range x.workers {
		side[id] = x.rnd.IntN(2) == 0
	}
	x.cut = func(from, worker string) bool { return (from == daemon) != (worker != "" && side[worker]) }
	x.cutOff = daemon
	time.AfterFunc(time.Duration(1+x.rnd.IntN(14))*time.Second, func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		x.cut, x.cutOff, x.cutUntil = nil, "", time.Now()
	})
}

// takeAway begins an outage of parts of the store.
func (x *clusterSimulation) takeAway(parts ...string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	o := simOutage{until: time.Now().Add(time.Duration(500+x.rnd.IntN(4000)) * time.Millisecond), silent: x.rnd.IntN(2) == 0}
	for _, part := range parts {
		x.away[part] = o
	}
}

// slowDown makes the calls of a daemon slow for a while.
func (x *clusterSimulation) slowDown(daemon string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.slowUntil[daemon] = time.Now().Add(time.Duration(500+x.rnd.IntN(2500)) * time.Millisecond)
}

// checkJobs checks that every accepted job is completed.
func (x *clusterSimulation) checkJobs() {
	x.mu.Lock()
	defer x.mu.Unlock()
	for id, pool := range x.accepted {
		x.mu.Unlock()
		state, known, err := x.nodes[0].State(x.ctx, pool, JobRef{ID: id})
		x.mu.Lock()
		if err != nil || state != engine.Completed {
			x.mu.Unlock()
			_, why, _, _ := x.nodes[0].Explain(x.ctx, id)
			report, reportErr := x.nodes[0].Report(x.ctx, pool)
			x.mu.Lock()
			x.violate("LOST: job %s of %s is %q (known %t): %v; %+v; pool %+v (%v)", id, pool, state, known, err, why, report.Workers, reportErr)
		}
	}
}

func (x *clusterSimulation) run(injectFaults func()) {
	x.spawn(x.submitJobs)
	x.spawn(injectFaults)
	time.Sleep(x.faultTime)
	x.mu.Lock()
	x.faultFree = true
	clear(x.slowUntil)
	clear(x.away)
	x.mu.Unlock()
	time.Sleep(x.calmTime)
	x.checkJobs()
}

func (x *clusterSimulation) close() {
	for _, s := range x.servers {
		_ = s.Close()
	}
	for _, n := range x.nodes {
		n.peers.http.CloseIdleConnections()
	}
}

// judge waits until all tasks have ended, and reports the violations.
func (x *clusterSimulation) judge(t *testing.T) {
	x.tasks.Wait()
	time.Sleep(time.Minute) // for delayed calls and idle connections to end
	x.mu.Lock()
	defer x.mu.Unlock()
	t.Logf("%d jobs accepted, %d waves, %d workers", len(x.accepted), x.wave.ID, len(x.workers))
	if len(x.violations) > 0 {
		t.Errorf("%d violations: %s%s", len(x.violations), strings.Join(x.violations, "\n"), x.logs.about(x.violations[0]))
	}
}

// Guards against a task that runs twice, a run that an order for an instance ends, and an accepted job that is lost, while pools
// change their owner with transactions in flight and instances are taken down as soon as their workers are reported as empty.
func TestTakeoversWhileInstancesMove(t *testing.T) {
	for seed := range uint64(simSeeds) {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				x := newClusterSimulation(t, ctx, seed)
				x.startDaemons(t)
				x.run(x.injectFaults)
				cancel()
				x.close()
				x.judge(t)
			})
		})
	}
}
