package runtimes

import (
	"math"
	"time"

	"samphirepoint/request"
)

const (
	// fastWindow lets the reserve increase during a demand spike, which lasts seconds (design document, section 1.3).
	fastWindow = 2 * time.Second
	// slowWindow keeps the reserve between demand spikes.
	slowWindow = 30 * time.Second
	// reserveDeviations is the margin above the mean demand, in standard deviations (design document, section 3.5).
	reserveDeviations = 2
)

// Reserve estimates a pool's demand for short work, in slots. The zero value is a Reserve without observed demand.
type Reserve struct {
	fast, slow float64 // decayed sums of run time, in seconds
	updated    time.Time
}

func (r *Reserve) advance(now time.Time) {
	if now.After(r.updated) {
		gap := now.Sub(r.updated)
		r.fast *= math.Exp(-float64(gap) / float64(fastWindow))
		r.slow *= math.Exp(-float64(gap) / float64(slowWindow))
		r.updated = now
	}
}

// RecordArrival records the arrival of an urgent or short request with the given mean run time. Run times above
// request.ShortLimit count as ShortLimit, because the work is classified as long after that time.
func (r *Reserve) RecordArrival(now time.Time, mean time.Duration) {
	r.advance(now)
	seconds := min(mean, request.ShortLimit).Seconds()
	r.fast += seconds
	r.slow += seconds
}

// Slots returns the number of slots that long work must leave free: arrival rate x run time plus two standard
// deviations (the number of busy slots is approximately Poisson distributed), at least 1, and at most half of the pool.
func (r *Reserve) Slots(now time.Time, total int) int {
	r.advance(now)
	busy := max(r.fast/fastWindow.Seconds(), r.slow/slowWindow.Seconds())
	reserved := int(math.Ceil(busy + reserveDeviations*math.Sqrt(busy)))
	return min(max(reserved, 1), total/2)
}
