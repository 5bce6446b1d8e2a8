package table_test

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"samphirepoint/services"
	"samphirepoint/services/memtable"
	"samphirepoint/table"
	"samphirepoint/verdict"
)

func accept(s *table.Store, operation string) (table.Accepted, error) {
	return s.Accept(ctx, table.AcceptRequest{Operation: operation, Operator: "aline", Reason: "test"})
}

// Concurrent edits of different cells by two operators must merge, and edits of the same cell must
// conflict and name the first operator.
func TestEditsMergeOrConflict(t *testing.T) {
	g := NewWithT(t)
	s, _ := newStore(t)
	_, err := s.SetCells(ctx, "e1", "aline", []table.Edit{edit("inzira.weight", "2", "3")})
	g.Expect(err).NotTo(HaveOccurred())
	_, err = s.SetCells(ctx, "e2", "ben", []table.Edit{edit("umoja.weight", "1", "1.50")})
	g.Expect(err).NotTo(HaveOccurred())
	_, err = s.SetCells(ctx, "e3", "ben", []table.Edit{edit("inzira.weight", "2", "5"), edit("umoja.nominalQuota", "30", "31")})
	g.Expect(err).To(MatchError(ContainSubstring(`inzira.weight: aline changed it from "2" to "3" in the draft`)))
	draft, err := s.Draft(ctx)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(draft.Effective()).To(HaveLen(2))
	g.Expect(draft.Changes[1]).To(And(HaveField("Operator", "ben"), HaveField("After", "1.5")))
}

// An operator must not accept edits that were made after the review.
func TestAcceptRequiresTheReviewedDraft(t *testing.T) {
	g := NewWithT(t)
	s, tab := newStore(t)
	draft, err := s.SetCells(ctx, "e1", "aline", []table.Edit{edit("inzira.weight", "2", "3")})
	g.Expect(err).NotTo(HaveOccurred())
	_, err = s.SetCells(ctx, "e2", "ben", []table.Edit{edit("umoja.weight", "1", "2")})
	g.Expect(err).NotTo(HaveOccurred())
	_, err = s.Accept(ctx, table.AcceptRequest{Operation: "a1", Operator: "aline", Reason: "r", Draft: draft.Version})
	g.Expect(err).To(BeAssignableToTypeOf(&table.DraftChangedError{}))
	g.Expect(s.Discard(ctx, table.DraftRef{Draft: draft.Version, Base: 1})).To(BeAssignableToTypeOf(&table.DraftChangedError{}))
	done, err := accept(s, "a2")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(done.Version).To(Equal(int64(2)))
	g.Expect(done.Document.Value(edit("umoja.weight", "", "").Cell)).To(Equal("2"))
	row, err := tab.Get(ctx, table.KeyVersion)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(row.Value)).To(Equal("2"), "entries poll this row")
	_, err = accept(s, "a3")
	g.Expect(err).To(MatchError(table.ErrNoDraft))
	history, err := s.History(ctx, 0, 10)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(history).To(HaveLen(2))
	g.Expect(history[0].Changes).To(HaveLen(2))
	g.Expect(history[0].Changes[1].Operator).To(Equal("ben"))
}

// A repeated operation id must return the first version, even after later accepts.
func TestRepeatedAcceptReturnsTheFirstVersion(t *testing.T) {
	g := NewWithT(t)
	s, _ := newStore(t)
	for i := range 3 {
		_, err := s.SetCells(ctx, fmt.Sprint("e", i), "aline", []table.Edit{edit("inzira.weight", fmt.Sprint(2+i), fmt.Sprint(3+i))})
		g.Expect(err).NotTo(HaveOccurred())
		_, err = accept(s, fmt.Sprint("a", i))
		g.Expect(err).NotTo(HaveOccurred())
	}
	done, err := accept(s, "a0")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(done).To(Equal(table.Accepted{Version: 2, Repeated: true}))
	_, err = s.Accept(ctx, table.AcceptRequest{Operation: "a0", Operator: "ben", Reason: "r"})
	g.Expect(err).To(MatchError(table.ErrOperationReused))
}

// A draft that fails validation must not come into force, and the problems must name its cells.
func TestAcceptChecksTheDraft(t *testing.T) {
	g := NewWithT(t)
	s, _ := newStore(t)
	_, err := s.SetCells(ctx, "e1", "aline", []table.Edit{edit("inzira.borrowingLimit", "40", "0"), edit("queues/audits.backers", "inzira", "ghost")})
	g.Expect(err).NotTo(HaveOccurred())
	_, err = accept(s, "a1")
	g.Expect(problemCells(g, err)).To(ConsistOf("queues/audits.backers"))
	_, err = s.SetCells(ctx, "e2", "aline", []table.Edit{edit("inzira.borrowingLimit", "0", "40"), edit("queues/audits.backers", "ghost", "inzira")})
	g.Expect(err).NotTo(HaveOccurred())
	_, err = accept(s, "a2")
	g.Expect(err).To(MatchError(table.ErrNoChange))
}

