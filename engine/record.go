package engine

import (
	"encoding/json"
	"iter"
	"slices"

	"samphirepoint/jsonenc"
)

// Record is the durable state of a job. The spec has a row of its own, which is written once.
type Record struct {
	Queue       string `json:"q"`
	State       State  `json:"s"`
	SubmittedMS int64  `json:"t"`
	EndedMS     int64  `json:"e,omitempty"`
	Started     bool   `json:"b,omitempty"`
	// Finished lists the finished occurrences. If there are maxListedOccurrences or more, FinishedRanges has them instead, as pairs of
	// the first occurrence of a range and the one after its last.
	Finished       []int `json:"f,omitempty"`
	FinishedRanges []int `json:"u,omitempty"`
	// Settings are those of the job's queue, if they have changed since the job was submitted.
	Settings *Queue `json:"a,omitempty"`
	// SegmentTasks is the number of tasks in each of the job's segments, 0 if the record holds all of its tasks.
	SegmentTasks int `json:"g,omitempty"`
	// Rev grows with each change of the job: of two copies, the one with the higher value is the newer.
	Rev   int64        `json:"v,omitempty"`
	Tasks []TaskRecord `json:"k,omitempty"`
}

// TaskRecord is the state of a task that has been started at least once. A run is recorded before its start order is
// sent, so a successor knows every worker on which it may be.
type TaskRecord struct {
	Occ        int         `json:"o,omitempty"`
	Step       int         `json:"s,omitempty"`
	Index      int         `json:"i,omitempty"`
	LastRun    int64       `json:"r"`
	Failures   int         `json:"f,omitempty"`
	FailedRuns []int64     `json:"x,omitempty"`
	Done       bool        `json:"d,omitempty"`
	Checkpoint string      `json:"c,omitempty"`
	Live       []RunRecord `json:"l,omitempty"`
}

// RunRecord identifies a run that may be on a worker. Incarnation is the start time of that worker, not of the run, in
// Unix milliseconds.
type RunRecord struct {
	Run         int64  `json:"n"`
	Worker      string `json:"w"`
	Incarnation int64  `json:"b,omitempty"`
}

func (j *Job) record() Record {
	r := Record{Queue: j.Spec.Queue, State: j.state, SubmittedMS: j.submittedMS, EndedMS: j.endedMS, Started: j.started, Rev: j.rev, SegmentTasks: j.segmentTasks}
	if j.settings.Name != "" && (j.Spec.Settings == nil || !j.settings.sameSettings(*j.Spec.Settings)) {
		r.Settings = &j.settings
	}
	r.addFinished(j)
	if j.segmentTasks > 0 {
		return r
	}
	for t := range j.tasks() {
		r.addTask(t)
	}
	return r
}

// maxListedOccurrences is the number of finished occurrences from which their ranges are stored.
const maxListedOccurrences = 256

// addFinished adds the finished occurrences. As occurrences begin in order, there are at most as many ranges as open ones, and one more.
func (r *Record) addFinished(j *Job) {
	for k, o := range j.occurrences {
		if o != nil && o.finished {
			r.Finished = append(r.Finished, k)
		}
	}
	if len(r.Finished) < maxListedOccurrences {
		return
	}
	for _, k := range r.Finished {
		if n := len(r.FinishedRanges); n > 0 && r.FinishedRanges[n-1] == k {
			r.FinishedRanges[n-1]++
			continue
		}
		r.FinishedRanges = append(r.FinishedRanges, k, k+1)
	}
	r.Finished = nil
}

// finished yields the finished occurrences.
func (r *Record) finished() iter.Seq[int] {
	return func(yield func(int) bool) {
		for _, k := range r.Finished {
			if !yield(k) {
				return
			}
		}
		for pair := range slices.Chunk(r.FinishedRanges, 2) {
			for k := pair[0]; k < pair[len(pair)-1]; k++ {
				if !yield(k) {
					return
				}
			}
		}
	}
}

