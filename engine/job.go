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

	// settings are the last known ones of the job's queue.
	settings       Queue
	state          State
	committedState State
	submittedMS    int64
	endedMS        int64
	started        bool
	occurrences    []*occurrence
	// nextOccurrence is the first occurrence that may not have begun, firstOpen the first one that may not be finished.
	nextOccurrence, firstOpen int
	// open is the number of occurrences that have begun and are not finished.
	open    int
	expired bool

	// rev counts the changes of the job. committed is the newest one that is in the store, in either part.
	rev, committed int64
	dirty          bool
	// batched is set once any state of the job may be in the store, uncertain once it may be there whatever becomes of later batches.
	batched, uncertain bool
	// alone is set while the job's rows are to be written without those of others, as the store has refused them. It gets no more before
	// refusedUntil.
	alone        bool
	refusedUntil time.Duration
	// inPrimary and inStandby are the newest changes in each part, 0 if the part has no record of the job. specInStandby is set while
	// the standby part has the job's spec.
	inPrimary, inStandby int64
	specInStandby        bool
	// segmentTasks is the number of tasks in each segment, 0 for a job whose tasks are all in its record. segments holds the segments
	// that have a row.
	segmentTasks int
	segments     map[segmentID]*segment
	waiters      []waiter
	criticalPath time.Duration
}

type waiter struct {
	rev int64
	fn  func()
}

type occurrence struct {
	job   *Job
	index int
	steps []*stepState
	// tasks are the tasks of all steps.
	tasks    []*Task
	finished bool
	dueMS    int64
}

type stepState struct {
	occ   *occurrence
	spec  *Step
	index int
	tasks []*Task
	done  int
	// advice is what the adviser has said, by worker ID. It is dropped with the last task, as ended jobs are kept for a while.
	advice         map[string]*workerAdvice
	adviceInFlight bool
	// adviceRetryAt is when advice may be asked for again after adviceFailures requests that have failed in a row.
	adviceRetryAt  time.Duration
	adviceFailures int
}

// Task is one task of a step in one occurrence.
type Task struct {
	id       TaskID
	step     *stepState
	done     bool
	lastRun  int64
	failures int
	// failedRuns are the last runs that were counted as failures.
	failedRuns []int64
	checkpoint string
	live       []*Run
	// notBefore is the earliest next start, after a failure or a rejection.
	notBefore time.Duration
	// reserveAfter is when a worker may be kept free for the task again.
	reserveAfter time.Duration
	// failedOn counts the failed runs by worker.
	failedOn map[string]int
	restarts int
	// stalledStops counts the stalled runs that were stopped.
	stalledStops int
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

// VisibleTo reports whether a call with a key of the workspace may see the job. Jobs and calls of public queues have no workspace.
func (j *Job) VisibleTo(workspace string) bool {
	return workspace == "" || j.Spec.Workspace == "" || j.Spec.Workspace == workspace
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
		o.tasks = append(o.tasks, st.tasks...)
	}
	j.occurrences[k] = o
	j.open++
	return o
}

// markFinished marks an occurrence as finished. Its tasks exist only if one of their runs may still be on a worker.
func (j *Job) markFinished(k int) {
	if k < 0 || k >= len(j.occurrences) {
		return
	}
	if j.occurrences[k] != nil {
		j.occurrences[k].finish()
		return
	}
	j.occurrences[k] = &occurrence{job: j, index: k, finished: true}
}

// finish marks the occurrence as finished.
func (o *occurrence) finish() {
	if !o.finished {
		o.finished = true
		o.job.open--
	}
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
		for _, o := range j.occurrences[j.firstOpen:] {
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

// maxOpenOccurrences bounds the occurrences of a job that are due and not finished. Later ones wait for these: otherwise a job whose
// tasks can't run fills the memory, and the list of its finished occurrences outgrows a row.
const maxOpenOccurrences = 2000

// instantiateDue creates the tasks of the occurrences that are due, as far as maxOpenOccurrences and MaxTasks allow.
func (p *Pool) instantiateDue(j *Job, c Clock) {
	for ; j.nextOccurrence < len(j.occurrences); j.nextOccurrence++ {
		k := j.nextOccurrence
		if j.occurrences[k] != nil {
			continue
		}
		if j.Spec.RepeatCount > 0 && c.Wall < j.Spec.FirstDueMS+int64(k)*j.Spec.IntervalMS {
			return
		}
		if !j.mayOpenOccurrence() {
			return
		}
		j.instantiateOccurrence(k)
		p.placementNeeded = true
	}
}

// mayOpenOccurrence reports whether another occurrence may begin beside the open ones.
func (j *Job) mayOpenOccurrence() bool {
	return j.open == 0 || (j.open < maxOpenOccurrences && (j.open+1)*j.Spec.tasks() <= MaxTasks)
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
	if t.step.complete() {
		t.step.advice = nil
	}
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
	o.finish()
	j := o.job
	if j.allFinished() && !j.state.Terminal() {
		p.endJob(j, Completed, c)
	}
}

// allFinished reports whether all occurrences are finished.
func (j *Job) allFinished() bool {
	for j.firstOpen < len(j.occurrences) && j.occurrences[j.firstOpen] != nil && j.occurrences[j.firstOpen].finished {
		j.firstOpen++
	}
	return j.firstOpen == len(j.occurrences)
}
