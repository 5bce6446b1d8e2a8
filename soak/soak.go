// Package soak runs daemons as separate processes against a stand-in platform, injects random faults from outside them and checks the
// promises of the platform's pages from what callers and workers see. Faults are drawn from a seed; the interleaving of the processes
// is not, so a seed that failed may need several runs to fail again.
//
//	result, err := soak.Run(ctx, soak.Options{Seed: 1, Duration: time.Minute, Program: "/usr/bin/samphirepoint", Dir: dir})
package soak

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"samphirepoint/sleep"
	"samphirepoint/standin/jobfleet"
)

const (
	// defaultDaemons and defaultCallers are the usual size of a run.
	defaultDaemons = 5
	defaultCallers = 8
	// finishTime is the bound finish_s of the settings.
	finishTime = 14 * time.Second
	// calmTime is the time without faults at the end, after which all accepted jobs must have ended. It covers a job of two steps whose tasks
	// last longest, and that wait for the end of such a task.
	calmTime = finishTime + 3*longestTask
	// startTime is how long the daemons may take until they serve.
	startTime = 20 * time.Second
	// workersPerPool is the number of workers of each pool.
	workersPerPool = 6
	// taskDuration is the run time of most tasks. Long ones outlast the longest lease.
	taskDuration     = 300 * time.Millisecond
	shortestLongTask = 12 * time.Second
	longestTask      = 15 * time.Second
	// maxLease is the longest lease that workers accept.
	maxLease = 10 * time.Second
	// adviserTime is the time, times the number of callers, that the adviser takes for a call that names all workers of a pool. Jobs of advised queues
	// need most of its time if there is one owner, and more in bursts.
	adviserTime    = 3 * time.Second
	ticketValidity = 3 * time.Second
	// workerCPU is the capacity of a worker of the stand-in, in thousandths of a core.
	workerCPU = 16_000
)

// Options configures a run. Zero values select the defaults.
type Options struct {
	Seed uint64
	// Duration is the time with faults.
	Duration time.Duration
	// Program is the path of the binary; Env is added to the environment of its processes.
	Program string
	Env     []string
	// Dir gets the settings and logs of the processes.
	Dir              string
	Daemons, Callers int
	// Splits makes half of the faults partitions of the network.
	Splits bool
	// Restarts makes half of the faults restarts of workers under their IDs.
	Restarts bool
	// Caps gives the workspaces caps, and checks them.
	Caps bool
}

// Result is what a run has seen.
type Result struct {
	Accepted, Refused, Uncertain, Cancelled, Completed int
	// NonePermitted counts the accepted jobs that have not ended and may run on no worker that their pool has in the end.
	NonePermitted int
	// Faults counts the injected faults by name.
	Faults     map[string]int
	Keys       KeyChecks
	Workers    WorkerFaults
	Violations []string
}

// run is a run, as one of its goroutines sees it: each has a sequence of random numbers of its own.
type run struct {
	*state
	draws *draws
}

// state is the state of a run.
type state struct {
	options Options
	fleet   *jobfleet.Fleet
	daemons []*process

	workspaces *workspaces
	// configMu is held while a version of the configuration is written, so that the store gets them in order. version is that of the newest
	// one, and extra is set while it has the queue extraQueue.
	configMu sync.Mutex
	version  int
	extra    bool

	mu     sync.Mutex
	result Result
	jobs   []*job
	// advised holds the jobs of advised queues.
	advised sync.Map
	// storeDisturbed is until when the store counts as disturbed.
	storeDisturbed time.Time
	partitions     partitions
}

var pools = []string{"pumps", "routes"}

// Run runs the soak and returns what it has seen. An error means that the run itself failed.
func Run(ctx context.Context, o Options) (Result, error) {
	r, err := newRun(o)
	if err != nil {
		return Result{}, err
	}
	defer r.close()
	if err := r.configure(r.drawCaps); err != nil {
		return r.result, err
	}
	if err := r.startDaemons(ctx); err != nil {
		return r.result, err
	}
	r.play(ctx)
	r.checkJobs()
	r.stopDaemons()
	r.result.Workers.Counts = r.fleet.Counts()
	broken, _ := r.fleet.Violations()
	for _, v := range broken {
		r.violate("workers: %s", v)
	}
	return r.result, ctx.Err()
}

