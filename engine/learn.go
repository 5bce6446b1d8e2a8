package engine

import (
	"slices"
	"time"
)

// durationEstimate is the recent mean run time of the tasks of a queue.
type durationEstimate struct {
	mean  float64 // ms
	count int
}

const (
	// minRunTimeSamples is the number of runs from which the observed run time of a queue is used.
	minRunTimeSamples = 5
	// runTimeSmoothing is the weight of the newest run in the moving average.
	runTimeSmoothing = 0.1
	// slowWorkerRatio is the ratio of actual to expected run time above which a worker counts as slow.
	slowWorkerRatio = 2.5
	// avoidPeriod is how long a failing or slow worker is avoided before it is tried again.
	avoidPeriod = 4 * time.Second
	// failScoreLimit is the failure score at which a worker is avoided; each success lowers the score.
	failScoreLimit = 2.0
)

// recordRunTime updates the estimates of the queue and of the worker with the time that a run took.
func (p *Pool) recordRunTime(t *Task, r *Run, c Clock) {
	took := float64((c.Now - r.startedAt).Milliseconds())
	w := r.Worker
	p.runDone(t, r, c)
	if !p.measuresRunTime(w) {
		return
	}
	w.failScore = max(0, w.failScore-1)
	if t.checkpoint != "" || took <= 0 {
		return
	}
	d := p.durationEstimates[t.job().Spec.Queue]
	if d == nil {
		d = &durationEstimate{mean: took}
		p.durationEstimates[t.job().Spec.Queue] = d
	}
	expected := p.expectedRunTime(t.step)
	d.count++
	d.mean += max(runTimeSmoothing, 1/float64(d.count)) * (took - d.mean)
	if expected > 0 && w.condition == nil {
		ratio := took / expected
		w.runTimeSamples++
		w.runTimeRatio += 0.25 * (min(ratio, 8) - w.runTimeRatio)
		if w.runTimeRatio > slowWorkerRatio && w.runTimeSamples > 3 {
			p.recordDecision("worker-slow", "", 0, w.ID, "")
			w.avoidUntil = c.Now + avoidPeriod
			w.runTimeRatio = 1.5
		}
	}
}

// expectedRunTime returns the expected run time of the step's tasks in milliseconds: the mean of the declared time
// and the observed one.
func (p *Pool) expectedRunTime(st *stepState) float64 {
	d := p.durationEstimates[st.occ.job.Spec.Queue]
	declared := float64(st.spec.EstimateMS)
	if d == nil || d.count < minRunTimeSamples {
		return max(declared, 1)
	}
	if declared <= 0 {
		return d.mean
	}
	return (declared + d.mean) / 2
}

// recordFailure counts a failure against a worker. A task that fails on several workers says nothing about them.
func (p *Pool) recordFailure(r *Run, t *Task, c Clock) {
	w := r.Worker
	if len(t.failedOn) > 0 && t.failedOn[w.ID] == 0 {
		p.discountFailures(t, c)
		return
	}
	if w.condition != nil {
		if !t.step.spec.Gang || !slices.Contains(t.failedRuns, r.Num) { // The other members of a gang may fail with the first one.
			w.condition.Failed(r.period, t.id.Job, c.Now)
		}
		return
	}
	w.failScore++
	if w.failScore >= failScoreLimit {
		p.recordDecision("worker-failing", "", 0, w.ID, "")
		w.avoidUntil = c.Now + avoidPeriod
		w.failScore = failScoreLimit / 2
	}
}

// remainingCriticalPath returns the expected length of the longest chain of incomplete steps.
func (p *Pool) remainingCriticalPath(o *occurrence) time.Duration {
	var buf [8]float64
	ends := append(buf[:0], make([]float64, len(o.steps))...)
	longest := 0.0
	for i, st := range o.steps {
		begin := 0.0
		for _, a := range st.spec.After {
			begin = max(begin, ends[a])
		}
		ends[i] = begin
		if !st.complete() {
			ends[i] += p.expectedRunTime(st)
		}
		longest = max(longest, ends[i])
	}
	return time.Duration(longest) * time.Millisecond
}
