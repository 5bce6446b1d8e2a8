package entry

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"samphirepoint/membership"
)

// Guards against a request that is forwarded through a leaving entry, which may reject it, or to an owner that is down.
func TestRelay(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	v := membership.New(membership.Member{ID: "self"}, now, membership.Options{})
	v.Merge([]membership.Report{
		{Member: membership.Member{ID: "a", Leaving: true}},
		{Member: membership.Member{ID: "b"}},
		{Member: membership.Member{ID: "c"}},
		{Member: membership.Member{ID: "down"}, Age: 2 * time.Second},
		{Member: membership.Member{ID: "owner"}},
	}, now)
	s := v.Snapshot(nil, now)
	id, ok := relay(s, "owner", nil, now)
	g.Expect(ok).To(BeTrue())
	g.Expect(id).To(Equal("b"))
	id, ok = relay(s, "owner", []string{"b"}, now)
	g.Expect(ok).To(BeTrue())
	g.Expect(id).To(Equal("c"))
	for _, target := range []string{"down", "unknown"} {
		_, ok = relay(s, target, nil, now)
		g.Expect(ok).To(BeFalse(), target)
	}
}
