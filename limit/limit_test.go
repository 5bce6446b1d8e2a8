package limit_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"samphirepoint/limit"
)

// Guards against slots of a limit that are lost or created by rounding, and against an owner with demand left without
// any slot.
func TestDivideSumsToLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		max := rapid.IntRange(0, 40).Draw(t, "limit")
		demands := make([]limit.Demand, rapid.IntRange(1, 8).Draw(t, "owners"))
		total, wanting := 0, 0
		for i := range demands {
			demands[i].Demand = rapid.IntRange(0, 100).Draw(t, "demand")
			total += demands[i].Demand
			if demands[i].Demand > 0 {
				wanting++
			}
		}
		sum := 0
		for i, part := range limit.DivideProportionally(max, demands) {
			sum += part
			exact := float64(max) * float64(demands[i].Demand) / float64(total)
			switch {
			case demands[i].Demand == 0 && part != 0:
				t.Fatalf("owner %d has %d slots without demand", i, part)
			case demands[i].Demand > 0 && max >= wanting && part < 1:
				t.Fatalf("owner %d has demand but no slot", i)
			case part > 1 && float64(part) > exact+1:
				t.Fatalf("owner %d has %d slots, exact part %.2f", i, part, exact)
			}
		}
		if total > 0 && sum != max {
			t.Fatalf("parts sum to %d of %d", sum, max)
		}
	})
}

// cluster runs the owners of a backer's pools in rounds; each sees what the others published the round before.
type cluster struct {
	policies  map[string]limit.Policy
	owners    []string
	use       map[string]limit.Usage
	parts     map[string]int
	published []limit.Demand
	heartbeat int64
}

func newCluster(n int, policy func(owner string) limit.Policy) *cluster {
	c := &cluster{policies: map[string]limit.Policy{}, use: map[string]limit.Usage{}, parts: map[string]int{}}
	for i := range n {
		owner := fmt.Sprint("e", i)
		c.owners = append(c.owners, owner)
		c.policies[owner] = policy(owner)
	}
	return c
}

func (c *cluster) round(max int) {
	c.heartbeat++
	var next []limit.Demand
	for _, owner := range c.owners {
		parts, publish := c.policies[owner].Round(limit.View{
			Owners: c.owners, Limits: map[string]int{"b": max}, Own: map[string]limit.Usage{"b": c.use[owner]},
			Demands: c.published, Heartbeat: c.heartbeat,
		})
		c.parts[owner] = parts["b"]
		next = append(next, publish...)
	}
	c.published = next
}

// start lets an owner take as many slots as its part and its waiting requests allow.
func (c *cluster) start(owner string) {
	u := c.use[owner]
	if n := min(u.Waiting, c.parts[owner]-u.InUse); n > 0 {
		c.use[owner] = limit.Usage{InUse: u.InUse + n, Waiting: u.Waiting - n}
	}
}

func (c *cluster) inUse() int {
	sum := 0
	for _, u := range c.use {
		sum += u.InUse
	}
	return sum
}

func divider(owner string) limit.Policy { return limit.NewDivider(owner) }

// Guards against a backer that passes its limit while its demand moves between owners.
func TestUseStaysWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(rapid.IntRange(1, 8).Draw(t, "owners"), divider)
		max := rapid.IntRange(0, 40).Draw(t, "limit")
		for range rapid.IntRange(1, 40).Draw(t, "rounds") {
			c.round(max)
			sum := 0
			for _, owner := range c.owners {
				sum += c.parts[owner]
				u := c.use[owner]
				finished := rapid.IntRange(0, u.InUse).Draw(t, "finished")
				c.use[owner] = limit.Usage{InUse: u.InUse - finished, Waiting: rapid.IntRange(0, 30).Draw(t, "waiting") * rapid.IntRange(0, 1).Draw(t, "busy")}
				c.start(owner)
			}
			if sum > max || c.inUse() > max {
				t.Fatalf("parts sum to %d, %d slots in use, limit %d", sum, c.inUse(), max)
			}
		}
	})
}

