package engine

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Resources is what a task needs or a worker has: thousandths of a core, megabytes and GPUs.
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

// Step is a set of like tasks of a job.
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
	// BestEffort marks tasks whose CPU does not count against a worker's room.
	BestEffort bool `json:"fi,omitempty"`
	// TailTargetMS is the response time that the tail of a lasting task must stay below.
	TailTargetMS int64 `json:"tt,omitempty"`
	// MaxUnavailable is how many tasks of a lasting step may be away at once through our orders.
	MaxUnavailable int `json:"mm,omitempty"`
}

// Occupies is what a task of the step takes from a worker's room.
func (s *Step) Occupies() Resources {
	if s.BestEffort {
		return Resources{Mem: s.Need.Mem, GPU: s.Need.GPU}
	}
	return s.Need
}

// Spec is a job as it was handed in. Times 0 means one occurrence that is due at once.
type Spec struct {
	ID          string `json:"id"`
	Queue       string `json:"q"`
	Payload     string `json:"p,omitempty"`
	Steps       []Step `json:"s"`
	RepeatCount int    `json:"x,omitempty"`
	FirstDueMS  int64  `json:"fd,omitempty"`
	IntervalMS  int64  `json:"iv,omitempty"`
}

// Occurrences is how often the steps run.
func (s *Spec) Occurrences() int { return max(s.RepeatCount, 1) }

// MaxTasks and MaxOccurrences bound a job, so that one job can't take a daemon's memory.
const (
	MaxTasks       = 20_000
	MaxOccurrences = 100_000
)

// Check returns an error that names the first fault of the spec.
func (s *Spec) Check() error {
	if len(s.Steps) == 0 {
		return fmt.Errorf("a job needs at least one step")
	}
	if s.RepeatCount < 0 || s.RepeatCount > MaxOccurrences {
		return fmt.Errorf("a job may have up to %d occurrences, found %d", MaxOccurrences, s.RepeatCount)
	}
	total := 0
	for i := range s.Steps {
		st := &s.Steps[i]
		if st.Count < 1 {
			return fmt.Errorf("step %d: count must be at least 1", i)
		}
		if total += min(st.Count, MaxTasks+1); total > MaxTasks {
			return fmt.Errorf("a job may have up to %d tasks", MaxTasks)
		}
		for _, a := range st.After {
			if a < 0 || a >= i {
				return fmt.Errorf("step %d: after names step %d, which is not an earlier one", i, a)
			}
		}
	}
	return nil
}

// State is a job's state as its caller sees it.
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

// Queue is what the table of weights and limits says of a stream of jobs.
type Queue struct {
	Name     string
	Priority int
	Attempts int
	// Stretch times the longest chain of work, plus TargetMS, is the time in which a job is to end.
	Stretch  float64
	TargetMS int64
	// Advised queues need a ticket for each worker that runs their tasks.
	Advised bool
}

// TaskID names a task: job, occurrence, step and index.
type TaskID struct {
	Job         string
	Occ, Step   int
	IndexInStep int
}

// String returns the form JOB.OCCURRENCE.STEP.INDEX.
func (t TaskID) String() string {
	return t.Job + "." + strconv.Itoa(t.Occ) + "." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.IndexInStep)
}

// ParseTaskID reads the form of String.
func ParseTaskID(s string) (TaskID, error) {
	p := strings.Split(s, ".")
	if len(p) != 4 {
		return TaskID{}, fmt.Errorf("task %q: expected JOB.OCCURRENCE.STEP.INDEX", s)
	}
	var n [3]int
	for i := range n {
		v, err := strconv.Atoi(p[i+1])
		if err != nil || v < 0 {
			return TaskID{}, fmt.Errorf("task %q: %q is not a number", s, p[i+1])
		}
		n[i] = v
	}
	return TaskID{Job: p[0], Occ: n[0], Step: n[1], IndexInStep: n[2]}, nil
}

// Clock is the time of one event: Now on the steady clock of the process, Wall in Unix milliseconds.
type Clock struct {
	Now  time.Duration
	Wall int64
}

// EndReason is the way in which a run ended.
type EndReason string

// The ways in which a worker lists an end.
const (
	EndDone    EndReason = "done"
	EndFailed  EndReason = "failed"
	EndStopped EndReason = "stopped"
	EndLapsed  EndReason = "lapsed"
	EndBroken  EndReason = "broken"
	EndAlone   EndReason = "alone"
)

// RunningRow is a run that a worker lists as present.
type RunningRow struct {
	Task       string
	Run        int64
	Checkpoint string
	Percent    int64
	// Load is the tail in milliseconds for a task that serves, the CPU in use for others.
	Load int64
}

// EndedRow is a run that a worker lists as ended, numbered within the worker's life.
type EndedRow struct {
	Seq        int64
	Task       string
	Run        int64
	Reason     EndReason
	Checkpoint string
}

// RenewalReply is what a worker says of itself and of its runs. ClockMS is its own steady clock.
type RenewalReply struct {
	Incarnation int64
	ClockMS     int64
	Running     []RunningRow
	Ended       []EndedRow
}