// newRun returns a run with a fleet and no daemons yet. It must be closed.
func newRun(o Options) (*run, error) {
	if o.Daemons == 0 {
		o.Daemons = defaultDaemons
	}
	if o.Callers == 0 {
		o.Callers = defaultCallers
	}
	sizes := map[string]int{jobfleet.SparePool: 3}
	for _, p := range pools {
		sizes[p] = workersPerPool
	}
	fleet, err := jobfleet.NewSeeded(o.Seed, sizes)
	if err != nil {
		return nil, err
	}
	fleet.TaskDuration, fleet.MaxLease, fleet.MaxRunning = taskDuration, maxLease, int(workerCPU/taskNeed.CPU)
	fleet.Advice = jobfleet.Advice{Decide: adviserTime / 2 / time.Duration(o.Callers), Each: adviserTime / 2 / workersPerPool / time.Duration(o.Callers), Validity: ticketValidity}
	r := &run{
		state: &state{options: o, fleet: fleet, workspaces: newWorkspaces(), result: Result{Faults: map[string]int{}}},
		draws: newDraws(o.Seed, streamOfRun),
	}
	fleet.Advice.Needed = func(job string) bool {
		_, advised := r.advised.Load(job)
		return advised
	}
	fleet.CheckStart = func(job string, running map[string]int) error {
		return r.workspaces.checkStart(time.Now(), job, running)
	}
	return r, nil
}

// close ends all daemons and the fleet.
func (r *run) close() {
	r.killAll()
	r.fleet.Close()
}

// play submits jobs and injects faults, and then waits until the accepted work must have ended.
func (r *run) play(ctx context.Context) {
	faulty, cancel := context.WithTimeout(ctx, r.options.Duration)
	defer cancel()
	var g errgroup.Group
	for k := range r.options.Callers {
		g.Go(func() error { r.withStream(streamOfCallers + uint64(k)).call(faulty); return nil })
	}
	g.Go(func() error { r.withStream(streamOfFaults).injectFaults(faulty); return nil })
	g.Go(func() error { r.withStream(streamOfConfiguration).changeConfiguration(faulty); return nil })
	g.Go(func() error { r.withStream(streamOfKeys).changeKeys(faulty); return nil })
	g.Go(func() error { r.withStream(streamOfProbes).probeKeys(faulty); return nil })
	_ = g.Wait()
	r.endFaults()
	r.awaitEnds(ctx)
}

// awaitEnds waits until all jobs have ended, for finishTime at least and calmTime at most.
func (r *run) awaitEnds(ctx context.Context) {
	began := time.Now()
	_ = sleep.Context(ctx, finishTime)
	for time.Since(began) < calmTime && ctx.Err() == nil && r.anyUnfinished() {
		_ = sleep.Context(ctx, 100*time.Millisecond)
	}
}

// anyUnfinished reports whether an accepted job is not done, or a task of a cancelled one runs.
func (r *run) anyUnfinished() bool {
	r.mu.Lock()
	jobs := slices.Clone(r.jobs)
	r.mu.Unlock()
	return slices.ContainsFunc(jobs, func(j *job) bool {
		_, done, running := r.fleet.Job(j.id)
		return j.outcome == accepted && done < j.tasks || j.outcome == cancelled && running > 0
	})
}

func (r *run) violate(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Violations = append(r.result.Violations, fmt.Sprintf(format, args...))
}

// checkJobs checks every job after the time without faults.
func (r *run) checkJobs() {
	r.mu.Lock()
	jobs := slices.Clone(r.jobs)
	r.mu.Unlock()
	for _, j := range jobs {
		starts, done, running := r.fleet.Job(j.id)
		switch {
		case j.outcome == refused && starts > 0:
			r.violate("REFUSED: job %s was refused by every answer, or sent with no valid key, and has run %d times", j.id, starts)
		case j.outcome == cancelled && running > 0:
			r.violate("UNASKED: %d tasks of job %s run although it was cancelled", running, j.id)
		case j.outcome == accepted && done < j.tasks && r.noneMayRun(j, done):
			r.result.NonePermitted++
		case j.outcome == accepted && done < j.tasks:
			r.violate("LOST: job %s was accepted at %s, %d of %d tasks are done", j.id, j.at.Format(time.TimeOnly), done, j.tasks)
		case j.outcome == accepted:
			r.checkState(j)
		}
	}
}

// noneMayRun reports whether the adviser permits the step that a job waits for on no worker of its pool, so that there is no capacity for it.
func (r *run) noneMayRun(j *job, done int) bool {
	step := 0
	if done >= j.tasks-1 { // The last step has one task.
		step = 1
	}
	return j.queue.advised && r.fleet.Permitted(fmt.Sprintf("%s.0.%d", j.id, step), j.queue.pool) == 0
}

// checkState checks that a completed job is reported as such.
func (r *run) checkState(j *job) {
	for range 20 {
		if status, body, err := r.daemons[r.intN(len(r.daemons))].ask(r.callFor(j, http.MethodGet), nil); err == nil && status == 200 && stateOf(body) == "completed" {
			r.result.Completed++
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	r.violate("MIXED: the tasks of job %s are done, and it isn't reported as completed", j.id)
}
