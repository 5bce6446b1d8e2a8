package engine

import "time"

const (
	// backlogInterval is the time between two counts of the backlog.
	backlogInterval = 250 * time.Millisecond
	// throughputWindow is the period over which the completed tasks are counted. A backlog counts only once it has lasted that
	// long: before, the throughput is that of the time before the surge.
	throughputWindow = 2 * time.Second
	// maxBacklogShare is the share of Options.CompleteWithin that the backlog may take to drain. The rest is for the last tasks' own
	// run times and for a takeover in between.
	maxBacklogShare = 0.7
)

// backlog is the work that was accepted and has not started, and how fast the pool completes tasks.
type backlog struct {
	countedAt time.Duration
	// remaining is the number of tasks that have not ended, without long-running ones.
	remaining int
	// since is when tasks that could run began to wait without interruption, or 0 while none waits.
	since     time.Duration
	completed int64
	samples   []throughputSample
}

type throughputSample struct {
	at        time.Duration
	completed int64
}

// updateBacklog counts the backlog. A pool whose owner, rather than its workers, limits the starts shows a backlog beside idle
// capacity, so only counted completions tell how fast it drains.
func (p *Pool) updateBacklog(c Clock) {
	b := &p.backlog
	if c.Now-b.countedAt < backlogInterval && b.countedAt != 0 {
		return
	}
	b.countedAt = c.Now
	ready := 0
	b.remaining = 0
	for _, j := range p.openJobs {
		for o := range j.openOccurrences() {
			for _, st := range o.steps {
				if st.spec.LongRunning || st.complete() {
					continue
				}
				b.remaining += len(st.tasks) - st.done
				if st.dependenciesDone() && st.hasPending(c.Now) {
					ready++
				}
			}
		}
	}
	switch {
	case ready == 0:
		b.since = 0
	case b.since == 0:
		b.since = c.Now
	}
	b.samples = append(b.samples, throughputSample{at: c.Now, completed: b.completed})
	for len(b.samples) > 1 && c.Now-b.samples[1].at >= throughputWindow {
		b.samples = b.samples[1:]
	}
}

// drainTime returns how long the accepted work takes to complete at the recent throughput. It reports false while that is not
// known: without a backlog, after a surge has just begun, and while nothing completes.
func (b *backlog) drainTime(now time.Duration) (time.Duration, bool) {
	if b.since == 0 || now-b.since < throughputWindow {
		return 0, false
	}
	first := b.samples[0]
	completed, period := b.completed-first.completed, now-first.at
	if completed <= 0 || period < throughputWindow {
		return 0, false
	}
	return time.Duration(float64(period) * float64(b.remaining) / float64(completed)), true
}

// Admit reports whether the pool can complete one more job with the given spec in time. If not, it returns the time after which
// the backlog will have drained so far that it can. Jobs of long-running tasks and scheduled jobs are always admitted: they do not
// queue for capacity now.
func (p *Pool) Admit(spec *Spec, c Clock) (retryAfter time.Duration, ok bool) {
	if spec.RepeatCount > 0 || spec.allLongRunning() {
		return 0, true
	}
	drain, known := p.backlog.drainTime(c.Now)
	limit := time.Duration(maxBacklogShare * float64(p.options.CompleteWithin))
	if !known || drain <= limit {
		return 0, true
	}
	return drain - limit, false
}

func (s *Spec) allLongRunning() bool {
	for i := range s.Steps {
		if !s.Steps[i].LongRunning {
			return false
		}
	}
	return true
}
