package command

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"samphirepoint/standin"
	"samphirepoint/standin/faultproxy"
)

// standinProxyCommand runs a TCP proxy that injects faults.
type standinProxyCommand struct {
	listen, target, control string
}

func (*standinProxyCommand) Name() string     { return "proxy" }
func (*standinProxyCommand) Synopsis() string { return "run a TCP proxy that injects faults" }
func (*standinProxyCommand) Usage() string {
	return "samphirepoint standin proxy -target ADDR [-listen ADDR] [-control ADDR]\n" +
		"  Forwards connections to the target. PUT /faults, POST /reset and POST /black-hole on the control address inject and clear faults.\n" +
		"  Example: samphirepoint standin proxy -listen 127.0.0.1:7201 -target 127.0.0.1:7101 -control 127.0.0.1:7301\n"
}

func (c *standinProxyCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.listen, "listen", "127.0.0.1:0", "address to accept connections on")
	f.StringVar(&c.target, "target", "", "address to forward to")
	f.StringVar(&c.control, "control", "127.0.0.1:0", "address of the HTTP control interface")
}

func (c *standinProxyCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.target == "" {
		fmt.Fprintln(os.Stderr, "samphirepoint standin proxy: -target is required")
		return subcommands.ExitUsageError
	}
	p, err := faultproxy.New(c.listen, c.target)
	if err != nil {
		return reportFailure(err)
	}
	defer p.Close()
	l, err := standin.Listen(c.control, p.Handler())
	if err != nil {
		return reportFailure(err)
	}
	fmt.Println(p)
	return serveUntilSignal(ctx, "control", l)
}
