package table_test

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"samphirepoint/table"
)

// Edits that come from a difference must reproduce it, including added and deleted rows.
func TestDiffAndApplyAreInverse(t *testing.T) {
	g := NewWithT(t)
	after := sample()
	after.Backers = append(after.Backers[1:], table.Backer{Name: "teal", Weight: 0.5, MaxUnavailable: 1})
	after.Queues[1] = table.Queue{Name: "routes", Pools: []string{"slips", "pumps"}, MaxLength: 7}
	got, err := table.Apply(sample(), table.Edits(table.Diff(sample(), after)))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(Equal(after))
	back, err := table.Apply(after, table.Edits(table.Diff(after, sample())))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(table.Diff(back, sample())).To(BeEmpty())
}

// Malformed edits must be refused together and leave the document as it was.
func TestApplyRefusesMalformedEdits(t *testing.T) {
	g := NewWithT(t)
	d := sample()
	_, err := table.Apply(d, []table.Edit{
		edit("inzira.weight", "2", "-1"), edit("inzira.nominalQuota", "60", "6O"), edit("umoja.weight", "1", "0x1p4"),
		edit("umoja.borrowingLimit", "30", "1e3"), edit("nobody.weight", "", "2"), edit("queues/checks.pools", "pumps ledger-common", "pumps pumps"),
		edit("queues/new.name", "", "new"), edit("pools/slips.spare", "false", "yes"),
	})
	g.Expect(problemCells(g, err)).To(ConsistOf("inzira.weight", "inzira.nominalQuota", "umoja.weight", "umoja.borrowingLimit",
		"nobody.weight", "queues/checks.pools", "pools/slips.spare"))
	_, err = table.Apply(d, []table.Edit{edit("queues/new.name", "", "new")})
	g.Expect(problemCells(g, err)).To(ConsistOf("queues/new.pools"))
	_, err = table.Apply(d, []table.Edit{edit("inzira.name", "inzira", "other"), edit("umoja.weight", "1", "2"), edit("umoja.weight", "1", "3"),
		{Cell: table.Cell{Row: "a.b", Column: "c"}}})
	g.Expect(problemCells(g, err)).To(ConsistOf("inzira.name", "umoja.weight", "a.b.c"))
	g.Expect(d).To(Equal(sample()))
}

// A deleted row must not take along a change that the operator has not seen.
func TestDeleteRowChecksAllCells(t *testing.T) {
	g := NewWithT(t)
	seen, now := sample(), sample()
	now.Backers[0].Weight = 9
	_, err := table.Apply(now, seen.DeleteRowEdits("inzira"))
	g.Expect(err).To(MatchError(ContainSubstring(`inzira.weight: another operator changed it from "2" to "9"`)))
	_, err = table.Apply(now, []table.Edit{edit("inzira.name", "inzira", "")})
	g.Expect(err).To(BeAssignableToTypeOf(&table.ConflictError{}))
	got, err := table.Apply(now, now.DeleteRowEdits("backers/inzira"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got.Backers).To(HaveLen(1))
}

func FuzzParseCell(f *testing.F) {
	for _, seed := range []string{"inzira.weight", "pools/pumps.spare", "queues/checks.pools", "backers/a.name", "a.b.weight", "pools/.region", "."} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		c, err := table.ParseCell(text)
		if err != nil {
			return
		}
		again, err := table.ParseCell(c.String())
		if err != nil || again != c || c.String() != strings.TrimPrefix(text, "backers/") {
			t.Fatalf("%q parsed as %q, then as %q: %v", text, c, again, err)
		}
	})
}
