// Package outlier implements outlier detection for the workers of a pool: it decides which workers are ejected because
// they fail, when they are probed and when they return, and which requests cannot run on any worker. A Tracker is pure:
// time is an argument. It is not safe for concurrent use; the pool's owner calls it from one goroutine.
package outlier

import (
	"container/list"
	"fmt"
	"time"
)

// Limits from the design document, section 3.8.
const (
	// ConsecutiveFailures is the number of failures in a row that eject a worker.
	ConsecutiveFailures = 5
	// Window is the number of recent results that are kept for a worker. More than Window/2 failures among them eject the
	// worker.
	Window = 20
	// MaxEjectedPercent bounds the share of a pool's workers that are ejected, rounded down.
	MaxEjectedPercent = 30
	// MinProbeDelay and MaxProbeDelay bound the exponential backoff between probes.
	MinProbeDelay = time.Second
	MaxProbeDelay = time.Minute
	// CannotRunWorkers is the number of healthy workers on which a request must fail to count as one that cannot run.
	CannotRunWorkers = 3
)

const (
	// maxFailedRequests bounds the number of failed requests that are tracked; the one that failed first is dropped first.
	maxFailedRequests = 4096
	// maxFailedOn bounds the number of workers that are recorded per failed request.
	maxFailedOn = 8
)

// Result is the outcome of one attempt on a worker.
type Result uint8

const (
	// OK means that the worker finished the request successfully.
	OK Result = iota
	// Failed means an error status, a broken connection or a failed dial.
	Failed
	// Refused means that the worker rejected the request as not run, because it is full or leaving. It says
	// nothing about the worker's health.
	Refused
	// Timeout means that the worker did not respond within the attempt's timeout.
	Timeout
)

// String returns the name for the log.
func (r Result) String() string {
	return [...]string{"ok", "failed", "refused", "timeout"}[r]
}

// State is the health of a worker for placement. The zero value is a healthy worker.
type State struct {
	// Ejected is set for a worker that gets only probes.
	Ejected bool
	// Suspect is set for a worker that fails like an ejected one, while MaxEjectedPercent allows no further ejection.
	Suspect bool
	// Probe allows one request to an ejected or suspect worker; the caller calls BeginProbe when it is sent.
	Probe bool
}

// StateChange is a change of a worker's state, for the log.
type StateChange struct {
	Worker string
	State  State
	Reason string
}

// Tracker tracks the recent results of the workers of one pool.
type Tracker struct {
	workers  map[string]*worker
	ejected  int
	requests map[string]*request
	// order holds the failed requests, ordered by their first failure.
	order *list.List
}

type worker struct {
	id         string
	results    []attempt // oldest first, at most Window
	ejected    bool
	suspect    bool
	probeDelay time.Duration
	// returned is the time of the last successful probe.
	returned     time.Time
	probeAt      time.Time
	probeRequest string
	// probeUntil is the time after which a probe without a reported result is abandoned.
	probeUntil time.Time
}

// attempt is one result; request is set for failures only.
type attempt struct {
	id      string
	request *request
}

// request is a request that failed at least once.
type request struct {
	id       string
	failedOn []string
	// succeededOn is the last worker that finished the request.
	succeededOn string
}

// New returns a Tracker without workers.
func New() *Tracker {
	return &Tracker{workers: map[string]*worker{}, requests: map[string]*request{}, order: list.New()}
}

// SetWorkers sets the members of the pool. It drops the results of workers that have left.
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
	// A smaller pool allows fewer ejections.
	for _, id := range ids {
		if w := members[id]; w.ejected && 100*t.ejected > MaxEjectedPercent*len(members) {
			w.ejected, w.suspect = false, true
			t.ejected--
		}
	}
}

// Forget drops the results of a worker that another one has replaced under its ID.
func (t *Tracker) Forget(id string) {
	if w, ok := t.workers[id]; ok && w.ejected {
		t.ejected--
	}
	delete(t.workers, id)
}

