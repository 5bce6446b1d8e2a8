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
	Primary, Standby         *Record
	PrimarySpec, StandbySpec *Spec
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
	j := p.load(spec, id, *rec, c)
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
		p.writeAgain(batch[i].Job)
	}
}

// ReturnToPrimary makes the next batches hold the jobs that are newer in the standby part than in the primary one.
func (p *Pool) ReturnToPrimary() {
	for _, id := range slices.Sorted(maps.Keys(p.misplaced)) {
		if j := p.misplaced[id]; j.inStandby > j.inPrimary {
			p.writeAgain(j)
		}
	}
}

// Superfluous returns up to max jobs whose rows in the standby part are no longer needed, as the primary part has newer ones.
func (p *Pool) Superfluous(max int) []*Job {
	var out []*Job
	for _, id := range slices.Sorted(maps.Keys(p.misplaced)) {
		if j := p.misplaced[id]; j.inPrimary >= j.inStandby && len(out) < max {
			out = append(out, j)
		}
	}
	return out
}

// RemovedFromStandby records that the standby part has no rows of the jobs any more.
func (p *Pool) RemovedFromStandby(jobs []*Job) {
	for _, j := range jobs {
		j.inStandby, j.specInStandby = 0, false
		delete(p.misplaced, j.Spec.ID)
	}
}
