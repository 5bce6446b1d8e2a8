package engine

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against an operator who is told a wrong reason, or none, why a job waits.
func TestExplainNamesWhatAJobWaitsFor(t *testing.T) {
	need := Resources{CPU: 1000}
	for why, steps := range map[string][]Step{
		"no worker has the label x":                                {{Count: 1, Need: need, RequiredLabel: "x"}},
		"no worker is large enough":                                {{Count: 1, Need: Resources{CPU: 1e9}}},
		"no worker has room, or other work goes first":             {{Count: 4, Need: Resources{CPU: 60_000}}},
		"no room for all members at once":                          {{Count: 4, Need: Resources{CPU: 60_000}, Gang: true}},
		"each worker has as many tasks of the step as it may have": {{Count: 4, Need: need, AntiAffinity: 1}},
	} {
		g := NewWithT(t)
		w := newWorld(2)
		w.pool.Submit(Spec{ID: "00000000000000c1", Queue: "q", Steps: steps}, w.clock())
		w.place()
		r, ok := w.pool.Explain("00000000000000c1", w.clock())
		g.Expect(ok).To(BeTrue())
		g.Expect(r.Steps[0].WaitReason).To(Equal(why))
		g.Expect(r.Steps[0].Waiting + len(r.Steps[0].Runs)).To(Equal(steps[0].Count))
	}
	g := NewWithT(t)
	w := newWorld(1)
	w.pool.Submit(Spec{ID: "00000000000000c2", Queue: "q", Steps: []Step{{Count: 1, Need: need}, {Count: 1, Need: need, After: []int{0}}}}, w.clock())
	w.place()
	w.now += time.Second
	r, _ := w.pool.Explain("00000000000000c2", w.clock())
	g.Expect(r.AgeMS).To(Equal(int64(1000)))
	g.Expect(r.Steps[0].Runs).To(ConsistOf(RunReport{Task: "00000000000000c2.0.0.0", Run: 1, Worker: "i-00", Phase: "running"}))
	g.Expect(r.Steps[1].WaitReason).To(Equal("earlier steps are not done"))
	_, ok := w.pool.Explain("none", w.clock())
	g.Expect(ok).To(BeFalse())
}
