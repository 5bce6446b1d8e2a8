package engine

import (
	"slices"
	"time"

	"samphirepoint/suspect"
)

// Options are the time limits of the engine.
type Options struct {
	// Lease is how long a worker may keep running without contact to the pool's owner.
	Lease time.Duration
	// MaxLease is the longest lease that any owner can have granted.
	MaxLease time.Duration
	// Retention is how long an ended job stays known.
	Retention time.Duration
	// OrderRetryDelay is the delay before an unanswered order is sent again.
	OrderRetryDelay time.Duration
	// SuspectAfter is the time since the last contact after which a worker gets no new starts.
	SuspectAfter time.Duration
	// RowBytes is the size up to which the store takes the value of a row.
	RowBytes int
	// CompleteWithin is the time within which accepted work must be completed once no more arrives.
	CompleteWithin time.Duration
	// Ejection excludes suspects from new work but for probe runs, as package suspect decides. Without it, failing and slow workers get
	// work last for a short time.
	Ejection bool
	// Ranked enables the order and the refusals of package ranking also where the configuration has no workspaces.
	Ranked bool
}

// DefaultOptions returns options for a platform with leases of up to 10 s.
func DefaultOptions() Options {
	return Options{
		Lease:           5 * time.Second,
		MaxLease:        10 * time.Second,
		Retention:       150 * time.Second,
		OrderRetryDelay: 250 * time.Millisecond,
		SuspectAfter:    2200 * time.Millisecond,
		RowBytes:        64 << 10,
		CompleteWithin:  14 * time.Second,
	}
}

// Pool is the state of one pool during one ownership.
type Pool struct {
	Name  string
	Token int64

	options Options
	queues  map[string]Queue
	// released holds, by queue, the version of the configuration up to which new jobs of the queue belong to another pool.
	released map[string]int64
	jobs     map[string]*Job
	openJobs []*Job // jobs that have not ended, in order of arrival
	workers  map[string]*Worker
	// workersByID holds the workers ordered by ID, or nil after a change of workers.
	workersByID []*Worker
	// sessions counts the sessions with workers that have replaced others.
	sessions int64
	// renewals counts the answered lease renewals.
	renewals          int64
	dirty             []*Job
	orders            []Order
	adviceNeeds       adviceNeeds
	advisePolicy      advisePolicy
	durationEstimates map[string]*durationEstimate
	acquiredAt        time.Duration
	// leasesFrom is the latest time at which a former owner can have granted the longest lease.
	leasesFrom time.Duration
	// rosterReadAt is when the list of workers was read, rosterTriedAt when it was last tried to; rosterDated is false while neither
	// is known.
	rosterReadAt, rosterTriedAt Clock
	rosterDated                 bool
	// confirmedAt is when the pool was last known to have no other owner; confirmed is false while that is not recorded.
	confirmedAt Clock
	confirmed   bool
	// now is the time of the last Tick.
	now time.Duration
	// kinds are the worker kinds that tasks have asked for, with their scarcity at the last placement.
	kinds     map[string]float64
	decisions []Decision
	// placementNeeded is set by every event that may allow a new start.
	placementNeeded bool
	backlog         backlog
	// pendingStarts is the number of runs for which Run.awaitsOutcome holds.
	pendingStarts int
	// misplaced holds the jobs with a record in the standby part.
	misplaced map[string]*Job
	// noRoom holds needs that fit on no worker for the rest of the placement.
	noRoom []Resources
	// candidateBuffer and usableBuffer are reused by successive placements.
	candidateBuffer []candidate
	usableBuffer    []*Worker
	nextExpiry      time.Duration
	workspaces      workspaces
	// suspects is nil without Options.Ejection.
	suspects *suspect.Tracker
	rank     rankState
}

// Decision is a scheduling decision to be logged.
type Decision struct {
	Event  string
	Task   string
	Run    int64
	Worker string
	Detail string
}

// NewPool returns the empty state of a pool whose ownership began at now.
func NewPool(name string, token int64, opt Options, now time.Duration) *Pool {
	p := &Pool{
		Name:              name,
		Token:             token,
		options:           opt,
		queues:            map[string]Queue{},
		released:          map[string]int64{},
		jobs:              map[string]*Job{},
		workers:           map[string]*Worker{},
		durationEstimates: map[string]*durationEstimate{},
		acquiredAt:        now,
		leasesFrom:        now,
		kinds:             map[string]float64{},
		misplaced:         map[string]*Job{},
		advisePolicy:      advisePolicy{},
	}
	if opt.Ejection {
		p.suspects = suspect.New()
	}
	return p
}

