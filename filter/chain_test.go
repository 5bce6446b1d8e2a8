package filter

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"samphirepoint/claim"
	"samphirepoint/dispatch"
	"samphirepoint/job"
	"samphirepoint/request"
	"samphirepoint/services/memtable"
	"samphirepoint/standin/workerd"
	"samphirepoint/verdict"
)

const patience = 10 * time.Second

func unreachable(v verdict.Verdict) error {
	return verdict.Wrap(ErrUnreachable, v, http.StatusBadGateway)
}

// Guards against 'not run' for a request whose first submission may have run and whose second one was refused (P4).
func TestRefusalAfterUncertainSubmission(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	w := newWorld(t, 1, 1)
	w.router.owners["p"] = []string{"x", "y"}
	w.peers.answer = func(_ *Context, to Target, _ ForwardOptions) (*Answer, error) {
		if to.ID == "x" {
			return nil, unreachable(verdict.MayHaveRun)
		}
		return nil, verdict.New(verdict.NotRun, http.StatusTooManyRequests, "full")
	}
	c := w.serve(callSpec{body: `{"runMs":1}`})
	g.Expect(w.router.suspects).To(Equal([]string{"x"}))
	g.Expect(c.Verdict()).To(Equal(verdict.MayHaveRun), "error %v", c.Err)
}

// Guards against a dead owner that ends the request: it is submitted to the next owner, here this entry.
func TestOwnerDies(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	w := newWorld(t, 1, 1)
	w.router.owners["p"] = []string{"x"}
	w.peers.answer = func(*Context, Target, ForwardOptions) (*Answer, error) { return nil, unreachable(verdict.MayHaveRun) }
	for _, key := range []string{"", "k"} {
		c := w.serve(callSpec{key: key, body: `{"runMs":1}`})
		g.Expect(c.Err).NotTo(HaveOccurred())
		g.Expect(c.Answer.Status).To(Equal(http.StatusOK))
	}
}

// Guards against a neighbor's death during an overflow that fails a request which still has its place at home.
func TestOverflowToDeadNeighbor(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	w := newWorld(t, 1, 1)
	w.router.owners["o"] = []string{"x"}
	w.peers.answer = func(*Context, Target, ForwardOptions) (*Answer, error) { return nil, unreachable(verdict.MayHaveRun) }
	first := w.begin(callSpec{body: `{"runMs":600}`})
	g.Eventually(w.inUse, patience).Should(Equal(1))
	c := w.serve(callSpec{body: `{"runMs":1}`})
	g.Expect(c.Err).NotTo(HaveOccurred())
	g.Expect(w.peers.calls).To(BeNumerically(">", 0))
	<-first
}

// Guards against two runs or two answers for repeats of a key that arrive while the first is in flight, and
// against a key that is used for another body.
func TestRepeatsAttach(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	w := newWorld(t, 1, 8)
	body := `{"runMs":300}`
	first := w.begin(callSpec{key: "k", body: body})
	g.Eventually(w.starts, patience).Should(Equal(1))
	second := w.begin(callSpec{key: "k", body: body})
	other := w.serve(callSpec{key: "k", body: `{"runMs":1}`})
	g.Expect(verdict.Status(other.Err)).To(Equal(http.StatusUnprocessableEntity))
	g.Expect(other.Verdict()).To(Equal(verdict.NotRun))
	a, b := <-first, <-second
	g.Expect(a.Err).NotTo(HaveOccurred())
	g.Expect(b.Answer.Body).To(Equal(a.Answer.Body))
	g.Expect(b.Answer.Replayed).To(BeTrue())
	late := w.serve(callSpec{key: "k", body: body})
	g.Expect(late.Answer.Body).To(Equal(a.Answer.Body))
	g.Expect(late.Answer.Replayed).To(BeTrue())
	g.Expect(w.starts()).To(Equal(1))
}

// Guards against two entries that take each other for the owner and wait for each other's request.
func TestForwardedRepeatDoesNotWaitForARequestElsewhere(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	w := newWorld(t, 1, 8)
	w.router.owners["p"] = []string{"peer"}
	release := make(chan *Answer)
	w.peers.answer = func(*Context, Target, ForwardOptions) (*Answer, error) { return <-release, nil }
	first := w.begin(callSpec{key: "k", body: `{"runMs":1}`})
	g.Eventually(func() int { w.peers.mu.Lock(); defer w.peers.mu.Unlock(); return w.peers.calls }, patience).Should(Equal(1))
	forwarded := w.serve(callSpec{key: "k", body: `{"runMs":1}`, forwarded: true, headers: map[string]string{request.HeaderDeadline: "2s"}})
	g.Expect(forwarded.Err).NotTo(HaveOccurred())
	release <- forwarded.Answer
	g.Expect((<-first).Err).NotTo(HaveOccurred())
	g.Expect(w.starts()).To(Equal(1))
}

