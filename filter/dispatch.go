package filter

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"samphirepoint/claim"
	"samphirepoint/dispatch"
	"samphirepoint/request"
	"samphirepoint/retry"
	"samphirepoint/sleep"
	"samphirepoint/verdict"
	"samphirepoint/worker"
)

const (
	// cannotRunAfter is the number of different workers on which a request must fail to be considered unable to run.
	cannotRunAfter = 3
)

// Retries decides whether a failed attempt is repeated.
type Retries interface {
	Decide(now time.Time, pool string, a retry.Attempt) retry.Decision
	// Success records a successful attempt, which adds to the pool's retry budget.
	Success(now time.Time, pool string)
}

// LeavingRecorder records which workers are leaving.
type LeavingRecorder interface {
	MarkLeaving(workerID string)
}

// Dispatch sends the request to the granted worker, and to other workers while retries are allowed.
type Dispatch struct {
	EntryID    string
	Queue      Queue
	Retries    Retries
	Leaving    LeavingRecorder
	attemptSeq atomic.Uint64
	started    int64
}

// NewDispatch returns the last filter of the chain. entryID is part of the id of each attempt.
func NewDispatch(entryID string, q Queue, r Retries, l LeavingRecorder) *Dispatch {
	return &Dispatch{EntryID: entryID, Queue: q, Retries: r, Leaving: l, started: time.Now().UnixMilli()}
}

// Name implements Filter.
func (*Dispatch) Name() string { return "dispatch" }

// attemptHistory records the attempts of one request in Dispatch.
type attemptHistory struct {
	// started counts the attempts that may have run, resends those that were rejected as not run.
	started, resends int
	// failedOn lists the workers that ran the request and answered with a server error.
	failedOn []string
	exclude  []string
	expected time.Duration
	// worker is the worker of the last attempt.
	worker string
	// sendWindowPassed is set when the claim is too old for another attempt.
	sendWindowPassed bool
}

// Request implements Filter.
func (f *Dispatch) Request(c *Context) error {
	var history attemptHistory
	for {
		answer, err := f.attempt(c, &history)
		if err == nil && !failed(answer) {
			f.Retries.Success(time.Now(), c.Request.Pool)
			c.Answer = answer
			return nil
		}
		if retryable := f.shouldRetry(c, &history, answer, err); !retryable {
			return f.finalResult(c, &history, answer, err)
		}
		grant, err := f.nextGrant(c, &history)
		if err != nil && answer != nil {
			c.Log.Info().Str("pool", c.Request.Pool).Err(err).Str("reason", "retry was rejected").Msg("answer of the failed attempt returned")
			c.Answer = answer
			return nil
		}
		if err != nil || grant == nil {
			return c.downgradeVerdict(err)
		}
		c.Grant = grant
	}
}

// nextGrant waits for a slot for another attempt. With a claim it waits no longer than until the end of the claim's send
// window.
func (f *Dispatch) nextGrant(c *Context, history *attemptHistory) (*dispatch.Grant, error) {
	if c.Claim == nil {
		return f.Queue.acquire(c, history.exclude)
	}
	requestCtx := c.Ctx
	ctx, cancel := context.WithDeadline(requestCtx, c.Claim.SendBy())
	defer cancel()
	c.Ctx = ctx
	grant, err := f.Queue.acquire(c, history.exclude)
	c.Ctx = requestCtx
	if err != nil && ctx.Err() != nil && requestCtx.Err() == nil {
		err = errSendWindowPassed()
	}
	return grant, err
}

func errSendWindowPassed() error {
	return verdict.Unavailable(time.Second, "no worker accepted the request within %s of its claim", claim.SendWindow)
}

// failed reports whether the answer is a server error of the worker.
func failed(a *Answer) bool { return a != nil && a.Status >= http.StatusInternalServerError }

// attempt sends the request to one worker, and hedges with a second worker if the first takes far longer than expected.
func (f *Dispatch) attempt(c *Context, history *attemptHistory) (*Answer, error) {
	grant := c.Grant
	c.Grant, history.worker = nil, grant.Worker
	if c.Claim != nil && !c.Claim.InWindow(time.Now()) {
		grant.Release(dispatch.Result{Outcome: dispatch.NotSent})
		history.sendWindowPassed = true
		return nil, errSendWindowPassed()
	}
	// A fault that stalled a pooled connection to one worker may have stalled those to others, so a retry opens a new one.
	// Non-idempotent work always does.
	fresh := !c.Request.Idempotent || history.started > 0
	delay, hedged := hedgeAfter(c, grant, history)
	if !hedged {
		return f.recordAttempt(c, history, f.send(c.Ctx, c, grant, fresh))
	}
	return f.hedge(c, history, grant, delay)
}

// attemptResult is the result of sending a request to a worker once.
type attemptResult struct {
	grant  *dispatch.Grant
	answer *Answer
	err    error
}

