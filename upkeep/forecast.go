package upkeep

import (
	"time"

	"samphirepoint/engine"
)

const (
	// surgeOfRoom and surgeOfMean are the shares of the room, and the multiples of the mean, from which a rate is a surge.
	surgeOfRoom = 0.55
	surgeOfMean = 2.2
	surgeLeast  = 0.35
	// surgeEnd is the share of the room below which a surge is over once the rate has stayed there for surgePause.
	surgeEnd   = 0.3
	surgePause = 1500 * time.Millisecond
	// surgeShortest is the length from which a surge counts as the pool's turn.
	surgeShortest = 3 * time.Second
)

// demand is what a pool's arriving work has looked like. Rates are in thousandths of a core: the work that arrives in a
// second, divided by that second.
type demand struct {
	at      time.Duration
	began   time.Duration
	rate    float64
	total   float64
	surging bool
	starts  []time.Duration
	ends    []time.Duration
	peak    float64
	// lowSince is since when the rate has been low, 0 if it is not.
	lowSince time.Duration
}

// Forecast learns when the pools' demand surges. Demand that moves from pool to pool by turns has one period for all pools.
type Forecast struct {
	pools map[string]*demand
}

// NewForecast returns a forecast that has seen nothing.
func NewForecast() *Forecast { return &Forecast{pools: map[string]*demand{}} }

// Observe takes in a pool's report, and the CPU that the pool has by its baseline. It reports whether a surge has begun or
// ended, and which.
func (f *Forecast) Observe(pool string, r engine.PoolReport, room float64, now time.Duration) (turned, surging bool) {
	d := f.pools[pool]
	if d == nil {
		d = &demand{at: now, began: now}
		f.pools[pool] = d
	}
	was := d.surging
	d.rate = float64(r.ArrivalCPU)
	d.total += d.rate * float64((now - d.at).Milliseconds())
	d.at = now
	d.turn(max(room, 1), now)
	return d.surging != was, d.surging
}

// turn notes the starts and ends of surges. The room is what the pool has by its baseline.
func (d *demand) turn(room float64, now time.Duration) {
	if !d.surging {
		if d.rate > surgeOfRoom*room || (d.rate > surgeOfMean*d.mean(now) && d.rate > surgeLeast*room) {
			d.surging, d.lowSince = true, 0
			d.starts = append(d.starts, now)
			d.peak = d.rate
		}
		return
	}
	d.peak = max(d.peak, d.rate)
	switch {
	case d.rate >= surgeEnd*room:
		d.lowSince = 0
	case d.lowSince == 0:
		d.lowSince = now
	case now-d.lowSince > surgePause:
		d.endTurn()
	}
}

// endTurn ends a surge; a short one was chance and doesn't count.
func (d *demand) endTurn() {
	d.surging = false
	n := len(d.starts) - 1
	if d.lowSince-d.starts[n] < surgeShortest {
		d.starts = d.starts[:n]
		return
	}
	d.ends = append(d.ends, d.lowSince)
}

func (d *demand) mean(now time.Duration) float64 {
	return d.total / float64(max((now-d.began).Milliseconds(), 1))
}

// period is the time between two surges of the same pool, 0 if none has been seen twice.
func (f *Forecast) period() time.Duration {
	var best time.Duration
	for _, d := range f.pools {
		if n := len(d.starts); n >= 2 {
			p := d.starts[n-1] - d.starts[n-2]
			if best == 0 || p < best {
				best = p
			}
		}
	}
	return best
}

// length is the mean length of the surges of a pool, or of any pool.
func (f *Forecast) length(d *demand) time.Duration {
	if n := min(len(d.ends), len(d.starts)); n > 0 {
		return d.ends[n-1] - d.starts[n-1]
	}
	return 4 * time.Second
}

// Next is when a pool's next surge is expected, and false if nothing is known.
func (f *Forecast) Next(pool string) (time.Duration, bool) {
	d := f.pools[pool]
	p := f.period()
	if d == nil || p == 0 || len(d.starts) == 0 {
		return 0, false
	}
	return d.starts[len(d.starts)-1] + p, true
}

// lead is the time that an instance needs to come from another pool: the move, and the lists that show it.
const lead = 2600 * time.Millisecond

// Expecting reports whether a surge of the pool is on, or so near that instances must come now.
func (f *Forecast) Expecting(pool string, now time.Duration) bool {
	d := f.pools[pool]
	if d == nil {
		return false
	}
	if d.surging {
		return true
	}
	next, ok := f.Next(pool)
	return ok && now > next-lead && now < next+f.length(d)/2
}

// Quiet reports whether the pool's turn is over and not near: it had a surge, and others have theirs.
func (f *Forecast) Quiet(pool string, now time.Duration) bool {
	d := f.pools[pool]
	if d == nil || d.surging || len(d.ends) == 0 || f.Expecting(pool, now) {
		return false
	}
	if next, ok := f.Next(pool); ok {
		return next-now > lead && next > now
	}
	return !f.allOthersSince(pool, d.starts[len(d.starts)-1]) || f.calm(now)
}

// calmAfter is the time without any surge after which the turns are taken to be over.
const calmAfter = 2500 * time.Millisecond

// calm reports whether no pool has had a surge for a while.
func (f *Forecast) calm(now time.Duration) bool {
	for _, d := range f.pools {
		if n := len(d.ends); d.surging || (n > 0 && now-d.ends[n-1] < calmAfter) {
			return false
		}
	}
	return true
}

// Turn is a pool's last surge as it is stored, in Unix milliseconds; EndMS is 0 while it lasts.
type Turn struct {
	StartMS int64 `json:"s"`
	EndMS   int64 `json:"e,omitempty"`
}

// Turns returns the last surge of each pool, for a successor. The wall time goes with now.
func (f *Forecast) Turns(now time.Duration, wallMS int64) map[string]Turn {
	out := map[string]Turn{}
	for pool, d := range f.pools {
		if len(d.starts) == 0 {
			continue
		}
		t := Turn{StartMS: wallMS - (now - d.starts[len(d.starts)-1]).Milliseconds()}
		if n := len(d.ends); n > 0 && !d.surging {
			t.EndMS = wallMS - (now - d.ends[n-1]).Milliseconds()
		}
		out[pool] = t
	}
	return out
}

// Recall takes over what a predecessor has seen.
func (f *Forecast) Recall(turns map[string]Turn, now time.Duration, wallMS int64) {
	for pool, t := range turns {
		d := &demand{at: now, began: now, starts: []time.Duration{now - time.Duration(wallMS-t.StartMS)*time.Millisecond}}
		if t.EndMS != 0 {
			d.ends = append(d.ends, now-time.Duration(wallMS-t.EndMS)*time.Millisecond)
		} else {
			d.surging = true
		}
		f.pools[pool] = d
	}
}

// allOthersSince reports whether all other pools have surged since a time, so that the pool's turn may come again.
func (f *Forecast) allOthersSince(pool string, since time.Duration) bool {
	for name, d := range f.pools {
		if name == pool || len(d.starts) == 0 && d.total == 0 {
			continue
		}
		if len(d.starts) == 0 || d.starts[len(d.starts)-1] < since {
			return false
		}
	}
	return true
}
