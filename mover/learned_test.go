package mover

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// Whatever the demand, a policy must move at most one instance per pool in 60 s, never more than a pool
// has or its budget allows, and never the last of a home pool.
func TestLearnedBounds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		l := NewLearned(rapid.SampledFrom([]Settings{InziraSettings(), HraunvikSettings()}).Draw(rt, "settings"))
		pools := []Pool{{Name: "a", Role: Home}, {Name: "b", Role: Home}, {Name: "s", Role: Spare}, {Name: "k", Role: Parked}}
		for i := range pools {
			pools[i].Slots, pools[i].Serving = 8, rapid.IntRange(0, 12).Draw(rt, "size")
		}
		last := map[string]time.Time{}
		now := start
		demand := [2]float64{}
		for range 400 {
			now = now.Add(time.Duration(rapid.IntRange(1, 20).Draw(rt, "s")) * time.Second)
			for i := range demand {
				if rapid.IntRange(0, 20).Draw(rt, "change") == 0 {
					demand[i] = rapid.Float64Range(0, 150).Draw(rt, "demand")
				}
				pools[i].Demand = demand[i]
			}
			for i := range pools {
				pools[i].Movable = min(pools[i].Serving, rapid.IntRange(0, 2).Draw(rt, "movable"))
			}
			for _, m := range l.Plan(Input{Now: now, Pools: pools}) {
				for _, name := range []string{m.From, m.To} {
					if at, ok := last[name]; ok && now.Sub(at) < time.Minute {
						rt.Fatalf("two moves of pool %s within %s", name, now.Sub(at))
					}
					last[name] = now
				}
				for i := range pools {
					p := &pools[i]
					if p.Name == m.From {
						if p.Movable == 0 || p.Role == Home && p.Serving < 2 {
							rt.Fatalf("move of %+v", *p)
						}
						p.Serving--
					}
					if p.Name == m.To {
						p.Serving++
					}
				}
			}
		}
	})
}

// A short surge must not move anything into the pool; demand that stays must, after the hold time.
func TestOnlyLastingDemandMoves(t *testing.T) {
	run := func(seconds int, demand func(second int) float64) []string {
		l := NewLearned(HraunvikSettings())
		size, spare := 4, 4
		var moves []string
		for s := 0; s < seconds; s += 5 {
			in := Input{Now: start.Add(time.Duration(s) * time.Second), Pools: []Pool{
				{Name: "a", Role: Home, Serving: size, Slots: 8, Demand: demand(s), Movable: 2},
				{Name: "s", Role: Spare, Serving: spare, Slots: 8, Movable: 4}}}
			for _, m := range l.Plan(in) {
				moves = append(moves, fmt.Sprintf("%d %s-%s", s, m.From, m.To))
				size, spare = size+1, spare-1
			}
		}
		return moves
	}
	g := NewWithT(t)
	g.Expect(run(3600, func(s int) float64 {
		if s%60 < 10 {
			return 48
		}
		return 2
	})).To(BeEmpty())
	g.Expect(run(7200, func(int) float64 { return 48 })).NotTo(BeEmpty())
}
