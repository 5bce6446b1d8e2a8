// Package report computes the four measures of the design document, section 1.2, from the evidence of a run, and
// compares policies over several seeds.
package report

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"samphirepoint/checker"
	"samphirepoint/load"
	"samphirepoint/standin/workerd"
)

// Worker describes a worker of the fleet at the start of a run.
type Worker struct {
	ID    string
	Pool  string
	Slots int
}

// Input is the evidence of one run.
type Input struct {
	Policy     string
	Deployment string
	Seed       uint64
	From, To   time.Time
	Workers    []Worker
	// SparePools names the pools whose workers are held as a buffer.
	SparePools []string
	Journal    []workerd.Event
	Records    []load.Record
	// Pools is the history of the instance rows in order of commit.
	Pools    []checker.PoolSample
	Versions []checker.VersionSample
	Accepted []checker.Acceptance
}

// Measures holds the measures of one run.
type Measures struct {
	Policy     string  `json:"policy"`
	Deployment string  `json:"deployment"`
	Seed       uint64  `json:"seed"`
	Seconds    float64 `json:"seconds"`
	// Spare is the cost of the spare capacity.
	Spare Spare `json:"spare"`
	// Rollout is the time until a change is in force everywhere.
	Rollout Rollout `json:"rollout"`
	Moves   Moves   `json:"moves"`
	// Blocking is the part of Wait that long work caused, for short work.
	Blocking Wait `json:"blocking"`
	// Wait is the whole wait of short work, from sending to its start at a worker.
	Wait Wait `json:"wait"`
}

// Spare is the idle time of workers in spare pools.
type Spare struct {
	IdleWorkerSeconds float64 `json:"idleWorkerSeconds"`
	// Share is the part of the whole fleet's worker-seconds, 0 to 1.
	Share float64 `json:"share"`
}

// Rollout describes the times until table changes were in force, in seconds, with the resolution of the version samples.
type Rollout struct {
	Changes int     `json:"changes"`
	P50     float64 `json:"p50Seconds"`
	Max     float64 `json:"maxSeconds"`
	// Incomplete counts the changes that were not observed in force at every entry; P50 and Max don't include them.
	Incomplete int `json:"incomplete"`
}

// Moves counts the changes of an instance's pool.
type Moves struct {
	Count   int     `json:"count"`
	PerHour float64 `json:"perHour"`
}

// Wait describes the waits of short work.
type Wait struct {
	Count int     `json:"count"`
	P50   float64 `json:"p50Ms"`
	P99   float64 `json:"p99Ms"`
	// AboveSecond is the part of the work that waited longer than 1 s, 0 to 1.
	AboveSecond float64 `json:"aboveSecond"`
	// NeverStarted counts the work that no worker started; the other fields don't include it.
	NeverStarted int `json:"neverStarted"`
}

// Measure computes the measures of a run.
func Measure(in Input) Measures {
	m := Measures{Policy: in.Policy, Deployment: in.Deployment, Seed: in.Seed, Seconds: in.To.Sub(in.From).Seconds()}
	history := newFleetHistory(in)
	m.Spare = spareUsage(in, history)
	m.Rollout = measureRollout(in)
	m.Moves = countMoves(in)
	m.Blocking, m.Wait = measureWaits(in, history)
	return m
}

func countMoves(in Input) Moves {
	pool := map[string]string{}
	for _, w := range in.Workers {
		pool[w.ID] = w.Pool
	}
	var m Moves
	for _, p := range in.Pools {
		if p.Deleted {
			delete(pool, p.Instance)
			continue
		}
		before, known := pool[p.Instance]
		pool[p.Instance] = p.Pool
		if known && before != p.Pool && !p.Time.Before(in.From) && p.Time.Before(in.To) {
			m.Count++
		}
	}
	if hours := in.To.Sub(in.From).Hours(); hours > 0 {
		m.PerHour = float64(m.Count) / hours
	}
	return m
}

func measureRollout(in Input) Rollout {
	byEntry := map[string][]checker.VersionSample{}
	for _, s := range in.Versions {
		byEntry[s.Entry] = append(byEntry[s.Entry], s)
	}
	for _, samples := range byEntry {
		sort.SliceStable(samples, func(i, j int) bool { return samples[i].Time.Before(samples[j].Time) })
	}
	var r Rollout
	var times []float64
	for _, a := range in.Accepted {
		r.Changes++
		if slowest, ok := rolloutTime(byEntry, a); ok {
			times = append(times, slowest.Seconds())
		} else {
			r.Incomplete++
		}
	}
	sort.Float64s(times)
	r.P50, r.Max = quantile(times, 0.5), quantile(times, 1)
	return r
}

// rolloutBound is the time bound of P8. An entry that stopped within it need not have reached the version.
const rolloutBound = 7 * time.Second

// rolloutTime returns the time from the acceptance until the last entry serves with the version. It returns false if no
// entry was observed to do so, or if one that was observed beyond the bound never did. Entries that started after the
// acceptance or stopped within the bound do not count.
func rolloutTime(byEntry map[string][]checker.VersionSample, a checker.Acceptance) (time.Duration, bool) {
	var slowest time.Duration
	reached := false
	for _, samples := range byEntry {
		if samples[0].Time.After(a.Time) {
			continue
		}
		i := sort.Search(len(samples), func(i int) bool { return samples[i].Version >= a.Version })
		for i < len(samples) && !samples[i].Serving {
			i++
		}
		switch {
		case i < len(samples):
			reached = true
			slowest = max(slowest, samples[i].Time.Sub(a.Time))
		case samples[len(samples)-1].Time.Sub(a.Time) >= rolloutBound:
			return 0, false
		}
	}
	return slowest, reached
}

// quantile returns the smallest of the sorted values that at least the fraction q of them do not exceed; 0 without values.
func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	i := int(q*float64(len(sorted))+0.999999) - 1
	return sorted[min(max(i, 0), len(sorted)-1)]
}

// String returns the text form.
func (m Measures) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "policy %s, deployment %s, seed %d, %.0f s\n", m.Policy, m.Deployment, m.Seed, m.Seconds)
	fmt.Fprintf(&b, "  spare capacity  %.1f idle worker-seconds, %.1f %% of the fleet\n", m.Spare.IdleWorkerSeconds, 100*m.Spare.Share)
	fmt.Fprintf(&b, "  rollout         p50 %.2f s, max %.2f s, %d changes, %d incomplete\n", m.Rollout.P50, m.Rollout.Max, m.Rollout.Changes, m.Rollout.Incomplete)
	fmt.Fprintf(&b, "  moves           %d, %.1f per hour\n", m.Moves.Count, m.Moves.PerHour)
	for _, w := range []struct {
		name string
		wait Wait
	}{{"behind long", m.Blocking}, {"whole wait", m.Wait}} {
		fmt.Fprintf(&b, "  %-15s p50 %.1f ms, p99 %.1f ms, above 1 s %.2f %% of %d short requests, %d never started\n", w.name,
			w.wait.P50, w.wait.P99, 100*w.wait.AboveSecond, w.wait.Count, w.wait.NeverStarted)
	}
	return b.String()
}
