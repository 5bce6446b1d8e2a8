//go:build linux

// Package integration runs the binary as real processes behind proxies that inject faults, and judges what workers ran
// and what callers were told. See docs/notes/integration.md for what each scenario proves.
package integration

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/onsi/gomega/gexec"
)

// worldsAtOnce bounds the load on the machine: a world has 12 to 14 processes.
const worldsAtOnce = 3

var (
	program string
	worlds  = make(chan struct{}, worldsAtOnce)
)

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	var err error
	if program, err = gexec.BuildWithEnvironment("samphirepoint", []string{"CGO_ENABLED=0"}); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer gexec.CleanupBuildArtifacts()
	return m.Run()
}

// parallel lets the scenarios of the package overlap, at most worldsAtOnce at a time.
func parallel(t *testing.T) {
	t.Helper()
	t.Parallel()
	worlds <- struct{}{}
	t.Cleanup(func() { <-worlds })
}

const (
	// startTimeout bounds the start of processes on a busy machine; it judges nothing.
	startTimeout = 30 * time.Second
	// settleTimeout bounds the wait for the end of work in flight; the longest deadline of a caller is 8 s.
	settleTimeout = 30 * time.Second
)
