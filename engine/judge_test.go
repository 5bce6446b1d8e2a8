package engine

import (
	"fmt"
	"slices"
	"time"
)

// simJob is a job as its caller and the judge know it.
type simJob struct {
	spec    Spec
	queue   Queue
	advised bool
	failing float64 // the share of runs that fail
	tasks   map[string]*simTask
	// cancelled is set once a cancel was asked for; cancelledAt is when it was acknowledged, 0 if it was not.
	cancelled   bool
	cancelledAt time.Duration
	tickets     map[string]time.Duration // ticket -> valid until
}

func (j *simJob) ticketHolds(ticket string, w *simWorker, now time.Duration) bool {
	until, ok := j.tickets[ticket]
	return ok && now < until && ticket == w.String()
}

// simTask is one task with what has become of it.
type simTask struct {
	name     string
	job      *simJob
	spec     *Step
	step     int
	occ      int
	running  []*simRun
	done     bool // some run has ended done
	doneEnds []*doneEnd
	failures int // noted ends by failure
	saved    map[string]bool
	// history tells what happened to the task, for the report of a breach.
	history []string
}

func (t *simTask) note(now time.Duration, format string, args ...any) {
	t.history = append(t.history, fmt.Sprintf("%s ", now)+fmt.Sprintf(format, args...))
}

// doneEnd is an end by success. A start after it is a breach once the end is noted.
type doneEnd struct {
	noted, startedAfter bool
}

// judge checks the rules of the platform against what the workers do.
type judge struct {
	tasks map[string]*simTask
	// byEnd finds what an end of a worker's life stands for.
	byEnd   map[string]func()
	workers map[string]*simWorker
	faults  []string
	saved   int
}

func (g *judge) fail(rule, format string, args ...any) {
	g.faults = append(g.faults, rule+": "+fmt.Sprintf(format, args...))
}

func (g *judge) started(w *simWorker, r *simRun, now time.Duration) {
	t := r.task
	t.note(now, "run %d starts at %s, seen token %d", r.num, w, w.token)
	if len(t.running) > 0 && !t.spec.Speculative {
		g.fail("TWICE", "%s starts at %s while it runs: %q", t.name, w, t.history)
	}
	for _, d := range t.doneEnds {
		d.startedAfter = true
		if d.noted && !t.spec.Speculative {
			g.fail("TWICE", "%s starts at %s after its end was noted: %q", t.name, w, t.history)
		}
	}
	for _, other := range t.job.tasks {
		if other.occ == t.occ && slices.Contains(t.spec.After, other.step) && !other.done {
			g.fail("ORDER", "%s starts before %s is done", t.name, other.name)
		}
	}
	if !t.spec.LongRunning && !t.spec.Gang && !t.spec.Speculative && t.failures >= t.job.queue.Attempts {
		g.fail("BUDGET", "%s starts after %d failures: %q", t.name, t.failures, t.history)
	}
	if !w.guards && !w.info.Capacity.Covers(w.used()) {
		g.fail("LIMIT", "%s holds %+v of %+v", w, w.used(), w.info.Capacity)
	}
	g.route(w, r)
	if r.saved != "" && !t.saved[r.saved] {
		g.fail("UNASKED", "%s starts with a checkpoint that isn't its own", t.name)
	}
	if at := t.job.cancelledAt; at != 0 && now-at > 3*time.Second {
		g.fail("UNASKED", "%s starts %s after its job was cancelled", t.name, now-at)
	}
	t.running = append(t.running, r)
}

func (g *judge) route(w *simWorker, r *simRun) {
	t := r.task
	if t.spec.RequiredLabel != "" && !slices.Contains(w.info.Labels, t.spec.RequiredLabel) {
		g.fail("ROUTE", "%s starts at %s without its label", t.name, w)
	}
	beside := 0
	for _, other := range w.runs {
		if other.task.job == t.job && other.task.occ == t.occ && other.task.step == t.step {
			beside++
		}
	}
	if a := t.spec.AntiAffinity; a > 0 && beside > a {
		g.fail("ROUTE", "%d tasks of the step of %s at %s", beside, t.name, w)
	}
}

