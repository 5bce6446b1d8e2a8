package engine

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// Resources is what a task requests or a worker provides: thousandths of a core, megabytes and GPUs.
type Resources struct {
	CPU int64 `json:"c,omitempty"`
	Mem int64 `json:"m,omitempty"`
	GPU int64 `json:"g,omitempty"`
}

// Add returns the sum of r and o.
func (r Resources) Add(o Resources) Resources {
	return Resources{CPU: r.CPU + o.CPU, Mem: r.Mem + o.Mem, GPU: r.GPU + o.GPU}
}

// Sub returns r less o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{CPU: r.CPU - o.CPU, Mem: r.Mem - o.Mem, GPU: r.GPU - o.GPU}
}

// Covers reports whether o fits into r.
func (r Resources) Covers(o Resources) bool {
	return r.CPU >= o.CPU && r.Mem >= o.Mem && r.GPU >= o.GPU
}

// Times returns r n times.
func (r Resources) Times(n int) Resources {
	return Resources{CPU: r.CPU * int64(n), Mem: r.Mem * int64(n), GPU: r.GPU * int64(n)}
}

// DividedBy returns how many times r covers o, which must not be zero in all resources.
func (r Resources) DividedBy(o Resources) int {
	n := int64(math.MaxInt32)
	for _, x := range [...]struct{ have, need int64 }{{r.CPU, o.CPU}, {r.Mem, o.Mem}, {r.GPU, o.GPU}} {
		if x.need > 0 {
			n = min(n, max(x.have, 0)/x.need)
		}
	}
	return int(n)
}

// Max returns the larger one of each resource.
func (r Resources) Max(o Resources) Resources {
	return Resources{CPU: max(r.CPU, o.CPU), Mem: max(r.Mem, o.Mem), GPU: max(r.GPU, o.GPU)}
}

// Min returns the smaller one of each resource.
func (r Resources) Min(o Resources) Resources {
	return Resources{CPU: min(r.CPU, o.CPU), Mem: min(r.Mem, o.Mem), GPU: min(r.GPU, o.GPU)}
}

// Step is a set of identical tasks of a job.
type Step struct {
	Count         int       `json:"n"`
	Need          Resources `json:"r"`
	EstimateMS    int64     `json:"e,omitempty"`
	After         []int     `json:"a,omitempty"`
	Checkpointed  bool      `json:"ck,omitempty"`
	Gang          bool      `json:"ga,omitempty"`
	SameRack      bool      `json:"sr,omitempty"`
	RequiredLabel string    `json:"rl,omitempty"`
	AffinityRack  string    `json:"af,omitempty"`
	AntiAffinity  int       `json:"aa,omitempty"`
	Speculative   bool      `json:"sp,omitempty"`
	LongRunning   bool      `json:"la,omitempty"`
	Image         string    `json:"im,omitempty"`
	// BestEffort marks best-effort tasks, whose CPU does not count against a worker's capacity.
	BestEffort bool `json:"fi,omitempty"`
	// TailTargetMS is the target that the tail latency of a long-running task must stay below.
	TailTargetMS int64 `json:"tt,omitempty"`
	// MaxUnavailable is how many tasks of a long-running step may be unavailable at once through the engine's own orders.
	MaxUnavailable int `json:"mm,omitempty"`
}

// Footprint returns what a task of the step takes from a worker's capacity.
func (s *Step) Footprint() Resources {
	if s.BestEffort {
		return Resources{Mem: s.Need.Mem, GPU: s.Need.GPU}
	}
	return s.Need
}

// Spec is a job as submitted. RepeatCount 0 means one occurrence that is due at once.
type Spec struct {
	ID    string `json:"id"`
	Queue string `json:"q"`
	// Workspace is the one whose key the submission carried, or "" for a public queue.
	Workspace string `json:"ws,omitempty"`
	// Settings are those of the queue when the job was submitted; nil if they aren't known.
	Settings    *Queue `json:"cf,omitempty"`
	Payload     string `json:"p,omitempty"`
	Steps       []Step `json:"s"`
	RepeatCount int    `json:"x,omitempty"`
	FirstDueMS  int64  `json:"fd,omitempty"`
	IntervalMS  int64  `json:"iv,omitempty"`
}