// operatorSteps returns the operations of one operator in order. Each may be retried if nothing was
// written.
func operatorSteps(s *table.Store) []func() error {
	return []func() error{
		func() error {
			_, err := s.SetCells(ctx, "e1", "aline", []table.Edit{edit("inzira.weight", "2", "3")})
			return err
		},
		func() error {
			draft, err := s.Draft(ctx)
			if err == nil {
				err = s.Discard(ctx, table.DraftRef{Draft: draft.Version, Base: draft.Base})
			}
			return err
		},
		func() error {
			_, err := s.SetCells(ctx, "e2", "aline", []table.Edit{edit("inzira.weight", "2", "4")})
			return err
		},
		func() error { _, err := accept(s, "a1"); return err },
	}
}

// Whichever call to the table loses its reply, or fails before it takes effect with a known or unknown
// outcome, each operation must take effect once.
func TestOneLostReplyAtEachCall(t *testing.T) {
	faults := map[string]memtable.Fault{
		"lost": {LoseReply: true}, "failed": {ErrBefore: memtable.ErrReplyLost}, "refused": {ErrBefore: verdict.Unavailable(0, "down")},
	}
	for name, fault := range faults {
		for _, op := range []memtable.Op{memtable.OpCommit, memtable.OpGet, memtable.OpList} {
			for n := 1; ; n++ {
				g := NewWithT(t)
				s, tab := newStore(t)
				first := tab.Calls(op) + n
				tab.SetHook(func(c memtable.Call) memtable.Fault {
					if c.Op == op && c.N == first {
						return fault
					}
					return memtable.Fault{}
				})
				for i, step := range operatorSteps(s) {
					err := step()
					if verdict.Is(err, verdict.NotRun) {
						err = step() // nothing was written, so the operator retries the step
					}
					g.Expect(err).NotTo(HaveOccurred(), "%s %s %d, step %d", name, op, n, i)
				}
				calls := tab.Calls(op)
				tab.SetHook(nil)
				current, err := s.Current(ctx)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(current.Version).To(Equal(int64(2)), "%s %s %d", name, op, n)
				g.Expect(current.Backers[0].Weight).To(Equal(4.0))
				if calls < first {
					break // the fault was after the last call
				}
			}
		}
	}
}

// While every reply is lost, the outcome must be reported as unknown, and a later retry must find it.
func TestUnknownOutcomeOfAnAccept(t *testing.T) {
	g := NewWithT(t)
	s, tab := newStore(t)
	_, err := s.SetCells(ctx, "e1", "aline", []table.Edit{edit("inzira.weight", "2", "3")})
	g.Expect(err).NotTo(HaveOccurred())
	committed := false
	tab.SetHook(func(c memtable.Call) memtable.Fault {
		committed = committed || c.Op == memtable.OpCommit
		return memtable.Fault{LoseReply: committed}
	})
	_, err = accept(s, "a1")
	g.Expect(err).To(BeAssignableToTypeOf(&table.UnknownOutcomeError{}))
	g.Expect(verdict.Of(err)).To(Equal(verdict.MayHaveRun))
	tab.SetHook(nil)
	done, err := accept(s, "a1")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(done).To(Equal(table.Accepted{Version: 2, Repeated: true}))
}

// An edit whose reply was lost must not be applied again over a later edit of another operator.
func TestLostReplyDoesNotUndoLaterEdit(t *testing.T) {
	g := NewWithT(t)
	s, tab := newStore(t)
	other := table.NewStore(tab.Direct(), table.Options{})
	first := tab.Calls(memtable.OpCommit) + 1
	tab.SetHook(func(c memtable.Call) memtable.Fault {
		if c.Op != memtable.OpCommit || c.N != first {
			return memtable.Fault{}
		}
		return memtable.Fault{LoseReply: true, AfterApply: func() {
			_, err := other.SetCells(ctx, "e2", "ben", []table.Edit{edit("inzira.weight", "3", "2")})
			g.Expect(err).NotTo(HaveOccurred())
		}}
	})
	draft, err := s.SetCells(ctx, "e1", "aline", []table.Edit{edit("inzira.weight", "2", "3")})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(draft.Document.Backers[0].Weight).To(Equal(2.0))
	g.Expect(draft.Changes[0].Operator).To(Equal("ben"))
}

// An edit that overlaps with an accept by another operator must not be lost or applied twice.
func TestEditDuringAccept(t *testing.T) {
	g := NewWithT(t)
	s, tab := newStore(t)
	other := table.NewStore(tab.Direct(), table.Options{})
	_, err := s.SetCells(ctx, "e1", "aline", []table.Edit{edit("inzira.weight", "2", "3")})
	g.Expect(err).NotTo(HaveOccurred())
	first := tab.Calls(memtable.OpCommit) + 1
	tab.SetHook(func(c memtable.Call) memtable.Fault {
		if c.Op == memtable.OpCommit && c.N == first {
			_, err := accept(other, "a1")
			g.Expect(err).NotTo(HaveOccurred())
		}
		return memtable.Fault{}
	})
	draft, err := s.SetCells(ctx, "e2", "ben", []table.Edit{edit("umoja.weight", "1", "2")})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(draft.Base).To(Equal(int64(2)))
	g.Expect(draft.Effective()).To(HaveLen(1))
}

