package engine

import (
	"encoding/json"

	"samphirepoint/jsonenc"
)

// Record is the durable state of a job. The spec has a row of its own, which is written once.
type Record struct {
	Queue       string `json:"q"`
	State       State  `json:"s"`
	SubmittedMS int64  `json:"t"`
	EndedMS     int64  `json:"e,omitempty"`
	Started     bool   `json:"b,omitempty"`
	Finished    []int  `json:"f,omitempty"`
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
	r := Record{Queue: j.Spec.Queue, State: j.state, SubmittedMS: j.submittedMS, EndedMS: j.endedMS, Started: j.started, Rev: j.rev}
	for k, o := range j.occurrences {
		if o != nil && o.finished {
			r.Finished = append(r.Finished, k)
		}
	}
	for t := range j.tasks() {
		r.addTask(t)
	}
	return r
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
	tr := TaskRecord{Occ: t.id.Occ, Step: t.id.Step, Index: t.id.IndexInStep, LastRun: t.lastRun, Failures: t.failures, Done: t.done, Checkpoint: t.checkpoint}
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
	for i, k := range r.Finished {
		b = jsonenc.Int(append(b, separator(i, `,"f":[`)...), int64(k))
	}
	b = closeList(b, len(r.Finished))
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

// EncodeSpec returns the spec as it is stored.
func (j *Job) EncodeSpec() []byte {
	b, err := json.Marshal(j.Spec)
	if err != nil {
		panic(err) // A spec holds plain values only.
	}
	return b
}
