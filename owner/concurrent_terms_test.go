package owner

import (
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
	_, err := s.Transact(t.Context(), first.transaction(nil))
	g.Expect(err).NotTo(HaveOccurred())
	tx := second.transaction(nil)
	_, err = s.Transact(t.Context(), tx)
	var conflict *rows.Conflict
	g.Expect(errors.As(err, &conflict)).To(BeTrue(), "%v", err)
	_, err = second.resolveConflict(tx, conflict, true)
	g.Expect(err).To(HaveOccurred())
}
