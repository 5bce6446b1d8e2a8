// Command samphirepoint manages fleet capacity and maintenance for many backers of one fleet.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"

	"samphirepoint/command"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	for _, c := range command.All() {
		subcommands.Register(c, "")
	}
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
