package report_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"samphirepoint/checker"
	"samphirepoint/load"
	"samphirepoint/report"
	"samphirepoint/standin/workerd"
)

var t0 = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func at(seconds float64) time.Time { return t0.Add(time.Duration(seconds * float64(time.Second))) }

// add adds a request that is sent, starts and ends at the given seconds to the evidence.
func add(in *report.Input, worker, pool string, sent, start, end float64) {
	id := fmt.Sprint("r", len(in.Records))
	e := workerd.Event{Worker: worker, RunID: id, RequestID: id, Pool: pool}
	e.Kind, e.Time = workerd.Start, at(start)
	in.Journal = append(in.Journal, e)
	e.Kind, e.Time = workerd.End, at(end)
	in.Journal = append(in.Journal, e)
	in.Records = append(in.Records, load.Record{Arrival: len(in.Records), RequestID: id, Sent: at(sent), Ended: at(end), Status: 200, Long: end-start >= 1})
}

func base() report.Input {
	return report.Input{Policy: "fixed", Deployment: "test", Seed: 1, From: at(0), To: at(100), SparePools: []string{"s"},
		Workers: []report.Worker{{"w1", "p", 2}, {"w2", "s", 2}}}
}

// Guards against idle time that ignores busy slots or continues after a worker has left the spare pool, so that moved spare
// capacity would appear free or count twice.
func TestSpareAndMoves(t *testing.T) {
	g := NewWithT(t)
	in := base()
	add(&in, "w2", "s", 10, 10, 20)
	m := report.Measure(in)
	g.Expect(m.Spare.IdleWorkerSeconds).To(BeNumerically("~", 95, 1e-6))
	g.Expect(m.Spare.Share).To(BeNumerically("~", 0.475, 1e-6))
	in.Pools = []checker.PoolSample{{Time: at(40), Instance: "w2", Pool: "s", State: "draining"}, {Time: at(50), Instance: "w2", Pool: "p", State: "serving"}}
	m = report.Measure(in)
	g.Expect(m.Spare.IdleWorkerSeconds).To(BeNumerically("~", 45, 1e-6))
	g.Expect(m.Moves.Count).To(Equal(1))
	g.Expect(m.Moves.PerHour).To(BeNumerically("~", 36, 1e-6))
}

// Guards against a rollout that ends before the slowest entry has the version, and against one that an entry never
// completes and that is missing from the measures.
func TestRollout(t *testing.T) {
	g := NewWithT(t)
	in := base()
	in.Accepted = []checker.Acceptance{{Time: at(10), Version: 2}, {Time: at(20), Version: 3}}
	for _, s := range []struct {
		entry   string
		seconds float64
		version int64
	}{{"e1", 9, 1}, {"e1", 10.5, 2}, {"e1", 21, 3}, {"e2", 9, 1}, {"e2", 12, 2}, {"e2", 30, 2}} {
		in.Versions = append(in.Versions, checker.VersionSample{Time: at(s.seconds), Entry: s.entry, Version: s.version, Serving: true})
	}
	in.Versions = append(in.Versions, checker.VersionSample{Time: at(60), Entry: "later", Version: 3, Serving: true},
		checker.VersionSample{Time: at(9), Entry: "ended", Version: 1, Serving: true})
	g.Expect(report.Measure(in).Rollout).To(Equal(report.Rollout{Changes: 2, P50: 2, Max: 2, Incomplete: 1}))
}

// Guards against confusing a wait behind long work with a wait behind other short work, in full pools and behind the head
// of a queue.
func TestBlocking(t *testing.T) {
	g := NewWithT(t)
	in := base()
	add(&in, "w1", "p", 0, 0, 10)
	add(&in, "w1", "p", 0, 0, 10)
	add(&in, "w1", "p", 2, 10, 10.5) // behind long work for 8 s
	m := report.Measure(in)
	g.Expect(m.Blocking).To(Equal(report.Wait{Count: 1, P50: 8000, P99: 8000, AboveSecond: 1}))

	in = base()
	add(&in, "w1", "p", 0, 0, 0.9)
	add(&in, "w1", "p", 0, 0, 0.9)
	add(&in, "w1", "p", 0.4, 0.9, 1.5) // behind short work
	m = report.Measure(in)
	g.Expect(m.Blocking.P99).To(BeZero())
	g.Expect(m.Wait.P99).To(BeNumerically("~", 500, 1e-6))

	in = base()
	add(&in, "w1", "p", 0, 5, 9)      // long work that waits although slots are free
	add(&in, "w1", "p", 1, 5, 5.5)    // behind it
	add(&in, "w1", "p", 20, 22, 22.5) // free slots and no long work: another cause
	in.Records = append(in.Records, load.Record{Arrival: 99, RequestID: "never", Status: 429})
	m = report.Measure(in)
	g.Expect(m.Blocking.P99).To(BeNumerically("~", 4000, 1e-6))
	g.Expect(m.Blocking.P50).To(BeZero())
	g.Expect(m.Wait.NeverStarted).To(Equal(1))
}

// Guards against a comparison without the spread, or over different seeds without a notice: both suggest differences
// between policies that may not exist.
func TestCompare(t *testing.T) {
	g := NewWithT(t)
	run := func(policy string, seed uint64, p99 float64) report.Measures {
		return report.Measures{Policy: policy, Deployment: "inzira", Seed: seed, Blocking: report.Wait{P99: p99}}
	}
	c := report.Compare([]report.Measures{run("a", 1, 10), run("a", 2, 30), run("b", 2, 5), run("b", 1, 7)})
	g.Expect(c).To(HaveLen(1))
	g.Expect(c[0].SameSeeds).To(BeTrue())
	s := c[0].Policies[0].Metrics["short behind long p99 ms"]
	g.Expect(s.Mean).To(Equal(20.0))
	g.Expect(s.Deviation).To(BeNumerically("~", 14.142, 0.001))
	g.Expect(c[0].String()).To(ContainSubstring("20.0 [10.0, 30.0]"))
	g.Expect(report.Compare([]report.Measures{run("a", 1, 1), run("b", 2, 1)})[0].SameSeeds).To(BeFalse())
}