// A draft whose base version was replaced elsewhere must be rebased by an edit, unless one of its cells
// conflicts; it is then blocked until that cell is edited.
func TestStaleDraft(t *testing.T) {
	g := NewWithT(t)
	s, tab := newStore(t)
	_, err := s.SetCells(ctx, "e1", "aline", []table.Edit{edit("inzira.weight", "2", "3"), edit("umoja.weight", "1", "2")})
	g.Expect(err).NotTo(HaveOccurred())
	newer := `{"version":7,"backers":[{"name":"inzira","weight":5},{"name":"umoja","weight":1}],"pools":[],"queues":[]}`
	_, err = tab.Commit(ctx, []services.Write{{Key: table.KeyCurrent, IfVersion: 1, Value: []byte(newer)}})
	g.Expect(err).NotTo(HaveOccurred())
	_, err = accept(s, "a1")
	g.Expect(err).To(MatchError(&table.StaleDraftError{Base: 1, Accepted: 7}))
	_, err = s.SetCells(ctx, "e2", "ben", []table.Edit{edit("umoja.nominalQuota", "0", "1")})
	g.Expect(err).To(BeAssignableToTypeOf(&table.ConflictError{}))
	draft, err := s.SetCells(ctx, "e3", "ben", []table.Edit{edit("inzira.weight", "5", "6")})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(draft.Base).To(Equal(int64(7)))
	g.Expect(draft.Effective()).To(HaveLen(2))
}

// While operators edit, accept and discard concurrently on a faulty table, the history must replay to
// the document in force, versions must have no gaps, and no acknowledged accept may be missing.
func TestConcurrentOperators(t *testing.T) {
	g := NewWithT(t)
	_, tab := newStore(t)
	// Random weights and quotas exceed the fleet; without its size they are not checked against it.
	s := table.NewStore(tab, table.Options{MinBackoff: time.Millisecond})
	const seed = 11
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, 0))
	draw := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return random.IntN(n)
	}
	tab.SetHook(func(c memtable.Call) memtable.Fault {
		return memtable.Fault{LoseReply: draw(10) == 0, DelayReply: time.Duration(draw(300)) * time.Microsecond}
	})
	accepted := map[string]int64{}
	var wg sync.WaitGroup
	for o := range 4 {
		wg.Go(func() {
			for i := range 40 {
				id := fmt.Sprintf("o%d-%d", o, i)
				runRandomOperation(s, id, draw(10), draw, func(v int64) {
					mu.Lock()
					defer mu.Unlock()
					accepted[id] = v
				})
			}
		})
	}
	wg.Wait()
	tab.SetHook(nil)
	verifyHistory(g, s, accepted)
}

// runRandomOperation discards, accepts or edits the draft, depending on choice from 0 to 9, and reports
// the version of a successful accept.
func runRandomOperation(s *table.Store, id string, choice int, draw func(int) int, accepted func(int64)) {
	draft, err := s.Draft(ctx)
	if err != nil {
		return
	}
	operator := id[:2]
	switch {
	case choice == 0:
		_ = s.Discard(ctx, table.DraftRef{Draft: draft.Version, Base: draft.Base})
	case choice < 4:
		if done, err := s.Accept(ctx, table.AcceptRequest{Operation: id, Operator: operator, Reason: "r"}); err == nil {
			accepted(done.Version)
		}
	default:
		c := edit([]string{"inzira.weight", "umoja.weight", "inzira.nominalQuota", "queues/checks.maxLength"}[draw(4)], "", "").Cell
		_, _ = s.SetCells(ctx, id, operator, []table.Edit{{Cell: c, Base: draft.Document.Value(c), Value: strconv.Itoa(1 + draw(60))}})
	}
}

// verifyHistory expects dense versions, a history that replays to the document in force and all
// acknowledged accepts, given as versions by operation id.
func verifyHistory(g *WithT, s *table.Store, accepted map[string]int64) {
	current, err := s.Current(ctx)
	g.Expect(err).NotTo(HaveOccurred())
	history, err := s.History(ctx, 0, 0)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(accepted)).To(BeNumerically(">", 5))
	g.Expect(history).To(HaveLen(int(current.Version)))
	versions, replayed := map[string]int64{}, &table.Document{}
	for i := len(history) - 1; i >= 0; i-- {
		versions[history[i].Operation] = history[i].Version
		replayed, err = table.Apply(replayed, table.Edits(history[i].Changes))
		g.Expect(err).NotTo(HaveOccurred())
	}
	for id, version := range accepted {
		g.Expect(versions).To(HaveKeyWithValue(id, version))
	}
	g.Expect(table.Diff(replayed, current)).To(BeEmpty())
}
