package engine

import (
	"cmp"
	"slices"
	"time"
)

// WorkerReport is the state of a worker, for planning maintenance and moves.
type WorkerReport struct {
	ID string `json:"i"`
	// Incarnation is the latest one of the worker that the owner knows of.
	Incarnation int64  `json:"b,omitempty"`
	Rack        string `json:"k,omitempty"`
	CapacityCPU int64  `json:"c"`
	UsedCPU     int64  `json:"u"`
	// Runs counts the runs that have not ended, and the ends that are not stored yet.
	Runs        int  `json:"r"`
	LongRunning int  `json:"l,omitempty"`
	Cordoned    bool `json:"o,omitempty"`
	Usable      bool `json:"a,omitempty"`
}

// PoolReport is the state of a pool. CPU is in thousandths of a core.
type PoolReport struct {
	Workers []WorkerReport `json:"w"`
	// CapacityCPU covers the workers that accept work, UsedCPU all workers, and PendingCPU the tasks that may start now.
	CapacityCPU    int64 `json:"rc"`
	UsedCPU        int64 `json:"uc"`
	LongRunningCPU int64 `json:"lc"`
	PendingCPU     int64 `json:"pc"`
	// ArrivalCPU is the recent arrival rate of work: the CPU that it would keep busy permanently.
	ArrivalCPU int64 `json:"rt"`
	// Kinds are the worker kinds that tasks of the pool have asked for, with the CPU of the tasks that wait or run.
	// UnschedulableKinds has the CPU of those that wait and fit on no worker of the kind.
	Kinds              map[string]int64 `json:"ki,omitempty"`
	UnschedulableKinds map[string]int64 `json:"kl,omitempty"`
	// LongRunningPendingIn names the shards in which a long-running task has waited too long for capacity.
	LongRunningPendingIn []string `json:"mi,omitempty"`
}

// LongRunningPending reports whether a long-running task has waited too long for capacity in any shard.
func (r *PoolReport) LongRunningPending() bool { return len(r.LongRunningPendingIn) > 0 }

// Report returns the current state of the pool.
func (p *Pool) Report(c Clock) PoolReport {
	r := PoolReport{ArrivalCPU: p.arrivalRate(c), Kinds: map[string]int64{}, UnschedulableKinds: map[string]int64{}}
	for k := range p.kinds {
		r.Kinds[k] = 0
	}
	for _, w := range p.workers {
		wr := WorkerReport{
			ID: w.ID, Incarnation: w.latestIncarnation(), Rack: w.rack(), CapacityCPU: w.info.Capacity.CPU, UsedCPU: w.used.CPU, Runs: w.occupancy(),
			LongRunning: w.countRuns(isLongRunning), Cordoned: w.cordonedUntil > c.Now, Usable: p.reachable(w, c) && w.listed && !w.info.Draining,
		}
		for _, x := range w.runs {
			for _, k := range x.Task.step.spec.Kinds() {
				r.Kinds[k] += x.Task.step.spec.Need.CPU
			}
		}
		if p.available(w, c) {
			r.CapacityCPU += wr.CapacityCPU
		}
		r.UsedCPU += wr.UsedCPU
		r.LongRunningCPU += w.usedBy(isLongRunning).CPU
		r.Workers = append(r.Workers, wr)
	}
	p.reportPending(&r, c)
	slices.SortFunc(r.Workers, func(a, b WorkerReport) int { return cmp.Compare(a.ID, b.ID) })
	return r
}

// Add adds the report of another shard of the pool.
func (r *PoolReport) Add(other PoolReport) {
	r.Workers = append(r.Workers, other.Workers...)
	r.CapacityCPU += other.CapacityCPU
	r.UsedCPU += other.UsedCPU
	r.LongRunningCPU += other.LongRunningCPU
	r.PendingCPU += other.PendingCPU
	r.ArrivalCPU += other.ArrivalCPU
	r.LongRunningPendingIn = append(r.LongRunningPendingIn, other.LongRunningPendingIn...)
	r.Kinds = addCPU(r.Kinds, other.Kinds)
	r.UnschedulableKinds = addCPU(r.UnschedulableKinds, other.UnschedulableKinds)
}

