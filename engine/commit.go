package engine

import (
	"cmp"
	"slices"
	"time"
)

// Change is a state of a job to be written to a part of the store.
type Change struct {
	Job *Job
	// Record is nil if the job's rows are to be deleted.
	Record []byte
	// Segments are the rows of tasks that have none in Record.
	Segments []SegmentChange
	// Spec is set if the part has no spec of the job yet; DropSpec is set if its row is no longer needed.
	Spec     []byte
	DropSpec bool
	// Partial is set if the state has more rows than fit: a later change holds the rest, and nothing waiting for the state may
	// proceed before that one is stored.
	Partial bool

	part  Part
	rev   int64
	state State
}

// Entries returns the number of transaction entries that the change takes: one for the record, one for the spec, and one for each segment.
func (ch *Change) Entries() int {
	if ch.Spec != nil || ch.DropSpec {
		return recordEntries + len(ch.Segments)
	}
	return 1 + len(ch.Segments)
}

// size returns the number of bytes of the rows that the change writes.
func (ch *Change) size() int {
	n := len(ch.Record) + len(ch.Spec)
	for i := range ch.Segments {
		n += len(ch.Segments[i].Value)
	}
	return n
}

// NextBatch returns changed jobs to be written to a part, up to the given number of entries and about maxBytes. Jobs that are not
// stored yet go first, because their callers wait with short deadlines, which matters while the store is slow. Rows are deleted from
// the primary part only. A job whose rows the store has refused is in a batch of its own.
func (p *Pool) NextBatch(part Part, entries, maxBytes int) []Change {
	var out []Change
	var later []*Job
	slices.SortStableFunc(p.dirty, func(a, b *Job) int { return cmp.Compare(rankTrueFirst(!a.Committed()), rankTrueFirst(!b.Committed())) })
	bytes := 0
	for len(p.dirty) > 0 && bytes < maxBytes {
		j := p.dirty[0]
		if (j.expired && part == Standby) || j.refusedUntil > p.now || (j.alone && len(out) > 0) {
			later, p.dirty = append(later, j), p.dirty[1:]
			continue
		}
		ch := p.change(j, part, entries, maxBytes-bytes)
		if entries < ch.Entries() {
			break
		}
		entries -= ch.Entries()
		bytes += ch.size()
		j.batched = true
		out = append(out, ch)
		if ch.Partial {
			break // The job stays first in the list.
		}
		j.dirty = false
		p.dirty = p.dirty[1:]
		if j.alone {
			break
		}
	}
	p.dirty = append(p.dirty, later...)
	return out
}

// change returns what is to be written of a job, with as many segments as the given numbers of entries and bytes allow.
func (p *Pool) change(j *Job, part Part, entries, maxBytes int) Change {
	ch := Change{Job: j, part: part, rev: j.rev, state: j.state}
	if j.expired {
		ch.DropSpec = true
		return ch
	}
	ch.Record = j.EncodeRecord()
	spent := j.state.Terminal() && j.liveRuns() == 0
	switch {
	case !j.Stored && !spent && (part == Primary || !j.specInStandby):
		ch.Spec = j.Spec.Encode()
	case j.Stored && spent && part == Primary:
		ch.DropSpec = true
	}
	if j.segmentTasks > 0 {
		j.addSegments(&ch, max(entries-ch.Entries(), 0), maxBytes-ch.size())
	}
	return ch
}

// Committed handles a stored batch: it releases the start orders and callbacks that waited for it, and lets the workers
// discard the ends that are now stored.
func (p *Pool) Committed(batch []Change, c Clock) {
	for i := range batch {
		p.committed(&batch[i], c)
	}
	for _, w := range p.workers {
		w.advanceAcks()
	}
}

func (p *Pool) committed(ch *Change, c Clock) {
	j := ch.Job
	if ch.Record == nil {
		j.committed = max(j.committed, ch.rev)
		delete(p.jobs, j.Spec.ID)
		return
	}
	j.alone, j.refusedUntil = false, 0
	p.noteStored(ch)
	if ch.Partial {
		return
	}
	if ch.rev >= j.committed {
		j.committed, j.committedState = ch.rev, ch.state
	}
	p.sendStoredStarts(j, ch.rev, c)
	remaining := j.waiters[:0]
	for _, w := range j.waiters {
		if w.rev <= ch.rev {
			w.fn()
			continue
		}
		remaining = append(remaining, w)
	}
	j.waiters = remaining
}

// sendStoredStarts sends the start orders of the runs that are now in the store.
func (p *Pool) sendStoredStarts(j *Job, rev int64, c Clock) {
	for t := range j.tasks() {
		for _, r := range slices.Clone(t.live) {
			if r.phase == phaseDecided && r.rev <= rev {
				p.sendOrWithdraw(r, c)
			}
		}
	}
}