// SetQueues updates the queues. Jobs of a queue that was removed keep its last settings: those that have changed since a job was submitted
// are stored with the job, for a successor that never saw them.
func (p *Pool) SetQueues(queues []Queue) {
	for _, q := range queues {
		old, known := p.queues[q.Name]
		p.queues[q.Name] = q
		if known && old.sameSettings(q) {
			continue
		}
		for _, j := range p.openJobs {
			if j.Spec.Queue == q.Name && !j.settings.sameSettings(q) {
				j.settings = q
				p.markDirty(j)
			}
		}
	}
	p.placementNeeded = true
}

// queueOf returns the settings of a job's queue: the present ones, or if the queue was removed the last ones that are known.
func (p *Pool) queueOf(j *Job) Queue {
	if q, ok := p.queues[j.Spec.Queue]; ok {
		return q
	}
	return j.settings
}

// queueOfSpec returns the settings of the queue of a job that is not in the pool yet.
func (p *Pool) queueOfSpec(spec *Spec) Queue {
	if q, ok := p.queues[spec.Queue]; ok || spec.Settings == nil {
		return q
	}
	return *spec.Settings
}

// Job returns the job with the ID, or nil.
func (p *Pool) Job(id string) *Job { return p.jobs[id] }

// OpenJobs returns the number of jobs that have not ended.
func (p *Pool) OpenJobs() int { return len(p.openJobs) }

// WaitingJobs returns the number of the queue's jobs that have not started.
func (p *Pool) WaitingJobs(queue string) int {
	n := 0
	for _, j := range p.openJobs {
		if j.Spec.Queue == queue && !j.started {
			n++
		}
	}
	return n
}

// ReleaseQueue makes the pool accept no more jobs of a queue under the given version of the configuration or an earlier one.
func (p *Pool) ReleaseQueue(queue string, version int64) {
	p.released[queue] = max(p.released[queue], version)
}

// Released reports whether new jobs like the given one belong to another pool.
func (p *Pool) Released(spec *Spec) bool {
	version, ok := p.released[spec.Queue]
	return ok && spec.Version() <= version
}

// HasJobs reports whether the pool has any job of a queue, ended ones included.
func (p *Pool) HasJobs(queue string) bool {
	for _, j := range p.jobs {
		if j.Spec.Queue == queue {
			return true
		}
	}
	return false
}

// Submit adds a job, or returns the existing one with the same ID.
func (p *Pool) Submit(spec Spec, c Clock) *Job {
	if j := p.jobs[spec.ID]; j != nil {
		return j
	}
	j := newJob(spec, c.Wall)
	j.settings = p.queueOfSpec(&spec)
	if n := p.options.tasksPerRow(); spec.needsSegments(n) {
		j.segmentTasks, j.segments = n, map[segmentID]*segment{}
	}
	p.jobs[spec.ID] = j
	p.openJobs = append(p.openJobs, j)
	p.addKinds(j)
	p.markDirty(j)
	p.instantiateDue(j, c)
	p.queueWork(j, c)
	p.placementNeeded = true
	return j
}

func (p *Pool) load(spec *Spec, id string, rec Record, c Clock) *Job {
	if spec == nil {
		spec = &Spec{ID: id, Queue: rec.Queue}
	}
	j := newJob(*spec, rec.SubmittedMS)
	j.state, j.committedState, j.started, j.endedMS = rec.State, rec.State, rec.Started, rec.EndedMS
	if spec.Settings != nil {
		j.settings = *spec.Settings
	}
	if rec.Settings != nil {
		j.settings = *rec.Settings
	}
	j.rev = max(rec.Rev, 1)
	j.committed = j.rev
	p.jobs[id] = j
	if len(spec.Steps) > 0 {
		for _, tr := range rec.Tasks {
			p.loadTask(j, tr)
		}
		for k := range rec.finished() {
			j.markFinished(k)
		}
	}
	if !j.state.Terminal() {
		p.openJobs = append(p.openJobs, j)
		p.addKinds(j)
		p.instantiateDue(j, c)
	}
	p.placementNeeded = true
	return j
}

func (p *Pool) loadTask(j *Job, tr TaskRecord) {
	t := j.task(TaskID{Job: j.Spec.ID, Occ: tr.Occ, Step: tr.Step, IndexInStep: tr.Index}, true)
	if t == nil {
		return
	}
	t.lastRun, t.failures, t.failedRuns, t.checkpoint = tr.LastRun, tr.Failures, tr.FailedRuns, tr.Checkpoint
	if tr.Done {
		t.markDone()
	}
	for _, rr := range tr.Live {
		w := p.ensureWorker(rr.Worker)
		r := &Run{Task: t, Num: rr.Run, Worker: w, incarnation: rr.Incarnation, phase: phaseInherited, throttlePercent: inheritedThrottlePercent}
		p.addRun(r)
	}
}

