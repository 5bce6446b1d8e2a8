package cluster

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

const (
	// longestSilence bounds the time before a crash in which a worker executes no calls, longestCrash how long it is down.
	longestSilence = 400 * time.Millisecond
	longestCrash   = time.Second
	// longestRegistration bounds how long the entry of the former incarnation is listed after the start of the next one.
	longestRegistration = time.Second
	// A worker is cut off between soonestCutOff and latestCutOff after its start, for shortestCutOff to longestCutOff.
	soonestCutOff  = 300 * time.Millisecond
	latestCutOff   = 3 * time.Second
	shortestCutOff = 6 * time.Second
	longestCutOff  = 12 * time.Second
	// restartInterval is the mean time between two rounds of restarts in TestTasksRunOnceOnRestartedWorkers.
	restartInterval = 5 * time.Second
	// simLateOrder is the age from which on an order counts as executed late.
	simLateOrder = time.Second
)

// delayToNextIncarnation returns how much later a call to a worker is executed because it is down or about to crash. Some calls are refused while it is
// down; the others are executed by the next incarnation, at its start or up to longestDelay later. The caller must hold mu.
func (p *simPlatform) delayToNextIncarnation(w *simWorker) time.Duration {
	rest := time.Until(w.silentUntil)
	if rest <= 0 || time.Now().Before(w.born) && p.rnd.IntN(2) == 0 {
		return 0
	}
	if p.rnd.IntN(2) == 0 {
		rest += time.Duration(p.rnd.IntN(int(longestDelay)))
	}
	return rest
}

// lastReachable returns the last incarnation that may execute a call that is sent now, the next one, by its number of restarts.
func (w *simWorker) lastReachable() int {
	if time.Now().Before(w.born) {
		return w.restarts
	}
	return w.restarts + 1
}

// restartsOf returns how often a worker has started again, or 0 for another endpoint.
func (p *simPlatform) restartsOf(endpoint string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w := p.workers[endpoint]; w != nil {
		return w.restarts
	}
	return 0
}

// silence makes the workers of some instances of a pool execute no calls until they restart at the given time, and returns these instances.
func (p *simPlatform) silence(pool string, restart time.Time) []*simInstance {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []*simInstance
	for k := range simInstancesPerPool {
		in := p.instances[fmt.Sprintf("m-%s-%d", pool, k)]
		if w := in.worker; w != nil && !w.info.Draining && time.Now().After(w.silentUntil) && p.rnd.IntN(2) == 0 {
			w.silentUntil = restart
			out = append(out, in)
		}
	}
	return out
}

// restartAndCutOff restarts some workers of a pool under their IDs, and cuts them off from all others soon after. Before the cut, the owner of
// the pool ends in one of three cases.
func (x *splitSimulation) restartAndCutOff() {
	pool := simPools[x.intN(len(simPools))]
	toCrash, down, toCut := x.between(0, longestSilence), x.between(0, longestCrash), x.between(soonestCutOff, latestCutOff)
	silent := x.silence(pool, time.Now().Add(toCrash+down))
	time.Sleep(toCrash)
	cutOff := map[string]bool{}
	for _, in := range silent {
		cutOff[x.restartWorker(in, down)] = true
	}
	x.logs.fault("restart of %v, down for %s", cutOff, down)
	if x.intN(3) == 0 {
		x.spawn(func() { x.endOwner(pool, x.between(0, down+toCut)) })
	}
	time.Sleep(down + toCut)
	x.split(&simSplit{blocks: func(from, to string) bool { return cutOff[from] || cutOff[to] }}, x.between(shortestCutOff, longestCutOff))
}

// endOwner ends the daemon that owns a shard of a pool. It starts again after a while.
func (x *splitSimulation) endOwner(pool string, wait time.Duration) {
	time.Sleep(wait)
	n := x.node()
	shards := n.Layout().Names(pool)
	if len(shards) == 0 {
		return // The daemon has only just started.
	}
	member, ok := Owner(n.Alive(), shards[x.intN(len(shards))])
	if !ok {
		return
	}
	x.mu.Lock()
	place := slices.IndexFunc(x.daemons, func(d *splitDaemon) bool { return d.name == member.Node })
	x.mu.Unlock()
	if place >= 0 {
		x.replaceDaemon(place, x.between(0, longestDown), true, false)
	}
}

// injectRestarts restarts workers and cuts them off, until the end of the time with faults.
func (x *splitSimulation) injectRestarts() {
	time.Sleep(splitCalmStart)
	for time.Since(x.began) < x.faultTime-longestCutOff {
		x.restartAndCutOff()
		time.Sleep(time.Duration(x.intN(int(2 * restartInterval))))
	}
}

// Guards against a task that runs twice, a worker with more runs than fit and an end that is acknowledged unseen, when workers start again under
// their IDs, execute calls that were meant for their former incarnations and are cut off soon after, while some tasks outlast the longest lease.
func TestTasksRunOnceOnRestartedWorkers(t *testing.T) {
	runSplitSimulations(t, (*splitSimulation).injectRestarts)
}
