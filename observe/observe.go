// Package observe gives a process its log and its metrics. Neither ever blocks the work: lines that the output does not take in
// time are dropped and counted.
//
//	log, closeLog := observe.Log(os.Stdout, "entry-1")
//	defer closeLog()
//	observe.Count("jobs.accepted")
//	observe.Time("store.commit", 5*time.Millisecond)
package observe

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

// logLines is how many lines may wait for the output; with lines of about 250 bytes that is 1 MB.
const logLines = 4096

// Log returns a log of JSON lines that never blocks, and the function that writes out what waits.
func Log(w io.Writer, node string) (zerolog.Logger, func()) {
	d := diode.NewWriter(w, logLines, 0, func(missed int) {
		metrics.GetOrRegisterCounter("log.dropped", nil).Inc(int64(missed))
	})
	log := zerolog.New(d).With().Timestamp().Str("node", node).Logger()
	return log, func() { _ = d.Close() }
}

// Count adds one to a counter.
func Count(name string) { metrics.GetOrRegisterCounter(name, nil).Inc(1) }

// samples is the size of the reservoir of a histogram.
const samples = 512

// RecordDuration adds a duration to a histogram of microseconds.
func RecordDuration(name string, d time.Duration) {
	h := metrics.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(samples, 0.015))
	}).(metrics.Histogram)
	h.Update(d.Microseconds())
}

// Handler serves all metrics as text, one value a line: "NAME VALUE", histograms as NAME.count, .p50, .p99 and .max in microseconds.
func Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		_, _ = io.WriteString(w, strings.Join(lines(), ""))
	})
}

func lines() []string {
	var out []string
	metrics.Each(func(name string, m any) {
		switch v := m.(type) {
		case metrics.Counter:
			out = append(out, fmt.Sprintf("%s %d\n", name, v.Count()))
		case metrics.Histogram:
			s := v.Snapshot()
			out = append(out, fmt.Sprintf("%s.count %d\n%s.p50 %.0f\n%s.p99 %.0f\n%s.max %d\n",
				name, s.Count(), name, s.Percentile(0.5), name, s.Percentile(0.99), name, s.Max()))
		}
	})
	slices.Sort(out)
	return out
}
