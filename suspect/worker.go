package suspect

import (
	"math"
	"slices"
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

// Grant identifies the period of a worker's state in which a run started. The zero value stands for no period.
type Grant int64

// Worker holds what is known of one worker.
type Worker struct {
	id      string
	tracker *Tracker
	listed  bool
	state   State
	// period counts the changes of the state; running counts the runs that started in the present period and are not over.
	period  Grant
	running int

	// scores were decayed up to decayedAt.
	scores    scores
	decayedAt time.Duration
	// jobs are the jobs whose runs have raised the scores last.
	jobs []jobShare
	// minorAt is when a rejected or unanswered start was counted last.
	minorAt      time.Duration
	minorCounted bool

	probe probe
	// pausedUntil is until when a tolerated worker gets no work.
	pausedUntil time.Duration
	// returnedAt is when the last probe run succeeded, limit the number of runs at once since then.
	returnedAt time.Duration
	limit      int
}

// scores are a worker's scores, or what an event adds to them.
type scores struct {
	// trouble rises with failures and with starts that are rejected or unanswered.
	trouble float64
	// slowness rises with slow runs.
	slowness float64
	// instability rises with restarts and silence.
	instability float64
}

// jobShare is a job with the trouble that its runs have added.
type jobShare struct {
	job     string
	trouble float64
}

const (
	// threshold is the score from which a worker is a suspect: three failures with few successes between them, or three slow runs. At an
	// error rate of 3 % a worker reaches it about once in some thousand runs.
	threshold = 6.0
	// failureWeight and successWeight are the logarithms of the likelihood ratios of a failed and a successful run, between a worker that
	// fails 35 % of its runs and jobs that fail 3 % of theirs.
	failureWeight = 2.5
	successWeight = 0.4
	// slowWeight is the weight of a slow run; a run in time lowers the slowness by the same.
	slowWeight = 2.0
	// A returning worker is a suspect again after one failure, two slow runs, or one restart.
	returningTroubleThreshold     = failureWeight
	returningSlownessThreshold    = 2 * slowWeight
	returningInstabilityThreshold = silentWeight
	// The weights of an answer 429 or 503 to a start, and of a start without an answer.
	rejectedWeight   = 0.5
	unansweredWeight = 1.0
	// The weights of a renewal without an answer and of a restart. One of each may come from an orderly restart.
	silentWeight  = 2.0
	restartWeight = 2.5
	// repeatedJobWeight is the factor for further results of a job that has raised a score already: its tasks may all fail, or all take
	// longer than estimated, by themselves.
	repeatedJobWeight = 1.0 / 3
	maxRememberedJobs = 8
	// minorInterval is the least time between two rejected or unanswered starts that count, as one overload rejects many at once.
	minorInterval = 250 * time.Millisecond
	// toleratedPause is the time after a failure in which a tolerated worker gets no work. A worker that fails its runs at once would
	// otherwise get all those that find no room elsewhere, until their attempts are used up.
	toleratedPause = 500 * time.Millisecond
	// halfLife is the time in which trouble and slowness decay by half, instabilityHalfLife that of instability. Workers that restart by
	// turns every 1.4 s restart once in some seconds each.
	halfLife            = 10 * time.Second
	instabilityHalfLife = 30 * time.Second
	// maxScore bounds the scores, so that a worker which could not become a suspect is not avoided for long after it has recovered.
	maxScore = 2 * threshold
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
func (w *Worker) Started() Grant {
	w.running++
	if w.state == Suspected {
		w.probe.failed = false
		w.tracker.record(EventProbed, w, "")
	}
	return w.period
}

// Over records that a run is over, for whatever reason. The result, if there is any, is reported by another call.
func (w *Worker) Over(g Grant) {
	if g == w.period {
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
func (w *Worker) Done(g Grant, job string, took, expected, now time.Duration) {
	slow := expected > 0 && took > w.tracker.SlowAfter(expected)
	if expected > 0 && w.state != Suspected {
		w.tracker.observeRatio(float64(max(0, took-runOverhead)) / float64(expected))
	}
	switch {
	case slow:
		w.Slow(g, job, now)
	case w.state == Suspected:
		w.probeSucceeded(g, now)
	default:
		w.decay(now)
		w.scores.trouble = max(0, w.scores.trouble-successWeight)
		w.scores.slowness = max(0, w.scores.slowness-slowWeight)
		w.raiseLimit(g)
	}
}

// raiseLimit doubles the limit of a returning worker.
func (w *Worker) raiseLimit(g Grant) {
	if w.state != Returning || g != w.period {
		return
	}
	if w.limit *= 2; w.limit > maxReturnLimit {
		w.enter(Normal)
		w.tracker.record(EventRecovered, w, "")
	}
}

// Failed records that a run of a job has failed.
func (w *Worker) Failed(g Grant, job string, now time.Duration) {
	w.resultOfRun(g, job, "failed runs", scores{trouble: failureWeight}, now)
}

// Stalled records that a run takes so long that it may never end.
func (w *Worker) Stalled(g Grant, job string, now time.Duration) {
	w.resultOfRun(g, job, "stalled runs", scores{trouble: failureWeight}, now)
}

// Slow records that a run takes, or took, much longer than expected. It is called once for a run.
func (w *Worker) Slow(g Grant, job string, now time.Duration) {
	w.resultOfRun(g, job, "slow runs", scores{slowness: slowWeight}, now)
}

// resultOfRun handles a bad result of a run.
func (w *Worker) resultOfRun(g Grant, job, reason string, add scores, now time.Duration) {
	switch {
	case w.state == Suspected:
		if g == w.period {
			w.probeFailed(reason, now)
		}
	case w.state == Returning && g != w.period:
		// The run is from before the successful probe run.
	default:
		w.raise(w.share(job, add), reason, now)
		if w.state == Tolerated && add.trouble > 0 {
			w.pausedUntil = now + toleratedPause
		}
	}
}

// Excuse takes back the trouble of a job's failed runs, as the job has failed on another worker as well.
func (w *Worker) Excuse(job string, now time.Duration) {
	w.decay(now)
	for i := range w.jobs {
		if w.jobs[i].job == job {
			w.scores.trouble = max(0, w.scores.trouble-w.jobs[i].trouble)
			w.jobs[i].trouble = 0
		}
	}
}

// share returns what a bad result of a job adds to the scores, and remembers the job.
func (w *Worker) share(job string, add scores) scores {
	i := slices.IndexFunc(w.jobs, func(s jobShare) bool { return s.job == job })
	if i < 0 {
		w.jobs = append(w.jobs[max(0, len(w.jobs)-maxRememberedJobs+1):], jobShare{job: job})
		i = len(w.jobs) - 1
	} else {
		add = scores{trouble: add.trouble * repeatedJobWeight, slowness: add.slowness * repeatedJobWeight}
	}
	w.jobs[i].trouble += add.trouble
	return add
}

// Rejected records that a start was answered by 429 or 503.
func (w *Worker) Rejected(now time.Duration) { w.minor(rejectedWeight, "rejected starts", now) }

// Unanswered records that a start was not answered.
func (w *Worker) Unanswered(now time.Duration) { w.minor(unansweredWeight, "unanswered starts", now) }

// minor counts a rejected or unanswered start.
func (w *Worker) minor(weight float64, reason string, now time.Duration) {
	if w.state != Suspected && w.minorCounted && now-w.minorAt < minorInterval {
		return
	}
	w.minorAt, w.minorCounted = now, true
	w.troubleOfWorker(scores{trouble: weight}, reason, now)
}

// Silent records that the worker has begun to leave lease renewals unanswered.
func (w *Worker) Silent(now time.Duration) {
	w.troubleOfWorker(scores{instability: silentWeight}, "unanswered renewals", now)
}

// Restarted records that the worker has started again.
func (w *Worker) Restarted(now time.Duration) {
	w.troubleOfWorker(scores{instability: restartWeight}, "restarts", now)
}

// troubleOfWorker handles trouble that belongs to no single run. It fails a probe run that is in progress.
func (w *Worker) troubleOfWorker(add scores, reason string, now time.Duration) {
	switch {
	case w.state != Suspected:
		w.raise(add, reason, now)
	case w.running > 0:
		w.probeFailed(reason, now)
	default:
		w.probe.at = max(w.probe.at, now+w.probe.delay)
	}
}

// raise raises the scores and makes the worker a suspect if one of those raised is too high.
func (w *Worker) raise(add scores, reason string, now time.Duration) {
	w.decay(now)
	w.scores.trouble = min(w.scores.trouble+add.trouble, maxScore)
	w.scores.slowness = min(w.scores.slowness+add.slowness, maxScore)
	w.scores.instability = min(w.scores.instability+add.instability, maxScore)
	limit := scores{trouble: threshold, slowness: threshold, instability: threshold}
	if w.state == Returning {
		limit = scores{returningTroubleThreshold, returningSlownessThreshold, returningInstabilityThreshold}
	}
	exceeded := add.trouble > 0 && w.scores.trouble >= limit.trouble ||
		add.slowness > 0 && w.scores.slowness >= limit.slowness ||
		add.instability > 0 && w.scores.instability >= limit.instability
	switch {
	case !exceeded:
	case w.listed && w.tracker.suspects < w.tracker.maxSuspects():
		w.suspect(reason, now)
	case w.state != Tolerated:
		w.scores.trouble = max(w.scores.trouble, threshold)
		w.tolerate()
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
	w.scores.trouble, w.scores.slowness = 0, 0
	if w.probe.delay > 0 && now-w.returnedAt < relapsePeriod {
		w.probe.delay = min(2*w.probe.delay, maxProbeDelay)
	} else {
		w.probe.delay = minProbeDelay
	}
	w.probe.at = now + w.probe.delay
	w.tracker.record(EventSuspected, w, reason)
}

// decay lowers the scores by the time that has passed. A tolerated worker with low scores is normal again.
func (w *Worker) decay(now time.Duration) {
	if now > w.decayedAt {
		f := math.Exp2(-float64(now-w.decayedAt) / float64(halfLife))
		w.scores.trouble *= f
		w.scores.slowness *= f
		w.scores.instability *= math.Exp2(-float64(now-w.decayedAt) / float64(instabilityHalfLife))
		w.decayedAt = now
	}
	if w.state == Tolerated && max(w.scores.trouble, w.scores.slowness, w.scores.instability) < threshold/2 {
		w.enter(Normal)
		w.tracker.record(EventRecovered, w, "")
	}
}
