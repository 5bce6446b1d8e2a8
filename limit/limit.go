// Package limit divides a backer's limit over the owners of the pools that it uses. The division rests on the
// demand that owners publish by gossip. Policies are pure and not safe for concurrent use.
package limit

import (
	"cmp"
	"slices"
)

// Demand is what an owner publishes about one backer.
type Demand struct {
	Owner, Backer string
	// InUse is the number of slots held; Demand adds the waiting requests.
	InUse, Demand int
	// Heartbeat grows with every round of the owner.
	Heartbeat int64
}

// Use is the state of one backer in the pools of an owner.
type Use struct{ InUse, Waiting int }

// View is what an owner knows at the start of a gossip round.
type View struct {
	// Owners are the live entries, including the own one.
	Owners []string
	// Limits of all backers, in slots over all pools.
	Limits map[string]int
	// Own use per backer.
	Own map[string]Use
	// Demands of the other owners, as received by gossip.
	Demands []Demand
	// Heartbeat is the number of the round.
	Heartbeat int64
}

// Policy computes once per gossip round which part of each limit an owner may use, and what it publishes.
type Policy interface {
	Round(v View) (parts map[string]int, publish []Demand)
}

// StaticSplit is the baseline policy: each owner gets the same part of each limit.
type StaticSplit struct{ Self string }

// Round implements Policy.
func (s StaticSplit) Round(v View) (map[string]int, []Demand) {
	owners := sorted(v.Owners)
	parts := make(map[string]int, len(v.Limits))
	for backer, limit := range v.Limits {
		parts[backer] = quietPart(limit, owners, s.Self)
	}
	return parts, nil
}

// Divider gives each owner limit x (its demand / demand of all owners), at least one slot for an owner
// with demand if the limit allows. A part shrinks at once and grows one round later, when the others have shrunk; it
// also leaves room for the slots that others hold beyond their part.
//
// While no owner's demand exceeds half of an equal part, nothing is published and equal parts apply. If views
// agree and are at most one round old, the slots in use never exceed the limit.
type Divider struct {
	self string
	// published is the own demand that the others know from the last round. The division uses it
	// in place of the current one, so that all owners divide by the same numbers.
	published map[string]Demand
	last      map[string]round
}

// round is the result of the last round for one backer.
type round struct {
	// computed is the part before the delay of growth, allowed the part in force.
	computed, allowed int
	// heard is the sum of the heartbeats of the other owners' demands, and their number.
	heard  int64
	others int
}

// NewDivider returns the Divider of the named owner.
func NewDivider(self string) *Divider {
	return &Divider{self: self, published: map[string]Demand{}, last: map[string]round{}}
}

func sorted(owners []string) []string {
	owners = slices.Clone(owners)
	slices.Sort(owners)
	return slices.Compact(owners)
}

// quietPart is the equal part of an owner; the parts of all owners sum to the limit.
func quietPart(limit int, owners []string, owner string) int {
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
	byBacker := d.demands(v, owners)
	parts := make(map[string]int, len(v.Limits))
	last := make(map[string]round, len(v.Limits))
	published := map[string]Demand{}
	var publish []Demand
	for backer, limit := range v.Limits {
		demands := byBacker[backer]
		hot := slices.ContainsFunc(demands, func(o Demand) bool { return 2*o.Demand > quietPart(limit, owners, o.Owner) })
		now := d.round(limit, owners, demands, hot)
		if before, ok := d.last[backer]; ok {
			now.allowed = before.grow(now)
		} else {
			now.allowed = min(now.computed, quietPart(limit, owners, d.self))
		}
		last[backer], parts[backer] = now, now.allowed

		own := v.Own[backer]
		demand := own.InUse + own.Waiting
		if demand > 0 && (hot || 2*demand > quietPart(limit, owners, d.self)) {
			published[backer] = Demand{Owner: d.self, Backer: backer, InUse: own.InUse, Demand: demand, Heartbeat: v.Heartbeat}
			publish = append(publish, published[backer])
		}
	}
	d.last, d.published = last, published
	slices.SortFunc(publish, func(a, b Demand) int { return cmp.Compare(a.Backer, b.Backer) })
	return parts, publish
}

// demands groups the newest demand of each live owner by backer, sorted by owner.
func (d *Divider) demands(v View, owners []string) map[string][]Demand {
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

// round computes the own part of one backer's limit.
func (d *Divider) round(limit int, owners []string, demands []Demand, hot bool) round {
	var proportional []int
	if hot {
		proportional = Divide(limit, demands)
	}
	var r round
	others := 0
	for _, owner := range owners {
		i := slices.IndexFunc(demands, func(o Demand) bool { return o.Owner == owner })
		part := 0
		switch {
		case !hot:
			part = quietPart(limit, owners, owner)
		case i >= 0:
			part = proportional[i]
		}
		if owner == d.self {
			r.computed = part
			continue
		}
		if i >= 0 {
			part = max(part, demands[i].InUse)
			r.heard += demands[i].Heartbeat
			r.others++
		}
		others += part
	}
	r.computed = max(min(r.computed, limit-others), 0)
	return r
}

// grow returns the part in force after the round now: it grows only to what the round before allowed as well, and not
// while another owner is silent.
func (r round) grow(now round) int {
	if now.others > 0 && now.others == r.others && now.heard < r.heard+int64(r.others) {
		return min(now.computed, r.allowed)
	}
	return min(now.computed, r.computed)
}

// Divide returns the parts of limit for demands, which are sorted by owner: in proportion to the demand,
// rounded so that they sum to the limit, and at least 1 each if the limit allows. If it does not, the
// largest demands get one slot each. Without any demand the parts are 0.
func Divide(limit int, demands []Demand) []int {
	parts := make([]int, len(demands))
	total, wanting := 0, 0
	for _, o := range demands {
		total += max(o.Demand, 0)
		if o.Demand > 0 {
			wanting++
		}
	}
	if total == 0 || limit <= 0 {
		return parts
	}
	least := 0
	if limit >= wanting {
		least = 1
	}
	sum := 0
	for i, o := range demands {
		if o.Demand > 0 {
			parts[i] = max(limit*o.Demand/total, least)
			sum += parts[i]
		}
	}
	// error is the excess of a part over its exact value, in units of 1/total.
	errorOf := func(i int) int { return parts[i]*total - limit*demands[i].Demand }
	for ; sum < limit; sum++ {
		parts[pick(demands, func(i int) int { return -errorOf(i) })]++
	}
	for ; sum > limit; sum-- {
		parts[pick(demands, func(i int) int {
			if parts[i] <= least {
				return -1 << 62
			}
			return errorOf(i)
		})]--
	}
	return parts
}

// pick returns the owner with demand that has the highest score, the first among equals.
func pick(demands []Demand, score func(int) int) int {
	best := -1
	for i, o := range demands {
		if o.Demand > 0 && (best < 0 || score(i) > score(best)) {
			best = i
		}
	}
	return best
}
