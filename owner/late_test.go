package owner

import (
	"context"
	"errors"
	"sync"
	"testing"

	. "github.com/onsi/gomega"

	"samphirepoint/engine"
	"samphirepoint/rows"
	"samphirepoint/rows/memrows"
	"samphirepoint/verdict"
)

// lateStore leaves the first transaction with jobs unanswered and undone, and keeps it.
type lateStore struct {
	*memrows.Store
	mu   sync.Mutex
	late *rows.Tx
}

func (s *lateStore) Transact(ctx context.Context, tx rows.Tx) (int64, error) {
	s.mu.Lock()
	first := s.late == nil && tx.Expected[0].Table == TableOwners
	if first {
		s.late = &tx
	}
	s.mu.Unlock()
	if first {
		return 0, verdict.New(verdict.MayHaveRun, 504, "no answer")
	}
	return s.Store.Transact(ctx, tx)
}

// Guards against a transaction without an answer that the store carries out after newer ones of the same owner: it would put old
// states of jobs over new ones.
func TestLateTransactionDoesNothing(t *testing.T) {
	g := NewWithT(t)
	s, l := &lateStore{Store: memrows.New()}, newLabour(t)
	o := serveOn(t, s, claim(t, s.Store, 1), l, 1)
	g.Expect(o.Submit(context.Background(), job(1))).To(Succeed())
	completes(g, l, o, job(1).ID)
	s.mu.Lock()
	late := *s.late
	s.mu.Unlock()
	_, err := s.Store.Transact(context.Background(), late)
	var conflict *rows.Conflict
	g.Expect(errors.As(err, &conflict)).To(BeTrue(), "%v", err)
	g.Expect(o.Submit(context.Background(), job(2))).To(Succeed(), "the owner goes on")
	eventually(g, o, job(1).ID, engine.Completed)
}
