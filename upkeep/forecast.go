package upkeep

import (
	"time"

	"samphirepoint/engine"
)

const (
	// spikeCapacityShare is the share of the pool's capacity above which a rate is a demand spike. A rate above
	// spikeMeanFactor times the mean rate and above spikeMinCapacityShare of the capacity is a spike, too.
	spikeCapacityShare    = 0.55
	spikeMeanFactor       = 2.2
	spikeMinCapacityShare = 0.35
	// spikeEndShare is the share of the capacity below which a spike ends once the rate has stayed there for spikeEndDelay.
	spikeEndShare = 0.3
	spikeEndDelay = 1500 * time.Millisecond
	// minPeakPeriod is the length from which a spike counts as a peak period of the pool.
	minPeakPeriod = 3 * time.Second
)

// demand is the history of a pool's arriving work. Rates are in thousandths of a core: the CPU time of the work that arrives
// in a second, divided by that second.
type demand struct {
	lastObserved  time.Duration
	firstObserved time.Duration
	rate          float64
	total         float64
	spiking       bool
	starts        []time.Duration
	ends          []time.Duration
	// peak is the highest rate of the present or last spike, lastPeak that of the last peak period that has ended.
	peak     float64
	lastPeak float64
	// baselineCPU is the CPU capacity of the pool at its baseline size.
	baselineCPU float64
	// lowSince is the time since which the rate has been below spikeEndShare, or 0 if it is not below it.
	lowSince time.Duration
}

// Forecast learns the peak periods of the pools' demand. Peaks that rotate among the pools recur with the same interval in
// all pools.
type Forecast struct {
	pools map[string]*demand
}

// NewForecast returns a forecast without observations.
func NewForecast() *Forecast { return &Forecast{pools: map[string]*demand{}} }

// Observe records a pool's report; baselineCPU is the CPU capacity of the pool at its baseline size. It reports whether a
// spike has started or ended, and whether one is in progress.
func (f *Forecast) Observe(pool string, r engine.PoolReport, baselineCPU float64, now time.Duration) (changed, spiking bool) {
	d := f.pools[pool]
	if d == nil {
		d = &demand{lastObserved: now, firstObserved: now}
		f.pools[pool] = d
	}
	wasSpiking := d.spiking
	d.rate = float64(r.ArrivalCPU)
	d.total += d.rate * float64((now - d.lastObserved).Milliseconds())
	d.lastObserved = now
	d.baselineCPU = max(baselineCPU, 1)
	d.observeRate(d.baselineCPU, now)
	return d.spiking != wasSpiking, d.spiking
}

// observeRate records the starts and ends of spikes; baselineCPU is the CPU capacity of the pool at its baseline size.
func (d *demand) observeRate(baselineCPU float64, now time.Duration) {
	if !d.spiking {
		aboveMean := d.rate > spikeMeanFactor*d.meanRate(now) && d.rate > spikeMinCapacityShare*baselineCPU
		if aboveMean || d.rate > spikeCapacityShare*baselineCPU {
			d.spiking, d.lowSince = true, 0
			d.starts = append(d.starts, now)
			d.peak = d.rate
		}
		return
	}
	d.peak = max(d.peak, d.rate)
	switch {
	case d.rate >= spikeEndShare*baselineCPU:
		d.lowSince = 0
	case d.lowSince == 0:
		d.lowSince = now
	case now-d.lowSince > spikeEndDelay:
		d.endPeakPeriod()
	}
}

// endPeakPeriod ends a spike and discards it as random variation if it was shorter than minPeakPeriod.
func (d *demand) endPeakPeriod() {
	d.spiking = false
	if start, _ := d.lastStart(); d.lowSince-start < minPeakPeriod {
		d.starts = d.starts[:len(d.starts)-1]
		return
	}
	d.ends = append(d.ends, d.lowSince)
	d.lastPeak = d.peak
}

