package cluster

import (
	"context"

	"samphirepoint/engine"
	"samphirepoint/quota"
)

// newQuotaKeeper returns the keeper of the allotments of the shards that this daemon owns.
func (n *Node) newQuotaKeeper() *quota.Keeper {
	return quota.NewKeeper(quota.Settings{
		Store:  n.settings.Store,
		Caps:   n.caps,
		Shards: n.quotaShards,
		Owners: n.countOwners,
		Log:    n.settings.Log,
		Now:    n.settings.Now,
	})
}

// KeepQuotas keeps the allotments of the workspaces' caps until ctx ends.
func (n *Node) KeepQuotas(ctx context.Context) error { return n.quotas.Run(ctx) }

// caps returns the workspaces that have a cap in the configuration in force.
func (n *Node) caps() map[string]engine.Resources {
	cat := n.catalog.Load()
	if cat == nil {
		return nil
	}
	out := map[string]engine.Resources{}
	for _, w := range cat.Workspaces {
		if w.Cap != (engine.Resources{}) {
			out[w.Name] = w.Cap
		}
	}
	return out
}

// quotaShards returns the owners on this daemon, by shard.
func (n *Node) quotaShards() map[string]quota.Shard {
	out := map[string]quota.Shard{}
	for name, t := range n.ownerTerms() {
		out[name] = t.Owner
	}
	return out
}

// countOwners returns the number of daemons that own something.
func (n *Node) countOwners() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view.countOwners()
}
