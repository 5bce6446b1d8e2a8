package suspect

import "time"

// probe is what is known of the next, or the present, probe run of a suspect.
type probe struct {
	// at is when the next probe run is due; delay is the time that it was put off.
	at, delay time.Duration
	// failed is set once the present probe run has failed, though it may still be on the worker.
	failed bool

	// askedAt is when the worker's health was asked last.
	askedAt    time.Duration
	asked      bool
	health     Health
	answeredAt time.Duration
	answered   bool
}

const (
	// minProbeDelay and maxProbeDelay bound the exponential backoff between probe runs.
	minProbeDelay = 500 * time.Millisecond
	maxProbeDelay = 4 * time.Second
	// relapsePeriod is the time after its return in which a worker that is a suspect again waits longer for its probe run.
	relapsePeriod = 30 * time.Second
	// maxHealthDelay bounds the time by which unhealthy or missing answers delay a probe run: they may be false.
	maxHealthDelay = 2 * time.Second
	// healthInterval is the least time between two questions to a suspect.
	healthInterval = time.Second
)

// Health is an answer of a worker's health path.
type Health uint8

// The answers of a health path.
const (
	// Unknown: there was no answer, or none that says anything.
	Unknown Health = iota
	Healthy
	Unhealthy
)

// String returns the name for the log.
func (h Health) String() string { return [...]string{"unknown", "healthy", "unhealthy"}[h] }

// ProbeDue reports whether a probe run may start on the suspect now, and for how long it has been due.
func (w *Worker) ProbeDue(now time.Duration) (waited time.Duration, due bool) {
	if w.state != Suspected || w.running > 0 || now < w.probe.at || !w.healthAllowsProbe(now) {
		return 0, false
	}
	return now - w.probe.at, true
}

// healthAllowsProbe reports whether the worker's health was asked for this probe run, or need not be.
func (w *Worker) healthAllowsProbe(now time.Duration) bool {
	if !w.tracker.asksHealth || now >= w.probe.at+maxHealthDelay {
		return true
	}
	return w.probe.answered && w.probe.answeredAt >= w.probe.at && w.probe.health != Unhealthy
}

// AskHealth reports whether the worker's health is to be asked now, and records that it is. It is asked only for a probe run that is due.
func (w *Worker) AskHealth(now time.Duration) bool {
	if w.state != Suspected || w.running > 0 || now < w.probe.at || w.healthAllowsProbe(now) {
		return false
	}
	if w.probe.asked && now-w.probe.askedAt < healthInterval {
		return false
	}
	w.probe.asked, w.probe.askedAt = true, now
	return true
}

// HealthAnswered records an answer of the worker's health path. It ends no suspicion.
func (w *Worker) HealthAnswered(h Health, now time.Duration) {
	if w.state != Suspected {
		return
	}
	w.probe.health, w.probe.answered, w.probe.answeredAt = h, true, now
	w.tracker.record(EventHealthAnswered, w, h.String())
}

// probeFailed doubles the delay until the next probe run, which also waits until the present one is over.
func (w *Worker) probeFailed(reason string, now time.Duration) {
	if w.probe.failed {
		return
	}
	w.probe.failed = true
	w.probe.delay = min(2*w.probe.delay, maxProbeDelay)
	w.probe.at = now + w.probe.delay
	w.tracker.record(EventProbeFailed, w, reason)
}

// probeSucceeded ends the suspicion if the run is the present probe run and has not been found slow before.
func (w *Worker) probeSucceeded(p Period, now time.Duration) {
	if p != w.period || w.probe.failed {
		return
	}
	w.enter(Returning)
	w.scores.failure, w.scores.slowness = 0, 0
	w.limit, w.returnedAt = firstReturnLimit, now
	w.tracker.record(EventReturned, w, "")
}
