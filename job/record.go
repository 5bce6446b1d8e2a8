// Package job accepts long work, stores it in the platform's table and runs it to completion on
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

// Keys in the platform's table. A job is stored under PrefixActive until it ends and under PrefixResults afterwards,
// so that the owner of a pool lists only unfinished jobs.
const (
	PrefixActive  = "jobs/"
	PrefixResults = "results/"
	// prefixKeys maps the idempotency key of each non-idempotent job to its job id. A job id contains the pool,
	// which changes with the queue's row in the configuration; the key does not change.
	prefixKeys = "jobkeys/"
	// prefixBodies is the object store prefix of bodies and results that are too long for a row.
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
	// Unknown means that the job may have run partially and is not run again.
	Unknown State = "unknown"
)

// Final reports whether s is a final state.
func (s State) Final() bool { return s != Queued && s != Running }

// Record is the table row of a job.
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
	// Worker, Address and Task are stored before the task is started.
	Worker  string `json:"worker,omitempty"`
	Address string `json:"address,omitempty"`
	Task    string `json:"task,omitempty"`
	// Checkpoint is the most recent progress from which another task can continue.
	Checkpoint json.RawMessage `json:"checkpoint,omitempty"`
	// FailedOn lists the workers on which the job failed.
	FailedOn []string `json:"failedOn,omitempty"`
	// Failures is the number of failed runs.
	Failures int `json:"failures,omitempty"`
	// MayHaveRun is set before a task is started and cleared only if the worker rejected it.
	MayHaveRun bool `json:"mayHaveRun,omitempty"`
	// CancelRequested requests that the owner stop the job.
	CancelRequested bool `json:"cancelRequested,omitempty"`

	// Verdict, Status, Result and Error are the outcome of a job in a final state.
	Verdict      string `json:"verdict,omitempty"`
	Status       int    `json:"status,omitempty"`
	Result       []byte `json:"result,omitempty"`
	ResultObject string `json:"resultObject,omitempty"`
	Error        string `json:"error,omitempty"`

	version int64
}

// NewID returns the id of a job. The id contains the pool, so that any entry finds the row. The id of a
// non-idempotent job is derived from its idempotency key, so that a resubmission finds the first job.
func NewID(r *request.Request) string {
	if r.Idempotent {
		return r.Pool + "." + uuid.NewString()
	}
	row := claim.RowKey(r.Backer, r.Queue, r.Key, r.KeyIssued)
	return r.Pool + "." + r.Backer + "-" + row[strings.LastIndexByte(row, '/')+1:]
}

// idempotencyRow is the value of a row under prefixKeys: the job that uses an idempotency key.
type idempotencyRow struct {
	ID       string    `json:"id"`
	Accepted time.Time `json:"accepted"`
}

// idempotencyRowKey returns the row key of a non-idempotent job's idempotency key.
func idempotencyRowKey(r *request.Request) string {
	return prefixKeys + strings.TrimPrefix(claim.RowKey(r.Backer, r.Queue, r.Key, r.KeyIssued), claim.Prefix)
}

func (k idempotencyRow) encode() []byte {
	data, err := json.Marshal(k)
	if err != nil {
		// idempotencyRow holds only a string and a time, which always encode.
		panic(err)
	}
	return data
}

func decodeIdempotencyRow(data []byte) (idempotencyRow, error) {
	var k idempotencyRow
	if err := json.Unmarshal(data, &k); err != nil {
		return idempotencyRow{}, fmt.Errorf("decoding idempotency key row: %w", err)
	}
	return k, nil
}

// splitID returns the pool that a job id contains.
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
		// Record holds only strings, numbers, times and validated JSON, which always encode.
		panic(err)
	}
	return data
}

func decode(data []byte, version int64) (*Record, error) {
	r := &Record{version: version}
	if err := json.Unmarshal(data, r); err != nil {
		return nil, fmt.Errorf("decoding job row: %w", err)
	}
	return r, nil
}

// queuedVerdict returns the verdict of a job that ends while it is queued; an earlier task of the job may have run.
func (r *Record) queuedVerdict() verdict.Verdict {
	if r.MayHaveRun {
		return verdict.MayHaveRun
	}
	return verdict.NotRun
}

// request converts the job, without its body, to a request for the scheduler and the worker.
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
