package command

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"

	"github.com/google/subcommands"

	"samphirepoint/admin"
)

// Environment variables with the defaults of flags.
const (
	envEntry     = "SAMPHIREPOINT_ENTRY"
	envTokenFile = "SAMPHIREPOINT_TOKEN_FILE"
)

// tableCommand shows and changes the table through the admin API.
type tableCommand struct {
	stdin          io.Reader
	stdout, stderr io.Writer
	getenv         func(string) string
	flags          tableFlags
}

// tableFlags are the flags of all actions.
type tableFlags struct {
	entry, tokenFile string
	json             bool

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

// usageError is a mistake in the command line, reported with exit status 2.
type usageError struct{ error }

func usagef(format string, args ...any) error { return usageError{fmt.Errorf(format, args...)} }

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
func (c *tableCommand) SetFlags(f *flag.FlagSet) {
	c.flags.entry, c.flags.tokenFile = c.getenv(envEntry), c.getenv(envTokenFile)
	c.commonFlags(f)
}

// commonFlags adds the flags that may stand before and after the action.
func (c *tableCommand) commonFlags(f *flag.FlagSet) {
	f.StringVar(&c.flags.entry, "entry", c.flags.entry, "`ADDR[,ADDR]` of entries, tried in turn; default from "+envEntry)
	f.StringVar(&c.flags.tokenFile, "token-file", c.flags.tokenFile, "`FILE` with the operator's bearer token; default from "+envTokenFile)
	f.BoolVar(&c.flags.json, "json", c.flags.json, "print JSON")
}

// Execute implements subcommands.Command.
func (c *tableCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	err := c.execute(ctx, f.Args())
	var usage usageError
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
		return subcommands.ExitSuccess
	case errors.As(err, &usage):
		fmt.Fprintln(c.stderr, "samphirepoint table:", err)
		return subcommands.ExitUsageError
	}
	c.printError(err)
	return statusOf(err)
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
	client, err := c.client()
	if err != nil {
		return err
	}
	return a.run(ctx, &tableRun{tableCommand: c, client: client, args: f.Args()})
}

func (c *tableCommand) actionFlags(a tableAction) *flag.FlagSet {
	f := flag.NewFlagSet("table "+a.name, flag.ContinueOnError)
	f.SetOutput(c.stderr)
	c.commonFlags(f)
	if a.flags != nil {
		a.flags(f, &c.flags)
	}
	f.Usage = func() {
		fmt.Fprintf(c.stderr, "samphirepoint table %s\n  %s\n  Example: samphirepoint table %s\n", strings.TrimSpace(a.name+" [flags] "+a.args), a.synopsis, a.example)
		f.PrintDefaults()
	}
	return f
}

func (c *tableCommand) client() (*admin.Client, error) {
	return newClient(c.flags.entry, c.flags.tokenFile)
}

// newClient returns a client of the entries in the list, with the token in the file.
func newClient(entries, tokenFile string) (*admin.Client, error) {
	var addresses []string
	for _, a := range strings.Split(entries, ",") {
		if a = strings.TrimSpace(a); a != "" {
			addresses = append(addresses, a)
		}
	}
	if len(addresses) == 0 {
		return nil, usagef("no entry: set -entry or %s", envEntry)
	}
	if tokenFile == "" {
		return nil, usagef("no token: set -token-file or %s", envTokenFile)
	}
	token, err := os.ReadFile(tokenFile)
	if err != nil {
		return nil, usagef("-token-file: %w", err)
	}
	return admin.NewClient(addresses, strings.TrimSpace(string(token)), &http.Client{}), nil
}

func (c *tableCommand) printError(err error) { printError(c.stderr, c.flags.json, err) }

// statusOf tells a mistake in the arguments, which the entry answers with 400, from a refusal.
func statusOf(err error) subcommands.ExitStatus {
	var refusal *admin.Error
	if errors.As(err, &refusal) && refusal.Status == http.StatusBadRequest {
		return subcommands.ExitUsageError
	}
	return subcommands.ExitFailure
}

// printError prints a refusal; with -json in the form of the admin API.
func printError(w io.Writer, asJSON bool, err error) {
	if !asJSON {
		fmt.Fprintln(w, err)
		return
	}
	body := admin.ErrorBody{Error: err.Error()}
	var refusal *admin.Error
	if errors.As(err, &refusal) {
		body = refusal.Body
		body.Error = refusal.Error()
	}
	_ = printJSON(w, body)
}

func printJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(v)
}
