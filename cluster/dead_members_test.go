package cluster

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against stale rows of terminated daemons: after a restart of all daemons, the pools in such a row counted as owned
// until the row had been unchanged for 1.7 s, and no daemon claimed them.
func TestRowsOfDeadMembersAreRemoved(t *testing.T) {
	g := NewWithT(t)
	p := newPair(t)
	a, b := p.nodes[0], p.nodes[1]
	b.owned["pumps"] = idleTerm{}
	b.writeHeartbeat(context.Background())
	p.observe()
	g.Expect(a.Alive()).To(HaveLen(2))

	step := func(d time.Duration) {
		p.now.Add(int64(d))
		a.writeHeartbeat(context.Background())
		g.Expect(a.observe(context.Background())).To(BeTrue())
		a.removeDeadMembers(context.Background())
	}
	rowCount := func() int {
		list, _, err := a.readAllMembers(context.Background())
		g.Expect(err).NotTo(HaveOccurred())
		return len(list)
	}
	for range 8 {
		step(500 * time.Millisecond)
	}
	g.Expect(a.Alive()).To(HaveLen(1), "b is dead")
	g.Expect(rowCount()).To(Equal(2), "its row is kept until the retention time has passed")
	for range 8 {
		step(500 * time.Millisecond)
	}
	g.Expect(rowCount()).To(Equal(1))
	step(500 * time.Millisecond)
	g.Expect(a.view.members).To(HaveLen(1))

	b.writeHeartbeat(context.Background())
	step(500 * time.Millisecond)
	g.Expect(a.Alive()).To(HaveLen(2), "a daemon that was only unavailable is alive again with its next heartbeat")
}

// idleTerm is a Term that does nothing.
type idleTerm struct{}

func (idleTerm) Token() int64 { return 1 }
func (idleTerm) Run() error   { return nil }
func (idleTerm) Stop()        {}