// Guards against a claim whose holder forwards the request to the pool's next owner, which then waits for the holder.
func TestHolderOfAClaimDoesNotForward(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	w := newWorld(t, 1, 1)
	w.peers.answer = func(*Context, Target, ForwardOptions) (*Answer, error) {
		return nil, verdict.New(verdict.MayHaveRun, http.StatusConflict, "forwarded with a claim")
	}
	g.Expect(w.workers[0].SetMode(workerd.Mode{Mode: workerd.Refuse})).To(Succeed())
	done := w.begin(callSpec{key: "k", body: `{"runMs":1}`})
	refused := func() bool {
		for _, e := range w.workers[0].Journal(0) {
			if e.Kind == workerd.Refused {
				return true
			}
		}
		return false
	}
	g.Eventually(refused, patience).Should(BeTrue())
	w.scheduler.SetFleet(dispatch.Fleet{Owned: map[string]bool{}, Leaving: func(string) bool { return false }})
	w.router.mu.Lock()
	w.router.owners["p"] = []string{"x"}
	w.router.mu.Unlock()
	var c *Context
	g.Eventually(done, patience).Should(Receive(&c), "a claim is held no longer than its send window")
	g.Expect(w.peers.calls).To(BeZero())
	g.Expect(c.Verdict()).To(Equal(verdict.NotRun), "error %v", c.Err)
}

// Guards against a repeat that runs after the process that claimed its key is gone, or that does not
// reach the process that is alive.
func TestClaimOfAnotherProcess(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	w := newWorld(t, 1, 1)
	other := claim.NewStore(w.table, &memtable.Objects{}, "x")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go other.Run(ctx)
	body := `{"runMs":1}`
	taken, err := other.Acquire(ctx, claim.RowKey("b", "q", "k", time.Time{}), request.BodyHash([]byte(body)))
	g.Expect(err).NotTo(HaveOccurred())

	c := w.serve(callSpec{key: "k", body: body})
	g.Expect(verdict.Status(c.Err)).To(Equal(http.StatusConflict))
	g.Expect(c.Verdict()).To(Equal(verdict.MayHaveRun))

	w.router.alive["x"] = true
	var options ForwardOptions
	w.peers.answer = func(_ *Context, _ Target, o ForwardOptions) (*Answer, error) {
		options = o
		return &Answer{Status: 200, Body: []byte("its answer")}, nil
	}
	c = w.serve(callSpec{key: "k", body: body})
	g.Expect(c.Err).NotTo(HaveOccurred())
	g.Expect(options.Attach).To(BeTrue())
	g.Expect(string(c.Answer.Body)).To(Equal("its answer"))

	w.peers.answer = func(*Context, Target, ForwardOptions) (*Answer, error) {
		other.Finish(taken, claim.Outcome{Verdict: "ran", Status: 200, Body: []byte("recorded")})
		return nil, verdict.New(verdict.MayHaveRun, http.StatusConflict, "not in flight any more")
	}
	c = w.serve(callSpec{key: "k", body: body})
	g.Expect(c.Err).NotTo(HaveOccurred(), "the request ended while the repeat was under way")
	g.Expect(string(c.Answer.Body)).To(Equal("recorded"))
	g.Expect(w.starts()).To(BeZero())
	g.Eventually(w.inUse, patience).Should(BeZero())
}

// Guards against a wrong verdict on a cancel, and a slot that is free before the worker has confirmed the stop.
func TestCancel(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	w := newWorld(t, 1, 1)
	running := w.begin(callSpec{id: "running", body: `{"runMs":60000}`})
	g.Eventually(w.starts, patience).Should(Equal(1))
	waiting := w.begin(callSpec{id: "waiting", body: `{"runMs":1}`, headers: map[string]string{request.HeaderClass: "short"}})
	g.Eventually(func() int { return w.scheduler.Usage()["p"].Waiting }, patience).Should(Equal(1))
	w.cancel("waiting", verdict.ErrCancelled)
	c := <-waiting
	g.Expect(c.Err).To(MatchError(verdict.ErrCancelled))
	g.Expect(c.Verdict()).To(Equal(verdict.NotRun))

	w.cancel("running", verdict.ErrCancelled)
	c = <-running
	g.Expect(c.Err).To(MatchError(verdict.ErrCancelled))
	g.Expect(c.Verdict()).To(Equal(verdict.MayHaveRun))
	g.Eventually(w.inUse, patience).Should(BeZero())
	g.Expect(w.workers[0].Status().Running).To(BeEmpty(), "the slot is free after the worker's stop")
	g.Expect(w.starts()).To(Equal(1))
}

