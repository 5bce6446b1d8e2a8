package membership

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return epoch.Add(d) }

func newMember(id string) Member {
	return Member{ID: id, Address: "10.0.0.1:1", Incarnation: 1, ConfigVersion: 1}
}

func newFleet(n int) (members []Member, pools []Pool) {
	for i := range n {
		members = append(members, newMember(fmt.Sprintf("entry-%d", i)))
	}
	for i := range 67 {
		pools = append(pools, Pool{Name: fmt.Sprintf("pool-%d", i)})
	}
	return members, pools
}

func drawMembers(t *rapid.T, label string) []Member {
	return rapid.SliceOfNDistinct(rapid.Custom(func(t *rapid.T) Member {
		m := newMember(rapid.StringMatching(`[a-z]{1,8}`).Draw(t, "id"))
		m.Region = rapid.SampledFrom([]string{"", "r1", "r2"}).Draw(t, "region")
		m.Leaving = rapid.IntRange(0, 5).Draw(t, "leaving") == 0
		return m
	}), 0, 12, func(m Member) string { return m.ID }).Draw(t, label)
}

// Guards against owners that depend on the order of members and pools, against more pools on one entry than the bound, and
// against pools that are assigned to a leaving entry or, without need, to another region.
func TestOwnersAreDeterministicAndBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		members := drawMembers(t, "members")
		var pools []Pool
		for i := range rapid.IntRange(0, 40).Draw(t, "pools") {
			pools = append(pools, Pool{Name: fmt.Sprint(i), Region: rapid.SampledFrom([]string{"", "r1", "r2"}).Draw(t, "region")})
		}
		owners := Owners(pools, members)
		g.Expect(Owners(rapid.Permutation(pools).Draw(t, "p"), rapid.Permutation(members).Draw(t, "m"))).To(Equal(owners))

		candidates := Candidates(members)
		if len(candidates) == 0 {
			g.Expect(owners).To(BeEmpty())
			return
		}
		g.Expect(owners).To(HaveLen(len(pools)))
		bound := (len(pools) + len(candidates) - 1) / len(candidates)
		load := map[string]int{}
		for _, m := range owners {
			g.Expect(m.Leaving).To(BeFalse())
			load[m.ID]++
			g.Expect(load[m.ID]).To(BeNumerically("<=", bound))
		}
		for _, p := range pools {
			for _, m := range candidates {
				if p.Region != "" && owners[p.Name].Region != p.Region && m.Region == p.Region {
					g.Expect(load[m.ID]).To(Equal(bound), "%s could own %s of its region", m.ID, p.Name)
				}
			}
		}
	})
}

// Guards against a reassignment of all pools when one entry joins or leaves: on average, at most twice the pools that one
// entry owns may move.
func TestFewPoolsMoveOnJoinAndLeave(t *testing.T) {
	g := NewWithT(t)
	for _, count := range []int{5, 67} {
		for _, entries := range []int{8, 16} {
			members, pools := newFleet(entries)
			pools = pools[:count]
			before := Owners(pools, members)
			total, worst := 0, 0
			for removed := range members {
				remaining := append(append([]Member{}, members[:removed]...), members[removed+1:]...)
				moved := 0
				for pool, m := range Owners(pools, remaining) {
					if before[pool].ID != m.ID {
						moved++
					}
				}
				total += moved
				worst = max(worst, moved)
			}
			mean := float64(total) / float64(entries)
			t.Logf("%d pools, %d <-> %d entries: mean %.1f pools move, worst %d", count, entries, entries-1, mean, worst)
			g.Expect(mean).To(BeNumerically("<=", 2*float64(count)/float64(entries)))
		}
	}
}

func drawReports(t *rapid.T, label string) []Report {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Report {
		small := rapid.Int64Range(0, 3)
		m := Member{ID: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id"), Address: "x"}
		m.Incarnation = small.Draw(t, "incarnation")
		m.Heartbeat = small.Draw(t, "heartbeat")
		m.ConfigVersion = small.Draw(t, "config")
		m.Leaving = rapid.Bool().Draw(t, "leaving")
		// The age follows from the heartbeat, as in a real fleet; reports of the same heartbeat differ by their delay.
		age := time.Duration(10-m.Heartbeat)*time.Second + time.Duration(rapid.IntRange(0, 500).Draw(t, "delay"))*time.Millisecond
		return Report{Member: m, Age: age}
	}), 0, 12).Draw(t, label)
}

// Guards against views that differ between entries that received the same reports in another order or twice, and
// against versions, heartbeats or leaving marks that an old message reverts.
func TestMergeIsCommutativeIdempotentAndNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		reports := drawReports(t, "reports")
		one := New(newMember("self"), epoch, Options{})
		for _, r := range reports {
			before := map[string]Member{}
			for _, m := range one.Reports(epoch) {
				before[m.ID] = m.Member
			}
			one.Merge([]Report{r}, epoch)
			for _, m := range one.Reports(epoch) {
				old, ok := before[m.ID]
				if ok && old.Incarnation == m.Incarnation {
					g.Expect(m.Heartbeat).To(BeNumerically(">=", old.Heartbeat))
					g.Expect(m.ConfigVersion).To(BeNumerically(">=", old.ConfigVersion))
					g.Expect(old.Leaving && !m.Leaving).To(BeFalse())
				}
				g.Expect(m.Incarnation).To(BeNumerically(">=", old.Incarnation))
			}
		}
		two := New(newMember("self"), epoch, Options{})
		two.Merge(rapid.Permutation(append(reports, reports...)).Draw(t, "order"), epoch)
		g.Expect(two.Reports(epoch)).To(Equal(one.Reports(epoch)))
	})
}