// State returns the state of a worker; an unknown worker is healthy.
func (t *Tracker) State(id string, now time.Time) State {
	w, ok := t.workers[id]
	if !ok {
		return State{}
	}
	return w.state(now)
}

func (w *worker) unhealthy() bool { return w.ejected || w.suspect }

func (w *worker) state(now time.Time) State {
	idle := w.probeRequest == "" || !now.Before(w.probeUntil)
	return State{Ejected: w.ejected, Suspect: w.suspect, Probe: w.unhealthy() && idle && !now.Before(w.probeAt)}
}

// BeginProbe records that a request is sent to an ejected or suspect worker. No further probe is due until
// the result of this request is reported, or MaxProbeDelay has passed.
func (t *Tracker) BeginProbe(id, requestID string, now time.Time) {
	if w, ok := t.workers[id]; ok && w.unhealthy() {
		w.probeRequest, w.probeUntil = requestID, now.Add(MaxProbeDelay)
	}
}

// Report records the result of a request on a worker and returns the state changes that follow from it.
func (t *Tracker) Report(now time.Time, id, requestID string, result Result) []StateChange {
	w, ok := t.workers[id]
	if !ok {
		return nil
	}
	if w.unhealthy() && w.probeRequest == requestID && requestID != "" {
		return t.endProbe(now, w, requestID, result)
	}
	switch result {
	case OK:
		w.addResult(attempt{id: requestID})
		return t.succeeded(now, w, requestID)
	case Failed, Timeout:
		w.addResult(attempt{id: requestID, request: t.recordFailure(requestID, id)})
		return t.evaluate(now, w, nil)
	}
	return nil
}

func (w *worker) addResult(a attempt) {
	if len(w.results) == Window {
		copy(w.results, w.results[1:])
		w.results = w.results[:Window-1]
	}
	w.results = append(w.results, a)
}

// succeeded marks a request that failed before as one that can run, so that its failures count against the workers.
func (t *Tracker) succeeded(now time.Time, w *worker, requestID string) []StateChange {
	var changes []StateChange
	if r, ok := t.requests[requestID]; ok {
		r.succeededOn = w.id
		for _, id := range r.failedOn {
			if other, ok := t.workers[id]; ok && id != w.id {
				changes = t.evaluate(now, other, changes)
			}
		}
	}
	if w.suspect {
		changes = t.evaluate(now, w, changes)
	}
	return changes
}

func (t *Tracker) recordFailure(requestID, workerID string) *request {
	r, ok := t.requests[requestID]
	if !ok {
		r = &request{id: requestID}
		t.requests[requestID] = r
		t.order.PushBack(r)
		if t.order.Len() > maxFailedRequests {
			delete(t.requests, t.order.Remove(t.order.Front()).(*request).id)
		}
	}
	for _, id := range r.failedOn {
		if id == workerID {
			return r
		}
	}
	if len(r.failedOn) < maxFailedOn {
		r.failedOn = append(r.failedOn, workerID)
	}
	return r
}

// healthyFor reports whether a failure of the request on w is evidence against the request: w is healthy and
// its last other request succeeded. If a whole pool breaks, its workers soon fail other requests too.
func (w *worker) healthyFor(requestID string) bool {
	if w.unhealthy() {
		return false
	}
	for i := len(w.results) - 1; i >= 0; i-- {
		if w.results[i].id != requestID {
			return w.results[i].request == nil
		}
	}
	return true
}

// exempt reports whether a failure of r on w does not count against w: r also failed on another worker that is healthy,
// and did not succeed on any worker other than w. A request that failed nowhere else counts, but as each request counts
// once, only failures of several requests eject a worker.
func (t *Tracker) exempt(w *worker, r *request) bool {
	if r.succeededOn != "" && r.succeededOn != w.id {
		return false
	}
	for _, id := range r.failedOn {
		if other, ok := t.workers[id]; ok && id != w.id && other.healthyFor(r.id) {
			return true
		}
	}
	return false
}