// sendOrWithdraw sends the order of a recorded start, or drops the run if its worker no longer accepts new work or its ticket has expired. While the worker is told to discard
// ends, the order waits.
func (p *Pool) sendOrWithdraw(r *Run, c Clock) {
	if !p.schedulable(r.Worker, c) {
		p.withdraw(r, "worker accepts no new work", c)
		return
	}
	if r.Worker.acking {
		return
	}
	if p.queueOf(r.Task.job()).Advised && !r.renewTicket(c) {
		p.withdraw(r, "the ticket has expired", c)
		return
	}
	r.startedAt = c.Now
	p.sendStart(r, c)
}

// renewTicket takes the step's present ticket for the order of a start, and reports false if there is none that holds.
func (r *Run) renewTicket(c Clock) bool {
	if !r.Task.step.hasTicket(r.Worker, c.Now) {
		return false
	}
	r.ticket = r.Task.step.adviceOn(r.Worker).ticket
	return true
}

// withdraw drops a run whose order was never sent.
func (p *Pool) withdraw(r *Run, reason string, c Clock) {
	p.recordDecision("start-withdrawn", r.Task.id.String(), r.Num, r.Worker.ID, reason)
	p.dropRun(r)
	p.markDirty(r.Task.job())
	p.stopGang(r.Task, c)
}

func (p *Pool) sendStart(r *Run, c Clock) {
	r.phase = phaseStarting
	r.orderedAt = c.Now
	r.sentToken = r.Worker.token
	r.outcomeUnknown = false
	p.countPending(r, false)
	r.attempts++
	p.orders = append(p.orders, Order{
		Kind: OrderStart, Task: r.Task.id, Run: r.Num, Worker: r.Worker.target(), Payload: r.Task.job().Spec.Payload,
		DeadlineMS: p.lease(r.Worker, c), Checkpoint: r.Task.checkpoint, Ticket: r.ticket,
	})
}

// advanceAcks raises the number up to which the worker may discard its ends.
func (w *Worker) advanceAcks() {
	for len(w.pendingAcks) > 0 {
		a := w.pendingAcks[0]
		if a.job != nil && a.job.committed < a.rev {
			return
		}
		w.ackedUpTo = max(w.ackedUpTo, a.end)
		w.pendingAcks = w.pendingAcks[1:]
	}
}

// Requeue puts back a batch that was certainly not written.
func (p *Pool) Requeue(batch []Change) {
	for i := range batch {
		j := batch[i].Job
		if j.committed == 0 && !j.uncertain && j.inPrimary == 0 && j.inStandby == 0 {
			j.batched = false
		}
		p.writeAgain(j)
	}
}

// refusedRetryDelay is the delay before rows that the store has refused are written again.
const refusedRetryDelay = 5 * time.Second

// Refused handles a batch that the store refuses for its content. Each of its jobs is written alone, and the one that is refused then
// waits, so that the others of the pool go on.
func (p *Pool) Refused(batch []Change, c Clock) {
	for i := range batch {
		j := batch[i].Job
		j.alone = true
		if len(batch) == 1 {
			j.refusedUntil = c.Now + refusedRetryDelay
			p.recordDecision("rows-refused", j.Spec.ID, 0, "", "record of "+itoa(int64(len(batch[i].Record)))+" bytes, spec of "+itoa(int64(len(batch[i].Spec))))
		}
	}
	p.Requeue(batch)
}

// Refused reports whether the store has refused the job's rows.
func (j *Job) Refused() bool { return j.refusedUntil > 0 }

// writeAgain makes the next batch hold the job even if it has not changed.
func (p *Pool) writeAgain(j *Job) {
	if !j.dirty && p.jobs[j.Spec.ID] == j {
		j.dirty = true
		p.dirty = append(p.dirty, j)
	}
}

// Withdraw removes a job that was never part of a batch, and reports whether it could.
func (p *Pool) Withdraw(j *Job) bool {
	if j.batched || j.committed > 0 {
		return false
	}
	if p.jobs[j.Spec.ID] != j {
		return true // Another caller with the same job was faster.
	}
	for t := range j.tasks() {
		p.stopRuns(t, Clock{})
	}
	delete(p.jobs, j.Spec.ID)
	p.openJobs = removeJob(p.openJobs, j)
	p.dirty = removeJob(p.dirty, j)
	return true
}

func removeJob(list []*Job, j *Job) []*Job {
	return slices.DeleteFunc(list, func(x *Job) bool { return x == j })
}
