package load

import (
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"samphirepoint/request"
	"samphirepoint/standin/workerd"
	"samphirepoint/verdict"
)

// ErrKind classifies submissions that got no complete answer.
type ErrKind string

// Kinds of errors.
const (
	// ErrRefused: no connection was made, so nothing was sent.
	ErrRefused ErrKind = "refused"
	// ErrTimeout: the caller gave up.
	ErrTimeout ErrKind = "timeout"
	// ErrBroken: the connection ended before the answer was complete.
	ErrBroken ErrKind = "broken"
	// ErrDropped: the generator itself had too many requests in flight and did not send.
	ErrDropped ErrKind = "dropped"
)

// Record is what one submission asked for and what its caller was told.
type Record struct {
	Arrival int `json:"arrival"`
	// Repeat counts the earlier submissions of the same arrival.
	Repeat    int    `json:"repeat"`
	RequestID string `json:"requestId"` // as sent
	// AnswerID is the Samphire-Request-Id of the answer; empty if it carried none.
	AnswerID    string        `json:"answerId,omitempty"`
	Key         string        `json:"key,omitempty"`
	Idempotent  bool          `json:"idempotent"`
	Backer      string        `json:"backer"`
	Queue       string        `json:"queue"`
	Kind        string        `json:"kind"`
	Long        bool          `json:"long"`
	RunTime     time.Duration `json:"runTimeNs"`
	Entry       string        `json:"entry"`
	Intended    time.Time     `json:"intended"`
	Sent        time.Time     `json:"sent"`
	Ended       time.Time     `json:"ended"`
	Cancelled   bool          `json:"cancelled,omitempty"`
	Status      int           `json:"status,omitempty"`
	Verdict     string        `json:"verdict,omitempty"`
	Replayed    bool          `json:"replayed,omitempty"`
	Worker      string        `json:"worker,omitempty"`
	RetryAfter  time.Duration `json:"retryAfterNs,omitempty"`
	ErrKind     ErrKind       `json:"errKind,omitempty"`
	Err         string        `json:"err,omitempty"`
	WantPayload string        `json:"wantPayload"`
	WantPadding int           `json:"wantPadding"`
	Bytes       int           `json:"bytes"`
	// ClaimedHash is the Samphire-Body-Hash of the answer, Hash that of the bytes received.
	ClaimedHash string `json:"claimedHash,omitempty"`
	Hash        string `json:"hash,omitempty"`
	// Result is the parsed answer of a worker; nil if the body is not one.
	Result *workerd.Result `json:"result,omitempty"`
	// ResultPadding is the length of the padding, which Result leaves out to save memory.
	ResultPadding int `json:"resultPadding,omitempty"`
}

// ID is the id under which the system knows the submission.
func (r *Record) ID() string {
	if r.AnswerID != "" {
		return r.AnswerID
	}
	return r.RequestID
}

// OK says that the caller takes the answer for a good one.
func (r *Record) OK() bool { return r.ErrKind == "" && r.Status >= 200 && r.Status < 300 }

// OutcomeUnknown says that the caller cannot know whether the work ran.
func (r *Record) OutcomeUnknown() bool {
	switch r.ErrKind {
	case ErrRefused, ErrDropped:
		return false
	case ErrTimeout, ErrBroken:
		return true
	}
	return r.Verdict != "ran" && r.Verdict != "not-run"
}

// SetResponse takes over an answer and closes its body.
func (r *Record) SetResponse(resp *http.Response) {
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		r.SetError(err)
		return
	}
	h := resp.Header
	r.Status = resp.StatusCode
	r.Verdict = h.Get(request.HeaderVerdict)
	r.AnswerID = h.Get(request.HeaderRequestID)
	r.Replayed = h.Get(request.HeaderReplayed) == "true"
	r.Worker = h.Get(request.HeaderWorker)
	r.ClaimedHash = h.Get(request.HeaderBodyHash)
	r.Hash = request.BodyHash(body)
	r.Bytes = len(body)
	if s, err := strconv.Atoi(h.Get("Retry-After")); err == nil && s >= 0 {
		r.RetryAfter = time.Duration(s) * time.Second
	}
	var result workerd.Result
	if json.Unmarshal(body, &result) == nil && result.RunID != "" {
		r.ResultPadding = len(result.Padding)
		result.Padding = ""
		r.Result = &result
	}
}

// SetError notes why there was no complete answer.
func (r *Record) SetError(err error) {
	r.Err = err.Error()
	var netErr net.Error
	switch {
	case errors.Is(err, syscall.ECONNREFUSED) || verdict.NeverSent(err):
		r.ErrKind = ErrRefused
	case errors.As(err, &netErr) && netErr.Timeout():
		r.ErrKind = ErrTimeout
	default:
		r.ErrKind = ErrBroken
	}
}
