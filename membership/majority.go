package membership

import (
	"maps"
	"slices"
	"time"
)

// electorate returns the ids that count for a majority, in order: those in the last instance list and those heard of
// within ForgetAfter. Leaving members do not count, neither for nor against, so that replacing all entries
// one after the other keeps a majority at every moment.
func (v *View) electorate(listed []string) []string {
	ids := map[string]bool{}
	for _, id := range listed {
		ids[id] = true
	}
	for id := range v.members {
		ids[id] = true
	}
	if listed == nil {
		maps.Copy(ids, v.lost)
	}
	for id, r := range v.members {
		if r.Leaving {
			delete(ids, id)
		}
	}
	return slices.Sorted(maps.Keys(ids))
}

// Quorum reports whether the ids in part are a majority of the members, and the number of members that count. With two
// equal halves the one that holds the lowest id is the majority.
//
// listed holds the ids of the live entries in the last instance list; nil means that the list was never read. Such an
// entry takes at least the number of members that its contacts count, since those may know members that it never
// heard of, and it is no majority while it knows no other entry, since it cannot tell a fleet of one from a cut.
func (v *View) Quorum(part, listed []string, contacts map[string]Contact) (majority bool, members int) {
	ids := v.electorate(listed)
	members = len(ids)
	if listed == nil {
		for _, c := range contacts {
			members = max(members, c.Members)
		}
		if len(v.members)+len(v.lost) == 1 {
			return false, members
		}
	}
	n := 0
	for _, id := range ids {
		if slices.Contains(part, id) {
			n++
		}
	}
	if 2*n == members && members == len(ids) && n > 0 {
		return slices.Contains(part, ids[0]), members
	}
	return 2*n > members, members
}

// Contact is the last exchange with a member that the entry began and that was answered.
type Contact struct {
	// At is the start of the exchange. The start counts, and exchanges that others began do not, because a message may
	// wait in a socket for as long as a cut or a pause lasts.
	At time.Time
	// ConfigVersion is the version that the member had in force when it answered.
	ConfigVersion int64
	// Members is the number of members that count for a majority in the member's view.
	Members int
}

// Majority reports whether the entry and the members it has contacted after now - within are a majority, and the highest
// configuration version that these members had. A version that a majority had in force before now - within is
// not higher than that, if the former is true.
func (v *View) Majority(contacts map[string]Contact, listed []string, now time.Time, within time.Duration) (majority bool, newest int64) {
	part := []string{v.self}
	for id, c := range contacts {
		if now.Sub(c.At) <= within {
			part = append(part, id)
			newest = max(newest, c.ConfigVersion)
		}
	}
	majority, _ = v.Quorum(part, listed, contacts)
	return majority, newest
}
