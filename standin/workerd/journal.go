package workerd

import (
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Kind is the kind of a journal event.
type Kind string

// Kinds of journal events.
const (
	// Start is recorded when a request or task occupies a slot; from then on it counts as run.
	Start Kind = "start"
	// End is recorded when the slot is released.
	End Kind = "end"
	// Refused is recorded when work is rejected as not run.
	Refused Kind = "refused"
	// Leaving is recorded when the worker starts to leave or drain, Available when it is available again.
	Leaving   Kind = "leaving"
	Available Kind = "back"
	// Reboot is recorded when a reboot drops all work.
	Reboot Kind = "reboot"
)

// Outcome is the outcome of a run or task.
type Outcome string

// Outcomes recorded in End events.
const (
	Done         Outcome = "done"
	Failed       Outcome = "failed"
	Stopped      Outcome = "stopped"
	LeaseExpired Outcome = "lapsed" // the lease of a task expired
	Lost         Outcome = "lost"   // dropped by a reboot
)

// Event is a journal entry.
type Event struct {
	Seq    int       `json:"seq"` // counts from 1
	Time   time.Time `json:"time"`
	Worker string    `json:"worker"`
	Kind   Kind      `json:"kind"`
	// The fields below describe the work in Start, End and Refused events.
	RunID      string  `json:"runId,omitempty"`
	RequestID  string  `json:"requestId,omitempty"`
	Attempt    string  `json:"attempt,omitempty"`
	Task       string  `json:"task,omitempty"`
	Key        string  `json:"key,omitempty"`
	Idempotent bool    `json:"idempotent,omitempty"`
	Backer     string  `json:"backer,omitempty"`
	Queue      string  `json:"queue,omitempty"`
	Pool       string  `json:"pool,omitempty"`
	Work       string  `json:"work,omitempty"` // kind of work as given by the caller
	Outcome    Outcome `json:"outcome,omitempty"`
	Reason     string  `json:"reason,omitempty"` // why the work was rejected; only in Refused
}

// journal holds all events in order. It is safe for concurrent use.
type journal struct {
	mu     sync.Mutex
	events []Event
}

func (j *journal) add(e Event) {
	j.mu.Lock()
	defer j.mu.Unlock()
	e.Seq = len(j.events) + 1
	e.Time = time.Now()
	j.events = append(j.events, e)
}

// after returns a copy of the events with Seq > seq.
func (j *journal) after(seq int) []Event {
	j.mu.Lock()
	defer j.mu.Unlock()
	if seq < 0 || seq > len(j.events) {
		seq = len(j.events)
	}
	return append([]Event{}, j.events[seq:]...)
}

// parseAfter parses the query parameter "after", which defaults to 0.
func parseAfter(r *http.Request) (int, error) {
	text := r.URL.Query().Get("after")
	if text == "" {
		return 0, nil
	}
	return strconv.Atoi(text)
}
