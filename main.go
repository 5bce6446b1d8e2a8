// Command samphirepoint manages the capacity and maintenance of a fleet that many backers share.
package main

import (
	"context"
	"os"

	"samphirepoint/command"
)

func main() {
	os.Exit(int(command.Main(context.Background(), os.Args[1:], os.Stdout, os.Stderr)))
}
