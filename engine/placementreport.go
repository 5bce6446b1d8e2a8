package engine

import (
	"math"
	"slices"
	"time"

	"samphirepoint/ranking"
)

// PlacementReport explains how the pool would treat a job if it were submitted now.
type PlacementReport struct {
	Job string `json:"job"`
	// Exists is set if the pool has a job with this ID already. A submission would then change nothing.
	Exists    bool             `json:"exists,omitempty"`
	Queue     QueueReport      `json:"queue"`
	Workspace *WorkspaceReport `json:"workspace,omitempty"`
	Order     OrderReport      `json:"order"`
	Steps     []StepPlacement  `json:"steps"`
	// WaitMS is the expected time until a task of the job starts, or nil if it isn't known.
	WaitMS *int64 `json:"waitMS,omitempty"`
	// Refusal is nil if the job would be accepted.
	Refusal *RefusalReport `json:"refusal,omitempty"`
}

// QueueReport holds a queue's settings: a job should end within Stretch times its critical path, plus TargetMS.
type QueueReport struct {
	Name     string  `json:"name"`
	Version  int64   `json:"version"`
	Priority int     `json:"priority"`
	Stretch  float64 `json:"stretch"`
	TargetMS int64   `json:"targetMS"`
	Advised  bool    `json:"advised,omitempty"`
}

// Amounts is Resources with readable field names: thousandths of a core, megabytes and GPUs.
type Amounts struct {
	CPU   int64 `json:"cpu"`
	MemMB int64 `json:"memMB"`
	GPU   int64 `json:"gpu"`
}

// Amounts returns r with readable field names.
func (r Resources) Amounts() Amounts { return Amounts{CPU: r.CPU, MemMB: r.Mem, GPU: r.GPU} }

// WorkspaceReport describes a workspace and its use of the shard.
type WorkspaceReport struct {
	Name string `json:"name"`
	// Known is false if the pool has no settings of the workspace; a capped one then starts nothing.
	Known    bool    `json:"known"`
	Priority int     `json:"priority"`
	Weight   float64 `json:"weight"`
	// Share is the part of the pool to which the workspace is entitled while all others have work there: its part of the sum of the weights.
	Share  float64 `json:"share"`
	Capped bool    `json:"capped"`
	// Used is what the workspace has running in the shard, Allotment what it may have running there, or nil if it has no limit or none is known.
	Used      Amounts  `json:"used"`
	Allotment *Amounts `json:"allotment,omitempty"`
}

// PlacementGroup is a group of waiting steps; all those of a group go before those of the next.
type PlacementGroup string

// The groups, in the order in which they are served.
const (
	GroupLongRunning PlacementGroup = "long-running"
	GroupStarved     PlacementGroup = "starved"
	GroupOnTime      PlacementGroup = "on time"
	GroupLate        PlacementGroup = "late"
	GroupWorthless   PlacementGroup = "of no value"
)

// OrderReport is the place of a job among the steps that wait in the shard.
type OrderReport struct {
	Group PlacementGroup `json:"group"`
	// BeyondShare is set if the workspace uses more than its share while others wait.
	BeyondShare    bool  `json:"beyondShare,omitempty"`
	CriticalPathMS int64 `json:"criticalPathMS"`
	// DeadlineMS is the time until the job's objective expires.
	DeadlineMS int64 `json:"deadlineMS"`
	// JobsAhead and TasksAhead count the waiting work that goes first.
	JobsAhead  int `json:"jobsAhead"`
	TasksAhead int `json:"tasksAhead"`
}

// StepPlacement is the outcome of a placement for the first task of a step. That of a step with earlier steps is as if these were done.
type StepPlacement struct {
	Step  int     `json:"step"`
	Tasks int     `json:"tasks"`
	Need  Amounts `json:"need"`
	After []int   `json:"after,omitempty"`
	// Worker is the worker that the task would go to, Rack its rack. Without a worker, Obstacle is the reason.
	Worker   string `json:"worker,omitempty"`
	Rack     string `json:"rack,omitempty"`
	Obstacle string `json:"obstacle,omitempty"`
}

// RefusalReport is the reason why a job would be refused.
type RefusalReport struct {
	Reason       string `json:"reason"`
	RetryAfterMS int64  `json:"retryAfterMS,omitempty"`
}

