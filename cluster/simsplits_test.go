package cluster

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"samphirepoint/owner"
)

const (
	// splitSeedsVariable names the environment variable with the seeds of TestSplitsAndOutages, as FIRST-LAST.
	splitSeedsVariable = "SAMPHIREPOINT_SPLIT_SEEDS"
	splitSeeds         = 2
	// splitFaultTime is the time with jobs and faults. In splitCalmTime all leases end, and then all jobs, some of which run long. Both together
	// are less than the time for which ended jobs are kept.
	splitFaultTime   = 36 * time.Second
	splitCalmTime    = 75 * time.Second
	splitJobInterval = 100 * time.Millisecond
	// splitFaultInterval is the least mean time between two faults; it is up to splitMaxSparseness times that. Before splitCalmStart there are none.
	splitFaultInterval = 1500 * time.Millisecond
	splitMaxSparseness = 4
	splitCalmStart     = 2 * time.Second
	// splitCallsPerLoss is how many calls between daemons there are for one that is lost without a split.
	splitCallsPerLoss = 40
	// simCallsPerLoss is the same in the other simulations.
	simCallsPerLoss = 3
	// shortestSplit and longestSplit bound the length of a split; some outlast a lease and the wait of a new owner.
	shortestSplit = 500 * time.Millisecond
	longestSplit  = 24 * time.Second
	// longestPause bounds how long a daemon stands still, longestDown how long a daemon or worker is down until it starts again.
	longestPause = 6 * time.Second
	longestDown  = 3 * time.Second
	// longestDead is the same for a daemon whose row the others may remove meanwhile.
	longestDead = 9 * time.Second
	// longestDelay bounds how late a request that a split holds back is executed. One in requestsPerDelay is.
	longestDelay     = 4 * time.Second
	requestsPerDelay = 4
	// simShortestLongRun and simLongestRun bound the length of long runs, one in simLongRunShare. Some outlast the longest lease.
	simShortestLongRun = 8 * time.Second
	simLongestRun      = 20 * time.Second
	simLongRunShare    = 10
)

// splitSimulation is a simulated cluster whose network is split, while daemons and workers end and start again.
type splitSimulation struct {
	*clusterSimulation
	// daemons holds the running daemon at each place, names the name at each address.
	daemons []*splitDaemon
	names   map[string]string
	// ended holds the nodes whose process has ended.
	ended   []*Node
	started int
	// faultInterval is the mean time between two faults.
	faultInterval time.Duration
}

// splitDaemon is one process of a daemon.
type splitDaemon struct {
	name, address string
	node          *Node
	access        *simAccess
	server        *http.Server
	cancel        context.CancelFunc
}

// startDaemon starts a daemon at a place, with an address or, if that is "", at a new one.
func (x *splitSimulation) startDaemon(place int, name, address string) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	ln, err := x.network.Listen(address)
	if err != nil {
		panic(err)
	}
	ctx, cancel := context.WithCancel(x.ctx)
	x.mu.Lock()
	x.started++
	incarnation := fmt.Sprint(name, "-", x.started)
	x.names[ln.Addr().String()] = name
	x.mu.Unlock()
	d := &splitDaemon{name: name, address: ln.Addr().String(), cancel: cancel, access: &simAccess{simPlatform: x.simPlatform, daemon: name}}
	d.node, d.server = x.newNode(name, incarnation, ln, d.access)
	d.node.peers.http.Transport = &simTransport{splitSimulation: x, access: d.access, base: d.node.peers.http.Transport}
	x.mu.Lock()
	x.daemons[place], x.nodes[place] = d, d.node
	x.mu.Unlock()
	x.runNode(ctx, d.node)
}

// endDaemon ends the daemon at a place as a kill does. It returns nil if none runs there.
func (x *splitSimulation) endDaemon(place int) *splitDaemon {
	x.mu.Lock()
	d := x.daemons[place]
	if d.access.ended {
		x.mu.Unlock()
		return nil
	}
	d.access.ended = true
	x.ended = append(x.ended, d.node)
	x.mu.Unlock()
	d.cancel()
	_ = d.server.Close()
	return d
}

