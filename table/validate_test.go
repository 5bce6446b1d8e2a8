package table_test

import (
	"math"
	"testing"

	. "github.com/onsi/gomega"

	"samphirepoint/table"
)

// Validation must report every problem of a document at once, each with its cell.
func TestValidateReportsAllProblems(t *testing.T) {
	g := NewWithT(t)
	g.Expect(table.Validate(sample(), sampleSize())).To(Succeed())
	d := sample()
	d.Backers = append(d.Backers, table.Backer{Name: "umoja", Weight: 1}, table.Backer{Name: "a/b", Weight: math.NaN(), NominalQuota: -1, BorrowingLimit: -2, MaxUnavailable: -3})
	d.Backers[0].Weight = 0
	d.Pools = append(d.Pools, table.Pool{Name: "idle"})
	d.Queues[0].Pools = append(d.Queues[0].Pools, "lost")
	d.Queues[1].Backers = append(d.Queues[1].Backers, "nobody")
	d.Queues = append(d.Queues, table.Queue{Name: "empty"})
	err := table.Validate(d, nil)
	g.Expect(problemCells(g, err)).To(ConsistOf("inzira.weight", "umoja.name", "a/b.name", "a/b.weight", "a/b.nominalQuota",
		"a/b.borrowingLimit", "a/b.maxUnavailable", "pools/idle.spare", "queues/checks.pools", "queues/audits.backers",
		"queues/empty.pools", "queues/empty.maxLength"))
	g.Expect(err.Error()).To(ContainSubstring(`inzira.weight = "0": expected a number greater than 0`))
	g.Expect(problemCells(g, table.Validate(&table.Document{}, nil))).To(ConsistOf("*.name", "pools/*.name", "queues/*.name"))
}

// Limits, budgets and quotas that do not fit the fleet must be rejected with the accepted bound.
func TestValidateAgainstFleetSize(t *testing.T) {
	g := NewWithT(t)
	d := sample()
	d.Backers[0].NominalQuota, d.Backers[0].BorrowingLimit = 80, 0 // share: 72*2/3 + 40 = 88
	d.Backers[1].NominalQuota = 50                                 // sum 130, the fleet has 128 slots
	d.Backers[0].MaxUnavailable = 5                                // pool slips has 5 instances
	err := table.Validate(d, sampleSize())
	g.Expect(problemCells(g, err)).To(ConsistOf("*.nominalQuota", "inzira.borrowingLimit", "inzira.maxUnavailable"))
	g.Expect(err.Error()).To(And(ContainSubstring("at least 8"), ContainSubstring("at most 128"), ContainSubstring("at most 4: pool slips")))
	g.Expect(table.Validate(d, nil)).To(Succeed())
}

// A fleet that shrank after an accept must not block edits of other cells, nor edits that reduce an
// excess.
func TestValidateChangeAllowsOldSizeProblems(t *testing.T) {
	g := NewWithT(t)
	before, small := sample(), table.FleetSize{"pumps": {Instances: 2, Slots: 16}, "slips": {Instances: 9, Slots: 72}}
	g.Expect(problemCells(g, table.Validate(before, small))).To(ConsistOf("*.nominalQuota", "inzira.maxUnavailable"))
	after := sample()
	after.Backers[0].NominalQuota--
	after.Queues[0].MaxLength++
	g.Expect(table.ValidateChange(before, after, small)).To(Succeed())
	after.Backers[1].NominalQuota += 2
	g.Expect(problemCells(g, table.ValidateChange(before, after, small))).To(ConsistOf("*.nominalQuota"))
}

// The preview must show the values before and after a change, since operators decide by it.
func TestPreview(t *testing.T) {
	g := NewWithT(t)
	after := sample()
	after.Backers[1].Weight = 2
	after.Backers[1].MaxUnavailable = 0
	p := table.PreviewOf(sample(), after, sampleSize(), func(_, _ *table.Document) int { return 3 })
	g.Expect(p.Backers[1].Share).To(Equal(table.BeforeAfter[float64]{Before: 24, After: 36}))
	g.Expect(p.Pools[0].Budget).To(Equal(table.BeforeAfter[int]{Before: 1, After: 0}))
	g.Expect(p.Pools[1].Budget).To(Equal(table.BeforeAfter[int]{Before: 2, After: 2}))
	g.Expect(*p.Moves).To(Equal(3))
	g.Expect(p.Warnings).To(ContainElement(ContainSubstring("pool pumps: a backer has maxUnavailable 0")))
}