// Occurrences returns how many times the steps run.
func (s *Spec) Occurrences() int { return max(s.RepeatCount, 1) }

// tasks returns the number of tasks of one occurrence.
func (s *Spec) tasks() int {
	n := 0
	for i := range s.Steps {
		n += s.Steps[i].Count
	}
	return n
}

// MaxTasks and MaxOccurrences bound a job, so that a single job can't exhaust a daemon's memory.
const (
	MaxTasks       = 20_000
	MaxOccurrences = 100_000
	// MaxIntervalMS and MaxDueMS, in milliseconds, keep the times of all occurrences far below the largest number.
	MaxIntervalMS = 10 * 365 * 24 * 3600 * 1000
	MaxDueMS      = 1 << 50
)

// Check returns an error that names the first invalid part of the spec.
func (s *Spec) Check() error {
	if len(s.Steps) == 0 {
		return fmt.Errorf("a job needs at least one step")
	}
	if s.RepeatCount < 0 || s.RepeatCount > MaxOccurrences {
		return fmt.Errorf("a job may have up to %d occurrences, found %d", MaxOccurrences, s.RepeatCount)
	}
	if s.IntervalMS < 0 || s.IntervalMS > MaxIntervalMS || s.FirstDueMS < 0 || s.FirstDueMS > MaxDueMS {
		return fmt.Errorf("the times at which occurrences are due are out of range")
	}
	total := 0
	for i := range s.Steps {
		st := &s.Steps[i]
		if st.Count < 1 {
			return fmt.Errorf("step %d: count must be at least 1", i)
		}
		if !st.Need.Covers(Resources{}) || st.EstimateMS < 0 {
			return fmt.Errorf("step %d: resources and estimate must not be negative", i)
		}
		if total += min(st.Count, MaxTasks+1); total > MaxTasks {
			return fmt.Errorf("a job may have up to %d tasks", MaxTasks)
		}
		for _, a := range st.After {
			if a < 0 || a >= i {
				return fmt.Errorf("step %d: after refers to step %d, which is not an earlier step", i, a)
			}
		}
	}
	return nil
}

// State is a job's state as reported to its caller.
type State string

// The states of a job.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Terminal reports whether the state is final.
func (s State) Terminal() bool { return s == Completed || s == Failed || s == Cancelled }

// Queue holds a queue's settings from the operators' configuration.
type Queue struct {
	Name string `json:"n"`
	// Version is the version of the configuration.
	Version int64 `json:"v,omitempty"`
	// Priority orders the queues: a lower number goes first.
	Priority int `json:"p,omitempty"`
	// Attempts is the number of failures after which a task fails its job; 0 means no limit.
	Attempts int `json:"a,omitempty"`
	// A job should end within Stretch times its critical path, plus TargetMS.
	Stretch  float64 `json:"s,omitempty"`
	TargetMS int64   `json:"t,omitempty"`
	// Advised queues need a ticket for each worker that runs their tasks.
	Advised bool        `json:"d,omitempty"`
	Advice  AdviceTimes `json:"g,omitzero"`
}

// AdviceTimes says how long the adviser takes for a queue, in milliseconds. A time is 0 if it isn't known.
type AdviceTimes struct {
	// DecideMS is what an answer takes, and EachMS what it takes more for each worker named. ValidMS is how long tickets hold.
	DecideMS int64 `json:"d,omitempty"`
	EachMS   int64 `json:"e,omitempty"`
	ValidMS  int64 `json:"v,omitempty"`
}

