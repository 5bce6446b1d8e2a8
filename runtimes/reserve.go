package runtimes

import (
	"math"
	"time"

	"samphirepoint/request"
)

const (
	// fastWindow lets the reserve rise within a surge, which lasts seconds (design page, 1.3).
	fastWindow = 2 * time.Second
	// slowWindow keeps the reserve through the pauses between surges.
	slowWindow = 30 * time.Second
	// deviations is the margin above the mean demand, in standard deviations (design page, 3.5).
	deviations = 2
)

// Reserve follows the demand for short work of a pool, in slots. The zero value has seen no demand.
type Reserve struct {
	fast, slow float64 // decayed sums of run time, in seconds
	last       time.Time
}

func (r *Reserve) advance(now time.Time) {
	if now.After(r.last) {
		gap := now.Sub(r.last)
		r.fast *= math.Exp(-float64(gap) / float64(fastWindow))
		r.slow *= math.Exp(-float64(gap) / float64(slowWindow))
		r.last = now
	}
}

// RecordArrival notes an urgent or short request with its mean run time. Times over
// request.ShortLimit count as that, because the work is long from then on.
func (r *Reserve) RecordArrival(now time.Time, mean time.Duration) {
	r.advance(now)
	seconds := min(mean, request.ShortLimit).Seconds()
	r.fast += seconds
	r.slow += seconds
}

// Slots returns the slots that long work must leave free: arrival rate x run time plus two standard deviations (the
// number of busy slots is about Poisson distributed), at least 1, at most half of the pool.
func (r *Reserve) Slots(now time.Time, total int) int {
	r.advance(now)
	busy := max(r.fast/fastWindow.Seconds(), r.slow/slowWindow.Seconds())
	want := int(math.Ceil(busy + deviations*math.Sqrt(busy)))
	return min(max(want, 1), total/2)
}