// replaceDaemon ends the daemon at a place. It starts again after a while, or another one does that nobody knows.
func (x *splitSimulation) replaceDaemon(place int, down time.Duration, known, graceful bool) {
	x.mu.Lock()
	leaving := x.daemons[place]
	x.mu.Unlock()
	if graceful {
		ctx, cancel := context.WithTimeout(x.ctx, 2*time.Second)
		leaving.node.Leave(ctx)
		cancel()
	}
	d := x.endDaemon(place)
	if d == nil {
		return
	}
	time.Sleep(down)
	name, address := d.name, d.address
	if !known {
		name, address = x.newName(), ""
	}
	x.startDaemon(place, name, address)
	x.disturb(name, 0)
}

// disturb notes that a daemon is not in touch for a while.
func (x *splitSimulation) disturb(daemon string, d time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if until := time.Now().Add(d); until.After(x.disturbedUntil[daemon]) {
		x.disturbedUntil[daemon] = until
	}
}

func (x *splitSimulation) between(from, to time.Duration) time.Duration {
	return from + time.Duration(x.intN(int(to-from)))
}

// split divides the network for a while.
func (x *splitSimulation) split(s *simSplit, d time.Duration) {
	x.mu.Lock()
	x.splits[s] = true
	var held []string
	for _, d := range x.daemons {
		for to := range x.workers {
			if s.blocks(d.name, to) || s.blocks(to, d.name) {
				held = append(held, d.name+"~"+to)
			}
		}
		for _, to := range []string{simStore, simInstances} {
			if s.blocks(d.name, to) || s.blocks(to, d.name) {
				held = append(held, d.name+"~"+to)
			}
		}
	}
	x.mu.Unlock()
	slices.Sort(held)
	x.logs.fault("split for %s: %s", d, held)
	time.AfterFunc(min(d, x.faultTime-time.Since(x.began)), func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		delete(x.splits, s)
		x.cutUntil = time.Now()
	})
}

// drawSplit returns a split between random sides, in one direction or both. Workers and daemons that start later join random sides.
func (x *splitSimulation) drawSplit() *simSplit {
	far := map[string]bool{simStore: false}
	if x.intN(2) == 0 { // few daemons, so that the others go on without them
		x.mu.Lock()
		for place, d := range x.daemons {
			far[d.name] = place == x.rnd.IntN(len(x.daemons))
		}
		x.mu.Unlock()
	}
	side := func(endpoint string) bool {
		if _, ok := far[endpoint]; !ok {
			far[endpoint] = x.rnd.IntN(2) == 0
		}
		return far[endpoint]
	}
	switch x.intN(4) {
	case 0:
		return &simSplit{blocks: func(from, to string) bool { return side(from) && !side(to) }}
	case 1:
		return &simSplit{blocks: func(from, to string) bool { return !side(from) && side(to) }}
	}
	return &simSplit{blocks: func(from, to string) bool { return side(from) != side(to) }}
}

// storeAway returns a split between the store and the given daemons, or all if that is nil.
func storeAway(daemons map[string]bool) *simSplit {
	return &simSplit{blocks: func(from, to string) bool {
		return from == simStore && (daemons == nil || daemons[to]) || to == simStore && (daemons == nil || daemons[from])
	}}
}

// isolateStore takes the store away from the far side of a split, then from all daemons, and gives it back to a part of them first.
func (x *splitSimulation) isolateStore() {
	first, all, rest := x.between(shortestSplit, longestSplit/3), x.between(shortestSplit, longestSplit), x.between(0, longestSplit/3)
	x.split(x.drawSplit(), first+x.between(0, all+rest))
	time.Sleep(first)
	x.split(storeAway(nil), all)
	x.mu.Lock()
	later := map[string]bool{}
	for _, d := range x.daemons {
		later[d.name] = x.rnd.IntN(2) == 0
	}
	x.mu.Unlock()
	x.split(storeAway(later), all+rest)
}

