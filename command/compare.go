package command

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime/pprof"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/google/subcommands"

	"samphirepoint/experiment"
	"samphirepoint/load"
)

// compareCommand compares policy sets across deployments and seeds.
type compareCommand struct {
	deployments, sets, seeds string
	duration, tail           time.Duration
	rate                     float64
	changes                  int
	json, speed, capacity    bool
	each                     time.Duration
	connections, profile     string
}

func (*compareCommand) Name() string     { return "compare" }
func (*compareCommand) Synopsis() string { return "compare the system's policies with the baselines" }
func (*compareCommand) Usage() string {
	return "samphirepoint compare [flags]\n" +
		"  Runs each combination of deployment, policy set and seed in one process, one after the other, and prints the measures\n" +
		"  with their spread, the shares of backlogged backers, and the results of the property checks.\n" +
		"  Policy sets: " + strings.Join(policySetNames(), ", ") + ".\n" +
		"  With -speed, it compares direct calls to a worker with calls through one and two entries instead; with -capacity, it measures\n" +
		"  an idle entry at increasing fleet sizes.\n" +
		"  Example: samphirepoint compare -deployments inzira -sets system,fifo -seeds 1,2,3 -json\n"
}

func policySetNames() []string {
	var names []string
	for _, s := range experiment.PolicySets() {
		names = append(names, s.Name)
	}
	return names
}

func (c *compareCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.deployments, "deployments", "inzira,hraunvik", "comma-separated deployments")
	f.StringVar(&c.sets, "sets", "system,fifo+random+static-split,fixed,greedy", "comma-separated policy sets, or all")
	f.StringVar(&c.seeds, "seeds", "1,2,3", "comma-separated seeds")
	f.DurationVar(&c.duration, "for", experiment.DefaultDuration, "duration of the submission phase of each run")
	f.DurationVar(&c.tail, "tail", experiment.DefaultCompletionTimeout, "time after the last submission at which requests in flight are abandoned; 0: wait for all")
	f.Float64Var(&c.rate, "rate", load.DefaultRate, "mean requests per second, summed over all queues")
	f.IntVar(&c.changes, "changes", 3, "number of table changes accepted during each run")
	f.BoolVar(&c.speed, "speed", false, "compare latency and throughput of direct calls with those of calls through entries")
	f.StringVar(&c.connections, "connections", "1,8,64", "comma-separated numbers of connections for -speed")
	f.BoolVar(&c.capacity, "capacity", false, "measure an idle entry at increasing fleet sizes")
	f.DurationVar(&c.each, "each", 4*time.Second, "duration of each measurement of -speed and -capacity")
	f.StringVar(&c.profile, "profile", "", "file for the CPU profile of -speed or -capacity")
	f.BoolVar(&c.json, "json", false, "print the result as one JSON object")
}

func (c *compareCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	o, err := c.options()
	if err != nil {
		fmt.Fprintln(os.Stderr, "samphirepoint compare:", err)
		return subcommands.ExitUsageError
	}
	if c.speed || c.capacity {
		if err := c.profiled(func() error { return c.measure(ctx) }); err != nil {
			return reportFailure(err)
		}
		return subcommands.ExitSuccess
	}
	result, runErr := experiment.Run(ctx, o)
	if c.json {
		err = json.NewEncoder(os.Stdout).Encode(result)
	} else {
		_, err = fmt.Print(result)
	}
	if runErr != nil {
		return reportFailure(runErr)
	}
	if err != nil {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *compareCommand) options() (experiment.Options, error) {
	o := experiment.Options{
		Deployments: strings.Split(c.deployments, ","), Duration: c.duration, CompletionTimeout: c.tail, Rate: c.rate, Changes: c.changes,
		Progress: func(format string, args ...any) { fmt.Fprintf(os.Stderr, format+"\n", args...) },
	}
	for _, d := range o.Deployments {
		if _, err := load.DeploymentByName(d); err != nil {
			return o, err
		}
	}
	names := strings.Split(c.sets, ",")
	if c.sets == "all" {
		names = policySetNames()
	}
	for _, name := range names {
		set, err := experiment.PolicySetByName(name)
		if err != nil {
			return o, err
		}
		o.Sets = append(o.Sets, set)
	}
	for _, s := range strings.Split(c.seeds, ",") {
		seed, err := strconv.ParseUint(s, 10, 64)
		if err != nil {
			return o, fmt.Errorf("-seeds %q, expected comma-separated non-negative integers", c.seeds)
		}
		o.Seeds = append(o.Seeds, seed)
	}
	return o, nil
}

// profiled runs f and writes a CPU profile of it if -profile is set.
func (c *compareCommand) profiled(f func() error) error {
	if c.profile == "" {
		return f()
	}
	file, err := os.Create(c.profile)
	if err != nil {
		return err
	}
	if err := pprof.StartCPUProfile(file); err != nil {
		_ = file.Close()
		return err
	}
	err = f()
	pprof.StopCPUProfile()
	return errors.Join(err, file.Close())
}

// measure runs the measurements of -speed and -capacity and prints their results.
func (c *compareCommand) measure(ctx context.Context) error {
	var speed []experiment.SpeedResult
	var capacity []experiment.IdleResult
	var claims []experiment.ClaimResult
	if c.speed {
		counts, err := parseCounts(c.connections)
		if err != nil {
			return err
		}
		if speed, err = experiment.Speed(ctx, counts, c.each); err != nil {
			return err
		}
	}
	if c.capacity {
		progress := func(format string, args ...any) { fmt.Fprintf(os.Stderr, format+"\n", args...) }
		var err error
		if claims, err = experiment.Claims(ctx, []int{1, 8, 32, 64}, time.Second); err != nil {
			return err
		}
		if capacity, err = experiment.Capacity(ctx, c.each, progress); err != nil {
			return err
		}
	}
	if c.json {
		return json.NewEncoder(os.Stdout).Encode(map[string]any{"speed": speed, "capacity": capacity, "claims": claims})
	}
	if c.speed {
		fmt.Print(experiment.SpeedText(speed))
	}
	if c.capacity {
		fmt.Print(experiment.ClaimsText(claims))
		fmt.Print(experiment.CapacityText(capacity))
	}
	return nil
}

func parseCounts(list string) ([]int, error) {
	var counts []int
	for _, s := range strings.Split(list, ",") {
		n, err := strconv.Atoi(s)
		if err != nil || n < 1 {
			return nil, fmt.Errorf("-connections %q, expected comma-separated positive integers", list)
		}
		counts = append(counts, n)
	}
	return counts, nil
}