// lastStart returns the start of the present or last spike, and false if there was none.
func (d *demand) lastStart() (time.Duration, bool) {
	if len(d.starts) == 0 {
		return 0, false
	}
	return d.starts[len(d.starts)-1], true
}

func (d *demand) meanRate(now time.Duration) float64 {
	return d.total / float64(max((now-d.firstObserved).Milliseconds(), 1))
}

// interval returns the shortest time between the starts of a pool's last two peak periods, or 0 if no pool has had two.
func (f *Forecast) interval() time.Duration {
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

// defaultPeakLength stands for the length of the peak periods of a pool none of which has ended.
const defaultPeakLength = 4 * time.Second

// peakLength returns the length of a pool's last peak period, or defaultPeakLength.
func (f *Forecast) peakLength(d *demand) time.Duration {
	if n := min(len(d.ends), len(d.starts)); n > 0 {
		return d.ends[n-1] - d.starts[n-1]
	}
	return defaultPeakLength
}

// knownPeak returns the highest rate of the pool's last peak period, or of the present one once its start is over; 0 if it has
// had none.
func (d *demand) knownPeak(now time.Duration) float64 {
	if start, _ := d.lastStart(); d.spiking && now-start >= minPeakPeriod {
		return d.peak
	}
	return d.lastPeak
}

// expectedPeak returns the rate that the pool's next or present peak period is expected to reach: that of its last one, or else
// that of the other pools' in proportion to the pools' baseline sizes, as operators size pools for their demand. It returns 0 if
// no pool has had one.
func (f *Forecast) expectedPeak(pool string, now time.Duration) float64 {
	d := f.pools[pool]
	if own := d.knownPeak(now); own > 0 {
		return own
	}
	sum, n := 0.0, 0.0
	for _, o := range f.pools {
		if known := o.knownPeak(now); known > 0 && o.baselineCPU > 0 {
			sum += known / o.baselineCPU
			n++
		}
	}
	return sum / max(n, 1) * d.baselineCPU
}

// NextPeak returns the expected start of a pool's next peak period, and false if it is not known. While the interval is unknown, the
// only pool that has not had its turn yet comes next, at the expected end of the present peak period.
func (f *Forecast) NextPeak(pool string) (time.Duration, bool) {
	d := f.pools[pool]
	if d == nil {
		return 0, false
	}
	start, ok := d.lastStart()
	if interval := f.interval(); ok && interval != 0 {
		return start + interval, true
	}
	if !f.hasTurnNext(pool) {
		return 0, false
	}
	return f.presentPeakEnd()
}

// hasTurnNext reports whether all other pools have had a peak period since the pool's last one, or ever if it has had none. It takes two
// others to make a rotation.
func (f *Forecast) hasTurnNext(pool string) bool {
	since, _ := f.pools[pool].lastStart()
	return len(f.pools) > 2 && f.allOthersPeakedSince(pool, since)
}

// presentPeakEnd returns the expected end of the peak period that began last: after the shortest length of those that have ended. It
// reports false if none has.
func (f *Forecast) presentPeakEnd() (time.Duration, bool) {
	var began, length time.Duration
	for _, d := range f.pools {
		if start, ok := d.lastStart(); ok {
			began = max(began, start)
		}
		if n := min(len(d.ends), len(d.starts)); n > 0 && (length == 0 || f.peakLength(d) < length) {
			length = f.peakLength(d)
		}
	}
	return began + length, length > 0
}

// moveLeadTime is the time from the decision to move an instance until it serves in its new pool: the move itself, and the
// delay until the instance lists show it.
const moveLeadTime = 2600 * time.Millisecond

// PeakExpected reports whether a peak period of the pool is in progress, or so near that instances must be moved to it now.
func (f *Forecast) PeakExpected(pool string, now time.Duration) bool {
	d := f.pools[pool]
	if d == nil {
		return false
	}
	if d.spiking {
		return true
	}
	next, ok := f.NextPeak(pool)
	return ok && now > next-moveLeadTime && now < next+f.peakLength(d)/2
}

// spiking reports whether a peak period of the pool is in progress.
func (f *Forecast) spiking(pool string) bool {
	d := f.pools[pool]
	return d != nil && d.spiking
}

// OffPeak reports whether the pool's last peak period is over and the next one is not near. While the interval is unknown,
// the next one counts as near once all other pools have had a peak and the present one is about to end, unless all pools are off-peak.
func (f *Forecast) OffPeak(pool string, now time.Duration) bool {
	d := f.pools[pool]
	if d == nil || d.spiking || len(d.ends) == 0 || f.PeakExpected(pool, now) {
		return false
	}
	if next, ok := f.NextPeak(pool); ok {
		return next-now > moveLeadTime || (f.interval() == 0 && f.allOffPeak(now))
	}
	start, _ := d.lastStart()
	return !f.allOthersPeakedSince(pool, start) || f.allOffPeak(now)
}

// offPeakAfter is the time without a spike in any pool after which the rotation of peak periods is taken to be over.
const offPeakAfter = 2500 * time.Millisecond

// allOffPeak reports whether no pool has had a spike during the last offPeakAfter.
func (f *Forecast) allOffPeak(now time.Duration) bool {
	for _, d := range f.pools {
		if n := len(d.ends); d.spiking || (n > 0 && now-d.ends[n-1] < offPeakAfter) {
			return false
		}
	}
	return true
}

// PeakPeriod is the stored form of a pool's last peak period, in Unix milliseconds; EndMS is 0 while it lasts. Rate is the
// highest known rate, in thousandths of a core.
type PeakPeriod struct {
	StartMS int64 `json:"s"`
	EndMS   int64 `json:"e,omitempty"`
	Rate    int64 `json:"r,omitempty"`
}

// PeakPeriods returns the last peak period of each pool, to be stored for a successor. The wall time wallMS corresponds to
// now.
func (f *Forecast) PeakPeriods(now time.Duration, wallMS int64) map[string]PeakPeriod {
	out := map[string]PeakPeriod{}
	for pool, d := range f.pools {
		start, ok := d.lastStart()
		if !ok {
			continue
		}
		t := PeakPeriod{StartMS: wallMS - (now - start).Milliseconds(), Rate: int64(d.knownPeak(now))}
		if n := len(d.ends); n > 0 && !d.spiking {
			t.EndMS = wallMS - (now - d.ends[n-1]).Milliseconds()
		}
		out[pool] = t
	}
	return out
}

// storedRateFactor is the factor by which a known peak must exceed the stored one to be stored again.
const storedRateFactor = 1.2

// Outdated reports whether a known peak is well above the one that is stored for a successor. The rate of a peak period is known only some seconds
// after its start.
func (f *Forecast) Outdated(stored map[string]PeakPeriod, now time.Duration) bool {
	for pool, d := range f.pools {
		if d.knownPeak(now) > storedRateFactor*float64(stored[pool].Rate) {
			return true
		}
	}
	return false
}

// Restore loads the peak periods that a predecessor stored.
func (f *Forecast) Restore(periods map[string]PeakPeriod, now time.Duration, wallMS int64) {
	for pool, t := range periods {
		start := now - time.Duration(wallMS-t.StartMS)*time.Millisecond
		d := &demand{lastObserved: now, firstObserved: now, peak: float64(t.Rate), lastPeak: float64(t.Rate), starts: []time.Duration{start}}
		if t.EndMS != 0 {
			d.ends = append(d.ends, now-time.Duration(wallMS-t.EndMS)*time.Millisecond)
		} else {
			d.spiking = true
		}
		f.pools[pool] = d
	}
}

// allOthersPeakedSince reports whether all other pools have had a spike since a time, so that the pool's next peak period
// may come.
func (f *Forecast) allOthersPeakedSince(pool string, since time.Duration) bool {
	for name, d := range f.pools {
		start, peaked := d.lastStart()
		if name == pool || !peaked && d.total == 0 {
			continue
		}
		if !peaked || start < since {
			return false
		}
	}
	return true
}
