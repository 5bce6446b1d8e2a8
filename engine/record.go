package engine

import "encoding/json"

// Record is the durable state of a job. The spec has a row of its own, which is written once.
type Record struct {
	Queue       string       `json:"q"`
	State       State        `json:"s"`
	SubmittedMS int64        `json:"t"`
	EndedMS     int64        `json:"e,omitempty"`
	Started     bool         `json:"b,omitempty"`
	Finished    []int        `json:"f,omitempty"`
	Tasks       []TaskRecord `json:"k,omitempty"`
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
	r := Record{Queue: j.Spec.Queue, State: j.state, SubmittedMS: j.submittedMS, EndedMS: j.endedMS, Started: j.started}
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
	b, err := json.Marshal(j.record())
	if err != nil {
		panic(err) // A record holds plain values only.
	}
	return b
}

// EncodeSpec returns the spec as it is stored.
func (j *Job) EncodeSpec() []byte {
	b, err := json.Marshal(j.Spec)
	if err != nil {
		panic(err) // A spec holds plain values only.
	}
	return b
}
