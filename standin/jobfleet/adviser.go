package jobfleet

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Advice configures the adviser, which says on which workers the steps of advised queues may run.
type Advice struct {
	// Decide is what a call takes, and Each what it takes more for each worker named. Validity is how long tickets hold.
	Decide, Each, Validity time.Duration
	// Needed reports whether the starts of a job need tickets. It is called while the fleet is locked.
	Needed func(job string) bool
}

const (
	// maxAdviceWaiting is the number of calls of one daemon that may wait, maxAdvised the number of workers that one may name.
	maxAdviceWaiting = 32
	maxAdvised       = 100
)

// AdviceCounts says how much the adviser had to do.
type AdviceCounts struct {
	Calls, Refused, TicketsRejected int
}

// issuedTicket is a permission to start tasks of a step on one incarnation of a worker.
type issuedTicket struct {
	step   string
	worker *worker
	at     time.Time
}

// adviserHandler serves the adviser to one daemon, whose calls are handled one at a time, in turn.
func (f *Fleet) adviserHandler() http.Handler {
	places := make(chan struct{}, maxAdviceWaiting+1) // one for the call that is being handled
	turn := make(chan struct{}, 1)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/advise", func(w http.ResponseWriter, r *http.Request) {
		var call struct {
			Step    string   `json:"step"`
			Workers []string `json:"workers"`
		}
		if json.NewDecoder(r.Body).Decode(&call) != nil || len(call.Workers) > maxAdvised {
			writeJSON(w, http.StatusBadRequest, map[string]any{})
			return
		}
		select {
		case places <- struct{}{}:
			defer func() { <-places }()
		default:
			f.count(func(c *Counts) { c.Advice.Refused++ })
			writeJSON(w, http.StatusTooManyRequests, map[string]any{})
			return
		}
		turn <- struct{}{} // A call whose client has left takes its turn all the same.
		time.Sleep(f.Advice.Decide + time.Duration(len(call.Workers))*f.Advice.Each)
		good := f.issueTickets(call.Step, call.Workers)
		<-turn
		writeJSON(w, http.StatusOK, map[string]any{"good": good, "valid_ms": f.Advice.Validity.Milliseconds()})
	})
	return mux
}

// issueTickets returns the rows of the workers that may run a step, with their tickets.
func (f *Fleet) issueTickets(step string, ids []string) [][]string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts.Advice.Calls++
	good := [][]string{}
	for _, id := range ids {
		w := f.workers[id]
		if w == nil || w.terminated || !f.permits(step, w) {
			continue
		}
		code := strconv.Itoa(len(f.tickets) + 1)
		f.tickets[code] = issuedTicket{step: step, worker: w, at: time.Now()}
		good = append(good, []string{id, code})
	}
	return good
}

// permits is the adviser's policy: half of the instances of each pool may run a step. It doesn't change.
func (f *Fleet) permits(step string, w *worker) bool {
	for _, in := range f.instances {
		if in.worker == w {
			h := fnv.New32a()
			_, _ = h.Write([]byte(step))
			return (h.Sum32()+uint32(in.id[len(in.id)-1]))%2 == 0
		}
	}
	return false
}

// Permitted returns the number of workers of a pool that may run a step.
func (f *Fleet) Permitted(step, pool string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, in := range f.instances {
		if in.pool == pool && in.worker != nil && !in.worker.terminated && f.permits(step, in.worker) {
			n++
		}
	}
	return n
}

// lacksTicket reports whether a start needs a ticket that it doesn't have.
func (w *worker) lacksTicket(c callRequest) bool {
	f := w.fleet
	if f.Advice.Needed == nil || !f.Advice.Needed(jobOf(c.Task)) {
		return false
	}
	t, issued := f.tickets[c.Ticket]
	if issued && t.worker == w && t.step == stepOf(c.Task) && time.Since(t.at) < f.Advice.Validity {
		return false
	}
	f.counts.Advice.TicketsRejected++
	return true
}

// stepOf returns the name of a task's step.
func stepOf(task string) string { return task[:max(strings.LastIndexByte(task, '.'), 0)] }

// String describes the counts.
func (c AdviceCounts) String() string {
	return fmt.Sprintf("calls %d, refused %d, starts rejected for their tickets %d", c.Calls, c.Refused, c.TicketsRejected)
}
