package peer

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"samphirepoint/membership"
)

// Guards against a worker that gets no work for a minute after a drain, and against old news from a peer that takes
// it out again.
func TestWorkerThatIsBackStaysBackUntilLaterNews(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	gossip := New(Config{Self: membership.Member{ID: "a"}, Now: func() time.Time { return now }})
	gossip.MarkLeaving("w")
	g.Expect(gossip.Leaving("w")).To(BeTrue())
	gossip.ClearLeaving("w", now)
	g.Expect(gossip.Leaving("w")).To(BeTrue(), "asked before it was found to be leaving")

	left := now
	now = now.Add(2 * time.Second)
	gossip.ClearLeaving("w", now)
	g.Expect(gossip.Leaving("w")).To(BeFalse())
	gossip.mu.Lock()
	gossip.noteLeaving("w", left, now) // as passed on by a peer
	gossip.mu.Unlock()
	g.Expect(gossip.Leaving("w")).To(BeFalse())

	now = now.Add(time.Second)
	gossip.MarkLeaving("w")
	g.Expect(gossip.Leaving("w")).To(BeTrue())
}
