package engine

import (
	"maps"
	"slices"
)

// Part is one of the two parts of the store that hold a pool's jobs. Changes are written to the primary part, and to the standby part while
// the primary one does not answer. The copy with the higher Record.Rev is the newer one, so that a transaction of either part may be
// executed late.
type Part uint8

// The parts.
const (
	Primary Part = iota
	Standby
)

// Copies are the rows of a job in both parts; those that a part doesn't have are nil.
type Copies struct {
	Primary, Standby                 *Record
	PrimarySpec, StandbySpec         *Spec
	PrimarySegments, StandbySegments map[string]SegmentRecord // by the names of their rows
}

// Newest returns the newer record, and the job's spec. Both are nil if there is none.
func (c *Copies) Newest() (*Record, *Spec) {
	spec := c.PrimarySpec
	if spec == nil {
		spec = c.StandbySpec
	}
	if c.Primary == nil || (c.Standby != nil && c.Standby.Rev > c.Primary.Rev) {
		return c.Standby, spec
	}
	return c.Primary, spec
}

// LoadCopies restores a job from its rows.
func (p *Pool) LoadCopies(id string, copies Copies, c Clock) {
	rec, spec := copies.Newest()
	if rec == nil {
		return
	}
	whole := *rec
	segments := loadSegments(&whole, &copies)
	j := p.load(spec, id, whole, c)
	j.segmentTasks, j.segments = rec.SegmentTasks, segments
	j.Stored = copies.Primary != nil && (copies.PrimarySpec != nil || spec == nil)
	j.specInStandby = copies.StandbySpec != nil
	if copies.Primary != nil {
		j.inPrimary = max(copies.Primary.Rev, 1)
	}
	if copies.Standby != nil {
		j.inStandby = max(copies.Standby.Rev, 1)
		p.misplaced[id] = j
	}
}

// noteStored records which part has the change.
func (p *Pool) noteStored(ch *Change) {
	j := ch.Job
	j.noteSegments(ch)
	if ch.part == Standby {
		j.inStandby = max(j.inStandby, ch.rev)
		j.specInStandby = j.specInStandby || ch.Spec != nil
		p.misplaced[j.Spec.ID] = j
		return
	}
	j.inPrimary = max(j.inPrimary, ch.rev)
	if ch.Spec != nil {
		j.Stored = true
	}
	if ch.DropSpec {
		j.Stored = false
	}
}

// Rewrite makes the next batch hold the jobs of a batch whose transaction has no outcome yet, as it is to be written to the other part.
func (p *Pool) Rewrite(batch []Change) {
	for i := range batch {
		batch[i].Job.uncertain = true
		batch[i].Job.forgetSums(&batch[i])
		p.writeAgain(batch[i].Job)
	}
}

// ReturnToPrimary makes the next batches hold the jobs that are newer in the standby part than in the primary one.
func (p *Pool) ReturnToPrimary() {
	for _, id := range slices.Sorted(maps.Keys(p.misplaced)) {
		if j := p.misplaced[id]; j.newerInStandby() {
			p.writeAgain(j)
		}
	}
}

// Superfluous returns rows in the standby part that are no longer needed, as the primary part has newer ones. Their removal takes up to
// the given number of entries of a transaction.
func (p *Pool) Superfluous(entries int) []Leftover {
	var out []Leftover
	for _, id := range slices.Sorted(maps.Keys(p.misplaced)) {
		j := p.misplaced[id]
		if j.newerInStandby() {
			continue
		}
		l := j.leftover(entries)
		if l.Entries() == 0 {
			break
		}
		entries -= l.Entries()
		out = append(out, l)
	}
	return out
}

// RemovedFromStandby records that the standby part has no copies of the rows any more.
func (p *Pool) RemovedFromStandby(list []Leftover) {
	for i := range list {
		j := list[i].Job
		for _, id := range list[i].ids {
			if s := j.segments[id]; s != nil {
				s.revs[Standby] = 0
			}
		}
		if list[i].Record {
			j.inStandby, j.specInStandby = 0, false
			delete(p.misplaced, j.Spec.ID)
		}
	}
}
