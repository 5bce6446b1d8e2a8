package cluster

import (
	"context"
	"net/http"
	"slices"
	"sync"

	"golang.org/x/sync/errgroup"

	"samphirepoint/engine"
	"samphirepoint/verdict"
)

// Ownership is a shard of a pool, or the fleet controller role, with the daemon that owns it.
type Ownership struct {
	Pool string `json:"pool"`
	// Shard is the name of the shard, if the pool has several.
	Shard string `json:"shard,omitempty"`
	Node  string `json:"node,omitempty"`
	Token int64  `json:"token,omitempty"`
}

// Name returns the name of the shard, or that of the pool if it is whole.
func (o *Ownership) Name() string {
	if o.Shard != "" {
		return o.Shard
	}
	return o.Pool
}

// Owners returns the shards of the pools of the configuration and the fleet controller role, with their owners as this daemon sees them.
func (n *Node) Owners() []Ownership {
	alive := n.Alive()
	names := []string{FleetControllerRole}
	if c := n.catalog.Load(); c != nil {
		names = append(names, n.layout.Load().Names(c.NonSparePools()...)...)
	}
	slices.Sort(names)
	var out []Ownership
	for _, name := range names {
		out = append(out, n.ownership(alive, name))
	}
	return out
}

// ownership returns the owner of a shard or role among the given members.
func (n *Node) ownership(alive []Member, name string) Ownership {
	o := Ownership{Pool: n.layout.Load().PoolOf(name)}
	if o.Pool != name {
		o.Shard = name
	}
	if m, ok := Owner(alive, name); ok {
		o.Node, o.Token = m.Node, m.Pools[name]
	}
	return o
}

// Explain asks the owners of all shards about a job, as its ID doesn't identify its pool. It returns the pool that has the job.
func (n *Node) Explain(ctx context.Context, id string) (pool string, job engine.JobReport, known bool, err error) {
	c := n.catalog.Load()
	if c == nil {
		return "", job, false, noOwner("")
	}
	var mu sync.Mutex
	var g errgroup.Group
	layout := n.layout.Load()
	for _, name := range layout.Names(c.NonSparePools()...) {
		g.Go(func() error {
			res, err := n.attempt(ctx, name, explainRequest{ID: id})
			if err == nil && res.Known && res.Job != nil {
				mu.Lock()
				pool, job, known = layout.PoolOf(name), *res.Job, true
				mu.Unlock()
			}
			return err
		})
	}
	if err = g.Wait(); known {
		err = nil
	}
	return pool, job, known, err
}

// Shards returns the number of shards of a pool, or 0 if it isn't known.
func (n *Node) Shards(pool string) int { return n.layout.Load().Count(pool) }

// ExplainPlacement asks the owner of the shard to which a job of the pool would belong how it would treat the job. It returns the shard with
// its owner also if the owner doesn't answer.
func (n *Node) ExplainPlacement(ctx context.Context, pool string, spec engine.Spec) (Ownership, engine.PlacementReport, error) {
	name, ok := n.layout.Load().OfJob(pool, spec.ID)
	if !ok {
		return Ownership{Pool: pool}, engine.PlacementReport{}, noOwner(pool)
	}
	o := n.ownership(n.Alive(), name)
	res, err := n.attempt(ctx, name, explainPlacementRequest{Spec: &spec})
	switch {
	case err != nil:
		return o, engine.PlacementReport{}, err
	case res.Placement == nil:
		return o, engine.PlacementReport{}, verdict.New(verdict.NotRun, http.StatusBadGateway, "the owner of %s sent no report", name)
	}
	return o, *res.Placement, nil
}
