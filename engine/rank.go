package engine

import (
	"slices"
	"time"

	"samphirepoint/ranking"
)

const (
	// starvedDivisor bounds the CPU that starved jobs take from all others: 1/starvedDivisor of the pool's, plus one step.
	starvedDivisor = 10
	// reservedDivisor bounds the workers that are kept free for tasks that fit nowhere: 1/reservedDivisor of the pool's, but at least one.
	reservedDivisor = 8
	// maxReservation is how long a worker is kept free for a task. Most runs that occupy it end sooner. After reservationPause, the task may
	// have a worker kept free again; until then, other work can use the room.
	maxReservation   = 2 * time.Second
	reservationPause = 2 * time.Second
)

// rankState is what the pool remembers between placements to rank its jobs.
type rankState struct {
	shares ranking.Shares
	// full is set if some task had to wait in the last placement for a worker or for other starts, nextFull if one had to in the current
	// placement.
	full, nextFull bool
	// fullSince is when the pool was last found full after it had room.
	fullSince time.Duration
	// capacity is the CPU of the listed workers that do not drain, also while they can't be reached, largestWorker that of the largest of
	// them, in thousandths of a core.
	capacity, largestWorker int64
	// starvedBudget is the CPU that starved jobs may yet take in the current placement.
	starvedBudget int64
	// reservations are the workers that are kept free, of which there may be maxReservations.
	reservations    []reservation
	maxReservations int
	// smallest is the smallest need of a waiting task, of each resource, without long-running tasks.
	smallest Resources
	// queue is the accepted work by rank, as of the last count of the backlog and the jobs submitted since.
	queue ranking.Queue
	// quotaBacklogs are those of the capped workspaces, by name.
	quotaBacklogs map[string]*quotaBacklog
}

// reservation keeps a worker free of other work until it has room for a task.
type reservation struct {
	task   *Task
	worker *Worker
	since  time.Duration
}

// beginPlacement prepares a placement on the given workers.
func (p *Pool) beginPlacement(workers []*Worker, c Clock) {
	r := &p.rank
	r.nextFull, r.capacity, r.largestWorker = false, 0, 0
	for _, w := range p.workersByID {
		if w.listed && !w.info.Draining {
			r.capacity += w.info.Capacity.CPU
			r.largestWorker = max(r.largestWorker, w.info.Capacity.CPU)
		}
	}
	r.maxReservations = max(1, len(workers)/reservedDivisor)
	r.reservations = slices.DeleteFunc(r.reservations, func(x reservation) bool { return !p.renewReservation(x, c) })
}

// renewReservation keeps the worker free in the current placement, if the task still waits for it.
func (p *Pool) renewReservation(x reservation, c Clock) bool {
	if c.Now-x.since > maxReservation {
		x.task.reserveAfter = c.Now + reservationPause
		return false
	}
	if !x.task.pending(c.Now) || x.task.job().state.Terminal() || !p.schedulable(x.worker, c) {
		return false
	}
	x.worker.reservedAt, x.worker.reservedFor = c.Now, x.task.step
	return true
}

// ranked reports whether jobs are ordered and refused by package ranking.
func (p *Pool) ranked() bool { return p.options.Ranked || len(p.workspaces.settings) > 0 }

// beginRound begins the computation of the keys of all candidates.
func (p *Pool) beginRound(c Clock) {
	if p.ranked() {
		p.rank.starvedBudget = p.rank.capacity / starvedDivisor
		p.rank.shares.Begin(c.Now, p.workspaces.weight)
	}
}

// weight returns the weight of a workspace. Jobs of public queues together weigh as much as a workspace of mean weight.
func (u *workspaces) weight(name string) float64 {
	if w, ok := u.settings[name]; ok && w.Weight > 0 {
		return w.Weight
	}
	if u.meanWeight > 0 {
		return u.meanWeight
	}
	return 1
}

// keyOf returns the key of a job, without what depends on other jobs.
func (p *Pool) keyOf(o *occurrence, q Queue, c Clock) ranking.Key {
	key := ranking.Key{Priority: q.Priority, Deadline: p.deadline(o, q, c)}
	t := ranking.Timing{Now: c.Now, Deadline: key.Deadline, Objective: q.objective(o.job.criticalPath), Remaining: p.remainingCriticalPath(o)}
	if !p.ranked() {
		key.Rank = min(t.Rank(), ranking.Late)
		return key
	}
	t.Begun, t.Full, t.Setup = o.begun() || p.rank.reservedFor(o), p.rank.full, p.setupTime(o)
	key.Rank, key.Begun = t.Rank(), t.Begun
	key.Deadline -= t.Setup
	key.WorkspacePriority = p.workspaces.settings[o.job.Spec.Workspace].Priority
	return key
}