// Guards against a dead member that stays alive, that older reports of other entries make alive again, or that is never
// removed.
func TestSuspicionAndExpiry(t *testing.T) {
	g := NewWithT(t)
	v := New(newMember("a"), epoch, Options{})
	b := newMember("b")
	heartbeat := func(n int64, age, now time.Duration) {
		b.Heartbeat = n
		v.Merge([]Report{{b, age}}, at(now))
	}
	alive := func(now time.Duration) bool { return len(v.Alive(at(now))) == 2 }

	heartbeat(1, 0, 0)
	g.Expect(alive(2900 * time.Millisecond)).To(BeTrue())
	g.Expect(alive(3 * time.Second)).To(BeFalse())

	heartbeat(2, 0, 4*time.Second)
	v.Suspect("b", at(5*time.Second))
	heartbeat(3, 1500*time.Millisecond, 6*time.Second) // produced at 4.5 s, before the suspicion
	g.Expect(alive(6 * time.Second)).To(BeFalse())
	heartbeat(4, 500*time.Millisecond, 6*time.Second)
	g.Expect(alive(6 * time.Second)).To(BeTrue())

	v.Expire(at(65 * time.Second))
	g.Expect(v.Reports(at(65 * time.Second))).To(HaveLen(2))
	v.Expire(at(66 * time.Second))
	g.Expect(v.Reports(at(66 * time.Second))).To(HaveLen(1))
	heartbeat(4, time.Minute, 66*time.Second)
	g.Expect(v.Reports(at(66*time.Second))).To(HaveLen(1), "a peer that removes the member later must not add it again")
}

// Guards against a restarted entry that others ignore because its heartbeat counts from the start again or its clock is
// slow.
func TestRestartReplacesPreviousIncarnation(t *testing.T) {
	g := NewWithT(t)
	v := New(newMember("a"), epoch, Options{})
	old := Member{ID: "b", Incarnation: 5, Heartbeat: 900, ConfigVersion: 7}
	v.Merge([]Report{{Member: old}}, epoch)
	v.Merge([]Report{{Member: Member{ID: "b", Incarnation: 6, Heartbeat: 1}}}, epoch)
	v.Merge([]Report{{Member: old}}, epoch)
	g.Expect(v.Alive(epoch)[1].ConfigVersion).To(BeZero())

	slow := New(Member{ID: "b", Incarnation: 3}, epoch, Options{})
	g.Expect(slow.Merge([]Report{{Member: old}}, epoch)).To(BeTrue())
	g.Expect(slow.Self().Incarnation).To(BeNumerically(">", 5))
	g.Expect(slow.Merge([]Report{{Member: old}}, epoch)).To(BeFalse())
}

// Guards against two sides of a network partition that are both a majority, against a minority that becomes a majority
// when it removes the others, and against a replacement of all entries that leaves no majority.
func TestMajority(t *testing.T) {
	g := NewWithT(t)
	ids := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	v := New(newMember("a"), epoch, Options{})
	quorum := func(subset, listed []string) bool {
		majority, _ := v.Quorum(subset, listed, nil)
		return majority
	}
	g.Expect(quorum([]string{"a"}, nil)).To(BeFalse(), "alone without a list")
	g.Expect(quorum([]string{"a"}, []string{"a"})).To(BeTrue(), "the list names no other entry")
	for _, id := range ids[1:] {
		v.Merge([]Report{{Member: newMember(id)}}, epoch)
	}
	for mask := range 1 << len(ids) {
		var subset, complement []string
		for i, id := range ids {
			if mask>>i&1 == 1 {
				subset = append(subset, id)
			} else {
				complement = append(complement, id)
			}
		}
		g.Expect(quorum(subset, ids)).NotTo(Equal(quorum(complement, ids)), "%v against %v", subset, complement)
	}

	contacts := map[string]Contact{"b": {at(0), 7, 8}, "c": {at(0), 8, 8}, "d": {at(time.Second), 5, 8}}
	majority, newest := v.Majority(contacts, ids, at(5*time.Second), 5*time.Second)
	g.Expect([]any{majority, newest}).To(Equal([]any{true, int64(8)}))
	majority, newest = v.Majority(contacts, ids, at(5*time.Second+1), 5*time.Second)
	g.Expect([]any{majority, newest}).To(Equal([]any{false, int64(5)}))

	late := New(newMember("i"), epoch, Options{})
	late.Merge([]Report{{Member: newMember("a")}}, epoch)
	majority, _ = late.Majority(map[string]Contact{"a": {at(0), 7, 8}}, nil, epoch, time.Second)
	g.Expect(majority).To(BeFalse(), "a contact counts eight members, the others are unknown")

	v.Expire(at(time.Hour))
	g.Expect(quorum([]string{"a"}, nil)).To(BeFalse(), "removed members count while the list is unknown")

	for _, id := range ids[1:] {
		leaving := newMember(id)
		leaving.Leaving, leaving.Heartbeat = true, 1
		v.Merge([]Report{{Member: leaving}}, at(time.Hour))
	}
	v.Merge([]Report{{Member: newMember("i")}}, at(time.Hour))
	g.Expect(quorum([]string{"a", "i"}, nil)).To(BeTrue(), "leaving members do not count")
}
