// Package experiment compares the system's policies with the baselines: it runs package dev for each combination of
// deployment, policy set and seed, one run at a time, and summarises the measures of the design document, section 1.2.
//
//	result, err := experiment.Run(ctx, experiment.Options{Sets: experiment.PolicySets(), Seeds: []uint64{1, 2, 3}})
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
	// DefaultDuration covers one demand spike of each of the four queues: spikes of 4 s begin at 0, 5.2, 10.5 and 15.7 s.
	DefaultDuration = 20 * time.Second
	// DefaultCompletionTimeout lets short work end; long work takes up to two minutes and is cancelled.
	DefaultCompletionTimeout = 6 * time.Second
)

// PolicySet is a named combination of policies.
type PolicySet struct {
	Name     string            `json:"name"`
	Policies settings.Policies `json:"policies"`
	Moves    string            `json:"moves"`
}

// PolicySets returns the system's default policies and the baselines.
func PolicySets() []PolicySet {
	p := settings.Default().Policies
	baseline := settings.Policies{Queue: "fifo", Placement: "random", Shares: "static-split"}
	return []PolicySet{
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

// PolicySetByName returns the policy set with the given name.
func PolicySetByName(name string) (PolicySet, error) {
	var names []string
	for _, s := range PolicySets() {
		if s.Name == name {
			return s, nil
		}
		names = append(names, s.Name)
	}
	return PolicySet{}, fmt.Errorf("unknown policy set %q, expected one of %s", name, strings.Join(names, ", "))
}

// Options configures a comparison.
type Options struct {
	Deployments                 []string
	Sets                        []PolicySet
	Seeds                       []uint64
	Duration, CompletionTimeout time.Duration
	Rate                        float64
	Changes                     int
	// Progress receives progress messages; nil discards them.
	Progress func(format string, args ...any)
}

// Trial is one run of the comparison.
type Trial struct {
	Set         string               `json:"set"`
	Started     time.Time            `json:"started"`
	LoadAverage string               `json:"loadAverage"`
	Measures    report.Measures      `json:"measures"`
	Summary     load.Summary         `json:"summary"`
	Shares      []report.BackerShare `json:"shares"`
	// ViolationCounts and CheckCounts are the numbers of violations and of checks by property.
	ViolationCounts map[checker.Property]int `json:"broken"`
	CheckCounts     map[checker.Property]int `json:"facts"`
	Violations      []checker.Violation      `json:"violations"`
}

// Result is the result of a comparison.
type Result struct {
	Runs        []Trial             `json:"runs"`
	Comparisons []report.Comparison `json:"comparisons"`
}

// Run runs all combinations. With an error it also returns the runs that were completed before.
func Run(ctx context.Context, o Options) (*Result, error) {
	if o.Progress == nil {
		o.Progress = func(string, ...any) {}
	}
	result := &Result{}
	for _, deployment := range o.Deployments {
		// The sets are the inner loop, so that a change in the machine's load during the comparison affects all of them.
		for _, seed := range o.Seeds {
			for _, set := range o.Sets {
				run, err := runCombination(ctx, o, deployment, set, seed)
				if err != nil {
					return result, fmt.Errorf("%s, %s, seed %d: %w", deployment, set.Name, seed, err)
				}
				o.Progress("%s %s seed %d: %.0f s, load average %s, violations %v", deployment, set.Name, seed, run.Measures.Seconds, run.LoadAverage, run.ViolationCounts)
				result.Runs = append(result.Runs, *run)
				result.Comparisons = compare(result.Runs)
			}
		}
	}
	return result, nil
}

func runCombination(ctx context.Context, o Options, deployment string, set PolicySet, seed uint64) (*Trial, error) {
	moves := settings.Default().Moves
	moves.Policy = set.Moves
	run := &Trial{Set: set.Name, Started: time.Now(), LoadAverage: loadAverage(), ViolationCounts: map[checker.Property]int{}}
	r, err := dev.Run(ctx, dev.Options{
		Deployment: deployment, Duration: o.Duration, CompletionTimeout: o.CompletionTimeout, Seed: seed, Rate: o.Rate, Policies: set.Policies, Moves: moves, Changes: o.Changes,
	})
	if err != nil {
		return nil, err
	}
	run.Measures, run.Summary, run.Shares = r.Measures, r.Summary, report.Shares(r.Evidence)
	run.Measures.Policy = set.Name
	run.CheckCounts, run.Violations = r.Checks.Checked, r.Checks.Violations
	for _, v := range r.Checks.Violations {
		run.ViolationCounts[v.Property]++
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

// loadAverage returns the machine's load averages, or "unknown" where the kernel does not provide them.
func loadAverage() string {
	data, err := os.ReadFile("/proc/loadavg")
	if fields := strings.Fields(string(data)); err == nil && len(fields) >= 3 {
		return strings.Join(fields[:3], " ")
	}
	return "unknown"
}
