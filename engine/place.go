package engine

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"samphirepoint/ranking"
)

// schedulable reports whether a worker may get new starts.
func (p *Pool) schedulable(w *Worker, c Clock) bool {
	return p.available(w, c) && p.rosterCurrent(c)
}

// available reports whether a worker accepts new starts, as far as the last list of workers says.
func (p *Pool) available(w *Worker, c Clock) bool {
	return w.acceptsWork(c) && w.orphans == 0 && !w.reportedGone && w.describedByEntry() && p.reachable(w, c)
}

// acceptsWork reports whether the worker is listed and neither draining nor cordoned.
func (w *Worker) acceptsWork(c Clock) bool {
	return w.listed && !w.info.Draining && w.cordonedUntil <= c.Now
}

// describedByEntry reports whether the worker's entry is of the incarnation that answers: an earlier one may have had other labels and capacity.
func (w *Worker) describedByEntry() bool {
	return w.info.Incarnation == 0 || w.incarnation == 0 || w.info.Incarnation == w.incarnation
}

const (
	// maxRosterAge is the age of the list of workers, and maxRosterAttemptAge that of the last attempt to read it, from which on nothing
	// is started: a worker may have begun to drain since. The first one lets work go on while the part of the store with the list is
	// away, when no worker can report that it drains. The second one is for a process that was paused, or has only begun to follow the
	// list.
	maxRosterAge        = 12 * time.Second
	maxRosterAttemptAge = 2 * time.Second
)

// SetRosterAge records when the list of workers was read, and when it was last tried to.
func (p *Pool) SetRosterAge(readAt, triedAt Clock) {
	if !p.rosterCurrent(triedAt) {
		p.placementNeeded = true
	}
	p.rosterReadAt, p.rosterTriedAt, p.rosterDated = readAt, triedAt, true
}

// rosterCurrent reports whether the list of workers is new enough to start work by.
func (p *Pool) rosterCurrent(c Clock) bool {
	return !p.rosterDated || c.Since(p.rosterTriedAt) < maxRosterAttemptAge && c.Since(p.rosterReadAt) < maxRosterAge
}

// candidate is a step with tasks that may start now.
type candidate struct {
	step        *stepState
	longRunning bool
	// key orders the long-running candidates, and the others.
	key ranking.Key
	// account is the one of the job's workspace, nil unless the pool is ranked.
	account *ranking.Account
}

// Place decides which tasks start where, and records the decisions in the jobs.
func (p *Pool) Place(c Clock) {
	if !p.placementNeeded {
		return
	}
	p.placementNeeded = false
	p.noRoom = p.noRoom[:0]
	p.adviceNeeds = adviceNeeds{}
	workers := p.usableWorkers(c)
	p.beginPlacement(workers, c)
	p.updateScarcity()
	p.evacuate(c)
	for _, cd := range p.candidates(c) {
		if !cd.step.spec.LongRunning && p.pendingStarts >= maxPendingStarts {
			p.placementNeeded = true
			p.rank.nextFull = true
			continue
		}
		p.placeStep(cd, workers, c)
	}
	if p.rank.nextFull && !p.rank.full {
		p.rank.fullSince = c.Now
	}
	p.rank.full = p.rank.nextFull
	if p.pendingStarts < maxPendingStarts {
		p.speculate(workers, c)
	}
}

// maxPendingStarts is the number of starts that may wait for the store or for their worker's answer before no more are decided, so
// that the choice of the next task uses the newest state of the queue, and no start waits until its lease is used up on an owner with
// little processor time.
const maxPendingStarts = 240

// awaitsOutcome reports whether the run was decided and its start is neither answered nor known to be unanswered.
func (r *Run) awaitsOutcome() bool {
	return r.phase == phaseDecided || (r.phase == phaseStarting && !r.outcomeUnknown)
}

// countPending updates the number of pending starts after a change of a run. gone is set if the run has ended.
func (p *Pool) countPending(r *Run, gone bool) {
	pending := !gone && r.awaitsOutcome()
	switch {
	case pending && !r.pending:
		p.pendingStarts++
	case !pending && r.pending:
		p.pendingStarts--
	}
	r.pending = pending
}

// RequestPlacement makes the next Place run a placement even if no event asked for one.
func (p *Pool) RequestPlacement() { p.placementNeeded = true }