// Guards against a non-idempotent request that is cut off, or not recorded, because its caller went away.
func TestCallerOfNonIdempotentRequestGoesAway(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	w := newWorld(t, 1, 1)
	ctx, leave := context.WithCancel(context.Background())
	body := `{"runMs":200}`
	done := w.begin(callSpec{key: "k", body: body, ctx: ctx})
	g.Eventually(w.starts, patience).Should(Equal(1))
	leave()
	g.Expect((<-done).Err).NotTo(HaveOccurred())
	c := w.serve(callSpec{key: "k", body: body})
	g.Expect(c.Answer.Replayed).To(BeTrue())
	g.Expect(w.starts()).To(Equal(1))
}

// Guards against a request that waits beyond its deadline, or runs after it.
func TestDeadlineWhileWaiting(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	w := newWorld(t, 1, 1)
	first := w.begin(callSpec{id: "first", body: `{"runMs":60000}`})
	g.Eventually(w.starts, patience).Should(Equal(1))
	c := w.serve(callSpec{body: `{"runMs":1}`, headers: map[string]string{request.HeaderDeadline: "150ms", request.HeaderClass: "short"}})
	g.Expect(c.Verdict()).To(Equal(verdict.NotRun))
	g.Expect(verdict.Status(c.Err)).To(BeElementOf(http.StatusGatewayTimeout, http.StatusTooManyRequests))
	w.cancel("first", verdict.ErrCancelled)
	<-first
	g.Expect(w.starts()).To(Equal(1))
}

// Guards against retries that are not allowed and against a request that fails everywhere and never ends.
func TestFailuresEnd(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	w := newWorld(t, 5, 1)
	c := w.serve(callSpec{body: `{"neverRuns":true}`})
	g.Expect(c.Err).NotTo(HaveOccurred())
	g.Expect(c.Answer.Status).To(Equal(http.StatusInternalServerError))
	g.Expect(w.starts()).To(Equal(3), "three different workers")
	c = w.serve(callSpec{key: "k", body: `{"neverRuns":true}`})
	g.Expect(c.Answer.Status).To(Equal(http.StatusInternalServerError))
	g.Expect(w.starts()).To(Equal(4), "one run of a non-idempotent request")
	c = w.serve(callSpec{key: "k", body: `{"neverRuns":true}`})
	g.Expect(c.Answer.Replayed).To(BeTrue())
	g.Expect(c.Answer.Status).To(Equal(http.StatusInternalServerError))
}

// Guards against non-idempotent work that starts while its claim cannot be written, and idempotent work that stops.
func TestTableDown(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	w := newWorld(t, 1, 1)
	w.table.SetHook(func(memtable.Call) memtable.Fault { return memtable.Fault{ErrBefore: verdict.Unavailable(0, "down")} })
	c := w.serve(callSpec{key: "k", body: `{"runMs":1}`})
	g.Expect(c.Verdict()).To(Equal(verdict.NotRun))
	g.Expect(verdict.Status(c.Err)).To(Equal(http.StatusServiceUnavailable))
	g.Expect(verdict.RetryAfter(c.Err)).To(BeNumerically(">", 0))
	g.Expect(w.starts()).To(BeZero())
	g.Expect(w.serve(callSpec{body: `{"runMs":1}`}).Err).NotTo(HaveOccurred())
}

// Guards against a claim that keeps its key after a refusal: a repeat right after the answer runs.
func TestRepeatAfterRefusalRuns(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	w := newWorld(t, 1, 1)
	g.Expect(w.workers[0].SetMode(workerd.Mode{Mode: workerd.Refuse})).To(Succeed())
	c := w.serve(callSpec{key: "k", body: `{"runMs":1}`, headers: map[string]string{request.HeaderDeadline: "300ms"}})
	g.Expect(c.Verdict()).To(Equal(verdict.NotRun), "error %v", c.Err)
	g.Expect(w.workers[0].SetMode(workerd.Mode{Mode: workerd.Normal})).To(Succeed())
	c = w.serve(callSpec{key: "k", body: `{"runMs":1}`})
	g.Expect(c.Err).NotTo(HaveOccurred())
	g.Expect(w.starts()).To(Equal(1))
}

// pausing stands between claim and dispatch and takes longer than the send window.
type pausing struct{}

func (pausing) Name() string { return "pausing" }

func (pausing) Request(c *Context) error {
	c.Claim.AcquiredAt = c.Claim.AcquiredAt.Add(-claim.SendWindow)
	return nil
}

func (pausing) Response(*Context) {}

