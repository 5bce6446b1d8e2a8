package suspect

import (
	"math"
	"slices"
	"time"
)

// scores are a worker's scores, or what an event adds to them.
type scores struct {
	// failure rises with failed runs and with starts that are rejected or unanswered.
	failure float64
	// slowness rises with slow runs.
	slowness float64
	// instability rises with restarts and silence.
	instability float64
}

// jobShare is a job with what its runs have added to the failure score.
type jobShare struct {
	job     string
	failure float64
}

const (
	// threshold is the score from which a worker is a suspect: three failures with few successes between them, or three slow runs.
	threshold = 6.0
	// failureWeight and successWeight are the logarithms of the likelihood ratios of a failed and a successful run, between a worker that
	// fails 35 % of its runs and jobs that fail 3 % of theirs.
	failureWeight = 2.5
	successWeight = 0.4
	// slowWeight is the weight of a slow run; a run in time lowers the slowness by the same.
	slowWeight = 2.0
	// A returning worker is a suspect again after one failure, two slow runs, or one restart.
	returningFailureThreshold     = failureWeight
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
	// maxRememberedJobs bounds the jobs that a worker remembers for this.
	maxRememberedJobs = 8
	// halfLife is the time in which the scores for failures and slowness decay by half, instabilityHalfLife that for instability. It is longer,
	// as a worker that restarts again and again works for some seconds in between.
	halfLife            = 10 * time.Second
	instabilityHalfLife = 30 * time.Second
	// maxScore bounds the scores, so that a worker which could not become a suspect is not avoided for long after it has recovered.
	maxScore = 2 * threshold
)

// share returns what a bad result of a job adds to the scores, and remembers the job.
func (w *Worker) share(job string, add scores) scores {
	i := slices.IndexFunc(w.jobs, func(s jobShare) bool { return s.job == job })
	if i < 0 {
		w.jobs = append(w.jobs[max(0, len(w.jobs)-maxRememberedJobs+1):], jobShare{job: job})
		i = len(w.jobs) - 1
	} else {
		add = scores{failure: add.failure * repeatedJobWeight, slowness: add.slowness * repeatedJobWeight}
	}
	w.jobs[i].failure += add.failure
	return add
}

// Discount takes back what was added for a job's failed runs, as the job has failed on another worker as well.
func (w *Worker) Discount(job string, now time.Duration) {
	w.decay(now)
	for i := range w.jobs {
		if w.jobs[i].job == job {
			w.scores.failure = max(0, w.scores.failure-w.jobs[i].failure)
			w.jobs[i].failure = 0
		}
	}
}

// raise raises the scores and makes the worker a suspect if one of those raised is too high.
func (w *Worker) raise(add scores, reason string, now time.Duration) {
	w.decay(now)
	w.scores.failure = min(w.scores.failure+add.failure, maxScore)
	w.scores.slowness = min(w.scores.slowness+add.slowness, maxScore)
	w.scores.instability = min(w.scores.instability+add.instability, maxScore)
	switch {
	case !w.exceedsThreshold(add):
	case w.listed && w.tracker.suspects < w.tracker.maxSuspects():
		w.suspect(reason, now)
	case w.state != Tolerated:
		w.scores.failure = max(w.scores.failure, threshold)
		w.tolerate()
	}
}

// exceedsThreshold reports whether one of the scores that were raised makes the worker a suspect.
func (w *Worker) exceedsThreshold(added scores) bool {
	limit := scores{failure: threshold, slowness: threshold, instability: threshold}
	if w.state == Returning {
		limit = scores{failure: returningFailureThreshold, slowness: returningSlownessThreshold, instability: returningInstabilityThreshold}
	}
	return added.failure > 0 && w.scores.failure >= limit.failure ||
		added.slowness > 0 && w.scores.slowness >= limit.slowness ||
		added.instability > 0 && w.scores.instability >= limit.instability
}

// decay lowers the scores by the time that has passed. A tolerated worker with low scores is normal again.
func (w *Worker) decay(now time.Duration) {
	if now > w.decayedAt {
		f := math.Exp2(-float64(now-w.decayedAt) / float64(halfLife))
		w.scores.failure *= f
		w.scores.slowness *= f
		w.scores.instability *= math.Exp2(-float64(now-w.decayedAt) / float64(instabilityHalfLife))
		w.decayedAt = now
	}
	if w.state == Tolerated && max(w.scores.failure, w.scores.slowness, w.scores.instability) < threshold/2 {
		w.enter(Normal)
		w.tracker.record(EventRecovered, w, "")
	}
}
