package command

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/google/subcommands"

	"samphirepoint/admin"
)

// fleetCommand is a command whose actions apply to pools or to maintenance waves.
type fleetCommand struct {
	name, synopsis, description string
	actions                     []fleetAction
	stdout, stderr              io.Writer
	getenv                      func(string) string
	flags                       fleetFlags
}

// fleetFlags holds the flags of all actions.
type fleetFlags struct {
	operatorFlags
	dryRun                          bool
	operation, reason               string
	targetPool, sourcePool, region  string
	count                           int
	spare                           bool
	id, pools, instances            string
	zone, rack                      string
	rackAtOnce, cycle               bool
	drainTimeout, length, notBefore string
}

// fleetAction is an action of a fleetCommand, named by the argument after the command.
type fleetAction struct {
	name, args, synopsis, example string
	flags                         func(*flag.FlagSet, *fleetFlags)
	run                           func(context.Context, *fleetInvocation) error
}

// fleetInvocation is one invocation of an action.
type fleetInvocation struct {
	*fleetCommand
	client      admin.FleetClient
	tableClient *admin.Client
	args        []string
}

func newFleetCommand(name, synopsis, description string, actions []fleetAction) *fleetCommand {
	return &fleetCommand{name: name, synopsis: synopsis, description: description, actions: actions, stdout: os.Stdout, stderr: os.Stderr, getenv: os.Getenv}
}

func (c *fleetCommand) Name() string     { return c.name }
func (c *fleetCommand) Synopsis() string { return c.synopsis }

func (c *fleetCommand) Usage() string {
	var b strings.Builder
	fmt.Fprintf(&b, "samphirepoint %s [-entry ADDR[,ADDR]] [-token-file FILE] [-json] ACTION\n  %s\n  Actions, each with -h for its flags:\n", c.name, c.description)
	for _, a := range c.actions {
		fmt.Fprintf(&b, "    %-7s %s\n", a.name, a.synopsis)
	}
	fmt.Fprintf(&b, "  Example: samphirepoint %s %s\n", c.name, c.actions[1].example)
	return b.String()
}

// SetFlags implements subcommands.Command.
func (c *fleetCommand) SetFlags(f *flag.FlagSet) { c.flags.initFromEnv(f, c.getenv) }

// Execute implements subcommands.Command.
func (c *fleetCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return c.flags.reportOutcome(c.stderr, c.name, c.execute(ctx, f.Args()))
}

func (c *fleetCommand) execute(ctx context.Context, args []string) error {
	if len(args) == 0 {
		fmt.Fprint(c.stderr, c.Usage())
		return usageErrorf("an action is missing")
	}
	for _, a := range c.actions {
		if a.name == args[0] {
			return c.runAction(ctx, a, args[1:])
		}
	}
	return usageErrorf("unknown action %q; samphirepoint help %s lists the actions", args[0], c.name)
}

// runAction parses the arguments of an action and runs it. Flags may precede, follow or separate the positional arguments:
// "pool move w1 -to spare" equals "pool move -to spare w1".
func (c *fleetCommand) runAction(ctx context.Context, a fleetAction, args []string) error {
	f := c.actionFlags(a)
	var positional []string
	for {
		if err := f.Parse(args); err != nil {
			if errors.Is(err, flag.ErrHelp) {
				return err
			}
			return usageError{err}
		}
		if f.NArg() == 0 {
			break
		}
		positional, args = append(positional, f.Arg(0)), f.Args()[1:]
	}
	client, err := c.flags.client()
	if err != nil {
		return err
	}
	return a.run(ctx, &fleetInvocation{fleetCommand: c, client: admin.FleetClient{Caller: client}, tableClient: client, args: positional})
}

func (c *fleetCommand) actionFlags(a fleetAction) *flag.FlagSet {
	f := flag.NewFlagSet(c.name+" "+a.name, flag.ContinueOnError)
	f.SetOutput(c.stderr)
	c.flags.register(f)
	if a.flags != nil {
		a.flags(f, &c.flags)
	}
	f.Usage = func() {
		fmt.Fprintf(c.stderr, "samphirepoint %s %s\n  %s\n  Example: samphirepoint %s %s\n", c.name,
			strings.TrimSpace(a.name+" [flags] "+a.args), a.synopsis, c.name, a.example)
		f.PrintDefaults()
	}
	return f
}

// requireArgs returns a usage error unless there are n positional arguments.
func (r *fleetInvocation) requireArgs(n int, what string) error {
	if len(r.args) != n {
		return usageErrorf("expected %s, found %d arguments", what, len(r.args))
	}
	return nil
}

// print writes v as JSON with -json, and calls text to write it otherwise.
func (r *fleetInvocation) print(v any, text func(io.Writer)) error {
	return printValue(r.stdout, r.flags.json, v, text)
}

func splitList(text string) []string {
	return strings.FieldsFunc(text, func(r rune) bool { return r == ',' || r == ' ' })
}

func changeFlags(f *flag.FlagSet, v *fleetFlags) {
	f.BoolVar(&v.dryRun, "dry-run", false, "print the planned changes without making them")
	f.StringVar(&v.operation, "operation", "", "operation `ID` of an earlier attempt whose outcome is unknown")
	f.StringVar(&v.reason, "reason", "", "`TEXT` that explains the change to other operators")
}
