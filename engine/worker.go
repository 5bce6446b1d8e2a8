package engine

import (
	"maps"
	"slices"
	"strings"
	"time"

	"samphirepoint/suspect"
)

// WorkerInfo is a worker's entry in the platform's list. Incarnation is the start time of the worker in Unix
// milliseconds: a worker that restarts under the same ID has another one.
type WorkerInfo struct {
	ID, Address, Zone string
	Draining          bool
	RemainingMS       int64
	Capacity          Resources
	Labels            []string
	Incarnation       int64
}

// Target is the destination of a call: the worker's address, and the ID of the worker that it is meant for. Token is the fencing token of the
// worker's incarnation that it is meant for, which the ID doesn't tell from the others.
type Target struct {
	ID, Address string
	Token       int64
}

// Worker is a worker as known to the pool's owner.
type Worker struct {
	ID   string
	info WorkerInfo
	// listed is false for workers that are not, or no longer, in the platform's list. unlistedAt is when it last became false.
	listed     bool
	unlistedAt time.Duration

	session
	// latest is the latest incarnation that has answered this owner.
	latest int64
	// formerUntil is until when leases of former sessions may be in force, grantedAt when a deadline was last sent in any of them.
	formerUntil, grantedAt time.Duration
	lastContact            time.Duration
	unresponsive           bool
	// reportedGone is set while the worker is reported as terminated and has neither answered nor failed to answer since.
	reportedGone bool
	// gone is set while the worker has terminated and has not answered since.
	gone bool

	used          Resources
	runs          map[runID]*Run
	cordonedUntil time.Duration
	// upkeepDueUntil is until when the worker's instance counts as due for upkeep.
	upkeepDueUntil time.Duration
	// reportedEmpty is set if the last answer to a cordon was that the worker is empty.
	reportedEmpty bool
	// reservedAt is the time of the placement that reserved the worker, for a long-running task or if it is not nil for the step reservedFor.
	reservedAt   time.Duration
	reservedFor  *stepState
	backoffUntil time.Duration
	throttledAt  time.Duration

	// The fields below compare the worker's run times and failures with those of its peers.
	runTimeRatio   float64
	runTimeSamples int
	failScore      float64
	avoidUntil     time.Duration
	// condition takes the place of these fields with Options.Ejection; it is nil without.
	condition *suspect.Worker
}

type pendingAck struct {
	end int64
	job *Job
	rev int64
}

// Run is one start of a task.
type Run struct {
	Task   *Task
	Num    int64
	Worker *Worker

	incarnation int64
	phase       phase
	rev         int64
	orderedAt   time.Duration
	// confirmedAt is when the worker was first known to have the run.
	confirmedAt time.Duration
	// sentToken is the token of the last start order. confirmedToken is that of the last session whose incarnation is known to have the run, or 0.
	sentToken, confirmedToken int64
	startedAt                 time.Duration
	attempts                  int
	outcomeUnknown            bool
	// unansweredAt is when the last start order without an answer was sent, or 0.
	unansweredAt time.Duration
	stopSentAt   time.Duration
	stopAcked    bool
	stopAckedAt  time.Duration
	percent      int64
	load         int64
	// throttlePercent is the last ordered throttle, throttleConfirmed whether the worker has answered that order.
	throttlePercent   int64
	throttleConfirmed bool
	ticket            string
	// listedIn is the number of the last renewal reply that listed the run as running or ended.
	listedIn int64
	// pending is set while the run is counted in Pool.pendingStarts.
	pending bool
	// period is that of the worker's condition in which the run started.
	period suspect.Period
	// judgedSlow, judgedStalled and judgedStable are set once the worker's condition has taken that into account.
	judgedSlow, judgedStalled, judgedStable bool
}

type phase uint8

const (
	// phaseDecided: placed, not yet in the store; no order was sent.
	phaseDecided phase = iota
	// phaseStarting: the start order was sent and has no certain outcome.
	phaseStarting
	// phaseRunning: the worker has confirmed the run.
	phaseRunning
	// phaseStopping: a stop order was sent; the run occupies capacity until it is gone.
	phaseStopping
	// phaseInherited: recorded by a former owner; the worker's first list shows whether the run exists.
	phaseInherited
)