// workersWithin returns how many workers, at most limit, a request may name so that it takes no longer than a share of the validity of tickets.
func (t AdviceTimes) workersWithin(share float64, limit int) int {
	if t.EachMS <= 0 || t.ValidMS <= 0 {
		return limit
	}
	n := (share*float64(t.ValidMS) - float64(t.DecideMS)) / float64(t.EachMS)
	return int(max(1, min(n, float64(limit))))
}

// sameSettings reports whether two queues have the same settings, whatever version they are from.
func (q Queue) sameSettings(other Queue) bool {
	q.Version = other.Version
	return q == other
}

// Version returns the version of the configuration under which the job was submitted, or 0 if it isn't known.
func (s *Spec) Version() int64 {
	if s.Settings == nil {
		return 0
	}
	return s.Settings.Version
}

// TaskID identifies a task by job, occurrence, step and index.
type TaskID struct {
	Job         string
	Occ, Step   int
	IndexInStep int
}

// String returns the form JOB.OCCURRENCE.STEP.INDEX.
func (t TaskID) String() string {
	var buf [64]byte
	b := append(buf[:0], t.Job...)
	for _, n := range [...]int{t.Occ, t.Step, t.IndexInStep} {
		b = strconv.AppendInt(append(b, '.'), int64(n), 10)
	}
	return string(b)
}

// ParseTaskID parses the form that String returns.
func ParseTaskID(s string) (TaskID, error) {
	job, rest, more := strings.Cut(s, ".")
	var n [3]int
	for i := range n {
		var part string
		if !more {
			return TaskID{}, fmt.Errorf("task %q: expected JOB.OCCURRENCE.STEP.INDEX", s)
		}
		part, rest, more = strings.Cut(rest, ".")
		v, err := strconv.Atoi(part)
		if err != nil || v < 0 {
			return TaskID{}, fmt.Errorf("task %q: %q is not a number", s, part)
		}
		n[i] = v
	}
	if more {
		return TaskID{}, fmt.Errorf("task %q: expected JOB.OCCURRENCE.STEP.INDEX", s)
	}
	return TaskID{Job: job, Occ: n[0], Step: n[1], IndexInStep: n[2]}, nil
}

// Clock is the time of an event: Now on the process's monotonic clock, Wall in Unix milliseconds.
type Clock struct {
	Now  time.Duration
	Wall int64
}

// Since returns the time since an earlier event. A machine that was suspended in between shows by the time of day only, as its monotonic
// clock stood still.
func (c Clock) Since(at Clock) time.Duration {
	return max(c.Now-at.Now, time.Duration(c.Wall-at.Wall)*time.Millisecond)
}

// EndReason is the reason for the end of a run.
type EndReason string

// The end reasons that a worker lists.
const (
	EndDone    EndReason = "done"
	EndFailed  EndReason = "failed"
	EndStopped EndReason = "stopped"
	// EndLeaseExpired: the worker's lease expired.
	EndLeaseExpired EndReason = "lapsed"
	// EndGangBroken: another member of the gang ended, but not as done.
	EndGangBroken EndReason = "broken"
	// EndGangIncomplete: the other members of the gang did not start in time.
	EndGangIncomplete EndReason = "alone"
)

// RunningRow is a run that a worker lists as running.
type RunningRow struct {
	Task       string
	Run        int64
	Checkpoint string
	Percent    int64
	// Load is the tail latency in milliseconds for a serving task, the CPU in use for others.
	Load int64
}

// EndedRow is a run that a worker lists as ended. Ends are numbered within the worker's incarnation.
type EndedRow struct {
	Seq        int64
	Task       string
	Run        int64
	Reason     EndReason
	Checkpoint string
}

// RenewalReply is a worker's response to a lease renewal, which reports its runs. Incarnation is the start time of the
// worker in Unix milliseconds, ClockMS the time on its own monotonic clock.
type RenewalReply struct {
	Incarnation int64
	ClockMS     int64
	Running     []RunningRow
	Ended       []EndedRow
}