func (p *Pool) usableWorkers(c Clock) []*Worker {
	if p.workersByID == nil {
		p.workersByID = slices.SortedFunc(maps.Values(p.workers), func(a, b *Worker) int { return cmp.Compare(a.ID, b.ID) })
	}
	out := p.usableBuffer[:0]
	for _, w := range p.workersByID {
		if p.schedulable(w, c) && w.backoffUntil <= c.Now {
			out = append(out, w)
		}
	}
	p.usableBuffer = out
	return out
}

// candidates returns the steps with tasks to start in scheduling order: long-running tasks, then the others; each group by key and arrival.
func (p *Pool) candidates(c Clock) []candidate {
	out := p.candidateBuffer[:0]
	p.beginRound(c)
	for _, j := range p.openJobs {
		for o := range j.openOccurrences() {
			out = p.addCandidates(out, o, c)
		}
	}
	p.finishKeys(out, c)
	slices.SortStableFunc(out, compareCandidates)
	p.candidateBuffer = out
	return out
}

func compareCandidates(a, b candidate) int {
	if a.longRunning != b.longRunning {
		return cmp.Compare(rankTrueFirst(a.longRunning), rankTrueFirst(b.longRunning))
	}
	return ranking.Compare(&a.key, &b.key)
}

func (p *Pool) addCandidates(out []candidate, o *occurrence, c Clock) []candidate {
	var key ranking.Key
	var account *ranking.Account
	q := p.queueOf(o.job)
	known := false
	p.chargeStarved(o, c)
	for _, st := range o.steps {
		if st.complete() || !st.dependenciesDone() || !st.hasPending(c.Now) {
			continue
		}
		if !known {
			known = true
			key, account = p.keyOf(o, q, c), p.accountOf(o.job)
		}
		cd := candidate{step: st, longRunning: st.spec.LongRunning && !st.spec.BestEffort, key: key, account: account}
		if st.spec.LongRunning {
			cd.key.Rank = ranking.OnTime
		}
		out = append(out, cd)
	}
	return out
}

// deadline returns when the occurrence's objective expires, on the monotonic clock.
func (p *Pool) deadline(o *occurrence, q Queue, c Clock) time.Duration {
	if o.job.criticalPath == 0 {
		o.job.criticalPath = p.remainingCriticalPath(o)
	}
	age := time.Duration(c.Wall-o.dueMS) * time.Millisecond
	return c.Now - age + q.objective(o.job.criticalPath)
}

// objective returns the time within which a job with the given critical path should end.
func (q *Queue) objective(criticalPath time.Duration) time.Duration {
	return time.Duration(q.Stretch*float64(criticalPath)) + time.Duration(q.TargetMS)*time.Millisecond
}

func (t *Task) pending(now time.Duration) bool {
	return !t.done && len(t.live) == 0 && t.notBefore <= now
}

func (st *stepState) hasPending(now time.Duration) bool {
	return slices.ContainsFunc(st.tasks, func(t *Task) bool { return t.pending(now) })
}

// countPendingTasks returns the number of the step's tasks that could start now.
func (st *stepState) countPendingTasks(now time.Duration) int {
	n := 0
	for _, t := range st.tasks {
		if t.pending(now) {
			n++
		}
	}
	return n
}

// placeStep starts the step's waiting tasks as far as there is room. What needs advice for more of them is noted.
func (p *Pool) placeStep(cd candidate, workers []*Worker, c Clock) {
	if !p.queueOf(cd.step.occ.job).Advised {
		p.placeTasks(cd, workers, c)
		return
	}
	// Without a ticket, long-running tasks still have capacity reserved on the workers that are known to be permitted.
	if cd.step.hasAnyTicket(workers, c.Now) || (cd.longRunning && slices.ContainsFunc(workers, cd.step.isPermitted)) {
		p.placeTasks(cd, workers, c)
	}
	p.noteAdviceNeed(cd.step, workers, c)
}

