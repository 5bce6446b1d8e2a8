package filter

import (
	"context"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"samphirepoint/dispatch"
	"samphirepoint/verdict"
)

// fullPool is a Slots without a free slot.
type fullPool struct{}

func (fullPool) Acquire(context.Context, dispatch.SlotRequest) (*dispatch.Grant, error) {
	return nil, verdict.New(verdict.NotRun, http.StatusTooManyRequests, "queue is full")
}

func (fullPool) OverflowResult(string, string, bool) {}

// Guards against a worker's answer that is lost, with the verdict may-have-run in its place, because the retry after it got
// no slot.
func TestFailedAnswerOutlastsRejectedRetry(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	w := newHarness(t, 1, 1)
	w.chain[5] = NewDispatch("self", Queue{Slots: fullPool{}}, unlimitedRetries{}, unlimitedRetries{})
	c := w.serve(testRequest{body: `{"neverRuns":true}`})
	g.Expect(c.Err).NotTo(HaveOccurred())
	g.Expect(c.Answer.Status).To(Equal(http.StatusInternalServerError))
	g.Expect(w.starts()).To(Equal(1))
}
