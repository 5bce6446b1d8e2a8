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
	// Wanted is what the shard's workers have room to run, if that is more than Granted, and Unit the most that a single start needs then. Both are
	// written only when the others need to know, as each change is a write.
	Wanted engine.Resources `json:"w,omitzero"`
	Unit   engine.Resources `json:"u,omitzero"`
}

// lacks reports whether the shard could use more than it has.
func (s Share) lacks() bool { return s.Wanted != (engine.Resources{}) }

// Ledger is the division of one workspace's cap.
type Ledger struct {
	Shares map[string]Share `json:"s"`
}

// Limit returns what the shard may have running under the cap. While the shares exceed the cap, as after it was lowered, each shard counts all that
// the others hold, as they may have it running. A first task may exceed the limit in a resource of which only this shard holds anything.
func (l Ledger) Limit(shard string, limit engine.Resources) engine.Allotment {
	granted, sum := l.Shares[shard].Granted, l.sum()
	var out engine.Allotment
	for _, r := range resources {
		own, others, bound := *r(&granted), *r(&sum)-*r(&granted), *r(&limit)
		if bound == 0 {
			*r(&out.Limit), *r(&out.First) = engine.Unlimited, engine.Unlimited
			continue
		}
		*r(&out.Limit) = max(min(own, bound-others), 0)
		*r(&out.First) = *r(&out.Limit)
		if own > 0 && others == 0 {
			*r(&out.First) = engine.Unlimited
		}
	}
	return out
}

// scaled returns a share of a cap, scaled down if the shares add up to more.
func scaled(share, sum, limit int64) int64 {
	if sum <= limit {
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
// used no more before it is written, and one that grows not before the write has succeeded. wallMS is the Unix time in milliseconds, by which the
// owners of all shards agree on whose turn it is.
func (l Ledger) Plan(shard string, token int64, limit engine.Resources, d engine.WorkspaceDemand, wallMS int64) (Share, bool) {
	present, known := l.Shares[shard]
	if !known && d == (engine.WorkspaceDemand{}) {
		return present, false
	}
	next := Share{Token: token}
	lacking := l.lackingShards(shard, limit, d)
	for _, r := range resources {
		*r(&next.Granted) = l.grant(shard, r, limit, d, lacking, wallMS)
	}
	next.Wanted, next.Unit = published(present, next.Granted, d, limit)
	return next, next != present
}

// lackingShards returns the shards that could use more than they have, ordered by name.
func (l Ledger) lackingShards(shard string, limit engine.Resources, d engine.WorkspaceDemand) []string {
	var out []string
	for name, s := range l.Shares {
		if name != shard && s.lacks() {
			out = append(out, name)
		}
	}
	if beyond(d.Placeable, l.Shares[shard].Granted, limit) != (engine.Resources{}) {
		out = append(out, shard)
	}
	slices.Sort(out)
	return out
}

// beyond returns the wanted amount of each capped resource of which more is wanted than granted.
func beyond(wanted, granted, limit engine.Resources) engine.Resources {
	var out engine.Resources
	for _, r := range resources {
		if *r(&limit) > 0 && *r(&wanted) > *r(&granted) {
			*r(&out) = *r(&wanted)
		}
	}
	return out
}

// published returns the demand that a share states. It changes when the shard begins or ceases to lack something, wants twice as much or half, or has
// got what it stated but for less than one start.
func published(present Share, granted engine.Resources, d engine.WorkspaceDemand, limit engine.Resources) (wanted, unit engine.Resources) {
	wanted = beyond(d.Placeable, granted, limit)
	switch {
	case wanted == (engine.Resources{}):
		return engine.Resources{}, engine.Resources{}
	case present.lacks() && wanted.Times(2).Covers(present.Wanted) && present.Wanted.Times(2).Covers(wanted) && present.Unit.Covers(d.Unit) &&
		present.Wanted.Covers(wanted.Min(granted.Add(d.Unit))):
		return present.Wanted, present.Unit
	}
	return wanted, d.Unit
}

const (
	// idleFactor is how many times its request, besides its headroom, a shard may hold before it gives back the rest although no other shard
	// lacks anything.
	idleFactor = 2
	// turnMS is how long one shard goes first, in milliseconds, where an equal part of the cap is too little for a task.
	turnMS = 1000
	// minUnitsPerPart is the number of the largest tasks that an equal part of the cap must hold for the cap to be divided equally.
	minUnitsPerPart = 2
)

// others is what the shares of all other shards say of one resource, as one shard sees it.
type others struct {
	// free is what no shard has of the cap. It is negative after the cap was lowered.
	free int64
	// missing is how much more than they have the others could use.
	missing int64
	// unit is the largest need of a single start in any shard.
	unit int64
	// wants are what the shards could use, that of the shard itself first.
	wants []int64
}

// others returns what the shares of the others say of a resource.
func (l Ledger) others(shard string, r resource, limit int64, d engine.WorkspaceDemand) others {
	own := l.Shares[shard]
	o := others{free: limit - *r(&own.Granted), unit: *r(&d.Unit), wants: []int64{*r(&d.Placeable)}}
	for name, s := range l.Shares {
		if name == shard {
			continue
		}
		o.free -= *r(&s.Granted)
		o.missing += max(*r(&s.Wanted)-*r(&s.Granted), 0)
		o.unit = max(o.unit, *r(&s.Unit))
		o.wants = append(o.wants, max(*r(&s.Wanted), min(*r(&s.Granted), limit)))
	}
	return o
}

// grant returns what a shard should have of one resource.
func (l Ledger) grant(shard string, r resource, limits engine.Resources, d engine.WorkspaceDemand, lacking []string, wallMS int64) int64 {
	limit, used, wanted, placeable := *r(&limits), *r(&d.Used), *r(&d.Wanted), *r(&d.Placeable)
	if limit == 0 {
		return 0
	}
	own, o := l.Shares[shard], l.others(shard, r, limit, d)
	granted := *r(&own.Granted)
	// With headroom, not each start needs a write. The headrooms of all shards add up to half of the cap.
	headroom := limit / int64(2*len(o.wants))
	request := int64(0)
	if wanted > 0 {
		request = min(wanted+headroom, limit)
	}
	contended := o.missing > max(o.free, 0)
	if contended {
		request = min(placeable, limit, max(used, fairPart(shard, o.wants, limit, o.unit, lacking, wallMS)))
	}
	switch {
	case o.free < 0: // The cap was lowered.
		return max(min(granted, request, scaled(granted, limit-o.free, limit)), used)
	case used > granted: // A task that runs alone, or a cap that was added: the others have to know.
		return used
	case request > granted && wanted > granted:
		return min(request, granted+o.free)
	case request < granted && (contended || granted > idleFactor*request+headroom):
		return max(request, used)
	}
	return granted
}

// fairPart returns the part of the cap that a shard, whose want is the first, may have while some shard lacks. Where an equal part is too little for
// some task, the lacking shards take turns instead: divided equally, the cap would let nobody start anything.
func fairPart(shard string, wants []int64, limit, unit int64, lacking []string, wallMS int64) int64 {
	if limit/int64(len(wants)) >= minUnitsPerPart*unit {
		return fairShare(wants, limit)
	}
	if turn := wallMS / turnMS % int64(max(len(lacking), 1)); len(lacking) > 0 && lacking[turn] == shard {
		return limit
	}
	return 0
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
type resource func(*engine.Resources) *int64

var resources = []resource{
	func(r *engine.Resources) *int64 { return &r.CPU },
	func(r *engine.Resources) *int64 { return &r.Mem },
	func(r *engine.Resources) *int64 { return &r.GPU },
}
