package engine

import (
	"iter"
	"slices"
	"time"
)

// Job is a job with the state of its tasks. Its exported fields belong to the caller that writes it to the store.
type Job struct {
	Spec Spec
	// Stored is set while the job's spec is in the store.
	Stored bool

	state       State
	shown       State
	submittedMS int64
	endedMS     int64
	begun       bool
	occs        []*occurrence
	remove      bool

	rev, committed int64
	queued         bool
	// batched is set once any state of the job may be in the store.
	batched bool
	waiters []waiter
	chain   time.Duration
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
	occ     *occurrence
	spec    *Step
	index   int
	tasks   []*Task
	done    int
	tickets map[string]ticket
	asked   bool
	askedAt time.Duration
	noGood  time.Duration
	// askedOf is when the adviser was last asked for each worker.
	askedOf map[string]time.Duration
}

// Task is one task of a step in one occurrence.
type Task struct {
	id       TaskID
	step     *stepState
	done     bool
	lastRun  int64
	failures int
	saved    string
	live     []*Run
	// notBefore delays a start after a failure or a rejection.
	notBefore time.Duration
	// failedOn are workers on which a run failed.
	failedOn map[string]int
	restarts int
	// waitsSince is since when the task has had no run: its start in the pool, or the end of its last run.
	waitsSince time.Duration
	// atWorkAt is when a lasting task was last seen at work, atWorkSince since when without a break.
	atWorkAt    time.Duration
	atWorkSince time.Duration
}

func newJob(spec Spec, submittedMS int64) *Job {
	return &Job{Spec: spec, state: Queued, shown: Queued, submittedMS: submittedMS, occs: make([]*occurrence, spec.Occurrences())}
}

// State is what callers are told: the newest state that is in the store.
func (j *Job) State() State {
	if j.shown == Queued && j.begun {
		return Running
	}
	return j.shown
}

// Committed reports whether the job's acceptance is in the store.
func (j *Job) Committed() bool { return j.committed > 0 }

// WhenCommitted calls fn once the present state of the job is in the store.
func (j *Job) WhenCommitted(fn func()) {
	if j.committed >= j.rev {
		fn()
		return
	}
	j.waiters = append(j.waiters, waiter{rev: j.rev, fn: fn})
}

// unfoldOccurrence builds the tasks of occurrence k.
func (j *Job) unfoldOccurrence(k int) *occurrence {
	if j.occs[k] != nil {
		return j.occs[k]
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
	j.occs[k] = o
	return o
}

// finish marks an occurrence as ended. Its tasks are there only if some run of them may still be on a worker.
func (j *Job) finish(k int) {
	if k < 0 || k >= len(j.occs) {
		return
	}
	if j.occs[k] != nil {
		j.occs[k].finished = true
		return
	}
	j.occs[k] = &occurrence{job: j, index: k, finished: true}
}

// task finds a task; with unfold it builds the task's occurrence if need be.
func (j *Job) task(id TaskID, unfold bool) *Task {
	if id.Occ >= len(j.occs) {
		return nil
	}
	o := j.occs[id.Occ]
	if o == nil && unfold {
		o = j.unfoldOccurrence(id.Occ)
	}
	if o == nil || id.Step >= len(o.steps) || id.IndexInStep >= len(o.steps[id.Step].tasks) {
		return nil
	}
	return o.steps[id.Step].tasks[id.IndexInStep]
}

// tasks yields the tasks of all occurrences that are built.
func (j *Job) tasks() iter.Seq[*Task] {
	return func(yield func(*Task) bool) {
		for _, o := range j.occs {
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

// openOccurrences yields the occurrences that are built and have not ended.
func (j *Job) openOccurrences() iter.Seq[*occurrence] {
	return func(yield func(*occurrence) bool) {
		for _, o := range j.occs {
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

// unfold builds the occurrences that are due.
func (p *Pool) unfold(j *Job, c Clock) {
	for k := range j.occs {
		if j.occs[k] != nil {
			continue
		}
		if j.Spec.RepeatCount > 0 && c.Wall < j.Spec.FirstDueMS+int64(k)*j.Spec.IntervalMS {
			return
		}
		j.unfoldOccurrence(k)
		p.needPlace = true
	}
}

// ready reports whether all steps that st waits for have ended.
func (st *stepState) ready() bool {
	for _, a := range st.spec.After {
		if !st.occ.steps[a].complete() {
			return false
		}
	}
	return true
}

func (st *stepState) complete() bool { return st.done >= len(st.tasks) }

func (t *Task) setDone() {
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

// checkEnd ends the occurrence and the job once all tasks are done.
func (p *Pool) checkEnd(o *occurrence, c Clock) {
	for _, st := range o.steps {
		if !st.complete() {
			return
		}
	}
	o.finished = true
	j := o.job
	for _, other := range j.occs {
		if other == nil || !other.finished {
			return
		}
	}
	if !j.state.Terminal() {
		p.end(j, Completed, c)
	}
}
