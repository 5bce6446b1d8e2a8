// Package experiment compares the system's policies with the baselines: it runs package dev for each combination of
// deployment, policy set and seed, one after the other, and summarises the measures of the design page, section 1.2.
//
//	result, err := experiment.Run(ctx, experiment.Options{Sets: experiment.Sets(), Seeds: []uint64{1, 2, 3}})
package experiment

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"samphirepoint/checker"
	"samphirepoint/dev"
	"samphirepoint/load"
	"samphirepoint/report"
	"samphirepoint/settings"
)

const (
	// DefaultFor lets each of the four queues surge once: surges of 4 s begin at 0, 5.2, 10.5 and 15.7 s.
	DefaultFor = 20 * time.Second
	// DefaultTail lets short work end; long work takes up to two minutes and is given up.
	DefaultTail = 6 * time.Second
)

// Set is a named choice of policies.
type Set struct {
	Name     string            `json:"name"`
	Policies settings.Policies `json:"policies"`
	Moves    string            `json:"moves"`
}

// PolicySets returns the system's set and the baselines.
func PolicySets() []Set {
	p := settings.Default().Policies
	baseline := settings.Policies{Queue: "fifo", Placement: "random", Shares: "static-split"}
	return []Set{
		{Name: "system", Policies: p, Moves: "learned"},
		{Name: "fifo", Policies: settings.Policies{Queue: "fifo", Placement: p.Placement, Shares: p.Shares}, Moves: "learned"},
		{Name: "random", Policies: settings.Policies{Queue: p.Queue, Placement: "random", Shares: p.Shares}, Moves: "learned"},
		{Name: "static-split", Policies: settings.Policies{Queue: p.Queue, Placement: p.Placement, Shares: "static-split"}, Moves: "learned"},
		{Name: "fixed", Policies: p, Moves: "fixed"},
		{Name: "greedy", Policies: p, Moves: "greedy"},
		{Name: "fifo+random+static-split", Policies: baseline, Moves: "learned"},
		{Name: "all-baselines", Policies: baseline, Moves: "fixed"},
	}
}

// PolicySetByName returns the set of a name.
func PolicySetByName(name string) (Set, error) {
	var names []string
	for _, s := range PolicySets() {
		if s.Name == name {
			return s, nil
		}
		names = append(names, s.Name)
	}
	return Set{}, fmt.Errorf("unknown policy set %q, expected one of %s", name, strings.Join(names, ", "))
}

// Options of a comparison.
type Options struct {
	Deployments []string
	Sets        []Set
	Seeds       []uint64
	For, Tail   time.Duration
	Rate        float64
	Changes     int
	// Progress is told what happens; nil leaves it out.
	Progress func(format string, args ...any)
}

// Trial is one run of the comparison.
type Trial struct {
	Set      string               `json:"set"`
	Started  time.Time            `json:"started"`
	Load     string               `json:"loadAverage"`
	Measures report.Measures      `json:"measures"`
	Summary  load.Summary         `json:"summary"`
	Shares   []report.BackerShare `json:"shares"`
	// Broken counts violations, Facts the facts judged, by property.
	Broken     map[checker.Property]int `json:"broken"`
	Facts      map[checker.Property]int `json:"facts"`
	Violations []checker.Violation      `json:"violations"`
}

// Result of a comparison.
type Result struct {
	Runs        []Trial             `json:"runs"`
	Comparisons []report.Comparison `json:"comparisons"`
}

// Run runs all combinations. On an error it returns the runs that were completed with it.
func Run(ctx context.Context, o Options) (*Result, error) {
	if o.Progress == nil {
		o.Progress = func(string, ...any) {}
	}
	result := &Result{}
	for _, deployment := range o.Deployments {
		// Seeds are the outer loop, so that a change in the machine's load during the comparison affects all sets.
		for _, seed := range o.Seeds {
			for _, set := range o.Sets {
				run, err := runOne(ctx, o, deployment, set, seed)
				if err != nil {
					return result, fmt.Errorf("%s, %s, seed %d: %w", deployment, set.Name, seed, err)
				}
				o.Progress("%s %s seed %d: %.0f s, load %s, broken %v", deployment, set.Name, seed, run.Measures.Seconds, run.Load, run.Broken)
				result.Runs = append(result.Runs, *run)
				result.Comparisons = compare(result.Runs)
			}
		}
	}
	return result, nil
}

func runOne(ctx context.Context, o Options, deployment string, set Set, seed uint64) (*Trial, error) {
	moves := settings.Default().Moves
	moves.Policy = set.Moves
	run := &Trial{Set: set.Name, Started: time.Now(), Load: loadAverage(), Broken: map[checker.Property]int{}}
	r, err := dev.Run(ctx, dev.Options{
		Deployment: deployment, For: o.For, Tail: o.Tail, Seed: seed, Rate: o.Rate, Policies: set.Policies, Moves: moves, Changes: o.Changes,
	})
	if err != nil {
		return nil, err
	}
	run.Measures, run.Summary, run.Shares = r.Measures, r.Summary, report.Shares(r.Evidence)
	run.Measures.Policy = set.Name
	run.Facts, run.Violations = r.Checks.Checked, r.Checks.Violations
	for _, v := range r.Checks.Violations {
		run.Broken[v.Property]++
	}
	return run, nil
}

func compare(runs []Trial) []report.Comparison {
	var list []report.Measures
	for _, r := range runs {
		list = append(list, r.Measures)
	}
	return report.Compare(list)
}

// loadAverage returns the machine's load averages, or "unknown" where the kernel does not show them.
func loadAverage() string {
	data, err := os.ReadFile("/proc/loadavg")
	if fields := strings.Fields(string(data)); err == nil && len(fields) >= 3 {
		return strings.Join(fields[:3], " ")
	}
	return "unknown"
}
