package command

import (
	"bufio"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/google/subcommands"
	"go.yaml.in/yaml/v3"

	"samphirepoint/load"
)

// loadCommand generates open-loop load on entries.
type loadCommand struct {
	targets, deployment, tokenFile, records string
	rate, spread, cancelShare               float64
	duration, cancelWaveAt                  time.Duration
	seed                                    uint64
	json                                    bool
}

func (*loadCommand) Name() string     { return "load" }
func (*loadCommand) Synopsis() string { return "generate open-loop load on entries" }
func (*loadCommand) Usage() string {
	return "samphirepoint load -target ADDR[,ADDR] -deployment inzira|hraunvik -token-file FILE [flags]\n" +
		"  Submits requests on a seeded schedule and prints a summary of the replies. The token file is a YAML or JSON map of backer to token.\n" +
		"  Example: samphirepoint load -target 127.0.0.1:8001,127.0.0.1:8002 -deployment inzira -rate 350 -for 30s -seed 1 -token-file tokens.yaml\n"
}

func (c *loadCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.targets, "target", "", "comma-separated addresses of entries")
	f.StringVar(&c.deployment, "deployment", "inzira", "inzira or hraunvik")
	f.Float64Var(&c.rate, "rate", load.DefaultRate, "mean requests per second, summed over all queues")
	f.DurationVar(&c.duration, "for", 30*time.Second, "duration of the submission phase")
	f.Uint64Var(&c.seed, "seed", 1, "seed of the schedule")
	f.Float64Var(&c.spread, "spread", load.DefaultSpread, "ratio of callers at the busiest entry to callers at the least busy entry")
	f.Float64Var(&c.cancelShare, "cancel", 0, "fraction of requests that callers cancel")
	f.DurationVar(&c.cancelWaveAt, "cancel-wave-at", 0, "time after the start at which callers cancel all requests in flight; 0: never")
	f.StringVar(&c.tokenFile, "token-file", "", "YAML or JSON file with one token per backer")
	f.StringVar(&c.records, "records", "", "file to write one JSON line per submitted request to")
	f.BoolVar(&c.json, "json", false, "print the summary as JSON")
}

func (c *loadCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	// Restores default signal handling, so that a second interrupt terminates the process immediately.
	context.AfterFunc(ctx, stop)
	o, err := c.options()
	if err != nil {
		fmt.Fprintln(os.Stderr, "samphirepoint load:", err)
		return subcommands.ExitUsageError
	}
	result, err := load.Run(ctx, o)
	if err != nil {
		return reportFailure(err)
	}
	if err := c.print(result); err != nil {
		return reportFailure(err)
	}
	return subcommands.ExitSuccess
}

func (c *loadCommand) options() (load.Options, error) {
	if c.targets == "" || c.tokenFile == "" {
		return load.Options{}, fmt.Errorf("-target and -token-file are required")
	}
	d, err := load.DeploymentByName(c.deployment)
	if err != nil {
		return load.Options{}, fmt.Errorf("-deployment: %w", err)
	}
	if !(c.rate > 0) || c.rate > maxDevRate {
		return load.Options{}, fmt.Errorf("-rate %g, expected a number of requests per second above 0, at most %d", c.rate, maxDevRate)
	}
	if c.duration <= 0 {
		return load.Options{}, fmt.Errorf("-for %s, expected a duration above 0 such as 30s", c.duration)
	}
	data, err := os.ReadFile(c.tokenFile)
	if err != nil {
		return load.Options{}, err
	}
	var tokens map[string]string
	if err := yaml.Unmarshal(data, &tokens); err != nil {
		return load.Options{}, fmt.Errorf("-token-file %s: %w", c.tokenFile, err)
	}
	return load.Options{Targets: strings.Split(c.targets, ","), Deployment: d, Rate: c.rate, Duration: c.duration, Seed: c.seed,
		Tokens: tokens, Spread: c.spread, CancelShare: c.cancelShare, CancelWaveAt: c.cancelWaveAt}, nil
}

func (c *loadCommand) print(r *load.Result) error {
	if c.records != "" {
		if err := writeRecords(c.records, r.Records); err != nil {
			return err
		}
	}
	if !c.json {
		fmt.Print(r.Summary())
		return nil
	}
	return json.NewEncoder(os.Stdout).Encode(r.Summary())
}

func writeRecords(path string, records []load.Record) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	w := bufio.NewWriter(f)
	enc := json.NewEncoder(w)
	for i := range records {
		if err := enc.Encode(&records[i]); err != nil {
			_ = f.Close()
			return err
		}
	}
	if err := w.Flush(); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}