// chargeStarved takes what a starved job has running from the budget of starved jobs.
func (p *Pool) chargeStarved(o *occurrence, c Clock) {
	if p.ranked() && p.starved(o, c) {
		p.rank.starvedBudget -= o.runningCPU()
	}
}

// accountOf returns the account of a job's workspace, and records that the workspace waits. It returns nil unless the pool is ranked.
func (p *Pool) accountOf(j *Job) *ranking.Account {
	if !p.ranked() {
		return nil
	}
	a := p.rank.shares.Account(j.Spec.Workspace)
	a.Wait()
	return a
}

// finishKeys adds to the keys what depends on other jobs, once all workspaces that wait are known. The candidates are in order of arrival, so
// that the oldest starved jobs use up the budget.
func (p *Pool) finishKeys(list []candidate, c Clock) {
	if !p.ranked() {
		return
	}
	p.rank.smallest = Resources{CPU: Unlimited, Mem: Unlimited, GPU: Unlimited}
	for i := range list {
		cd := &list[i]
		cd.key.BeyondShare = cd.account.Beyond()
		if cd.step.spec.LongRunning {
			continue
		}
		need := cd.step.spec.Footprint()
		p.rank.smallest = p.rank.smallest.Min(need)
		if p.rank.starvedBudget > 0 && p.starved(cd.step.occ, c) {
			cd.key.Starved = true
			p.rank.starvedBudget -= need.CPU * int64(cd.step.countPendingTasks(c.Now))
		}
	}
}

// starved reports whether a job has no value any more and has waited for longer than accepted work may.
func (p *Pool) starved(o *occurrence, c Clock) bool {
	if time.Duration(c.Wall-o.dueMS)*time.Millisecond <= p.options.CompleteWithin {
		return false
	}
	q := p.queueOf(o.job)
	return c.Now > p.deadline(o, q, c)+(ranking.ValueFactor-1)*q.objective(o.job.criticalPath)
}

// begun reports whether a task was started. The first task of each step is started first.
func (o *occurrence) begun() bool {
	for _, st := range o.steps {
		if len(st.tasks) > 0 && st.tasks[0].lastRun > 0 {
			return true
		}
	}
	return false
}

// runningCPU returns the CPU of the occurrence's runs, in thousandths of a core.
func (o *occurrence) runningCPU() int64 {
	n := int64(0)
	for _, t := range o.tasks {
		if !t.step.spec.LongRunning {
			n += int64(len(t.live)) * t.step.spec.Footprint().CPU
		}
	}
	return n
}

// noteFull records that no worker has room for a task of the step. If the pool is ranked, workers are kept free for tasks of jobs that can be on
// time or are starved, if they need more than some that go after them. Otherwise a large task never runs while smaller ones fill the room that
// each ended run leaves.
func (p *Pool) noteFull(cd candidate, workers []*Worker, c Clock) {
	st := cd.step
	p.rank.nextFull = true
	if !p.ranked() || p.rank.smallest.Covers(st.spec.Footprint()) || (cd.key.Rank != ranking.OnTime && !cd.key.Starved) {
		return
	}
	for _, t := range st.tasks {
		if len(p.rank.reservations) >= p.rank.maxReservations {
			return
		}
		if !t.pending(c.Now) || t.reserveAfter > c.Now || slices.ContainsFunc(p.rank.reservations, func(x reservation) bool { return x.task == t }) {
			continue
		}
		w := p.workerToReserve(t, workers, func(w *Worker) bool { return w.reservedAt == c.Now }, c)
		if w == nil {
			return
		}
		w.reservedAt, w.reservedFor = c.Now, st
		p.rank.reservations = append(p.rank.reservations, reservation{task: t, worker: w, since: c.Now})
	}
}

// reservedFor reports whether a worker is kept free for the occurrence. It then counts as begun, since the worker would otherwise be kept free in vain.
func (r *rankState) reservedFor(o *occurrence) bool {
	return slices.ContainsFunc(r.reservations, func(x reservation) bool { return x.task.step.occ == o })
}

// setupTime returns how long a full pool takes until it has room for the tasks of one of the occurrence's steps. In the run time of a task, the
// CPU of the whole pool becomes free once, and where smaller tasks wait, that of a worker.
func (p *Pool) setupTime(o *occurrence) time.Duration {
	worst := 0.0
	for _, st := range o.steps {
		if st.complete() || st.spec.LongRunning {
			continue
		}
		need := st.spec.Footprint()
		share := float64(need.CPU) * float64(len(st.tasks)-st.done) / float64(max(p.rank.capacity, 1))
		if !p.rank.smallest.Covers(need) {
			share = max(share, float64(need.CPU)/float64(max(p.rank.largestWorker, 1)))
		}
		worst = max(worst, min(share, 1)*p.expectedRunTime(st))
	}
	return time.Duration(worst) * time.Millisecond
}
