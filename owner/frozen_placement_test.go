package owner

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against an owner that places nothing for many seconds because its process was frozen, or had no processor time, in the
// middle of a placement: the duration of that placement is not its cost. Placements are a fifth of the time of a busy owner, so a
// freeze often meets one.
func TestFreezeDuringPlacementDoesNotDelayTheNext(t *testing.T) {
	g := NewWithT(t)
	g.Expect(nextPlacement(4*time.Second)-4*time.Second).To(BeNumerically("<", time.Second), "from the end of a placement that took 4 s to the next one")
}
