package memtable_test

import (
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"samphirepoint/services"
	"samphirepoint/services/memtable"
)

// A version that repeats after a delete would let an old condition match a new row.
func TestVersionsDoNotRepeatAfterDelete(t *testing.T) {
	g := NewWithT(t)
	ctx, tab := context.Background(), memtable.New()
	v, err := tab.Commit(ctx, []services.Write{{Key: "a", Value: []byte("1")}})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(v).To(Equal([]int64{1}))
	_, err = tab.Commit(ctx, []services.Write{{Key: "a", IfVersion: 1, Delete: true}})
	g.Expect(err).NotTo(HaveOccurred())
	v, err = tab.Commit(ctx, []services.Write{{Key: "a", Value: []byte("2")}})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(v).To(Equal([]int64{2}))
}

// A transaction with one false condition must write nothing.
func TestCommitIsAllOrNothing(t *testing.T) {
	g := NewWithT(t)
	ctx, tab := context.Background(), memtable.New()
	_, err := tab.Commit(ctx, []services.Write{{Key: "a", IfVersion: services.AnyVersion}, {Key: "b", IfVersion: 3, Check: true}})
	g.Expect(err).To(MatchError(services.ErrConflict))
	row, err := tab.Get(ctx, "a")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(row.Version).To(BeZero())
}

// The hook must separate a write that failed from one whose reply was lost.
func TestFaults(t *testing.T) {
	g := NewWithT(t)
	tab := memtable.New()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	refused := errors.New("refused")
	tab.SetHook(func(c memtable.Call) memtable.Fault {
		return map[string]memtable.Fault{
			"before": {ErrBefore: refused}, "lost": {LoseReply: true}, "slow": {Delay: time.Minute}, "slow reply": {DelayReply: time.Minute},
		}[c.Writes[0].Key]
	})
	put := func(key string) error {
		_, err := tab.Commit(ctx, []services.Write{{Key: key}})
		return err
	}
	g.Expect(put("before")).To(MatchError(refused))
	g.Expect(put("lost")).To(MatchError(memtable.ErrReplyLost))
	g.Expect(put("slow reply")).To(MatchError(context.DeadlineExceeded))
	g.Expect(put("slow")).To(MatchError(context.DeadlineExceeded))
	rows, err := tab.Direct().List(ctx, "", "", 0)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(rows).To(HaveLen(2))
	g.Expect(rows[0].Key).To(Equal("lost"))
	g.Expect(rows[1].Key).To(Equal("slow reply"))
}