func (p *Pool) ensureWorker(id string) *Worker {
	w := p.workers[id]
	if w == nil {
		w = &Worker{ID: id, session: session{token: p.firstToken()}, runs: map[runID]*Run{}, runTimeRatio: 1}
		if p.suspects != nil {
			w.condition = p.suspects.Worker(id)
		}
		p.workers[id] = w
		p.workersByID = nil
	}
	return w
}

func (p *Pool) removeWorker(id string) {
	if w := p.workers[id]; w != nil && w.contacted {
		p.nextToken() // A worker that comes back under this ID gets a higher one.
	}
	delete(p.workers, id)
	if p.suspects != nil {
		p.suspects.Remove(id)
	}
	p.workersByID = nil
}

func (w *Worker) target() Target { return Target{ID: w.ID, Address: w.info.Address, Token: w.token} }

// runID identifies a run on a worker.
type runID struct {
	task TaskID
	run  int64
}

func (r *Run) id() runID { return runID{task: r.Task.id, run: r.Num} }

func (w *Worker) add(r *Run) {
	w.runs[r.id()] = r
	w.used = w.used.Add(r.Task.step.spec.Footprint())
}

func (w *Worker) remove(r *Run) {
	if w.runs[r.id()] != r {
		return
	}
	delete(w.runs, r.id())
	w.used = w.used.Sub(r.Task.step.spec.Footprint())
}

// rack returns the worker's rack, which is its last label.
func (w *Worker) rack() string { return w.info.Rack() }

// Rack returns the rack of the worker: its last label.
func (w *WorkerInfo) Rack() string {
	if len(w.Labels) == 0 {
		return ""
	}
	return w.Labels[len(w.Labels)-1]
}

// Kind identifies the workers that may run the same tasks: the worker's labels without its rack, and whether it has GPUs.
func (w *WorkerInfo) Kind() string {
	kind := strings.Join(w.Labels[:max(len(w.Labels)-1, 0)], ",")
	if w.Capacity.GPU > 0 {
		kind += "," + KindGPU
	}
	return kind
}

// hasLabel reports whether the worker has the label; "" stands for no requirement.
func (w *Worker) hasLabel(l string) bool { return l == "" || slices.Contains(w.info.Labels, l) }

// countRuns counts the worker's runs for which is returns true.
func (w *Worker) countRuns(is func(*Run) bool) int {
	n := 0
	for _, r := range w.runs {
		if is(r) {
			n++
		}
	}
	return n
}

// usedBy returns the resources used by the worker's runs for which is returns true.
func (w *Worker) usedBy(is func(*Run) bool) Resources {
	var u Resources
	for _, r := range w.runs {
		if is(r) {
			u = u.Add(r.Task.step.spec.Footprint())
		}
	}
	return u
}

// runsOfStep counts the step's runs on the worker.
func (w *Worker) runsOfStep(st *stepState) int {
	return w.countRuns(func(r *Run) bool { return r.Task.step == st })
}

func isLongRunning(r *Run) bool { return r.Task.step.spec.LongRunning }

// isServing reports whether the run has a tail latency target.
func isServing(r *Run) bool { return r.Task.step.spec.TailTargetMS > 0 }

// SetRoster updates the pool's workers from the platform's list.
func (p *Pool) SetRoster(list []WorkerInfo, c Clock) {
	named := map[string]bool{}
	for _, info := range list {
		named[info.ID] = true
		w := p.ensureWorker(info.ID)
		if !w.listed {
			p.recordDecision("worker-listed", "", 0, w.ID, info.Address+" "+strings.Join(info.Labels, ","))
			p.placementNeeded = true
		}
		if info.Draining && !w.info.Draining {
			p.recordDecision("worker-draining", "", 0, w.ID, "")
		}
		restarted := w.contacted && info.Incarnation != w.info.Incarnation && w.startedBefore(info.Incarnation)
		w.info = info
		w.listed = true
		if restarted {
			p.beginSession(w, "listed as incarnation "+itoa(info.Incarnation), c)
		}
	}
	for id, w := range p.workers {
		if named[id] {
			continue
		}
		if w.listed {
			p.recordDecision("worker-unlisted", "", 0, id, "")
			w.unlistedAt = c.Now
		}
		w.listed = false
		w.keepCordon(c)
		if w.occupancy() == 0 && (w.gone || w.cordonedUntil <= c.Now) {
			p.removeWorker(id)
		}
	}
	if p.suspects != nil {
		p.suspects.SetListed(named, c.Now)
	}
}

