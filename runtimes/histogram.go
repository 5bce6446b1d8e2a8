package runtimes

import (
	"math"
	"time"
)

const (
	// binsPerOctave gives bins of 9 % width. With 19 % the p90 of times near request.ShortLimit was off
	// by more than the hysteresis of the class.
	binsPerOctave = 8
	// bins spans 1 ms to about 37 h; longer run times count in the last bin.
	bins = 27 * binsPerOctave
	// keep is the weight that an observation leaves to earlier ones, so about the last 50 count. After a
	// change of the run times the old ones fall under the p90 within 115 observations.
	keep = 0.98
	// halfLife makes old observations fade in queues with little work, for which keep is slow.
	halfLife = time.Hour
)

// histogram is a decayed histogram of run times on a logarithmic scale.
type histogram struct {
	weight [bins]float32
	total  float32
	last   time.Time
}

func binOf(d time.Duration) int {
	ms := float64(d) / float64(time.Millisecond)
	if ms <= 1 {
		return 0
	}
	return min(int(binsPerOctave*math.Log2(ms)), bins-1)
}

// edge is the lower bound of bin i; i may be fractional.
func edge(i float64) time.Duration {
	return time.Duration(float64(time.Millisecond) * math.Exp2(i/binsPerOctave))
}

func (h *histogram) scale(f float32) {
	for i := range h.weight {
		h.weight[i] *= f
	}
	h.total *= f
}

// fade applies the decay by time up to now.
func (h *histogram) fade(now time.Time) float32 {
	if h.last.IsZero() || !now.After(h.last) {
		return 1
	}
	return float32(math.Exp2(-float64(now.Sub(h.last)) / float64(halfLife)))
}

func (h *histogram) add(now time.Time, d time.Duration) {
	h.scale(keep * h.fade(now))
	if now.After(h.last) {
		h.last = now
	}
	h.weight[binOf(d)]++
	h.total++
}

// mix adds other to h, scaled so that other counts for at most weight observations.
func (h *histogram) mix(now time.Time, other *histogram, weight float32) {
	available := other.total * other.fade(now)
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
	rest := float32(p) * total
	last := from
	for i := from; i < bins; i++ {
		w := h.weight[i]
		if w <= 0 {
			continue
		}
		if rest <= w {
			return edge(float64(i) + float64(rest/w)), true
		}
		rest -= w
		last = i
	}
	return edge(float64(last + 1)), true
}

// mean returns the mean run time with each bin counted at its middle.
func (h *histogram) mean() time.Duration {
	sum := 0.0
	for i, w := range h.weight {
		if w > 0 {
			sum += float64(w) * float64(edge(float64(i)+0.5))
		}
	}
	if h.total <= 0 {
		return 0
	}
	return time.Duration(sum / float64(h.total))
}
