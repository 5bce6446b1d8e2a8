package membership

import (
	"maps"
	"slices"
	"time"
)

// ObservedMember is a member as a view has observed it.
type ObservedMember struct {
	Member
	Status Status
	// HeartbeatAt is the local time at which the last heartbeat was produced.
	HeartbeatAt time.Time
}

// Snapshot is an immutable copy of a view for readers in other goroutines.
type Snapshot struct {
	// Self is the id of the entry that the view belongs to.
	Self string
	At   time.Time
	// Members holds all known members, sorted by id.
	Members []ObservedMember
	owners  map[string]Member
}

// Snapshot returns a copy of the view with the pools assigned to owners.
func (v *View) Snapshot(pools []Pool, now time.Time) *Snapshot {
	s := &Snapshot{Self: v.self, At: now}
	for _, id := range slices.Sorted(maps.Keys(v.members)) {
		r := v.members[id]
		s.Members = append(s.Members, ObservedMember{Member: r.Member, Status: v.status(r, now), HeartbeatAt: r.heartbeatAt})
	}
	s.owners = Owners(pools, v.Alive(now))
	return s
}

// Owner returns the owner of a pool, or false if the pool is unknown or no entry can own it.
func (s *Snapshot) Owner(pool string) (Member, bool) {
	m, ok := s.owners[pool]
	return m, ok
}

// Owned returns the names of the pools that a member owns, sorted.
func (s *Snapshot) Owned(id string) []string {
	var pools []string
	for pool, m := range s.owners {
		if m.ID == id {
			pools = append(pools, pool)
		}
	}
	slices.Sort(pools)
	return pools
}

// Member returns the member with the id, or false if it is unknown.
func (s *Snapshot) Member(id string) (ObservedMember, bool) {
	i, ok := slices.BinarySearchFunc(s.Members, id, func(m ObservedMember, id string) int {
		switch {
		case m.ID < id:
			return -1
		case m.ID > id:
			return 1
		}
		return 0
	})
	if !ok {
		return ObservedMember{}, false
	}
	return s.Members[i], true
}

// Alive returns the members that are not suspect, sorted by id, including the entry itself.
func (s *Snapshot) Alive() []Member {
	var alive []Member
	for _, m := range s.Members {
		if m.Status == Alive {
			alive = append(alive, m.Member)
		}
	}
	return alive
}

// NewestConfig returns the highest configuration version that a live member has in force, and the members that have it.
// Suspect members do not count: a version that only a dead entry had was never installed by a majority.
func (s *Snapshot) NewestConfig() (version int64, holders []Member) {
	for _, m := range s.Members {
		switch {
		case m.Status != Alive:
		case m.ConfigVersion > version:
			version, holders = m.ConfigVersion, []Member{m.Member}
		case m.ConfigVersion == version && version > 0:
			holders = append(holders, m.Member)
		}
	}
	return version, holders
}
