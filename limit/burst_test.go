package limit_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"samphirepoint/limit"
)

// Guards against a surge that waits for gossip rounds although nobody else uses the limit: with an equal division a
// single owner had a seventh of the limit for up to two seconds of a four-second surge.
func TestBurstGivesSurgingOwnerWhatOthersLeave(t *testing.T) {
	g := NewWithT(t)
	v := limit.View{
		Owners: []string{"a", "b", "c", "d"},
		Limits: map[string]int{"x": 40},
		Own:    map[string]limit.Use{"x": {InUse: 5, Waiting: 20}},
	}
	// The three quiet owners may hold half of their 10 each.
	g.Expect(limit.Bursts("a", v)).To(HaveKeyWithValue("x", 25))
	v.Demands = []limit.Demand{{Owner: "b", Backer: "x", InUse: 4, Demand: 6}}
	g.Expect(limit.Bursts("a", v)).To(HaveKeyWithValue("x", 24))
}

// Guards against owners that together keep more than the limit once they know of each other's demand.
func TestBurstsOfOwnersThatKnowEachOtherKeepTheLimit(t *testing.T) {
	g := NewWithT(t)
	owners := []string{"a", "b", "c"}
	demand := map[string]int{"a": 50, "b": 30, "c": 20}
	sum := 0
	for _, self := range owners {
		v := limit.View{Owners: owners, Limits: map[string]int{"x": 40}, Own: map[string]limit.Use{"x": {Waiting: demand[self]}}}
		for _, o := range owners {
			if o != self {
				v.Demands = append(v.Demands, limit.Demand{Owner: o, Backer: "x", Demand: demand[o]})
			}
		}
		sum += limit.Bursts(self, v)["x"]
	}
	g.Expect(sum).To(BeNumerically("<=", 40))
}
