package peer

import (
	"cmp"
	"maps"
	"slices"

	"samphirepoint/limit"
	"samphirepoint/membership"
	"samphirepoint/peer/peerpb"
)

// maxDemandPerMessage bounds the backers in one message. With 8 members a daemon sends and receives 8 messages a second;
// at about 8 B per backer this keeps demand below 1.7 KB/s of the 5 KB/s budget for control traffic.
const maxDemandPerMessage = 30

// usage holds the slots in use and the demand of one backer at one owner.
type usage struct{ inUse, demand int32 }

// change is the latest change of a backer's usage at an owner.
type change struct {
	usage
	version int64
}

// ownerDemand is the known part of the demand that one incarnation of an owner publishes.
type ownerDemand struct {
	incarnation int64
	// knownVersion is the version up to which all changes are present.
	knownVersion int64
	// confirmedHeartbeat is the latest heartbeat of the owner at which no change was missing.
	confirmedHeartbeat int64
	// changes holds every backer that ever had demand; usage is zero for those that have none now.
	changes map[uint32]change
}

// demandTable holds the demand at all owners. Peers reconcile it by version: each message states the version up to which
// the sender has all changes of each owner, and the other side sends the later ones. It is guarded by the lock of Gossip.
type demandTable struct {
	self   string
	owners map[string]*ownerDemand
}

func newDemandTable(self string) *demandTable {
	return &demandTable{self: self, owners: map[string]*ownerDemand{self: {changes: map[uint32]change{}}}}
}

// owner returns the state of a member. It starts empty for a new incarnation of another entry.
func (t *demandTable) owner(m membership.Member) *ownerDemand {
	o := t.owners[m.ID]
	if o == nil || (o.incarnation != m.Incarnation && m.ID != t.self) {
		o = &ownerDemand{incarnation: m.Incarnation, changes: map[uint32]change{}}
		t.owners[m.ID] = o
	}
	return o
}

// knownVersion returns the version up to which all changes of the member's demand are present.
func (t *demandTable) knownVersion(m membership.Member) int64 { return t.owner(m).knownVersion }

// retain removes the demand of members that are no longer known.
func (t *demandTable) retain(known func(id string) bool) {
	maps.DeleteFunc(t.owners, func(id string, _ *ownerDemand) bool { return id != t.self && !known(id) })
}

// setOwn replaces the entry's own demand and returns the version of the last change. The largest relative changes get the
// lowest versions, because they are sent first.
func (t *demandTable) setOwn(list []limit.Demand) int64 {
	own := t.owners[t.self]
	next := make(map[uint32]usage, len(list))
	for _, d := range list {
		next[backerKey(d.Backer)] = usage{int32(d.InUse), int32(d.Demand)}
	}
	var changed []uint32
	for key, value := range next {
		if own.changes[key].usage != value {
			changed = append(changed, key)
		}
	}
	for key, old := range own.changes {
		if _, ok := next[key]; !ok && old.usage != (usage{}) {
			changed = append(changed, key)
		}
	}
	size := func(key uint32) float64 {
		before, after := own.changes[key].demand, next[key].demand
		return float64(max(before, after)-min(before, after)) / float64(max(before, after, 1))
	}
	slices.SortFunc(changed, func(a, b uint32) int { return cmp.Or(cmp.Compare(size(b), size(a)), cmp.Compare(a, b)) })
	for _, key := range changed {
		own.knownVersion++
		own.changes[key] = change{next[key], own.knownVersion}
	}
	return own.knownVersion
}

// appendTo adds the changes that the receiver lacks: the entry's own demand first, then that of other owners if relay is
// set and the message is not full. Replies relay, because the request states exactly what the receiver has; requests do
// not, because the receiver may meanwhile have received the same from others.
func (t *demandTable) appendTo(view *peerpb.View, members []membership.Report, receiver map[uint32]int64, relay bool) {
	remaining := maxDemandPerMessage
	add := func(m membership.Member) {
		key := memberKey(m)
		list := t.changesAfter(m, receiver[key], remaining)
		if list == nil {
			return
		}
		list.Owner = key
		remaining -= len(list.Backers)
		view.Demand = append(view.Demand, list)
	}
	for _, r := range members {
		if r.ID == t.self {
			add(r.Member)
		}
	}
	for _, r := range members {
		if relay && r.ID != t.self && remaining > 0 {
			add(r.Member)
		}
	}
}

// changesAfter lists up to limit changes of an owner that are later than version base, oldest first; nil if there are none.
func (t *demandTable) changesAfter(m membership.Member, base int64, limit int) *peerpb.Demand {
	o := t.owner(m)
	if o.knownVersion <= base {
		return nil
	}
	var due []uint32
	for key, c := range o.changes {
		if c.version > base {
			due = append(due, key)
		}
	}
	slices.SortFunc(due, func(a, b uint32) int { return cmp.Compare(o.changes[a].version, o.changes[b].version) })
	list := &peerpb.Demand{Base: base, Version: o.knownVersion}
	last := base
	for i, key := range due {
		if i == limit {
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

// merge merges the demand of a message. A list that starts after the last known change is skipped.
func (t *demandTable) merge(lists []*peerpb.Demand, members []membership.Report) {
	index := indexByKey(members)
	for _, list := range lists {
		m, ok := index[list.GetOwner()]
		n := len(list.GetBackers())
		if !ok || m.ID == t.self || len(list.InUse) != n || len(list.Demand) != n || len(list.Steps) != n {
			continue
		}
		o := t.owner(m)
		if list.Base > o.knownVersion || list.Version <= o.knownVersion {
			continue
		}
		version := list.Base
		for i, key := range list.Backers {
			version += list.Steps[i]
			if version > o.changes[key].version {
				o.changes[key] = change{usage{list.InUse[i], list.Demand[i]}, version}
			}
		}
		o.knownVersion = list.Version
	}
	for _, r := range members {
		if o := t.owner(r.Member); o.knownVersion >= r.DemandVersion {
			o.confirmedHeartbeat = max(o.confirmedHeartbeat, r.Heartbeat)
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
			if !ok || c.usage == (usage{}) {
				continue
			}
			list = append(list, limit.Demand{
				Owner: m.ID, Backer: name, InUse: int(c.inUse), Demand: int(c.demand), Heartbeat: o.confirmedHeartbeat,
			})
		}
	}
	slices.SortFunc(list, func(a, b limit.Demand) int {
		return cmp.Or(cmp.Compare(a.Owner, b.Owner), cmp.Compare(a.Backer, b.Backer))
	})
	return list
}