func (p *Pool) placeTasks(cd candidate, workers []*Worker, c Clock) {
	st := cd.step
	if st.spec.Gang {
		p.placeGang(cd, workers, c)
		return
	}
	if p.knownFull(st.spec) && !p.rank.reservedFor(st.occ) {
		return
	}
	rack := st.commonRack()
	for _, t := range st.tasks {
		if !t.pending(c.Now) {
			continue
		}
		if !p.workspaces.admitStart(t.job().Spec.Workspace, st.spec.Need, 1) {
			return
		}
		w := p.chooseWorker(t, workers, rack, c)
		if w == nil {
			if cd.longRunning {
				p.reserve(t, workers, c)
				continue
			}
			p.noteFull(cd, workers, c)
			if p.suspects == nil || !p.isLastAttempt(t) { // A last attempt is kept off workers that others may use.
				p.recordFull(st.spec, p.queueOf(st.occ.job))
			}
			return
		}
		p.start(t, w, t.lastRun+1, c)
		if st.spec.SameRack && rack == "" {
			rack = w.rack()
		}
	}
}

// knownFull reports whether a step with no stricter requirements found no worker earlier in this placement. Without it, each
// placement of a pool with a long queue tries every worker for every waiting step.
func (p *Pool) knownFull(st *Step) bool {
	return !st.LongRunning && slices.ContainsFunc(p.noRoom, st.Footprint().Covers)
}

// recordFull records that no worker has room for a task of the step, unless the step has requirements beyond its footprint.
// Workers only fill up during a placement.
func (p *Pool) recordFull(st *Step, q Queue) {
	if !st.LongRunning && st.RequiredLabel == "" && st.AntiAffinity == 0 && !q.Advised {
		p.noRoom = append(p.noRoom, st.Footprint())
	}
}

// commonRack returns the rack on which tasks of a same-rack step already run, or "".
func (st *stepState) commonRack() string {
	if !st.spec.SameRack {
		return ""
	}
	for _, t := range st.tasks {
		for _, r := range t.live {
			return r.Worker.rack()
		}
	}
	return ""
}

// start creates a run; its order is sent once the job is in the store.
func (p *Pool) start(t *Task, w *Worker, run int64, c Clock) {
	t.lastRun = run
	r := &Run{Task: t, Num: run, Worker: w, incarnation: w.incarnation, phase: phaseDecided, throttlePercent: 100, throttleConfirmed: true, startedAt: c.Now}
	if a := t.step.adviceOn(w); a != nil {
		r.ticket = a.ticket
	}
	p.addRun(r)
	if w.condition != nil {
		r.period = w.condition.Started()
	}
	p.countPending(r, false)
	p.markDirty(t.job())
	r.rev = t.job().rev
	p.recordDecision("start", t.id.String(), run, w.ID, "")
}

// fits reports whether the worker may run the task now.
func (p *Pool) fits(t *Task, w *Worker, c Clock) bool {
	st := t.step.spec
	if !w.info.Capacity.Sub(w.used).Covers(st.Footprint()) || !p.mayRun(t, w, c) {
		return false
	}
	return !p.queueOf(t.job()).Advised || t.step.hasTicket(w, c.Now)
}

// mayRun reports whether the worker may run the task if it has the capacity, and a ticket where one is needed.
func (p *Pool) mayRun(t *Task, w *Worker, c Clock) bool {
	if !t.step.permitsWorker(w) || !p.admitsTask(t, w, c) {
		return false
	}
	return !p.queueOf(t.job()).Advised || t.step.isPermitted(w)
}

// permitsWorker reports whether the worker has the step's label and may take one more of its tasks.
func (st *stepState) permitsWorker(w *Worker) bool {
	if !w.hasLabel(st.spec.RequiredLabel) {
		return false
	}
	return st.spec.AntiAffinity == 0 || w.runsOfStep(st) < st.spec.AntiAffinity
}

// reservedFromTask reports whether the worker is kept free of the task in this placement.
func (w *Worker) reservedFromTask(t *Task, c Clock) bool {
	return w.reservedAt == c.Now && w.reservedFor != t.step && !t.step.spec.LongRunning
}

// chooseWorker returns the worker with the lowest cost for a task, or nil.
func (p *Pool) chooseWorker(t *Task, workers []*Worker, rack string, c Clock) *Worker {
	var best *Worker
	bestCost := math.Inf(1)
	for _, w := range workers {
		if !p.fits(t, w, c) || w.reservedFromTask(t, c) {
			continue
		}
		cost := p.cost(t, w, rack, c)
		if cost < bestCost {
			best, bestCost = w, cost
		}
	}
	return best
}