// Guards against a request that is sent by an owner which was paused after its claim: by then its receiver has
// gone to the next owner.
func TestPausedOwnerDoesNotSend(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	w := newWorld(t, 1, 1)
	awake := w.chain
	w.chain = append(append(Chain{}, awake[:5]...), pausing{}, awake[5])
	begin := time.Now()
	c := w.serve(callSpec{key: "k", body: `{"runMs":1}`})
	g.Expect(c.Verdict()).To(Equal(verdict.NotRun), "error %v", c.Err)
	g.Expect(time.Since(begin)).To(BeNumerically("<", claim.SendWindow), "no repeats of an attempt that is too late")
	g.Expect(w.starts()).To(BeZero())
	g.Expect(w.inUse()).To(BeZero())
	w.chain = awake
	g.Expect(w.serve(callSpec{key: "k", body: `{"runMs":1}`}).Err).NotTo(HaveOccurred())
}

// Guards against a repeat of a job's key that starts the job again.
func TestJobIsReplayedByKey(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	w := newWorld(t, 0, 0)
	notices := 0
	w.chain = Chain{Identification{EntryID: "self", Track: w.track, Job: true}, AcceptJob{
		Store:  &job.Store{Table: w.table, Objects: &memtable.Objects{}, Now: time.Now},
		Notice: func(context.Context, *job.Record) { notices++ },
	}}
	first, second := w.serve(callSpec{key: "k", body: "{}"}), w.serve(callSpec{key: "k", body: "{}"})
	g.Expect(first.Err).NotTo(HaveOccurred())
	g.Expect(second.Answer.Replayed).To(BeTrue())
	g.Expect(second.Job.ID).To(Equal(first.Job.ID))
	g.Expect(notices).To(Equal(1))
	other := w.serve(callSpec{key: "k", body: "[]"})
	g.Expect(verdict.Status(other.Err)).To(Equal(http.StatusUnprocessableEntity))
	g.Expect(other.Verdict()).To(Equal(verdict.NotRun))
}

// Guards against an answer that is cut or swapped and reaches the caller, and a second run of a key.
func TestBrokenAnswerOfNonIdempotentRequest(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	w := newWorld(t, 2, 1)
	for _, s := range w.workers {
		g.Expect(s.SetMode(workerd.Mode{Mode: workerd.Truncate})).To(Succeed())
	}
	c := w.serve(callSpec{key: "k", body: `{"runMs":1}`})
	g.Expect(c.Verdict()).To(Equal(verdict.MayHaveRun))
	again := w.serve(callSpec{key: "k", body: `{"runMs":1}`})
	g.Expect(again.Verdict()).To(Equal(verdict.MayHaveRun))
	g.Expect(w.starts()).To(Equal(1))
}

// Guards against bad input that reaches a worker or is answered without a verdict.
func TestBadInput(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 1, 1)
	header := func(k, v string) callSpec { return callSpec{headers: map[string]string{k: v}} }
	at := func(d time.Duration) string { return time.Now().Add(d).Format(time.RFC3339) }
	cases := map[string]callSpec{
		"idempotent":        header(request.HeaderIdempotent, "maybe"),
		"key missing":       header(request.HeaderIdempotent, "false"),
		"class":             header(request.HeaderClass, "fast"),
		"deadline":          header(request.HeaderDeadline, "soon"),
		"deadline negative": header(request.HeaderDeadline, "-1s"),
		"deadline too long": header(request.HeaderDeadline, "2h"),
		"id with slash":     header(request.HeaderRequestID, "a/b"),
		"id of dots":        header(request.HeaderRequestID, ".."),
		"id too long":       header(request.HeaderRequestID, strings.Repeat("x", 201)),
		"kind with space":   header(request.HeaderKind, "a b"),
		"issued":            header(request.HeaderIdempotencyIssued, "yesterday"),
		"issued too early":  header(request.HeaderIdempotencyIssued, at(-claim.MaxIssueAge-time.Minute)),
		"issued too late":   header(request.HeaderIdempotencyIssued, at(claim.Retention-claim.MaxIssueAge+time.Minute)),
	}
	for name, spec := range cases {
		g := NewWithT(t)
		c := w.serve(spec)
		g.Expect(verdict.Status(c.Err)).To(Equal(http.StatusBadRequest), name)
		g.Expect(c.Verdict()).To(Equal(verdict.NotRun), name)
	}
	g := NewWithT(t)
	c := w.context(callSpec{})
	c.HTTP.Body = http.MaxBytesReader(nil, errorBody{}, 10)
	w.chain.Serve(c)
	g.Expect(verdict.Status(c.Err)).To(Equal(http.StatusBadRequest))
	g.Expect(c.Verdict()).To(Equal(verdict.NotRun))
	g.Expect(w.starts()).To(BeZero())
}

// errorBody is a body whose sender goes away.
type errorBody struct{}

func (errorBody) Read([]byte) (int, error) { return 0, errors.New("connection reset") }

func (errorBody) Close() error { return nil }
