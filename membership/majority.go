package membership

import (
	"maps"
	"slices"
	"time"
)

// quorumMembers returns the ids that count for a majority, in order: those in the last instance list and those with a
// heartbeat within ForgetAfter. Leaving members do not count, neither for nor against, so that a majority remains at any
// time while all entries are replaced one after the other.
func (v *View) quorumMembers(listed []string) []string {
	ids := map[string]bool{}
	for _, id := range listed {
		ids[id] = true
	}
	for id := range v.members {
		ids[id] = true
	}
	if listed == nil {
		maps.Copy(ids, v.expired)
	}
	for id, r := range v.members {
		if r.Leaving {
			delete(ids, id)
		}
	}
	return slices.Sorted(maps.Keys(ids))
}

// Quorum reports whether the ids in subset are a majority of the members, and the number of members that count. If
// subset is exactly half of the members, it is a majority if it contains the lowest id.
//
// listed holds the ids of the live entries in the last instance list; nil means that the list was never read. In that
// case the number of members is at least the highest that a contact counts, since contacts may know members that this
// entry has no report about. An entry that then knows no other entry is not a majority and counts one unknown member, since
// it cannot distinguish a deployment of one entry from a network partition.
func (v *View) Quorum(subset, listed []string, contacts map[string]Contact) (majority bool, members int) {
	ids := v.quorumMembers(listed)
	members = len(ids)
	if listed == nil {
		for _, c := range contacts {
			members = max(members, c.Members)
		}
		if len(v.members)+len(v.expired) == 1 {
			return false, max(members, 2)
		}
	}
	n := 0
	for _, id := range ids {
		if slices.Contains(subset, id) {
			n++
		}
	}
	if 2*n == members && members == len(ids) && n > 0 {
		return slices.Contains(subset, ids[0]), members
	}
	return 2*n > members, members
}

// Contact describes the last exchange with a member that the entry started and the member answered.
type Contact struct {
	// At is the start of the exchange. Its end, and exchanges that other entries started, do not prove recent contact: a
	// message may wait in a socket while a network partition or a process pause lasts.
	At time.Time
	// ConfigVersion is the version that the member had in force when it answered.
	ConfigVersion int64
	// Members is the number of members that count for a majority in the member's view.
	Members int
}

// Majority reports whether the entry and the members that it contacted at now - within or later are a majority, and the
// highest configuration version that these members had in force. If they are a majority, no majority had a higher
// version in force before now - within.
func (v *View) Majority(contacts map[string]Contact, listed []string, now time.Time, within time.Duration) (majority bool, newest int64) {
	contacted := []string{v.self}
	for id, c := range contacts {
		if now.Sub(c.At) <= within {
			contacted = append(contacted, id)
			newest = max(newest, c.ConfigVersion)
		}
	}
	majority, _ = v.Quorum(contacted, listed, contacts)
	return majority, newest
}
