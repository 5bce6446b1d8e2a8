package command

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
	"github.com/rs/zerolog"

	"samphirepoint/entry"
	"samphirepoint/settings"
)

// entryCommand runs one entry process.
type entryCommand struct{ file string }

func (*entryCommand) Name() string     { return "entry" }
func (*entryCommand) Synopsis() string { return "run an entry process" }
func (*entryCommand) Usage() string {
	return "samphirepoint entry -settings FILE\n" +
		"  Serves callers, operators and other entries until SIGTERM, then shuts down gracefully: requests in flight complete.\n" +
		"  Logs go to standard error as JSON lines.\n" +
		"  Example: samphirepoint entry -settings examples/inzira/entry.yaml\n"
}

func (c *entryCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.file, "settings", "", "settings file")
}

func (c *entryCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.file == "" {
		fmt.Fprintln(os.Stderr, "samphirepoint entry: -settings is required")
		return subcommands.ExitUsageError
	}
	cfg, err := settings.Load(c.file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		var invalid settings.Errors
		if errors.As(err, &invalid) {
			return subcommands.ExitUsageError
		}
		return subcommands.ExitFailure
	}
	e, err := entry.New(cfg, entry.Options{Log: newLogger(cfg.LogLevel)})
	if err != nil {
		return reportFailure(err)
	}
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := e.Run(ctx); err != nil {
		return reportFailure(err)
	}
	return subcommands.ExitSuccess
}

// newLogger returns a logger that writes JSON lines to standard error. An invalid level means info.
func newLogger(level string) zerolog.Logger {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		parsed = zerolog.InfoLevel
	}
	zerolog.TimeFieldFormat = "2006-01-02T15:04:05.000Z07:00"
	return zerolog.New(os.Stderr).Level(parsed).With().Timestamp().Logger()
}
