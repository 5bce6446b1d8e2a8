package cluster

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against rows of daemons that have gone for good: after all daemons had been restarted, the pools of such a row counted as
// owned until it had stood still for 1.7 s, and nobody took them.
func TestRowsOfDeadMembersGo(t *testing.T) {
	g := NewWithT(t)
	p := newPair(t)
	a, b := p.nodes[0], p.nodes[1]
	b.owned["pumps"] = tenure{}
	b.writeBeat(context.Background())
	p.look()
	g.Expect(a.Alive()).To(HaveLen(2))

	step := func(d time.Duration) {
		p.now.Add(int64(d))
		a.writeBeat(context.Background())
		g.Expect(a.observe(context.Background())).To(BeTrue())
		a.forgetDead(context.Background())
	}
	left := func() int {
		list, _, err := a.readAllMembers(context.Background())
		g.Expect(err).NotTo(HaveOccurred())
		return len(list)
	}
	for range 8 {
		step(500 * time.Millisecond)
	}
	g.Expect(a.Alive()).To(HaveLen(1), "b is dead")
	g.Expect(left()).To(Equal(2), "its row stays for a while")
	for range 8 {
		step(500 * time.Millisecond)
	}
	g.Expect(left()).To(Equal(1))
	step(500 * time.Millisecond)
	g.Expect(a.view.members).To(HaveLen(1))

	b.writeBeat(context.Background())
	step(500 * time.Millisecond)
	g.Expect(a.Alive()).To(HaveLen(2), "a daemon that was only away is back with its next beat")
}

// tenure is an ownership that does nothing.
type tenure struct{}

func (tenure) Token() int64 { return 1 }
func (tenure) Run() error   { return nil }
func (tenure) Stop()        {}
