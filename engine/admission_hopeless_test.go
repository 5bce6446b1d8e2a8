package engine

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against refusing jobs that idle workers could start at once, because other accepted work can't run now: its tasks need a
// label that no worker of the pool has, so they wait and never drain, and the calm throughput is taken for the pool's limit.
func TestWaitingForMissingKindDoesNotRefuseOtherJobs(t *testing.T) {
	g := NewWithT(t)
	w := newTestPool(4)
	w.pool.Submit(oneStep("scarce", Step{Count: 250, Need: Resources{CPU: 1000}, RequiredLabel: "none"}), w.clock())
	admitted, refused := w.burst(g, "warm", 1, 300*time.Millisecond)
	for k := range 20 { // one small job a second, of ten tasks
		w.work(900 * time.Millisecond)
		a, r := w.burst(g, fmt.Sprintf("calm-%d", k), 1, 100*time.Millisecond)
		admitted, refused = admitted+a, refused+r
	}
	g.Expect(refused).To(BeZero(), "of %d, while the workers are mostly idle", admitted+refused)
}
