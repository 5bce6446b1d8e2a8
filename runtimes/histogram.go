package runtimes

import (
	"math"
	"time"
)

const (
	// binsPerOctave results in a bin width of 9 %. With 19 %, the error of the p90 of run times near request.ShortLimit
	// exceeded the hysteresis of the class.
	binsPerOctave = 8
	// bins is the number of bins. They cover 1 ms to about 37 h; longer run times are counted in the last bin.
	bins = 27 * binsPerOctave
	// decayFactor scales the weight of earlier observations with each new one, so about the last 50 observations
	// count. After a change of the run times, the weight of the old ones falls below a tenth, and so out of the p90,
	// within 115 observations.
	decayFactor = 0.98
	// halfLife is the half-life of observations by time. It expires old observations in queues with little work, where
	// decayFactor takes effect slowly.
	halfLife = time.Hour
)

// histogram is a decayed histogram of run times on a logarithmic scale.
type histogram struct {
	weight  [bins]float32
	total   float32
	updated time.Time
}

func binOf(d time.Duration) int {
	ms := float64(d) / float64(time.Millisecond)
	if ms <= 1 {
		return 0
	}
	return min(int(binsPerOctave*math.Log2(ms)), bins-1)
}

// binStart is the lower bound of bin i; i may be fractional.
func binStart(i float64) time.Duration {
	return time.Duration(float64(time.Millisecond) * math.Exp2(i/binsPerOctave))
}

func (h *histogram) scale(f float32) {
	for i := range h.weight {
		h.weight[i] *= f
	}
	h.total *= f
}

// timeDecay returns the factor of the decay by time since the last update.
func (h *histogram) timeDecay(now time.Time) float32 {
	if h.updated.IsZero() || !now.After(h.updated) {
		return 1
	}
	return float32(math.Exp2(-float64(now.Sub(h.updated)) / float64(halfLife)))
}

func (h *histogram) add(now time.Time, d time.Duration) {
	h.scale(decayFactor * h.timeDecay(now))
	if now.After(h.updated) {
		h.updated = now
	}
	h.weight[binOf(d)]++
	h.total++
}

// addScaled adds other to h, scaled so that it counts for at most weight observations.
func (h *histogram) addScaled(now time.Time, other *histogram, weight float32) {
	available := other.total * other.timeDecay(now)
	if available <= 0 || weight <= 0 {
		return
	}
	f := min(weight, available) / other.total
	for i, w := range other.weight {
		h.weight[i] += f * w
	}
	h.total += f * other.total
}

// quantile returns the run time below which part p of the weight at or above bin from lies,
// interpolated inside its bin, or false if there is no such weight.
func (h *histogram) quantile(p float64, from int) (time.Duration, bool) {
	total := float32(0)
	for _, w := range h.weight[from:] {
		total += w
	}
	if total <= 0 {
		return 0, false
	}
	remaining := float32(p) * total
	lastBin := from
	for i := from; i < bins; i++ {
		w := h.weight[i]
		if w <= 0 {
			continue
		}
		if remaining <= w {
			return binStart(float64(i) + float64(remaining/w)), true
		}
		remaining -= w
		lastBin = i
	}
	return binStart(float64(lastBin + 1)), true
}

// mean returns the mean run time, where each bin counts with its midpoint.
func (h *histogram) mean() time.Duration {
	sum := 0.0
	for i, w := range h.weight {
		if w > 0 {
			sum += float64(w) * float64(binStart(float64(i)+0.5))
		}
	}
	if h.total <= 0 {
		return 0
	}
	return time.Duration(sum / float64(h.total))
}
