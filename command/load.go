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

// loadCommand submits an open-loop load to entries.
type loadCommand struct {
	targets, deployment, tokenFile, records string
	rate, spread, cancels                   float64
	duration, wave                          time.Duration
	seed                                    uint64
	json                                    bool
}

func (*loadCommand) Name() string     { return "load" }
func (*loadCommand) Synopsis() string { return "submit an open-loop load to entries" }
func (*loadCommand) Usage() string {
	return "samphirepoint load -target ADDR[,ADDR] -deployment inzira|hraunvik -token-file FILE [flags]\n" +
		"  Submits work at seeded times and prints what the callers were told. The token file is YAML or JSON: backer: token.\n" +
		"  Example: samphirepoint load -target 127.0.0.1:8001,127.0.0.1:8002 -deployment inzira -rate 350 -for 30s -seed 1 -token-file tokens.yaml\n"
}

func (c *loadCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.targets, "target", "", "addresses of entries, separated by commas")
	f.StringVar(&c.deployment, "deployment", "inzira", "inzira or hraunvik")
	f.Float64Var(&c.rate, "rate", load.DefaultRate, "mean requests per second of all queues together")
	f.DurationVar(&c.duration, "for", 30*time.Second, "time during which work is submitted")
	f.Uint64Var(&c.seed, "seed", 1, "seed of the schedule")
	f.Float64Var(&c.spread, "spread", load.DefaultSpread, "callers at the busiest entry per caller at the least busy one")
	f.Float64Var(&c.cancels, "cancel", 0, "part of the requests that callers cancel")
	f.DurationVar(&c.wave, "cancel-wave-at", 0, "time at which callers cancel all work in flight; 0: never")
	f.StringVar(&c.tokenFile, "token-file", "", "YAML or JSON file with a token per backer")
	f.StringVar(&c.records, "records", "", "file for one JSON line per submission")
	f.BoolVar(&c.json, "json", false, "print the summary as JSON")
}

func (c *loadCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	// A second interrupt ends the process at once.
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
		Tokens: tokens, Spread: c.spread, CancelShare: c.cancels, CancelWaveAt: c.wave}, nil
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
