package quota

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"samphirepoint/engine"
)

// Guards against one task in each shard at once, in the moment of a turn in which the former shard has given everything back and the next one has
// not taken it yet.
func TestNobodyRunsAloneWithoutAShare(t *testing.T) {
	g := NewWithT(t)
	l := Ledger{Shares: map[string]Share{"a": {Wanted: cpu(80), Unit: cpu(80)}, "b": {Wanted: cpu(80), Unit: cpu(80)}}}
	g.Expect(l.Limit("a", cpu(100)).First.CPU).To(BeZero())
	g.Expect(l.Limit("b", cpu(100)).First.CPU).To(BeZero())
}

// Guards against a task larger than the cap in one resource that never runs, since other shards hold parts of another resource.
func TestTaskLargerThanTheCapOfOneResourceRuns(t *testing.T) {
	g := NewWithT(t)
	limit := engine.Resources{CPU: 50, Mem: 1000}
	task := engine.Resources{CPU: 60, Mem: 10}
	d := engine.WorkspaceDemand{Wanted: task, Placeable: task, Unit: task}
	l := Ledger{Shares: map[string]Share{}}
	for range 5 {
		for _, shard := range []string{"a", "b"} {
			l.Shares[shard], _ = l.Plan(shard, 1, limit, d, 0)
		}
	}
	g.Expect(l.Limit("a", limit).First.Covers(d.Unit)).To(BeTrue())
	g.Expect(l.Limit("b", limit).First.Covers(d.Unit)).To(BeFalse())
}

// Guards against starts after a cap was lowered, or added, in a shard whose tasks have ended while those of another one still use more than the cap.
func TestLoweredCapCountsWhatOthersRun(t *testing.T) {
	g := NewWithT(t)
	l := Ledger{Shares: map[string]Share{"a": {Granted: cpu(600)}, "b": {Granted: cpu(300)}}}
	for range 4 {
		l.Shares["b"], _ = l.Plan("b", 1, cpu(300), demand(300, 300, 0), 0)
		l.Shares["a"], _ = l.Plan("a", 1, cpu(300), demand(0, 900, 10), 0)
		g.Expect(l.Limit("a", cpu(300)).Limit.CPU).To(BeZero(), "b runs as much as the cap")
	}
	added := Ledger{Shares: map[string]Share{}}
	for _, shard := range []string{"a", "b"} {
		added.Shares[shard], _ = added.Plan(shard, 1, cpu(100), demand(500, 500, 10), 0)
	}
	g.Expect(added.Limit("a", cpu(100)).Limit.CPU).To(BeZero(), "b runs more than the cap")
}

// Guards against the use of a share that a write without an answer may yet lower, after a second one without an answer that would keep it.
func TestEveryWriteWithoutAnAnswerCounts(t *testing.T) {
	g := NewWithT(t)
	k := NewKeeper(Settings{Log: zerolog.Nop()})
	base := storedLedger{Ledger: Ledger{Shares: map[string]Share{"a": {Token: 1, Granted: cpu(50)}}}, ver: 5}
	k.ledgers["w"] = base
	for _, granted := range []int64{20, 50} {
		k.noteUnresolved("a", map[string][]change{"0": {{workspace: "w", base: base, share: Share{Token: 1, Granted: cpu(granted)}, uncertain: true}}})
	}
	g.Expect(k.allotments("a", 1, map[string]engine.Resources{"w": cpu(50)})["w"].Limit.CPU).To(Equal(int64(20)))
}

// Guards against shards that keep a cap for work that their full workers can't run, while another shard with free workers lacks it. The workspace
// would use less than half of its cap beside waiting jobs.
func TestFullPoolsHoldNoShareThatOthersCanUse(t *testing.T) {
	g := NewWithT(t)
	full := engine.WorkspaceDemand{Used: cpu(20), Wanted: cpu(900), Placeable: cpu(30), Unit: cpu(10)}
	l := Ledger{Shares: map[string]Share{"a": {Granted: cpu(300)}, "b": {Granted: cpu(300)}, "c": {Granted: cpu(300)}}}
	for range 4 {
		l.Shares["a"], _ = l.Plan("a", 1, cpu(900), full, 0)
		l.Shares["b"], _ = l.Plan("b", 1, cpu(900), full, 0)
		l.Shares["c"], _ = l.Plan("c", 1, cpu(900), demand(300, 900, 10), 0)
	}
	g.Expect(l.Shares["c"].Granted.CPU).To(BeNumerically(">", 800))
	g.Expect(l.Shares["a"].Granted.CPU).To(BeNumerically(">=", 30))
}

