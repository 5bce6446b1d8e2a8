package engine

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// WorkerInfo is what the platform's list says of a worker.
type WorkerInfo struct {
	ID, Address, Zone string
	Draining          bool
	RemainingMS       int64
	Capacity          Resources
	Labels            []string
	Incarnation       int64
}

// Target is where an order goes: the worker's address, and the life for which it is meant.
type Target struct {
	ID, Address string
}

// Worker is one worker as the pool's owner knows it.
type Worker struct {
	ID   string
	info WorkerInfo
	// listed is false for workers that the list doesn't name (any more).
	listed bool

	bornMS  int64
	clockMS int64
	clockAt time.Duration
	// deadlineMS is the highest lease end that was sent, on the worker's clock.
	deadlineMS int64
	// othersMS bounds the leases that others may have granted: former owners, and orders that were meant for a former life.
	othersMS int64
	// met is set by the first hold that was answered under this ownership.
	met       bool
	lastHeard time.Duration
	failing   bool

	used Resources
	// strays is how many runs the worker listed last that nobody ordered; they take room of unknown size.
	strays   int
	runs     map[string]*Run
	ends     int64
	pending  []pendingAck
	seenUpto int64
	cordon   time.Duration
	// reservedAt is the time of the placement that keeps the worker for a task that lasts.
	reservedAt time.Duration
	backoff    time.Duration
	pacedAt    time.Duration

	// slow and failures compare the worker with its peers.
	ratio      float64
	ratioCount int
	failScore  float64
	badUntil   time.Duration
}

type pendingAck struct {
	n   int64
	job *Job
	rev int64
}

// Run is one start of a task.
type Run struct {
	Task   *Task
	Num    int64
	Worker *Worker

	bornMS    int64
	phase     phase
	rev       int64
	orderedAt time.Duration
	// confirmedAt is when the worker was first known to have the run.
	confirmedAt time.Duration
	startedAt   time.Duration
	attempts    int
	unknown     bool
	stopSentAt  time.Duration
	stopDone    bool
	stopDoneAt  time.Duration
	percent     int64
	load        int64
	// pace is the percent that was ordered last, paceKnown whether the worker has answered that order.
	pace      int64
	paceKnown bool
	ticket    string
}

type phase uint8

const (
	// phaseIntent: decided, not yet in the store; no order was sent.
	phaseIntent phase = iota
	// phaseStarting: the order was sent and is not answered for certain.
	phaseStarting
	// phaseRunning: the worker said that it has the run.
	phaseRunning
	// phaseStopping: a stop was sent; the run occupies room until it is gone.
	phaseStopping
	// phaseInherited: recorded by a former owner; the worker's first list decides.
	phaseInherited
)

// OrderKind tells orders apart.
type OrderKind uint8

// The kinds of order.
const (
	OrderStart OrderKind = iota
	OrderStop
	OrderThrottle
)

// Order is a call to a worker.
type Order struct {
	Kind       OrderKind
	Task       TaskID
	Run        int64
	Worker     Target
	Payload    string
	DeadlineMS int64
	Checkpoint string
	Ticket     string
	Percent    int64
}

func (p *Pool) worker(id string) *Worker {
	w := p.workers[id]
	if w == nil {
		w = &Worker{ID: id, runs: map[string]*Run{}, ratio: 1}
		p.workers[id] = w
	}
	return w
}

func (w *Worker) target() Target { return Target{ID: w.ID, Address: w.info.Address} }

func runKey(t TaskID, run int64) string { return listedKey(t.String(), run) }

// listedKey is the key of a run as a worker lists it.
func listedKey(task string, run int64) string { return task + "#" + itoa(run) }

func (w *Worker) add(r *Run) {
	w.runs[runKey(r.Task.id, r.Num)] = r
	w.used = w.used.Add(r.Task.step.spec.Occupies())
}

