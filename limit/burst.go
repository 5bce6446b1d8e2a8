package limit

import "slices"

// Bursts returns per backer the slots that an owner may hold in all, counting on the last news from the others and
// without the delay of the Divider. It is for work that ends within a second: if several owners begin to use
// a limit at the same time they exceed it together until they hear of each other, which takes a few gossip rounds.
//
// Owners that publish nothing hold at most half of their equal part.
func Bursts(self string, v View) map[string]int {
	owners := sorted(v.Owners)
	d := Divider{self: self}
	byBacker := d.demands(v, owners)
	allowed := make(map[string]int, len(v.Limits))
	for backer, limit := range v.Limits {
		own := v.Own[backer]
		demands := append([]Demand{{Owner: self, Backer: backer, InUse: own.InUse, Demand: own.InUse + own.Waiting}}, byBacker[backer]...)
		total := 0
		for _, o := range demands {
			total += o.Demand
		}
		if total > limit {
			allowed[backer] = Divide(limit, demands)[0]
			continue
		}
		allowed[backer] = max(limit-held(limit, owners, demands), 0)
	}
	return allowed
}

// held is the number of slots that the other owners may hold: their demand if they publish it, else half of their equal part.
func held(limit int, owners []string, demands []Demand) int {
	sum := 0
	for _, owner := range owners {
		i := slices.IndexFunc(demands, func(o Demand) bool { return o.Owner == owner })
		switch {
		case i == 0:
		case i > 0:
			sum += max(demands[i].Demand, demands[i].InUse)
		default:
			sum += (quietPart(limit, owners, owner) + 1) / 2
		}
	}
	return sum
}

// News reports whether the own demand of a backer that is not published exceeds what the others assume of a silent owner.
func News(self string, v View, published map[string]bool) bool {
	owners := sorted(v.Owners)
	for backer, use := range v.Own {
		if !published[backer] && 2*(use.InUse+use.Waiting) > quietPart(v.Limits[backer], owners, self) {
			return true
		}
	}
	return false
}