// Guards against a shard that has got what it asked for and lacks one task more, of which the others don't learn: its next job would wait for the
// end of the first one beside an unused cap.
func TestLackOfOneMoreTaskIsPublished(t *testing.T) {
	g := NewWithT(t)
	l := Ledger{Shares: map[string]Share{"a": {Granted: cpu(980)}, "b": {Granted: cpu(20), Wanted: cpu(20), Unit: cpu(20)}}}
	for range 2 {
		l.Shares["b"], _ = l.Plan("b", 1, cpu(1000), demand(20, 40, 20), 0)
		l.Shares["a"], _ = l.Plan("a", 1, cpu(1000), demand(200, 400, 20), 0)
	}
	l.Shares["b"], _ = l.Plan("b", 1, cpu(1000), demand(20, 40, 20), 0)
	g.Expect(l.Shares["b"].Granted.CPU).To(BeNumerically(">=", 40))
}

// Guards against a transaction beyond the store's limit of 1 MB: many workspaces, each with a share in many shards, that all change at once, as after a
// takeover. It would be refused forever. Each workspace has to get its turn.
func TestTransactionsStayBelowTheLimitOfTheStore(t *testing.T) {
	g := NewWithT(t)
	now := time.Hour
	k := NewKeeper(Settings{Owners: func() int { return 1 }, Shards: func() map[string]Shard { return nil }, Now: func() time.Duration { return now }, Log: zerolog.Nop()})
	caps := map[string]engine.Resources{}
	shares := map[string]Share{}
	for i := range 150 {
		amount := engine.Resources{CPU: 1_000_000, Mem: 1_000_000}
		shares[fmt.Sprintf("some-pool-%03d.00", i)] = Share{Token: 1000, Granted: amount, Wanted: amount, Unit: amount}
	}
	encoded, err := json.Marshal(Ledger{Shares: shares})
	g.Expect(err).NotTo(HaveOccurred())
	for i := range 210 {
		name := fmt.Sprintf("workspace-%03d", i)
		caps[name] = engine.Resources{CPU: 1_000_000_000, Mem: 1_000_000_000}
		k.ledgers[name] = storedLedger{Ledger: Ledger{Shares: shares}, ver: 9, bytes: len(encoded)}
	}
	planned := map[string]bool{}
	for range 60 {
		now += time.Second
		for _, batch := range k.plan("some-pool-000.00", 1001, caps, nil) {
			g.Expect(len(batch) * len(encoded)).To(BeNumerically("<", 500<<10))
			for _, c := range batch {
				planned[c.workspace] = true
			}
		}
	}
	g.Expect(planned).To(HaveLen(210))
}

// Guards against a shard that has to wait until the other shards of its daemon, which always have something to write, leave it the interval.
func TestEachShardOfADaemonHasItsOwnInterval(t *testing.T) {
	g := NewWithT(t)
	k := NewKeeper(Settings{Owners: func() int { return 1 }, Shards: func() map[string]Shard { return nil }, Now: func() time.Duration { return time.Hour }, Log: zerolog.Nop()})
	caps := map[string]engine.Resources{"w": cpu(100)}
	demands := map[string]engine.WorkspaceDemand{"w": demand(0, 20, 10)}
	for _, shard := range []string{"a", "b"} {
		g.Expect(k.plan(shard, 1, caps, demands)).NotTo(BeEmpty(), shard)
		g.Expect(k.plan(shard, 1, caps, demands)).To(BeEmpty(), shard)
	}
}
