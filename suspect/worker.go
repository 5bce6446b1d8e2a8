package suspect

import (
	"math"
	"time"
)

// State is a worker's state for placement.
type State uint8

// The states of a worker.
const (
	Normal State = iota
	// Tolerated workers have the scores of a suspect while MaxSuspectPercent allows no further one. They get work last, and none for
	// a moment after a failure.
	Tolerated
	// Suspected workers get one probe run at a time.
	Suspected
	// Returning workers get a bounded number of runs at once, which doubles with each success.
	Returning
)

// Period identifies the period of a worker's state in which a run started. The zero value stands for no period.
type Period int64

// Worker holds what is known of one worker.
type Worker struct {
	id      string
	tracker *Tracker
	listed  bool
	state   State
	// period counts the changes of the state; running counts the runs that started in the present period and are not over.
	period  Period
	running int

	// scores were decayed up to decayedAt.
	scores    scores
	decayedAt time.Duration
	// jobs are the jobs whose runs have raised the scores last.
	jobs []jobShare
	// startFailedAt is when a rejected or unanswered start was counted last.
	startFailedAt       time.Duration
	startFailureCounted bool

	probe probe
	// pausedUntil is until when a tolerated worker gets no work.
	pausedUntil time.Duration
	// returnedAt is when the last probe run succeeded, limit the number of runs at once since then.
	returnedAt time.Duration
	limit      int
}

const (
	// startFailureInterval is the least time between two rejected or unanswered starts that count, as one overload rejects many at once.
	startFailureInterval = 250 * time.Millisecond
	// toleratedPause is the time after a failure in which a tolerated worker gets no work. A worker that fails its runs at once would
	// otherwise get all those that find no room elsewhere, until their attempts are used up.
	toleratedPause = 500 * time.Millisecond
	// firstReturnLimit is the number of runs at once after a successful probe run, maxReturnLimit the last one before there is no limit.
	firstReturnLimit = 2
	maxReturnLimit   = 32
)

// State returns the worker's state.
func (w *Worker) State() State { return w.state }

// Avoided reports whether the worker is to get work last, though its number of runs isn't limited.
func (w *Worker) Avoided(now time.Duration) bool {
	w.decay(now)
	return w.state == Tolerated
}

// Room returns how many more runs may start on the worker now.
func (w *Worker) Room(now time.Duration) int {
	switch w.state {
	case Suspected:
		if _, allowed := w.ProbeDue(now); allowed {
			return 1
		}
		return 0
	case Returning:
		return max(0, w.limit-w.running)
	case Tolerated:
		if now < w.pausedUntil {
			return 0
		}
	}
	return math.MaxInt32
}

// Started records a start on the worker.
func (w *Worker) Started() Period {
	w.running++
	if w.state == Suspected {
		w.probe.failed = false
		w.tracker.record(EventProbed, w, "")
	}
	return w.period
}

// Over records that a run is over, for whatever reason. The result, if there is any, is reported by another call.
func (w *Worker) Over(p Period) {
	if p == w.period {
		w.running--
	}
}

// enter begins a new period.
func (w *Worker) enter(s State) {
	if w.listed && w.state == Suspected {
		w.tracker.suspects--
	}
	if w.listed && s == Suspected {
		w.tracker.suspects++
	}
	w.state = s
	w.period++
	w.running = 0
	w.jobs = nil
}

// Done records that a run of a job has succeeded. took is compared with expected, unless expected is 0.
func (w *Worker) Done(p Period, job string, took, expected, now time.Duration) {
	slow := expected > 0 && took > w.tracker.SlowAfter(expected)
	if expected > 0 && w.state != Suspected {
		w.tracker.observeRatio(float64(max(0, took-runOverhead)) / float64(expected))
	}
	switch {
	case slow:
		w.Slow(p, job, now)
	case w.state == Suspected:
		w.probeSucceeded(p, now)
	default:
		w.decay(now)
		w.scores.failure = max(0, w.scores.failure-successWeight)
		w.scores.slowness = max(0, w.scores.slowness-slowWeight)
		w.raiseLimit(p)
	}
}

