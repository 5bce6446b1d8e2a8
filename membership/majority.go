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

// Majority reports whether the entry and the members it has exchanged gossip with after now - within are a majority.
// contacts holds, per member, the start time of the last exchange that the entry began and that was answered.
// The start counts, and exchanges that others began do not, because a message may wait in a socket
// for as long as a cut or a pause lasts.
func (v *View) Majority(contacts map[string]time.Time, listed []string, now time.Time, within time.Duration) bool {
	part := []string{v.self}
	for id, t := range contacts {
		if now.Sub(t) <= within {
			part = append(part, id)
		}
	}
	return v.Quorum(part, listed)
}

// Electorate is the number of members that count for a majority.
func (v *View) Electorate(listed []string) int { return len(v.electorate(listed)) }
