package engine

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// largeJob has a small step and then one of n tasks.
func largeJob(id string, n int) Spec {
	need := Resources{CPU: 100, Mem: 10}
	return Spec{ID: id, Queue: "q", Steps: []Step{{Count: 1, Need: need}, {Count: n, Need: need, After: []int{0}}}}
}

// takeBatches returns all batches for a part, as if each were stored at once, with rows of at most RowBytes.
func takeBatches(g *WithT, p *Pool, part Part, c Clock) (rows map[string][]byte) {
	rows = map[string][]byte{}
	for batch := p.NextBatch(part, 97, 400<<10); len(batch) > 0; batch = p.NextBatch(part, 97, 400<<10) {
		entries := 0
		for i := range batch {
			ch := &batch[i]
			entries += ch.Entries()
			g.Expect(len(ch.Record)).To(BeNumerically("<=", p.options.RowBytes))
			rows[ch.Job.Spec.ID] = ch.Record
			for _, s := range ch.Segments {
				g.Expect(len(s.Value)).To(BeNumerically("<=", p.options.RowBytes))
				rows[s.Name] = s.Value
			}
		}
		g.Expect(entries).To(BeNumerically("<=", 97))
		p.Committed(batch, c)
	}
	return rows
}

// Guards against a job whose tasks outgrow a row of the store, which then refuses every transaction of the pool (review/1), and against
// tasks that a successor starts again since it misses some of the rows.
func TestLargeJobFitsIntoRows(t *testing.T) {
	for _, tasks := range []int{1000, 8000} {
		t.Run(fmt.Sprint(tasks), func(t *testing.T) {
			g := NewWithT(t)
			w := newTestPool(16)
			const id = "00000000000000e1"
			w.pool.Submit(largeJob(id, tasks), w.clock())
			started := func() int {
				n := 0
				for _, f := range w.workers {
					n += f.startsTotal
				}
				return n
			}
			for round := 0; w.pool.Job(id).State() != Completed; round++ {
				g.Expect(round).To(BeNumerically("<", 200))
				w.run(100 * time.Millisecond)
				w.endAll(EndDone)
				if round%5 == 1 {
					w.successor()
					w.renewLeases()
				}
				c := w.clock()
				for key, value := range w.records[id].segments {
					g.Expect(len(encodeSegment(value.Rev, encodeTasks(value.Tasks)))).To(BeNumerically("<=", w.pool.options.RowBytes), key)
				}
				w.pool.Tick(c)
			}
			g.Expect(started()).To(Equal(tasks + 1))
			w.run(w.pool.options.Retention + 2*time.Second)
			g.Expect(w.records).To(BeEmpty(), "the rows are removed after the retention")
		})
	}
}

// Guards against rows of a large job that stay in the standby part, or are lost, once the primary part is available again.
func TestLargeJobReturnsFromTheStandbyPart(t *testing.T) {
	g := NewWithT(t)
	w := newTestPool(16)
	const id = "00000000000000e2"
	j := w.pool.Submit(largeJob(id, 3000), w.clock())
	takeBatches(g, w.pool, Primary, w.clock())
	w.storeDown = true
	w.run(50 * time.Millisecond)
	w.endAll(EndDone)
	w.run(50 * time.Millisecond)
	for range 8 {
		takeBatches(g, w.pool, Standby, w.clock())
		w.run(50 * time.Millisecond)
		w.endAll(EndDone)
		w.renewLeases()
	}
	standby := takeBatches(g, w.pool, Standby, w.clock())
	g.Expect(w.pool.Superfluous(97)).To(BeEmpty(), "the copies in the standby part are the newest")
	w.pool.ReturnToPrimary()
	primary := takeBatches(g, w.pool, Primary, w.clock())
	for name := range standby {
		g.Expect(primary).To(HaveKey(name))
	}
	removed := 0
	for rows := w.pool.Superfluous(40); len(rows) > 0; rows = w.pool.Superfluous(40) {
		for _, l := range rows {
			g.Expect(l.Entries()).To(BeNumerically("<=", 40))
			removed += len(l.Segments)
		}
		w.pool.RemovedFromStandby(rows)
	}
	g.Expect(removed).To(BeNumerically(">", 10))
	g.Expect(j.newerInStandby()).To(BeFalse())
	g.Expect(w.pool.misplaced).To(BeEmpty())
}