// splitOff returns a split with a daemon and half of the workers on one side, the other daemons and workers on the other one. The store
// is on the daemon's side if withStore is set.
func (x *splitSimulation) splitOff(daemon string, withStore bool) *simSplit {
	x.mu.Lock()
	defer x.mu.Unlock()
	onSide := map[string]bool{daemon: true, simStore: withStore, simInstances: withStore}
	for id := range x.workers {
		onSide[id] = x.rnd.IntN(2) == 0
	}
	return &simSplit{blocks: func(from, to string) bool { return onSide[from] != onSide[to] }}
}

// joinBehindSplit ends a daemon, and lets it or another one start alone on the side of the store, unknown to the owners on the other side.
func (x *splitSimulation) joinBehindSplit(place int, known bool) {
	d := x.endDaemon(place)
	if d == nil {
		return
	}
	time.Sleep(x.between(0, longestDead))
	name, address := d.name, d.address
	if !known {
		name, address = x.newName(), ""
	}
	x.split(x.splitOff(name, true), x.between(longestSplit/2, longestSplit))
	time.Sleep(x.between(0, time.Second))
	x.startDaemon(place, name, address)
	x.disturb(name, 0)
}

// newName returns the name of a daemon that nobody knows.
func (x *splitSimulation) newName() string {
	x.mu.Lock()
	defer x.mu.Unlock()
	return fmt.Sprintf("edge-%d", simDaemons+x.started)
}

// injectFaults splits the network, and ends, pauses and starts daemons and workers, until the end of the time with faults.
func (x *splitSimulation) injectFaults() {
	time.Sleep(splitCalmStart)
	for {
		time.Sleep(time.Duration(x.intN(int(2 * x.faultInterval))))
		if time.Since(x.began) > x.faultTime-longestDown-3*time.Second {
			return
		}
		x.injectFault()
	}
}

func (x *splitSimulation) injectFault() {
	place := x.intN(simDaemons)
	n := x.node()
	parts := append([]string{FleetControllerRole}, n.Layout().Names(simPools...)...)
	pool := parts[x.intN(len(parts))]
	kind := x.intN(13)
	x.logs.fault("%d at %s of %s or daemon %d", kind, pool, n.settings.Name, place)
	switch kind {
	case 0, 1, 2:
		x.split(x.drawSplit(), x.between(shortestSplit, longestSplit))
	case 3:
		x.spawn(x.isolateStore)
	case 4: // a daemon ends, and it or another one starts, often behind a split
		if x.intN(2) == 0 {
			x.split(x.drawSplit(), x.between(shortestSplit, longestSplit))
		}
		x.replaceDaemon(place, x.between(0, longestDown), x.intN(2) == 0, x.intN(4) == 0)
	case 5:
		if x.intN(2) == 0 || time.Since(x.began) > x.faultTime/2 {
			x.split(x.splitOff(n.settings.Name, false), x.between(longestSplit/2, longestSplit))
			return
		}
		x.joinBehindSplit(place, x.intN(2) == 0)
	case 6:
		name, d := n.settings.Name, x.between(shortestSplit, longestPause)
		x.disturb(name, d)
		x.mu.Lock()
		x.pausedUntil[name] = time.Now().Add(d)
		x.mu.Unlock()
	case 7:
		in := x.instances[fmt.Sprintf("m-%s-%d", simPools[x.intN(len(simPools))], x.intN(simInstancesPerPool))]
		if x.intN(3) == 0 {
			x.drain(in)
		} else {
			x.restartWorker(in, x.between(0, longestDown))
		}
	case 8: // a daemon with another view of the members claims the pool
		x.spawn(func() { _ = n.claimPool(x.ctx, pool) })
	case 9: // the owner hands the pool over
		if from, ok := Owner(n.Alive(), pool); ok {
			x.spawn(func() {
				_, _ = n.handle(x.ctx, pool, claimRequest{From: from.Node, Token: from.Pools[pool]})
			})
		}
	case 10:
		x.takeAway(pool, owner.StandbyPart(pool), memberPart(n.settings.Name))
		x.slowDown(n.settings.Name)
	case 11, 12:
		x.spawn(x.restartAndCutOff)
	}
}