// raiseLimit doubles the limit of a returning worker.
func (w *Worker) raiseLimit(p Period) {
	if w.state != Returning || p != w.period {
		return
	}
	if w.limit *= 2; w.limit > maxReturnLimit {
		w.enter(Normal)
		w.tracker.record(EventRecovered, w, "")
	}
}

// Failed records that a run of a job has failed.
func (w *Worker) Failed(p Period, job string, now time.Duration) {
	w.resultOfRun(p, job, "failed runs", scores{failure: failureWeight}, now)
}

// Stalled records that a run takes so long that it may never end.
func (w *Worker) Stalled(p Period, job string, now time.Duration) {
	w.resultOfRun(p, job, "stalled runs", scores{failure: failureWeight}, now)
}

// Slow records that a run takes, or took, much longer than expected. It is called once for a run.
func (w *Worker) Slow(p Period, job string, now time.Duration) {
	w.resultOfRun(p, job, "slow runs", scores{slowness: slowWeight}, now)
}

// resultOfRun handles a bad result of a run.
func (w *Worker) resultOfRun(p Period, job, reason string, add scores, now time.Duration) {
	switch {
	case w.state == Suspected:
		if p == w.period {
			w.probeFailed(reason, now)
		}
	case w.state == Returning && p != w.period:
		// The run is from before the successful probe run.
	default:
		w.raise(w.share(job, add), reason, now)
		if w.state == Tolerated && add.failure > 0 {
			w.pausedUntil = now + toleratedPause
		}
	}
}

// Rejected records that a start was answered by 429 or 503.
func (w *Worker) Rejected(now time.Duration) { w.startFailed(rejectedWeight, "rejected starts", now) }

// Unanswered records that a start was not answered.
func (w *Worker) Unanswered(now time.Duration) {
	w.startFailed(unansweredWeight, "unanswered starts", now)
}

// startFailed counts a rejected or unanswered start.
func (w *Worker) startFailed(weight float64, reason string, now time.Duration) {
	if w.state != Suspected && w.startFailureCounted && now-w.startFailedAt < startFailureInterval {
		return
	}
	w.startFailedAt, w.startFailureCounted = now, true
	w.resultOfWorker(scores{failure: weight}, reason, now)
}

// Silent records that the worker has begun to leave lease renewals unanswered.
func (w *Worker) Silent(now time.Duration) {
	w.resultOfWorker(scores{instability: silentWeight}, "unanswered renewals", now)
}

// Restarted records that the worker has started again.
func (w *Worker) Restarted(now time.Duration) {
	w.resultOfWorker(scores{instability: restartWeight}, "restarts", now)
}

// resultOfWorker handles a bad result that belongs to no single run. It fails a probe run that is in progress.
func (w *Worker) resultOfWorker(add scores, reason string, now time.Duration) {
	switch {
	case w.state != Suspected:
		w.raise(add, reason, now)
	case w.running > 0:
		w.probeFailed(reason, now)
	default:
		w.probe.at = max(w.probe.at, now+w.probe.delay)
	}
}

// tolerate lets a worker get work last, as MaxSuspectPercent allows no further suspect.
func (w *Worker) tolerate() {
	w.enter(Tolerated)
	w.tracker.record(EventTolerated, w, "the share of suspects is at its bound")
}

// suspect makes the worker a suspect. One that has returned not long ago waits for its probe run twice as long as the last time.
func (w *Worker) suspect(reason string, now time.Duration) {
	w.enter(Suspected)
	w.scores.failure, w.scores.slowness = 0, 0
	if w.probe.delay > 0 && now-w.returnedAt < relapsePeriod {
		w.probe.delay = min(2*w.probe.delay, maxProbeDelay)
	} else {
		w.probe.delay = minProbeDelay
	}
	w.probe.at = now + w.probe.delay
	w.tracker.record(EventSuspected, w, reason)
}
