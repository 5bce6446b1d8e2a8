package command

import (
	"context"
	"flag"
	"fmt"
	"io"
	"slices"

	"github.com/google/subcommands"
)

// Main runs the command line without the name of the binary. Help goes to stdout, or to stderr if it was not asked for.
func Main(ctx context.Context, args []string, stdout, stderr io.Writer) subcommands.ExitStatus {
	if len(args) == 0 {
		explain(stderr)
		return subcommands.ExitUsageError
	}
	if isHelp(args[0]) {
		args = append([]string{"help"}, args[1:]...)
	}
	if len(args) > 1 && isHelp(args[1]) {
		// The flag package reports -h as a mistake, with exit status 2.
		args = []string{"help", args[0]}
	}
	if args[0] == "help" {
		return help(args[1:], stdout, stderr)
	}
	if find(args[0]) == nil {
		fmt.Fprintf(stderr, "samphirepoint: unknown command %q; samphirepoint help lists the commands\n", args[0])
		return subcommands.ExitUsageError
	}
	f := flag.NewFlagSet("samphirepoint", flag.ContinueOnError)
	f.SetOutput(stderr)
	c := subcommands.NewCommander(f, "samphirepoint")
	c.Output, c.Error = stdout, stderr
	for _, command := range All() {
		c.Register(command, "")
	}
	if err := f.Parse(args); err != nil {
		return subcommands.ExitUsageError
	}
	return c.Execute(ctx)
}

func isHelp(arg string) bool { return slices.Contains([]string{"-h", "-help", "--help"}, arg) }

func find(name string) subcommands.Command {
	for _, c := range All() {
		if c.Name() == name {
			return c
		}
	}
	return nil
}

// help prints the list of commands, or the usage and flags of one.
func help(args []string, stdout, stderr io.Writer) subcommands.ExitStatus {
	if len(args) == 0 {
		explain(stdout)
		return subcommands.ExitSuccess
	}
	c := find(args[0])
	if c == nil || len(args) > 1 {
		fmt.Fprintf(stderr, "samphirepoint help: expected one of the commands that samphirepoint help lists, found %q\n", args)
		return subcommands.ExitUsageError
	}
	printHelp(stdout, c)
	return subcommands.ExitSuccess
}

// printHelp prints usage and flags of a command.
func printHelp(w io.Writer, c subcommands.Command) {
	f := flag.NewFlagSet(c.Name(), flag.ContinueOnError)
	f.SetOutput(w)
	c.SetFlags(f)
	fmt.Fprint(w, c.Usage())
	f.PrintDefaults()
}

// explain lists the commands by what they are for.
func explain(w io.Writer) {
	fmt.Fprint(w, "samphirepoint manages capacity and maintenance of a fleet that many backers share.\n\nUsage: samphirepoint COMMAND [flags] [arguments]\n")
	for _, group := range []struct {
		title string
		names []string
	}{
		{"Run", []string{"daemon", "entry", "settings", "token", "version"}},
		{"Look, through any daemon on the users' platform", []string{"status"}},
		{"Operate, through the admin API of any entry", []string{"table", "pool", "maintenance"}},
		{"Try and measure on loopback", []string{"dev", "load", "compare", "standin"}},
	} {
		fmt.Fprintf(w, "\n%s:\n", group.title)
		for _, name := range group.names {
			fmt.Fprintf(w, "  %-12s %s\n", name, find(name).Synopsis())
		}
	}
	fmt.Fprint(w, "\nsamphirepoint COMMAND -h shows what a command does, with an example.\n"+
		"Exit status: 0 success, 1 refused or failed, 2 mistake in the command line or in a file of settings.\n")
}
