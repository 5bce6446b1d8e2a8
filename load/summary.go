package load

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// highestLatency exceeds the longest deadline with all resubmissions.
	highestLatency = 20 * time.Minute
	// significantFigures limits the error of a quantile to below 0.1 %.
	significantFigures = 3
)

// Latency summarises latencies in milliseconds; those of answered arrivals are from the intended time to the last response.
type Latency struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50Ms"`
	P90   float64 `json:"p90Ms"`
	P99   float64 `json:"p99Ms"`
	Max   float64 `json:"maxMs"`
}

// Summary summarises a run. Its counts are of the last submission of each arrival.
type Summary struct {
	Arrivals    int `json:"arrivals"`
	Submissions int `json:"submissions"`
	OK          int `json:"ok"`
	// Failed is the number of arrivals that ran and were answered with an error status.
	Failed     int `json:"failed"`
	NotRun     int `json:"notRun"`
	MayHaveRun int `json:"mayHaveRun"`
	TimedOut   int `json:"timedOut"`
	Broken     int `json:"broken"`
	Refused    int `json:"refused"` // no connection
	// Dropped arrivals were not sent, because the generator had too many in flight.
	Dropped   int `json:"dropped"`
	Cancelled int `json:"cancelled"`
	// Latencies are those of successful responses, by kind of work and separately for short and long work.
	Latencies map[string]Latency `json:"latencies"`
	// LateStart is the delay with which the generator sent arrivals; high values make the other figures unreliable.
	LateStart Latency `json:"lateStart"`
}

// Summary computes the summary of a run.
func (r *Result) Summary() Summary {
	s := Summary{Submissions: len(r.Records), Latencies: map[string]Latency{}}
	histograms := map[string]*hdrhistogram.Histogram{}
	late := newHistogram()
	for i, rec := range r.Records {
		if !rec.Sent.IsZero() && rec.Resubmission == 0 {
			recordLatency(late, rec.Sent.Sub(rec.Intended))
		}
		if i+1 < len(r.Records) && r.Records[i+1].Arrival == rec.Arrival {
			continue
		}
		s.count(rec)
		if !rec.OK() {
			continue
		}
		name := rec.Kind + " short"
		if rec.Long {
			name = rec.Kind + " long"
		}
		if histograms[name] == nil {
			histograms[name] = newHistogram()
		}
		recordLatency(histograms[name], rec.Ended.Sub(rec.Intended))
	}
	for name, h := range histograms {
		s.Latencies[name] = summarise(h)
	}
	s.LateStart = summarise(late)
	return s
}

func (s *Summary) count(r Record) {
	s.Arrivals++
	if r.Cancelled {
		s.Cancelled++
	}
	switch {
	case r.ErrKind == ErrDropped:
		s.Dropped++
	case r.ErrKind == ErrRefused:
		s.Refused++
	case r.ErrKind == ErrTimeout:
		s.TimedOut++
	case r.ErrKind == ErrBroken:
		s.Broken++
	case r.OK():
		s.OK++
	case r.Verdict == "not-run":
		s.NotRun++
	case r.Verdict == "ran":
		s.Failed++
	default:
		s.MayHaveRun++
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, highestLatency.Microseconds(), significantFigures)
}

// recordLatency adds a latency, clamped to the range of the histogram.
func recordLatency(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), highestLatency.Microseconds()))
}

func summarise(h *hdrhistogram.Histogram) Latency {
	ms := func(us int64) float64 { return float64(us) / 1000 }
	return Latency{Count: h.TotalCount(), P50: ms(h.ValueAtQuantile(50)), P90: ms(h.ValueAtQuantile(90)),
		P99: ms(h.ValueAtQuantile(99)), Max: ms(h.Max())}
}

// String formats the summary as text.
func (s Summary) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "arrivals %d, submissions %d: ok %d, failed %d, not-run %d, may-have-run %d, timed out %d, broken %d, refused %d, dropped %d, cancelled %d\n",
		s.Arrivals, s.Submissions, s.OK, s.Failed, s.NotRun, s.MayHaveRun, s.TimedOut, s.Broken, s.Refused, s.Dropped, s.Cancelled)
	names := make([]string, 0, len(s.Latencies))
	for n := range s.Latencies {
		names = append(names, n)
	}
	sort.Strings(names)
	line := func(name string, l Latency) {
		fmt.Fprintf(&b, "%-16s n %6d  p50 %9.1f ms  p90 %9.1f ms  p99 %9.1f ms  max %9.1f ms\n", name, l.Count, l.P50, l.P90, l.P99, l.Max)
	}
	for _, n := range names {
		line(n, s.Latencies[n])
	}
	line("generator late", s.LateStart)
	return b.String()
}
