// Package runtimes estimates the run times of requests from observations and classifies work as short or long. Its
// types do not read the clock: the current time is an argument. They are not safe for concurrent use; the pool's
// owner calls them from one goroutine.
package runtimes

import (
	"container/list"
	"time"

	"samphirepoint/request"
)

const (
	// enoughObservations is the number of a key's observations that suffices to ignore its parent; p90 needs about 10.
	enoughObservations = 10
	// declaredWeight is the weight of a declared run time. It is low, because declared times are inaccurate (design
	// document, section 1.3).
	declaredWeight = 1
	// priorRunTime is the run time that is assumed for work without any observations. It is short, because longer
	// work is reclassified after request.ShortLimit.
	priorRunTime = 250 * time.Millisecond
	// A key becomes long once longQuantile of its run times reaches longThreshold, and short again once shortQuantile
	// is at most shortThreshold. The gaps between the thresholds and between the quantiles prevent a key near
	// request.ShortLimit from changing its class with every observation, and a key with a twentieth of long work from
	// becoming long by chance: about 50 observations cannot distinguish a twentieth from a tenth.
	longThreshold  = request.ShortLimit * 11 / 10
	shortThreshold = request.ShortLimit * 9 / 10
	longQuantile   = 0.8
	shortQuantile  = 0.9
	// DefaultMaxKeys is a number of keys that limits the memory of a Tracker to about 4 MB.
	DefaultMaxKeys = 4096
)

// Key identifies work with similar run times. A key with only Queue set is the parent of all keys of the queue.
type Key struct{ Queue, Backer, Kind string }

func (k Key) parent() Key { return Key{Queue: k.Queue} }

// Estimate is the estimated run time of a request.
type Estimate struct {
	P50, P90, Mean time.Duration
	// Observations is the decayed number of observed run times of the key itself.
	Observations float64
}

// Tracker estimates run times per key.
type Tracker struct {
	maxKeys int
	keys    map[Key]*list.Element // of *keyStats
	recent  *list.List            // most recently used first
	running map[string]*run
}

type keyStats struct {
	key   Key
	times histogram
	class request.Class
	// running contains the running requests of the key, which raise the estimate before they finish.
	running map[string]*run
}

type run struct {
	own, parent *keyStats
	started     time.Time
}

// New returns a Tracker that stores at most maxKeys keys and evicts the least recently used ones.
func New(maxKeys int) *Tracker {
	return &Tracker{maxKeys: max(maxKeys, 2), keys: map[Key]*list.Element{}, recent: list.New(), running: map[string]*run{}}
}

// Keys returns the number of stored keys.
func (t *Tracker) Keys() int { return t.recent.Len() }

// stats returns the statistics of a key and marks the key as used. It creates them if necessary.
func (t *Tracker) stats(key Key) *keyStats {
	if e, ok := t.keys[key]; ok {
		t.recent.MoveToFront(e)
		return e.Value.(*keyStats)
	}
	s := &keyStats{key: key}
	t.keys[key] = t.recent.PushFront(s)
	if t.recent.Len() > t.maxKeys {
		delete(t.keys, t.recent.Remove(t.recent.Back()).(*keyStats).key)
	}
	return s
}

// Begin records that a request starts to run.
func (t *Tracker) Begin(id string, key Key, now time.Time) {
	r := &run{own: t.stats(key), parent: t.stats(key.parent()), started: now}
	t.running[id] = r
	for _, s := range [2]*keyStats{r.own, r.parent} {
		if s.running == nil {
			s.running = map[string]*run{}
		}
		s.running[id] = r
	}
}

// End records that a request no longer runs. The run time of finished work is an observation. The run time of work
// that failed, timed out or was stopped is only a lower bound, so it is counted only if it raises the estimate. A worker
// that fails all requests quickly therefore does not affect the estimates.
func (t *Tracker) End(id string, now time.Time, finished bool) {
	r, ok := t.running[id]
	if !ok {
		return
	}
	delete(t.running, id)
	elapsed := now.Sub(r.started)
	delete(r.own.running, id)
	delete(r.parent.running, id)
	for _, s := range [2]*keyStats{r.own, r.parent} {
		p90, known := s.times.quantile(0.9, 0)
		if finished || !known && elapsed > priorRunTime || known && elapsed > p90 {
			s.times.add(now, elapsed)
		}
		if r.own == r.parent {
			break
		}
	}
}

// distribution returns the distribution on which the estimates for key are based. The key's own observations are
// supplemented, up to enoughObservations, by those of the queue and then by the declared run time and priorRunTime.
func (t *Tracker) distribution(key Key, declared time.Duration, now time.Time) (h histogram) {
	own, parent := t.stats(key), t.stats(key.parent())
	h.addScaled(now, &own.times, 1/(1-decayFactor))
	own.addRunning(&h, now)
	if parent != own && h.total < enoughObservations {
		var p histogram
		p.addScaled(now, &parent.times, 1/(1-decayFactor))
		parent.addRunning(&p, now)
		h.addScaled(now, &p, enoughObservations-h.total)
	}
	if deficit := enoughObservations - h.total; deficit > 0 {
		if declared > 0 {
			h.weight[binOf(declared)] += declaredWeight
			h.total += declaredWeight
		}
		h.weight[binOf(priorRunTime)] += 0.1 * deficit
		h.total += 0.1 * deficit
	}
	return h
}

// addRunning adds an observation of the elapsed run time for each running request that has run for longer than
// the median of the observed run times.
func (s *keyStats) addRunning(h *histogram, now time.Time) {
	if len(s.running) == 0 {
		return
	}
	p50, known := h.quantile(0.5, 0)
	if !known {
		p50 = priorRunTime
	}
	for _, r := range s.running {
		if elapsed := now.Sub(r.started); elapsed > p50 {
			h.weight[binOf(elapsed)]++
			h.total++
		}
	}
}

// Estimate returns the expected run time of a request. declared is the caller's own estimate or 0.
func (t *Tracker) Estimate(key Key, declared time.Duration, now time.Time) Estimate {
	h := t.distribution(key, declared, now)
	own := t.stats(key)
	e := Estimate{Mean: h.mean(), Observations: float64(own.times.total * own.times.timeDecay(now))}
	e.P50, _ = h.quantile(0.5, 0)
	e.P90, _ = h.quantile(0.9, 0)
	return e
}

// Class returns request.Short or request.Long, depending on the estimated run times.
func (t *Tracker) Class(key Key, declared time.Duration, now time.Time) request.Class {
	h := t.distribution(key, declared, now)
	s := t.stats(key)
	short := false
	switch s.class {
	case request.Short:
		at, _ := h.quantile(longQuantile, 0)
		short = at < longThreshold
	case request.Long:
		at, _ := h.quantile(shortQuantile, 0)
		short = at <= shortThreshold
	default:
		at, _ := h.quantile(longQuantile, 0)
		short = at < request.ShortLimit
	}
	s.class = request.Long
	if short {
		s.class = request.Short
	}
	return s.class
}

// Remaining returns the time after which a running request has finished with probability p, given its elapsed run
// time. If no observed run time is longer, the remaining time is estimated as the elapsed time.
func (t *Tracker) Remaining(id string, p float64, now time.Time) time.Duration {
	r, ok := t.running[id]
	if !ok {
		return 0
	}
	elapsed := now.Sub(r.started)
	h := t.distribution(r.own.key, 0, now)
	// The bin of the elapsed time contains this run itself, so it is excluded.
	total, ok := h.quantile(p, min(binOf(elapsed)+1, bins-1))
	if !ok || total <= elapsed {
		return elapsed
	}
	return total - elapsed
}