func (x *splitSimulation) closeAll() {
	for _, d := range x.daemons {
		x.servers = append(x.servers, d.server)
	}
	x.close()
	for _, n := range x.ended {
		n.peers.http.CloseIdleConnections()
		n.stopTerms()
	}
	for _, n := range x.nodes {
		n.stopTerms()
	}
}

// simLogs keeps the lines that the daemons log, with the simulated time.
type simLogs struct {
	mu    sync.Mutex
	began time.Time
	lines []string
}

// Write implements io.Writer.
func (l *simLogs) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, time.Since(l.began).String()+" "+string(line))
	return len(line), nil
}

func (l *simLogs) fault(format string, args ...any) {
	if l != nil {
		_, _ = fmt.Fprintf(l, "fault: "+format, args...)
	}
}

var (
	simNames = regexp.MustCompile(`[0-9a-f]{16}|i-[0-9]{3}|m-[a-z]+-[0-9]`)
	simTerms = regexp.MustCompile(`pool claimed|pool ownership|claim confirmed|confirm the claim| fault: `)
)

// about returns the lines that name a job, worker or instance of a violation, and those on terms and faults.
func (l *simLogs) about(violation string) string {
	if l == nil {
		return ""
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	names := simNames.FindAllString(violation, -1)
	var out strings.Builder
	for _, line := range l.lines {
		if simTerms.MatchString(line) || slices.ContainsFunc(names, func(n string) bool { return strings.Contains(line, n) }) {
			out.WriteString("\n" + strings.TrimSpace(line))
		}
	}
	return out.String()
}

// splitSeedRange returns the first seed and the one after the last.
func splitSeedRange(t *testing.T) (from, to uint64) {
	text := os.Getenv(splitSeedsVariable)
	if text == "" {
		return 0, splitSeeds
	}
	first, last, _ := strings.Cut(text, "-")
	from, err := strconv.ParseUint(first, 10, 64)
	if err != nil {
		t.Fatalf("%s: %v", splitSeedsVariable, err)
	}
	if last == "" {
		return from, from + 1
	}
	if to, err = strconv.ParseUint(last, 10, 64); err != nil {
		t.Fatalf("%s: %v", splitSeedsVariable, err)
	}
	return from, to + 1
}

// Guards against a task that runs twice, an accepted job that is lost and a run that an order for an instance ends, while the network is
// split between any daemons, workers and the store, and daemons and workers end, stand still and start behind the splits.
func TestSplitsAndOutages(t *testing.T) {
	runSplitSimulations(t, (*splitSimulation).injectFaults)
}

// runSplitSimulations runs a simulation with the given faults for each seed.
func runSplitSimulations(t *testing.T, injectFaults func(*splitSimulation)) {
	first, end := splitSeedRange(t)
	for seed := first; seed < end; seed++ {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				x := &splitSimulation{clusterSimulation: newClusterSimulation(t, ctx, seed), names: map[string]string{}, daemons: make([]*splitDaemon, simDaemons)}
				x.faultTime, x.calmTime, x.jobInterval = splitFaultTime, splitCalmTime, splitJobInterval
				x.faultInterval = splitFaultInterval * time.Duration(1+seed%splitMaxSparseness)
				if os.Getenv(splitSeedsVariable) != "" {
					x.logs = &simLogs{began: x.began}
				}
				x.longRuns, x.callsPerLoss = true, splitCallsPerLoss
				x.nodes = make([]*Node, simDaemons)
				for k := range simDaemons {
					x.startDaemon(k, fmt.Sprintf("edge-%d", k), "")
				}
				x.run(func() { injectFaults(x) })
				cancel()
				x.closeAll()
				x.judge(t)
			})
		})
	}
}
