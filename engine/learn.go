package engine

import (
	"time"
)

// durations is what a step of a queue has taken lately.
type durations struct {
	mean  float64 // ms
	count int
}

const (
	// learnWeight is the weight of the newest run.
	learnWeight = 0.1
	// slowRatio tells a worker that takes far longer than its peers.
	slowRatio = 2.5
	// badPause is for how long a worker that fails or lags is avoided before it is tried again.
	badPause = 4 * time.Second
	// failLimit is the score of failures in a row at which a worker is avoided.
	failLimit = 2.0
)

// learn takes in how long a run took.
func (p *Pool) learn(t *Task, r *Run, c Clock) {
	took := float64((c.Now - r.startedAt).Milliseconds())
	w := r.Worker
	w.failScore = max(0, w.failScore-1)
	if t.saved != "" || took <= 0 {
		return
	}
	d := p.learned[t.job().Spec.Queue]
	if d == nil {
		d = &durations{mean: took}
		p.learned[t.job().Spec.Queue] = d
	}
	expected := p.expected(t.step)
	d.count++
	d.mean += max(learnWeight, 1/float64(d.count)) * (took - d.mean)
	if expected > 0 {
		ratio := took / expected
		w.ratioCount++
		w.ratio += 0.25 * (min(ratio, 8) - w.ratio)
		if w.ratio > slowRatio && w.ratioCount > 3 {
			p.note("worker-slow", "", 0, w.ID, "")
			w.badUntil = c.Now + badPause
			w.ratio = 1.5
		}
	}
}

// expected is the run time in milliseconds that is expected of a step's tasks: between what was declared and what was learned.
func (p *Pool) expected(st *stepState) float64 {
	d := p.learned[st.occ.job.Spec.Queue]
	declared := float64(st.spec.EstimateMS)
	if d == nil || d.count < 5 {
		return max(declared, 1)
	}
	if declared <= 0 {
		return d.mean
	}
	return (declared + d.mean) / 2
}

// blame counts a failure against a worker. A job that fails on several workers says nothing of them.
func (p *Pool) blame(w *Worker, t *Task, c Clock) {
	if len(t.failedOn) > 0 && t.failedOn[w.ID] == 0 {
		return
	}
	w.failScore++
	if w.failScore >= failLimit {
		p.note("worker-failing", "", 0, w.ID, "")
		w.badUntil = c.Now + badPause
		w.failScore = failLimit / 2
	}
}

// chainLeft is the expected length of the longest chain of steps that are left.
func (p *Pool) chainLeft(o *occurrence) time.Duration {
	ends := make([]float64, len(o.steps))
	longest := 0.0
	for i, st := range o.steps {
		begin := 0.0
		for _, a := range st.spec.After {
			begin = max(begin, ends[a])
		}
		ends[i] = begin
		if !st.complete() {
			ends[i] += p.expected(st)
		}
		longest = max(longest, ends[i])
	}
	return time.Duration(longest) * time.Millisecond
}
