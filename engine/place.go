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
	p.evacuate(c)
	list := p.candidates(c)
	for _, cd := range list {
		p.placeStep(cd, workers, c)
	}
	p.speculate(workers, c)
}

// Poke makes the next Place look for work again.
func (p *Pool) Poke() { p.needPlace = true }

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
		for _, o := range j.occs {
			if o == nil || o.finished {
				continue
			}
			out = p.addCandidates(out, o, c)
		}
	}
	slices.SortStableFunc(out, compareCandidates)
	return out
}

func compareCandidates(a, b candidate) int {
	if a.lasting != b.lasting {
		return boolOrder(a.lasting)
	}
	if a.late != b.late {
		return boolOrder(b.late)
	}
	if a.priority != b.priority {
		return cmp.Compare(a.priority, b.priority)
	}
	return cmp.Compare(a.deadline, b.deadline)
}

func boolOrder(first bool) int {
	if first {
		return -1
	}
	return 1
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
		late := !st.spec.Lasting && c.Now+p.chainLeft(o) > deadline
		out = append(out, candidate{step: st, lasting: st.spec.Lasting && !st.spec.Fills, priority: q.Priority, late: late, deadline: deadline})
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
	for _, t := range st.tasks {
		if t.pending(now) {
			return true
		}
	}
	return false
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
	r := &Run{Task: t, Num: run, Worker: w, bornMS: w.bornMS, phase: phaseIntent, pace: 100, startedAt: c.Now}
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
	if !w.info.Room.Sub(w.used).Covers(st.Occupies()) {
		return false
	}
	if st.RequiredLabel != "" && !w.hasLabel(st.RequiredLabel) {
		return false
	}
	if st.AntiAffinity > 0 && w.ofStep(t.step) >= st.AntiAffinity {
		return false
	}
	if p.queues[t.job().Spec.Queue].Advised {
		tk, ok := t.step.tickets[w.ID]
		return ok && tk.until > c.Now && tk.bornMS == w.bornMS
	}
	return true
}

// ofStep counts the runs of a step that are on the worker.
func (w *Worker) ofStep(st *stepState) int {
	n := 0
	for _, r := range w.runs {
		if r.Task.step == st {
			n++
		}
	}
	return n
}

// choose returns the worker for a task, or nil.
func (p *Pool) choose(t *Task, workers []*Worker, rack string, c Clock) *Worker {
	var best *Worker
	bestCost := math.Inf(1)
	for _, w := range workers {
		if !p.fits(t, w, c) || (w.reservedAt == c.Now && !t.step.spec.Lasting) {
			continue
		}
		cost := p.cost(t, w, rack, c)
		if cost < bestCost {
			best, bestCost = w, cost
		}
	}
	return best
}

// The costs of a placement, in the unit of a whole worker's idle room.
const (
	costFailedThere = 8.0
	costBadWorker   = 20.0
	costFar         = 4.0
	costOtherRack   = 4.0
	costDisturb     = 2.0
	costScarce      = 1.5
	// lastingShare is the share of its CPU that a worker keeps for other work before it gets more tasks that last.
	lastingShare = 0.4
)

// scarcity is how rare the worker's kind is, if tasks ask for that kind and this one doesn't: 0 to 1.
func (p *Pool) scarcity(st *Step, w *Worker) float64 {
	worst := 0.0
	for k := range p.kinds {
		if !w.isKind(k) || slices.Contains(st.Kinds(), k) {
			continue
		}
		with := 0
		for _, o := range p.workers {
			if o.isKind(k) {
				with++
			}
		}
		worst = max(worst, 1-float64(with)/float64(len(p.workers)))
	}
	return worst
}

// isKind reports whether the worker is of a kind as Step.Kinds names it.
func (w *Worker) isKind(k string) bool {
	if k == KindGPU {
		return w.info.Room.GPU > 0
	}
	return w.hasLabel(k)
}

// lasting counts the tasks that last on the worker.
func (w *Worker) lasting() int {
	n := 0
	for _, r := range w.runs {
		if r.Task.step.spec.Lasting {
			n++
		}
	}
	return n
}

func (p *Pool) cost(t *Task, w *Worker, rack string, c Clock) float64 {
	st := t.step.spec
	free := float64(w.info.Room.CPU-w.used.CPU) / float64(max(w.info.Room.CPU, 1))
	cost := free // the fullest worker first leaves whole workers idle
	if st.Lasting {
		// Beside others that last, so that the other workers can be emptied.
		cost = free - float64(w.lasting())
		if free < lastingShare {
			cost = 1 - free
		}
	}
	cost += costFailedThere * float64(t.failedOn[w.ID])
	if w.badUntil > c.Now {
		cost += costBadWorker
	}
	if st.AffinityRack != "" && w.rack() != st.AffinityRack {
		cost += costFar
	}
	cost += costScarce * p.scarcity(st, w)
	if rack != "" && w.rack() != rack {
		cost += costOtherRack
	}
	if st.Fills {
		cost += costDisturb * float64(w.serving()) / 4
	}
	return cost
}

// serving counts the tasks with a tail target on the worker.
func (w *Worker) serving() int {
	n := 0
	for _, r := range w.runs {
		if r.Task.step.spec.TailTargetMS > 0 {
			n++
		}
	}
	return n
}

