// Package observe provides the log and the metrics of a process. Neither ever blocks its caller: log lines that the output does
// not accept in time are dropped and counted.
//
//	log, closeLog := observe.Log(os.Stdout, "entry-1")
//	defer closeLog()
//	observe.Count("jobs.accepted")
//	observe.RecordDuration("store.commit", 5*time.Millisecond)
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

// logBufferLines is the number of log lines that are buffered; with lines of about 250 bytes, the buffer takes 1 MB.
const logBufferLines = 4096

// Log returns a non-blocking logger of JSON lines, and a function that writes the buffered lines and closes the log.
func Log(w io.Writer, node string) (zerolog.Logger, func()) {
	batches := &batchWriter{w: w}
	d := diode.NewWriter(batches, logBufferLines, 0, func(missed int) {
		metrics.GetOrRegisterCounter("log.dropped", nil).Inc(int64(missed))
	})
	log := zerolog.New(d).With().Timestamp().Str("node", node).Logger()
	return log, func() {
		_ = d.Close()
		batches.flush()
	}
}

// Count increments a counter.
func Count(name string) { metrics.GetOrRegisterCounter(name, nil).Inc(1) }

// Gauge sets the current value of a quantity.
func Gauge(name string, value int64) { metrics.GetOrRegisterGauge(name, nil).Update(value) }

// reservoirSize is the number of samples that a histogram keeps.
const reservoirSize = 512

// RecordDuration records a duration in a histogram, in microseconds.
func RecordDuration(name string, d time.Duration) {
	h := metrics.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(reservoirSize, 0.015))
	}).(metrics.Histogram)
	h.Update(d.Microseconds())
}

// Handler serves all metrics as text, one value per line in the form "NAME VALUE". A histogram has the values NAME.count, and
// NAME.p50, NAME.p99 and NAME.max in microseconds.
func Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		_, _ = io.WriteString(w, strings.Join(metricLines(), ""))
	})
}

func metricLines() []string {
	var out []string
	metrics.Each(func(name string, m any) {
		switch v := m.(type) {
		case metrics.Counter:
			out = append(out, fmt.Sprintf("%s %d\n", name, v.Count()))
		case metrics.Gauge:
			out = append(out, fmt.Sprintf("%s %d\n", name, v.Value()))
		case metrics.Histogram:
			s := v.Snapshot()
			out = append(out, fmt.Sprintf("%s.count %d\n%s.p50 %.0f\n%s.p99 %.0f\n%s.max %d\n",
				name, s.Count(), name, s.Percentile(0.5), name, s.Percentile(0.99), name, s.Max()))
		}
	})
	slices.Sort(out)
	return out
}
