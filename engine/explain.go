package engine

import (
	"fmt"
	"slices"
)

// JobReport explains a job: what is done, what runs where, and why the remaining tasks wait.
type JobReport struct {
	ID    string `json:"id"`
	Queue string `json:"queue"`
	State State  `json:"state"`
	// AgeMS is the time since the job was submitted.
	AgeMS int64        `json:"ageMS"`
	Steps []StepReport `json:"steps,omitempty"`
}

// StepReport counts the tasks of a step in one occurrence. WaitReason says what the waiting tasks wait for.
type StepReport struct {
	Occurrence int         `json:"occurrence"`
	Step       int         `json:"step"`
	Tasks      int         `json:"tasks"`
	Done       int         `json:"done"`
	Waiting    int         `json:"waiting,omitempty"`
	Failures   int         `json:"failures,omitempty"`
	WaitReason string      `json:"why,omitempty"`
	Runs       []RunReport `json:"runs,omitempty"`
}

// RunReport describes a run that is, or may be, on a worker.
type RunReport struct {
	Task    string `json:"task"`
	Run     int64  `json:"run"`
	Worker  string `json:"worker"`
	Phase   string `json:"phase"`
	Percent int64  `json:"percent,omitempty"`
}

// String returns the phase's name in reports.
func (p phase) String() string {
	return [...]string{"recorded", "ordered", "running", "stopping", "inherited"}[p]
}

// Explain reports on a job; it returns false if the job isn't known.
func (p *Pool) Explain(id string, c Clock) (JobReport, bool) {
	j := p.jobs[id]
	if j == nil {
		return JobReport{}, false
	}
	out := JobReport{ID: id, Queue: j.Spec.Queue, State: j.State(), AgeMS: c.Wall - j.submittedMS}
	for _, o := range j.occurrences {
		if o == nil {
			continue
		}
		for _, st := range o.steps {
			out.Steps = append(out.Steps, p.explainStep(st, c))
		}
	}
	return out, true
}

func (p *Pool) explainStep(st *stepState, c Clock) StepReport {
	out := StepReport{Occurrence: st.occ.index, Step: st.index, Tasks: len(st.tasks), Done: st.done}
	for _, t := range st.tasks {
		out.Failures += t.failures
		for _, r := range t.live {
			out.Runs = append(out.Runs, RunReport{Task: t.id.String(), Run: r.Num, Worker: r.Worker.ID, Phase: r.phase.String(), Percent: r.percent})
		}
		if !t.done && len(t.live) == 0 {
			out.Waiting++
		}
	}
	if out.Waiting > 0 && !st.occ.job.state.Terminal() {
		out.WaitReason = p.pendingReason(st, c)
	}
	return out
}

// pendingReason returns the first obstacle that keeps the step's waiting tasks from starting.
func (p *Pool) pendingReason(st *stepState, c Clock) string {
	switch {
	case !st.dependenciesDone():
		return "earlier steps are not done"
	case !st.hasPending(c.Now):
		return "retry delay after a failure or a rejection"
	}
	if obstacle := p.allotmentObstacle(st); obstacle != "" {
		return obstacle
	}
	return p.placementObstacle(st, c)
}

// placementObstacle returns the first obstacle among the workers that keeps the step's tasks from starting.
func (p *Pool) placementObstacle(st *stepState, c Clock) string {
	workers := p.usableWorkers(c)
	any := func(is func(*Worker) bool) bool { return slices.ContainsFunc(workers, is) }
	labelled := func(w *Worker) bool { return w.hasLabel(st.spec.RequiredLabel) }
	switch {
	case len(workers) == 0:
		return "no worker accepts new work"
	case !any(labelled):
		return "no worker has the label " + st.spec.RequiredLabel
	case !any(func(w *Worker) bool { return labelled(w) && w.info.Capacity.Covers(st.spec.Footprint()) }):
		return "no worker is large enough"
	case !any(st.permitsWorker):
		return "every worker is at the step's anti-affinity limit"
	case p.queueOf(st.occ.job).Advised && !any(func(w *Worker) bool { return st.hasTicket(w, c.Now) }):
		return st.adviceObstacle(workers, c)
	case p.ranked():
		return p.orderReason(st, c)
	case st.spec.Gang:
		return "no capacity for all gang members at once"
	}
	return "no worker has room, or other work goes first"
}

// adviceObstacle says what a step without a valid ticket waits for.
func (st *stepState) adviceObstacle(workers []*Worker, c Clock) string {
	switch {
	case !slices.ContainsFunc(workers, func(w *Worker) bool { return !st.denies(w) }):
		return "the adviser permits none of the workers"
	case st.adviceInFlight:
		return "no worker has a valid ticket from the adviser, which has been asked"
	case c.Now < st.adviceRetryAt:
		return fmt.Sprintf("no worker has a valid ticket from the adviser, which has failed to answer %d times", st.adviceFailures)
	}
	return "no worker has a valid ticket from the adviser, and other steps go first there or there is no room"
}

// orderReason says how many steps go before a step of a ranked pool for which no worker has room, and why.
func (p *Pool) orderReason(st *stepState, c Clock) string {
	list := p.candidates(c)
	at := slices.IndexFunc(list, func(cd candidate) bool { return cd.step == st })
	reason := "no worker has room"
	if st.spec.Gang {
		reason = "no capacity for all gang members at once"
	}
	if at <= 0 {
		return reason
	}
	return fmt.Sprintf("%s; %d steps go first, as the job is %s", reason, at, list[at].key.Standing())
}
