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

// tableCommand shows and changes the table through the admin API.
type tableCommand struct {
	stdin          io.Reader
	stdout, stderr io.Writer
	getenv         func(string) string
	flags          tableFlags
}

// tableFlags holds the flags of all actions.
type tableFlags struct {
	operatorFlags
	draft                               bool
	draftVersion, before                int64
	limit                               int
	reason, operation, base, outputFile string
	baseSet                             bool
}

// tableAction is an action of the table command, named by the argument after it.
type tableAction struct {
	name, args, synopsis, example string
	// flags registers the flags that are specific to the action.
	flags func(*flag.FlagSet, *tableFlags)
	run   func(context.Context, *tableInvocation) error
}

// tableInvocation is one invocation of an action.
type tableInvocation struct {
	*tableCommand
	client *admin.Client
	args   []string
}

func newTableCommand() *tableCommand {
	return &tableCommand{stdin: os.Stdin, stdout: os.Stdout, stderr: os.Stderr, getenv: os.Getenv}
}

func (*tableCommand) Name() string     { return "table" }
func (*tableCommand) Synopsis() string { return "show and change the table of weights and limits" }

func (*tableCommand) Usage() string {
	var b strings.Builder
	b.WriteString("samphirepoint table [-entry ADDR[,ADDR]] [-token-file FILE] [-json] ACTION\n")
	b.WriteString("  Shows and changes the table of backers, pools and queues. All operators edit one shared\n  draft; accept makes it the version in force.\n  Actions, each with -h for its flags:\n")
	for _, a := range tableActions {
		fmt.Fprintf(&b, "    %-9s %s\n", a.name, a.synopsis)
	}
	b.WriteString("  Example:\n    samphirepoint table set inzira.weight 3\n    samphirepoint table diff\n    samphirepoint table accept -reason \"audit week\"\n")
	return b.String()
}

// SetFlags implements subcommands.Command.
func (c *tableCommand) SetFlags(f *flag.FlagSet) { c.flags.initFromEnv(f, c.getenv) }

// Execute implements subcommands.Command.
func (c *tableCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return c.flags.reportOutcome(c.stderr, c.Name(), c.execute(ctx, f.Args()))
}

func (c *tableCommand) execute(ctx context.Context, args []string) error {
	if len(args) == 0 {
		fmt.Fprint(c.stderr, c.Usage())
		return usageErrorf("an action is missing")
	}
	for _, a := range tableActions {
		if a.name == args[0] {
			return c.runAction(ctx, a, args[1:])
		}
	}
	return usageErrorf("unknown action %q; samphirepoint help table lists the actions", args[0])
}

func (c *tableCommand) runAction(ctx context.Context, a tableAction, args []string) error {
	f := c.actionFlags(a)
	if err := f.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return err
		}
		return usageError{err}
	}
	f.Visit(func(set *flag.Flag) { c.flags.baseSet = c.flags.baseSet || set.Name == "base" })
	client, err := c.flags.client()
	if err != nil {
		return err
	}
	return a.run(ctx, &tableInvocation{tableCommand: c, client: client, args: f.Args()})
}

func (c *tableCommand) actionFlags(a tableAction) *flag.FlagSet {
	f := flag.NewFlagSet("table "+a.name, flag.ContinueOnError)
	f.SetOutput(c.stderr)
	c.flags.register(f)
	if a.flags != nil {
		a.flags(f, &c.flags)
	}
	f.Usage = func() {
		fmt.Fprintf(c.stderr, "samphirepoint table %s\n  %s\n  Example: samphirepoint table %s\n", strings.TrimSpace(a.name+" [flags] "+a.args), a.synopsis, a.example)
		f.PrintDefaults()
	}
	return f
}
