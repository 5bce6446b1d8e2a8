package engine

import (
	"iter"
	"slices"
	"time"
)

// Job is a job with the state of its tasks. The exported fields belong to the caller that writes the job to the store.
type Job struct {
	Spec Spec
	// Stored is set while the job's spec is in the primary part of the store.
	Stored bool

	state          State
	committedState State
	submittedMS    int64
	endedMS        int64
	started        bool
	occurrences    []*occurrence
	expired        bool

	// rev counts the changes of the job. committed is the newest one that is in the store, in either part.
	rev, committed int64
	dirty          bool
	// batched is set once any state of the job may be in the store, uncertain once it may be there whatever becomes of later batches.
	batched, uncertain bool
	// inPrimary and inStandby are the newest changes in each part, 0 if the part has no record of the job. specInStandby is set while
	// the standby part has the job's spec.
	inPrimary, inStandby int64
	specInStandby        bool
	waiters              []waiter
	criticalPath         time.Duration
}

type waiter struct {
	rev int64
	fn  func()
}

type occurrence struct {
	job      *Job
	index    int
	steps    []*stepState
	finished bool
	dueMS    int64
}

type stepState struct {
	occ            *occurrence
	spec           *Step
	index          int
	tasks          []*Task
	done           int
	tickets        map[string]ticket
	adviceInFlight bool
	adviceSentAt   time.Duration
	adviceRetryAt  time.Duration
	// lastAsked is when the adviser was last asked about each worker.
	lastAsked map[string]time.Duration
}

// Task is one task of a step in one occurrence.
type Task struct {
	id         TaskID
	step       *stepState
	done       bool
	lastRun    int64
	failures   int
	checkpoint string
	live       []*Run
	// notBefore is the earliest next start, after a failure or a rejection.
	notBefore time.Duration
	// failedOn counts the failed runs by worker.
	failedOn map[string]int
	restarts int
	// waitingSince is the start of the current time without a run: when the job entered the pool, or when the task's last
	// run ended.
	waitingSince time.Duration
	// lastReadyAt is when a long-running task was last reported ready. readySince is when its current series
	// of ready reports began, or 0 if the last report was that it is not ready.
	lastReadyAt time.Duration
	readySince  time.Duration
}

func newJob(spec Spec, submittedMS int64) *Job {
	return &Job{Spec: spec, state: Queued, committedState: Queued, submittedMS: submittedMS, occurrences: make([]*occurrence, spec.Occurrences())}
}

// State returns the state as reported to callers: the newest one that is in the store.
func (j *Job) State() State {
	if j.committedState == Queued && j.started {
		return Running
	}
	return j.committedState
}

// Committed reports whether the job is in the store, and thereby accepted.
func (j *Job) Committed() bool { return j.committed > 0 }

// WhenCommitted calls fn once the current state of the job is in the store.
func (j *Job) WhenCommitted(fn func()) {
	if j.committed >= j.rev {
		fn()
		return
	}
	j.waiters = append(j.waiters, waiter{rev: j.rev, fn: fn})
}

// instantiateOccurrence creates the tasks of occurrence k.
func (j *Job) instantiateOccurrence(k int) *occurrence {
	if j.occurrences[k] != nil {
		return j.occurrences[k]
	}
	o := &occurrence{job: j, index: k, dueMS: j.submittedMS}
	if j.Spec.RepeatCount > 0 {
		o.dueMS = j.Spec.FirstDueMS + int64(k)*j.Spec.IntervalMS
	}
	for i := range j.Spec.Steps {
		st := &stepState{occ: o, spec: &j.Spec.Steps[i], index: i}
		for n := range st.spec.Count {
			st.tasks = append(st.tasks, &Task{id: TaskID{Job: j.Spec.ID, Occ: k, Step: i, IndexInStep: n}, step: st})
		}
		o.steps = append(o.steps, st)
	}
	j.occurrences[k] = o
	return o
}

// markFinished marks an occurrence as finished. Its tasks exist only if one of their runs may still be on a worker.
func (j *Job) markFinished(k int) {
	if k < 0 || k >= len(j.occurrences) {
		return
	}
	if j.occurrences[k] != nil {
		j.occurrences[k].finished = true
		return
	}
	j.occurrences[k] = &occurrence{job: j, index: k, finished: true}
}

// task returns a task, or nil if there is none. With instantiate set it creates the occurrence's tasks if needed.
func (j *Job) task(id TaskID, instantiate bool) *Task {
	if id.Occ >= len(j.occurrences) {
		return nil
	}
	o := j.occurrences[id.Occ]
	if o == nil && instantiate {
		o = j.instantiateOccurrence(id.Occ)
	}
	if o == nil || id.Step >= len(o.steps) || id.IndexInStep >= len(o.steps[id.Step].tasks) {
		return nil
	}
	return o.steps[id.Step].tasks[id.IndexInStep]
}

// tasks yields the tasks of all instantiated occurrences.
func (j *Job) tasks() iter.Seq[*Task] {
	return func(yield func(*Task) bool) {
		for _, o := range j.occurrences {
			if o == nil {
				continue
			}
			for _, st := range o.steps {
				for _, t := range st.tasks {
					if !yield(t) {
						return
					}
				}
			}
		}
	}
}

// openOccurrences yields the instantiated occurrences that have not finished.
func (j *Job) openOccurrences() iter.Seq[*occurrence] {
	return func(yield func(*occurrence) bool) {
		for _, o := range j.occurrences {
			if o != nil && !o.finished && !yield(o) {
				return
			}
		}
	}
}

func (j *Job) liveRuns() int {
	n := 0
	for t := range j.tasks() {
		n += len(t.live)
	}
	return n
}

// instantiateDue creates the tasks of the occurrences that are due.
func (p *Pool) instantiateDue(j *Job, c Clock) {
	for k := range j.occurrences {
		if j.occurrences[k] != nil {
			continue
		}
		if j.Spec.RepeatCount > 0 && c.Wall < j.Spec.FirstDueMS+int64(k)*j.Spec.IntervalMS {
			return
		}
		j.instantiateOccurrence(k)
		p.placementNeeded = true
	}
}

// dependenciesDone reports whether all steps that st depends on are complete.
func (st *stepState) dependenciesDone() bool {
	for _, a := range st.spec.After {
		if !st.occ.steps[a].complete() {
			return false
		}
	}
	return true
}

func (st *stepState) complete() bool { return st.done >= len(st.tasks) }

func (t *Task) markDone() {
	if t.done {
		return
	}
	t.done = true
	t.step.done++
}

func (t *Task) removeRun(r *Run) {
	t.live = slices.DeleteFunc(t.live, func(x *Run) bool { return x == r })
}

func (t *Task) job() *Job { return t.step.occ.job }

// checkCompletion finishes the occurrence once all its tasks are done, and the job with its last occurrence.
func (p *Pool) checkCompletion(o *occurrence, c Clock) {
	for _, st := range o.steps {
		if !st.complete() {
			return
		}
	}
	o.finished = true
	j := o.job
	for _, other := range j.occurrences {
		if other == nil || !other.finished {
			return
		}
	}
	if !j.state.Terminal() {
		p.endJob(j, Completed, c)
	}
}
