// Package limit divides a backer's slot limit among the owners of the pools that it uses, based on the demand that
// owners publish by gossip. Policies do no I/O, read no clock and are not safe for concurrent use.
package limit

import (
	"cmp"
	"slices"
)

// Demand is the demand of one backer that an owner publishes.
type Demand struct {
	Owner, Backer string
	// InUse is the number of slots in use; Demand is InUse plus the waiting requests.
	InUse, Demand int
	// Heartbeat increases with every gossip round of the owner. In a received demand it is the latest heartbeat at
	// which no change of the owner's demand was missing.
	Heartbeat int64
}

// Usage is the load of one backer in the pools of an owner.
type Usage struct{ InUse, Waiting int }

// View is the input of an owner at the start of a gossip round.
type View struct {
	// Owners are the live entries, including this one.
	Owners []string
	// Limits maps all backers to their limits, in slots over all pools.
	Limits map[string]int
	// Own maps backers to their use at this owner.
	Own map[string]Usage
	// Demands are those of the other owners, as received by gossip.
	Demands []Demand
	// Heartbeat is the number of the round.
	Heartbeat int64
}

// Policy computes, once per gossip round, the part of each limit that an owner may use and the demand that it publishes.
type Policy interface {
	Round(v View) (parts map[string]int, publish []Demand)
}

// StaticSplit is the baseline policy: each owner gets an equal part of each limit.
type StaticSplit struct{ Self string }

// Round implements Policy.
func (s StaticSplit) Round(v View) (map[string]int, []Demand) {
	owners := sorted(v.Owners)
	parts := make(map[string]int, len(v.Limits))
	for backer, limit := range v.Limits {
		parts[backer] = equalPart(limit, owners, s.Self)
	}
	return parts, nil
}

// Divider gives each owner limit x (its demand / demand of all owners), and at least one slot to an owner
// with demand if the limit allows it. An owner reserves what each other owner may still hold: its part
// and its slots in use, including those of the previous round until it has published again. So a decrease
// of a part takes effect at once, an increase one round later.
//
// While no owner's demand exceeds half of its equal part, nothing is published and the limit is divided equally. If the
// views agree and are at most one round old, the slots in use never exceed the limit.
type Divider struct {
	self string
	// published is the demand that this owner published in the last round. The division uses it instead
	// of the current demand, so that all owners divide by the same numbers.
	published map[string]Demand
	// reservations holds, per backer, the reservations for the other owners, sorted by owner.
	reservations map[string][]reservation
}

// reservation is the part of a limit that is left to one other owner.
type reservation struct {
	owner string
	slots int
	// next is the number of slots to reserve once the owner has published a demand newer than heartbeat.
	next      int
	heartbeat int64
}

// NewDivider returns a Divider for the named owner.
func NewDivider(self string) *Divider {
	return &Divider{self: self, published: map[string]Demand{}, reservations: map[string][]reservation{}}
}

func sorted(owners []string) []string {
	owners = slices.Clone(owners)
	slices.Sort(owners)
	return slices.Compact(owners)
}

// equalPart returns the equal part of an owner; the parts of all owners sum to the limit.
func equalPart(limit int, owners []string, owner string) int {
	rank, ok := slices.BinarySearch(owners, owner)
	if !ok {
		return 0
	}
	part := limit / len(owners)
	if rank < limit%len(owners) {
		part++
	}
	return part
}

// Round implements Policy.
func (d *Divider) Round(v View) (map[string]int, []Demand) {
	owners := sorted(v.Owners)
	byBacker := d.latestDemands(v, owners)
	parts := make(map[string]int, len(v.Limits))
	others := make(map[string][]reservation, len(v.Limits))
	published := map[string]Demand{}
	var publish []Demand
	for backer, limit := range v.Limits {
		demands := byBacker[backer]
		contended := slices.ContainsFunc(demands, func(o Demand) bool { return 2*o.Demand > equalPart(limit, owners, o.Owner) })
		parts[backer], others[backer] = d.divide(limit, owners, demands, contended, d.reservations[backer])

		own := v.Own[backer]
		demand := own.InUse + own.Waiting
		if demand > 0 && (contended || 2*demand > equalPart(limit, owners, d.self)) {
			published[backer] = Demand{Owner: d.self, Backer: backer, InUse: own.InUse, Demand: demand, Heartbeat: v.Heartbeat}
			publish = append(publish, published[backer])
		}
	}
	d.reservations, d.published = others, published
	slices.SortFunc(publish, func(a, b Demand) int { return cmp.Compare(a.Backer, b.Backer) })
	return parts, publish
}

