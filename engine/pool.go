package engine

import (
	"slices"
	"time"
)

// Options are the bounds and lengths that the engine works with.
type Options struct {
	// Lease is for how long a worker may run on without word from the pool's owner.
	Lease time.Duration
	// MaxLease is the longest lease that any owner can have granted.
	MaxLease time.Duration
	// Retention is for how long an ended job is known.
	Retention time.Duration
	// RetryOrder is the pause before an unanswered order is sent again.
	RetryOrder time.Duration
	// SuspectAfter is the silence after which a worker gets no new starts.
	SuspectAfter time.Duration
}

// DefaultOptions suits a platform with leases of up to 10 s.
func DefaultOptions() Options {
	return Options{
		Lease:        5 * time.Second,
		MaxLease:     10 * time.Second,
		Retention:    150 * time.Second,
		RetryOrder:   250 * time.Millisecond,
		SuspectAfter: 2200 * time.Millisecond,
	}
}

// Pool is the state of one pool under one ownership.
type Pool struct {
	Name  string
	Token int64

	opt     Options
	queues  map[string]Queue
	jobs    map[string]*Job
	open    []*Job // jobs that have not ended, in order of arrival
	workers map[string]*Worker
	dirty   []*Job
	orders  []Order
	advice  []AdviceRequest
	learned map[string]*durations
	takenAt time.Duration
	// now is the time of the last event.
	now time.Duration
	// kinds are the kinds of worker that tasks have asked for, with how rare each was at the last placement.
	kinds map[string]float64
	notes []Note
	// needPlace is set by each event that may allow a new start.
	needPlace bool
}

// Note is a decision that is worth a line in the log.
type Note struct {
	Event  string
	Task   string
	Run    int64
	Worker string
	Detail string
}

// NewPool returns the empty state of a pool whose ownership began at now.
func NewPool(name string, token int64, opt Options, now time.Duration) *Pool {
	return &Pool{
		Name: name, Token: token, opt: opt, takenAt: now,
		queues: map[string]Queue{}, jobs: map[string]*Job{}, workers: map[string]*Worker{}, learned: map[string]*durations{}, kinds: map[string]float64{},
	}
}

// SetQueues replaces the queues; jobs of a queue that is gone keep the last known one.
func (p *Pool) SetQueues(queues []Queue) {
	for _, q := range queues {
		p.queues[q.Name] = q
	}
	p.needPlace = true
}

// Job returns a job, or nil.
func (p *Pool) Job(id string) *Job { return p.jobs[id] }

// OpenJobs is the number of jobs that have not ended.
func (p *Pool) OpenJobs() int { return len(p.open) }

// WaitingJobs is the number of a queue's jobs of which nothing has started.
func (p *Pool) WaitingJobs(queue string) int {
	n := 0
	for _, j := range p.open {
		if j.Spec.Queue == queue && !j.begun {
			n++
		}
	}
	return n
}

// Submit takes in a job, or returns the one that has the ID already.
func (p *Pool) Submit(spec Spec, c Clock) *Job {
	if j := p.jobs[spec.ID]; j != nil {
		return j
	}
	j := newJob(spec, c.Wall)
	p.jobs[spec.ID] = j
	p.open = append(p.open, j)
	p.noteKinds(j)
	p.touch(j)
	p.unfold(j, c)
	p.needPlace = true
	return j
}

// Load takes in a job from the store, as its record has it.
func (p *Pool) Load(spec *Spec, id string, rec Record, c Clock) {
	if spec == nil {
		spec = &Spec{ID: id, Queue: rec.Queue}
	}
	j := newJob(*spec, rec.SubmittedMS)
	j.state, j.shown, j.begun, j.endedMS = rec.State, rec.State, rec.Begun, rec.EndedMS
	j.Stored, j.committed, j.rev = true, 1, 1
	p.jobs[id] = j
	if len(spec.Steps) > 0 {
		for _, tr := range rec.Tasks {
			p.loadTask(j, tr)
		}
		for _, k := range rec.Finished {
			j.finish(k)
		}
	}
	if !j.state.Terminal() {
		p.open = append(p.open, j)
		p.noteKinds(j)
		p.unfold(j, c)
	}
	p.needPlace = true
}

