package command

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"

	"samphirepoint/standin"
)

// standinCommand groups the commands that run stand-ins of external systems.
type standinCommand struct{}

func (standinCommand) Name() string           { return "standin" }
func (standinCommand) Synopsis() string       { return "run a stand-in of an external system" }
func (standinCommand) SetFlags(*flag.FlagSet) {}
func (standinCommand) Usage() string {
	return "samphirepoint standin platform|worker|proxy [flags]\n  Runs a stand-in of an external system for experiments.\n" +
		"  Example: samphirepoint standin platform -listen 127.0.0.1:7000\n"
}

func (standinCommand) Execute(ctx context.Context, f *flag.FlagSet, args ...any) subcommands.ExitStatus {
	c := subcommands.NewCommander(f, "samphirepoint standin")
	c.Register(c.HelpCommand(), "")
	for _, s := range []subcommands.Command{&standinPlatformCommand{}, &standinWorkerCommand{}, &standinProxyCommand{}} {
		if s.Name() == f.Arg(0) && isHelpFlag(f.Arg(1)) {
			printHelp(os.Stdout, s)
			return subcommands.ExitSuccess
		}
		c.Register(s, "")
	}
	return c.Execute(ctx, args...)
}

// serveUntilSignal prints the address of the listener and serves until SIGINT or SIGTERM.
func serveUntilSignal(ctx context.Context, name string, l *standin.Listener) subcommands.ExitStatus {
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	fmt.Printf("%s listens on %s\n", name, l.Address())
	<-ctx.Done()
	l.Close()
	return subcommands.ExitSuccess
}

func reportFailure(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, "samphirepoint:", err)
	return subcommands.ExitFailure
}
