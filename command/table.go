package command

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/google/subcommands"

	"samphirepoint/admin"
)

// Environment variables with the defaults of flags.
// tableCommand shows and changes the table through the admin API.
type tableCommand struct {
	stdin          io.Reader
	stdout, stderr io.Writer
	getenv         func(string) string
	flags          tableFlags
}

// tableFlags are the flags of all actions.
type tableFlags struct {
	operatorFlags
	draft                               bool
	draftVersion, before                int64
	limit                               int
	reason, operation, base, outputFile string
	baseGiven                           bool
}

// tableAction is one of the words after "samphirepoint table".
type tableAction struct {
	name, args, synopsis, example string
	// flags adds the flags of this action only.
	flags func(*flag.FlagSet, *tableFlags)
	run   func(context.Context, *tableRun) error
}

// tableRun is one invocation of an action.
type tableRun struct {
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
	b.WriteString("  Shows and changes the table of backers, pools and queues. Edits go into one draft\n  that all operators share; accept puts the draft in force.\n  Actions, each with -h for its flags:\n")
	for _, a := range tableActions {
		fmt.Fprintf(&b, "    %-9s %s\n", a.name, a.synopsis)
	}
	b.WriteString("  Example:\n    samphirepoint table set inzira.weight 3\n    samphirepoint table diff\n    samphirepoint table accept -reason \"audit week\"\n")
	return b.String()
}

// SetFlags implements subcommands.Command.
func (c *tableCommand) SetFlags(f *flag.FlagSet) { c.flags.init(f, c.getenv) }

// Execute implements subcommands.Command.
func (c *tableCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return c.flags.finish(c.stderr, c.Name(), c.execute(ctx, f.Args()))
}

func (c *tableCommand) execute(ctx context.Context, args []string) error {
	if len(args) == 0 {
		fmt.Fprint(c.stderr, c.Usage())
		return usagef("an action is missing")
	}
	for _, a := range tableActions {
		if a.name == args[0] {
			return c.runAction(ctx, a, args[1:])
		}
	}
	return usagef("unknown action %q; samphirepoint help table lists the actions", args[0])
}

func (c *tableCommand) runAction(ctx context.Context, a tableAction, args []string) error {
	f := c.actionFlags(a)
	if err := f.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return err
		}
		return usageError{err}
	}
	f.Visit(func(set *flag.Flag) { c.flags.baseGiven = c.flags.baseGiven || set.Name == "base" })
	client, err := c.flags.client()
	if err != nil {
		return err
	}
	return a.run(ctx, &tableRun{tableCommand: c, client: client, args: f.Args()})
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

func printJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(v)
}