// addTask adds the state of a task. It skips tasks that were never started and, once the occurrence or the job has ended,
// tasks without live runs.
func (r *Record) addTask(t *Task) {
	if t.lastRun == 0 {
		return
	}
	if len(t.live) == 0 && (t.step.occ.finished || r.State.Terminal()) {
		return
	}
	tr := TaskRecord{Occ: t.id.Occ, Step: t.id.Step, Index: t.id.IndexInStep, LastRun: t.lastRun, Failures: t.failures, FailedRuns: t.failedRuns, Done: t.done, Checkpoint: t.checkpoint}
	if t.done {
		tr.Checkpoint = ""
	}
	for _, run := range t.live {
		tr.Live = append(tr.Live, RunRecord{Run: run.Num, Worker: run.Worker.ID, Incarnation: run.incarnation})
	}
	r.Tasks = append(r.Tasks, tr)
}

// EncodeRecord returns the record as it is stored.
func (j *Job) EncodeRecord() []byte {
	r := j.record()
	return r.encode()
}

// encode returns the record as encoding/json would encode it. A record is encoded at each change of its job.
func (r *Record) encode() []byte {
	b := make([]byte, 0, 128+128*len(r.Tasks))
	b = jsonenc.String(append(b, `{"q":`...), r.Queue)
	b = jsonenc.String(append(b, `,"s":`...), string(r.State))
	b = jsonenc.Int(append(b, `,"t":`...), r.SubmittedMS)
	b = appendNonZero(b, `,"e":`, r.EndedMS)
	if r.Started {
		b = append(b, `,"b":true`...)
	}
	b = appendList(b, `,"f":[`, r.Finished)
	b = appendList(b, `,"u":[`, r.FinishedRanges)
	if r.Settings != nil {
		b = append(append(b, `,"a":`...), mustEncode(r.Settings)...)
	}
	b = appendNonZero(b, `,"g":`, int64(r.SegmentTasks))
	b = appendNonZero(b, `,"v":`, r.Rev)
	for i := range r.Tasks {
		b = r.Tasks[i].append(append(b, separator(i, `,"k":[`)...))
	}
	b = closeList(b, len(r.Tasks))
	return append(b, '}')
}

func (t *TaskRecord) append(b []byte) []byte {
	b = append(b, '{')
	first := len(b)
	b = appendNonZero(b, `,"o":`, int64(t.Occ))
	b = appendNonZero(b, `,"s":`, int64(t.Step))
	b = appendNonZero(b, `,"i":`, int64(t.Index))
	b = jsonenc.Int(append(b, `,"r":`...), t.LastRun)
	b = append(b[:first], b[first+1:]...) // the comma before the first field
	b = appendNonZero(b, `,"f":`, int64(t.Failures))
	b = appendList(b, `,"x":[`, t.FailedRuns)
	if t.Done {
		b = append(b, `,"d":true`...)
	}
	if t.Checkpoint != "" {
		b = jsonenc.String(append(b, `,"c":`...), t.Checkpoint)
	}
	for i, l := range t.Live {
		b = jsonenc.Int(append(append(b, separator(i, `,"l":[`)...), `{"n":`...), l.Run)
		b = jsonenc.String(append(b, `,"w":`...), l.Worker)
		b = append(appendNonZero(b, `,"b":`, l.Incarnation), '}')
	}
	return append(closeList(b, len(t.Live)), '}')
}

// appendNonZero appends a field unless its value is 0.
func appendNonZero(b []byte, field string, n int64) []byte {
	if n == 0 {
		return b
	}
	return jsonenc.Int(append(b, field...), n)
}

// appendList appends a list that begins with the given text, unless it is empty.
func appendList[T int | int64](b []byte, begin string, list []T) []byte {
	for i, k := range list {
		b = jsonenc.Int(append(b, separator(i, begin)...), int64(k))
	}
	return closeList(b, len(list))
}

// separator returns what precedes the i-th element of a list, which is its beginning before the first one.
func separator(i int, begin string) string {
	if i == 0 {
		return begin
	}
	return ","
}

// closeList ends a list, if it has elements.
func closeList(b []byte, n int) []byte {
	if n == 0 {
		return b
	}
	return append(b, ']')
}

// Encode returns the spec as it is stored.
func (s *Spec) Encode() []byte {
	return mustEncode(s)
}

// mustEncode encodes a struct of plain values, which can't fail.
func mustEncode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}