func addCPU(to, from map[string]int64) map[string]int64 {
	if to == nil {
		to = map[string]int64{}
	}
	for kind, cpu := range from {
		to[kind] += cpu
	}
	return to
}

func (p *Pool) reportPending(r *PoolReport, c Clock) {
	workers := p.usableWorkers(c)
	longRunningPending := false
	for _, cd := range p.candidates(c) {
		st := cd.step.spec
		cpu := int64(0)
		for _, t := range cd.step.tasks {
			if t.pending(c.Now) {
				cpu += st.Footprint().CPU
			}
		}
		r.PendingCPU += cpu
		longRunningPending = longRunningPending || (st.LongRunning && cd.step.waitsTooLong(c))
		for _, k := range st.Kinds() {
			r.Kinds[k] += cpu
			if cd.step.unschedulable(p, workers, c) {
				r.UnschedulableKinds[k] += cpu
			}
		}
	}
	if longRunningPending {
		r.LongRunningPendingIn = []string{p.Name}
	}
}

// longRunningPendingAfter is how long a long-running task may wait before its pool counts as short of capacity.
const longRunningPendingAfter = 1200 * time.Millisecond

// waitsTooLong reports whether a task of the step has waited for longer than longRunningPendingAfter.
func (st *stepState) waitsTooLong(c Clock) bool {
	if c.Wall-st.occ.job.submittedMS <= longRunningPendingAfter.Milliseconds() {
		return false
	}
	return slices.ContainsFunc(st.tasks, func(t *Task) bool { return t.pending(c.Now) && c.Now-t.waitingSince > longRunningPendingAfter })
}

// KindGPU is the kind of workers with GPUs; the other kinds are labels.
const KindGPU = "gpu:"

// IsKind reports whether a worker with these labels and GPUs is of a kind as named by Step.Kinds.
func IsKind(kind string, labels []string, gpus int64) bool {
	if kind == KindGPU {
		return gpus > 0
	}
	return slices.Contains(labels, kind)
}

// Kinds returns the worker kinds that the step's tasks require: its label, and KindGPU.
func (s *Step) Kinds() []string {
	var out []string
	if s.RequiredLabel != "" {
		out = append(out, s.RequiredLabel)
	}
	if s.Need.GPU > 0 {
		out = append(out, KindGPU)
	}
	return out
}

// addKinds adds the worker kinds that a job asks for.
func (p *Pool) addKinds(j *Job) {
	for i := range j.Spec.Steps {
		for _, k := range j.Spec.Steps[i].Kinds() {
			if _, known := p.kinds[k]; !known {
				p.kinds[k] = 0
			}
		}
	}
}

// rateWindow is the window over which arriving work is averaged; large jobs arrive seconds apart.
const rateWindow = 1300 * time.Millisecond

// arrivalRate returns the recent arrival rate of work. It uses the jobs' submission times, which are stored, so that a
// successor computes the same rate.
func (p *Pool) arrivalRate(c Clock) int64 {
	total := 0.0
	for _, j := range p.jobs {
		if age := c.Wall - j.submittedMS; age >= 0 && age < rateWindow.Milliseconds() {
			total += p.expectedWork(j)
		}
	}
	return int64(total / float64(rateWindow.Milliseconds()))
}

// expectedWork returns the job's expected work in thousandths of a core times milliseconds.
func (p *Pool) expectedWork(j *Job) float64 {
	total := 0.0
	for i := range j.Spec.Steps {
		st := &j.Spec.Steps[i]
		if st.LongRunning {
			continue
		}
		ms := float64(st.EstimateMS)
		if d := p.durationEstimates[j.Spec.Queue]; d != nil && d.count >= 5 {
			ms = d.mean
		}
		total += ms * float64(st.Count) * float64(st.Need.CPU)
	}
	return total
}

// unschedulable reports whether no worker that may run the step has free capacity for one of its tasks. A worker that the adviser has yet to permit
// counts as one that may: a pool that waits for the adviser isn't short of capacity.
func (st *stepState) unschedulable(p *Pool, workers []*Worker, c Clock) bool {
	t := st.tasks[0]
	advised := p.queueOf(st.occ.job).Advised
	return !slices.ContainsFunc(workers, func(w *Worker) bool {
		return p.fits(t, w, c) || (advised && p.mayAsk(t, w, c) && p.hasRoomFor(t, w, c))
	})
}