// Cancel ends a job as cancelled; it returns false if the job isn't known. A job that has already ended is unchanged.
func (p *Pool) Cancel(id string, c Clock) (*Job, bool) {
	j := p.jobs[id]
	if j == nil {
		return nil, false
	}
	if !j.state.Terminal() {
		p.endJob(j, Cancelled, c)
	}
	return j, true
}

// endJob puts a job into a final state and stops all its runs.
func (p *Pool) endJob(j *Job, s State, c Clock) {
	j.state = s
	j.endedMS = c.Wall
	p.openJobs = removeJob(p.openJobs, j)
	for t := range j.tasks() {
		p.stopRuns(t, c)
		t.step.advice = nil
	}
	p.recordDecision("job-ended", j.Spec.ID, 0, "", string(s))
	p.markDirty(j)
}

// stopRuns stops all live runs of t.
func (p *Pool) stopRuns(t *Task, c Clock) {
	for _, r := range slices.Clone(t.live) {
		p.stop(r, c)
	}
}

// stop ends a run. A run that was never ordered is dropped; any other gets a stop order and occupies capacity until it
// is gone.
func (p *Pool) stop(r *Run, c Clock) {
	switch r.phase {
	case phaseDecided:
		p.dropRun(r)
		p.markDirty(r.Task.job())
	case phaseStopping:
	default:
		r.phase = phaseStopping
		p.countPending(r, false)
		r.stopSentAt = c.Now
		r.stopAcked = false
		p.orderStop(r.id(), r.Worker)
		p.recordDecision("stop", r.Task.id.String(), r.Num, r.Worker.ID, "")
	}
}

// addRun adds a run to its task, its worker and the use of its workspace.
func (p *Pool) addRun(r *Run) {
	r.Task.live = append(r.Task.live, r)
	r.Worker.add(r)
	p.workspaces.add(r.Task.job().Spec.Workspace, r.Task.step.spec.Need)
	p.rank.shares.Add(r.Task.job().Spec.Workspace, r.Task.step.spec.Footprint().CPU)
}

// dropRun removes a run that is certainly not on its worker. It has no effect if that was done already: the loss of a gang's member also drops
// other members on the same worker.
func (p *Pool) dropRun(r *Run) {
	if !slices.Contains(r.Task.live, r) {
		return
	}
	r.Task.waitingSince = p.now
	r.Worker.remove(r)
	if r.Worker.condition != nil {
		r.Worker.condition.Over(r.period)
	}
	r.Task.removeRun(r)
	p.workspaces.remove(r.Task.job().Spec.Workspace, r.Task.step.spec.Need)
	p.rank.shares.Add(r.Task.job().Spec.Workspace, -r.Task.step.spec.Footprint().CPU)
	p.countPending(r, true)
	p.placementNeeded = true
	p.noRoom = p.noRoom[:0]
}

func (p *Pool) markDirty(j *Job) {
	j.rev++
	if !j.dirty {
		j.dirty = true
		p.dirty = append(p.dirty, j)
	}
}

// maxDecisions bounds the decisions that are kept between two calls of TakeDecisions; later ones are not logged.
const maxDecisions = 500

func (p *Pool) recordDecision(event, task string, run int64, worker, detail string) {
	if len(p.decisions) < maxDecisions {
		p.decisions = append(p.decisions, Decision{Event: event, Task: task, Run: run, Worker: worker, Detail: detail})
	}
}

// TakeDecisions returns the decisions since the last call.
func (p *Pool) TakeDecisions() []Decision {
	p.recordSuspectEvents()
	d := p.decisions
	p.decisions = nil
	return d
}

// Tick handles what depends on time alone: due occurrences, expired leases, repeated orders and the end of retention.
func (p *Pool) Tick(c Clock) {
	p.now = c.Now
	for _, j := range p.openJobs {
		p.instantiateDue(j, c)
	}
	for _, w := range p.workers {
		p.tickWorker(w, c)
		p.judgeRuns(w, c)
	}
	p.updateBacklog(c)
	p.expire(c)
}

// expireInterval is the time between two searches for jobs whose retention has ended.
const expireInterval = time.Second

// expire removes ended jobs after the retention time.
func (p *Pool) expire(c Clock) {
	if c.Now < p.nextExpiry {
		return
	}
	p.nextExpiry = c.Now + expireInterval
	for _, j := range p.jobs {
		if j.state.Terminal() && !j.expired && j.inStandby == 0 && c.Wall-j.endedMS > p.options.Retention.Milliseconds() && j.liveRuns() == 0 {
			j.expired = len(j.segments) == 0 // The record goes last.
			p.markDirty(j)
		}
	}
}
