package upkeep

import (
	"context"
	"time"
)

const (
	// announceInterval is the least time between two announcements of the workers that are due for upkeep.
	announceInterval = time.Second
	// announcementTTL is how long an announcement counts.
	announcementTTL = 4 * time.Second
)

// announceUpkeep names the workers that are due for upkeep to the owners of their shards, in the background: long-running tasks that
// leave an instance should not start on one that they will have to leave as well. A lost announcement costs time only.
func (c *Controller) announceUpkeep(s *State, waves []Wave) {
	if len(waves) == 0 || s.Now-c.announcedAt < announceInterval {
		return
	}
	c.announcedAt = s.Now
	for shard, workers := range s.upkeepDue(waves) {
		go func() {
			ctx, cancel := context.WithTimeout(c.ctx, callTimeout)
			defer cancel()
			if err := c.settings.Pools.AnnounceUpkeep(ctx, shard, workers, announcementTTL); err != nil {
				c.settings.Log.Debug().Err(err).Str("shard", shard).Msg("failed to announce upkeep")
			}
		}()
	}
}
