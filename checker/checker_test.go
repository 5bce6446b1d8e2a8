package checker_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"samphirepoint/checker"
	"samphirepoint/load"
	"samphirepoint/services"
	"samphirepoint/standin/platformd"
	"samphirepoint/standin/workerd"
)

var t0 = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func at(seconds float64) time.Time { return t0.Add(time.Duration(seconds * float64(time.Second))) }

func event(seconds float64, kind workerd.Kind, worker, id string) workerd.Event {
	return workerd.Event{Time: at(seconds), Kind: kind, Worker: worker, RunID: "run-" + id, RequestID: id, Attempt: "1", Idempotent: true,
		Backer: "a", Queue: "q", Pool: "p"}
}

func run(from, to float64, worker, id, key string) []workerd.Event {
	start, end := event(from, workerd.Start, worker, id), event(to, workerd.End, worker, id)
	start.Key, end.Key = key, key
	start.Idempotent, end.Idempotent = key == "", key == ""
	end.Outcome = workerd.Done
	return []workerd.Event{start, end}
}

func answeredRecord(id, key string, sent, ended float64) load.Record {
	return load.Record{RequestID: id, Key: key, Idempotent: key == "", Backer: "a", Queue: "q", Entry: "e1", Sent: at(sent), Ended: at(ended),
		Status: 200, Verdict: "ran", WantPayload: `"x"`, Hash: "h", ClaimedHash: "h",
		Result: &workerd.Result{RunID: "run-" + id, RequestID: id, Payload: []byte(`"x"`)}}
}

// faultlessRun returns the evidence of a run without faults that exercises each property.
func faultlessRun() *checker.Input {
	in := &checker.Input{
		Records: []load.Record{answeredRecord("r1", "", 1, 2), answeredRecord("r2", "k2", 1, 2),
			{RequestID: "r3", Idempotent: true, Sent: at(1), Ended: at(1.1), Entry: "e1", Status: 503, Verdict: "not-run"}},
		Journal: append(run(1.1, 1.9, "w1", "r1", ""), run(1.2, 1.8, "w1", "r2", "k2")...),
		Pools: []checker.PoolSample{
			{Time: at(0), Instance: "w1", Address: "1:1", Pool: "p", State: "serving"},
			{Time: at(0), Instance: "w2", Address: "1:2", Pool: "p", State: "serving"},
			{Time: at(20), Instance: "w1", Address: "1:1", Pool: "p", State: "draining"},
			{Time: at(25), Instance: "w1", Address: "1:1", Pool: "other", State: "serving"},
		},
		Budgets: []checker.Budget{{Pool: "p", From: at(0), MaxUnavailable: 1}},
		Versions: []checker.VersionSample{{Time: at(0), Entry: "e1", Version: 1, Serving: true}, {Time: at(6), Entry: "e1", Version: 1, Serving: true},
			{Time: at(8), Entry: "e1", Version: 2, Serving: true}, {Time: at(20), Entry: "e1", Version: 2, Serving: true}},
		Accepted:  []checker.Acceptance{{Time: at(1.5), Version: 2}},
		Leaving:   []checker.LeavingSpan{{Worker: "w1", From: at(20), To: at(25)}},
		Shutdowns: []checker.Shutdown{{Entry: "e1", Begin: at(1.5), End: at(3)}},
	}
	return in
}

// Guards against a checker that reports violations in a run without faults, or that checks nothing without reporting
// a gap for each property.
func TestFaultlessRunPasses(t *testing.T) {
	g := NewWithT(t)
	r := checker.Check(*faultlessRun())
	g.Expect(r.Violations).To(BeEmpty(), r.String())
	g.Expect(r.Gaps).To(BeEmpty())
	empty := checker.Check(checker.Input{})
	g.Expect(empty.Gaps).To(HaveLen(8))
}

