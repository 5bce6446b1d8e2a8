package upkeep

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"samphirepoint/shard"
)

// Load pattern: a pool of several shards shrinks after its peak period. Guards against a shard that is left without instances, while
// an equal part of the jobs goes to it.
func TestShrinkingPoolKeepsInstancesInEachShard(t *testing.T) {
	g := NewWithT(t)
	s := fleet(time.Minute, map[string]int{"pumps": 40, "common": 1})
	s.layout = shard.NewLayout(map[string]int{"pumps": 4})
	s.shardOf = func(_, worker string) (string, bool) { return s.layout.OfJob("pumps", worker) }
	empty, _ := s.releasable("pumps", s.Reports["pumps"])
	release := s.byFullestShard("pumps", empty)
	g.Expect(release).To(ConsistOf(empty))
	left := map[string]int{}
	for _, i := range release[28:] {
		left[s.shardOfInstance(i)]++
	}
	for _, name := range s.layout.Names("pumps") {
		g.Expect(left[name]).To(Equal(3), "instances of %s after 28 of 40 were released", name)
	}
}