func (g *judge) ended(w *simWorker, r *simRun, how EndReason, n int64, now time.Duration) {
	t := r.task
	t.note(now, "run %d ends %s at %s", r.num, how, w)
	t.running = slices.DeleteFunc(t.running, func(x *simRun) bool { return x == r })
	key := fmt.Sprintf("%s/%d", w, n)
	switch how {
	case EndDone:
		t.done = true
		d := &doneEnd{}
		t.doneEnds = append(t.doneEnds, d)
		g.byEnd[key] = func() {
			d.noted = true
			t.note(now, "the end at this time is noted")
			if d.startedAfter && !t.spec.Speculative {
				g.fail("TWICE", "%s was started after an end that is noted: %q", t.name, t.history)
			}
		}
	case EndFailed:
		g.byEnd[key] = func() {
			t.failures++
			t.note(now, "the failure at this time is noted")
		}
	}
}

// noted takes in that the worker was told to forget its ends after one number up to another.
func (g *judge) noted(w *simWorker, after, upto int64) {
	for n := after + 1; n <= upto; n++ {
		if f := g.byEnd[fmt.Sprintf("%s/%d", w, n)]; f != nil {
			f()
		}
	}
}

// leaseLapsed forgets what the ends stand for that the worker has not been told to forget.
func (g *judge) leaseLapsed(w *simWorker) {
	for n := w.seen + 1; n <= w.n; n++ {
		delete(g.byEnd, fmt.Sprintf("%s/%d", w, n))
	}
}

// lifeEnded drops all that runs on a worker whose life is over.
func (g *judge) lifeEnded(w *simWorker) {
	for _, r := range w.runs {
		r.task.running = slices.DeleteFunc(r.task.running, func(x *simRun) bool { return x == r })
		if r.spec().Gang {
			g.breakGang(r, EndLapsed, 0)
		}
	}
}

func (g *judge) newCheckpoint(t *simTask) string {
	g.saved++
	s := fmt.Sprint("c", g.saved)
	for _, m := range t.job.members(t) {
		m.saved[s] = true
	}
	return s
}

// members are the tasks whose checkpoints a task may use: its own, for a gang those of the whole gang.
func (j *simJob) members(t *simTask) []*simTask {
	if !t.spec.Gang {
		return []*simTask{t}
	}
	var out []*simTask
	for _, m := range j.tasks {
		if m.occ == t.occ && m.step == t.step {
			out = append(out, m)
		}
	}
	return out
}

// gangPresent reports whether all members of the run are there.
func (g *judge) gangPresent(r *simRun) bool {
	for _, m := range r.task.job.members(r.task) {
		if !slices.ContainsFunc(m.running, func(x *simRun) bool { return x.num == r.num }) {
			return false
		}
	}
	return true
}

// breakGang ends the other members of a run: done together with the first that is done, broken otherwise.
func (g *judge) breakGang(r *simRun, how EndReason, now time.Duration) {
	for _, w := range g.workers {
		for key, other := range w.runs {
			if other != r && other.num == r.num && other.task.job == r.task.job && other.task.occ == r.task.occ && other.task.step == r.task.step && w.runs[key] == other {
				w.end(key, gangEnd(how), now)
			}
		}
	}
}

func gangEnd(how EndReason) EndReason {
	if how == EndDone {
		return EndDone
	}
	return EndBroken
}

// judgeStates checks what the pool tells callers.
func (g *judge) judgeStates(p *Pool, jobs []*simJob) {
	for _, j := range jobs {
		job := p.Job(j.spec.ID)
		if job == nil || !job.Committed() {
			continue
		}
		switch job.State() {
		case Completed:
			for _, t := range j.tasks {
				if !t.done {
					g.fail("MIXED", "%s is shown as completed, %s is not done", j.spec.ID, t.name)
				}
			}
		case Failed:
			if !slices.ContainsFunc(values(j.tasks), func(t *simTask) bool { return t.failures > 0 || t.spec.Gang }) {
				g.fail("LOST", "%s is shown as failed without cause", j.spec.ID)
			}
		case Cancelled:
			if !j.cancelled {
				g.fail("LOST", "%s is shown as cancelled without cause", j.spec.ID)
			}
		}
	}
}

func values(m map[string]*simTask) []*simTask {
	out := make([]*simTask, 0, len(m))
	for _, t := range m {
		out = append(out, t)
	}
	return out
}
