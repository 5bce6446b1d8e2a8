package upkeep

import (
	"cmp"
	"slices"

	"samphirepoint/engine"
	"samphirepoint/shard"
)

// sizes describes the pools for the choice of their numbers of shards.
func (s *State) sizes() map[string]shard.Size {
	out := map[string]shard.Size{}
	for _, i := range s.Instances {
		size := out[i.Pool]
		if size.Kinds == nil {
			size.Kinds = map[string]int{}
		}
		size.Workers++
		for _, kind := range i.kinds() {
			size.Kinds[kind]++
		}
		out[i.Pool] = size
	}
	return out
}

// kinds returns the kinds that the instance is of, in the notation of engine.Step.Kinds, without its rack.
func (i *Instance) kinds() []string {
	var out []string
	for _, label := range i.Labels {
		if label != i.Rack {
			out = append(out, label)
		}
	}
	if i.CapacityGPU > 0 {
		out = append(out, engine.KindGPU)
	}
	return out
}

// byFullestShard orders a pool's instances for their release, so that the instances that remain are spread evenly over the shards: jobs
// are. Instances of the same shard keep their order.
func (s *State) byFullestShard(pool string, list []Instance) []Instance {
	if s.layout.Count(pool) <= 1 {
		return list
	}
	remaining := map[string]int{}
	for _, i := range s.Instances {
		if i.Pool == pool && i.State == StateUp {
			remaining[s.shardOfInstance(i)]++
		}
	}
	queues := map[string][]Instance{}
	for _, i := range list {
		name := s.shardOfInstance(i)
		queues[name] = append(queues[name], i)
	}
	names := append(s.layout.Names(pool), noShard)
	out := make([]Instance, 0, len(list))
	for range list {
		fullest := slices.MaxFunc(names, func(a, b string) int {
			return cmp.Or(cmp.Compare(min(len(queues[a]), 1), min(len(queues[b]), 1)), cmp.Compare(remaining[a], remaining[b]))
		})
		out = append(out, queues[fullest][0])
		queues[fullest] = queues[fullest][1:]
		remaining[fullest]--
	}
	return out
}

// noShard stands for the shard of an instance whose worker has none yet.
const noShard = ""

// shardOfInstance returns the shard of an instance, which is its pool unless that is divided.
func (s *State) shardOfInstance(i Instance) string {
	if s.layout.Count(i.Pool) <= 1 {
		return i.Pool
	}
	if name, ok := s.shardOf(i.Pool, i.Worker); ok {
		return name
	}
	return noShard
}
