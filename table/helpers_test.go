package table_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"samphirepoint/services/memtable"
	"samphirepoint/table"
)

var ctx = context.Background()

func sample() *table.Document {
	return &table.Document{
		Backers: []table.Backer{
			{Name: "inzira", Weight: 2, NominalQuota: 60, BorrowingLimit: 40, MaxUnavailable: 2},
			{Name: "umoja", Weight: 1, NominalQuota: 30, BorrowingLimit: 30, MaxUnavailable: 1},
		},
		Pools: []table.Pool{{Name: "pumps", Region: "gasabo"}, {Name: "slips"}, {Name: "ledger-common", Spare: true}},
		Queues: []table.Queue{
			{Name: "checks", Pools: []string{"pumps", "ledger-common"}, MaxLength: 500},
			{Name: "audits", Pools: []string{"slips"}, Backers: []string{"inzira"}, MaxLength: 100},
		},
	}
}

func sampleSize() table.FleetSize {
	return table.FleetSize{"pumps": {Instances: 9, Slots: 72}, "slips": {Instances: 5, Slots: 40}, "ledger-common": {Instances: 2, Slots: 16}}
}

func edit(cell, base, value string) table.Edit {
	c, err := table.ParseCell(cell)
	if err != nil {
		panic(err)
	}
	return table.Edit{Cell: c, Base: base, Value: value}
}

// newStore returns a store whose version 1 is the sample document.
func newStore(t *testing.T) (*table.Store, *memtable.Table) {
	t.Helper()
	tab := memtable.New()
	s := table.NewStore(tab, table.Options{Size: sampleSize, MinBackoff: time.Millisecond})
	_, err := s.Bootstrap(ctx, sample(), "setup", "first version")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return s, tab
}

// problemCells returns the cells of an *InvalidError.
func problemCells(g *WithT, err error) []string {
	var invalid *table.InvalidError
	g.Expect(err).To(BeAssignableToTypeOf(invalid))
	var cells []string
	for _, p := range err.(*table.InvalidError).Problems {
		cells = append(cells, p.Cell)
	}
	return cells
}
