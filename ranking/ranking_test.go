package ranking

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// Guards against jobs of two steps that start too late in a full pool, and against a margin that costs a job its rank where there is room.
func TestRank(t *testing.T) {
	const s = time.Second
	for _, c := range []struct {
		t    Timing
		want Rank
	}{
		{Timing{Deadline: 4 * s, Objective: 4 * s, Remaining: 2 * s}, OnTime},
		{Timing{Now: 2 * s, Deadline: 4 * s, Objective: 4 * s, Remaining: 2 * s}, OnTime},
		{Timing{Now: 2 * s, Deadline: 4 * s, Objective: 4 * s, Remaining: 2 * s, Full: true}, Late},
		{Timing{Now: 2 * s, Deadline: 4 * s, Objective: 4 * s, Remaining: 2 * s, Full: true, Begun: true}, OnTime},
		{Timing{Deadline: 4 * s, Objective: 4 * s, Remaining: 2 * s, Full: true, Setup: 9 * s}, OnTime},
		{Timing{Deadline: 2 * s, Objective: 2 * s, Remaining: 2 * s, Full: true, Setup: 9 * s}, OnTime},
		{Timing{Now: 10 * s, Deadline: 4 * s, Objective: 4 * s, Remaining: 2 * s}, Late},
		{Timing{Now: 11 * s, Deadline: 4 * s, Objective: 4 * s, Remaining: 2 * s}, Worthless},
	} {
		NewWithT(t).Expect(c.t.Rank()).To(Equal(c.want), fmt.Sprintf("%+v", c.t))
	}
}

func anyKey(r *rapid.T) Key {
	n := rapid.IntRange(0, 2)
	return Key{
		Starved: rapid.Bool().Draw(r, "starved"), Rank: Rank(n.Draw(r, "rank")), BeyondShare: rapid.Bool().Draw(r, "beyond"), Priority: n.Draw(r, "priority"),
		WorkspacePriority: n.Draw(r, "workspace"), Begun: rapid.Bool().Draw(r, "begun"), Deadline: time.Duration(n.Draw(r, "deadline")),
	}
}

// Guards against keys that don't order, so that the order of work depends on that of arrival.
func TestCompareIsAnOrder(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		g := NewWithT(t)
		a, b, c := anyKey(r), anyKey(r), anyKey(r)
		g.Expect(Compare(&a, &b)).To(Equal(-Compare(&b, &a)))
		g.Expect(Compare(&a, &b) == 0).To(Equal(a == b))
		if Compare(&a, &b) <= 0 && Compare(&b, &c) <= 0 {
			g.Expect(Compare(&a, &c)).To(BeNumerically("<=", 0))
		}
	})
}

// Guards against a lone workspace that counts as beyond its share, and against a round in which all that wait do.
func TestSomeWaitingWorkspaceIsWithinItsShare(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var s Shares
		weights := map[string]float64{}
		waiting := rapid.IntRange(1, 5).Draw(r, "waiting")
		for i := range 6 {
			name := fmt.Sprint(i)
			weights[name] = rapid.Float64Range(0.1, 50).Draw(r, "weight")
			s.Add(name, rapid.Int64Range(0, 100_000).Draw(r, "running"))
		}
		s.Begin(time.Second, func(name string) float64 { return weights[name] })
		within := 0
		for i := range waiting {
			s.Account(fmt.Sprint(i)).Wait()
		}
		for i := range waiting {
			if !s.Account(fmt.Sprint(i)).Beyond() {
				within++
			}
		}
		NewWithT(t).Expect(within).To(BeNumerically(">", 0))
	})
}

// Guards against a hot workspace that counts as within its share for seconds, because only its past is counted, or again as soon as its runs end.
func TestHotWorkspaceIsBeyondItsShareAtOnce(t *testing.T) {
	g := NewWithT(t)
	var s Shares
	now := time.Duration(0)
	hotIsBeyond := func() bool {
		now += 50 * time.Millisecond
		s.Begin(now, func(string) float64 { return 1 })
		s.Account("usual").Wait()
		s.Account("hot").Wait()
		g.Expect(s.Account("usual").Beyond() && s.Account("hot").Beyond()).To(BeFalse())
		return s.Account("hot").Beyond()
	}
	s.Add("usual", 60_000)
	for range 100 {
		g.Expect(hotIsBeyond()).To(BeFalse())
	}
	s.Add("hot", 196_000)
	for range 40 {
		g.Expect(hotIsBeyond()).To(BeTrue())
	}
	s.Add("hot", -196_000)
	g.Expect(hotIsBeyond()).To(BeTrue())
	for range 100 {
		hotIsBeyond()
	}
	g.Expect(hotIsBeyond()).To(BeFalse())
}

// Guards against refusing a job in favour of work that goes after it, and against accepting one without value.
func TestRefuse(t *testing.T) {
	g := NewWithT(t)
	var s Shares
	s.Add("hot", 90_000)
	s.Begin(0, func(string) float64 { return 1 })
	q := Queue{Throughput: 1000, MaxDrain: 10 * time.Second}
	q.Add(Key{Deadline: time.Second}, s.Account("hot"), 3_000_000)
	job := Timing{Deadline: 2 * time.Second, Objective: 2 * time.Second, Remaining: time.Second, Full: true}
	decide := func(workspace string, priority int, t Timing) string {
		r, refused := q.Refuse(Key{Priority: priority, Deadline: t.Deadline}, s.Account(workspace), t)
		g.Expect(refused).To(Equal(r.RetryAfter > 0))
		return fmt.Sprint(r.Reason, " ", r.RetryAfter)
	}
	g.Expect(decide("usual", 1, job)).To(Equal(" 0s"), "the hot workspace's work goes after it")
	g.Expect(decide("hot", 0, job)).To(Equal("beyond_share 2.5s"), "until the job is on time with a margin")
	q.Add(Key{Deadline: time.Second}, s.Account("usual"), 2_000_000)
	g.Expect(decide("usual", 0, job)).To(Equal(" 0s"), "it is late, but has value")
	g.Expect(decide("usual", 0, Timing{Deadline: time.Second, Objective: time.Second, Remaining: time.Second})).To(Equal("no_value 2s"))
	q.Add(Key{Rank: Worthless}, s.Account("usual"), 4_000_000)
	g.Expect(decide("usual", 0, job)).To(Equal("backlog 1.5s"))
}
