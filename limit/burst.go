package limit

import "slices"

// BurstLimits returns per backer the slots that an owner may hold in all, counting on the last news from the others and
// without the delay of the Divider. It is for work that ends within a second: if several owners begin to use
// a limit at the same time they exceed it together until they hear of each other.
//
// Owners that publish nothing hold at most half of their equal part, and every owner may hold that much. What is left goes to
// the owners that publish, the smallest demands first, so that light work in one pool does not wait for a surge in another.
func BurstLimits(self string, v View) map[string]int {
	owners := sorted(v.Owners)
	d := Divider{self: self}
	byBacker := d.demands(v, owners)
	allowed := make(map[string]int, len(v.Limits))
	for backer, limit := range v.Limits {
		own := v.Own[backer]
		others := byBacker[backer]
		left := limit - silentReserve(limit, owners, self, others)
		part := fill(left, own.InUse+own.Waiting, others)
		allowed[backer] = min(max(part, half(quietPart(limit, owners, self))), limit)
	}
	return allowed
}

func half(part int) int { return (part + 1) / 2 }

// silentReserve is what the other owners without published demand may hold.
func silentReserve(limit int, owners []string, self string, published []Demand) int {
	sum := 0
	for _, owner := range owners {
		silent := !slices.ContainsFunc(published, func(o Demand) bool { return o.Owner == owner })
		if silent && owner != self {
			sum += half(quietPart(limit, owners, owner))
		}
	}
	return sum
}

// fill divides left by max-min fairness over own demand and that of others, and returns the own part. Without contention the
// own part is all that the others leave.
func fill(left, own int, others []Demand) int {
	demands := make([]int, 0, len(others))
	total := own
	for _, o := range others {
		d := max(o.Demand, o.InUse)
		demands = append(demands, d)
		total += d
	}
	if total <= left {
		return left - (total - own)
	}
	slices.Sort(demands)
	claimants := len(demands) + 1
	for _, d := range demands {
		if d*claimants > left || d > own {
			break
		}
		left -= d
		claimants--
	}
	return min(own, max(left, 0)/claimants)
}

// DivideMaxMin divides total over demands by max-min fairness if they exceed it, so that the smallest demands are served in full, and in
// proportion to them otherwise.
func DivideMaxMin(total int, demands []Demand) []int {
	sum := 0
	order := make([]int, len(demands))
	for i, d := range demands {
		sum += d.Demand
		order[i] = i
	}
	if sum <= total {
		return DivideProportionally(total, demands)
	}
	slices.SortStableFunc(order, func(a, b int) int { return demands[a].Demand - demands[b].Demand })
	parts := make([]int, len(demands))
	left := max(total, 0)
	for n, i := range order {
		parts[i] = min(max(demands[i].Demand, 0), left/(len(order)-n))
		left -= parts[i]
	}
	return parts
}

// MustPublish reports whether the own demand of a backer that is not published exceeds what the others assume of a silent owner.
func MustPublish(self string, v View, published map[string]bool) bool {
	owners := sorted(v.Owners)
	for backer, use := range v.Own {
		if !published[backer] && 2*(use.InUse+use.Waiting) > quietPart(v.Limits[backer], owners, self) {
			return true
		}
	}
	return false
}
