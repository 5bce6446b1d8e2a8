package peer

import (
	"cmp"
	"maps"
	"slices"

	"samphirepoint/limit"
	"samphirepoint/membership"
	"samphirepoint/peer/peerpb"
)

// demandPerMessage bounds the backers in one message. At 8 members a daemon sends and receives 8 messages a second;
// with about 8 B per backer this keeps demand under 1.7 KB/s of the 5 KB/s for control traffic.
const demandPerMessage = 30

// figures are the demand of one backer at one owner.
type figures struct{ inUse, demand int32 }

// change is the latest change of a backer's figures at an owner.
type change struct {
	figures
	version int64
}

// ownerDemand is what the entry knows of the demand that one incarnation of an owner publishes.
type ownerDemand struct {
	incarnation int64
	// have is the change up to which nothing is missing.
	have int64
	// confirmed is the owner's heartbeat at which nothing was missing.
	confirmed int64
	// changes holds every backer that ever had demand; those without demand now have zero figures.
	changes map[uint32]change
}

// demandTable holds the demand at all owners. Peers reconcile it by version: each message tells up to which
// change of each owner the sender has everything, and the other side sends what comes after. It is guarded by the
// lock of Gossip.
type demandTable struct {
	self   string
	owners map[string]*ownerDemand
}

func newDemandTable(self string) *demandTable {
	return &demandTable{self: self, owners: map[string]*ownerDemand{self: {changes: map[uint32]change{}}}}
}

// owner returns the state for a member and starts anew for a new incarnation of another entry.
func (t *demandTable) owner(m membership.Member) *ownerDemand {
	o := t.owners[m.ID]
	if o == nil || (o.incarnation != m.Incarnation && m.ID != t.self) {
		o = &ownerDemand{incarnation: m.Incarnation, changes: map[uint32]change{}}
		t.owners[m.ID] = o
	}
	return o
}

// have tells up to which change of the member's demand nothing is missing.
func (t *demandTable) have(m membership.Member) int64 { return t.owner(m).have }

// retain drops the demand of members that are no longer known.
func (t *demandTable) retain(known func(id string) bool) {
	maps.DeleteFunc(t.owners, func(id string, _ *ownerDemand) bool { return id != t.self && !known(id) })
}

// set replaces the own demand and returns the number of the last change. The largest relative changes get the
// lowest numbers, because they are sent first.
func (t *demandTable) set(list []limit.Demand) int64 {
	own := t.owners[t.self]
	next := make(map[uint32]figures, len(list))
	for _, d := range list {
		next[backerKey(d.Backer)] = figures{int32(d.InUse), int32(d.Demand)}
	}
	var changed []uint32
	for key, value := range next {
		if own.changes[key].figures != value {
			changed = append(changed, key)
		}
	}
	for key, old := range own.changes {
		if _, ok := next[key]; !ok && old.figures != (figures{}) {
			changed = append(changed, key)
		}
	}
	size := func(key uint32) float64 {
		before, after := own.changes[key].demand, next[key].demand
		return float64(max(before, after)-min(before, after)) / float64(max(before, after, 1))
	}
	slices.SortFunc(changed, func(a, b uint32) int { return cmp.Or(cmp.Compare(size(b), size(a)), cmp.Compare(a, b)) })
	for _, key := range changed {
		own.have++
		own.changes[key] = change{next[key], own.have}
	}
	return own.have
}

// fill adds what the receiver lacks: the own demand first, and the demand of other owners if relay is set and room is
// left. Answers relay, because the request tells exactly what the receiver has; requests do not, because by now
// the receiver may have heard the same from others.
func (t *demandTable) fill(view *peerpb.View, members []membership.Report, has map[uint32]int64, relay bool) {
	room := demandPerMessage
	add := func(m membership.Member) {
		key := memberKey(m)
		list := t.after(m, has[key], room)
		if list == nil {
			return
		}
		list.Owner = key
		room -= len(list.Backers)
		view.Demand = append(view.Demand, list)
	}
	for _, r := range members {
		if r.ID == t.self {
			add(r.Member)
		}
	}
	for _, r := range members {
		if relay && r.ID != t.self && room > 0 {
			add(r.Member)
		}
	}
}

// after lists up to room changes of an owner that come after number base, oldest first; nil if there are none.
func (t *demandTable) after(m membership.Member, base int64, room int) *peerpb.Demand {
	o := t.owner(m)
	if o.have <= base {
		return nil
	}
	var due []uint32
	for key, c := range o.changes {
		if c.version > base {
			due = append(due, key)
		}
	}
	slices.SortFunc(due, func(a, b uint32) int { return cmp.Compare(o.changes[a].version, o.changes[b].version) })
	list := &peerpb.Demand{Base: base, Version: o.have}
	last := base
	for i, key := range due {
		if i == room {
			list.Version = last
			break
		}
		c := o.changes[key]
		list.Backers = append(list.Backers, key)
		list.InUse = append(list.InUse, c.inUse)
		list.Demand = append(list.Demand, c.demand)
		list.Steps = append(list.Steps, c.version-last)
		last = c.version
	}
	return list
}

// receive takes in the demand of a message. A list that starts after the last known change is skipped.
func (t *demandTable) receive(lists []*peerpb.Demand, members []membership.Report) {
	index := keyed(members)
	for _, list := range lists {
		m, ok := index[list.GetOwner()]
		n := len(list.GetBackers())
		if !ok || m.ID == t.self || len(list.InUse) != n || len(list.Demand) != n || len(list.Steps) != n {
			continue
		}
		o := t.owner(m)
		if list.Base > o.have || list.Version <= o.have {
			continue
		}
		version := list.Base
		for i, key := range list.Backers {
			version += list.Steps[i]
			if version > o.changes[key].version {
				o.changes[key] = change{figures{list.InUse[i], list.Demand[i]}, version}
			}
		}
		o.have = list.Version
	}
	for _, r := range members {
		if o := t.owner(r.Member); o.have >= r.DemandVersion {
			o.confirmed = max(o.confirmed, r.Heartbeat)
		}
	}
}

// demands lists the demand of the given owners for the named backers, in the order of owner and backer.
func (t *demandTable) demands(owners []membership.Member, names map[uint32]string) []limit.Demand {
	var list []limit.Demand
	for _, m := range owners {
		o := t.owners[m.ID]
		if o == nil || m.ID == t.self || o.incarnation != m.Incarnation {
			continue
		}
		for key, c := range o.changes {
			name, ok := names[key]
			if !ok || c.figures == (figures{}) {
				continue
			}
			list = append(list, limit.Demand{
				Owner: m.ID, Backer: name, InUse: int(c.inUse), Demand: int(c.demand), Heartbeat: o.confirmed,
			})
		}
	}
	slices.SortFunc(list, func(a, b limit.Demand) int {
		return cmp.Or(cmp.Compare(a.Owner, b.Owner), cmp.Compare(a.Backer, b.Backer))
	})
	return list
}