// Guards against a fault that goes undetected or is attributed to the wrong property: each case adds one fault to the
// faultless run.
func TestFaultsAreDetected(t *testing.T) {
	cases := []struct {
		name     string
		property checker.Property
		inject   func(*checker.Input)
	}{
		{"more instances unavailable than the budget allows", checker.P1, func(in *checker.Input) {
			in.Pools = append(in.Pools, checker.PoolSample{Time: at(30), Instance: "w1", Address: "1:1", Pool: "p", State: "failed"},
				checker.PoolSample{Time: at(31), Instance: "w2", Address: "1:2", Pool: "p", State: "draining"})
		}},
		{"backer starved while its work waits", checker.P1, func(in *checker.Input) { starve(in, 0.5) }},
		{"worker works for two pools at once", checker.P2, func(in *checker.Input) {
			in.Pools = nil
			in.Budgets = nil
			in.Journal[2].Pool = "other"
		}},
		{"work starts for a pool that the row does not name", checker.P2, func(in *checker.Input) {
			in.Journal = append(in.Journal, run(26, 27, "w1", "r9", "")...)
		}},
		{"one address in two pools", checker.P2, func(in *checker.Input) {
			in.Pools = append(in.Pools, checker.PoolSample{Time: at(30), Instance: "w9", Address: "1:2", Pool: "other", State: "serving"})
		}},
		{"answer to another request", checker.P3, func(in *checker.Input) { in.Records[0].Result.Payload = []byte(`"y"`) }},
		{"error answer of another request", checker.P3, func(in *checker.Input) {
			in.Records[0].Status, in.Records[0].Result.Payload = 500, []byte(`"y"`)
		}},
		{"truncated answer accepted", checker.P3, func(in *checker.Input) { in.Records[0].Result = nil }},
		{"truncated padding", checker.P3, func(in *checker.Input) { in.Records[0].WantPadding = 10 }},
		{"hash does not match", checker.P3, func(in *checker.Input) { in.Records[0].Hash = "other" }},
		{"answer of a run that failed", checker.P3, func(in *checker.Input) { in.Journal[1].Outcome = workerd.Failed }},
		{"verdict ran without a start", checker.P3, func(in *checker.Input) { in.Records[2].Verdict = "ran" }},
		{"rejected as not run but ran", checker.P4, func(in *checker.Input) { in.Journal = append(in.Journal, run(2, 3, "w2", "r3", "")...) }},
		{"key ran twice", checker.P5, func(in *checker.Input) { in.Journal = append(in.Journal, run(4, 5, "w2", "r2b", "k2")...) }},
		{"ran twice without the mark", checker.P5, func(in *checker.Input) {
			in.Journal = append(in.Journal, run(4, 5, "w2", "r2", "")...)
			in.Records[1].Result.RunID = "run-r2"
		}},
		{"start on a leaving worker", checker.P6, func(in *checker.Input) {
			in.Journal = append(in.Journal, run(23.1, 24, "w1", "r9", "")...)
		}},
		{"work sent to a leaving worker that refuses", checker.P6, func(in *checker.Input) {
			in.Leaving = nil
			in.Journal = append(in.Journal, event(20, workerd.Leaving, "w1", ""), event(24, workerd.Refused, "w1", "r9"), event(25, workerd.Available, "w1", ""))
		}},
		{"request interrupted by a shutdown", checker.P7, func(in *checker.Input) {
			in.Records[0].ErrKind, in.Records[0].Status, in.Records[0].Result = load.ErrBroken, 0, nil
		}},
		{"outcome lost by the shutdown of another entry", checker.P7, func(in *checker.Input) {
			in.Shutdowns[0].Entry, in.Shutdowns[0].Exclusive = "e2", true
			in.Records[0].Status, in.Records[0].Verdict = 502, "may-have-run"
		}},
		{"work lost in a planned reboot", checker.P7, func(in *checker.Input) {
			lost := run(22, 24, "w1", "r9", "")
			lost[1].Outcome = workerd.Lost
			in.Journal = append(in.Journal, lost...)
		}},
		{"entry returns to an earlier version", checker.P8, func(in *checker.Input) {
			in.Accepted = nil
			in.Versions = append(in.Versions, checker.VersionSample{Time: at(21), Entry: "e1", Version: 1, Serving: true})
		}},
		{"version not in force in time", checker.P8, func(in *checker.Input) {
			in.Versions[2] = checker.VersionSample{Time: at(8.6), Entry: "e1", Version: 1, Serving: true}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			in := faultlessRun()
			c.inject(in)
			r := checker.Check(*in)
			g.Expect(r.Violations).NotTo(BeEmpty())
			for _, v := range r.Violations {
				g.Expect(v.Property).To(Equal(c.property), v.Message)
			}
		})
	}
}