// Guards against a job whose rows the store refuses and which holds up all other jobs of its pool.
func TestRefusedRowsHoldUpNoOtherJob(t *testing.T) {
	g := NewWithT(t)
	w := newTestPool(1)
	var ids []string
	for n := range 5 {
		ids = append(ids, fmt.Sprintf("%016x", n))
		w.pool.Submit(oneStep(ids[n], Step{Count: 1, Need: Resources{CPU: 1000}}), w.clock())
	}
	w.pool.Tick(w.clock())
	for range 10 {
		batch := w.pool.NextBatch(Primary, 97, 400<<10)
		refused := false
		for _, ch := range batch {
			refused = refused || ch.Job.Spec.ID == ids[2]
		}
		if refused {
			w.pool.Refused(batch, w.clock())
			continue
		}
		w.pool.Committed(batch, w.clock())
	}
	for n, id := range ids {
		g.Expect(w.pool.Job(id).Committed()).To(Equal(n != 2), id)
	}
	g.Expect(w.pool.Job(ids[2]).Refused()).To(BeTrue())
	g.Expect(w.pool.Withdraw(w.pool.Job(ids[2]))).To(BeTrue(), "it is in no part of the store")
}

// Guards against a list of finished occurrences that outgrows a row, and against occurrences without bound that wait for capacity.
func TestScheduledJobFitsIntoARow(t *testing.T) {
	g := NewWithT(t)
	p := NewPool("pumps", 1, DefaultOptions(), 0)
	spec := oneStep("00000000000000e3", Step{Count: 1, Need: Resources{CPU: 1000}})
	spec.RepeatCount, spec.FirstDueMS, spec.IntervalMS = MaxOccurrences, 1, 1
	c := Clock{Now: time.Second, Wall: 1_800_000_000_000}
	j := p.Submit(spec, c)
	finish := func(k int) {
		j.occurrences[k].steps[0].tasks[0].markDone()
		p.checkCompletion(j.occurrences[k], c)
	}
	for k := range MaxOccurrences - 1 {
		p.instantiateDue(j, c)
		if k >= maxOpenOccurrences && k%2 == 1 {
			finish(k - maxOpenOccurrences + 1)
			finish(k - maxOpenOccurrences)
		}
	}
	open := 0
	for range j.openOccurrences() {
		open++
	}
	g.Expect(open).To(BeNumerically("<=", maxOpenOccurrences))
	encoded := j.EncodeRecord()
	g.Expect(len(encoded)).To(BeNumerically("<", p.options.RowBytes))
	var rec Record
	mustDecode(encoded, &rec)
	next := NewPool("pumps", 2, DefaultOptions(), 0)
	next.LoadCopies(spec.ID, Copies{Primary: &rec, PrimarySpec: &spec}, c)
	for k, o := range j.occurrences {
		finished := o != nil && o.finished
		loaded := next.jobs[spec.ID].occurrences[k]
		g.Expect(loaded != nil && loaded.finished).To(Equal(finished), fmt.Sprint(k))
	}
}

// Guards against a successor that panics at segments of a job that has ended and has no spec any more, or never removes them.
func TestSegmentsOfAnEndedJobAreRemoved(t *testing.T) {
	g := NewWithT(t)
	p := NewPool("pumps", 2, DefaultOptions(), 0)
	const id = "00000000000000e4"
	c := Clock{Now: time.Second, Wall: 1_800_000_000_000}
	record := Record{Queue: "q", State: Completed, EndedMS: c.Wall, Rev: 7, SegmentTasks: 10}
	p.LoadCopies(id, Copies{Primary: &record, PrimarySegments: map[string]SegmentRecord{id + ".5.2": {Rev: 6, Tasks: []TaskRecord{{Occ: 5, LastRun: 1}}}}}, c)
	c.Wall += p.options.Retention.Milliseconds() + 1
	p.Tick(c)
	batch := p.NextBatch(Primary, 97, 400<<10)
	g.Expect(batch).To(HaveLen(1))
	g.Expect(batch[0].Segments).To(HaveLen(1))
	g.Expect(batch[0].Segments[0].Name).To(Equal(id + ".5.2"))
	g.Expect(batch[0].Segments[0].Value).To(BeNil())
	p.Committed(batch, c)
	c.Now += 2 * expireInterval
	p.Tick(c)
	p.Committed(p.NextBatch(Primary, 97, 400<<10), c)
	g.Expect(p.Job(id)).To(BeNil())
}
