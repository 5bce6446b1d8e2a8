package cluster

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
)

// Guards against callers being sent to a daemon that a network partition separates from most others, and against the daemon
// staying out of rotation after the partition has healed because no caller's request makes it contact the others.
func TestDaemonDetectsItsIsolation(t *testing.T) {
	g := NewWithT(t)
	now := time.Minute
	n := NewNode(Settings{Name: "a", Log: zerolog.Nop(), Now: func() time.Duration { return now }})
	others := NewNode(Settings{Name: "b", Log: zerolog.Nop(), Now: n.settings.Now})
	server := httptest.NewServer(others.PeerHandler())
	defer server.Close()
	members := []Member{member("a", 1), member("b", 1), member("c", 1), member("d", 1), member("e", 1)}
	for i := range members {
		members[i].Address = strings.TrimPrefix(server.URL, "http://")
	}
	n.view.Observe(members, true, now)
	g.Expect(n.Isolated()).To(BeFalse())
	loseContact := func(nodes ...string) {
		for _, node := range nodes {
			n.recordReachability(node, maxAnswerTime, context.DeadlineExceeded)
		}
	}
	loseContact("b", "c")
	g.Expect(n.Isolated()).To(BeFalse(), "two of four are unreachable")
	loseContact("d")
	g.Expect(n.Isolated()).To(BeTrue())
	n.pingUnreachable(context.Background())
	g.Eventually(n.Isolated, "10s").Should(BeFalse(), "they respond again")

	now += 2 * deadAfter
	n.view.Observe([]Member{member("a", 2), member("b", 2), member("e", 2)}, false, now)
	loseContact("c", "d")
	g.Expect(n.Isolated()).To(BeFalse(), "the unreachable daemons are dead")
}

// Guards against a daemon that takes its own lateness for a failure of the others, rejects its callers' requests for them and takes
// itself out of rotation.
func TestLateDaemonDoesNotTakeOthersForUnreachable(t *testing.T) {
	g := NewWithT(t)
	now, late := time.Minute, true
	n := NewNode(Settings{Name: "a", Log: zerolog.Nop(), Now: func() time.Duration { return now }, Late: func() bool { return late }})
	n.view.Observe([]Member{member("a", 1), member("b", 1), member("c", 1)}, true, now)
	for _, node := range []string{"b", "c"} {
		n.recordReachability(node, maxAnswerTime, context.DeadlineExceeded)
	}
	g.Expect(n.Isolated()).To(BeFalse())
	g.Expect(n.recentlyUnreachable("b")).To(BeFalse())
	late = false
	for _, node := range []string{"b", "c"} {
		n.recordReachability(node, maxAnswerTime, context.DeadlineExceeded)
	}
	g.Expect(n.Isolated()).To(BeTrue())
}
