package command

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"github.com/google/subcommands"

	"samphirepoint/soak"
)

// soakCommand runs daemons under random faults and checks their promises.
type soakCommand struct {
	seed             uint64
	runs             int
	duration         time.Duration
	daemons, callers int
	dir              string
	splits, caps     bool
	restarts         bool
}

func (*soakCommand) Name() string { return "soak" }
func (*soakCommand) Synopsis() string {
	return "run daemons under random faults and check their promises"
}
func (*soakCommand) Usage() string {
	return "samphirepoint soak [flags]\n" +
		"  Runs daemons as separate processes on loopback against a stand-in platform, injects faults from outside them by signals and\n" +
		"  proxies, and checks what callers and workers see. Prints one line per run; exit status 1 if a promise was broken.\n" +
		"  Example: samphirepoint soak -seed 1 -runs 10 -for 30s\n"
}

func (c *soakCommand) SetFlags(f *flag.FlagSet) {
	f.Uint64Var(&c.seed, "seed", 1, "seed of the first run; the next ones have the following seeds")
	f.IntVar(&c.runs, "runs", 1, "number of runs")
	f.DurationVar(&c.duration, "for", 30*time.Second, "time with faults of each run")
	f.IntVar(&c.daemons, "daemons", 0, "number of daemons; 0 is the usual number")
	f.IntVar(&c.callers, "callers", 0, "number of callers; 0 is the usual number")
	f.BoolVar(&c.splits, "splits", false, "make half of the faults partitions of the network")
	f.BoolVar(&c.restarts, "restarts", false, "make half of the faults restarts of workers under their IDs, most of which are then cut off")
	f.BoolVar(&c.caps, "caps", false, "give the workspaces caps and check them")
	f.StringVar(&c.dir, "dir", "", "directory for settings and logs; a new temporary one if empty")
}

// Execute implements subcommands.Command.
func (c *soakCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.runs < 1 || c.duration <= 0 || c.daemons < 0 || c.callers < 0 || f.NArg() > 0 {
		fmt.Fprintln(os.Stderr, "samphirepoint: soak: -runs and -for must be positive, -daemons and -callers not negative; there are no arguments")
		return subcommands.ExitUsageError
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	status := subcommands.ExitSuccess
	for k := range c.runs {
		broken, err := c.runOnce(ctx, c.seed+uint64(k))
		switch {
		case err != nil:
			fmt.Fprintln(os.Stderr, "samphirepoint:", err)
			return subcommands.ExitFailure
		case broken:
			status = subcommands.ExitFailure
		}
	}
	return status
}

// runOnce runs one seed and prints its result. It reports whether a promise was broken.
func (c *soakCommand) runOnce(ctx context.Context, seed uint64) (bool, error) {
	program, err := os.Executable()
	if err != nil {
		return false, err
	}
	dir, err := os.MkdirTemp(c.dir, fmt.Sprintf("samphirepoint-soak-%d-", seed))
	if err != nil {
		return false, err
	}
	result, err := soak.Run(ctx, soak.Options{
		Seed: seed, Duration: c.duration, Program: program, Dir: dir, Daemons: c.daemons, Callers: c.callers, Splits: c.splits, Restarts: c.restarts, Caps: c.caps,
	})
	if err != nil {
		return false, err
	}
	fmt.Printf("seed %d: accepted %d, refused %d, cancelled %d, uncertain %d, completed %d, violations %d, logs in %s\n",
		seed, result.Accepted, result.Refused, result.Cancelled, result.Uncertain, result.Completed, len(result.Violations), dir)
	fmt.Printf("  keys: added %d, withdrawn %d (last of a workspace %d); answers checked: withdrawn key %d, new key %d, no such key %d\n",
		result.Keys.Added, result.Keys.Withdrawn, result.Keys.LastWithdrawn, result.Keys.RevokedAnswers, result.Keys.NewKeyAnswers, result.Keys.InvalidAnswers)
	w := result.Workers
	fmt.Printf("  workers: restarted %d, runs lost by it %d, starts after it %d; cut off %d, runs behind cuts %d\n",
		w.Restarts, w.RunsLost, w.StartsAfterRestart, w.CutOff, w.RunsCutOff)
	fmt.Printf("  calls to workers: late %d, executed by a later incarnation %d, with a deadline beyond the longest lease %d\n",
		w.LateCalls, w.CallsOfFormer, w.ShortenedLeases)
	fmt.Printf("  adviser: %v; jobs left that no worker of their pool may run %d\n", w.Advice, result.NonePermitted)
	for _, name := range slices.Sorted(maps.Keys(result.Faults)) {
		fmt.Printf("  %s: %d\n", name, result.Faults[name])
	}
	for _, v := range result.Violations {
		fmt.Println("  BROKEN", v)
	}
	return len(result.Violations) > 0, nil
}
