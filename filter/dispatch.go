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
	// cannotRunAfter is the number of different workers on which a request must fail to be called unable to run.
	cannotRunAfter = 3
)

// Retries decides whether a failed attempt is repeated.
type Retries interface {
	Decide(now time.Time, pool string, a retry.Attempt) retry.Decision
	// Success earns budget for later retries.
	Success(now time.Time, pool string)
}

// Leavings learns which workers are leaving.
type Leavings interface {
	MarkLeaving(workerID string)
}

// Dispatch sends the request to the granted worker and to further ones while that is allowed.
type Dispatch struct {
	EntryID  string
	Queue    Queue
	Retries  Retries
	Leavings Leavings
	sequence atomic.Uint64
	started  int64
}

// NewDispatch returns the last filter of the chain.
func NewDispatch(entryID string, q Queue, r Retries, l Leavings) *Dispatch {
	return &Dispatch{EntryID: entryID, Queue: q, Retries: r, Leavings: l, started: time.Now().UnixMilli()}
}

// Name implements Filter.
func (*Dispatch) Name() string { return "dispatch" }

// attempts is the history of one request in Dispatch.
type attempts struct {
	// tries may have run, resends were refused as not run.
	tries, resends int
	// failedOn lists workers that ran the request and failed it.
	failedOn []string
	exclude  []string
	expected time.Duration
	// worker is that of the last attempt.
	worker string
	// late is set when the claim is too old for another attempt.
	late bool
}

// Request implements Filter.
func (f *Dispatch) Request(c *Context) error {
	var history attempts
	for {
		answer, err := f.attempt(c, &history)
		if err == nil && !failed(answer) {
			f.Retries.Success(time.Now(), c.Request.Pool)
			c.Answer = answer
			return nil
		}
		if again := f.again(c, &history, answer, err); !again {
			return f.conclude(c, &history, answer, err)
		}
		grant, err := f.nextGrant(c, &history)
		if err != nil || grant == nil {
			return c.weaken(err)
		}
		c.Grant = grant
	}
}

// nextGrant waits for a slot for another attempt, with a claim no longer than the claim allows.
func (f *Dispatch) nextGrant(c *Context, history *attempts) (*dispatch.Grant, error) {
	if c.Claim == nil {
		return f.Queue.acquire(c, history.exclude)
	}
	whole := c.Ctx
	ctx, cancel := context.WithDeadline(whole, c.Claim.SendBy())
	defer cancel()
	c.Ctx = ctx
	grant, err := f.Queue.acquire(c, history.exclude)
	c.Ctx = whole
	if err != nil && ctx.Err() != nil && whole.Err() == nil {
		err = errTooLate()
	}
	return grant, err
}

func errTooLate() error {
	return verdict.Unavailable(time.Second, "no worker took the request within %s of its claim", claim.SendWindow)
}

// failed reports an answer that says that the worker could not do the work.
func failed(a *Answer) bool { return a != nil && a.Status >= http.StatusInternalServerError }

// attempt sends the request once, or to a second worker as well if the first one takes far longer than expected.
func (f *Dispatch) attempt(c *Context, history *attempts) (*Answer, error) {
	grant := c.Grant
	c.Grant, history.worker = nil, grant.Worker
	if c.Claim != nil && !c.Claim.InWindow(time.Now()) {
		grant.Release(dispatch.Result{Outcome: dispatch.NotSent})
		history.late = true
		return nil, errTooLate()
	}
	// What silenced a connection to one worker may have silenced those to others, so a retry does not risk one.
	fresh := !c.Request.Idempotent || history.tries > 0
	delay, hedged := hedgeAfter(c, grant, history)
	if !hedged {
		return f.note(c, history, f.send(c.Ctx, c, grant, fresh))
	}
	return f.hedge(c, history, grant, delay)
}

// sent is the result of sending a request to a worker.
type sent struct {
	grant  *dispatch.Grant
	answer *Answer
	err    error
}

// send sends the request to the granted worker and gives the slot back. It does not change c, so that two may run at once.
func (f *Dispatch) send(ctx context.Context, c *Context, grant *dispatch.Grant, fresh bool) sent {
	id := fmt.Sprintf("%s-%d-%d", f.EntryID, f.started, f.sequence.Add(1))
	c.Log.Info().Str("pool", c.Request.Pool).Str("worker", grant.Worker).Str("attempt", id).
		Dur("waited", grant.Waited).Str("reason", grant.Reason).Msg("request placed")
	begin := time.Now()
	answer, err := grant.Client.Run(ctx, worker.Attempt{Request: c.Request, ID: id, Worker: grant.Worker, FreshConnection: fresh, Expected: grant.Expected})
	f.settle(ctx, c, grant, id, answer, err, time.Since(begin))
	if err != nil {
		return sent{grant: grant, err: err}
	}
	return sent{grant: grant, answer: &Answer{Status: answer.Status, ContentType: answer.ContentType, Body: answer.Body, Worker: grant.Worker}}
}

// note takes the result over into the request and its history.
func (f *Dispatch) note(c *Context, history *attempts, s sent) (*Answer, error) {
	if !verdict.Is(s.err, verdict.NotRun) {
		c.Sent = true
	}
	c.noteUncertain(s.err)
	history.worker, history.expected = s.grant.Worker, s.grant.Expected
	history.exclude = append(history.exclude, s.grant.Worker)
	return s.answer, s.err
}

