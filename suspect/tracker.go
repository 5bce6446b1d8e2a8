// Package suspect decides which workers of a shard get no new work because they fail, stall, restart or run slowly, when such a worker
// gets a probe run, and how it returns. A Tracker is pure: time is an argument. It is not safe for concurrent use.
//
// Each worker has three scores: for failures, for slowness and for instability. The first two are log-likelihood ratios as in a CUSUM
// test: a bad result raises them by more than a good one lowers them. All decay with time; instability by nothing else, as a worker that
// restarts again and again succeeds in between. A worker whose score reaches a threshold becomes a suspect.
package suspect

import (
	"maps"
	"slices"
	"time"
)

// MaxSuspectPercent bounds the share of the listed workers that are suspects, rounded down.
const MaxSuspectPercent = 30

// Tracker holds the workers of one shard.
type Tracker struct {
	workers map[string]*Worker
	// listed counts the listed workers, suspects those of them that are suspects.
	listed, suspects int
	// typicalRatio estimates the median ratio of actual to expected run time on all workers, so that estimates that are too low for the
	// whole shard make no worker slow.
	typicalRatio float64
	asksHealth   bool
	events       []Event
}

// EventKind is a kind of change of a worker's state.
type EventKind string

// The events of a worker.
const (
	EventSuspected EventKind = "worker-suspected"
	// EventTolerated: the worker would be a suspect if MaxSuspectPercent allowed one more.
	EventTolerated   EventKind = "worker-tolerated"
	EventProbed      EventKind = "worker-probed"
	EventProbeFailed EventKind = "worker-probe-failed"
	// EventReturned: a probe run has succeeded, and the worker gets a few runs at once.
	EventReturned EventKind = "worker-returned"
	// EventRecovered: the worker gets work without a limit again.
	EventRecovered EventKind = "worker-recovered"
	// EventHealthAnswered: the worker's health path was asked.
	EventHealthAnswered EventKind = "worker-health"
)

// Event is a change of a worker's state, for the log.
type Event struct {
	Kind   EventKind
	Worker string
	Detail string
}

// New returns a Tracker without workers.
func New() *Tracker {
	return &Tracker{workers: map[string]*Worker{}, typicalRatio: 1}
}

// Worker returns the worker with the given ID, and adds it if it isn't known.
func (t *Tracker) Worker(id string) *Worker {
	w := t.workers[id]
	if w == nil {
		w = &Worker{id: id, tracker: t, period: 1}
		t.workers[id] = w
	}
	return w
}

// Remove forgets a worker.
func (t *Tracker) Remove(id string) {
	if w := t.workers[id]; w != nil {
		t.setListed(w, false)
		delete(t.workers, id)
	}
}

// SetListed sets the listed workers. A suspect that is not listed keeps its state, but doesn't count.
func (t *Tracker) SetListed(ids map[string]bool, now time.Duration) {
	for id := range ids {
		t.Worker(id)
	}
	for id, w := range t.workers {
		t.setListed(w, ids[id])
	}
	if t.suspects <= t.maxSuspects() {
		return
	}
	// A shorter list allows fewer suspects.
	for _, id := range slices.Sorted(maps.Keys(t.workers)) {
		if w := t.workers[id]; w.listed && w.state == Suspected && t.suspects > t.maxSuspects() {
			w.scores, w.decayedAt = scores{failure: threshold}, now
			w.tolerate()
		}
	}
}

func (t *Tracker) setListed(w *Worker, listed bool) {
	if w.listed == listed {
		return
	}
	change := 1
	if !listed {
		change = -1
	}
	w.listed = listed
	t.listed += change
	if w.state == Suspected {
		t.suspects += change
	}
}

func (t *Tracker) maxSuspects() int { return t.listed * MaxSuspectPercent / 100 }

// SetAsksHealth sets whether the workers have a health path that is asked before a probe run.
func (t *Tracker) SetAsksHealth(asks bool) { t.asksHealth = asks }

// TakeEvents returns the events since the last call.
func (t *Tracker) TakeEvents() []Event {
	e := t.events
	t.events = nil
	return e
}

func (t *Tracker) record(kind EventKind, w *Worker, detail string) {
	t.events = append(t.events, Event{Kind: kind, Worker: w.id, Detail: detail})
}

const (
	// slowRatio is the ratio of actual to expected run time from which a run counts as slow, and stallRatio that from which it counts as
	// stalled.
	slowRatio  = 2.5
	stallRatio = 6.0
	// runOverhead is the part of a run's time that doesn't grow with its length, such as the delay until its end is listed.
	runOverhead = 200 * time.Millisecond
	// minStallTime is the least time from which a run counts as stalled.
	minStallTime = 2 * time.Second
	// ratioStep is the factor by which one run changes typicalRatio; maxTypicalRatio bounds it.
	ratioStep       = 1.02
	maxTypicalRatio = 4.0
)

// SlowAfter returns the run time from which a run with the given expected time counts as slow.
func (t *Tracker) SlowAfter(expected time.Duration) time.Duration {
	return time.Duration(float64(expected)*slowRatio*max(1, t.typicalRatio)) + runOverhead
}

// StalledAfter returns the run time from which a run with the given expected time counts as stalled.
func (t *Tracker) StalledAfter(expected time.Duration) time.Duration {
	return max(time.Duration(float64(expected)*stallRatio*max(1, t.typicalRatio))+runOverhead, minStallTime)
}

// observeRatio moves typicalRatio by one step towards a ratio, whatever its distance: a few very slow workers don't move a median.
func (t *Tracker) observeRatio(ratio float64) {
	if ratio > t.typicalRatio {
		t.typicalRatio = min(t.typicalRatio*ratioStep, maxTypicalRatio)
		return
	}
	t.typicalRatio = max(t.typicalRatio/ratioStep, 1/maxTypicalRatio)
}
