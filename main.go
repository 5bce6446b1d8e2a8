// Command samphirepoint manages fleet capacity and maintenance for many backers of one fleet.
package main

import (
	"context"
	"os"

	"samphirepoint/command"
)

func main() {
	os.Exit(int(command.Main(context.Background(), os.Args[1:], os.Stdout, os.Stderr)))
}
