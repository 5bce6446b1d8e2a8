package engine

import (
	"cmp"
	"slices"
	"time"
)

// workerAdvice is what is known of the adviser's policy for a step on one incarnation of a worker. The policy doesn't change; tickets expire.
type workerAdvice struct {
	incarnation int64
	// unansweredAt is when a request that named the worker failed, 0 if the adviser has answered.
	unansweredAt time.Duration
	permitted    bool
	// ticket is the adviser's permission to start tasks of the step on the worker until expiresAt, if the step is permitted.
	ticket    string
	expiresAt time.Duration
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

// AdviceOutcome is what became of a request.
type AdviceOutcome uint8

const (
	// AdviceGiven: the adviser has answered.
	AdviceGiven AdviceOutcome = iota
	// AdviceBusy: the adviser has refused the request, as too many of this machine wait there.
	AdviceBusy
	// AdviceFailed: there is no answer, or none that can be used.
	AdviceFailed
)

// AdviceAnswer is the adviser's answer to a request.
type AdviceAnswer struct {
	Outcome AdviceOutcome
	Granted []AdviceRow
	// Incomplete is set if a part of the answer can't be read, so that a worker that isn't granted may be permitted all the same.
	Incomplete bool
	// Validity is how long the tickets hold from their issue, 0 if that isn't known.
	Validity time.Duration
	// SentAt is when the request was sent, and ReceivedAt when the answer was there. The tickets were issued in between.
	SentAt, ReceivedAt time.Duration
}

const (
	// maxAdviceWorkers bounds the workers named in one request, since the answer takes longer with each worker.
	maxAdviceWorkers = 30
	// maxGangAdviceWorkers is the bound for gangs, which need tickets for all members at once. The adviser takes no more.
	maxGangAdviceWorkers = 100
	// answerShare is the part of the validity of tickets that an answer may take, and gangAnswerShare the one for gangs. Another call may be handled
	// before it.
	answerShare     = 0.25
	gangAnswerShare = 0.5
	// gangRefreshShare is the part of the validity that a gang's tickets must have left, or they are asked for again with the others.
	gangRefreshShare = 0.125
	// maxDenialRisk is the accepted risk that a request names no worker that may run the step, where it names as few as possible.
	maxDenialRisk = 0.05
	// spareRoom is by how much the room on the named workers is to exceed what the tasks need, as others may be faster.
	spareRoom = 1.5
	// adviceRetryDelay is the delay before the next request for a step whose last one has failed. It doubles with each further failure, up to
	// maxAdviceRetryDelay.
	adviceRetryDelay    = 300 * time.Millisecond
	maxAdviceRetryDelay = 8 * adviceRetryDelay
	// ticketExpiryMargin is subtracted from a ticket's validity to allow for the delivery of the start order, at most a quarter of the validity.
	ticketExpiryMargin = 300 * time.Millisecond
	// minTicketUse is how long a ticket is used after the answer, even if it may have been issued so early that it has expired. A worker rejects a
	// start whose ticket has expired; without this time, an adviser that takes longer than its tickets hold would keep all work from starting.
	minTicketUse = 500 * time.Millisecond
	// maxAdviceNeeds bounds the steps that are noted in a placement as in need of advice. The adviser handles one request at a time, and the next
	// placement notes them anew.
	maxAdviceNeeds = 16
	// maxEarlyAdvice is the number of steps that may get tickets before a worker has room for them. Tickets for later ones would expire unused.
	maxEarlyAdvice = 8
)

// adviceNeeds are the steps that need advice, in scheduling order, as of the last placement.
type adviceNeeds struct {
	// now holds the steps that could start on a worker with room, if the adviser permits it; early holds those that wait for room without tickets.
	now, early []*stepState
}

// noteAdviceNeed notes a step whose waiting tasks need advice. Nothing is asked that the adviser has answered and that can't have changed.
func (p *Pool) noteAdviceNeed(st *stepState, workers []*Worker, c Clock) {
	if st.adviceInFlight || c.Now < st.adviceRetryAt || len(p.adviceNeeds.now) >= maxAdviceNeeds {
		return
	}
	if p.knownFull(st.spec) && len(p.adviceNeeds.early) >= maxEarlyAdvice {
		return
	}
	t := st.firstPending(c.Now)
	if t == nil || !p.workspaces.admitStart(st.occ.job.Spec.Workspace, st.spec.Need, 1) {
		return
	}
	if st.spec.Gang && p.gangNeedsAdvice(t, workers, c) {
		p.adviceNeeds.now = append(p.adviceNeeds.now, st)
		return
	}
	ticketed, askable, full := false, false, true
	for _, w := range workers {
		ticketed = ticketed || st.hasTicket(w, c.Now)
		full = full && !w.info.Capacity.Sub(w.used).Covers(st.spec.Footprint())
		if !p.mayAsk(t, w, c) {
			continue
		}
		if p.hasRoomFor(t, w, c) && !st.spec.Gang {
			p.adviceNeeds.now = append(p.adviceNeeds.now, st)
			return
		}
		askable = true
	}
	if full && !st.spec.LongRunning && !p.knownFull(st.spec) {
		p.noRoom = append(p.noRoom, st.spec.Footprint())
	}
	if askable && !ticketed && len(p.adviceNeeds.early) < maxEarlyAdvice {
		p.adviceNeeds.early = append(p.adviceNeeds.early, st)
	}
}

// mayAsk reports whether advice on the worker is lacking, and it is eligible for the task.
func (p *Pool) mayAsk(t *Task, w *Worker, c Clock) bool {
	return t.step.lacksAdvice(w, c.Now) && p.isEligible(t, w, c)
}

// isEligible reports whether the worker could run the task if it were idle and the adviser permitted it.
func (p *Pool) isEligible(t *Task, w *Worker, c Clock) bool {
	return w.info.Capacity.Covers(t.step.spec.Footprint()) && t.step.permitsWorker(w) && p.admitsTask(t, w, c)
}

// lacksAdvice reports whether the adviser hasn't said whether the worker's present incarnation may run the step, or the ticket has expired.
func (st *stepState) lacksAdvice(w *Worker, now time.Duration) bool {
	a := st.adviceOn(w)
	return a == nil || a.unansweredAt > 0 || (a.permitted && a.expiresAt <= now)
}

// adviceOn returns what is known of the worker's present incarnation, or nil.
func (st *stepState) adviceOn(w *Worker) *workerAdvice {
	if a := st.advice[w.ID]; a != nil && a.incarnation == w.incarnation {
		return a
	}
	return nil
}

// hasRoomFor reports whether the worker has free capacity for the task that isn't reserved for others.
func (p *Pool) hasRoomFor(t *Task, w *Worker, c Clock) bool {
	return w.info.Capacity.Sub(w.used).Covers(t.step.spec.Footprint()) && !w.reservedFromTask(t, c)
}

// firstPending returns the first task that could start now, or nil.
func (st *stepState) firstPending(now time.Duration) *Task {
	for _, t := range st.tasks {
		if t.pending(now) {
			return t
		}
	}
	return nil
}

// NeedsAdvice reports whether the tasks of a job need tickets.
func (p *Pool) NeedsAdvice(spec *Spec) bool { return p.queueOfSpec(spec).Advised }

// AdviceNeeds returns the number of steps that need advice, as of the last placement.
func (p *Pool) AdviceNeeds() int { return len(p.adviceNeeds.now) + len(p.adviceNeeds.early) }

// NextAdvice returns the request that is to be sent to the adviser now, for the first step in scheduling order that still needs advice. It reports
// false if none does. The request must be sent at once: what is asked, and for which step, is decided as late as possible. contended is set if
// others wait for the adviser.
func (p *Pool) NextAdvice(contended bool, c Clock) (AdviceRequest, bool) {
	workers := p.usableWorkers(c)
	for p.AdviceNeeds() > 0 {
		list, early := &p.adviceNeeds.now, false
		if len(*list) == 0 {
			list, early = &p.adviceNeeds.early, true
		}
		st := (*list)[0]
		*list = (*list)[1:]
		if req, ok := p.adviceRequest(st, workers, contended || early || len(p.adviceNeeds.now) > 0, c); ok {
			return req, true
		}
	}
	return AdviceRequest{}, false
}

// adviceRequest returns a request for the step, and false if the step needs none any more. Few workers are named if the adviser is in demand.
func (p *Pool) adviceRequest(st *stepState, workers []*Worker, few bool, c Clock) (AdviceRequest, bool) {
	t := st.firstPending(c.Now)
	if t == nil || st.adviceInFlight || st.occ.job.state.Terminal() {
		return AdviceRequest{}, false
	}
	var list []askedWorker
	if st.spec.Gang {
		list = p.gangWorkersToAsk(t, workers, c)
	}
	if len(list) == 0 {
		list = p.workersToAsk(t, workers, few, c)
	}
	req := AdviceRequest{Step: st.name(), state: st, incarnations: map[string]int64{}}
	for _, w := range list {
		req.Workers = append(req.Workers, w.ID)
		req.incarnations[w.ID] = w.incarnation
	}
	st.adviceInFlight = len(req.Workers) > 0
	return req, st.adviceInFlight
}

// name returns the step's name at the adviser.
func (st *stepState) name() string {
	return st.occ.job.Spec.ID + "." + itoa(int64(st.occ.index)) + "." + itoa(int64(st.index))
}

// askedWorker is a worker that a request may name.
type askedWorker struct {
	*Worker
	// room is the number of the step's tasks for which it has room now.
	room         int
	permitted    bool
	unansweredAt time.Duration
	cost         float64
}

// workersToAsk returns the workers that a request for a step names, of which t is a waiting task: those with room for it first, then those that no
// failed request has named lately, then those that are known to be permitted, then the ones that the placement prefers. Few are as many as probably
// permit all waiting tasks to start.
func (p *Pool) workersToAsk(t *Task, workers []*Worker, few bool, c Clock) []askedWorker {
	st := t.step
	var list []askedWorker
	rack := st.commonRack()
	for _, w := range workers {
		if !p.mayAsk(t, w, c) {
			continue
		}
		x := askedWorker{Worker: w, cost: p.cost(t, w, rack, c)}
		if p.hasRoomFor(t, w, c) {
			x.room = st.roomOn(w)
		}
		if a := st.adviceOn(w); a != nil {
			x.permitted, x.unansweredAt = a.permitted, a.unansweredAt
		}
		list = append(list, x)
	}
	slices.SortStableFunc(list, func(a, b askedWorker) int {
		return cmp.Or(
			cmp.Compare(rankTrueFirst(a.room > 0), rankTrueFirst(b.room > 0)), cmp.Compare(a.unansweredAt, b.unansweredAt),
			cmp.Compare(rankTrueFirst(a.permitted), rankTrueFirst(b.permitted)), cmp.Compare(a.cost, b.cost),
		)
	})
	list = list[:min(len(list), p.queueOf(t.job()).Advice.workersWithin(answerShare, maxAdviceWorkers))]
	if few {
		list = list[:p.countEnough(list, st, c)]
	}
	return list
}

// countEnough returns how many of the workers, from the first on, probably suffice for the step's waiting tasks.
func (p *Pool) countEnough(list []askedWorker, st *stepState, c Clock) int {
	share := p.advisePolicy.permittedShare(st.occ.job.Spec.Queue)
	wanted := spareRoom * float64(st.countPendingTasks(c.Now))
	risk, room := 1.0, 0.0
	for k, w := range list {
		permitted := share
		if w.permitted {
			permitted = 1
		}
		risk *= 1 - permitted
		room += permitted * float64(max(w.room, 1))
		if risk <= maxDenialRisk && room >= wanted {
			return k + 1
		}
	}
	return len(list)
}

// roomOn returns for how many of the step's tasks the worker has room.
func (st *stepState) roomOn(w *Worker) int {
	n := w.info.Capacity.Sub(w.used).DividedBy(st.spec.Footprint())
	if st.spec.AntiAffinity > 0 {
		n = min(n, st.spec.AntiAffinity-w.runsOfStep(st))
	}
	return n
}

// hasTicket reports whether the step has a valid ticket for the worker's current incarnation.
func (st *stepState) hasTicket(w *Worker, now time.Duration) bool {
	a := st.adviceOn(w)
	return a != nil && a.expiresAt > now
}

// hasAnyTicket reports whether the step has a valid ticket for any of the workers.
func (st *stepState) hasAnyTicket(workers []*Worker, now time.Duration) bool {
	return slices.ContainsFunc(workers, func(w *Worker) bool { return st.hasTicket(w, now) })
}

// isPermitted reports whether the adviser permits the step on the worker, with or without a valid ticket.
func (st *stepState) isPermitted(w *Worker) bool {
	a := st.adviceOn(w)
	return a != nil && a.permitted
}

// denies reports whether the adviser doesn't permit the step on the worker.
func (st *stepState) denies(w *Worker) bool {
	a := st.adviceOn(w)
	return a != nil && a.unansweredAt == 0 && !a.permitted
}

// advisePolicy counts, by queue, what the adviser was asked and what it has permitted. Old counts fade.
type advisePolicy map[string]*permitCount

type permitCount struct{ asked, permitted float64 }

// permitCountWindow is the number of counted workers from which on old counts are halved.
const permitCountWindow = 400

// note counts what the adviser has said for the first time of a worker.
func (a advisePolicy) note(queue string, permitted bool) {
	n := a[queue]
	if n == nil {
		n = &permitCount{}
		a[queue] = n
	}
	n.asked++
	if permitted {
		n.permitted++
	}
	if n.asked > permitCountWindow {
		n.asked, n.permitted = n.asked/2, n.permitted/2
	}
}

// permittedShare returns the expected share of workers that may run a step of the queue.
func (a advisePolicy) permittedShare(queue string) float64 {
	n := a[queue]
	if n == nil {
		return 0.5
	}
	return (n.permitted + 1) / (n.asked + 2)
}

// AdviceAnswered handles what became of a request.
func (p *Pool) AdviceAnswered(req AdviceRequest, a AdviceAnswer, c Clock) {
	st := req.state
	st.adviceInFlight = false
	p.placementNeeded = true
	switch a.Outcome {
	case AdviceBusy: // It says nothing of the step.
	case AdviceFailed:
		st.delayAdvice(c)
		for _, id := range req.Workers {
			st.noteUnanswered(id, req.incarnations[id], c.Now)
		}
	case AdviceGiven:
		p.recordAdvice(req, &a, c)
	}
}

// delayAdvice delays the next request for a step after one without a usable answer.
func (st *stepState) delayAdvice(c Clock) {
	st.adviceRetryAt = c.Now + min(adviceRetryDelay<<min(st.adviceFailures, 8), maxAdviceRetryDelay)
	st.adviceFailures++
}

// recordAdvice records an answer. A worker that a whole answer doesn't permit is not asked about again.
func (p *Pool) recordAdvice(req AdviceRequest, a *AdviceAnswer, c Clock) {
	st := req.state
	if st.complete() || st.occ.job.state.Terminal() {
		return
	}
	granted := map[string]string{}
	for _, g := range a.Granted {
		granted[g.Worker] = g.Ticket
	}
	if a.Validity <= 0 {
		a.Validity = time.Duration(p.queueOf(st.occ.job).Advice.ValidMS) * time.Millisecond
	}
	if a.Incomplete {
		st.delayAdvice(c)
	} else {
		st.adviceFailures = 0
	}
	for _, id := range req.Workers {
		code, permitted := granted[id]
		if !a.Incomplete && !st.isAnswered(id, req.incarnations[id]) {
			p.advisePolicy.note(st.occ.job.Spec.Queue, permitted)
		}
		switch {
		case permitted:
			st.setAdvice(id, &workerAdvice{incarnation: req.incarnations[id], permitted: true, ticket: code, expiresAt: a.ticketsExpireAt()})
		case a.Incomplete:
			st.noteUnanswered(id, req.incarnations[id], c.Now)
		default:
			st.setAdvice(id, &workerAdvice{incarnation: req.incarnations[id]})
		}
	}
	detail := itoa(int64(len(granted))) + " of " + itoa(int64(len(req.Workers))) + " workers permitted, after " + itoa((a.ReceivedAt - a.SentAt).Milliseconds()) + " ms"
	p.recordDecision("advised", req.Step, 0, "", detail)
}

func (st *stepState) setAdvice(worker string, a *workerAdvice) {
	if st.advice == nil {
		st.advice = map[string]*workerAdvice{}
	}
	st.advice[worker] = a
}

// isAnswered reports whether the adviser has said whether an incarnation of a worker may run the step.
func (st *stepState) isAnswered(worker string, incarnation int64) bool {
	a := st.advice[worker]
	return a != nil && a.incarnation == incarnation && (a.permitted || a.unansweredAt == 0)
}

// noteUnanswered records that a request that named the worker has no usable answer. What is known of the worker stays.
func (st *stepState) noteUnanswered(worker string, incarnation int64, now time.Duration) {
	a := st.advice[worker]
	if a == nil || a.incarnation != incarnation {
		a = &workerAdvice{incarnation: incarnation}
		st.setAdvice(worker, a)
	}
	a.unansweredAt = now
}

// expireTicket makes the step ask for a new ticket, but not at once, after a worker has rejected one. A newer one that has come meanwhile stays.
func (st *stepState) expireTicket(w *Worker, code string, c Clock) {
	if a := st.advice[w.ID]; a != nil && a.ticket == code {
		a.expiresAt = 0
		st.adviceRetryAt = c.Now + adviceRetryDelay
	}
}

// ticketsExpireAt returns when the tickets of an answer are no longer used. They count as issued when the request was sent, unless they would then
// be used for less than minTicketUse.
func (a *AdviceAnswer) ticketsExpireAt() time.Duration {
	if a.Validity <= 0 {
		return a.ReceivedAt + minTicketUse
	}
	expiry := a.SentAt + a.Validity - min(ticketExpiryMargin, a.Validity/4)
	return max(expiry, a.ReceivedAt+min(minTicketUse, a.Validity))
}
