package shard

// Candidate is a worker of a pool.
type Candidate struct {
	ID string
	// Kind identifies the workers that may run the same tasks.
	Kind string
	// CPU is the worker's capacity in thousandths of a core.
	CPU int64
	// Shard is the number of the worker's shard, or Unassigned.
	Shard int
}

// Unassigned stands for the shard of a worker that has none yet.
const Unassigned = -1

// Balance returns shards for the workers that have none: each goes to the shard with the fewest workers of its kind, and among those to
// the one with the least capacity.
func Balance(list []Candidate, count int) map[string]int {
	kinds := make([]map[string]int, count)
	cpu := make([]int64, count)
	for k := range kinds {
		kinds[k] = map[string]int{}
	}
	add := func(c *Candidate, k int) {
		kinds[k][c.Kind]++
		cpu[k] += c.CPU
	}
	for i := range list {
		if k := list[i].Shard; k >= 0 && k < count {
			add(&list[i], k)
		}
	}
	out := map[string]int{}
	for i := range list {
		c := &list[i]
		if c.Shard != Unassigned {
			continue
		}
		best := 0
		for k := 1; k < count; k++ {
			n, least := kinds[k][c.Kind], kinds[best][c.Kind]
			if n < least || n == least && cpu[k] < cpu[best] {
				best = k
			}
		}
		add(c, best)
		out[c.ID] = best
	}
	return out
}
