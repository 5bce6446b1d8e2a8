package entry

import (
	"context"
	"testing"

	. "github.com/onsi/gomega"

	"samphirepoint/filter"
	"samphirepoint/request"
	"samphirepoint/verdict"
)

// Guards against a cancel that stops another backer's request with the same id, and against a cancel that is lost
// because another entry works on the request.
func TestTrackerCancels(t *testing.T) {
	g := NewWithT(t)
	tr := newTracker()
	track := func(backer string) context.Context {
		ctx, cancel := context.WithCancelCause(context.Background())
		_, ok := tr.track(&filter.Context{Request: &request.Request{ID: "r", Backer: backer}, Forwarded: true}, cancel)
		g.Expect(ok).To(BeTrue())
		return ctx
	}
	a, b := track("a"), track("b")
	_, ok := tr.track(&filter.Context{Request: &request.Request{ID: "r", Backer: "a"}}, nil)
	g.Expect(ok).To(BeFalse(), "the id of a caller's request is in use")

	tr.setForwarded("r", "x")
	to, found := tr.cancel("r", "a")
	g.Expect(found).To(BeTrue())
	g.Expect(to).To(Equal([]string{"x"}))
	g.Expect(a.Err()).NotTo(HaveOccurred())
	tr.cancelHere("r", "a")
	g.Expect(context.Cause(a)).To(MatchError(verdict.ErrCancelled))
	g.Expect(b.Err()).NotTo(HaveOccurred())

	tr.setForwarded("r", "")
	_, found = tr.cancel("r", "c")
	g.Expect(found).To(BeFalse())
	_, found = tr.cancel("r", "b")
	g.Expect(found).To(BeTrue())
	g.Expect(context.Cause(b)).To(MatchError(verdict.ErrCancelled))
}
