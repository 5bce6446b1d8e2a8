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

// Usage is the state of one backer in the pools of an owner.
type Usage struct{ InUse, Waiting int }

// View is what an owner knows at the start of a gossip round.
type View struct {
	// Owners are the live entries, including the own one.
	Owners []string
	// Limits of all backers, in slots over all pools.
	Limits map[string]int
	// Own use per backer.
	Own map[string]Usage
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
// with demand if the limit allows. An owner leaves room for what each other owner may still hold: its part
// and its slots in use, and those of the round before until it has published again. So a
// part shrinks at once and grows one round later.
//
// While no owner's demand exceeds half of an equal part, nothing is published and equal parts apply. If views
// agree and are at most one round old, the slots in use never exceed the limit.
type Divider struct {
	self string
	// published is the own demand that the others know from the last round. The division uses it
	// in place of the current one, so that all owners divide by the same numbers.
	published map[string]Demand
	// others is the room left per backer for the other owners, sorted by owner.
	others map[string][]room
}

// room is left for one other owner.
type room struct {
	owner string
	slots int
	// next is the room needed once the owner has published a demand newer than heartbeat.
	next      int
	heartbeat int64
}

// NewDivider returns the Divider of the named owner.
func NewDivider(self string) *Divider {
	return &Divider{self: self, published: map[string]Demand{}, others: map[string][]room{}}
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
	others := make(map[string][]room, len(v.Limits))
	published := map[string]Demand{}
	var publish []Demand
	for backer, limit := range v.Limits {
		demands := byBacker[backer]
		hot := slices.ContainsFunc(demands, func(o Demand) bool { return 2*o.Demand > quietPart(limit, owners, o.Owner) })
		parts[backer], others[backer] = d.divide(limit, owners, demands, hot, d.others[backer])

		own := v.Own[backer]
		demand := own.InUse + own.Waiting
		if demand > 0 && (hot || 2*demand > quietPart(limit, owners, d.self)) {
			published[backer] = Demand{Owner: d.self, Backer: backer, InUse: own.InUse, Demand: demand, Heartbeat: v.Heartbeat}
			publish = append(publish, published[backer])
		}
	}
	d.others, d.published = others, published
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

// divide computes the own part of one backer's limit and the room to leave for the other owners.
func (d *Divider) divide(limit int, owners []string, demands []Demand, hot bool, before []room) (int, []room) {
	var proportional []int
	if hot {
		proportional = DivideProportionally(limit, demands)
	}
	own, free := 0, limit
	rooms := make([]room, 0, len(owners))
	for _, owner := range owners {
		i, ok := slices.BinarySearchFunc(demands, owner, func(o Demand, name string) int { return cmp.Compare(o.Owner, name) })
		part := 0
		switch {
		case !hot:
			part = quietPart(limit, owners, owner)
		case ok:
			part = proportional[i]
		}
		if owner == d.self {
			own = part
			continue
		}
		now := room{owner: owner, slots: part, next: part}
		if ok {
			now.slots = max(part, demands[i].InUse)
			now.next, now.heartbeat = now.slots, demands[i].Heartbeat
		}
		if j, known := slices.BinarySearchFunc(before, owner, func(r room, name string) int { return cmp.Compare(r.owner, name) }); known {
			now.shrink(before[j], ok)
		}
		rooms = append(rooms, now)
		free -= now.slots
	}
	return max(min(own, free), 0), rooms
}

// shrink delays a decrease since the last round until the owner has published again, or for one round
// if it publishes nothing.
func (r *room) shrink(last room, publishes bool) {
	switch {
	case r.slots >= last.slots:
	case last.next < last.slots && (!publishes || r.heartbeat > last.heartbeat):
		r.slots = max(last.next, r.next)
	case last.next < last.slots:
		r.slots, r.next, r.heartbeat = last.slots, max(last.next, r.next), last.heartbeat
	default:
		r.slots = last.slots
	}
}

// DivideProportionally returns the parts of limit for demands, which are sorted by owner: in proportion to the demand,
// rounded so that they sum to the limit, and at least 1 each if the limit allows. If it does not, the
// largest demands get one slot each. Without any demand the parts are 0.
func DivideProportionally(limit int, demands []Demand) []int {
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
