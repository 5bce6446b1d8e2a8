package quota

import (
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"samphirepoint/engine"
)

func cpu(n int64) engine.Resources { return engine.Resources{CPU: n} }

func demand(used, wanted, unit int64) engine.WorkspaceDemand {
	return engine.WorkspaceDemand{Used: cpu(used), Wanted: cpu(wanted), Placeable: cpu(wanted), Unit: cpu(unit)}
}

// Guards against allotments that add up to more than the cap, whatever the shards ask for and in whatever order they write.
func TestSharesNeverExceedTheCap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Int64Range(1, 1000).Draw(t, "cap")
		l := Ledger{Shares: map[string]Share{}}
		for range 60 {
			shard := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "shard")
			used := rapid.Int64Range(0, l.Shares[shard].Granted.CPU).Draw(t, "used")
			d := demand(used, used+rapid.Int64Range(0, 2000).Draw(t, "pending"), rapid.Int64Range(1, 300).Draw(t, "unit"))
			next, _ := l.Plan(shard, 1, cpu(limit), d, rapid.Int64Range(0, 9000).Draw(t, "time"))
			if next.Granted.CPU < used {
				t.Fatalf("%d in use, %d granted", used, next.Granted.CPU)
			}
			l.Shares[shard] = next
			if sum := l.sum().CPU; sum > limit {
				t.Fatalf("shares add up to %d of %d: %+v", sum, limit, l.Shares)
			}
		}
	})
}

// Guards against shards that keep more than their part while another one waits, and against a cap too small for one task in each shard, of which
// every shard holds a part in which nothing fits.
func TestShardsGiveBackWhatOthersLack(t *testing.T) {
	g := NewWithT(t)
	settle := func(limit int64, demands map[string]engine.WorkspaceDemand, wallMS int64) Ledger {
		l := Ledger{Shares: map[string]Share{"a": {Granted: cpu(limit)}}}
		for range 5 {
			for shard, d := range demands {
				l.Shares[shard], _ = l.Plan(shard, 1, cpu(limit), d, wallMS)
			}
		}
		return l
	}
	l := settle(900, map[string]engine.WorkspaceDemand{"a": demand(100, 900, 10), "b": demand(0, 900, 10), "c": demand(0, 100, 10)}, 0)
	g.Expect(l.Shares["a"].Granted.CPU).To(BeNumerically("~", 400, 50))
	g.Expect(l.Shares["b"].Granted.CPU).To(BeNumerically("~", 400, 50))
	g.Expect(l.Shares["c"].Granted.CPU).To(BeNumerically(">=", 100))
	small := map[string]engine.WorkspaceDemand{"a": demand(0, 900, 60), "b": demand(0, 900, 60)}
	for turn, first := range []string{"a", "b"} {
		g.Expect(settle(100, small, int64(turn)*turnMS).Shares[first].Granted.CPU).To(Equal(int64(100)), first)
	}
	g.Expect(settle(50, small, 0).Limit("a", cpu(50)).First.CPU).To(Equal(int64(engine.Unlimited)), "a task larger than the cap runs alone")
}

// Guards against starts beyond a cap that was lowered, before each shard has written its smaller share, and against shards that then don't get
// their parts within a few writes.
func TestLoweredCapHoldsAtOnce(t *testing.T) {
	g := NewWithT(t)
	l := Ledger{Shares: map[string]Share{"a": {Granted: cpu(600)}, "b": {Granted: cpu(250)}}}
	g.Expect(l.Limit("a", cpu(300)).Limit.CPU).To(Equal(int64(50)), "b may have 250 running")
	g.Expect(l.Limit("b", cpu(300)).Limit).To(Equal(engine.Resources{CPU: 0, Mem: engine.Unlimited, GPU: engine.Unlimited}))
	next, changed := l.Plan("a", 1, cpu(300), demand(450, 900, 10), 0)
	g.Expect(changed).To(BeTrue())
	g.Expect(next.Granted.CPU).To(Equal(int64(450)), "what runs keeps its share")
	g.Expect(l.Limit("a", engine.Resources{}).Limit.CPU).To(Equal(int64(engine.Unlimited)), "no cap any more")
	for range 3 {
		for _, shard := range []string{"a", "b"} {
			l.Shares[shard], _ = l.Plan(shard, 1, cpu(300), demand(0, 900, 10), 0)
		}
	}
	g.Expect(l.Limit("a", cpu(300)).Limit.CPU).To(BeNumerically(">", 120))
	g.Expect(l.Limit("b", cpu(300)).Limit.CPU).To(BeNumerically(">", 120))
}
