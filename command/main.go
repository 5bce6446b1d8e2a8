package command

import (
	"context"
	"flag"
	"fmt"
	"io"
	"slices"

	"github.com/google/subcommands"
)

// Main executes the subcommand in args, which exclude the program name. Requested help goes to stdout; an overview printed
// because the subcommand is missing goes to stderr.
func Main(ctx context.Context, args []string, stdout, stderr io.Writer) subcommands.ExitStatus {
	if len(args) == 0 {
		printOverview(stderr)
		return subcommands.ExitUsageError
	}
	if isHelpFlag(args[0]) {
		args = append([]string{"help"}, args[1:]...)
	}
	if len(args) > 1 && isHelpFlag(args[1]) {
		// The flag package treats -h as a usage error with exit status 2; requested help must exit with 0.
		args = []string{"help", args[0]}
	}
	if args[0] == "help" {
		return runHelp(args[1:], stdout, stderr)
	}
	if findCommand(args[0]) == nil {
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

func isHelpFlag(arg string) bool { return slices.Contains([]string{"-h", "-help", "--help"}, arg) }

func findCommand(name string) subcommands.Command {
	for _, c := range All() {
		if c.Name() == name {
			return c
		}
	}
	return nil
}

// runHelp prints the overview of all commands, or the usage and flags of one command.
func runHelp(args []string, stdout, stderr io.Writer) subcommands.ExitStatus {
	if len(args) == 0 {
		printOverview(stdout)
		return subcommands.ExitSuccess
	}
	c := findCommand(args[0])
	if c == nil || len(args) > 1 {
		fmt.Fprintf(stderr, "samphirepoint help: expected one of the commands listed by samphirepoint help, found %q\n", args)
		return subcommands.ExitUsageError
	}
	printHelp(stdout, c)
	return subcommands.ExitSuccess
}

// printHelp prints the usage and flags of a command.
func printHelp(w io.Writer, c subcommands.Command) {
	f := flag.NewFlagSet(c.Name(), flag.ContinueOnError)
	f.SetOutput(w)
	c.SetFlags(f)
	fmt.Fprint(w, c.Usage())
	f.PrintDefaults()
}

// printOverview prints the overview: all commands, grouped by purpose.
func printOverview(w io.Writer) {
	fmt.Fprint(w, "samphirepoint manages the capacity and maintenance of a fleet that many backers share.\n\nUsage: samphirepoint COMMAND [flags] [arguments]\n")
	for _, group := range []struct {
		title string
		names []string
	}{
		{"Run", []string{"daemon", "entry", "settings", "token", "version"}},
		{"Inspect, through any daemon on the users' platform", []string{"status", "explain"}},
		{"Operate, through the admin API of any entry", []string{"table", "pool", "maintenance"}},
		{"Test and benchmark on loopback", []string{"dev", "load", "compare", "soak", "standin"}},
	} {
		fmt.Fprintf(w, "\n%s:\n", group.title)
		for _, name := range group.names {
			fmt.Fprintf(w, "  %-12s %s\n", name, findCommand(name).Synopsis())
		}
	}
	fmt.Fprint(w, "\nsamphirepoint COMMAND -h describes a command and shows an example.\n"+
		"Exit status: 0 success, 1 request rejected or failed, 2 invalid command line or settings file.\n")
}