// send sends the request to the granted worker and releases the slot. It does not modify c, so that two calls may run
// concurrently.
func (f *Dispatch) send(ctx context.Context, c *Context, grant *dispatch.Grant, fresh bool) attemptResult {
	id := fmt.Sprintf("%s-%d-%d", f.EntryID, f.started, f.attemptSeq.Add(1))
	c.Log.Info().Str("pool", c.Request.Pool).Str("worker", grant.Worker).Str("attempt", id).
		Dur("waited", grant.Waited).Str("reason", grant.Reason).Msg("request placed")
	sentAt := time.Now()
	answer, err := grant.Client.Run(ctx, worker.Attempt{Request: c.Request, ID: id, Worker: grant.Worker, FreshConnection: fresh, Expected: grant.Expected})
	f.releaseSlot(ctx, c, grant, id, answer, err, time.Since(sentAt))
	if err != nil {
		return attemptResult{grant: grant, err: err}
	}
	return attemptResult{grant: grant, answer: &Answer{Status: answer.Status, ContentType: answer.ContentType, Body: answer.Body, Worker: grant.Worker}}
}

// recordAttempt records the result of an attempt in the request and its history.
func (f *Dispatch) recordAttempt(c *Context, history *attemptHistory, s attemptResult) (*Answer, error) {
	if !verdict.Is(s.err, verdict.NotRun) {
		c.Sent = true
	}
	c.markUncertain(s.err)
	history.worker, history.expected = s.grant.Worker, s.grant.Expected
	history.exclude = append(history.exclude, s.grant.Worker)
	return s.answer, s.err
}

const (
	// hedgeFactor times the p90 run time is the time after which short idempotent work is sent to a second worker. Asking the
	// worker does not help, since a hung worker keeps reporting that it runs the request.
	hedgeFactor = 10
	// hedgeMin is the shortest hedge delay, so that a brief stall does not duplicate work with very short run times.
	hedgeMin = 2 * time.Second
)

// hedgeAfter returns the time after which the first attempt of short idempotent work is hedged with a second one. The
// first attempt continues, since it may only be a straggler.
func hedgeAfter(c *Context, grant *dispatch.Grant, history *attemptHistory) (time.Duration, bool) {
	if !c.Request.Idempotent || history.started > 0 || grant.Expected <= 0 || grant.Expected >= request.ShortLimit {
		return 0, false
	}
	return hedgeDelay(grant.Expected), true
}

// hedgeDelay returns the longest time that an attempt with the given expected run time takes on a healthy worker.
func hedgeDelay(expected time.Duration) time.Duration { return max(hedgeFactor*expected, hedgeMin) }

// hedge returns the first successful answer of up to two workers and cancels the other attempt.
func (f *Dispatch) hedge(c *Context, history *attemptHistory, grant *dispatch.Grant, delay time.Duration) (*Answer, error) {
	ctx, cancel := context.WithCancel(c.Ctx)
	defer cancel()
	results := make(chan attemptResult, 2)
	start := func(g *dispatch.Grant, fresh bool) { results <- f.send(ctx, c, g, fresh) }
	go start(grant, false)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	running := 1
	for {
		select {
		case s := <-results:
			running--
			answer, err := f.recordAttempt(c, history, s)
			if running == 0 || (err == nil && !failed(answer)) {
				return answer, err
			}
		case <-timer.C:
			if second := f.secondGrant(c, grant); second != nil {
				running++
				go start(second, true)
			}
		}
	}
}

// secondGrant acquires a free slot on another worker, or returns nil if there is none or the retry budget is used up.
func (f *Dispatch) secondGrant(c *Context, first *dispatch.Grant) *dispatch.Grant {
	d := f.Retries.Decide(time.Now(), c.Request.Pool, retry.Attempt{
		Verdict: verdict.MayHaveRun, Idempotent: true, Deadline: c.Request.Deadline, Tries: 1, Expected: first.Expected,
	})
	c.Log.Info().Bool("second", d.Retry).Str("worker", first.Worker).Str("reason", "attempt takes far longer than expected").Msg("request hedged")
	if !d.Retry {
		return nil
	}
	grant, err := f.Queue.Slots.Acquire(c.Ctx, dispatch.SlotRequest{Request: c.Request, Exclude: []string{first.Worker}, NoWait: true, Force: c.ForceLocal})
	if err != nil {
		return nil
	}
	if grant.Worker == first.Worker {
		grant.Release(dispatch.Result{Outcome: dispatch.NotSent})
		return nil
	}
	return grant
}

