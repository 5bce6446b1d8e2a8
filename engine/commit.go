package engine

import (
	"cmp"
	"slices"
)

// Change is the state of a job that is to be written to the store.
type Change struct {
	Job *Job
	// Record is nil if the job's rows are to be removed.
	Record []byte
	// Spec is set if the spec isn't stored yet; DropSpec if its row is no longer needed.
	Spec     []byte
	DropSpec bool

	rev   int64
	state State
}

// Entries is how many entries of a transaction the change takes: one for the record, and one for the spec.
func (ch *Change) Entries() int {
	if ch.Spec != nil || ch.DropSpec {
		return 2
	}
	return 1
}

// NextBatch returns the changed jobs, up to the given number of entries and about maxBytes. Jobs that are not in the store yet go
// first: while the store is slow, their callers wait and have little time.
func (p *Pool) NextBatch(entries, maxBytes int) []Change {
	var out []Change
	slices.SortStableFunc(p.dirty, func(a, b *Job) int { return cmp.Compare(boolRank(!a.Committed()), boolRank(!b.Committed())) })
	bytes := 0
	for len(p.dirty) > 0 && bytes < maxBytes {
		ch := p.change(p.dirty[0])
		if entries < ch.Entries() {
			break
		}
		entries -= ch.Entries()
		bytes += len(ch.Record) + len(ch.Spec)
		p.dirty[0].queued = false
		p.dirty[0].batched = true
		p.dirty = p.dirty[1:]
		out = append(out, ch)
	}
	return out
}

func (p *Pool) change(j *Job) Change {
	ch := Change{Job: j, rev: j.rev, state: j.state}
	if j.remove {
		ch.DropSpec = true
		return ch
	}
	ch.Record = j.EncodeRecord()
	spent := j.state.Terminal() && j.liveRuns() == 0
	switch {
	case !j.Stored && !spent:
		ch.Spec = j.EncodeSpec()
	case j.Stored && spent:
		ch.DropSpec = true
	}
	return ch
}

// Committed takes in that a batch is in the store, and releases what waited for it.
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
		delete(p.jobs, j.Spec.ID)
		return
	}
	if ch.Spec != nil {
		j.Stored = true
	}
	if ch.DropSpec {
		j.Stored = false
	}
	j.committed, j.shown = ch.rev, ch.state
	p.sendRecorded(j, ch.rev, c)
	rest := j.waiters[:0]
	for _, w := range j.waiters {
		if w.rev <= ch.rev {
			w.fn()
			continue
		}
		rest = append(rest, w)
	}
	j.waiters = rest
}

// sendRecorded sends the start orders of the runs that are in the store now.
func (p *Pool) sendRecorded(j *Job, rev int64, c Clock) {
	for t := range j.tasks() {
		for _, r := range slices.Clone(t.live) {
			if r.phase == phaseIntent && r.rev <= rev {
				p.release(r, c)
			}
		}
	}
}

// release sends a recorded start, or drops it if its worker may take no new work any more.
func (p *Pool) release(r *Run, c Clock) {
	if !p.takesWork(r.Worker, c) {
		p.note("start-withdrawn", r.Task.id.String(), r.Num, r.Worker.ID, "worker takes no work")
		p.dropRun(r)
		p.touch(r.Task.job())
		p.gangBroken(r.Task, c)
		return
	}
	r.startedAt = c.Now
	p.sendStart(r, c)
}

func (p *Pool) sendStart(r *Run, c Clock) {
	r.phase = phaseStarting
	r.orderedAt = c.Now
	r.unknown = false
	r.attempts++
	p.orders = append(p.orders, Order{
		Kind: OrderStart, Task: r.Task.id, Run: r.Num, Worker: r.Worker.target(), Payload: r.Task.job().Spec.Payload,
		DeadlineMS: p.lease(r.Worker, c), Checkpoint: r.Task.saved, Ticket: r.ticket,
	})
}

// advanceAcks raises the number up to which the worker may forget its ends.
func (w *Worker) advanceAcks() {
	for len(w.pending) > 0 {
		a := w.pending[0]
		if a.job != nil && a.job.committed < a.rev {
			return
		}
		w.seenUpto = max(w.seenUpto, a.n)
		w.pending = w.pending[1:]
	}
}

// Requeue takes back a batch that was certainly not written.
func (p *Pool) Requeue(batch []Change) {
	for i := range batch {
		j := batch[i].Job
		if j.committed == 0 {
			j.batched = false
		}
		if !j.queued {
			j.queued = true
			p.dirty = append(p.dirty, j)
		}
	}
}

// Withdraw takes back a job that was never part of a batch, and reports whether it could.
func (p *Pool) Withdraw(j *Job) bool {
	if j.batched || j.committed > 0 {
		return false
	}
	if p.jobs[j.Spec.ID] != j {
		return true // Another caller with the same job was quicker.
	}
	for t := range j.tasks() {
		p.stopRuns(t, Clock{})
	}
	delete(p.jobs, j.Spec.ID)
	p.open = without(p.open, j)
	p.dirty = without(p.dirty, j)
	return true
}

func without(list []*Job, j *Job) []*Job {
	return slices.DeleteFunc(list, func(x *Job) bool { return x == j })
}
