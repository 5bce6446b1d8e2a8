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

// delayingStore withholds the first transaction with changes of jobs: it returns an unknown outcome and keeps the transaction.
type delayingStore struct {
	*memrows.Store
	mu       sync.Mutex
	withheld *rows.Tx
}

func (s *delayingStore) Transact(ctx context.Context, tx rows.Tx) (int64, error) {
	s.mu.Lock()
	first := s.withheld == nil && tx.Expected[0].Table == TableOwners && len(tx.Expected) > 1
	if first {
		s.withheld = &tx
	}
	s.mu.Unlock()
	if first {
		return 0, verdict.New(verdict.MayHaveRun, 504, "no response")
	}
	return s.Store.Transact(ctx, tx)
}

// Guards against a transaction whose response is lost and which the store executes after newer ones of the same owner: it
// would overwrite job states with older ones.
func TestDelayedTransactionHasNoEffect(t *testing.T) {
	g := NewWithT(t)
	s, w := &delayingStore{Store: memrows.New()}, newFakeWorkers(t)
	o := serveOn(t, s, claim(t, s.Store, 1), w, 1)
	g.Expect(o.Submit(context.Background(), job(1))).To(Succeed())
	eventuallyCompleted(g, w, o, job(1).ID)
	s.mu.Lock()
	late := *s.withheld
	s.mu.Unlock()
	_, err := s.Store.Transact(context.Background(), late)
	var conflict *rows.Conflict
	g.Expect(errors.As(err, &conflict)).To(BeTrue(), "%v", err)
	g.Expect(o.Submit(context.Background(), job(2))).To(Succeed(), "the owner keeps serving")
	eventuallyInState(g, o, job(1).ID, engine.Completed)
}