const (
	// hedgeFactor times the p90 run time is the time after which short idempotent work is sent to a second worker. A worker
	// that hangs says that it runs the request for as long as it is asked.
	hedgeFactor = 10
	// hedgeMin keeps work with very short run times from being sent twice in a short stall.
	hedgeMin = 2 * time.Second
)

// hedgeAfter is the time after which the first attempt of short idempotent work gets a second one beside it. The
// first goes on, since the work may be a straggler.
func hedgeAfter(c *Context, grant *dispatch.Grant, history *attempts) (time.Duration, bool) {
	if !c.Request.Idempotent || history.tries > 0 || grant.Expected <= 0 || grant.Expected >= request.ShortLimit {
		return 0, false
	}
	return hedgeDelay(grant.Expected), true
}

// hedgeDelay is the time that an attempt with an expected run time takes at most if nothing is wrong.
func hedgeDelay(expected time.Duration) time.Duration { return max(hedgeFactor*expected, hedgeMin) }

// hedge waits for the first good answer of up to two workers and stops the other.
func (f *Dispatch) hedge(c *Context, history *attempts, grant *dispatch.Grant, delay time.Duration) (*Answer, error) {
	ctx, cancel := context.WithCancel(c.Ctx)
	defer cancel()
	results := make(chan sent, 2)
	begin := func(g *dispatch.Grant, fresh bool) { results <- f.send(ctx, c, g, fresh) }
	go begin(grant, false)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	running := 1
	for {
		select {
		case s := <-results:
			running--
			answer, err := f.note(c, history, s)
			if running == 0 || (err == nil && !failed(answer)) {
				return answer, err
			}
		case <-timer.C:
			if second := f.secondGrant(c, grant); second != nil {
				running++
				go begin(second, true)
			}
		}
	}
}

// secondGrant takes a free slot on another worker within the retry budget, or returns nil.
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

// settle returns the slot with what the attempt says about the worker. ctx is that of the attempt.
func (f *Dispatch) settle(ctx context.Context, c *Context, grant *dispatch.Grant, id string, answer worker.Response, err error, took time.Duration) {
	if answer.Leaving || errors.Is(err, worker.ErrLeaving) {
		f.Leavings.MarkLeaving(grant.Worker)
	}
	if err != nil && ctx.Err() != nil && verdict.Of(err) != verdict.NotRun {
		// The worker may still run the request: the slot is free only when it confirms the stop.
		ended := dispatch.Stopped
		if took > hedgeDelay(grant.Expected) {
			ended = dispatch.TimedOut
		}
		go stopAndRelease(grant, c.Request.ID, id, ended)
		return
	}
	grant.Release(dispatch.Result{Outcome: outcome(ctx, answer, err), RunTime: took})
}

func outcome(ctx context.Context, answer worker.Response, err error) dispatch.Outcome {
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
	// stopTimeout bounds one attempt to stop a request at its worker.
	stopTimeout = 2 * time.Second
	// stopAttempts bounds the time for which a slot is kept for a worker that does not answer.
	stopAttempts = 30
)

// stopAndRelease keeps the slot until the worker confirms that the attempt does not run any more.
func stopAndRelease(grant *dispatch.Grant, requestID, attempt string, ended dispatch.Outcome) {
	for range stopAttempts {
		ctx, cancel := waitContext(stopTimeout)
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

// again decides about another attempt.
func (f *Dispatch) again(c *Context, history *attempts, answer *Answer, err error) bool {
	if failed(answer) && !slices.Contains(history.failedOn, answer.Worker) {
		history.failedOn = append(history.failedOn, answer.Worker)
	}
	if c.Ctx.Err() != nil || history.late {
		return false
	}
	v := verdict.Ran
	if err != nil {
		v = verdict.Of(err)
	}
	if v == verdict.NotRun {
		history.resends++
	} else {
		history.tries++
	}
	d := f.Retries.Decide(time.Now(), c.Request.Pool, retry.Attempt{
		Verdict:    v,
		Idempotent: c.Request.Idempotent,
		Deadline:   c.Request.Deadline,
		Tries:      history.tries,
		Resends:    history.resends,
		Expected:   history.expected,
		CannotRun:  len(history.failedOn) >= cannotRunAfter,
	})
	c.Log.Info().Str("pool", c.Request.Pool).Str("worker", history.worker).Int("try", history.tries).Bool("again", d.Retry).Str("reason", d.Reason).Err(err).Msg("attempt failed")
	return d.Retry && pause(c.Ctx, d.After)
}

// pause waits and reports whether the context still stands; without a length it does not look.
func pause(ctx context.Context, d time.Duration) bool {
	return d <= 0 || sleep.Context(ctx, d) == nil
}

// conclude gives the final result after the last attempt.
func (f *Dispatch) conclude(c *Context, history *attempts, answer *Answer, err error) error {
	if len(history.failedOn) >= cannotRunAfter {
		c.Log.Warn().Strs("workers", history.failedOn).Str("reason", "failed on several workers").Msg("request cannot run")
	}
	if answer != nil {
		c.Answer = answer
		return nil
	}
	if errors.Is(context.Cause(c.Ctx), verdict.ErrCancelled) {
		return verdict.Wrap(verdict.ErrCancelled, verdict.Of(c.weaken(err)), http.StatusConflict)
	}
	if c.Ctx.Err() != nil {
		return verdict.Wrap(fmt.Errorf("deadline passed: %w", err), verdict.Of(c.weaken(err)), http.StatusGatewayTimeout)
	}
	return c.weaken(err)
}

// Response implements Filter.
func (*Dispatch) Response(*Context) {}
