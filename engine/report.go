package engine

import (
	"cmp"
	"slices"
	"time"
)

// WorkerReport is the state of a worker for those who plan upkeep and moves.
type WorkerReport struct {
	ID          string `json:"i"`
	Rack        string `json:"k,omitempty"`
	CapacityCPU int64  `json:"c"`
	UsedCPU     int64  `json:"u"`
	Runs        int    `json:"r"`
	LongRunning int    `json:"l,omitempty"`
	Cordoned    bool   `json:"o,omitempty"`
	Usable      bool   `json:"a,omitempty"`
}

// PoolReport is the state of a pool: CPU in thousandths of a core.
type PoolReport struct {
	Workers []WorkerReport `json:"w"`
	// CapacityCPU and UsedCPU are of the workers that take work; PendingCPU is of tasks whose turn has come.
	CapacityCPU    int64 `json:"rc"`
	UsedCPU        int64 `json:"uc"`
	LongRunningCPU int64 `json:"lc"`
	PendingCPU     int64 `json:"pc"`
	// ArrivalCPU is the work that arrived lately, per time: the CPU that it would keep busy for good.
	ArrivalCPU int64 `json:"rt"`
	// Kinds are the kinds of worker that tasks of the pool have asked for, with the CPU of those that wait or run, and
	// KindsLack the CPU of those that wait and fit on no worker of the kind.
	Kinds              map[string]int64 `json:"ki,omitempty"`
	UnschedulableKinds map[string]int64 `json:"kl,omitempty"`
	// LongRunningPending is set while a task that lasts has waited for room for a while.
	LongRunningPending bool `json:"m,omitempty"`
}

// Report describes the pool as it is.
func (p *Pool) Report(c Clock) PoolReport {
	r := PoolReport{ArrivalCPU: p.rate(c), Kinds: map[string]int64{}, UnschedulableKinds: map[string]int64{}}
	for k := range p.kinds {
		r.Kinds[k] = 0
	}
	for _, w := range p.workers {
		wr := WorkerReport{
			ID: w.ID, Rack: w.rack(), CapacityCPU: w.info.Capacity.CPU, UsedCPU: w.used.CPU, Runs: len(w.runs),
			LongRunning: w.count(isLasting), Cordoned: w.cordon > c.Now, Usable: p.reachable(w, c) && w.listed && !w.info.Draining,
		}
		for _, x := range w.runs {
			for _, k := range x.Task.step.spec.Kinds() {
				r.Kinds[k] += x.Task.step.spec.Need.CPU
			}
		}
		if p.takesWork(w, c) {
			r.CapacityCPU += wr.CapacityCPU
		}
		r.UsedCPU += wr.UsedCPU
		r.LongRunningCPU += w.use(isLasting).CPU
		r.Workers = append(r.Workers, wr)
	}
	p.reportPending(&r, c)
	slices.SortFunc(r.Workers, func(a, b WorkerReport) int { return cmp.Compare(a.ID, b.ID) })
	return r
}

func (p *Pool) reportPending(r *PoolReport, c Clock) {
	workers := p.usable(c)
	for _, cd := range p.candidates(c) {
		st := cd.step.spec
		cpu := int64(0)
		for _, t := range cd.step.tasks {
			if t.pending(c.Now) {
				cpu += st.Occupies().CPU
			}
		}
		r.PendingCPU += cpu
		r.LongRunningPending = r.LongRunningPending || (st.LongRunning && cd.step.waitsLong(c))
		for _, k := range st.Kinds() {
			r.Kinds[k] += cpu
			if cd.step.starved(p, workers, c) {
				r.UnschedulableKinds[k] += cpu
			}
		}
	}
}

// missingAfter is how long a task that lasts may wait before its pool counts as lacking room for it.
const missingAfter = 1200 * time.Millisecond

// waitsLong reports whether a task of the step has waited for a while.
func (st *stepState) waitsLong(c Clock) bool {
	if c.Wall-st.occ.job.submittedMS <= missingAfter.Milliseconds() {
		return false
	}
	return slices.ContainsFunc(st.tasks, func(t *Task) bool { return t.pending(c.Now) && c.Now-t.waitsSince > missingAfter })
}

// KindGPU stands for workers with GPUs beside the labels.
const KindGPU = "gpu:"

// IsKind reports whether a worker with these labels and GPUs is of a kind as Step.Kinds names it.
func IsKind(kind string, labels []string, gpus int64) bool {
	if kind == KindGPU {
		return gpus > 0
	}
	return slices.Contains(labels, kind)
}

// Kinds lists what a worker must be to run the step's tasks: its label, and KindGPU.
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

// noteKinds remembers the kinds of worker that a job asks for.
func (p *Pool) noteKinds(j *Job) {
	for i := range j.Spec.Steps {
		for _, k := range j.Spec.Steps[i].Kinds() {
			if _, known := p.kinds[k]; !known {
				p.kinds[k] = 0
			}
		}
	}
}

// rateWindow is over how long arriving work is averaged; large jobs come seconds apart.
const rateWindow = 1300 * time.Millisecond

// rate is worked out from the times at which jobs were handed in, so that a successor in the ownership finds the same.
func (p *Pool) rate(c Clock) int64 {
	total := 0.0
	for _, j := range p.jobs {
		if age := c.Wall - j.submittedMS; age >= 0 && age < rateWindow.Milliseconds() {
			total += p.work(j)
		}
	}
	return int64(total / float64(rateWindow.Milliseconds()))
}

// work is the job's expected work in thousandths of a core times milliseconds.
func (p *Pool) work(j *Job) float64 {
	total := 0.0
	for i := range j.Spec.Steps {
		st := &j.Spec.Steps[i]
		if st.LongRunning {
			continue
		}
		ms := float64(st.EstimateMS)
		if d := p.learned[j.Spec.Queue]; d != nil && d.count >= 5 {
			ms = d.mean
		}
		total += ms * float64(st.Count) * float64(st.Need.CPU)
	}
	return total
}
