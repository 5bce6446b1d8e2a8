package engine

import (
	"cmp"
	"slices"
	"time"
)

// ticket is the adviser's permission to run a step on one incarnation of a worker.
type ticket struct {
	code        string
	expiresAt   time.Duration
	incarnation int64
}

// AdviceRequest asks the adviser which of the workers may run a step.
type AdviceRequest struct {
	Step    string
	Workers []string

	state        *stepState
	incarnations map[string]int64
}

// AdviceRow is one worker that may run the step.
type AdviceRow struct {
	Worker string
	Ticket string
}

const (
	// maxAdviceWorkers bounds the workers named in one request, since the answer takes longer with each worker.
	maxAdviceWorkers = 30
	// adviceRetryDelay is the delay before the next request for a step, also after one without a usable answer.
	adviceRetryDelay = 300 * time.Millisecond
	// ticketExpiryMargin is subtracted from a ticket's validity to allow for the delivery of the start order.
	ticketExpiryMargin = 300 * time.Millisecond
)

// ensureTickets reports whether the step has a valid ticket, and requests more tickets if it has none or no worker can
// take one of its tasks.
func (p *Pool) ensureTickets(st *stepState, workers []*Worker, c Clock) bool {
	ticketed := slices.ContainsFunc(workers, func(w *Worker) bool { return st.hasTicket(w, c.Now) })
	if st.adviceInFlight || c.Now < st.adviceRetryAt || (ticketed && !st.unschedulable(p, workers, c)) {
		return ticketed
	}
	req := AdviceRequest{Step: st.occ.job.Spec.ID + "." + itoa(int64(st.occ.index)) + "." + itoa(int64(st.index)), state: st, incarnations: map[string]int64{}}
	for _, w := range st.workersToAsk(workers, c) {
		req.Workers = append(req.Workers, w.ID)
		req.incarnations[w.ID] = w.incarnation
		st.lastAsked[w.ID] = c.Now
	}
	if len(req.Workers) > 0 {
		st.adviceInFlight = true
		st.adviceSentAt = c.Now
		p.advice = append(p.advice, req)
	}
	return ticketed
}

// workersToAsk selects the workers for an advice request from those that could run the step and have no valid ticket.
// The least recently asked come first, so that every worker of a large pool is asked in turn; among equals, those with
// free capacity come first.
func (st *stepState) workersToAsk(workers []*Worker, c Clock) []*Worker {
	if st.lastAsked == nil {
		st.lastAsked = map[string]time.Duration{}
	}
	need := st.spec.Footprint()
	var out []*Worker
	for _, w := range workers {
		if w.info.Capacity.Covers(need) && w.hasLabel(st.spec.RequiredLabel) && !st.hasTicket(w, c.Now) {
			out = append(out, w)
		}
	}
	full := func(w *Worker) int { return rankTrueFirst(w.info.Capacity.Sub(w.used).Covers(need)) }
	slices.SortStableFunc(out, func(a, b *Worker) int {
		return cmp.Or(cmp.Compare(st.lastAsked[a.ID], st.lastAsked[b.ID]), cmp.Compare(full(a), full(b)))
	})
	return out[:min(len(out), maxAdviceWorkers)]
}

// hasTicket reports whether the step has a valid ticket for the worker's current incarnation.
func (st *stepState) hasTicket(w *Worker, now time.Duration) bool {
	tk, ok := st.tickets[w.ID]
	return ok && tk.expiresAt > now && tk.incarnation == w.incarnation
}

// unschedulable reports whether no worker that may run the step has free capacity for one of its tasks.
func (st *stepState) unschedulable(p *Pool, workers []*Worker, c Clock) bool {
	return !slices.ContainsFunc(workers, func(w *Worker) bool { return p.fits(st.tasks[0], w, c) })
}

// AdviceAnswered handles the adviser's response; ok is false if the request failed.
func (p *Pool) AdviceAnswered(req AdviceRequest, granted []AdviceRow, valid time.Duration, ok bool, c Clock) {
	st := req.state
	st.adviceInFlight = false
	if !ok || len(granted) == 0 {
		st.adviceRetryAt = c.Now + adviceRetryDelay
		return
	}
	if st.tickets == nil {
		st.tickets = map[string]ticket{}
	}
	for _, g := range granted {
		st.tickets[g.Worker] = ticket{code: g.Ticket, expiresAt: st.adviceSentAt + valid - ticketExpiryMargin, incarnation: req.incarnations[g.Worker]}
	}
	st.adviceRetryAt = c.Now + adviceRetryDelay
	p.placementNeeded = true
}