// NewRefusalReport returns a report with the given reason and Retry-After delay.
func NewRefusalReport(reason string, retryAfter time.Duration) *RefusalReport {
	return &RefusalReport{Reason: reason, RetryAfterMS: retryAfter.Milliseconds()}
}

// ExplainPlacement reports how the pool would treat a job if it were submitted now. The job is not added and nothing is reserved. Whether it
// would be refused is left to the owner, which has more reasons than the pool. For a queue with an adviser, the report assumes that the
// adviser permits every worker.
func (p *Pool) ExplainPlacement(spec Spec, c Clock) PlacementReport {
	o := p.hypotheticalOccurrence(spec, c)
	q := p.queueOf(o.job)
	r := PlacementReport{
		Job:    spec.ID,
		Exists: p.jobs[spec.ID] != nil,
		Queue:  QueueReport{Name: spec.Queue, Version: q.Version, Priority: q.Priority, Stretch: q.Stretch, TargetMS: q.TargetMS, Advised: q.Advised},
		Order:  p.explainOrder(o, q, c),
	}
	if spec.Workspace != "" {
		r.Workspace = p.workspaces.explain(spec.Workspace)
	}
	workers := p.usableWorkers(c)
	reserved := p.expectedReservations(workers, c)
	for _, st := range o.steps {
		r.Steps = append(r.Steps, p.explainPlacement(st, workers, reserved, c))
	}
	r.WaitMS = p.expectedWait(&r, o)
	return r
}

// hypotheticalOccurrence returns the first occurrence of a job that is not in the pool.
func (p *Pool) hypotheticalOccurrence(spec Spec, c Clock) *occurrence {
	j := newJob(spec, c.Wall)
	j.settings = p.queueOfSpec(&spec)
	o := j.instantiateOccurrence(0)
	if !p.queueOf(j).Advised {
		return o
	}
	for _, st := range o.steps {
		for _, w := range p.workers {
			st.setAdvice(w.ID, &workerAdvice{incarnation: w.incarnation, permitted: true, expiresAt: c.Now + 1})
		}
	}
	return o
}

// explainOrder compares the first candidate of a hypothetical occurrence with the waiting steps. Equal ones go first, as they came earlier.
func (p *Pool) explainOrder(o *occurrence, q Queue, c Clock) OrderReport {
	waiting := p.candidates(c)
	own := slices.MinFunc(p.addCandidates(nil, o, c), compareCandidates)
	if own.account != nil {
		own.key.BeyondShare = own.account.Beyond()
	}
	r := OrderReport{
		Group:          own.group(),
		BeyondShare:    own.key.BeyondShare,
		CriticalPathMS: p.remainingCriticalPath(o).Milliseconds(),
		DeadlineMS:     (p.deadline(o, q, c) - c.Now).Milliseconds(),
	}
	jobs := map[*Job]bool{}
	for _, other := range waiting {
		if compareCandidates(other, own) <= 0 {
			jobs[other.step.occ.job] = true
			r.TasksAhead += other.step.countPendingTasks(c.Now)
		}
	}
	r.JobsAhead = len(jobs)
	return r
}

func (cd *candidate) group() PlacementGroup {
	switch {
	case cd.longRunning:
		return GroupLongRunning
	case cd.key.Starved:
		return GroupStarved
	case cd.key.Rank == ranking.Late:
		return GroupLate
	case cd.key.Rank == ranking.Worthless:
		return GroupWorthless
	}
	return GroupOnTime
}

// expectedReservations returns the workers that a placement would keep free for waiting long-running tasks.
func (p *Pool) expectedReservations(workers []*Worker, c Clock) map[*Worker]bool {
	reserved := map[*Worker]bool{}
	isReserved := func(w *Worker) bool { return reserved[w] }
	for _, cd := range p.candidates(c) {
		if !cd.longRunning || cd.step.spec.Gang {
			continue
		}
		for _, t := range cd.step.tasks {
			if !t.pending(c.Now) || !p.workspaces.mayStart(t.job().Spec.Workspace, cd.step.spec.Need) {
				continue
			}
			w := p.workerToReserve(t, workers, isReserved, c)
			if w == nil {
				break // The other tasks of the step find none either.
			}
			reserved[w] = true
		}
	}
	return reserved
}

