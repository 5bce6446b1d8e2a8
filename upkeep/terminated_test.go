package upkeep

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a live worker that is reported as terminated because a list of instances was outdated or incomplete: its owner would start
// its tasks again elsewhere.
func TestOutdatedListsReportNoWorkerAsTerminated(t *testing.T) {
	g := NewWithT(t)
	c := New(t.Context(), Settings{})
	// observe lists instance m with the given worker, "" for none, or not at all for "-".
	observe := func(worker string) []string {
		s := &State{Instances: map[string]Instance{"other": {ID: "other", Worker: "w-other"}}}
		if worker != "-" {
			s.Instances["m"] = Instance{ID: "m", Pool: "pumps", Worker: worker}
		}
		c.findTerminated(s)
		var out []string
		for w := range c.terminated {
			out = append(out, w)
		}
		clear(c.terminated)
		return out
	}
	for _, worker := range []string{"w-1", "-", "w-1", "", "w-1", "-", "w-1"} {
		g.Expect(observe(worker)).To(BeEmpty(), "missing once")
	}
	g.Expect(observe("w-2")).To(ConsistOf("w-1"), "another worker")
	for _, worker := range []string{"w-1", "w-2", "w-1", "w-1", "w-2"} {
		g.Expect(observe(worker)).To(BeEmpty(), "a worker that was before w-2")
	}
	g.Expect(observe("")).To(BeEmpty())
	g.Expect(observe("")).To(ConsistOf("w-2"), "no worker in two lists")
	g.Expect(observe("w-2")).To(BeEmpty(), "started again under its ID")
	g.Expect(observe("-")).To(BeEmpty())
	g.Expect(observe("-")).To(ConsistOf("w-2"))
	g.Expect(observe("-")).To(BeEmpty())
}
