// Package outlier decides which workers of a pool are ejected because they fail, when they are
// probed and when they return, and which jobs cannot run anywhere. A Tracker is pure: time is an
// argument. It is not safe for concurrent use; the pool's owner calls it from one goroutine.
package outlier

import (
	"container/list"
	"fmt"
	"time"
)

// Limits of the design page, section 3.8.
const (
	// ConsecutiveFailures in a row eject a worker.
	ConsecutiveFailures = 5
	// Window is the number of last results of which more than half must fail to eject a worker.
	Window = 20
	// MaxEjectedPercent bounds the ejected part of a pool, rounded down.
	MaxEjectedPercent = 30
	// MinProbeDelay and MaxProbeDelay bound the doubling delay between probes.
	MinProbeDelay = time.Second
	MaxProbeDelay = time.Minute
	// CannotRunWorkers is the number of good workers on which a job must fail to count as one that cannot run.
	CannotRunWorkers = 3
)

const (
	// maxJobs bounds the memory for failed jobs; the job that failed first is forgotten first.
	maxJobs = 4096
	// maxJobWorkers bounds the workers remembered per failed job.
	maxJobWorkers = 8
)

// Result of one attempt on a worker.
type Result uint8

const (
	// OK means the worker finished the job.
	OK Result = iota
	// Failed means an error status, a broken connection or a failed dial.
	Failed
	// Refused means the worker rejected the job as not run, because it is full or leaving. It tells
	// nothing about the worker's health.
	Refused
	// Timeout means the worker did not answer within the attempt's timeout.
	Timeout
)

// String returns the name for the log.
func (r Result) String() string {
	return [...]string{"ok", "failed", "refused", "timeout"}[r]
}

// State is what placement needs to know of a worker.
type State struct {
	// Ejected workers get only probes.
	Ejected bool
	// Suspect workers fail like ejected ones, but the pool has no room for another ejection.
	Suspect bool
	// Probe allows one request to an ejected or suspect worker; call BeginProbe when it is sent.
	Probe bool
}

// StateChange of a worker's state, for the log.
type StateChange struct {
	Worker string
	State  State
	Reason string
}

// Tracker holds the recent results of the workers of one pool.
type Tracker struct {
	workers map[string]*worker
	ejected int
	jobs    map[string]*job
	// order holds the failed jobs, the first failed at the front.
	order *list.List
}

type worker struct {
	id      string
	results []attempt // oldest first, at most Window
	ejected bool
	suspect bool
	delay   time.Duration
	// returned is the end of the last ejection.
	returned time.Time
	probeAt  time.Time
	probeJob string
	// probeUntil ends a probe whose result is never reported.
	probeUntil time.Time
}

// attempt is one result; job is set for failures only.
type attempt struct {
	id  string
	job *job
}

// job is a job that failed at least once.
type job struct {
	id       string
	failedOn []string
	// succeededOn is the last worker that finished the job.
	succeededOn string
}

// New returns a Tracker without workers.
func New() *Tracker {
	return &Tracker{workers: map[string]*worker{}, jobs: map[string]*job{}, order: list.New()}
}

// SetWorkers sets the members of the pool. Results of workers that left are dropped.
func (t *Tracker) SetWorkers(ids []string) {
	members := make(map[string]*worker, len(ids))
	t.ejected = 0
	for _, id := range ids {
		w, ok := t.workers[id]
		if !ok {
			w = &worker{id: id}
		}
		members[id] = w
		if w.ejected {
			t.ejected++
		}
	}
	t.workers = members
	// A smaller pool has room for fewer ejections.
	for _, id := range ids {
		if w := members[id]; w.ejected && 100*t.ejected > MaxEjectedPercent*len(members) {
			w.ejected, w.suspect = false, true
			t.ejected--
		}
	}
}

// State returns the state of a worker; an unknown worker is in good state.
func (t *Tracker) State(id string, now time.Time) State {
	w, ok := t.workers[id]
	if !ok {
		return State{}
	}
	return w.state(now)
}

func (w *worker) bad() bool { return w.ejected || w.suspect }

func (w *worker) state(now time.Time) State {
	idle := w.probeJob == "" || !now.Before(w.probeUntil)
	return State{Ejected: w.ejected, Suspect: w.suspect, Probe: w.bad() && idle && !now.Before(w.probeAt)}
}

// BeginProbe notes that a job goes to an ejected or suspect worker. No further probe is due until
// the result of this job is reported, or MaxProbeDelay has passed.
func (t *Tracker) BeginProbe(id, job string, now time.Time) {
	if w, ok := t.workers[id]; ok && w.bad() {
		w.probeJob, w.probeUntil = job, now.Add(MaxProbeDelay)
	}
}

// Report notes the result of a job on a worker and returns the changes of state that follow.
func (t *Tracker) Report(now time.Time, id, jobID string, result Result) []StateChange {
	w, ok := t.workers[id]
	if !ok {
		return nil
	}
	if w.bad() && w.probeJob == jobID && jobID != "" {
		return t.endProbe(now, w, jobID, result)
	}
	switch result {
	case OK:
		w.add(attempt{id: jobID})
		return t.succeeded(now, w, jobID)
	case Failed, Timeout:
		w.add(attempt{id: jobID, job: t.fail(jobID, id)})
		return t.judge(now, w, nil)
	}
	return nil
}

func (w *worker) add(a attempt) {
	if len(w.results) == Window {
		copy(w.results, w.results[1:])
		w.results = w.results[:Window-1]
	}
	w.results = append(w.results, a)
}