// Guards against an owner that stops publishing in the round in which it starts work again, while another owner appears; random
// histories found this once in 10,000.
func TestUseStaysWithinLimitWhenPublishersChange(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(4, divider)
	for _, step := range [][4]limit.Usage{ // InUse: slots that finish
		{{Waiting: 1}, {Waiting: 1}},
		{{}, {InUse: 1}, {Waiting: 1}},
		{{}, {Waiting: 1}},
		{{Waiting: 1}},
	} {
		c.round(3)
		for i, owner := range c.owners {
			c.use[owner] = limit.Usage{InUse: c.use[owner].InUse - step[i].InUse, Waiting: step[i].Waiting}
			c.start(owner)
		}
		g.Expect(c.inUse()).To(BeNumerically("<=", 3))
	}
}

// Guards against a limit that stays unused because callers are distributed 5:1 over the entries; the demand
// is steady, so all of the limit must be in use once the round of growth has passed.
func TestLimitIsUsedUnderUnevenCallers(t *testing.T) {
	g := NewWithT(t)
	used := func(policy func(string) limit.Policy) int {
		c := newCluster(8, policy)
		for range 6 {
			c.round(40)
			for i, owner := range c.owners {
				demand := 10
				if i == 0 {
					demand = 50
				} else if i > 2 {
					demand = 0
				}
				c.use[owner] = limit.Usage{InUse: c.use[owner].InUse, Waiting: demand - c.use[owner].InUse}
				c.start(owner)
			}
		}
		return c.inUse()
	}
	static := used(func(owner string) limit.Policy { return limit.StaticSplit{Self: owner} })
	divided := used(divider)
	t.Logf("slots in use of a limit of 40: static split %d, Divider %d", static, divided)
	g.Expect(divided).To(Equal(40))
	g.Expect(static).To(BeNumerically("<", 20))
}

// Guards against growth beside a peer that has gone silent and may still use its old part, and against growth that
// never comes because gossip does not bring every peer's demand in every round.
func TestPartGrowsOnceAllPeersWereHeard(t *testing.T) {
	g := NewWithT(t)
	d := limit.NewDivider("a")
	view := limit.View{
		Owners: []string{"a", "b", "c"}, Limits: map[string]int{"x": 12}, Own: map[string]limit.Usage{"x": {Waiting: 100}},
		Demands: []limit.Demand{
			{Owner: "b", Backer: "x", InUse: 10, Demand: 100, Heartbeat: 1},
			{Owner: "c", Backer: "x", InUse: 1, Demand: 1, Heartbeat: 1},
		},
	}
	for range 5 {
		view.Demands[0].Heartbeat++
		view.Demands[1].Heartbeat++
		d.Round(view)
	}
	view.Demands[0].InUse, view.Demands[0].Demand = 1, 1
	part := func() int {
		parts, _ := d.Round(view)
		return parts["x"]
	}
	for range 5 {
		view.Demands[1].Heartbeat += 2
		g.Expect(part()).To(BeNumerically("<=", 1), "b is silent")
	}
	for i := range 6 {
		view.Demands[i%2].Heartbeat++
		part()
	}
	g.Expect(part()).To(Equal(10))
}

func BenchmarkRound(b *testing.B) {
	for _, backers := range []int{5, 50, 210} {
		b.Run(fmt.Sprintf("backers=%d", backers), func(b *testing.B) {
			v := limit.View{Limits: map[string]int{}, Own: map[string]limit.Usage{}}
			for o := range 8 {
				v.Owners = append(v.Owners, fmt.Sprint("e", o))
			}
			for i := range backers {
				name := fmt.Sprint("b", i)
				v.Limits[name], v.Own[name] = 40, limit.Usage{InUse: 5, Waiting: 5}
				for _, o := range v.Owners[1:] {
					v.Demands = append(v.Demands, limit.Demand{Owner: o, Backer: name, InUse: 5, Demand: 10})
				}
			}
			d := limit.NewDivider("e0")
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				v.Heartbeat++
				d.Round(v)
			}
		})
	}
}
