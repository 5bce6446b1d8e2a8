package command

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"samphirepoint/daemon"
	"samphirepoint/observe"
	"samphirepoint/platform"
)

// daemonCommand runs a daemon, an entry on the users' platform.
type daemonCommand struct{}

func (*daemonCommand) Name() string     { return "daemon" }
func (*daemonCommand) Synopsis() string { return "run an entry on the users' platform" }
func (*daemonCommand) Usage() string {
	return "samphirepoint daemon\n" +
		"  Serves callers and owns pools until SIGTERM. The settings file is the one that " + platform.SettingsVariable + " names.\n" +
		"  Logs go to standard output as JSON lines. Invalid settings give exit status 2.\n" +
		"  Example: " + platform.SettingsVariable + "=/etc/samphirepoint/node.yaml samphirepoint daemon\n"
}
func (*daemonCommand) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command. Invalid settings give exit status 2.
func (*daemonCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	set, err := platform.LoadSettings(os.Getenv(platform.SettingsVariable))
	if err != nil {
		fmt.Fprintln(os.Stderr, "samphirepoint:", err)
		return subcommands.ExitUsageError
	}
	log, closeLog := observe.Log(os.Stdout, set.Node)
	defer closeLog()
	if err := daemon.New(set, log).Run(ctx); err != nil {
		log.Error().Err(err).Msg("daemon failed")
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