// succeeded marks a job that failed before as one that can run, so its failures count.
func (t *Tracker) succeeded(now time.Time, w *worker, jobID string) []StateChange {
	var changes []StateChange
	if j, ok := t.jobs[jobID]; ok {
		j.succeededOn = w.id
		for _, id := range j.failedOn {
			if other, ok := t.workers[id]; ok && id != w.id {
				changes = t.judge(now, other, changes)
			}
		}
	}
	if w.suspect {
		changes = t.judge(now, w, changes)
	}
	return changes
}

func (t *Tracker) fail(jobID, workerID string) *job {
	j, ok := t.jobs[jobID]
	if !ok {
		j = &job{id: jobID}
		t.jobs[jobID] = j
		t.order.PushBack(j)
		if t.order.Len() > maxJobs {
			delete(t.jobs, t.order.Remove(t.order.Front()).(*job).id)
		}
	}
	for _, id := range j.failedOn {
		if id == workerID {
			return j
		}
	}
	if len(j.failedOn) < maxJobWorkers {
		j.failedOn = append(j.failedOn, workerID)
	}
	return j
}

// goodFor reports whether a failure of job on w speaks against the job: w is in good state and
// finished the last other job that it ran. If a whole pool breaks, its workers soon fail other jobs too.
func (w *worker) goodFor(jobID string) bool {
	if w.bad() {
		return false
	}
	for i := len(w.results) - 1; i >= 0; i-- {
		if w.results[i].id != jobID {
			return w.results[i].job == nil
		}
	}
	return true
}

// excused reports whether a failure on w does not count against w. A job that failed nowhere else counts, but as every
// job counts once, only failures of several jobs eject a worker.
func (t *Tracker) excused(w *worker, j *job) bool {
	if j.succeededOn != "" && j.succeededOn != w.id {
		return false
	}
	for _, id := range j.failedOn {
		if other, ok := t.workers[id]; ok && id != w.id && other.goodFor(j.id) {
			return true
		}
	}
	return false
}

// failedLater reports whether the job of result i failed on w once more after it; repeats of a job count once.
func (w *worker) failedLater(i int) bool {
	for _, a := range w.results[i+1:] {
		if a.job == w.results[i].job {
			return true
		}
	}
	return false
}

// verdict returns the reason to eject w, or "".
func (t *Tracker) verdict(w *worker) string {
	failures, consecutive, unbroken := 0, 0, true
	for i := len(w.results) - 1; i >= 0; i-- {
		j := w.results[i].job
		switch {
		case j == nil:
			unbroken = false
		case !w.failedLater(i) && !t.excused(w, j):
			failures++
			if unbroken {
				consecutive++
			}
		}
	}
	switch {
	case consecutive >= ConsecutiveFailures:
		return fmt.Sprintf("%d consecutive failures", consecutive)
	case 2*failures > Window:
		return fmt.Sprintf("%d failures among the last %d results", failures, Window)
	}
	return ""
}

// judge brings the state of w up to date with its results and appends a change, if any.
func (t *Tracker) judge(now time.Time, w *worker, changes []StateChange) []StateChange {
	if w.ejected {
		return changes
	}
	reason := t.verdict(w)
	room := 100*(t.ejected+1) <= MaxEjectedPercent*len(t.workers)
	switch {
	case reason == "" && w.suspect:
		w.suspect = false
		reason = "results improved"
	case reason != "" && room:
		if !w.suspect {
			w.schedule(now)
		}
		w.ejected, w.suspect = true, false
		t.ejected++
	case reason != "" && !w.suspect:
		w.suspect = true
		w.schedule(now)
		reason += fmt.Sprintf(", %d of %d workers are ejected already", t.ejected, len(t.workers))
	default:
		return changes
	}
	return append(changes, StateChange{Worker: w.id, State: w.state(now), Reason: reason})
}

// schedule sets the first probe. A worker that fails again soon after its return waits for
// twice its last delay, so that a worker which passes some probes does not keep failing work.
func (w *worker) schedule(now time.Time) {
	if w.delay > 0 && now.Sub(w.returned) < MaxProbeDelay {
		w.delay = min(2*w.delay, MaxProbeDelay)
	} else {
		w.delay = MinProbeDelay
	}
	w.probeAt, w.probeJob = now.Add(w.delay), ""
}

// endProbe applies the result of a probe.
func (t *Tracker) endProbe(now time.Time, w *worker, jobID string, result Result) []StateChange {
	w.probeJob = ""
	switch result {
	case OK:
		if w.ejected {
			t.ejected--
		}
		w.ejected, w.suspect, w.returned = false, false, now
		w.results = w.results[:0]
		w.add(attempt{id: jobID})
		changes := []StateChange{{Worker: w.id, State: w.state(now), Reason: "probe succeeded"}}
		return append(changes, t.succeeded(now, w, jobID)...)
	case Failed, Timeout:
		if j := t.fail(jobID, w.id); !t.excusedProbe(w, j) {
			w.delay = min(2*w.delay, MaxProbeDelay)
		}
	}
	w.probeAt = now.Add(w.delay)
	return nil
}

// excusedProbe reports whether the job of a failed probe failed on a good worker too.
func (t *Tracker) excusedProbe(w *worker, j *job) bool {
	for _, id := range j.failedOn {
		if other, ok := t.workers[id]; ok && id != w.id && other.goodFor(j.id) {
			return j.succeededOn == ""
		}
	}
	return false
}

// CannotRun reports whether a job failed on CannotRunWorkers different good workers and succeeded on none.
func (t *Tracker) CannotRun(jobID string) bool {
	j, ok := t.jobs[jobID]
	if !ok || j.succeededOn != "" {
		return false
	}
	good := 0
	for _, id := range j.failedOn {
		if w, ok := t.workers[id]; ok && w.goodFor(jobID) {
			good++
		}
	}
	return good >= CannotRunWorkers
}