func (w *Worker) remove(r *Run) {
	k := runKey(r.Task.id, r.Num)
	if w.runs[k] != r {
		return
	}
	delete(w.runs, k)
	w.used = w.used.Sub(r.Task.step.spec.Occupies())
}

// rack is the label that names the worker's rack: the last one.
func (w *Worker) rack() string {
	if len(w.info.Labels) == 0 {
		return ""
	}
	return w.info.Labels[len(w.info.Labels)-1]
}

// hasLabel reports whether the worker has a label; no label is asked for by "".
func (w *Worker) hasLabel(l string) bool { return l == "" || slices.Contains(w.info.Labels, l) }

// count counts the worker's runs for which is holds.
func (w *Worker) count(is func(*Run) bool) int {
	n := 0
	for _, r := range w.runs {
		if is(r) {
			n++
		}
	}
	return n
}

// use is what the worker's runs for which is holds take of its room.
func (w *Worker) use(is func(*Run) bool) Resources {
	var u Resources
	for _, r := range w.runs {
		if is(r) {
			u = u.Add(r.Task.step.spec.Occupies())
		}
	}
	return u
}

// ofStep counts the runs of a step that are on the worker.
func (w *Worker) ofStep(st *stepState) int {
	return w.count(func(r *Run) bool { return r.Task.step == st })
}

func isLasting(r *Run) bool { return r.Task.step.spec.LongRunning }

// isServing reports whether the run has a tail target.
func isServing(r *Run) bool { return r.Task.step.spec.TailTargetMS > 0 }

// SetRoster takes in the platform's list of the pool's workers.
func (p *Pool) SetRoster(list []WorkerInfo, c Clock) {
	named := map[string]bool{}
	for _, info := range list {
		named[info.ID] = true
		w := p.worker(info.ID)
		if !w.listed {
			p.note("worker-listed", "", 0, w.ID, info.Address+" "+strings.Join(info.Labels, ","))
			p.needPlace = true
		}
		if info.Draining && !w.info.Draining {
			p.note("worker-draining", "", 0, w.ID, "")
		}
		w.info = info
		w.listed = true
	}
	for id, w := range p.workers {
		if named[id] {
			continue
		}
		if w.listed {
			p.note("worker-unlisted", "", 0, id, "")
		}
		w.listed = false
		if len(w.runs) == 0 {
			delete(p.workers, id)
		}
	}
}

// Targets returns the workers that are to be held: those listed, and others on which something may run.
func (p *Pool) Targets() []Target {
	var out []Target
	for _, w := range p.workers {
		if w.info.Address != "" {
			out = append(out, w.target())
		}
	}
	return out
}

// RenewalRequest is what the next hold of a worker carries.
type RenewalRequest struct {
	DeadlineMS int64
	SeenUpto   int64
	// Unacknowledged is set while ends of the worker wait for the store.
	Unacknowledged bool
	// Idle is set while nothing is on the worker.
	Idle bool
}

// NextRenewal returns the content of the next hold of a worker, and false if it is no longer to be held.
func (p *Pool) NextRenewal(id string, c Clock) (RenewalRequest, bool) {
	w := p.workers[id]
	if w == nil {
		return RenewalRequest{}, false
	}
	return RenewalRequest{DeadlineMS: p.lease(w, c), SeenUpto: w.seenUpto, Unacknowledged: len(w.pending) > 0, Idle: len(w.runs) == 0}, true
}

// lease returns the lease end to send now, and remembers it. A worker whose clock isn't known gets none. One that doesn't
// answer gets no longer lease: each call may reach it, and what runs there could never be taken for over.
func (p *Pool) lease(w *Worker, c Clock) int64 {
	if !w.met {
		return 0
	}
	if w.failing {
		return w.deadlineMS
	}
	d := w.clockMS + (c.Now - w.clockAt).Milliseconds() + p.opt.Lease.Milliseconds()
	w.deadlineMS = max(w.deadlineMS, d)
	return w.deadlineMS
}

