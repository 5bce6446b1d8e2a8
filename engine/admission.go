package engine

import (
	"time"

	"samphirepoint/ranking"
)

const (
	// backlogInterval is the time between two counts of the backlog.
	backlogInterval = 250 * time.Millisecond
	// throughputWindow is the period of activity over which the completed tasks are counted. A backlog counts only once it has
	// lasted that long: before, the throughput is that of the time before the surge.
	throughputWindow = 2 * time.Second
	// maxCompletionGap is the longest time without a completed task that says something of a pool's throughput. Tasks of a pool with a
	// backlog end in turn, so that a longer gap has another cause.
	maxCompletionGap = 1500 * time.Millisecond
	// maxBacklogShare is the share of Options.CompleteWithin that the backlog may take to drain. The rest is for the last tasks' own
	// run times and for a takeover in between.
	maxBacklogShare = 0.7
)

// backlog is the work that was accepted and has not ended, and how fast the pool completes tasks.
type backlog struct {
	countedAt time.Duration
	// remaining is the number of tasks that have not ended, by the priority of their queue, without long-running ones and those
	// that no worker of the pool can run.
	remaining map[int]int
	// since is when tasks that could run began to wait without interruption, or 0 while none waits.
	since     time.Duration
	completed int64
	// work is the work of the completed tasks, in thousandths of a core times milliseconds, as it was expected.
	work float64
	// active is the time in which tasks completed. It is counted anew after a gap without a completion of more than maxCompletionGap:
	// while the store or the owner stands still, nothing completes whatever the pool's throughput is.
	active         time.Duration
	lastCompletion time.Duration
	samples        []throughputSample
}

type throughputSample struct {
	active    time.Duration
	completed int64
	work      float64
}

// updateBacklog counts the backlog. A pool whose owner, rather than its workers, limits the starts shows a backlog beside idle
// capacity, so only counted completions tell how fast it drains.
func (p *Pool) updateBacklog(c Clock) {
	b := &p.backlog
	if c.Now-b.countedAt < backlogInterval && b.countedAt != 0 {
		return
	}
	b.countedAt = c.Now
	waiting := p.countRemaining(c)
	switch {
	case !waiting:
		b.since = 0
		b.samples = nil
		return
	case b.since == 0:
		b.since, b.lastCompletion = c.Now, c.Now
	case b.completed == b.samples[len(b.samples)-1].completed:
		return
	}
	if gap := c.Now - b.lastCompletion; gap <= maxCompletionGap {
		b.active += gap
	} else {
		b.samples = nil
	}
	b.lastCompletion = c.Now
	b.samples = append(b.samples, throughputSample{active: b.active, completed: b.completed, work: b.work})
	for len(b.samples) > 1 && b.active-b.samples[1].active >= throughputWindow {
		b.samples = b.samples[1:]
	}
}

// countRemaining counts the remaining tasks and reports whether some wait that could run.
func (p *Pool) countRemaining(c Clock) (waiting bool) {
	p.backlog.remaining = map[int]int{}
	p.beginBacklogCount(c)
	for _, j := range p.openJobs {
		q := p.queueOf(j)
		for o := range j.openOccurrences() {
			for _, st := range o.steps {
				if st.spec.LongRunning || st.complete() || !p.hasWorkerFor(st, q) {
					continue
				}
				p.backlog.remaining[q.Priority] += len(st.tasks) - st.done
				waiting = waiting || st.dependenciesDone() && st.hasPending(c.Now)
			}
			p.queueOccurrence(o, q, c)
		}
	}
	return waiting
}

// hasWorkerFor reports whether the pool has a worker that could run the step's tasks if it were idle.
func (p *Pool) hasWorkerFor(st *stepState, q Queue) bool {
	need := st.spec.Footprint()
	for _, w := range p.workers {
		if !w.listed || !w.hasLabel(st.spec.RequiredLabel) || !w.info.Capacity.Covers(need) {
			continue
		}
		if !q.Advised || !st.denies(w) {
			return true
		}
	}
	return false
}

// drainTime returns how long the accepted work of the given priority and of more important ones takes to complete at the recent
// throughput. It reports false while that is not known: without a backlog, and until tasks have completed beside a backlog for
// throughputWindow.
func (b *backlog) drainTime(priority int) (time.Duration, bool) {
	done, known := b.throughput()
	if !known {
		return 0, false
	}
	remaining := 0
	for level, n := range b.remaining {
		if level <= priority {
			remaining += n
		}
	}
	return time.Duration(float64(done.active) * float64(remaining) / float64(done.completed)), true
}

// throughput returns what was completed recently, and in how much time. It reports false while that is not known.
func (b *backlog) throughput() (done throughputSample, known bool) {
	if b.since == 0 {
		return throughputSample{}, false
	}
	first, last := b.samples[0], b.samples[len(b.samples)-1]
	done = throughputSample{active: last.active - first.active, completed: last.completed - first.completed, work: last.work - first.work}
	return done, done.completed > 0 && done.active >= throughputWindow
}

// Admit reports whether the pool can complete one more job with the given spec in time. If not, it returns why, and the time after which
// it can. Jobs of long-running tasks and scheduled jobs are always admitted: they do not queue for capacity now.
func (p *Pool) Admit(spec *Spec) (ranking.Refusal, bool) {
	if spec.RepeatCount > 0 || spec.allLongRunning() {
		return ranking.Refusal{}, true
	}
	if p.ranked() {
		return p.admitRanked(spec)
	}
	drain, known := p.backlog.drainTime(p.queueOfSpec(spec).Priority)
	limit := p.maxDrain()
	if !known || drain <= limit {
		return ranking.Refusal{}, true
	}
	return ranking.Refusal{Reason: ranking.Backlog, RetryAfter: min(drain-limit, p.options.CompleteWithin)}, false
}

// maxDrain returns the longest time that the accepted work may take to complete.
func (p *Pool) maxDrain() time.Duration {
	return time.Duration(maxBacklogShare * float64(p.options.CompleteWithin))
}

func (s *Spec) allLongRunning() bool {
	for i := range s.Steps {
		if !s.Steps[i].LongRunning {
			return false
		}
	}
	return true
}
