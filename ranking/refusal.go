package ranking

import (
	"math"
	"time"
)

// Reason says why a job was refused. It names a metric, so it has no spaces.
type Reason string

const (
	// Backlog: the pool has more accepted work than it can complete in time.
	Backlog Reason = "backlog"
	// NoValue: the job would end after ValueFactor times its objective.
	NoValue Reason = "no_value"
	// BeyondShare: as NoValue or Backlog, for a job of a workspace that is beyond its share.
	BeyondShare Reason = "beyond_share"
	// Quota: the job would end after ValueFactor times its objective, as its workspace has reached its quota.
	Quota Reason = "quota"
)

const (
	// lateDivisor is the part of MaxDrain up to which jobs that will be late are accepted. The rest is left to jobs that can be on time.
	lateDivisor = 2
	// beyondShareDivisor is the same for jobs of workspaces beyond their share. The rest is left to the others.
	beyondShareDivisor = 2
	// wholeFactor/wholeDivisor times MaxDrain is the bound for all accepted work together for workspaces within their share. It leaves them room where
	// the others have used up MaxDrain.
	wholeFactor, wholeDivisor = 7, 5
)

// Refusal is the answer to a refused job.
type Refusal struct {
	Reason Reason
	// RetryAfter is when a job like this one can be on time, if nothing else arrives.
	RetryAfter time.Duration
	// Overfull is set if the job's workspace is beyond its share and the accepted work takes longer than MaxDrain.
	Overfull bool
}

// Queue is the accepted work of a pool, with the order in which it is done. Work is in thousandths of a core times milliseconds.
type Queue struct {
	jobs []queuedJob
	// Throughput is the work that the pool completes in a millisecond.
	Throughput float64
	// MaxDrain is the longest time that the accepted work may take.
	MaxDrain time.Duration
}

type queuedJob struct {
	key     Key
	account *Account
	work    float64
}

// Reset removes all jobs.
func (q *Queue) Reset() { q.jobs = q.jobs[:0] }

// Add adds the remaining work of a job.
func (q *Queue) Add(key Key, account *Account, work float64) {
	q.jobs = append(q.jobs, queuedJob{key: key, account: account, work: work})
}

// Refuse decides on a new job with the given key and timing, and reports whether it is refused. A job is refused if the work that goes before
// it leaves it no value, or if the accepted work takes too long already. Shares are judged as if the workspace of the new job waited.
func (q *Queue) Refuse(key Key, account *Account, t Timing) (Refusal, bool) {
	account.Wait()
	key.BeyondShare = account.Beyond()
	for i := range q.jobs {
		q.jobs[i].key.BeyondShare = q.jobs[i].account.Beyond()
	}
	slack := max(0, t.Objective-t.Remaining-t.margin())
	key.Rank = OnTime
	wait := q.drainBefore(key)
	late, noValue := wait > slack, false
	if late {
		key.Rank = Late
		noValue = q.drainBefore(key)+t.Remaining > ValueFactor*t.Objective
	}
	excess := q.excess(key, late)
	r := Refusal{RetryAfter: max(wait-slack, excess)}
	switch {
	case !noValue && excess <= 0:
		return Refusal{}, false
	case key.BeyondShare:
		r.Reason = BeyondShare
		r.Overfull = excess > q.MaxDrain-q.MaxDrain/beyondShareDivisor
	case noValue:
		r.Reason = NoValue
	default:
		r.Reason = Backlog
	}
	return r, true
}

// RefuseBehind decides on a new job of a workspace that has reached its quota and has other work that takes the given time.
func RefuseBehind(wait time.Duration, t Timing) (Refusal, bool) {
	if wait+t.Remaining <= ValueFactor*t.Objective {
		return Refusal{}, false
	}
	return Refusal{Reason: Quota, RetryAfter: wait - max(0, t.Objective-t.Remaining)}, true
}

// excess returns by how much the accepted work takes too long for a new job with the given key. Work of workspaces beyond their share counts
// against those within it only as far as the whole exceeds a higher bound.
func (q *Queue) excess(key Key, late bool) time.Duration {
	limit := q.MaxDrain
	if late {
		limit /= lateDivisor
	}
	whole := q.drain(func(*Key) bool { return true })
	if key.BeyondShare {
		return whole - limit/beyondShareDivisor
	}
	within := q.drain(func(k *Key) bool { return !k.BeyondShare })
	return max(within-limit, whole-wholeFactor*q.MaxDrain/wholeDivisor)
}

// drainBefore returns how long the jobs take that go before a new one with the given key.
func (q *Queue) drainBefore(key Key) time.Duration {
	return q.drain(func(k *Key) bool { return Compare(k, &key) <= 0 })
}

// drainLimit bounds a drain time: a pool without throughput would need forever.
const drainLimit = time.Hour

// drain returns how long the selected jobs take.
func (q *Queue) drain(selected func(*Key) bool) time.Duration {
	work := 0.0
	for i := range q.jobs {
		if selected(&q.jobs[i].key) {
			work += q.jobs[i].work
		}
	}
	if work == 0 {
		return 0
	}
	ms := math.Min(work/q.Throughput, float64(drainLimit.Milliseconds()))
	return time.Duration(ms * float64(time.Millisecond))
}
