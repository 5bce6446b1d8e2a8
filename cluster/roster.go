package cluster

import (
	"context"
	"maps"
	"time"

	"samphirepoint/sleep"
)

// FollowRoster periodically reads the platform's list of workers while this daemon owns pools, and passes it to their owners.
func (n *Node) FollowRoster(ctx context.Context, every time.Duration) error {
	for ctx.Err() == nil {
		n.mu.Lock()
		busy := len(n.pools) > 0
		n.mu.Unlock()
		if busy {
			n.readRoster(ctx)
		}
		_ = sleep.Context(ctx, every)
	}
	return nil
}

func (n *Node) readRoster(ctx context.Context) {
	c, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	list, err := n.settings.Roster.Workers(c)
	if err != nil {
		n.settings.Log.Warn().Err(err).Msg("failed to read the list of workers")
		return
	}
	n.mu.Lock()
	n.roster = list
	pools := maps.Clone(n.pools)
	n.mu.Unlock()
	for pool, o := range pools {
		o.SetRoster(list[pool])
	}
}
