package command

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/google/subcommands"

	"samphirepoint/dev"
	"samphirepoint/load"
	"samphirepoint/settings"
)

// devCommand runs a whole deployment on loopback and checks its properties.
type devCommand struct {
	deployment, policies, moves, logLevel, dir string
	duration                                   time.Duration
	seed                                       uint64
	rate                                       float64
	entries, changes, port                     int
	json, serve                                bool
}

func (*devCommand) Name() string     { return "dev" }
func (*devCommand) Synopsis() string { return "run and check a whole deployment on loopback" }
func (*devCommand) Usage() string {
	return "samphirepoint dev [flags]\n" +
		"  Starts a stand-in platform, the five pools of stand-in workers and the entries of a deployment in one process, drives\n" +
		"  its workload with demand spikes, and prints the measures and the property checks. Exit status 1 if a property is violated.\n" +
		"  With -serve, it starts the deployment without load, prints addresses, writes tokens into files, and runs until it is\n" +
		"  interrupted; curl and the other commands work against it. Exit status 2 for invalid flags.\n" +
		"  Examples:\n" +
		"    samphirepoint dev -deployment hraunvik -for 30s -seed 2\n" +
		"    samphirepoint dev -serve -port 7001 -dir /tmp/samphire\n"
}

func (c *devCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.deployment, "deployment", "inzira", "inzira or hraunvik")
	f.DurationVar(&c.duration, "for", 20*time.Second, "duration of the submission phase")
	f.Uint64Var(&c.seed, "seed", 1, "seed of the load schedule and of the stand-ins")
	f.Float64Var(&c.rate, "rate", load.DefaultRate, "mean requests per second, summed over all queues")
	f.IntVar(&c.entries, "entries", dev.DefaultEntries, "number of entries")
	f.IntVar(&c.changes, "changes", 3, "number of table changes accepted during the run")
	f.IntVar(&c.port, "port", 0, "caller port of the first entry; the other entries use the following ports, the platform the port\nbelow, the peer interfaces ports 100 higher; 0: any free ports")
	f.BoolVar(&c.serve, "serve", false, "serve the deployment without load until interrupted")
	f.StringVar(&c.dir, "dir", "", "`DIRECTORY` for the token and address files that -serve writes; default: a temporary directory")
	f.StringVar(&c.policies, "policies", "weighted,leastLoaded,owner", "queue, placement and shares policies; the baselines are fifo, random and static-split")
	f.StringVar(&c.moves, "moves", "learned", "policy for instance moves: learned, fixed or greedy")
	f.StringVar(&c.logLevel, "log", "error", "log level; info logs each decision")
	f.BoolVar(&c.json, "json", false, "print the report as one JSON object")
}

func (c *devCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	// Restores default signal handling, so that a second interrupt terminates the process immediately.
	context.AfterFunc(ctx, stop)
	o, err := c.options(f.Args())
	if err != nil {
		fmt.Fprintln(os.Stderr, "samphirepoint dev:", err)
		return subcommands.ExitUsageError
	}
	if c.serve {
		if err := dev.Serve(ctx, o, os.Stdout); err != nil {
			return reportFailure(err)
		}
		return subcommands.ExitSuccess
	}
	result, err := dev.Run(ctx, o)
	if err != nil {
		return reportFailure(err)
	}
	if c.json {
		err = json.NewEncoder(os.Stdout).Encode(result)
	} else {
		_, err = fmt.Printf("Replies to callers:\n%s\nMeasures (docs/design.md, section 1.2):\n%s\nProperties (docs/design.md, section 1.1):\n%s\n%s\n",
			result.Summary, result.Measures, result.Checks, concludingLine(result))
	}
	if err != nil || !result.OK() {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// concludingLine returns the last line of the report.
func concludingLine(r *dev.Result) string {
	if r.OK() {
		return "no violations of the properties that could be checked"
	}
	return fmt.Sprintf("FAILED: %d property violations, see above", len(r.Checks.Violations))
}

// options validates the flags and returns the options of the run; any error is a usage error.
func (c *devCommand) options(args []string) (dev.Options, error) {
	if err := c.check(args); err != nil {
		return dev.Options{}, err
	}
	policies, err := c.parsePolicies()
	if err != nil {
		return dev.Options{}, err
	}
	moves := settings.Default().Moves
	moves.Policy = c.moves
	return dev.Options{
		Deployment: c.deployment, Entries: c.entries, Duration: c.duration, Seed: c.seed, Rate: c.rate, Changes: c.changes, CallerPort: c.port,
		Policies: policies, Moves: moves, Dir: c.dir,
		Log:      newLogger(c.logLevel),
		Progress: func(format string, args ...any) { fmt.Fprintf(os.Stderr, format+"\n", args...) },
	}, nil
}

// maxDevEntries limits how many entries run in one process; the two-year design has 8 entries.
const maxDevEntries = 50

func (c *devCommand) check(args []string) error {
	if len(args) > 0 {
		return fmt.Errorf("unexpected argument %q", args[0])
	}
	if _, err := load.DeploymentByName(c.deployment); err != nil {
		return fmt.Errorf("-deployment: %w", err)
	}
	if err := checkOneOf("-moves", c.moves, "learned", "fixed", "greedy"); err != nil {
		return err
	}
	if err := checkOneOf("-log", c.logLevel, "debug", "info", "warn", "error"); err != nil {
		return err
	}
	switch lastPort := c.port + c.entries + 100; {
	case c.entries < 1 || c.entries > maxDevEntries:
		return fmt.Errorf("-entries %d, expected 1 to %d", c.entries, maxDevEntries)
	case !(c.rate > 0) || c.rate > maxDevRate:
		return fmt.Errorf("-rate %g, expected a number of requests per second above 0, at most %d", c.rate, maxDevRate)
	case c.duration <= 0:
		return fmt.Errorf("-for %s, expected a duration above 0 such as 20s", c.duration)
	case c.changes < 0:
		return fmt.Errorf("-changes %d, expected 0 or more", c.changes)
	case c.port != 0 && (c.port < 2 || lastPort > 65535):
		return fmt.Errorf("-port %d, expected 0, or a port so that the ports %d to %d exist", c.port, c.port-1, lastPort)
	case c.dir != "" && !c.serve:
		return errors.New("-dir applies to -serve only")
	case c.json && c.serve:
		return errors.New("-json cannot be combined with -serve, which prints no report")
	}
	return nil
}

// maxDevRate rejects mistyped rates; it is far above the load that one machine can handle.
const maxDevRate = 100_000

// parsePolicies parses -policies: the names of the queue, placement and shares policies.
func (c *devCommand) parsePolicies() (settings.Policies, error) {
	names := strings.Split(c.policies, ",")
	if len(names) != 3 {
		return settings.Policies{}, fmt.Errorf("-policies %q, expected three names such as weighted,leastLoaded,owner", c.policies)
	}
	for i, allowed := range [][]string{{"weighted", "fifo"}, {"leastLoaded", "random"}, {"owner", "static-split"}} {
		if err := checkOneOf("-policies", names[i], allowed...); err != nil {
			return settings.Policies{}, err
		}
	}
	return settings.Policies{Queue: names[0], Placement: names[1], Shares: names[2]}, nil
}

// checkOneOf returns an error unless the value of the named flag is one of the allowed names.
func checkOneOf(name, value string, allowed ...string) error {
	if slices.Contains(allowed, value) {
		return nil
	}
	return fmt.Errorf("%s: unknown name %q, expected %s", name, value, strings.Join(allowed, " or "))
}
