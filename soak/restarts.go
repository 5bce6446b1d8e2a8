package soak

import (
	"context"
	"time"

	"samphirepoint/sleep"
	"samphirepoint/standin/jobfleet"
)

// WorkerFaults says how much of the faults of workers was played.
type WorkerFaults struct {
	jobfleet.Counts
	// CutOff is the number of workers that were cut off from all daemons after a restart, RunsCutOff that of the runs that they then had.
	CutOff, RunsCutOff int
}

const (
	// shortestDown and longestDown bound the time for which a worker that restarts is down, and longestEntryDelay the time from its return until
	// its entry in the list of workers says so.
	shortestDown      = 100 * time.Millisecond
	longestDown       = 1500 * time.Millisecond
	longestEntryDelay = time.Second
	// shortestWayToCut and longestWayToCut bound the time from the return of a worker until it is cut off. Work begins there meanwhile.
	shortestWayToCut = 500 * time.Millisecond
	longestWayToCut  = 3 * time.Second
	// shortestCut and longestCut bound the length of such a cut. Some outlast the longest lease, some end before the lease that the owner granted.
	shortestCut = 3 * time.Second
	longestCut  = maxLease + 3*time.Second
	// longestWindow bounds the time for which calls to a worker are late, and longestDelay the delays of these calls.
	longestWindow = 3 * time.Second
	longestDelay  = 6 * time.Second
	// mostRestarts is the most restarts of a worker in series.
	mostRestarts = 4
)

var (
	restartOfWorker     = fault{"worker restarted, cut off", (*run).restartWorker}
	restartsInSeries    = fault{"worker restarted in series, cut off", (*run).restartInSeries}
	restartsOfZone      = fault{"workers of a zone restarted, cut off", (*run).restartZone}
	lateCallsAndRestart = fault{"late calls, workers restarted, cut off", (*run).delayCallsAndRestart}
)

// restartFaults are the faults in which workers start again under their IDs.
var restartFaults = []fault{restartOfWorker, restartsInSeries, restartsOfZone, lateCallsAndRestart}

// restartWorker restarts a worker under its ID and cuts it off soon after.
func (r *run) restartWorker(ctx context.Context) {
	instances := []string{r.anyInstance()}
	r.restartWorkers(ctx, instances)
	r.cutOff(ctx, instances)
}

// restartInSeries restarts a worker several times, also while it is cut off, so that orders for several incarnations are under way.
func (r *run) restartInSeries(ctx context.Context) {
	instances := []string{r.anyInstance()}
	for range 2 + r.intN(mostRestarts-1) {
		r.restartWorkers(ctx, instances)
		if r.intN(2) == 0 {
			_ = sleep.Context(ctx, r.between(0, longestWayToCut))
		}
	}
	r.cutOff(ctx, instances)
}

// restartZone restarts all workers of an availability zone, at times twice, and cuts them off soon after.
func (r *run) restartZone(ctx context.Context) {
	instances := r.instancesOfAnyZone()
	for range 1 + r.intN(2) {
		r.restartWorkers(ctx, instances)
		r.cutOff(ctx, instances)
	}
}

func (r *run) instancesOfAnyZone() []string {
	return r.fleet.InstancesIn(jobfleet.Zones[r.intN(len(jobfleet.Zones))])
}

// delayCallsAndRestart leaves some calls to the workers of an availability zone unanswered, which are executed seconds later, and restarts
// the workers meanwhile.
func (r *run) delayCallsAndRestart(ctx context.Context) {
	instances := r.instancesOfAnyZone()
	window := r.between(longestWindow/4, longestWindow)
	for _, in := range instances {
		r.fleet.DelayCalls(in, jobfleet.LateCalls{Window: window, Least: 0, Most: longestDelay, OneOf: 1 + r.intN(4)})
	}
	_ = sleep.Context(ctx, r.between(0, window))
	r.restartWorkers(ctx, instances)
	if r.intN(2) == 0 {
		r.cutOff(ctx, instances)
	}
}

// restartWorkers restarts workers under their IDs, all at the same time, and returns when they are back.
func (r *run) restartWorkers(ctx context.Context, instances []string) {
	down, dark := r.between(shortestDown, longestDown), r.intN(2) == 0
	for _, in := range instances {
		r.fleet.Restart(in, jobfleet.Restart{Down: down, EntryDelay: r.between(0, longestEntryDelay), Dark: dark})
	}
	_ = sleep.Context(ctx, down)
}

// cutOff cuts workers off from all daemons for some seconds, soon after their return. They run on.
func (r *run) cutOff(ctx context.Context, instances []string) {
	if sleep.Context(ctx, r.between(shortestWayToCut, longestWayToCut)) != nil {
		return
	}
	end := r.cut(instances)
	_ = sleep.Context(ctx, r.between(shortestCut, longestCut))
	end()
}

// cut begins a partition between workers and all daemons. It returns the function that ends it.
func (r *run) cut(instances []string) (end func()) {
	cut, runs := map[string]bool{}, 0
	for _, in := range instances {
		if id, running := r.fleet.Worker(in); id != "" {
			cut[id] = true
			runs += running
		}
	}
	r.mu.Lock()
	r.result.Workers.CutOff += len(cut)
	r.result.Workers.RunsCutOff += runs
	r.mu.Unlock()
	return r.beginPartition(func(from, to jobfleet.Endpoint) bool { return isWorker(from, cut) || isWorker(to, cut) })
}

func isWorker(e jobfleet.Endpoint, ids map[string]bool) bool {
	return e.Kind == jobfleet.EndpointWorker && ids[e.Name]
}