// reserve keeps shorter work off the worker that is nearest to room for a task that lasts, and makes room by
// stopping work of lower rank if there is any.
func (p *Pool) reserve(t *Task, workers []*Worker, c Clock) {
	var best *Worker
	for _, w := range workers {
		st := t.step.spec
		if (st.RequiredLabel != "" && !w.hasLabel(st.RequiredLabel)) || (st.AntiAffinity > 0 && w.ofStep(t.step) >= st.AntiAffinity) {
			continue
		}
		if !w.info.Room.Sub(w.lastingUse()).Covers(st.Occupies()) || w.reservedAt == c.Now {
			continue
		}
		if best == nil || w.info.Room.CPU-w.used.CPU > best.info.Room.CPU-best.used.CPU {
			best = w
		}
	}
	if best == nil {
		return
	}
	best.reservedAt = c.Now
	p.preempt(t, best, c)
}

// lastingUse is the room that tasks that last hold on the worker: it does not come free by waiting.
func (w *Worker) lastingUse() Resources {
	var u Resources
	for _, r := range w.runs {
		if r.Task.step.spec.Lasting {
			u = u.Add(r.Task.step.spec.Occupies())
		}
	}
	return u
}

// preempt stops runs of queues with lower priority until the task fits.
func (p *Pool) preempt(t *Task, w *Worker, c Clock) {
	mine := p.queues[t.job().Spec.Queue].Priority
	free := w.info.Room.Sub(w.used)
	for _, r := range w.runs {
		if r.phase == phaseStopping {
			free = free.Add(r.Task.step.spec.Occupies())
		}
	}
	victims := w.list()
	slices.SortFunc(victims, func(a, b *Run) int { return cmp.Compare(b.startedAt, a.startedAt) })
	for _, r := range victims {
		if free.Covers(t.step.spec.Occupies()) {
			return
		}
		if r.Task.step.spec.Lasting || r.phase == phaseStopping || p.queues[r.Task.job().Spec.Queue].Priority <= mine {
			continue
		}
		free = free.Add(r.Task.step.spec.Occupies())
		p.note("preempt", r.Task.id.String(), r.Num, w.ID, t.id.String())
		p.stop(r, c)
	}
}

// placeGang starts all tasks of a gang at once, on one rack if there is one with room, or none.
func (p *Pool) placeGang(st *stepState, workers []*Worker, c Clock) {
	run := int64(0)
	for _, t := range st.tasks {
		if !t.pending(c.Now) {
			return
		}
		run = max(run, t.lastRun+1)
	}
	saved := st.gangSaved()
	plan := p.planGang(st, workers, c)
	if plan == nil {
		return
	}
	for i, t := range st.tasks {
		t.saved = saved
		p.start(t, plan[i], run, c)
	}
}

// gangSaved is the checkpoint that all members carry.
func (st *stepState) gangSaved() string {
	for _, t := range st.tasks {
		if t.saved != "" {
			return t.saved
		}
	}
	return ""
}

func (p *Pool) planGang(st *stepState, workers []*Worker, c Clock) []*Worker {
	byRack := map[string][]*Worker{}
	var racks []string
	for _, w := range workers {
		if byRack[w.rack()] == nil {
			racks = append(racks, w.rack())
		}
		byRack[w.rack()] = append(byRack[w.rack()], w)
	}
	slices.SortStableFunc(racks, func(a, b string) int {
		return cmp.Compare(boolRank(a == st.spec.AffinityRack), boolRank(b == st.spec.AffinityRack))
	})
	for _, r := range racks {
		if plan := p.fitAll(st, byRack[r], c); plan != nil {
			return plan
		}
	}
	return p.fitAll(st, workers, c)
}

func boolRank(first bool) int {
	if first {
		return 0
	}
	return 1
}

// fitAll finds a worker for every task of a step, or returns nil.
func (p *Pool) fitAll(st *stepState, workers []*Worker, c Clock) []*Worker {
	used := map[*Worker]Resources{}
	count := map[*Worker]int{}
	need := st.spec.Occupies()
	var plan []*Worker
	for _, t := range st.tasks {
		var pick *Worker
		for _, w := range workers {
			room := w.info.Room.Sub(w.used).Sub(used[w])
			full := st.spec.AntiAffinity > 0 && w.ofStep(st)+count[w] >= st.spec.AntiAffinity
			if w.badUntil > c.Now || full || !room.Covers(need) || !p.fits(t, w, c) {
				continue
			}
			pick = w
			break
		}
		if pick == nil {
			return nil
		}
		used[pick] = used[pick].Add(need)
		count[pick]++
		plan = append(plan, pick)
	}
	return plan
}

const (
	// copyAfter is how many times the expected run time passes before a copy is started.
	copyAfter = 2.0
	// copyRoom is the share of a worker's CPU that must stay free beside a copy.
	copyRoom = 0.1
)

// speculate starts second copies of speculative tasks that take far longer than expected, where room is idle.
func (p *Pool) speculate(workers []*Worker, c Clock) {
	for _, j := range p.open {
		for _, o := range j.occs {
			if o == nil || o.finished {
				continue
			}
			for _, st := range o.steps {
				if st.spec.Speculative && !st.spec.Gang && !st.spec.Lasting && !st.complete() {
					p.speculateStep(st, workers, c)
				}
			}
		}
	}
}

func (p *Pool) speculateStep(st *stepState, workers []*Worker, c Clock) {
	limit := time.Duration(copyAfter*p.expected(st)) * time.Millisecond
	for _, t := range st.tasks {
		if t.done || len(t.live) != 1 {
			continue
		}
		r := t.live[0]
		stuck := !p.reachable(r.Worker, c)
		if r.phase == phaseIntent || (c.Now-r.startedAt < limit && !stuck) {
			continue
		}
		w := p.choose(t, workers, "", c)
		if w == nil || w == r.Worker || float64(w.info.Room.CPU-w.used.CPU-st.spec.Need.CPU) < copyRoom*float64(w.info.Room.CPU) {
			continue
		}
		p.start(t, w, t.lastRun+1, c)
	}
}