const (
	// clockSkew bounds how much slower a worker's steady clock may run.
	clockSkew = 1.022
	// lapseMargin covers the way of the last answer.
	lapseMargin = 100 * time.Millisecond
)

// lapsed reports whether every lease that any owner can have granted to the worker has run out.
func (p *Pool) lapsed(w *Worker, c Clock) bool {
	if !w.met {
		return c.Now-p.takenAt > time.Duration(float64(p.opt.MaxLease)*clockSkew)+time.Second
	}
	left := time.Duration(float64(max(w.deadlineMS, w.othersMS)-w.clockMS)*clockSkew) * time.Millisecond
	return c.Now > w.clockAt+left+lapseMargin
}

// reachable reports whether the worker answered lately.
func (p *Pool) reachable(w *Worker, c Clock) bool {
	return w.met && !w.failing && c.Now-w.lastHeard < p.opt.SuspectAfter
}

// RenewalFailed notes a hold without an answer.
func (p *Pool) RenewalFailed(id string, c Clock) {
	w := p.workers[id]
	if w == nil || w.failing {
		return
	}
	w.failing = true
	p.note("worker-silent", "", 0, id, "")
}

// WorkerTerminated ends all runs of a life that is certainly over.
func (p *Pool) WorkerTerminated(id string, c Clock) {
	w := p.workers[id]
	if w == nil {
		return
	}
	p.note("worker-gone", "", 0, id, "")
	for _, r := range w.list() {
		p.lose(r, c)
	}
	w.met = false
	w.strays = 0
	w.pending = nil
	if !w.listed {
		delete(p.workers, id)
	}
}

func (w *Worker) list() []*Run {
	return slices.Collect(maps.Values(w.runs))
}

// lose ends a run that is over without a listed end.
func (p *Pool) lose(r *Run, c Clock) {
	p.note("run-lost", r.Task.id.String(), r.Num, r.Worker.ID, "")
	r.Task.atWorkSince = 0
	p.dropRun(r)
	p.touch(r.Task.job())
	p.gangBroken(r.Task, c)
}

func (p *Pool) tickWorker(w *Worker, c Clock) {
	if len(w.runs) == 0 {
		return
	}
	if !p.reachable(w, c) && p.lapsed(w, c) {
		p.note("lease-lapsed", "", 0, w.ID, "")
		for _, r := range w.list() {
			if r.phase != phaseIntent {
				p.lose(r, c)
			}
		}
		return
	}
	for _, r := range w.list() {
		p.tickRun(r, c)
	}
}

// tickRun sends unanswered orders again. A start waits until its worker is heard again: a worker that has started anew behind a
// cut would take the deadline for one on its own clock.
func (p *Pool) tickRun(r *Run, c Clock) {
	switch {
	case r.phase == phaseStarting && r.unknown && p.reachable(r.Worker, c) && c.Now-r.orderedAt > p.opt.RetryOrder:
		p.sendStart(r, c)
	case r.phase == phaseStopping && !r.stopDone && c.Now-r.stopSentAt > p.opt.RetryOrder:
		r.stopSentAt = c.Now
		p.orders = append(p.orders, Order{Kind: OrderStop, Task: r.Task.id, Run: r.Num, Worker: r.Worker.target()})
	}
}

// Cordon keeps new work off a worker until the given time, and reports whether nothing is on it.
func (p *Pool) Cordon(id string, until time.Duration, c Clock) (empty, known bool) {
	w := p.workers[id]
	if w == nil || !w.met {
		return false, false
	}
	w.cordon = max(w.cordon, until)
	return len(w.runs) == 0, true
}

// ForceCordon keeps new work off a worker that may not be known yet.
func (p *Pool) ForceCordon(id string, until time.Duration) {
	w := p.worker(id)
	w.cordon = max(w.cordon, until)
}

// Uncordon gives a worker back to placement.
func (p *Pool) Uncordon(id string) {
	if w := p.workers[id]; w != nil {
		w.cordon = 0
		p.needPlace = true
	}
}