// latestDemands returns the latest demand of each live owner per backer, sorted by owner.
func (d *Divider) latestDemands(v View, owners []string) map[string][]Demand {
	all := slices.DeleteFunc(slices.Clone(v.Demands), func(o Demand) bool {
		_, alive := slices.BinarySearch(owners, o.Owner)
		return !alive || o.Owner == d.self || o.Demand <= 0
	})
	for _, own := range d.published {
		all = append(all, own)
	}
	slices.SortFunc(all, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(a.Backer, b.Backer), cmp.Compare(a.Owner, b.Owner), cmp.Compare(b.Heartbeat, a.Heartbeat))
	})
	all = slices.CompactFunc(all, func(a, b Demand) bool { return a.Backer == b.Backer && a.Owner == b.Owner })
	byBacker := map[string][]Demand{}
	for _, o := range all {
		byBacker[o.Backer] = append(byBacker[o.Backer], o)
	}
	return byBacker
}

// divide computes this owner's part of one backer's limit and the reservations for the other owners.
func (d *Divider) divide(limit int, owners []string, demands []Demand, contended bool, previous []reservation) (int, []reservation) {
	var proportional []int
	if contended {
		proportional = DivideProportionally(limit, demands)
	}
	own, free := 0, limit
	reservations := make([]reservation, 0, len(owners))
	for _, owner := range owners {
		i, ok := slices.BinarySearchFunc(demands, owner, func(o Demand, name string) int { return cmp.Compare(o.Owner, name) })
		part := 0
		switch {
		case !contended:
			part = equalPart(limit, owners, owner)
		case ok:
			part = proportional[i]
		}
		if owner == d.self {
			own = part
			continue
		}
		current := reservation{owner: owner, slots: part, next: part}
		if ok {
			current.slots = max(part, demands[i].InUse)
			current.next, current.heartbeat = current.slots, demands[i].Heartbeat
		}
		if j, known := slices.BinarySearchFunc(previous, owner, func(r reservation, name string) int { return cmp.Compare(r.owner, name) }); known {
			current.delayDecrease(previous[j], ok)
		}
		reservations = append(reservations, current)
		free -= current.slots
	}
	return max(min(own, free), 0), reservations
}

// delayDecrease delays a decrease since the last round until the owner has published again, or for one
// round if it publishes nothing.
func (r *reservation) delayDecrease(previous reservation, publishes bool) {
	switch {
	case r.slots >= previous.slots:
	case previous.next < previous.slots && (!publishes || r.heartbeat > previous.heartbeat):
		r.slots = max(previous.next, r.next)
	case previous.next < previous.slots:
		r.slots, r.next, r.heartbeat = previous.slots, max(previous.next, r.next), previous.heartbeat
	default:
		r.slots = previous.slots
	}
}

// DivideProportionally divides limit in proportion to demands, which are sorted by owner. The parts are rounded
// so that they sum to the limit, and each positive demand gets at least one slot if the limit allows it;
// otherwise the largest demands get one slot each. Without any demand all parts are 0.
func DivideProportionally(limit int, demands []Demand) []int {
	parts := make([]int, len(demands))
	total, withDemand := 0, 0
	for _, o := range demands {
		total += max(o.Demand, 0)
		if o.Demand > 0 {
			withDemand++
		}
	}
	if total == 0 || limit <= 0 {
		return parts
	}
	least := 0
	if limit >= withDemand {
		least = 1
	}
	sum := 0
	for i, o := range demands {
		if o.Demand > 0 {
			parts[i] = max(limit*o.Demand/total, least)
			sum += parts[i]
		}
	}
	// errorOf returns the excess of a part over its exact value, in units of 1/total.
	errorOf := func(i int) int { return parts[i]*total - limit*demands[i].Demand }
	for ; sum < limit; sum++ {
		parts[highestScore(demands, func(i int) int { return -errorOf(i) })]++
	}
	for ; sum > limit; sum-- {
		parts[highestScore(demands, func(i int) int {
			if parts[i] <= least {
				return -1 << 62
			}
			return errorOf(i)
		})]--
	}
	return parts
}

// highestScore returns the index of the positive demand with the highest score, the first one among equals.
func highestScore(demands []Demand, score func(int) int) int {
	best := -1
	for i, o := range demands {
		if o.Demand > 0 && (best < 0 || score(i) > score(best)) {
			best = i
		}
	}
	return best
}
