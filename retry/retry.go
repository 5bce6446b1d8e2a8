// Package retry decides whether a failed attempt is retried, how long a rejected caller should wait before it retries, and
// which requests are shed because they would miss their deadline. All types are pure: time and random source
// are arguments. They are not safe for concurrent use; the pool's owner calls them from one goroutine.
package retry

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"samphirepoint/verdict"
)

const (
	// BudgetPercent is the number of retries allowed per 100 successes (design document, section 3.8).
	BudgetPercent = 10
	// minBudget is the minimum size of the token bucket: the requests in flight on a rack of 4 workers with
	// 8 slots, so that they can be retried when the rack fails.
	minBudget = 32
	// budgetWindow is the decay time of the successes that enlarge the bucket.
	budgetWindow = 10 * time.Second

	// MaxTries bounds the attempts that may have run; a request that fails on 3 workers is considered unable to run.
	MaxTries = 4
	// maxResends bounds the attempts that were rejected as not run. With the backoff below
	// they span about 5 s, after which the caller gets the verdict NotRun.
	maxResends = 16
	// baseBackoff and maxBackoff bound the random delay before a retry.
	baseBackoff = 25 * time.Millisecond
	maxBackoff  = time.Second

	// minRetryAfter and maxRetryAfter bound the Retry-After header of rejections. The header has whole seconds.
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// Budget is a token bucket to which each success adds BudgetPercent of a token. It holds at most minBudget tokens, or
// BudgetPercent of the recent successes, which decay over budgetWindow, if that is more.
type Budget struct {
	tokens float64
	recent float64 // decayed number of successes
	last   time.Time
}

// NewBudget returns a full bucket.
func NewBudget() *Budget { return &Budget{tokens: minBudget} }

func (b *Budget) advance(now time.Time) float64 {
	if now.After(b.last) {
		b.recent *= math.Exp(-float64(now.Sub(b.last)) / float64(budgetWindow))
		b.last = now
	}
	size := max(minBudget, b.recent*BudgetPercent/100)
	b.tokens = min(b.tokens, size)
	return size
}

// Success records a finished request.
func (b *Budget) Success(now time.Time) {
	b.recent++
	size := b.advance(now)
	b.tokens = min(b.tokens+BudgetPercent/100.0, size)
}

// Take removes one token, or reports false if none is left.
func (b *Budget) Take(now time.Time) bool {
	b.advance(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Attempt describes an attempt that failed.
type Attempt struct {
	Verdict    verdict.Verdict
	Idempotent bool
	// Tries counts the attempts that may have run, Resends those that were rejected as not run, both
	// including this one.
	Tries, Resends int
	// Deadline is the deadline of the request; zero means none.
	Deadline time.Time
	// Expected is the expected run time, 0 if unknown.
	Expected time.Duration
	// RetryAfter is the delay that the worker requested, 0 if none.
	RetryAfter time.Duration
	// CannotRun is set for a request that failed on several workers and so is considered unable to run.
	CannotRun bool
}

// Decision says whether and when to retry, with the reason for the log.
type Decision struct {
	Retry  bool
	After  time.Duration
	Reason string
}

// Policy decides on retries for one pool. A nil Budget is unlimited (the baseline).
type Policy struct {
	Budget *Budget
	Rand   *rand.Rand
}

func noRetry(format string, args ...any) Decision {
	return Decision{Reason: fmt.Sprintf(format, args...)}
}

// Decide returns whether and when to retry. The retry goes to another worker. A retry of an attempt that may
// have run takes a token of the budget; a resend after a rejection as not run does not.
func (p Policy) Decide(now time.Time, a Attempt) Decision {
	if a.CannotRun {
		return noRetry("failed on several workers")
	}
	resend := a.Verdict == verdict.NotRun
	if !resend && !a.Idempotent {
		return noRetry("not idempotent and %s", a.Verdict)
	}
	if !resend && a.Tries >= MaxTries {
		return noRetry("failed %d times", a.Tries)
	}
	if resend && a.Resends >= maxResends {
		return noRetry("rejected %d times", a.Resends)
	}
	after := time.Duration(0)
	switch {
	case resend && a.Resends > 1:
		after = Backoff(p.Rand, a.Resends-1)
	case !resend:
		after = Backoff(p.Rand, a.Tries)
	}
	after = max(after, a.RetryAfter)
	if !a.Deadline.IsZero() && now.Add(after+a.Expected).After(a.Deadline) {
		return noRetry("deadline in %v, retry needs %v", a.Deadline.Sub(now), after+a.Expected)
	}
	if resend {
		return Decision{Retry: true, After: after, Reason: "not run, resend"}
	}
	if p.Budget != nil && !p.Budget.Take(now) {
		return noRetry("retry budget is exhausted")
	}
	return Decision{Retry: true, After: after, Reason: "idempotent, retry"}
}

// Backoff returns a random delay (full jitter) of at most baseBackoff, which doubles with each try up to maxBackoff.
func Backoff(rnd *rand.Rand, try int) time.Duration {
	limit := maxBackoff
	if shift := max(try-1, 0); shift < 6 {
		limit = min(baseBackoff<<shift, maxBackoff)
	}
	return time.Duration(rnd.Int64N(int64(limit) + 1))
}

// Load is the state of a queue from the viewpoint of one request.
type Load struct {
	// Ahead counts the waiting requests of the same or an earlier class, OwnAhead those among them of the same backer.
	Ahead, OwnAhead int
	// Share is the backer's share of the slots, from 0 to 1, while other backers wait.
	Share float64
	// Slots is the number of slots that the class may use, Free the number of those that are idle now.
	Slots, Free int
	// MeanRun is the mean run time of the requests that use the slots.
	MeanRun time.Duration
}

// Wait estimates the time until a new request starts. The service rate is Slots / MeanRun; the rate of past
// completions would be too low after an idle period. A request waits for its own backer's requests at the backer's share
// of the rate, or for all requests, whichever is shorter, so that one backer's backlog does not cause another's requests
// to be shed.
func (l Load) Wait() time.Duration {
	if l.Free > l.Ahead {
		return 0
	}
	if l.Slots <= 0 {
		return maxRetryAfter
	}
	serviceInterval := float64(l.MeanRun) / float64(l.Slots)
	wait := float64(l.Ahead+1) * serviceInterval
	if l.Share > 0 {
		wait = min(wait, float64(l.OwnAhead+1)*serviceInterval/l.Share)
	}
	return time.Duration(min(wait, float64(math.MaxInt64/2)))
}

// Shed reports whether a request is to be rejected at once, because its estimated wait ends after its deadline. The
// caller includes the expected run time in the wait if the deadline applies to the response.
func Shed(now, deadline time.Time, wait time.Duration) bool {
	return !deadline.IsZero() && wait > deadline.Sub(now)
}

// RetryAfter returns the Retry-After delay of a rejection in whole seconds: the estimated wait plus up to half of it at
// random, so that callers rejected together do not retry together.
func RetryAfter(rnd *rand.Rand, wait time.Duration) time.Duration {
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	wait += time.Duration(rnd.Int64N(int64(wait)/2 + 1))
	return min((wait + time.Second - 1).Truncate(time.Second), maxRetryAfter)
}
