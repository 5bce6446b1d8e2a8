package shard

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"samphirepoint/rows"
	"samphirepoint/rows/memrows"
)

// Guards against a shard that gets far more jobs than the others.
func TestJobsSpreadEvenly(t *testing.T) {
	g := NewWithT(t)
	l := NewLayout(map[string]int{"pumps": 4})
	jobs := map[string]int{}
	for k := range 4000 {
		j, _ := l.OfJob("pumps", fmt.Sprintf("%016x", k))
		jobs[j]++
	}
	for n, name := range l.Names("pumps") {
		g.Expect(jobs[name]).To(BeNumerically("~", 1000, 100), "jobs of %s", name)
		g.Expect(l.PoolOf(name)).To(Equal("pumps"))
		number, _ := l.Number(name)
		g.Expect(number).To(Equal(n))
	}
}

// Guards against a shard without workers, or without workers of a kind, while others have several.
func TestWorkersAreAssignedEvenly(t *testing.T) {
	g := NewWithT(t)
	list := []Candidate{{ID: "a-0", Kind: "a", CPU: 8000, Shard: 0}, {ID: "a-1", Kind: "a", CPU: 8000, Shard: 0}, {ID: "a-2", Kind: "a", CPU: 8000, Shard: 2}}
	for _, id := range []string{"a-3", "a-4", "a-5"} {
		list = append(list, Candidate{ID: id, Kind: "a", CPU: 8000, Shard: Unassigned})
	}
	for _, id := range []string{"b-0", "b-1", "b-2"} {
		list = append(list, Candidate{ID: id, Kind: "b", CPU: 4000, Shard: Unassigned})
	}
	chosen := Balance(list, 3)
	g.Expect(chosen).To(HaveLen(6))
	count := map[string]int{"a0": 2, "a2": 1}
	for id, k := range chosen {
		count[fmt.Sprintf("%c%d", id[0], k)]++
	}
	g.Expect(count).To(Equal(map[string]int{"a0": 2, "a1": 2, "a2": 2, "b0": 1, "b1": 1, "b2": 1}))
}

// Guards against two owners of one worker: two daemons assign it at the same time, and the history of the assignments has a gap.
func TestWorkerKeepsItsShard(t *testing.T) {
	g := NewWithT(t)
	store, l := memrows.New(), NewLayout(map[string]int{"pumps": 3, "whole": 1})
	a, b := &Assignments{Store: store}, &Assignments{Store: store}
	for _, x := range []*Assignments{a, b} {
		_, err := x.Refresh(t.Context(), l, 0)
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(a.Assign(t.Context(), "pumps", map[string]int{"i-1": 1})).To(Succeed())
	g.Expect(b.Assign(t.Context(), "pumps", map[string]int{"i-1": 2, "i-2": 2})).To(Succeed())
	fresh := &Assignments{Store: store}
	g.Expect(fresh.Known(l, "pumps")).To(BeFalse())
	_, err := fresh.Refresh(t.Context(), l, 0)
	g.Expect(err).NotTo(HaveOccurred())
	for _, x := range []*Assignments{a, b, fresh} {
		name, ok := x.Of(l, "pumps", "i-1")
		g.Expect(ok).To(BeTrue())
		g.Expect(name).To(Equal("pumps#1"))
		_, ok = x.Of(l, "pumps", "i-2")
		g.Expect(ok).To(BeFalse(), "the whole transaction failed")
	}
	g.Expect(a.Remove(t.Context(), "pumps", []string{"i-1"})).To(Succeed())
	_, err = fresh.Refresh(t.Context(), l, 0)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(fresh.Assigned("pumps")).To(BeEmpty())
}

// Guards against a pool whose stored jobs are not found any more once pools can have shards.
func TestUndividedPoolKeepsItsName(t *testing.T) {
	g := NewWithT(t)
	l := NewLayout(map[string]int{"pumps": 1})
	g.Expect(l.Names("pumps", "unknown")).To(Equal([]string{"pumps"}))
	name, ok := l.OfJob("pumps", "5c0e7a21d94b36f8")
	g.Expect(ok).To(BeTrue())
	g.Expect(name).To(Equal("pumps"))
	_, ok = l.OfJob("unknown", "5c0e7a21d94b36f8")
	g.Expect(ok).To(BeFalse(), "a job must not be sent to a shard that may be another one later")
}

// Guards against small pools that are divided without need, and against shards that are too large for their owners' machines or have
// no worker of a kind.
func TestChoose(t *testing.T) {
	strong, weak := []float64{0.8, 0.8, 0.8, 0.8, 0.2, 0.2, 0.2, 0.2}, []float64{0.2, 0.2, 0.2, 0.2}
	for _, c := range []struct {
		name  string
		size  Size
		cores []float64
		want  int
	}{
		{"small pool", Size{Workers: 12}, strong, 1},
		{"large pool, strong machines", Size{Workers: 266}, strong, 5},
		{"large pool, weak machines", Size{Workers: 266}, weak, 20},
		{"no machine known", Size{Workers: 266}, nil, 4},
		{"cores unknown", Size{Workers: 266}, []float64{0, 0}, 4},
		{"rare kind", Size{Workers: 266, Kinds: map[string]int{"a": 250, "gpu:": 17}}, strong, 2},
		{"single worker of a kind", Size{Workers: 266, Kinds: map[string]int{"gpu:": 1}}, strong, 1},
		{"empty pool", Size{}, strong, 1},
		{"huge pool", Size{Workers: 100000}, weak, maxCount},
	} {
		t.Run(c.name, func(t *testing.T) { NewWithT(t).Expect(Choose(c.size, c.cores, 4)).To(Equal(c.want)) })
	}
}

// Guards against a number of shards that changes while jobs are stored under the old one.
func TestNumberOfShardsIsStoredOnce(t *testing.T) {
	g := NewWithT(t)
	store := memrows.New()
	g.Expect(Create(t.Context(), store, "pumps", 4)).To(Succeed())
	g.Expect(Create(t.Context(), store, "pumps", 2)).To(Succeed())
	_, err := store.Transact(t.Context(), rows.Tx{Writes: []rows.Write{{Key: key("broken"), Value: []byte("?")}, {Key: key("none"), Value: []byte(`{"n":0}`)}}})
	g.Expect(err).NotTo(HaveOccurred())
	l, err := Read(t.Context(), store)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(l.Count("pumps")).To(Equal(4))
	g.Expect(l.Names("broken", "none")).To(BeEmpty())
}

// forgetfulStore has no history, so that each refresh reads all rows.
type forgetfulStore struct{ *memrows.Store }

func (forgetfulStore) Watch(context.Context, string, int64, time.Duration) ([]rows.Row, int64, error) {
	return nil, 0, rows.ErrHistoryGone
}

// Guards against an owner that takes all its workers for gone while the assignments are read again after a gap in the history.
func TestAssignmentsAreKnownWhileTheyAreReadAgain(t *testing.T) {
	g := NewWithT(t)
	l := NewLayout(map[string]int{"pumps": 2})
	a := &Assignments{Store: forgetfulStore{memrows.New()}}
	g.Expect(a.Assign(t.Context(), "pumps", map[string]int{"i-1": 1})).To(Succeed())
	_, err := a.Refresh(t.Context(), l, 0)
	g.Expect(err).NotTo(HaveOccurred())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 20000 {
			_, _ = a.Refresh(t.Context(), l, 0)
		}
	}()
	for {
		_, ok := a.Of(l, "pumps", "i-1")
		g.Expect(ok).To(BeTrue())
		select {
		case <-done:
			return
		default:
		}
	}
}