// releaseSlot releases the slot and reports the outcome of the attempt at the worker. ctx is the context of the attempt.
func (f *Dispatch) releaseSlot(ctx context.Context, c *Context, grant *dispatch.Grant, id string, answer worker.Response, err error, took time.Duration) {
	if answer.Leaving || errors.Is(err, worker.ErrLeaving) {
		f.Leaving.MarkLeaving(grant.Worker)
	}
	if err != nil && ctx.Err() != nil && verdict.Of(err) != verdict.NotRun {
		// The worker may still run the request: the slot is released only after the worker confirms the stop.
		ended := dispatch.Stopped
		if took > hedgeDelay(grant.Expected) {
			ended = dispatch.TimedOut
		}
		go stopAndRelease(grant, c.Request.ID, id, ended)
		return
	}
	grant.Release(dispatch.Result{Outcome: slotOutcome(ctx, answer, err), RunTime: took})
}

// slotOutcome classifies the result of an attempt for the scheduler.
func slotOutcome(ctx context.Context, answer worker.Response, err error) dispatch.Outcome {
	switch {
	case err == nil && answer.Status < http.StatusInternalServerError:
		return dispatch.Succeeded
	case err == nil:
		return dispatch.Failed
	case errors.Is(err, worker.ErrLeaving):
		return dispatch.Leaving
	case errors.Is(err, worker.ErrNoFreeSlot):
		return dispatch.Refused
	case errors.Is(err, worker.ErrUnresponsive):
		return dispatch.TimedOut
	case verdict.Is(err, verdict.NotRun) && ctx.Err() == nil:
		return dispatch.Unreachable
	default:
		return dispatch.TransportError
	}
}

const (
	// stopTimeout bounds one call that stops a request at its worker.
	stopTimeout = 2 * time.Second
	// stopAttempts bounds the number of stop calls, and so the time for which a slot stays occupied at a worker that does not
	// answer.
	stopAttempts = 30
)

// stopAndRelease releases the slot once the worker confirms that the attempt no longer runs, or after stopAttempts calls.
func stopAndRelease(grant *dispatch.Grant, requestID, attempt string, ended dispatch.Outcome) {
	for range stopAttempts {
		ctx, cancel := detachedContext(stopTimeout)
		err := grant.Client.Stop(ctx, requestID, attempt)
		cancel()
		if err == nil {
			grant.Release(dispatch.Result{Outcome: ended})
			return
		}
		time.Sleep(stopTimeout / 2)
	}
	grant.Release(dispatch.Result{Outcome: dispatch.TimedOut})
}

// shouldRetry records a failed attempt and reports whether another one is made; it waits for the retry delay.
func (f *Dispatch) shouldRetry(c *Context, history *attemptHistory, answer *Answer, err error) bool {
	if failed(answer) && !slices.Contains(history.failedOn, answer.Worker) {
		history.failedOn = append(history.failedOn, answer.Worker)
	}
	if c.Ctx.Err() != nil || history.sendWindowPassed {
		return false
	}
	v := verdict.Ran
	if err != nil {
		v = verdict.Of(err)
	}
	if v == verdict.NotRun {
		history.resends++
	} else {
		history.started++
	}
	d := f.Retries.Decide(time.Now(), c.Request.Pool, retry.Attempt{
		Verdict:    v,
		Idempotent: c.Request.Idempotent,
		Deadline:   c.Request.Deadline,
		Tries:      history.started,
		Resends:    history.resends,
		Expected:   history.expected,
		CannotRun:  len(history.failedOn) >= cannotRunAfter,
	})
	c.Log.Info().Str("pool", c.Request.Pool).Str("worker", history.worker).Int("try", history.started).Bool("again", d.Retry).Str("reason", d.Reason).Err(err).Msg("attempt failed")
	return d.Retry && sleepContext(c.Ctx, d.After)
}

// sleepContext waits for d and reports whether ctx is still active. If d is not positive, it returns true without checking
// ctx.
func sleepContext(ctx context.Context, d time.Duration) bool {
	return d <= 0 || sleep.Context(ctx, d) == nil
}

// finalResult sets the answer or returns the error after the last attempt.
func (f *Dispatch) finalResult(c *Context, history *attemptHistory, answer *Answer, err error) error {
	if len(history.failedOn) >= cannotRunAfter {
		c.Log.Warn().Strs("workers", history.failedOn).Str("reason", "failed on several workers").Msg("request considered unable to run")
	}
	if answer != nil {
		c.Answer = answer
		return nil
	}
	if errors.Is(context.Cause(c.Ctx), verdict.ErrCancelled) {
		return verdict.Wrap(verdict.ErrCancelled, verdict.Of(c.downgradeVerdict(err)), http.StatusConflict)
	}
	if c.Ctx.Err() != nil {
		return verdict.Wrap(fmt.Errorf("deadline passed: %w", err), verdict.Of(c.downgradeVerdict(err)), http.StatusGatewayTimeout)
	}
	return c.downgradeVerdict(err)
}

// Response implements Filter.
func (*Dispatch) Response(*Context) {}
