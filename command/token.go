package command

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"samphirepoint/auth"
)

// tokenCommand creates bearer tokens.
type tokenCommand struct{}

func (tokenCommand) Name() string           { return "token" }
func (tokenCommand) Synopsis() string       { return "create a bearer token" }
func (tokenCommand) SetFlags(*flag.FlagSet) {}
func (tokenCommand) Usage() string {
	return `samphirepoint token new -name NAME -role backer|viewer|operator|peer
  Prints a new random token and the lines to add to the token file, which contain only the hash of the token. For role
  peer the lines contain the token itself, because each entry sends it to the others.
  Example: samphirepoint token new -name pumps-team -role backer
`
}

func (c tokenCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() < 1 || f.Arg(0) != "new" {
		fmt.Fprint(os.Stderr, c.Usage())
		return subcommands.ExitUsageError
	}
	flags := flag.NewFlagSet("token new", flag.ContinueOnError)
	name := flags.String("name", "", "name of the backer or operator")
	role := flags.String("role", "", "backer, viewer, operator or peer")
	flags.Usage = func() {
		fmt.Fprint(os.Stderr, c.Usage())
		flags.PrintDefaults()
	}
	switch err := flags.Parse(f.Args()[1:]); {
	case errors.Is(err, flag.ErrHelp):
		return subcommands.ExitSuccess
	case err != nil:
		return subcommands.ExitUsageError
	}
	if flags.NArg() > 0 {
		fmt.Fprintf(os.Stderr, "samphirepoint token new: unexpected argument %q\n", flags.Arg(0))
		return subcommands.ExitUsageError
	}
	if *role == string(auth.RolePeer) {
		token, _ := auth.NewToken("peer", auth.RolePeer)
		fmt.Printf("peerTokens:\n  - %s\n", token)
		return subcommands.ExitSuccess
	}
	parsed, err := auth.ParseRole(*role)
	if err == nil && *name == "" {
		err = fmt.Errorf("-name is missing")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "samphirepoint token new:", err)
		return subcommands.ExitUsageError
	}
	token, entry := auth.NewToken(*name, parsed)
	fmt.Printf("token: %s\ntokens:\n  - name: %q\n    role: %s\n    hash: %s\n", token, entry.Name, entry.Role, entry.Hash)
	return subcommands.ExitSuccess
}
