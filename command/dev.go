package command

import (
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

	"samphirepoint/dev"
	"samphirepoint/load"
	"samphirepoint/settings"
)

// devCommand runs a whole deployment on loopback.
type devCommand struct {
	deployment, policies, moves, logLevel string
	duration                              time.Duration
	seed                                  uint64
	rate                                  float64
	entries, changes, port                int
	json                                  bool
}

func (*devCommand) Name() string     { return "dev" }
func (*devCommand) Synopsis() string { return "run a whole deployment on loopback and judge it" }
func (*devCommand) Usage() string {
	return "samphirepoint dev [flags]\n" +
		"  Starts a stand-in platform, the five pools of stand-in workers and the entries of a deployment in one process, drives\n" +
		"  its surging workload, and prints the measures and the properties checked. Exit status 1 if a property was broken.\n" +
		"  Example: samphirepoint dev -deployment hraunvik -for 30s -seed 2\n"
}

func (c *devCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.deployment, "deployment", "inzira", "inzira or hraunvik")
	f.DurationVar(&c.duration, "for", 20*time.Second, "time during which work is submitted")
	f.Uint64Var(&c.seed, "seed", 1, "seed of the schedule and of the stand-ins")
	f.Float64Var(&c.rate, "rate", load.DefaultRate, "mean requests per second of all queues together")
	f.IntVar(&c.entries, "entries", dev.DefaultEntries, "number of entries")
	f.IntVar(&c.changes, "changes", 3, "number of table changes accepted during the run")
	f.IntVar(&c.port, "port", 0, "caller port of the first entry; 0: any free port")
	f.StringVar(&c.policies, "policies", "weighted,leastLoaded,owner", "queue, placement and shares policy; the baselines are fifo, random and static-split")
	f.StringVar(&c.moves, "moves", "learned", "policy of instance moves: learned, fixed or greedy")
	f.StringVar(&c.logLevel, "log", "error", "log level; info shows each decision")
	f.BoolVar(&c.json, "json", false, "print the report as one JSON object")
}

func (c *devCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	o, err := c.options()
	if err != nil {
		fmt.Fprintln(os.Stderr, "samphirepoint dev:", err)
		return subcommands.ExitUsageError
	}
	result, err := dev.Run(ctx, o)
	if err != nil {
		return reportFailure(err)
	}
	if c.json {
		err = json.NewEncoder(os.Stdout).Encode(result)
	} else {
		_, err = fmt.Printf("%s\n%s\n%s", result.Summary, result.Measures, result.Checks)
	}
	if err != nil || !result.OK() {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *devCommand) options() (dev.Options, error) {
	names := strings.Split(c.policies, ",")
	if len(names) != 3 {
		return dev.Options{}, fmt.Errorf("-policies %q, expected three names such as weighted,leastLoaded,owner", c.policies)
	}
	moves := settings.Default().Moves
	moves.Policy = c.moves
	return dev.Options{
		Deployment: c.deployment, Entries: c.entries, For: c.duration, Seed: c.seed, Rate: c.rate, Changes: c.changes, CallerPort: c.port,
		Policies: settings.Policies{Queue: names[0], Placement: names[1], Shares: names[2]},
		Moves:    moves,
		Log:      newLog(c.logLevel),
		Progress: func(format string, args ...any) { fmt.Fprintf(os.Stderr, format+"\n", args...) },
	}, nil
}
