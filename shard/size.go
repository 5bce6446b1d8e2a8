package shard

import (
	"cmp"
	"slices"
)

const (
	// workersPerCore is the number of workers that one core of an owner's machine serves in a peak of short tasks.
	workersPerCore = 64
	// defaultCores stands for the processor share of a machine that doesn't report it.
	defaultCores = 1.0
	// minPerKind is the least number of workers of each kind in a shard. Tasks that require a kind have no other workers.
	minPerKind = 8
	// maxCount bounds the number of shards of a pool.
	maxCount = 64
)

// Size describes a pool for the choice of its number of shards.
type Size struct {
	// Workers is the number of the pool's workers.
	Workers int
	// Kinds is the number of workers of each kind that tasks may require.
	Kinds map[string]int
}

// Choose returns the number of shards for a pool. Owners are assigned to the machines with the most cores first, so a shard gets as
// many workers as the least of the pools' first owners serves.
//
// cores has the processor share of each daemon's machine, in cores; 0 stands for an unknown one. pools is the number of pools.
func Choose(s Size, cores []float64, pools int) int {
	n := int(float64(s.Workers) / (workersPerCore * ownerCores(cores, pools)))
	for _, count := range s.Kinds {
		n = min(n, count/minPerKind)
	}
	return min(max(n, 1), maxCount)
}

// ownerCores returns the processor share of the machine that is the last to get a pool if each machine gets one.
func ownerCores(cores []float64, pools int) float64 {
	if len(cores) == 0 {
		return defaultCores
	}
	sorted := slices.SortedFunc(slices.Values(cores), func(a, b float64) int { return cmp.Compare(b, a) })
	c := sorted[min(max(pools, 1), len(sorted))-1]
	if c <= 0 {
		return defaultCores
	}
	return c
}
