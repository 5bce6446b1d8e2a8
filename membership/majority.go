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

// Quorum reports whether the ids in part are a majority of the members. With two equal halves the one that holds
// the lowest id is the majority. listed holds the ids of the live entries in the last instance list; nil means
// that the list was never read. An entry that never read the list and knows no other entry is no majority,
// since it cannot tell a fleet of one from a cut.
func (v *View) Quorum(part, listed []string) bool {
	members := v.electorate(listed)
	if listed == nil && len(v.members)+len(v.lost) == 1 {
		return false
	}
	n := 0
	for _, id := range members {
		if slices.Contains(part, id) {
			n++
		}
	}
	switch {
	case len(members) == 0:
		return false
	case 2*n == len(members):
		return slices.Contains(part, members[0])
	default:
		return 2*n > len(members)
	}
}

// Contact is the last exchange with a member that the entry began and that was answered.
type Contact struct {
	// At is the start of the exchange. The start counts, and exchanges that others began do not, because a message may
	// wait in a socket for as long as a cut or a pause lasts.
	At time.Time
	// ConfigVersion is the version that the member had in force when it answered.
	ConfigVersion int64
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
	return v.Quorum(part, listed), newest
}

// Electorate is the number of members that count for a majority.
func (v *View) Electorate(listed []string) int { return len(v.electorate(listed)) }
