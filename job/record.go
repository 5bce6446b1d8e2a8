// Package job accepts long work, keeps it in the platform's table and carries it to its end on
// workers as tasks under leases. An accepted job survives the loss of every entry: the owner of its
// pool finds the row and continues from the worker and task named there.
package job

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/google/uuid"

	"samphirepoint/claim"
	"samphirepoint/request"
	"samphirepoint/verdict"
)

// Keys in the platform's table. A job is under PrefixActive until it ends and under PrefixResults then, so that
// the owner of a pool lists only work to do.
const (
	PrefixActive  = "jobs/"
	PrefixResults = "results/"
	// prefixKeys holds the job of each key of a non-idempotent job. The id of a job names its pool, which changes
	// with the queue's row in the configuration; the key does not.
	prefixKeys = "jobkeys/"
	// prefixBodies holds bodies and results in the object store that are too long for a row.
	prefixBodies = "jobbodies/"
)

// maxInlineBytes is the longest body or result kept in a row.
const maxInlineBytes = 16 << 10

// State of a job.
type State string

// States of a job; Done, Failed, Cancelled and Unknown are final.
const (
	Queued    State = "queued"
	Running   State = "running"
	Done      State = "done"
	Failed    State = "failed"
	Cancelled State = "cancelled"
	// Unknown means that the job may have run in part and is not run again.
	Unknown State = "unknown"
)

// Final reports whether the state does not change any more.
func (s State) Final() bool { return s != Queued && s != Running }

// Record is the row of a job.
type Record struct {
	ID          string        `json:"id"`
	Backer      string        `json:"backer"`
	Queue       string        `json:"queue"`
	Pool        string        `json:"pool"`
	Kind        string        `json:"kind,omitempty"`
	Class       request.Class `json:"class,omitempty"`
	Idempotent  bool          `json:"idempotent"`
	Key         string        `json:"key,omitempty"`
	ContentType string        `json:"contentType,omitempty"`
	BodyHash    string        `json:"bodyHash"`
	Body        []byte        `json:"body,omitempty"`
	// BodyObject names the body in the object store if it is too long for the row.
	BodyObject string    `json:"bodyObject,omitempty"`
	Accepted   time.Time `json:"accepted"`
	Deadline   time.Time `json:"deadline,omitzero"`
	Updated    time.Time `json:"updated"`

	State State `json:"state"`
	// Owner is the process that runs the job: entry id and start time.
	Owner string `json:"owner,omitempty"`
	// Worker, Address and Task are written before the task is started.
	Worker  string `json:"worker,omitempty"`
	Address string `json:"address,omitempty"`
	Task    string `json:"task,omitempty"`
	// Checkpoint is the last progress that another task can continue from.
	Checkpoint json.RawMessage `json:"checkpoint,omitempty"`
	// FailedOn lists the workers on which the job failed.
	FailedOn []string `json:"failedOn,omitempty"`
	// Failures counts the runs that failed.
	Failures int `json:"failures,omitempty"`
	// MayHaveRun is set before a task is started and cleared only if the worker refused it.
	MayHaveRun bool `json:"mayHaveRun,omitempty"`
	// CancelRequested asks the owner to stop the job.
	CancelRequested bool `json:"cancelRequested,omitempty"`

	// Verdict, Status, Result and Error are the outcome of a job in a final state.
	Verdict      string `json:"verdict,omitempty"`
	Status       int    `json:"status,omitempty"`
	Result       []byte `json:"result,omitempty"`
	ResultObject string `json:"resultObject,omitempty"`
	Error        string `json:"error,omitempty"`

	version int64
}

// NewID returns the id of a job. It names the pool, so that any entry finds the row. The id of a
// non-idempotent job derives from its key, so that a repeat finds the first one.
func NewID(r *request.Request) string {
	if r.Idempotent {
		return r.Pool + "." + uuid.NewString()
	}
	row := claim.RowKey(r.Backer, r.Queue, r.Key, r.KeyIssued)
	return r.Pool + "." + r.Backer + "-" + row[strings.LastIndexByte(row, '/')+1:]
}

// keyRow is the value of a row under prefixKeys.
type keyRow struct {
	ID       string    `json:"id"`
	Accepted time.Time `json:"accepted"`
}

// rowOfKey names the row of a non-idempotent job's key.
func rowOfKey(r *request.Request) string {
	return prefixKeys + strings.TrimPrefix(claim.RowKey(r.Backer, r.Queue, r.Key, r.KeyIssued), claim.Prefix)
}

func (k keyRow) encode() []byte {
	data, err := json.Marshal(k)
	if err != nil {
		// keyRow holds only a string and a time.
		panic(err)
	}
	return data
}

func decodeKey(data []byte) (keyRow, error) {
	var k keyRow
	if err := json.Unmarshal(data, &k); err != nil {
		return keyRow{}, fmt.Errorf("row of a job's key: %w", err)
	}
	return k, nil
}

// splitID returns the pool that an id names.
func splitID(id string) (pool string, ok bool) {
	i := strings.LastIndexByte(id, '.')
	if i <= 0 || i == len(id)-1 || strings.ContainsRune(id, '/') {
		return "", false
	}
	return id[:i], true
}

func activeKey(pool, id string) string { return PrefixActive + pool + "/" + id }

func resultKey(pool, id string) string { return PrefixResults + pool + "/" + id }

func (r *Record) encode() []byte {
	data, err := json.Marshal(r)
	if err != nil {
		// Record holds only strings, numbers, times and checked JSON.
		panic(err)
	}
	return data
}

func decode(data []byte, version int64) (*Record, error) {
	r := &Record{version: version}
	if err := json.Unmarshal(data, r); err != nil {
		return nil, fmt.Errorf("job row: %w", err)
	}
	return r, nil
}

// waitingVerdict is the verdict of a job that ends while it waits; an earlier task of it may have run.
func (r *Record) waitingVerdict() verdict.Verdict {
	if r.MayHaveRun {
		return verdict.MayHaveRun
	}
	return verdict.NotRun
}

// request is the job as a request for the scheduler and the worker.
func (r *Record) request() *request.Request {
	class := r.Class
	if class == request.Unclassified {
		class = request.Long
	}
	return &request.Request{
		ID: r.ID, Backer: r.Backer, Queue: r.Queue, Pool: r.Pool, Kind: r.Kind, Class: class,
		Idempotent: r.Idempotent, Key: r.Key, Received: r.Accepted, Deadline: r.Deadline, ContentType: r.ContentType,
	}
}
