package table_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"samphirepoint/services"
	"samphirepoint/services/memtable"
	"samphirepoint/table"
)

// race lets another operator, whose store bypasses the hook, act once before or after a call.
type race struct {
	*WithT
	store, other *table.Store
	tab          *memtable.Table
}

func newRace(t *testing.T) *race {
	s, tab := newStore(t)
	return &race{WithT: NewWithT(t), store: s, other: table.NewStore(tab.Direct(), table.Options{}), tab: tab}
}

// at makes the first call of op on a key with the prefix suffer the fault, after act ran.
func (r *race) at(op memtable.Op, prefix string, fault memtable.Fault, act func()) {
	done := false
	r.tab.SetHook(func(c memtable.Call) memtable.Fault {
		if done || c.Op != op || !c.Touches(prefix) {
			return memtable.Fault{}
		}
		done = true
		if act != nil {
			act()
		}
		return fault
	})
}

func (r *race) otherSets(operation, cell, base, value string) {
	_, err := r.other.SetCells(ctx, operation, "ben", []table.Edit{edit(cell, base, value)})
	r.Expect(err).NotTo(HaveOccurred())
}

func (r *race) otherAccepts(operation, operator string) {
	_, err := r.other.Accept(ctx, table.AcceptRequest{Operation: operation, Operator: operator, Reason: "r"})
	r.Expect(err).NotTo(HaveOccurred())
}

func (r *race) setsWeight() *table.Draft {
	draft, err := r.store.SetCells(ctx, "e1", "aline", []table.Edit{edit("inzira.weight", "2", "3")})
	r.Expect(err).NotTo(HaveOccurred())
	return draft
}

// Two edits that read the same draft must both be in it.
func TestConcurrentEditsBothStay(t *testing.T) {
	r := newRace(t)
	r.at(memtable.OpCommit, table.KeyDraft, memtable.Fault{}, func() { r.otherSets("e2", "umoja.weight", "1", "2") })
	r.Expect(r.setsWeight().Effective()).To(HaveLen(2))
}

// A draft must not begin on a version that another operator replaced in the meantime.
func TestNewDraftStartsOnTheVersionInForce(t *testing.T) {
	r := newRace(t)
	r.at(memtable.OpCommit, table.KeyDraft, memtable.Fault{}, func() {
		r.otherSets("e2", "umoja.weight", "1", "2")
		r.otherAccepts("a2", "ben")
	})
	draft := r.setsWeight()
	r.Expect(draft.Base).To(Equal(int64(2)))
	r.Expect(draft.Effective()).To(HaveLen(1))
}

// An edit that arrives during an accept must be in the accepted version or stay in the draft.
func TestAcceptTakesTheEditItDeletes(t *testing.T) {
	r := newRace(t)
	r.setsWeight()
	r.at(memtable.OpCommit, table.KeyCurrent, memtable.Fault{}, func() { r.otherSets("e2", "umoja.weight", "1", "2") })
	done, err := accept(r.store, "a1")
	r.Expect(err).NotTo(HaveOccurred())
	r.Expect(done.Document.Backers[1].Weight).To(Equal(2.0))
	history, err := r.store.History(ctx, 0, 1)
	r.Expect(err).NotTo(HaveOccurred())
	r.Expect(history[0].Changes).To(HaveLen(2))
}

// An accept must not replace a version that it has not read.
func TestAcceptIsConditionalOnTheVersionInForce(t *testing.T) {
	r := newRace(t)
	r.setsWeight()
	r.at(memtable.OpCommit, table.KeyCurrent, memtable.Fault{}, func() {
		_, err := r.tab.Direct().Commit(ctx, []services.Write{{Key: table.KeyCurrent, IfVersion: 1, Value: []byte(`{"version":7}`)}})
		r.Expect(err).NotTo(HaveOccurred())
	})
	_, err := accept(r.store, "a1")
	r.Expect(err).To(Equal(&table.StaleDraftError{Base: 1, Accepted: 7}))
}

// A repeat that overlaps with the first attempt through another entry must return its version, and
// must not accept the draft that was begun since.
func TestOverlappingAcceptsOfOneOperation(t *testing.T) {
	for _, newDraft := range []bool{false, true} {
		r := newRace(t)
		r.setsWeight()
		r.at(memtable.OpGet, table.KeyDraft, memtable.Fault{}, func() {
			r.otherAccepts("a1", "aline")
			if newDraft {
				r.otherSets("e2", "umoja.weight", "1", "2")
			}
		})
		done, err := accept(r.store, "a1")
		r.Expect(err).NotTo(HaveOccurred())
		r.Expect(done.Version).To(Equal(int64(2)))
		current, err := r.store.Current(ctx)
		r.Expect(err).NotTo(HaveOccurred())
		r.Expect(current.Version).To(Equal(int64(2)))
	}
}

// An edit with a lost reply that was accepted and then set back must not be made again.
func TestLostReplyOfAnAcceptedEdit(t *testing.T) {
	r := newRace(t)
	r.at(memtable.OpCommit, table.KeyDraft, memtable.Fault{LoseReply: true, AfterApply: func() {
		r.otherAccepts("a1", "ben")
		r.otherSets("e2", "inzira.weight", "3", "2")
		r.otherAccepts("a2", "ben")
	}}, nil)
	draft := r.setsWeight()
	r.Expect(draft.Version).To(BeZero())
	r.Expect(draft.Document.Backers[0].Weight).To(Equal(2.0))
}

// An edit that failed with an unknown outcome before another edit must be planned again on the
// changed draft.
func TestFailedEditIsPlannedAgain(t *testing.T) {
	r := newRace(t)
	r.at(memtable.OpCommit, table.KeyDraft, memtable.Fault{ErrBefore: memtable.ErrReplyLost}, func() { r.otherSets("e2", "umoja.weight", "1", "2") })
	r.Expect(r.setsWeight().Effective()).To(HaveLen(2))
}

// A discard with a lost reply must not remove the draft that was begun since, and one that
// overlaps with an edit must keep it.
func TestDiscardRaces(t *testing.T) {
	r := newRace(t)
	seen := func(d *table.Draft) table.DraftRef { return table.DraftRef{Draft: d.Version, Base: d.Base} }
	draft := r.setsWeight()
	r.at(memtable.OpCommit, table.KeyDraft, memtable.Fault{LoseReply: true, AfterApply: func() { r.otherSets("e2", "umoja.weight", "1", "2") }}, nil)
	r.Expect(r.store.Discard(ctx, seen(draft))).To(Succeed())
	draft, err := r.store.Draft(ctx)
	r.Expect(err).NotTo(HaveOccurred())
	r.Expect(draft.Effective()).To(HaveLen(1), "the new draft of the other operator")
	r.at(memtable.OpCommit, table.KeyDraft, memtable.Fault{}, func() { r.otherSets("e3", "umoja.weight", "2", "4") })
	r.Expect(r.store.Discard(ctx, seen(draft))).To(BeAssignableToTypeOf(&table.DraftChangedError{}))
	r.otherAccepts("a1", "ben")
	r.Expect(r.store.Discard(ctx, seen(draft))).To(BeAssignableToTypeOf(&table.DraftChangedError{}))
}