// explainPlacement reports where the first task of a hypothetical step would go.
func (p *Pool) explainPlacement(st *stepState, workers []*Worker, reserved map[*Worker]bool, c Clock) StepPlacement {
	out := StepPlacement{Step: st.index, Tasks: len(st.tasks), Need: st.spec.Need.Amounts(), After: st.spec.After}
	w, obstacle := p.hypotheticalWorker(st, workers, reserved, c)
	if w == nil {
		out.Obstacle = obstacle
		return out
	}
	out.Worker, out.Rack = w.ID, w.rack()
	return out
}

// hypotheticalWorker returns the worker that the first task of a step would go to, or the obstacle.
func (p *Pool) hypotheticalWorker(st *stepState, workers []*Worker, reserved map[*Worker]bool, c Clock) (*Worker, string) {
	switch {
	case !p.rosterCurrent(c):
		return nil, "the list of workers is too old to start work by"
	case !st.spec.LongRunning && p.pendingStarts >= maxPendingStarts:
		return nil, "too many starts wait for the store or for workers"
	}
	if obstacle := p.allotmentObstacle(st); obstacle != "" {
		return nil, obstacle
	}
	if st.spec.Gang {
		if plan := p.planGang(st, workers, c); plan != nil {
			return plan[0], ""
		}
		return nil, p.placementObstacle(st, c)
	}
	if w := p.chooseWorker(st.tasks[0], workers, st.commonRack(), c); w == nil || st.spec.LongRunning || !reserved[w] {
		return w, p.placementObstacle(st, c)
	}
	unreserved := slices.DeleteFunc(slices.Clone(workers), func(w *Worker) bool { return reserved[w] })
	if w := p.chooseWorker(st.tasks[0], unreserved, st.commonRack(), c); w != nil {
		return w, ""
	}
	return nil, "the workers with room are kept free for long-running tasks"
}

// explain reports on a workspace.
func (u *workspaces) explain(name string) *WorkspaceReport {
	s, known := u.settings[name]
	r := &WorkspaceReport{Name: name, Known: known, Priority: s.Priority, Weight: s.Weight, Capped: s.Capped, Used: u.used[name].Amounts()}
	total := 0.0
	for _, other := range u.settings {
		total += other.Weight
	}
	if total > 0 {
		r.Share = s.Weight / total
	}
	if a, ok := u.allotments[name]; ok && s.Capped {
		limit := a.Limit.Amounts()
		r.Allotment = &limit
	}
	return r
}

// obstacle returns why the workspace may not start n tasks with the given need at once, or "".
func (u *workspaces) obstacle(name string, need Resources, n int) string {
	if u.mayStartTogether(name, need, n) {
		return ""
	}
	switch _, ok := u.allotments[name]; {
	case u.settings == nil:
		return "the workspaces of the configuration are not known yet"
	case !ok:
		return "the workspace has no allotment in this shard yet"
	}
	return "the workspace's allotment in this shard is in use"
}

// allotmentObstacle returns how the workspace's allotment keeps the next start of a step from happening, or "". All members of a gang start at once.
func (p *Pool) allotmentObstacle(st *stepState) string {
	together := 1
	if st.spec.Gang {
		together = len(st.tasks)
	}
	return p.workspaces.obstacle(st.occ.job.Spec.Workspace, st.spec.Need, together)
}

// expectedWait returns the expected time in milliseconds until the job's first task starts: none if a step that may start has a worker,
// otherwise the time in which the pool completes the waiting tasks ahead and one more at its recent throughput. It returns nil if that
// isn't known.
func (p *Pool) expectedWait(r *PlacementReport, o *occurrence) *int64 {
	wait := int64(0)
	for i, st := range o.steps {
		if st.dependenciesDone() && r.Steps[i].Worker != "" {
			return &wait
		}
	}
	remaining := 0
	for _, n := range p.backlog.remaining {
		remaining += n
	}
	drain, known := p.backlog.drainTime(math.MaxInt)
	if !known || remaining == 0 || !slices.ContainsFunc(o.steps, func(st *stepState) bool { return st.dependenciesDone() && p.hasWorkerFor(st, p.queueOf(o.job)) }) {
		return nil
	}
	wait = int64(r.Order.TasksAhead+1) * drain.Milliseconds() / int64(remaining)
	return &wait
}
