// Package runtimes learns the run times of requests and classifies work as short or long. All
// types are pure: time is an argument. They are not safe for concurrent use; the pool's
// owner calls them from one goroutine.
package runtimes

import (
	"container/list"
	"time"

	"samphirepoint/request"
)

const (
	// enough observations of a key make its parent irrelevant; p90 needs about 10.
	enough = 10
	// declaredWeight is the weight of a declared run time; declared times are far off (design page, 1.3).
	declaredWeight = 1
	// prior is the run time assumed of work of which nothing is known. It is short, because work
	// that is not is reclassified after request.ShortLimit.
	prior = 250 * time.Millisecond
	// A key becomes long once longQuantile of its run times is at becomesLong, and short again once shortQuantile is at
	// becomesShort. The gaps keep a key near request.ShortLimit from changing with every observation, and one of whose
	// work a twentieth is long from counting as long by chance: about 50 observations can't tell that from a tenth.
	becomesLong   = request.ShortLimit * 11 / 10
	becomesShort  = request.ShortLimit * 9 / 10
	longQuantile  = 0.8
	shortQuantile = 0.9
	// DefaultMaxKeys bounds the memory of a Tracker to about 4 MB.
	DefaultMaxKeys = 4096
)

// Key identifies work with similar run times. A key with only Queue set is the parent of all keys of the queue.
type Key struct{ Queue, Backer, Kind string }

func (k Key) parent() Key { return Key{Queue: k.Queue} }

// Estimate of a run time.
type Estimate struct {
	P50, P90, Mean time.Duration
	// Observations is the decayed number of run times of the key itself.
	Observations float64
}

// Tracker learns run times per key.
type Tracker struct {
	maxKeys int
	keys    map[Key]*list.Element // of *learned
	recent  *list.List            // most recently used first
	running map[string]*run
}

type learned struct {
	key   Key
	times histogram
	class request.Class
	// running requests of the key; they raise the estimate before they finish.
	running map[string]*run
}

type run struct {
	own, parent *learned
	started     time.Time
}

// New returns a Tracker that remembers at most maxKeys keys; the least recently used are forgotten.
func New(maxKeys int) *Tracker {
	return &Tracker{maxKeys: max(maxKeys, 2), keys: map[Key]*list.Element{}, recent: list.New(), running: map[string]*run{}}
}

// Keys is the number of remembered keys.
func (t *Tracker) Keys() int { return t.recent.Len() }

func (t *Tracker) learned(key Key) *learned {
	if e, ok := t.keys[key]; ok {
		t.recent.MoveToFront(e)
		return e.Value.(*learned)
	}
	l := &learned{key: key}
	t.keys[key] = t.recent.PushFront(l)
	if t.recent.Len() > t.maxKeys {
		delete(t.keys, t.recent.Remove(t.recent.Back()).(*learned).key)
	}
	return l
}

// Begin notes that a request starts to run.
func (t *Tracker) Begin(id string, key Key, now time.Time) {
	r := &run{own: t.learned(key), parent: t.learned(key.parent()), started: now}
	t.running[id] = r
	for _, l := range [2]*learned{r.own, r.parent} {
		if l.running == nil {
			l.running = map[string]*run{}
		}
		l.running[id] = r
	}
}

// End notes that a request no longer runs. The run time of finished work is learned. Work that
// failed, timed out or was stopped tells only that it may take at least as long as it ran, so
// it counts only if that raises the estimate; a worker that fails everything fast teaches nothing.
func (t *Tracker) End(id string, now time.Time, finished bool) {
	r, ok := t.running[id]
	if !ok {
		return
	}
	delete(t.running, id)
	elapsed := now.Sub(r.started)
	delete(r.own.running, id)
	delete(r.parent.running, id)
	for _, l := range [2]*learned{r.own, r.parent} {
		p90, known := l.times.quantile(0.9, 0)
		if finished || !known && elapsed > prior || known && elapsed > p90 {
			l.times.add(now, elapsed)
		}
		if r.own == r.parent {
			break
		}
	}
}

// view returns the distribution that estimates of key rest on: the key's own, then that of the queue
// and then the declared time or the prior, each up to the number of observations that is still missing.
func (t *Tracker) view(key Key, declared time.Duration, now time.Time) (h histogram) {
	own, parent := t.learned(key), t.learned(key.parent())
	h.mix(now, &own.times, 1/(1-keep))
	own.addRunning(&h, now)
	if parent != own && h.total < enough {
		var p histogram
		p.mix(now, &parent.times, 1/(1-keep))
		parent.addRunning(&p, now)
		h.mix(now, &p, enough-h.total)
	}
	if missing := enough - h.total; missing > 0 {
		if declared > 0 {
			h.weight[binOf(declared)] += declaredWeight
			h.total += declaredWeight
		}
		h.weight[binOf(prior)] += 0.1 * missing
		h.total += 0.1 * missing
	}
	return h
}

// addRunning counts each running request that has run for longer than half of the known run times as
// an observation of the time that it ran so far.
func (l *learned) addRunning(h *histogram, now time.Time) {
	if len(l.running) == 0 {
		return
	}
	p50, known := h.quantile(0.5, 0)
	if !known {
		p50 = prior
	}
	for _, r := range l.running {
		if elapsed := now.Sub(r.started); elapsed > p50 {
			h.weight[binOf(elapsed)]++
			h.total++
		}
	}
}

// Estimate returns the run time to expect of a request; declared is the caller's own estimate or 0.
func (t *Tracker) Estimate(key Key, declared time.Duration, now time.Time) Estimate {
	h := t.view(key, declared, now)
	own := t.learned(key)
	e := Estimate{Mean: h.mean(), Observations: float64(own.times.total * own.times.fade(now))}
	e.P50, _ = h.quantile(0.5, 0)
	e.P90, _ = h.quantile(0.9, 0)
	return e
}

// Class returns request.Short or request.Long by the estimated run times.
func (t *Tracker) Class(key Key, declared time.Duration, now time.Time) request.Class {
	h := t.view(key, declared, now)
	l := t.learned(key)
	short := false
	switch l.class {
	case request.Short:
		at, _ := h.quantile(longQuantile, 0)
		short = at < becomesLong
	case request.Long:
		at, _ := h.quantile(shortQuantile, 0)
		short = at <= becomesShort
	default:
		at, _ := h.quantile(longQuantile, 0)
		short = at < request.ShortLimit
	}
	l.class = request.Long
	if short {
		l.class = request.Short
	}
	return l.class
}

// Remaining returns the time after which a running request has finished with probability p, given that it has run
// for so long already. If no known run time is as long, it is expected to take as long again.
func (t *Tracker) Remaining(id string, p float64, now time.Time) time.Duration {
	r, ok := t.running[id]
	if !ok {
		return 0
	}
	elapsed := now.Sub(r.started)
	h := t.view(r.own.key, 0, now)
	// The bin of elapsed itself contains this run, so it is left out.
	total, ok := h.quantile(p, min(binOf(elapsed)+1, bins-1))
	if !ok || total <= elapsed {
		return elapsed
	}
	return total - elapsed
}
