package owner

import (
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"samphirepoint/engine"
	"samphirepoint/rows"
	"samphirepoint/rows/memrows"
)

// newTerm returns an owner under an existing claim, as a second term under the same claim would be.
func newTerm(t *testing.T, s rows.Store, claimVer int64) *Owner {
	return New(t.Context(), Settings{
		Pool: "pumps", Token: 1, ClaimVer: claimVer, Store: s, Options: engine.DefaultOptions(), Log: zerolog.Nop(),
		Now: func() time.Duration { return time.Minute },
	})
}

// Guards against an owner that takes the transaction of another term for its own after a lost response: it would count changes
// as stored that are not, and acknowledge them.
func TestTransactionOfAnotherTermIsNotTakenForOwn(t *testing.T) {
	g := NewWithT(t)
	s := memrows.New()
	ver := claim(t, s, 1)
	first, second := newTerm(t, s, ver), newTerm(t, s, ver)
	_, err := s.Transact(t.Context(), first.transaction(first.primary, nil))
	g.Expect(err).NotTo(HaveOccurred())
	tx := second.transaction(second.primary, nil)
	_, err = s.Transact(t.Context(), tx)
	var conflict *rows.Conflict
	g.Expect(errors.As(err, &conflict)).To(BeTrue(), "%v", err)
	_, err = second.resolveConflict(tx, conflict, true)
	g.Expect(err).To(HaveOccurred())
}

// interveningStore executes a transaction between an owner's read of the jobs and its next call.
type interveningStore struct {
	*memrows.Store
	tx *rows.Tx
}

func (s *interveningStore) Read(ctx context.Context, table, part string) ([]rows.Row, int64, error) {
	list, ver, err := s.Store.Read(ctx, table, part)
	if part == "pumps" && table == TableJobs && s.tx != nil {
		if _, err := s.Store.Transact(ctx, *s.tx); err != nil {
			return nil, 0, err
		}
		s.tx = nil
	}
	return list, ver, err
}

// Guards against an owner that serves from rows that were replaced while it read them, and overwrites the newer ones.
func TestTransactionDuringLoadIsDetected(t *testing.T) {
	g := NewWithT(t)
	shared := memrows.New()
	ver := claim(t, shared, 1)
	other := newTerm(t, shared, ver)
	tx := other.transaction(other.primary, nil)
	o := serveOn(t, &interveningStore{Store: shared, tx: &tx}, ver, newFakeWorkers(t), 1)
	g.Expect(o.Submit(context.Background(), job(1))).NotTo(Succeed())
	g.Eventually(o.Done(), time.Minute).Should(BeClosed())
}
