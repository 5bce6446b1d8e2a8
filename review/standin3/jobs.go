package main

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// step is a step of a job as its client has sent it, with the real length of its tasks.
type step struct {
	count  int
	cpu    int64
	length time.Duration
	after  []int
}

// job is a job with what its workers have done of it.
type job struct {
	id       string
	accepted time.Time
	steps    []step
	done     map[string]bool
	running  int
	starts   int
	// idleSince is since when, without a break, the job has had nothing running although a task's turn had come and there was room; zero if that
	// isn't so now.
	idleSince time.Time
}

// jobs has all jobs that clients have sent.
type jobs struct {
	mu  sync.Mutex
	all map[string]*job
	// live has the runs of each task that go on now.
	live map[string][]string
	// twice describes the runs that began while another run of their task went on.
	twice []string
}

func newJobs() *jobs { return &jobs{all: map[string]*job{}, live: map[string][]string{}} }

func (b *jobs) add(j *job) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.all[j.id] = j
}

// find returns the job and the step of a task, whose name has the form ID.K.STEP.INDEX.
func (b *jobs) find(task string) (*job, *step) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return nil, nil
	}
	j := b.all[parts[0]]
	n, err := strconv.Atoi(parts[2])
	if j == nil || err != nil || n >= len(j.steps) {
		return nil, nil
	}
	return j, &j.steps[n]
}

// begun records that a run of a task has started, and returns how long it takes and the cpu that it uses.
func (b *jobs) begun(task, run string) (time.Duration, int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if others := b.live[task]; len(others) > 0 {
		b.twice = append(b.twice, fmt.Sprintf("TWICE: %s, %s begins while %s goes on", task, run, strings.Join(others, ", ")))
	}
	b.live[task] = append(b.live[task], run)
	j, st := b.find(task)
	if j == nil {
		return time.Second, 0
	}
	j.running++
	j.starts++
	return st.length, st.cpu
}

// ended records the end of a run.
func (b *jobs) ended(task, run, how string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.live[task] = slices.DeleteFunc(b.live[task], func(r string) bool { return r == run })
	if j, _ := b.find(task); j != nil {
		j.running--
		if how == "done" {
			j.done[task] = true
		}
	}
}

// next returns the first step with tasks whose turn has come and that are not done, and the number of these. It returns -1 if all are done.
func (j *job) next() (number, left int) {
	for n, st := range j.steps {
		if left := j.left(n); left > 0 {
			for _, a := range st.after {
				if j.left(a) > 0 {
					return -1, 0 // A step before it has tasks left, and is returned first.
				}
			}
			return n, left
		}
	}
	return -1, 0
}

// left returns how many tasks of a step are not done.
func (j *job) left(n int) int {
	left := 0
	for k := range j.steps[n].count {
		if !j.done[fmt.Sprintf("%s.0.%d.%d", j.id, n, k)] {
			left++
		}
	}
	return left
}

// body returns the job as its client sends it.
func (j *job) body() string {
	var list []string
	for _, st := range j.steps {
		after := ""
		if len(st.after) > 0 {
			after = fmt.Sprintf(`,"after":[%d]`, st.after[0])
		}
		list = append(list, fmt.Sprintf(`{"count":%d,"cpu":%d,"mem_mb":1024,"estimate_ms":%d%s}`, st.count, st.cpu, st.length.Milliseconds(), after))
	}
	return fmt.Sprintf(`{"task_spec":"job %s","steps":[%s]}`, j.id, strings.Join(list, ","))
}
