package upkeep

import (
	"maps"
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

// shardSize is the present and the least number of instances of a shard.
type shardSize struct {
	current int
	// needed is the number that the shard's work needs outside the pool's peak period, offPeak that or the number with long-running tasks
	// if that is higher.
	needed, offPeak int
}

// shardSizes returns the sizes of a pool's shards. An equal part of the pool's work without long-running tasks goes to each.
func (s *State) shardSizes(pool string, r engine.PoolReport, f *Forecast) map[string]*shardSize {
	out := map[string]*shardSize{}
	names := s.layout.Names(pool)
	if len(names) == 0 {
		names = []string{pool}
	}
	for _, name := range names {
		out[name] = &shardSize{}
	}
	hosts, allHosts := map[string]int{}, 0
	for _, w := range r.Workers {
		if w.LongRunning > 0 {
			hosts[s.shardOfInstance(Instance{Pool: pool, Worker: w.ID})]++
			allHosts++
		}
	}
	rate := 0.0
	if d := f.pools[pool]; d != nil {
		rate = d.rate
	}
	work := max(rate, float64(r.UsedCPU-r.LongRunningCPU+r.PendingCPU)) * offPeakMargin / float64(len(names))
	for name, size := range out {
		longRunning := float64(r.LongRunningCPU) * float64(hosts[name]) / float64(max(allHosts, 1))
		baseline := (s.Baseline[pool] + len(names) - 1) / len(names)
		size.needed = min(baseline, ceilDiv(work+longRunning, s.instanceCPU(pool))+offPeakExtra)
		size.offPeak = max(hosts[name], size.needed)
	}
	for _, i := range s.Instances {
		if size := out[s.shardOfInstance(i)]; size != nil && i.Pool == pool && i.State == StateUp {
			size.current++
		}
	}
	return out
}

// keepShards adapts what a divided pool gets, and the order in which its instances are released, to its shards: an equal part of the jobs
// goes to each, whatever instances it has. For a shard with less than its work needs the pool gets more instances, also while others
// have a surplus; these are assigned to the smallest shard. Only shards above their least size release some, the fullest first.
func (s *State) keepShards(p *poolSize, sizes map[string]*shardSize) {
	if len(sizes) <= 1 {
		return
	}
	present := 0
	for _, size := range sizes {
		p.missing += max(0, size.needed-size.current)
		present += size.current
	}
	p.missing = max(0, p.missing-(p.current-present)) // Some are on their way.
	p.empty = s.byFullestShard(p.empty, sizes)
	p.busy = s.byFullestShard(p.busy, sizes) // those that are left once the empty ones are released
}

// byFullestShard orders instances for their release, the fullest shard first, without those that their shard needs, and takes them off
// sizes. Instances of the same shard keep their order.
func (s *State) byFullestShard(list []Instance, sizes map[string]*shardSize) []Instance {
	queues := map[string][]Instance{}
	for _, i := range list {
		name := s.shardOfInstance(i)
		queues[name] = append(queues[name], i)
	}
	out := queues[noShard]
	for {
		fullest := noShard
		for _, name := range slices.Sorted(maps.Keys(sizes)) {
			if len(queues[name]) > 0 && sizes[name].current > sizes[name].offPeak && (fullest == noShard || sizes[name].current > sizes[fullest].current) {
				fullest = name
			}
		}
		if fullest == noShard {
			return out
		}
		out = append(out, queues[fullest][0])
		queues[fullest] = queues[fullest][1:]
		sizes[fullest].current--
	}
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
