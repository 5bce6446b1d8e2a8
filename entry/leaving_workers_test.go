package entry

import (
	"testing"

	. "github.com/onsi/gomega"

	"samphirepoint/instance"
	"samphirepoint/membership"
	"samphirepoint/peer"
	"samphirepoint/standin/workerd"
)

// Guards against a leaving worker that gets work again because another worker, which has its former address, accepts work.
func TestWorkerIsAvailableOnItsOwnWordOnly(t *testing.T) {
	g := NewWithT(t)
	s := workerd.New(workerd.Options{ID: "w1"})
	g.Expect(s.Start("127.0.0.1:0")).To(Succeed())
	defer s.Close()
	e := &Entry{gossip: peer.New(peer.Config{Self: membership.Member{ID: "e1"}}), control: &control{wakeSignal: make(chan struct{}, 1)}}
	for _, id := range []string{"w1", "w2"} {
		e.gossip.MarkLeaving(id)
		e.checkAvailable(t.Context(), instance.Instance{ID: id, Address: s.Address()})
	}
	g.Expect(e.gossip.Leaving("w1")).To(BeFalse())
	g.Expect(e.gossip.Leaving("w2")).To(BeTrue(), "w1 answers at its former address")
}
