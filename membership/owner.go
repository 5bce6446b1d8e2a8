package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Pool holds the properties of a pool that determine its owner.
type Pool struct {
	Name string
	// Region, if set, is the preferred region of the owner.
	Region string
}

// assignment is a possible assignment of a pool to a member, both by index.
type assignment struct {
	pool, member int
	local        bool
	score        uint64
}

// Owners assigns each pool to a candidate by rendezvous hashing with bounded load: no member gets more than
// ceil(pools/candidates). All (pool, member) pairs are visited by descending score, and each
// takes effect if the pool has no owner yet and the member is below the bound. Scores do not depend on the other members,
// so a member that joins or leaves moves its own pools and those displaced by the changed bound. Pairs within the
// pool's region come first.
//
// Equal input gives equal output in any order of members and pools. Without candidates the result is empty.
func Owners(pools []Pool, members []Member) map[string]Member {
	candidates := Candidates(members)
	owners := make(map[string]Member, len(pools))
	if len(candidates) == 0 || len(pools) == 0 {
		return owners
	}
	pairs := make([]assignment, 0, len(pools)*len(candidates))
	for p, pool := range pools {
		for m, member := range candidates {
			local := pool.Region == "" || pool.Region == member.Region
			pairs = append(pairs, assignment{p, m, local, score(pool.Name, member.ID)})
		}
	}
	slices.SortFunc(pairs, func(a, b assignment) int {
		if a.local != b.local {
			if a.local {
				return -1
			}
			return 1
		}
		return cmp.Or(
			cmp.Compare(b.score, a.score),
			cmp.Compare(pools[a.pool].Name, pools[b.pool].Name),
			cmp.Compare(candidates[a.member].ID, candidates[b.member].ID),
		)
	})
	bound := (len(pools) + len(candidates) - 1) / len(candidates)
	load := make([]int, len(candidates))
	for _, pair := range pairs {
		name := pools[pair.pool].Name
		if _, assigned := owners[name]; assigned || load[pair.member] >= bound {
			continue
		}
		owners[name] = candidates[pair.member]
		load[pair.member]++
	}
	return owners
}

// Candidates returns the members that may own pools: those that are not leaving and have a configuration. If
// none has one, as at the first start of a deployment, all that are not leaving are candidates.
func Candidates(members []Member) []Member {
	var staying, ready []Member
	for _, m := range members {
		if m.Leaving {
			continue
		}
		staying = append(staying, m)
		if m.ConfigVersion > 0 {
			ready = append(ready, m)
		}
	}
	if len(ready) == 0 {
		return staying
	}
	return ready
}

// score returns the rendezvous weight of a member for a pool. The separator distinguishes ("ab", "c") from
// ("a", "bc").
func score(pool, member string) uint64 {
	var d xxhash.Digest
	d.Reset()
	d.WriteString(pool)
	d.Write([]byte{0})
	d.WriteString(member)
	return d.Sum64()
}
