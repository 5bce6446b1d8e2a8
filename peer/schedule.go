package peer

import (
	"maps"
	"math/rand/v2"
	"slices"

	"samphirepoint/membership"
)

const (
	// minFanout is the minimum number of live peers contacted per round.
	minFanout = 2
	// majorityRounds is the number of rounds in which a majority must be contacted so that contacts stay fresh for 5 s
	// even if one round fails.
	majorityRounds = 4
	// bootstrapProbes is the number of addresses that are probed per round while no peer is alive.
	bootstrapProbes = 4
)

// target is a peer to contact; member is zero if only the address is known.
type target struct {
	member  membership.Member
	address string
}

// schedule chooses the peers of a round: round-robin over the live peers in a random order that stays the same. With
// independent random choices, an entry would by chance miss a majority of its peers within 5 s every few minutes.
type schedule struct {
	rand   *rand.Rand
	queue  []string // ids of live peers in the order of contact
	probes []string // addresses of suspects and unknown peers in the order of contact
}

// next returns up to fanout live peers, and one peer that is suspect or known by address only, so that entries reconnect
// after a network partition without spending a quarter of the exchanges on dead peers.
func (s *schedule) next(view *membership.Snapshot, electorate int, seeds []string) []target {
	alive := map[string]membership.Member{}
	suspects := map[string]membership.Member{}
	known := map[string]bool{}
	for _, m := range view.Members {
		known[m.Address] = true
		switch {
		case m.ID == view.Self:
		case m.Status == membership.Alive:
			alive[m.ID] = m.Member
		default:
			suspects[m.Address] = m.Member
		}
	}
	fanout := max(minFanout, (electorate/2+majorityRounds-1)/majorityRounds)
	var targets []target
	for _, id := range s.rotate(&s.queue, min(fanout, len(alive)), slices.Sorted(maps.Keys(alive))) {
		targets = append(targets, target{alive[id], alive[id].Address})
	}
	var addresses []string
	for address := range suspects {
		addresses = append(addresses, address)
	}
	for _, address := range seeds {
		if !known[address] && !slices.Contains(addresses, address) {
			addresses = append(addresses, address)
		}
	}
	slices.Sort(addresses)
	probes := 1
	if len(alive) == 0 {
		probes = bootstrapProbes
	}
	for _, a := range s.rotate(&s.probes, min(probes, len(addresses)), addresses) {
		targets = append(targets, target{suspects[a], a})
	}
	return targets
}

// rotate returns the first n elements of the queue and moves them to its end. Before that it inserts new elements of all
// at random positions and removes those that are not in all.
func (s *schedule) rotate(queue *[]string, n int, all []string) []string {
	*queue = slices.DeleteFunc(*queue, func(e string) bool { return !slices.Contains(all, e) })
	for _, e := range all {
		if !slices.Contains(*queue, e) {
			*queue = slices.Insert(*queue, s.rand.IntN(len(*queue)+1), e)
		}
	}
	first := slices.Clone((*queue)[:n])
	*queue = append((*queue)[n:], first...)
	return first
}
