// Package command implements the subcommands of the samphirepoint binary.
package command

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"
)

// Version is the release version of this source tree.
const Version = "0.1.0"

// versionCommand prints the release version.
type versionCommand struct{}

func (versionCommand) Name() string           { return "version" }
func (versionCommand) Synopsis() string       { return "print the version" }
func (versionCommand) SetFlags(*flag.FlagSet) {}
func (versionCommand) Usage() string {
	return "samphirepoint version\n  Prints the version.\n  Example: samphirepoint version\n"
}

func (versionCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	fmt.Println("samphirepoint", Version)
	return subcommands.ExitSuccess
}
