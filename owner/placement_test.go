package owner

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"samphirepoint/engine"
	"samphirepoint/rows/memrows"
)

// Guards against an explanation that lacks the reason for which the owner would refuse the job, and against one that has the job submitted.
func TestExplainedPlacementNamesTheRefusal(t *testing.T) {
	g := NewWithT(t)
	s := &partialStore{Store: memrows.New()}
	o := serveOn(t, s, claim(t, s.Store, 1), newFakeWorkers(t), 1)
	explain := func() engine.PlacementReport {
		r, err := o.ExplainPlacement(context.Background(), job(1))
		g.Expect(err).NotTo(HaveOccurred())
		return r
	}
	g.Expect(explain().Refusal).To(BeNil())
	_, known, err := o.State(context.Background(), job(1).ID, "")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(known).To(BeFalse())

	s.setAway(false, "pumps", StandbyPart("pumps"))
	_ = o.Submit(context.Background(), job(2)) // The owner learns of the failure by its own transactions.
	g.Eventually(explain, 5*time.Second, 20*time.Millisecond).Should(HaveField("Refusal", Equal(&engine.RefusalReport{Reason: "store unavailable", RetryAfterMS: 1000})))
	s.setAway(false)
	g.Eventually(func() error { return o.Submit(context.Background(), job(1)) }, 10*time.Second, 20*time.Millisecond).Should(Succeed())
	g.Expect(explain().Exists).To(BeTrue())
	g.Expect(explain().Refusal).To(BeNil())
}
