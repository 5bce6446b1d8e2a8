package engine

import "slices"

// JobReport explains a job: what has been done, what runs where, and why the rest waits.
type JobReport struct {
	ID    string `json:"id"`
	Queue string `json:"queue"`
	State State  `json:"state"`
	// AgeMS is the time since the job was handed in.
	AgeMS int64        `json:"ageMS"`
	Steps []StepReport `json:"steps,omitempty"`
}

// StepReport counts the tasks of a step in one occurrence. Why says what the waiting ones wait for.
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

// RunReport is a run that is, or may be, on a worker.
type RunReport struct {
	Task    string `json:"task"`
	Run     int64  `json:"run"`
	Worker  string `json:"worker"`
	Phase   string `json:"phase"`
	Percent int64  `json:"percent,omitempty"`
}

// String names a phase for people.
func (p phase) String() string {
	return [...]string{"recorded", "ordered", "running", "stopping", "inherited"}[p]
}

// Explain reports on a job, and false if it isn't known.
func (p *Pool) Explain(id string, c Clock) (JobReport, bool) {
	j := p.jobs[id]
	if j == nil {
		return JobReport{}, false
	}
	out := JobReport{ID: id, Queue: j.Spec.Queue, State: j.State(), AgeMS: c.Wall - j.submittedMS}
	for _, o := range j.occs {
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
		out.WaitReason = p.whyWaits(st, c)
	}
	return out
}

// whyWaits names the first thing that keeps the step's waiting tasks from a start.
func (p *Pool) whyWaits(st *stepState, c Clock) string {
	workers := p.usable(c)
	any := func(is func(*Worker) bool) bool { return slices.ContainsFunc(workers, is) }
	labelled := func(w *Worker) bool { return w.hasLabel(st.spec.RequiredLabel) }
	switch {
	case !st.ready():
		return "earlier steps are not done"
	case !st.hasPending(c.Now):
		return "a pause after a failure or a rejection"
	case len(workers) == 0:
		return "no worker takes work"
	case !any(labelled):
		return "no worker has the label " + st.spec.RequiredLabel
	case !any(func(w *Worker) bool { return labelled(w) && w.info.Capacity.Covers(st.spec.Occupies()) }):
		return "no worker is large enough"
	case !any(st.allows):
		return "each worker has as many tasks of the step as it may have"
	case p.queues[st.occ.job.Spec.Queue].Advised && !any(func(w *Worker) bool { return st.ticketed(w, c.Now) }):
		return "no worker has a ticket of the adviser"
	case st.spec.Gang:
		return "no room for all members at once"
	}
	return "no worker has room, or other work goes first"
}