func (p *Pool) loadTask(j *Job, tr TaskRecord) {
	t := j.task(TaskID{Job: j.Spec.ID, Occ: tr.Occ, Step: tr.Step, IndexInStep: tr.Index}, true)
	if t == nil {
		return
	}
	t.lastRun, t.failures, t.saved = tr.LastRun, tr.Failures, tr.Saved
	if tr.Done {
		t.setDone()
	}
	for _, rr := range tr.Live {
		w := p.worker(rr.Worker)
		r := &Run{Task: t, Num: rr.Run, Worker: w, bornMS: rr.BornMS, phase: phaseInherited, pace: inheritedPace}
		t.live = append(t.live, r)
		w.add(r)
	}
}

// Cancel ends a job as cancelled; it reports false if the job isn't known. A job that has ended stays as it is.
func (p *Pool) Cancel(id string, c Clock) (*Job, bool) {
	j := p.jobs[id]
	if j == nil {
		return nil, false
	}
	if !j.state.Terminal() {
		p.end(j, Cancelled, c)
	}
	return j, true
}

// end makes a state final and stops all that runs.
func (p *Pool) end(j *Job, s State, c Clock) {
	j.state = s
	j.endedMS = c.Wall
	p.open = without(p.open, j)
	for t := range j.tasks() {
		p.stopRuns(t, c)
	}
	p.note("job-ended", j.Spec.ID, 0, "", string(s))
	p.touch(j)
}

// stopRuns stops all live runs of t.
func (p *Pool) stopRuns(t *Task, c Clock) {
	for _, r := range slices.Clone(t.live) {
		p.stop(r, c)
	}
}

// stop ends a run: one that was never sent is dropped, any other is ordered to stop and occupies room until it is gone.
func (p *Pool) stop(r *Run, c Clock) {
	switch r.phase {
	case phaseIntent:
		p.dropRun(r)
		p.touch(r.Task.job())
	case phaseStopping:
	default:
		r.phase = phaseStopping
		r.stopSentAt = c.Now
		r.stopDone = false
		p.orders = append(p.orders, Order{Kind: OrderStop, Task: r.Task.id, Run: r.Num, Worker: r.Worker.target()})
		p.note("stop", r.Task.id.String(), r.Num, r.Worker.ID, "")
	}
}

// dropRun forgets a run that is certainly not on its worker.
func (p *Pool) dropRun(r *Run) {
	r.Task.waitsSince = p.now
	r.Worker.remove(r)
	r.Task.removeRun(r)
	p.needPlace = true
}

func (p *Pool) touch(j *Job) {
	j.rev++
	if !j.queued {
		j.queued = true
		p.dirty = append(p.dirty, j)
	}
}

func (p *Pool) note(event, task string, run int64, worker, detail string) {
	if len(p.notes) < 500 {
		p.notes = append(p.notes, Note{Event: event, Task: task, Run: run, Worker: worker, Detail: detail})
	}
}

// TakeDecisions returns the decisions since the last call.
func (p *Pool) TakeDecisions() []Note {
	n := p.notes
	p.notes = nil
	return n
}

// TakeOrders returns the orders that are to be sent now.
func (p *Pool) TakeOrders() []Order {
	o := p.orders
	p.orders = nil
	return o
}

// TakeAdviceRequests returns the questions to the adviser that are to be sent now.
func (p *Pool) TakeAdviceRequests() []AdviceRequest {
	a := p.advice
	p.advice = nil
	return a
}

// Tick does what time alone brings: due occurrences, lapsed leases, repeated orders, ends of retention.
func (p *Pool) Tick(c Clock) {
	p.now = c.Now
	for _, j := range p.open {
		p.unfold(j, c)
	}
	for _, w := range p.workers {
		p.tickWorker(w, c)
	}
	p.expire(c)
}

// expire removes jobs that have been ended for the retention.
func (p *Pool) expire(c Clock) {
	for _, j := range p.jobs {
		if j.state.Terminal() && !j.remove && c.Wall-j.endedMS > p.opt.Retention.Milliseconds() && j.liveRuns() == 0 {
			j.remove = true
			p.touch(j)
		}
	}
}
