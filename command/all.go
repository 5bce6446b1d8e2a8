package command

import "github.com/google/subcommands"

// All returns all subcommands of the binary.
func All() []subcommands.Command {
	return []subcommands.Command{
		settingsCommand{},
		tokenCommand{},
		&devCommand{},
		&compareCommand{},
		&daemonCommand{},
		&statusCommand{},
		&explainCommand{},
		&entryCommand{},
		versionCommand{},
		standinCommand{},
		&loadCommand{},
		&soakCommand{},
		newTableCommand(),
		newPoolCommand(),
		newMaintenanceCommand(),
	}
}
