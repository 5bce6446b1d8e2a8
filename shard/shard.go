// Package shard divides large pools into shards. Each shard is a part of the store with an owner, a claim and an engine of its own, so
// that several daemons serve one pool. A job belongs to the shard that its ID determines, so that any daemon finds it. A worker
// belongs to the shard that it was assigned to when it joined the pool, so that the shards have equal numbers of workers. Neither ever
// changes, so no job and no worker has two owners.
//
// The number of shards of a pool is stored once and never changes: with another number, jobs would belong to other shards.
//
//	layout := shard.NewLayout(map[string]int{"pumps": 4})
//	name, ok := layout.OfJob("pumps", "5c0e7a21d94b36f8") // "pumps#2"
package shard

import (
	"maps"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// separator separates the name of a pool from the number of the shard.
const separator = "#"

// Layout holds the number of shards of each pool. It is immutable. The nil Layout has no pools.
type Layout struct {
	counts map[string]int
	// pools holds the pool of each shard.
	pools map[string]string
}

// NewLayout returns a layout with the given number of shards of each pool. Numbers below 1 count as 1.
func NewLayout(counts map[string]int) *Layout {
	l := &Layout{counts: map[string]int{}, pools: map[string]string{}}
	for pool, n := range counts {
		l.counts[pool] = max(n, 1)
		for _, name := range names(pool, l.counts[pool]) {
			l.pools[name] = pool
		}
	}
	return l
}

// names returns the names of a pool's shards. The only shard of a pool has the name of the pool.
func names(pool string, count int) []string {
	if count == 1 {
		return []string{pool}
	}
	var out []string
	for k := range count {
		out = append(out, name(pool, k))
	}
	return out
}

func name(pool string, k int) string { return pool + separator + strconv.Itoa(k) }

// With returns a layout that has one more pool.
func (l *Layout) With(pool string, count int) *Layout {
	counts := map[string]int{pool: count}
	if l != nil {
		maps.Copy(counts, l.counts)
	}
	return NewLayout(counts)
}

// Count returns the number of shards of a pool, or 0 if the layout doesn't have the pool.
func (l *Layout) Count(pool string) int {
	if l == nil {
		return 0
	}
	return l.counts[pool]
}

// Names returns the shards of the given pools, without those of pools that the layout doesn't have.
func (l *Layout) Names(pools ...string) []string {
	var out []string
	for _, pool := range pools {
		if n := l.Count(pool); n > 0 {
			out = append(out, names(pool, n)...)
		}
	}
	return out
}

// Divided returns the pools that have more than one shard, ordered by name.
func (l *Layout) Divided() []string {
	if l == nil {
		return nil
	}
	var out []string
	for pool, n := range l.counts {
		if n > 1 {
			out = append(out, pool)
		}
	}
	slices.Sort(out)
	return out
}

// Number returns the number of a shard within its pool, and false if the layout doesn't have the shard.
func (l *Layout) Number(shard string) (int, bool) {
	pool := l.PoolOf(shard)
	for k := range l.Count(pool) {
		if l.Count(pool) == 1 || name(pool, k) == shard {
			return k, true
		}
	}
	return 0, false
}

// PoolOf returns the pool of a shard. A name that the layout doesn't have stands for itself.
func (l *Layout) PoolOf(shard string) string {
	if l != nil {
		if pool, ok := l.pools[shard]; ok {
			return pool
		}
	}
	return shard
}

// OfJob returns the shard of a job, and false if the layout doesn't have the pool.
func (l *Layout) OfJob(pool, id string) (string, bool) {
	switch n := l.Count(pool); n {
	case 0:
		return "", false
	case 1:
		return pool, true
	default:
		return name(pool, int(xxhash.Sum64String(id)%uint64(n))), true
	}
}
