//go:build linux

// Package integration runs the binary as separate processes behind fault-injecting proxies, and checks the runs at the
// workers and the replies to callers. See docs/notes/integration.md for what each scenario proves.
package integration

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/onsi/gomega/gexec"
)

// maxConcurrentDeployments bounds the load on the machine: a deployment has 12 to 14 processes.
const maxConcurrentDeployments = 3

var (
	binaryPath      string
	deploymentSlots = make(chan struct{}, maxConcurrentDeployments)
)

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	var err error
	if binaryPath, err = gexec.BuildWithEnvironment("samphirepoint", []string{"CGO_ENABLED=0"}); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer gexec.CleanupBuildArtifacts()
	return m.Run()
}

// parallel runs a test in parallel with the others of the package, at most maxConcurrentDeployments at a time.
func parallel(t *testing.T) {
	t.Helper()
	t.Parallel()
	deploymentSlots <- struct{}{}
	t.Cleanup(func() { <-deploymentSlots })
}

const (
	// startTimeout bounds the start of processes on a busy machine; it is not a requirement on the system.
	startTimeout = 30 * time.Second
	// completionTimeout bounds the wait for requests in flight to end; the longest deadline of a caller is 8 s.
	completionTimeout = 30 * time.Second
)
