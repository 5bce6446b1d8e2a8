package upkeep

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Load pattern: a fleet that is switched on, whose instances are listed as down at first. Guards against moving the first
// instances that are up to pools whose own instances are about to be up: 235 moves were once made before the first job.
func TestStartingInstancesCount(t *testing.T) {
	g := NewWithT(t)
	c := New(t.Context(), Settings{})
	s := fleet(0, map[string]int{"pumps": 9, "routes": 12, "common": 4})
	s.Now = feed(c.forecast, "pumps", 0, 0, 2*time.Second, 9*testCapacity)
	for _, id := range []string{"pumps-00", "pumps-01", "pumps-02"} {
		i := s.Instances[id]
		i.State, i.Worker = StateDown, ""
		s.Instances[id] = i
	}
	s.starting = c.starting(s)
	g.Expect(s.PlanMoves(c.forecast, c.surplusSince)).To(BeEmpty())
	c.lastSeen = s.Instances
	s.Now += startTime + time.Second
	s.starting = c.starting(s)
	g.Expect(s.PlanMoves(c.forecast, c.surplusSince)).To(HaveLen(3), "an instance that does not start is replaced")
}
