package command

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"

	"github.com/google/subcommands"

	"samphirepoint/settings"
)

// exitInvalid is the exit status for invalid settings.
const exitInvalid subcommands.ExitStatus = 2

// settingsCommand validates settings files.
type settingsCommand struct{}

func (settingsCommand) Name() string           { return "settings" }
func (settingsCommand) Synopsis() string       { return "validate the settings of an entry" }
func (settingsCommand) SetFlags(*flag.FlagSet) {}
func (settingsCommand) Usage() string {
	return `samphirepoint settings check FILE...
  Validates settings files and prints all errors as file:line: key: problem, expected value.
  Exit status: 0 if all files are valid, 2 otherwise. If a file that the settings refer to does not
  exist, a warning is printed, because the file may be installed later.
  Example: samphirepoint settings check examples/inzira/entry.yaml
`
}

func (c settingsCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() < 2 || f.Arg(0) != "check" {
		fmt.Fprint(os.Stderr, c.Usage())
		return exitInvalid
	}
	status := subcommands.ExitSuccess
	for _, file := range f.Args()[1:] {
		s, err := settings.Load(file)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			status = exitInvalid
			continue
		}
		files := s.Files()
		for _, key := range slices.Sorted(maps.Keys(files)) {
			if _, err := os.Stat(files[key]); err != nil {
				fmt.Fprintf(os.Stderr, "%s: warning: %s: %v\n", file, key, err)
			}
		}
		fmt.Printf("%s: ok\n", file)
	}
	return status
}