// needsRenewal reports whether the worker's lease is to be renewed: it is listed, or may still have runs or unstored ends.
func (w *Worker) needsRenewal() bool { return w.listed || w.occupancy() > 0 }

// Targets returns the workers whose lease is to be renewed.
func (p *Pool) Targets() []Target {
	var out []Target
	for _, w := range p.workers {
		if w.info.Address != "" && w.needsRenewal() {
			out = append(out, w.target())
		}
	}
	return out
}

// RenewalRequest is the content of a worker's next lease renewal.
type RenewalRequest struct {
	To         Target
	DeadlineMS int64
	AckedUpTo  int64
	// Unacknowledged is set if the worker has listed ends that it is to discard by this renewal or soon.
	Unacknowledged bool
	// Idle is set while the worker has no runs.
	Idle bool
}

// HasUnstoredEnds reports whether the worker has listed ends that are not stored yet.
func (p *Pool) HasUnstoredEnds(id string) bool {
	w := p.workers[id]
	return w != nil && len(w.pendingAcks) > 0
}

// NextRenewal returns the worker's next lease renewal, and false if its lease is no longer to be renewed.
func (p *Pool) NextRenewal(id string, c Clock) (RenewalRequest, bool) {
	w := p.workers[id]
	if w == nil || !w.needsRenewal() {
		return RenewalRequest{}, false
	}
	ack, soon := w.beginAck()
	return RenewalRequest{To: w.target(), DeadlineMS: p.lease(w, c), AckedUpTo: ack, Unacknowledged: soon || len(w.pendingAcks) > 0, Idle: len(w.runs) == 0}, true
}

// HasRuns reports whether any run may be on a worker.
func (p *Pool) HasRuns() bool {
	for _, w := range p.workers {
		if len(w.runs) > 0 {
			return true
		}
	}
	return false
}

// reachable reports whether the worker has answered recently.
func (p *Pool) reachable(w *Worker, c Clock) bool {
	return w.contacted && !w.unresponsive && c.Now-w.lastContact < p.options.SuspectAfter
}

func (w *Worker) allRuns() []*Run {
	return slices.Collect(maps.Values(w.runs))
}

func (p *Pool) tickWorker(w *Worker, c Clock) {
	if len(w.runs) == 0 {
		return
	}
	if !p.reachable(w, c) {
		p.loseExpiredRuns(w, c)
	}
	for _, r := range w.runs {
		p.tickRun(r, c)
	}
}

// loseExpiredRuns ends the runs of a worker out of reach whose leases have certainly expired.
func (p *Pool) loseExpiredRuns(w *Worker, c Clock) {
	recorded := false
	for _, r := range w.allRuns() {
		if r.phase == phaseDecided || c.Now <= p.runEnd(r) {
			continue
		}
		if !recorded {
			p.recordDecision("lease-lapsed", "", 0, w.ID, p.describeContact(w, c)+", "+w.describeLease(c))
			recorded = true
		}
		p.loseRun(r, c)
	}
}

// describeContact says when this owner last reached a worker.
func (p *Pool) describeContact(w *Worker, c Clock) string {
	if !w.contacted {
		return "never reached since the load " + (c.Now - p.acquiredAt).String() + " ago"
	}
	return "last reached " + (c.Now - w.lastContact).String() + " ago"
}

// tickRun resends unanswered orders. A start order is resent only once its worker has responded again: a worker that
// restarted during a network partition would read the deadline on its own new clock. One whose worker accepts no new work
// any more is stopped instead, as the earlier order may not have been executed.
func (p *Pool) tickRun(r *Run, c Clock) {
	switch {
	case r.phase == phaseStarting && r.outcomeUnknown && p.reachable(r.Worker, c) && c.Now-r.orderedAt > p.options.OrderRetryDelay:
		switch {
		case !r.Worker.acceptsWork(c):
			p.stop(r, c)
		case p.schedulable(r.Worker, c):
			p.sendStart(r, c)
		}
	case r.phase == phaseStopping && !r.stopAcked && c.Now-r.stopSentAt > p.options.OrderRetryDelay:
		r.stopSentAt = c.Now
		p.orderStop(r.id(), r.Worker)
	}
}

// occupancy counts the worker's runs, and its ends that are not stored yet.
func (w *Worker) occupancy() int { return len(w.runs) + len(w.pendingAcks) }
