package cluster

import (
	"context"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against giving up a pool that has come back to this daemon while the response to its transfer was on its way.
func TestTransferReleasesOnlyTheTransferredTerm(t *testing.T) {
	g := NewWithT(t)
	p := newPair(t)
	p.observe()
	a := p.nodes[0]
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g.Expect(a.claimPool(ctx, "pumps")).To(Succeed())
	transferred := a.owned["pumps"]
	g.Expect(p.nodes[1].claimPool(ctx, "pumps")).To(Succeed())
	g.Expect(a.claimPool(ctx, "pumps")).To(Succeed())
	a.release("pumps", transferred)
	g.Expect(a.owned).To(HaveKey("pumps"))
	g.Expect(a.owned["pumps"].Token()).To(Equal(int64(3)))
}
