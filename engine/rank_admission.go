package engine

import (
	"time"

	"samphirepoint/ranking"
)

// runningWorkShare is the mean share of its work that a running task has yet to do.
const runningWorkShare = 0.5

// refusalDelay is how long a pool must have been full before jobs are refused for the work ahead of them, unless their workspace alone overfills
// it. Instances that are ordered at the beginning of a peak serve some seconds later; until then the throughput says little of what the
// pool will complete.
const refusalDelay = 3 * time.Second

// quotaBacklog is the waiting work of a capped workspace, as of a count of the accepted work.
type quotaBacklog struct {
	// planned is what the workspace could start within its allotment, beside what it has running.
	planned Resources
	// work is the work beyond that. Each count since then has found some.
	work  float64
	since time.Duration
}

// admitRanked is Admit for a ranked pool. While every waiting task finds a worker, nothing is refused but work beyond a workspace's quota.
func (p *Pool) admitRanked(spec *Spec) (ranking.Refusal, bool) {
	if !p.rank.full && !p.workspaces.settings[spec.Workspace].Capped {
		return ranking.Refusal{}, true
	}
	q := p.queueOfSpec(spec)
	// Dependencies, expected run times and the objective are those of the job that Submit would create.
	o := newJob(*spec, 0).instantiateOccurrence(0)
	criticalPath := p.remainingCriticalPath(o)
	t := ranking.Timing{Now: p.now, Objective: q.objective(criticalPath), Remaining: criticalPath, Setup: p.setupTime(o), Full: true}
	t.Deadline = t.Now + t.Objective
	refusal, refused := p.refuseBehindQuota(spec.Workspace, t)
	if !refused && p.rank.full {
		key := ranking.Key{Priority: q.Priority, WorkspacePriority: p.workspaces.settings[spec.Workspace].Priority, Deadline: t.Deadline - t.Setup}
		p.rank.queue.Throughput, p.rank.queue.MaxDrain = p.throughput(), p.maxDrain()
		refusal, refused = p.rank.queue.Refuse(key, p.rank.shares.Account(spec.Workspace), t)
		refused = refused && (refusal.Overfull || p.now-p.rank.fullSince >= refusalDelay)
	}
	refusal.RetryAfter = min(refusal.RetryAfter, p.options.CompleteWithin)
	return refusal, !refused
}

// refuseBehindQuota decides on a job of a workspace whose other work has waited for its allotment for throughputWindow. Before, the allotment may
// yet be raised. The work drains by what the workspace has running.
func (p *Pool) refuseBehindQuota(workspace string, t ranking.Timing) (ranking.Refusal, bool) {
	b, used := p.rank.quotaBacklogs[workspace], p.workspaces.used[workspace].CPU
	if b == nil || b.work == 0 || used == 0 || p.now-b.since < throughputWindow {
		return ranking.Refusal{}, false
	}
	return ranking.RefuseBehind(time.Duration(b.work/float64(used)*float64(time.Millisecond)), t)
}

// beginBacklogCount begins a count of the accepted work.
func (p *Pool) beginBacklogCount(c Clock) {
	p.rank.queue.Reset()
	for name, b := range p.rank.quotaBacklogs {
		if b.work == 0 {
			b.since = c.Now
		}
		b.planned, b.work = Resources{}, 0
		if !p.workspaces.settings[name].Capped {
			delete(p.rank.quotaBacklogs, name)
		}
	}
}

// waitsForQuota reports whether waiting tasks of a workspace have to wait for its allotment, and adds them to the workspace's quota backlog.
func (p *Pool) waitsForQuota(workspace string, need Resources, work float64, c Clock) bool {
	if !p.workspaces.settings[workspace].Capped {
		return false
	}
	b := p.rank.quotaBacklogs[workspace]
	if b == nil {
		b = &quotaBacklog{since: c.Now}
		if p.rank.quotaBacklogs == nil {
			p.rank.quotaBacklogs = map[string]*quotaBacklog{}
		}
		p.rank.quotaBacklogs[workspace] = b
	}
	if p.workspaces.mayStart(workspace, b.planned.Add(need)) {
		b.planned = b.planned.Add(need)
		return false
	}
	b.work += work
	return true
}

// throughput returns the work that the pool completes in a millisecond: what it completed recently, or as long as that is not known the CPU
// of its workers.
func (p *Pool) throughput() float64 {
	if done, known := p.backlog.throughput(); known {
		return done.work / float64(done.active) * float64(time.Millisecond)
	}
	return float64(p.rank.capacity)
}

// queueWork adds a new job to the accepted work.
func (p *Pool) queueWork(j *Job, c Clock) {
	if !p.ranked() {
		return
	}
	q := p.queueOf(j)
	for o := range j.openOccurrences() {
		p.queueOccurrence(o, q, c)
	}
}

// queueOccurrence adds what is left of an occurrence to the accepted work by rank. Work that waits for its workspace's allotment or that no
// worker can run goes before nothing.
func (p *Pool) queueOccurrence(o *occurrence, q Queue, c Clock) {
	if !p.ranked() {
		return
	}
	work, name := 0.0, o.job.Spec.Workspace
	for _, st := range o.steps {
		if st.complete() || st.spec.LongRunning || !p.hasWorkerFor(st, q) {
			continue
		}
		running, waiting := st.countRemaining()
		work += runningWorkShare * float64(running) * p.taskWork(st)
		if waitingWork := float64(waiting) * p.taskWork(st); !p.waitsForQuota(name, st.spec.Need.Times(waiting), waitingWork, c) {
			work += waitingWork
		}
	}
	if work > 0 {
		p.rank.queue.Add(p.keyOf(o, q, c), p.rank.shares.Account(name), work)
	}
}

// countRemaining counts the tasks that run and those that wait, now or for earlier steps.
func (st *stepState) countRemaining() (running, waiting int) {
	for _, t := range st.tasks {
		switch {
		case t.done:
		case len(t.live) > 0:
			running++
		default:
			waiting++
		}
	}
	return running, waiting
}

// taskWork returns the expected work of a task of the step, in thousandths of a core times milliseconds.
func (p *Pool) taskWork(st *stepState) float64 {
	return float64(st.spec.Footprint().CPU) * p.expectedRunTime(st)
}

// completedTogether returns the number of tasks that are done with the first one that is.
func (st *stepState) completedTogether() int {
	if st.spec.Gang {
		return len(st.tasks)
	}
	return 1
}
