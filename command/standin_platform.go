package command

import (
	"context"
	"flag"
	"time"

	"github.com/google/subcommands"

	"samphirepoint/standin/platformd"
)

// standinPlatformCommand runs an in-memory stand-in of the platform.
type standinPlatformCommand struct {
	listen  string
	listLag time.Duration
	seed    uint64
}

func (*standinPlatformCommand) Name() string     { return "platform" }
func (*standinPlatformCommand) Synopsis() string { return "run a stand-in of the platform" }
func (*standinPlatformCommand) Usage() string {
	return "samphirepoint standin platform [-listen ADDR] [-list-lag DURATION] [-seed N]\n" +
		"  Serves an in-memory table, object store and instance list. PUT /faults injects faults.\n" +
		"  Example: samphirepoint standin platform -listen 127.0.0.1:7000\n"
}

func (c *standinPlatformCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.listen, "listen", "127.0.0.1:7000", "address to listen on")
	f.DurationVar(&c.listLag, "list-lag", time.Second, "staleness of the instance list")
	f.Uint64Var(&c.seed, "seed", 1, "seed that selects the replies to drop")
}

func (c *standinPlatformCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	l, err := platformd.New(platformd.Options{ListLag: c.listLag, Seed: c.seed}).Start(c.listen)
	if err != nil {
		return reportFailure(err)
	}
	return serveUntilSignal(ctx, "platform", l)
}
