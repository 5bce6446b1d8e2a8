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

// Guards against a repeat that waits for itself until its deadline: it is forwarded to the owner of the pool, which finds a
// claim of this entry without a recorded outcome and asks this entry to attach the repeat.
func TestRepeatDoesNotWaitForItself(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	w := newHarness(t, 1, 1)
	body := `{"runMs":1}`
	_, err := w.claims.Acquire(context.Background(), claim.RowKey("b", "q", "k", time.Time{}), request.BodyHash([]byte(body)))
	g.Expect(err).NotTo(HaveOccurred())
	w.router.owners["p"] = []string{"o"}
	w.peers.answer = func(*Context, Target, ForwardOptions) (*Answer, error) {
		c := w.context(testRequest{key: "k", body: body, forwarded: true})
		c.Attach = true
		w.chain.Serve(c)
		return c.Answer, c.Err
	}
	begin := time.Now()
	c := w.serve(testRequest{key: "k", body: body, headers: map[string]string{request.HeaderDeadline: "5s"}})
	g.Expect(c.Verdict()).To(Equal(verdict.MayHaveRun))
	g.Expect(verdict.Status(c.Err)).To(Equal(http.StatusConflict), "error %v", c.Err)
	g.Expect(time.Since(begin)).To(BeNumerically("<", 4*time.Second))
	g.Expect(w.starts()).To(BeZero())
}

// Guards against the verdict may-have-run for a repeat while the first request runs at this entry: two entries forward the
// key to each other, and a repeat of a third one passes the request that waits for the other entry.
func TestRepeatAttachesToHolderOfClaim(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	w := newHarness(t, 2, 1)
	w.router.owners["p"] = []string{"peer"}
	body := `{"runMs":500}`
	release := make(chan *Answer)
	w.peers.answer = func(*Context, Target, ForwardOptions) (*Answer, error) { return <-release, nil }
	waiting := w.begin(testRequest{key: "k", body: body})
	g.Eventually(func() int { w.peers.mu.Lock(); defer w.peers.mu.Unlock(); return w.peers.calls }, testTimeout).Should(Equal(1))
	running := w.begin(testRequest{key: "k", body: body, forwarded: true})
	g.Eventually(w.starts, testTimeout).Should(Equal(1))
	repeat := w.serve(testRequest{key: "k", body: body, forwarded: true})
	g.Expect(repeat.Err).NotTo(HaveOccurred())
	g.Expect(repeat.Answer.Replayed).To(BeTrue())
	first := <-running
	g.Expect(first.Err).NotTo(HaveOccurred())
	g.Expect(repeat.Answer.Body).To(Equal(first.Answer.Body))
	release <- first.Answer
	g.Expect((<-waiting).Err).NotTo(HaveOccurred())
	g.Expect(w.starts()).To(Equal(1))
}

// Guards against a caller that gets no answer because the reply at its deadline waits for a table that doesn't answer.
func TestAnswerAtTheDeadlineDoesNotWaitForTheTable(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	w := newHarness(t, 1, 1)
	const deadline = 300 * time.Millisecond
	done := w.begin(testRequest{key: "k", body: `{"runMs":5000}`, headers: map[string]string{request.HeaderDeadline: deadline.String()}})
	began := time.Now()
	g.Eventually(w.starts, testTimeout).Should(Equal(1))
	w.table.SetHook(func(memtable.Call) memtable.Fault { return memtable.Fault{ErrBefore: verdict.Unavailable(0, "down")} })
	c := <-done
	g.Expect(time.Since(began)).To(BeNumerically("<", deadline+claim.RecordTimeout/2))
	g.Expect(c.Verdict()).To(Equal(verdict.MayHaveRun))
	w.table.SetHook(nil)
	g.Eventually(w.inUse, testTimeout).Should(BeZero())
}