// starve adds two backers whose work waits all the time; the second one gets the given number of the 8 slots.
func starve(in *checker.Input, slots float64) {
	in.Shares = map[string]checker.Share{"a": {Weight: 1}, "b": {Weight: 1}}
	const runTime = 0.25
	add := func(backer string, n int, t float64) {
		for i := range n {
			id := fmt.Sprintf("%s-%v-%d", backer, t, i)
			events := run(100+t, 100+t+runTime-0.01, "w2", id, "")
			r := answeredRecord(id, "", 100+t-1, 100+t+runTime)
			events[0].Backer, events[1].Backer, r.Backer = backer, backer, backer
			in.Journal, in.Records = append(in.Journal, events...), append(in.Records, r)
		}
	}
	credit := 0.0
	for t := 0.0; t < 20; t += runTime {
		credit += slots
		n := int(credit)
		credit -= float64(n)
		add("b", n, t)
		add("a", 8-n, t)
	}
}

// Guards against reporting an equal division of a full pool as unfair, which would fail every busy run.
func TestFairShareIsAccepted(t *testing.T) {
	g := NewWithT(t)
	in := faultlessRun()
	before := checker.Check(*in).Checked[checker.P1]
	starve(in, 4)
	r := checker.Check(*in)
	g.Expect(r.Violations).To(BeEmpty(), r.String())
	g.Expect(r.Checked[checker.P1]).To(BeNumerically(">", before))
}

// Guards against reporting failures that exceed the budget on their own: only planned steps must keep within it.
func TestFailuresAloneMayExceedTheBudget(t *testing.T) {
	g := NewWithT(t)
	in := faultlessRun()
	in.Pools = append(in.Pools, checker.PoolSample{Time: at(30), Instance: "w1", Address: "1:1", Pool: "p", State: "failed"},
		checker.PoolSample{Time: at(31), Instance: "w2", Address: "1:2", Pool: "p", State: "failed"})
	g.Expect(checker.Check(*in).Violations).To(BeEmpty())
}

// Guards against reporting a stale entry that admits nothing, or an entry that was not sampled, as a violation; the
// second must be reported as a gap.
func TestStaleAndUnsampledEntries(t *testing.T) {
	g := NewWithT(t)
	in := faultlessRun()
	in.Versions = append(in.Versions, checker.VersionSample{Time: at(21), Entry: "e2", Version: 1},
		checker.VersionSample{Time: at(3), Entry: "e3", Version: 1, Serving: true})
	r := checker.Check(*in)
	g.Expect(r.Violations).To(BeEmpty())
	g.Expect(r.Gaps).To(HaveLen(1))
}

// Guards against instance rows or their deletion being missed in the platform's history.
func TestPoolSamples(t *testing.T) {
	g := NewWithT(t)
	samples, err := checker.PoolSamples([]platformd.Change{
		{Time: at(0), Row: services.Row{Key: "instances/w1", Version: 1, Value: []byte(`{"pool":"p","state":"serving","address":"1:1"}`)}},
		{Time: at(1), Row: services.Row{Key: "claims/x", Version: 1}},
		{Time: at(2), Row: services.Row{Key: "instances/w1"}},
	})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(samples).To(Equal([]checker.PoolSample{{Time: at(0), Instance: "w1", Address: "1:1", Pool: "p", State: "serving"},
		{Time: at(2), Instance: "w1", Deleted: true}}))
}
