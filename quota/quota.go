// Package quota divides the cap of each workspace among the shards that run its jobs, so that all owners together keep the cap although
// none of them knows what the others run.
//
// A workspace's ledger is one row of the store. It holds each shard's allotment; an owner changes only that of its own shard, on condition
// that it has seen the newest version of the row. The sum of the allotments therefore exceeds the cap only after the cap was
// lowered. Ledger decides, and does no I/O; Keeper reads and writes the rows.
package quota

import (
	"slices"

	"samphirepoint/engine"
)

// Share is a shard's part of a workspace's cap.
type Share struct {
	// Token is that of the owner that wrote the share. An owner that finds a higher one has lost the shard.
	Token int64 `json:"t"`
	// Granted is what the shard may have running.
	Granted engine.Resources `json:"g"`
	// Wanted is what the shard could have running, when that was last of interest to the other shards.
	Wanted engine.Resources `json:"w,omitzero"`
}

// Ledger is the division of one workspace's cap.
type Ledger struct {
	Shares map[string]Share `json:"s"`
}

// Demand is what a shard has running of a workspace, and what it would have running with enough capacity and allotment.
type Demand struct {
	Used, Wanted engine.Resources
}

// Limit returns what the shard may have running under the cap. After the cap was lowered, the shards scale their shares down
// by the same factor until each has written a smaller one.
func (l Ledger) Limit(shard string, limit engine.Resources) engine.Allotment {
	granted := l.Shares[shard].Granted
	sum := l.sum()
	out := engine.Allotment{
		Limit: perResource(func(r resource) int64 { return scaled(r(&granted), r(&sum), r(&limit)) }),
	}
	others := sum.Sub(granted)
	out.Sole = others == (engine.Resources{})
	return out
}

// scaled returns a share of a cap whose shares add up to sum. A cap of 0 bounds nothing.
func scaled(share, sum, limit int64) int64 {
	switch {
	case limit == 0:
		return engine.Unlimited
	case sum <= limit:
		return share
	}
	return int64(float64(share) * (float64(limit) / float64(sum)))
}

// sum returns the sum of all shares.
func (l Ledger) sum() engine.Resources {
	var sum engine.Resources
	for _, s := range l.Shares {
		sum = sum.Add(s.Granted)
	}
	return sum
}

// Plan returns the share that a shard's owner should write now, and whether it differs from the present one. A share that shrinks may be
// used no more before it is written, and one that grows not before the write has succeeded.
func (l Ledger) Plan(shard string, token int64, limit engine.Resources, d Demand) (Share, bool) {
	present, known := l.Shares[shard]
	if !known && d == (Demand{}) {
		return present, false
	}
	next := Share{
		Token: token,
		Granted: perResource(func(r resource) int64 {
			return l.plan(shard, r, r(&limit), r(&d.Used), r(&d.Wanted))
		}),
	}
	next.Wanted = l.published(present, next.Granted, d.Wanted, limit)
	return next, next != present
}

// published returns the demand that a share states. It changes only when others need to know, as each change is a write: when the shard begins or
// ends to lack something.
func (l Ledger) published(present Share, granted, wanted, limit engine.Resources) engine.Resources {
	lacks := perResource(func(r resource) int64 {
		if r(&limit) == 0 || r(&wanted) <= r(&granted) {
			return 0
		}
		return r(&wanted)
	})
	if lacks == (engine.Resources{}) {
		return engine.Resources{}
	}
	if present.Wanted != (engine.Resources{}) && lacks.Covers(present.Wanted) && doubled(present.Wanted).Covers(lacks) {
		return present.Wanted
	}
	return lacks
}

func doubled(r engine.Resources) engine.Resources { return r.Add(r) }

// idleFactor is how many times its request a shard may hold before it gives back the rest although no other shard lacks anything. Another one
// then needs no time to ask for it.
const idleFactor = 2

// plan returns the share of one resource.
func (l Ledger) plan(shard string, r resource, limit, used, wanted int64) int64 {
	if limit == 0 {
		return 0
	}
	own := l.Shares[shard]
	granted := r(&own.Granted)
	free, lacking := limit-granted, int64(0)
	wants := []int64{wanted}
	for name, s := range l.Shares {
		if name == shard {
			continue
		}
		free -= r(&s.Granted)
		lacking += max(r(&s.Wanted)-r(&s.Granted), 0)
		wants = append(wants, max(r(&s.Wanted), min(r(&s.Granted), limit)))
	}
	request := int64(0)
	if wanted > 0 {
		request = min(wanted+limit/int64(2*len(wants)), limit)
	}
	contended := lacking > max(free, 0)
	if contended {
		wants[0] = wanted
		request = min(request, max(fairShare(wants, limit), min(used, limit)))
	}
	switch {
	case free < 0: // The cap was lowered.
		return max(min(granted, request, scaled(granted, limit-free, limit)), used)
	case request > granted && wanted > granted:
		return min(request, granted+free)
	case request < granted && (contended || granted > idleFactor*request):
		return max(request, used)
	}
	return granted
}

// fairShare returns what max-min fairness gives the first of several wants.
func fairShare(wants []int64, limit int64) int64 {
	first := wants[0]
	slices.Sort(wants)
	for i, want := range wants {
		equal := limit / int64(len(wants)-i)
		if want > equal {
			return min(first, equal)
		}
		limit -= want
	}
	return first
}

// resource selects one of the resources.
type resource func(*engine.Resources) int64

// perResource computes each resource by itself.
func perResource(f func(resource) int64) engine.Resources {
	return engine.Resources{
		CPU: f(func(r *engine.Resources) int64 { return r.CPU }),
		Mem: f(func(r *engine.Resources) int64 { return r.Mem }),
		GPU: f(func(r *engine.Resources) int64 { return r.GPU }),
	}
}
