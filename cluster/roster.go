package cluster

import (
	"context"
	"maps"
	"time"

	"samphirepoint/sleep"
)

// rosterWait is how long one read of the list of workers waits for a change. A read that gets no answer delays the news that a worker
// drains by this time and storeTimeout, which together must stay well below the time allowed for that news.
const rosterWait = 500 * time.Millisecond

// FollowRoster follows the platform's list of workers while this daemon owns pools, with at least the given time between two reads,
// and passes the list to their owners. It does so after each read, also without a change, as an owner may be new.
func (n *Node) FollowRoster(ctx context.Context, every time.Duration) error {
	for ctx.Err() == nil {
		n.mu.Lock()
		busy := len(n.pools) > 0
		n.mu.Unlock()
		next := n.settings.Now() + every
		if busy {
			n.readRoster(ctx)
		}
		_ = sleep.Context(ctx, next-n.settings.Now())
	}
	return nil
}

func (n *Node) readRoster(ctx context.Context) {
	c, cancel := context.WithTimeout(ctx, rosterWait+storeTimeout)
	defer cancel()
	list, err := n.settings.Roster.Workers(c, rosterWait)
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
