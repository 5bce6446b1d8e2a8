package workerd

import (
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Kind of an event in the journal.
type Kind string

// Kinds of events.
const (
	// Start is the moment a request or task takes a slot; from here on it counts as run.
	Start Kind = "start"
	// End frees the slot.
	End Kind = "end"
	// Refused is work that arrived and was answered as not run.
	Refused Kind = "refused"
	// Leaving is the moment the worker starts to leave or drain, Back that of its return.
	Leaving   Kind = "leaving"
	Available Kind = "back"
	// Reboot is the moment a reboot drops all work.
	Reboot Kind = "reboot"
)

// Outcome of a run or task.
type Outcome string

// Outcomes in End events.
const (
	Done    Outcome = "done"
	Failed  Outcome = "failed"
	Stopped Outcome = "stopped"
	Lapsed  Outcome = "lapsed" // the lease of a task ran out
	Lost    Outcome = "lost"   // dropped by a reboot
)

// Event is one entry of the journal.
type Event struct {
	Seq    int       `json:"seq"` // counts from 1
	Time   time.Time `json:"time"`
	Worker string    `json:"worker"`
	Kind   Kind      `json:"kind"`
	// The fields below describe the work of Start, End and Refused.
	RunID      string  `json:"runId,omitempty"`
	RequestID  string  `json:"requestId,omitempty"`
	Attempt    string  `json:"attempt,omitempty"`
	Task       string  `json:"task,omitempty"`
	Key        string  `json:"key,omitempty"`
	Idempotent bool    `json:"idempotent,omitempty"`
	Backer     string  `json:"backer,omitempty"`
	Queue      string  `json:"queue,omitempty"`
	Pool       string  `json:"pool,omitempty"`
	Work       string  `json:"work,omitempty"` // kind of work as the caller names it
	Outcome    Outcome `json:"outcome,omitempty"`
	Reason     string  `json:"reason,omitempty"` // of Refused
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

// parseAfter reads the query parameter "after"; absent means 0.
func parseAfter(r *http.Request) (int, error) {
	text := r.URL.Query().Get("after")
	if text == "" {
		return 0, nil
	}
	return strconv.Atoi(text)
}
