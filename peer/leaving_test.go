package peer

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"samphirepoint/membership"
)

// Guards against a worker that gets no work for a minute after a drain, and against an outdated update from a peer that
// marks it as leaving again.
func TestClearedWorkerStaysAvailableUntilLaterUpdate(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	gossip := New(Config{Self: membership.Member{ID: "a"}, Now: func() time.Time { return now }})
	gossip.MarkLeaving("w")
	g.Expect(gossip.Leaving("w")).To(BeTrue())
	gossip.ClearLeaving("w", now)
	g.Expect(gossip.Leaving("w")).To(BeTrue(), "the worker's report is not later than the mark")

	markedAt := now
	now = now.Add(2 * time.Second)
	gossip.ClearLeaving("w", now)
	g.Expect(gossip.Leaving("w")).To(BeFalse())
	gossip.mu.Lock()
	gossip.markLeaving("w", markedAt, now) // as passed on by a peer
	gossip.mu.Unlock()
	g.Expect(gossip.Leaving("w")).To(BeFalse())

	now = now.Add(time.Second)
	gossip.MarkLeaving("w")
	g.Expect(gossip.Leaving("w")).To(BeTrue())
}