// failedLater reports whether the request of result i failed on w again later. Only the last failure of a request counts.
func (w *worker) failedLater(i int) bool {
	for _, a := range w.results[i+1:] {
		if a.request == w.results[i].request {
			return true
		}
	}
	return false
}

// ejectionReason returns the reason to eject w, or "".
func (t *Tracker) ejectionReason(w *worker) string {
	failures, consecutive, inRow := 0, 0, true
	for i := len(w.results) - 1; i >= 0; i-- {
		r := w.results[i].request
		switch {
		case r == nil:
			inRow = false
		case !w.failedLater(i) && !t.exempt(w, r):
			failures++
			if inRow {
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

// evaluate updates the state of w from its results and appends the change, if any.
func (t *Tracker) evaluate(now time.Time, w *worker, changes []StateChange) []StateChange {
	if w.ejected {
		return changes
	}
	reason := t.ejectionReason(w)
	mayEject := 100*(t.ejected+1) <= MaxEjectedPercent*len(t.workers)
	switch {
	case reason == "" && w.suspect:
		w.suspect = false
		reason = "results improved"
	case reason != "" && mayEject:
		if !w.suspect {
			w.scheduleProbe(now)
		}
		w.ejected, w.suspect = true, false
		t.ejected++
	case reason != "" && !w.suspect:
		w.suspect = true
		w.scheduleProbe(now)
		reason += fmt.Sprintf(", %d of %d workers are ejected already", t.ejected, len(t.workers))
	default:
		return changes
	}
	return append(changes, StateChange{Worker: w.id, State: w.state(now), Reason: reason})
}

// scheduleProbe sets the time of the first probe. A worker that fails again within MaxProbeDelay of its return waits for
// twice its last delay, so that a worker which passes some probes does not keep failing work.
func (w *worker) scheduleProbe(now time.Time) {
	if w.probeDelay > 0 && now.Sub(w.returned) < MaxProbeDelay {
		w.probeDelay = min(2*w.probeDelay, MaxProbeDelay)
	} else {
		w.probeDelay = MinProbeDelay
	}
	w.probeAt, w.probeRequest = now.Add(w.probeDelay), ""
}

// endProbe applies the result of a probe.
func (t *Tracker) endProbe(now time.Time, w *worker, requestID string, result Result) []StateChange {
	w.probeRequest = ""
	switch result {
	case OK:
		if w.ejected {
			t.ejected--
		}
		w.ejected, w.suspect, w.returned = false, false, now
		w.results = w.results[:0]
		w.addResult(attempt{id: requestID})
		changes := []StateChange{{Worker: w.id, State: w.state(now), Reason: "probe succeeded"}}
		return append(changes, t.succeeded(now, w, requestID)...)
	case Failed, Timeout:
		if r := t.recordFailure(requestID, w.id); !t.exemptProbe(w, r) {
			w.probeDelay = min(2*w.probeDelay, MaxProbeDelay)
		}
	}
	w.probeAt = now.Add(w.probeDelay)
	return nil
}

// exemptProbe reports whether the request of a failed probe also failed on a healthy worker and succeeded on none.
func (t *Tracker) exemptProbe(w *worker, r *request) bool {
	for _, id := range r.failedOn {
		if other, ok := t.workers[id]; ok && id != w.id && other.healthyFor(r.id) {
			return r.succeededOn == ""
		}
	}
	return false
}

// CannotRun reports whether a request failed on at least CannotRunWorkers different healthy workers and succeeded on none.
func (t *Tracker) CannotRun(requestID string) bool {
	r, ok := t.requests[requestID]
	if !ok || r.succeededOn != "" {
		return false
	}
	healthy := 0
	for _, id := range r.failedOn {
		if w, ok := t.workers[id]; ok && w.healthyFor(requestID) {
			healthy++
		}
	}
	return healthy >= CannotRunWorkers
}
