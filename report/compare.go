package report

import (
	"fmt"
	"math"
	"sort"
	"strings"
)

// Spread is the distribution of a metric over several seeds.
type Spread struct {
	Mean float64 `json:"mean"`
	Min  float64 `json:"min"`
	Max  float64 `json:"max"`
	// Deviation is the sample standard deviation; 0 for a single seed.
	Deviation float64 `json:"deviation"`
}

// PolicyResult holds the metrics of one policy over its seeds.
type PolicyResult struct {
	Policy  string            `json:"policy"`
	Seeds   []uint64          `json:"seeds"`
	Metrics map[string]Spread `json:"figures"`
}

// Comparison is a comparison of the policies of one deployment.
type Comparison struct {
	Deployment string         `json:"deployment"`
	Policies   []PolicyResult `json:"policies"`
	// SameSeeds reports that all policies ran with the same seeds; otherwise the differences between policies include those
	// between seeds.
	SameSeeds bool `json:"sameSeeds"`
}

// metric is a line of the comparison; lower is better in all of them.
type metric struct {
	name, format string
	value        func(Measures) float64
}

var metrics = []metric{
	{"spare idle worker-seconds", "%.1f", func(m Measures) float64 { return m.Spare.IdleWorkerSeconds }},
	{"spare share of fleet %", "%.2f", func(m Measures) float64 { return 100 * m.Spare.Share }},
	{"rollout p50 s", "%.2f", func(m Measures) float64 { return m.Rollout.P50 }},
	{"rollout max s", "%.2f", func(m Measures) float64 { return m.Rollout.Max }},
	{"moves per hour", "%.1f", func(m Measures) float64 { return m.Moves.PerHour }},
	{"short behind long p50 ms", "%.1f", func(m Measures) float64 { return m.Blocking.P50 }},
	{"short behind long p99 ms", "%.1f", func(m Measures) float64 { return m.Blocking.P99 }},
	{"short behind long >1 s %", "%.2f", func(m Measures) float64 { return 100 * m.Blocking.AboveSecond }},
	{"short whole wait p99 ms", "%.1f", func(m Measures) float64 { return m.Wait.P99 }},
	{"short never started", "%.0f", func(m Measures) float64 { return float64(m.Wait.NeverStarted) }},
}

// Compare groups runs by deployment and policy.
func Compare(runs []Measures) []Comparison {
	byDeployment := map[string]map[string][]Measures{}
	for _, m := range runs {
		if byDeployment[m.Deployment] == nil {
			byDeployment[m.Deployment] = map[string][]Measures{}
		}
		byDeployment[m.Deployment][m.Policy] = append(byDeployment[m.Deployment][m.Policy], m)
	}
	var list []Comparison
	for _, d := range sortedKeys(byDeployment) {
		c := Comparison{Deployment: d, SameSeeds: true}
		for _, p := range sortedKeys(byDeployment[d]) {
			c.Policies = append(c.Policies, summarisePolicy(p, byDeployment[d][p]))
		}
		for _, p := range c.Policies {
			c.SameSeeds = c.SameSeeds && fmt.Sprint(p.Seeds) == fmt.Sprint(c.Policies[0].Seeds)
		}
		list = append(list, c)
	}
	return list
}

func summarisePolicy(policy string, runs []Measures) PolicyResult {
	r := PolicyResult{Policy: policy, Metrics: map[string]Spread{}}
	for _, m := range runs {
		r.Seeds = append(r.Seeds, m.Seed)
	}
	sort.Slice(r.Seeds, func(i, j int) bool { return r.Seeds[i] < r.Seeds[j] })
	for _, f := range metrics {
		values := make([]float64, len(runs))
		for i, m := range runs {
			values[i] = f.value(m)
		}
		r.Metrics[f.name] = newSpread(values)
	}
	return r
}

func newSpread(values []float64) Spread {
	s := Spread{Min: math.Inf(1), Max: math.Inf(-1)}
	for _, v := range values {
		s.Mean += v / float64(len(values))
		s.Min, s.Max = min(s.Min, v), max(s.Max, v)
	}
	if len(values) > 1 {
		sum := 0.0
		for _, v := range values {
			sum += (v - s.Mean) * (v - s.Mean)
		}
		s.Deviation = math.Sqrt(sum / float64(len(values)-1))
	}
	return s
}

// String returns the text form: one line per metric, one column per policy, as mean [min, max].
func (c Comparison) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "deployment %s", c.Deployment)
	if !c.SameSeeds {
		b.WriteString(" (policies ran with different seeds)")
	}
	fmt.Fprintf(&b, "\n%-27s", "mean [min, max] over seeds")
	for _, p := range c.Policies {
		fmt.Fprintf(&b, " %32s", fmt.Sprintf("%s (n=%d)", p.Policy, len(p.Seeds)))
	}
	b.WriteByte('\n')
	for _, f := range metrics {
		fmt.Fprintf(&b, "%-27s", f.name)
		for _, p := range c.Policies {
			s := p.Metrics[f.name]
			fmt.Fprintf(&b, " %32s", fmt.Sprintf(f.format+" ["+f.format+", "+f.format+"]", s.Mean, s.Min, s.Max))
		}
		b.WriteByte('\n')
	}
	return b.String()
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
