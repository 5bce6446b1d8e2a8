package engine

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// takesWork reports whether a worker may get new starts.
func (p *Pool) takesWork(w *Worker, c Clock) bool {
	return w.listed && !w.info.Draining && w.cordon <= c.Now && w.strays == 0 && p.reachable(w, c)
}

// candidate is a step whose tasks may start now.
type candidate struct {
	step     *stepState
	lasting  bool
	priority int
	late     bool
	deadline time.Duration
}

// Place decides which tasks start where, and writes the decisions into the jobs.
func (p *Pool) Place(c Clock) {
	if !p.needPlace {
		return
	}
	p.needPlace = false
	workers := p.usable(c)
	p.weighKinds()
	p.evacuate(c)
	for _, cd := range p.candidates(c) {
		p.placeStep(cd, workers, c)
	}
	p.speculate(workers, c)
}

// RequestPlacement makes the next Place look for work again.
func (p *Pool) RequestPlacement() { p.needPlace = true }

func (p *Pool) usable(c Clock) []*Worker {
	var out []*Worker
	for _, w := range p.workers {
		if p.takesWork(w, c) && w.backoff <= c.Now {
			out = append(out, w)
		}
	}
	slices.SortFunc(out, func(a, b *Worker) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// candidates lists the steps with tasks to start, in the order in which they are served: tasks that last, then jobs that can
// still meet their objective by the earliest deadline, then the others in order of arrival.
func (p *Pool) candidates(c Clock) []candidate {
	var out []candidate
	for _, j := range p.open {
		for o := range j.openOccurrences() {
			out = p.addCandidates(out, o, c)
		}
	}
	slices.SortStableFunc(out, compareCandidates)
	return out
}

func compareCandidates(a, b candidate) int {
	return cmp.Or(
		cmp.Compare(boolRank(a.lasting), boolRank(b.lasting)),
		cmp.Compare(boolRank(!a.late), boolRank(!b.late)),
		cmp.Compare(a.priority, b.priority),
		cmp.Compare(a.deadline, b.deadline),
	)
}

func (p *Pool) addCandidates(out []candidate, o *occurrence, c Clock) []candidate {
	var deadline time.Duration
	q := p.queues[o.job.Spec.Queue]
	known := false
	for _, st := range o.steps {
		if st.complete() || !st.ready() || !st.hasPending(c.Now) {
			continue
		}
		if !known {
			known = true
			deadline = p.deadline(o, q, c)
		}
		late := !st.spec.LongRunning && c.Now+p.chainLeft(o) > deadline
		out = append(out, candidate{step: st, lasting: st.spec.LongRunning && !st.spec.BestEffort, priority: q.Priority, late: late, deadline: deadline})
	}
	return out
}

// deadline is when the occurrence's objective ends, on the steady clock.
func (p *Pool) deadline(o *occurrence, q Queue, c Clock) time.Duration {
	if o.job.chain == 0 {
		o.job.chain = p.chainLeft(o)
	}
	age := time.Duration(c.Wall-o.dueMS) * time.Millisecond
	whole := time.Duration(q.Stretch*float64(o.job.chain)) + time.Duration(q.TargetMS)*time.Millisecond
	return c.Now - age + whole
}

func (t *Task) pending(now time.Duration) bool {
	return !t.done && len(t.live) == 0 && t.notBefore <= now
}

func (st *stepState) hasPending(now time.Duration) bool {
	return slices.ContainsFunc(st.tasks, func(t *Task) bool { return t.pending(now) })
}

func (p *Pool) placeStep(cd candidate, workers []*Worker, c Clock) {
	st := cd.step
	if p.queues[st.occ.job.Spec.Queue].Advised && !p.ensureAdvice(st, workers, c) {
		return
	}
	if st.spec.Gang {
		p.placeGang(st, workers, c)
		return
	}
	rack := st.commonRack()
	for _, t := range st.tasks {
		if !t.pending(c.Now) {
			continue
		}
		w := p.choose(t, workers, rack, c)
		if w == nil {
			if cd.lasting {
				p.reserve(t, workers, c)
				continue
			}
			return
		}
		p.start(t, w, t.lastRun+1, c)
		if st.spec.SameRack && rack == "" {
			rack = w.rack()
		}
	}
}

// commonRack is the rack that the tasks of a step that wants one rack run on already.
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

// start decides a run; its order is sent once the job is in the store.
func (p *Pool) start(t *Task, w *Worker, run int64, c Clock) {
	t.lastRun = run
	r := &Run{Task: t, Num: run, Worker: w, bornMS: w.bornMS, phase: phaseIntent, pace: 100, paceKnown: true, startedAt: c.Now}
	if tk, ok := t.step.tickets[w.ID]; ok {
		r.ticket = tk.code
	}
	t.live = append(t.live, r)
	w.add(r)
	p.touch(t.job())
	r.rev = t.job().rev
	p.note("start", t.id.String(), run, w.ID, "")
}

// fits reports whether the worker may run the task now.
func (p *Pool) fits(t *Task, w *Worker, c Clock) bool {
	st := t.step.spec
	if !w.info.Capacity.Sub(w.used).Covers(st.Occupies()) {
		return false
	}
	if !t.step.allows(w) {
		return false
	}
	return !p.queues[t.job().Spec.Queue].Advised || t.step.ticketed(w, c.Now)
}

// allows reports whether the worker has the step's label and may have one more of its tasks.
func (st *stepState) allows(w *Worker) bool {
	if !w.hasLabel(st.spec.RequiredLabel) {
		return false
	}
	return st.spec.AntiAffinity == 0 || w.ofStep(st) < st.spec.AntiAffinity
}

// choose returns the worker for a task, or nil.
func (p *Pool) choose(t *Task, workers []*Worker, rack string, c Clock) *Worker {
	var best *Worker
	bestCost := math.Inf(1)
	for _, w := range workers {
		if !p.fits(t, w, c) || (w.reservedAt == c.Now && !t.step.spec.LongRunning) {
			continue
		}
		cost := p.cost(t, w, rack, c)
		if cost < bestCost {
			best, bestCost = w, cost
		}
	}
	return best
}
