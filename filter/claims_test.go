package filter

import (
	"context"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"samphirepoint/claim"
	"samphirepoint/request"
	"samphirepoint/services/memtable"
	"samphirepoint/verdict"
)

// claimElsewhere claims the key k for a request with the given body in the name of process x.
func (w *harness) claimElsewhere(body string) (*claim.Store, *claim.Claim) {
	w.t.Helper()
	other := claim.NewStore(w.table, &memtable.Objects{}, "x")
	ctx, cancel := context.WithCancel(context.Background())
	w.t.Cleanup(cancel)
	go other.Run(ctx)
	taken, err := other.Acquire(ctx, claim.RowKey("b", "q", "k", time.Time{}), request.BodyHash([]byte(body)))
	NewWithT(w.t).Expect(err).NotTo(HaveOccurred())
	return other, taken
}

// Guards against a resubmission that runs again after the process that claimed its key terminated, or that is not attached
// to the request in flight at that process while it is alive.
func TestClaimOfAnotherProcess(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	w := newHarness(t, 1, 1)
	body := `{"runMs":1}`
	other, taken := w.claimElsewhere(body)

	c := w.serve(testRequest{key: "k", body: body})
	g.Expect(verdict.Status(c.Err)).To(Equal(http.StatusConflict))
	g.Expect(c.Verdict()).To(Equal(verdict.MayHaveRun))

	w.router.alive["x"] = true
	var options ForwardOptions
	w.peers.answer = func(_ *Context, _ Target, o ForwardOptions) (*Answer, error) {
		options = o
		return &Answer{Status: 200, Body: []byte("its answer")}, nil
	}
	c = w.serve(testRequest{key: "k", body: body})
	g.Expect(c.Err).NotTo(HaveOccurred())
	g.Expect(options.Attach).To(BeTrue())
	g.Expect(string(c.Answer.Body)).To(Equal("its answer"))

	w.peers.answer = func(*Context, Target, ForwardOptions) (*Answer, error) {
		other.Finish(taken, claim.Outcome{Verdict: "ran", Status: 200, Body: []byte("recorded")})
		return nil, verdict.New(verdict.MayHaveRun, http.StatusConflict, "no longer in flight")
	}
	c = w.serve(testRequest{key: "k", body: body})
	g.Expect(c.Err).NotTo(HaveOccurred(), "the request ended while its resubmission was being forwarded")
	g.Expect(string(c.Answer.Body)).To(Equal("recorded"))
	g.Expect(w.starts()).To(BeZero())
	g.Eventually(w.inUse, testTimeout).Should(BeZero())
}

// Guards against the verdict may-have-run for a resubmission whose first request was rejected as not run while the
// resubmission was being forwarded to it.
func TestClaimReleasedByAnotherProcess(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	w := newHarness(t, 1, 1)
	body := `{"runMs":1}`
	other, taken := w.claimElsewhere(body)
	w.router.alive["x"] = true
	w.peers.answer = func(*Context, Target, ForwardOptions) (*Answer, error) {
		other.Release(taken)
		return nil, verdict.Unavailable(0, "no worker accepted the request")
	}
	c := w.serve(testRequest{key: "k", body: body})
	g.Expect(c.Verdict()).To(Equal(verdict.NotRun), "error %v", c.Err)
	g.Expect(verdict.Status(c.Err)).To(Equal(http.StatusServiceUnavailable))
	c = w.serve(testRequest{key: "k", body: body})
	g.Expect(c.Err).NotTo(HaveOccurred())
	g.Expect(w.starts()).To(Equal(1))
}
