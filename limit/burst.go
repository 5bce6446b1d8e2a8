package limit

import "slices"

// BurstLimits returns, per backer, the total number of slots that an owner may hold according to the demand last
// published by the other owners. Unlike the Divider it applies increases at once. It is meant for work that ends
// within a second: owners that begin to use a limit at the same time exceed it together until they receive each
// other's demand.
//
// Every owner may hold half of its equal part, and owners that publish no demand may hold no more. The remainder
// is divided among the publishing owners, smallest demands first, so that light work in one pool does not wait behind a
// demand spike in another.
func BurstLimits(self string, v View) map[string]int {
	owners := sorted(v.Owners)
	d := Divider{self: self}
	byBacker := d.latestDemands(v, owners)
	allowed := make(map[string]int, len(v.Limits))
	for backer, limit := range v.Limits {
		own := v.Own[backer]
		others := byBacker[backer]
		remaining := limit - unpublishedReserve(limit, owners, self, others)
		part := ownMaxMinPart(remaining, own.InUse+own.Waiting, others)
		allowed[backer] = min(max(part, halfRoundedUp(equalPart(limit, owners, self))), limit)
	}
	return allowed
}

func halfRoundedUp(part int) int { return (part + 1) / 2 }

// unpublishedReserve returns the slots that the other owners without published demand may hold.
func unpublishedReserve(limit int, owners []string, self string, published []Demand) int {
	sum := 0
	for _, owner := range owners {
		unpublished := !slices.ContainsFunc(published, func(o Demand) bool { return o.Owner == owner })
		if unpublished && owner != self {
			sum += halfRoundedUp(equalPart(limit, owners, owner))
		}
	}
	return sum
}

// ownMaxMinPart returns this owner's part of a max-min fair division of the remaining slots among its own demand and
// that of others. Without contention it is everything that the others do not need.
func ownMaxMinPart(remaining, own int, others []Demand) int {
	demands := make([]int, 0, len(others))
	total := own
	for _, o := range others {
		d := max(o.Demand, o.InUse)
		demands = append(demands, d)
		total += d
	}
	if total <= remaining {
		return remaining - (total - own)
	}
	slices.Sort(demands)
	claimants := len(demands) + 1
	for _, d := range demands {
		if d*claimants > remaining || d > own {
			break
		}
		remaining -= d
		claimants--
	}
	return min(own, max(remaining, 0)/claimants)
}

// DivideMaxMin divides total among demands by max-min fairness if their sum exceeds it, so that small demands are met in
// full, and in proportion to the demands otherwise.
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
	remaining := max(total, 0)
	for n, i := range order {
		parts[i] = min(max(demands[i].Demand, 0), remaining/(len(order)-n))
		remaining -= parts[i]
	}
	return parts
}

// MustPublish reports whether this owner's unpublished demand of some backer exceeds half of its equal part, which is
// what the other owners reserve for an owner that publishes nothing.
func MustPublish(self string, v View, published map[string]bool) bool {
	owners := sorted(v.Owners)
	for backer, use := range v.Own {
		if !published[backer] && 2*(use.InUse+use.Waiting) > equalPart(v.Limits[backer], owners, self) {
			return true
		}
	}
	return false
}
