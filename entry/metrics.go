package entry

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"samphirepoint/dispatch"
	"samphirepoint/filter"
	"samphirepoint/verdict"
)

// stats holds the entry's metrics. Durations are in nanoseconds in the registry and in seconds at /metrics.
type stats struct {
	registry  metrics.Registry
	forwarded metrics.Counter
	verdicts  map[verdict.Verdict]metrics.Counter
	replayed  metrics.Counter
	latency   metrics.Timer
	// pools contains the pools that have gauges. Only the control goroutine uses it.
	pools map[string]bool
}

func newStats(r metrics.Registry) *stats {
	s := &stats{
		registry:  r,
		forwarded: metrics.GetOrRegisterCounter("requests.forwarded", r),
		replayed:  metrics.GetOrRegisterCounter("requests.replayed", r),
		latency:   metrics.GetOrRegisterTimer("requests.duration", r),
		verdicts:  map[verdict.Verdict]metrics.Counter{},
		pools:     map[string]bool{},
	}
	for _, v := range []verdict.Verdict{verdict.NotRun, verdict.Ran, verdict.MayHaveRun} {
		name := "requests." + strings.ReplaceAll(v.String(), "-", "_")
		s.verdicts[v] = metrics.GetOrRegisterCounter(name, r)
	}
	return s
}

// countRequest updates the metrics for a request that ended.
func (s *stats) countRequest(c *filter.Context, took time.Duration) {
	s.latency.Update(took)
	s.verdicts[c.Verdict()].Inc(1)
	if c.Answer != nil && c.Answer.Replayed {
		s.replayed.Inc(1)
	}
}

// observe sets the gauges of the pools that this entry serves, and removes the gauges of pools that were transferred to
// another entry: sums over the entries would count their slots twice.
func (s *stats) observe(usage map[string]dispatch.PoolUsage) {
	for name := range s.pools {
		if _, served := usage[name]; !served {
			for _, gauge := range []string{"slots", "in_use", "waiting"} {
				s.registry.Unregister("pool." + name + "." + gauge)
			}
			delete(s.pools, name)
		}
	}
	for name, u := range usage {
		s.pools[name] = true
		metrics.GetOrRegisterGauge("pool."+name+".slots", s.registry).Update(int64(u.Slots))
		metrics.GetOrRegisterGauge("pool."+name+".in_use", s.registry).Update(int64(u.InUse))
		metrics.GetOrRegisterGauge("pool."+name+".waiting", s.registry).Update(int64(u.Waiting))
	}
}

// handleMetrics writes all metrics in the text format that Prometheus and compatible systems read.
func (e *Entry) handleMetrics(w http.ResponseWriter, _ *http.Request) {
	var lines []string
	add := func(name string, value float64) { lines = append(lines, fmt.Sprintf("%s %g", name, value)) }
	e.metrics.Each(func(name string, value any) {
		base, labels := metricName(name)
		switch m := value.(type) {
		case metrics.Counter:
			add(base+"_total"+labels, float64(m.Count()))
		case metrics.Gauge:
			add(base+labels, float64(m.Value()))
		case metrics.GaugeFloat64:
			add(base+labels, m.Value())
		case metrics.Timer:
			t := m.Snapshot()
			add(base+"_seconds_count", float64(t.Count()))
			add(base+"_seconds_sum", time.Duration(t.Sum()).Seconds())
			for _, q := range []float64{0.5, 0.9, 0.99} {
				add(fmt.Sprintf("%s_seconds{quantile=%q}", base, fmt.Sprint(q)), t.Percentile(q)/float64(time.Second))
			}
		}
	})
	// Readiness is read before the version, so that a ready entry is never reported with a version from before it was ready.
	ready := 0.0
	if e.Ready() {
		ready = 1
	}
	add("samphirepoint_ready", ready)
	add("samphirepoint_config_version", float64(e.ConfigVersion()))
	slices.Sort(lines)
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	fmt.Fprintln(w, strings.Join(lines, "\n"))
}

// metricName turns pool.NAME.KIND into samphirepoint_pool_KIND{pool="NAME"}.
func metricName(name string) (base, labels string) {
	parts := strings.Split(name, ".")
	if parts[0] == "pool" && len(parts) >= 3 {
		pool := strings.Join(parts[1:len(parts)-1], ".")
		return "samphirepoint_pool_" + parts[len(parts)-1], fmt.Sprintf("{pool=%q}", pool)
	}
	return "samphirepoint_" + strings.ReplaceAll(strings.ReplaceAll(name, ".", "_"), "-", "_"), ""
}

// jittered returns d with a random deviation of up to 20 %, which spreads the periodic work of several entries.
func jittered(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.8 + 0.4*rand.Float64()))
}
