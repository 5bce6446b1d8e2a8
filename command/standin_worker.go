package command

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"

	"samphirepoint/standin/workerd"
)

// standinWorkerCommand runs a stand-in of a worker.
type standinWorkerCommand struct {
	listen  string
	options workerd.Options
}

func (*standinWorkerCommand) Name() string     { return "worker" }
func (*standinWorkerCommand) Synopsis() string { return "run a stand-in of a worker" }
func (*standinWorkerCommand) Usage() string {
	return "samphirepoint standin worker -id ID -listen ADDR -platform URL [flags]\n" +
		"  Serves the worker API and registers with the platform. PUT /mode sets its mode of behavior.\n" +
		"  Example: samphirepoint standin worker -id w1 -listen 127.0.0.1:7101 -zone gasabo -rack r1 -platform http://127.0.0.1:7000\n"
}

func (c *standinWorkerCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.listen, "listen", "127.0.0.1:0", "address to listen on")
	f.StringVar(&c.options.ID, "id", "", "id of the worker")
	f.StringVar(&c.options.Zone, "zone", "", "availability zone")
	f.StringVar(&c.options.Region, "region", "", "region")
	f.StringVar(&c.options.Rack, "rack", "", "rack")
	f.IntVar(&c.options.Slots, "slots", workerd.DefaultSlots, "maximum number of concurrent requests and tasks")
	f.IntVar(&c.options.Connections, "connections", workerd.DefaultConnections, "maximum number of open connections")
	f.StringVar(&c.options.Platform, "platform", "", "base URL of the platform; empty: do not register")
	f.StringVar(&c.options.Advertise, "advertise", "", "address to register; default: that of -listen")
	f.Uint64Var(&c.options.Seed, "seed", 1, "seed that selects the requests affected by faults")
}

func (c *standinWorkerCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.options.ID == "" {
		fmt.Fprintln(os.Stderr, "samphirepoint standin worker: -id is required")
		return subcommands.ExitUsageError
	}
	s := workerd.New(c.options)
	if err := s.Start(c.listen); err != nil {
		return reportFailure(err)
	}
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	fmt.Printf("%s listens on %s\n", s, s.Address())
	<-ctx.Done()
	s.Close()
	return subcommands.ExitSuccess
}
