package entry

import (
	"context"
	"maps"
	"slices"
	"time"

	"samphirepoint/dispatch"
	"samphirepoint/fairqueue"
	"samphirepoint/limit"
	"samphirepoint/table"
)

// announceInterval is the shortest time between two announcements of new demand. With 8 entries and 800 bytes per exchange
// they cost at most 1.9 KB/s.
const announceInterval = 3 * time.Second

// divideLimits computes the part of each backer's limit that this entry may use in the next round, and publishes the
// entry's demand.
func (c *control) divideLimits(view limit.View) {
	c.round++
	view.Heartbeat = c.round
	parts, publish := c.divider.Round(view)
	c.parts = parts
	c.e.gossip.SetDemand(publish)
	c.published = map[string]bool{}
	for _, d := range publish {
		c.published[d.Backer] = true
	}
}

// announce publishes the demand to all other owners at once when a backer's demand has become large at this entry, so that
// several owners overuse the same limit for the delay of one message and not for several gossip rounds.
func (c *control) announce(ctx context.Context, view limit.View) {
	if time.Since(c.lastAnnounce) < announceInterval || !limit.MustPublish(c.e.cfg.ID, view, c.published) {
		return
	}
	c.lastAnnounce = time.Now()
	c.divideLimits(view)
	go c.e.gossip.Announce(ctx)
}

// burstLimits returns the total that urgent and short work of each backer may use; see limit.BurstLimits.
func (c *control) burstLimits(view limit.View) map[string]int {
	if c.e.cfg.Policies.Shares == "static-split" {
		return c.parts
	}
	return limit.BurstLimits(c.e.cfg.ID, view)
}

// homePools returns the pools that are the first pool of some queue. Overflowed requests count against the limits at the
// owner of their home pool, so the pool in which they run applies only the full limit.
func homePools(doc *table.Document) map[string]bool {
	home := map[string]bool{}
	for _, q := range doc.Queues {
		home[q.Pools[0]] = true
	}
	return home
}

// sharesPerPool returns weights and limits per pool. parts holds this entry's part of each limit, which is divided among
// the home pools of this entry by demand. Pools without demand share one map: with 67 pools and 210 backers a map for each
// pool took 2.3 ms and 1.4 MB, four times a second.
func sharesPerPool(doc *table.Document, usage map[string]dispatch.PoolUsage, parts map[string]fairqueue.Share) map[string]map[string]fairqueue.Share {
	home := homePools(doc)
	full := make(map[string]fairqueue.Share, len(doc.Backers))
	for _, b := range doc.Backers {
		full[b.Name] = fairqueue.Share{Weight: b.Weight, Limit: b.Limit()}
	}
	shares := make(map[string]map[string]fairqueue.Share, len(doc.Pools))
	for _, p := range doc.Pools {
		switch {
		case !home[p.Name]:
			shares[p.Name] = full
		case len(usage[p.Name].Backers) > 0:
			shares[p.Name] = maps.Clone(parts)
		default:
			shares[p.Name] = parts
		}
	}
	for backer, demands := range demandsByBacker(usage, home) {
		share, known := parts[backer]
		if !known {
			continue
		}
		limits, burstLimits := limit.DivideProportionally(share.Limit, demands), limit.DivideMaxMin(share.Limit+share.Burst, demands)
		for i, d := range demands {
			overflowed := usage[d.Owner].Backers[backer].Overflowed
			l := max(limits[i]-overflowed, 0)
			shares[d.Owner][backer] = fairqueue.Share{Weight: share.Weight, Limit: l, Burst: max(burstLimits[i]-overflowed-l, 0)}
		}
	}
	return shares
}

// entryShares returns this entry's part of each limit, and the burst allowed beyond it.
func (c *control) entryShares(doc *table.Document, view limit.View) map[string]fairqueue.Share {
	bursts := c.burstLimits(view)
	parts := make(map[string]fairqueue.Share, len(doc.Backers))
	for _, b := range doc.Backers {
		part, known := c.parts[b.Name]
		if !known {
			part = b.Limit()
		}
		parts[b.Name] = fairqueue.Share{Weight: b.Weight, Limit: part, Burst: max(bursts[b.Name]-part, 0)}
	}
	return parts
}

// demandsByBacker returns each backer's demand per home pool, ordered by pool name. Demand.Owner is the name of the pool.
func demandsByBacker(usage map[string]dispatch.PoolUsage, home map[string]bool) map[string][]limit.Demand {
	demands := map[string][]limit.Demand{}
	for _, name := range slices.Sorted(maps.Keys(usage)) {
		if !home[name] {
			continue
		}
		for backer, u := range usage[name].Backers {
			if d := u.InUse + u.Overflowed + u.Waiting; d > 0 {
				demands[backer] = append(demands[backer], limit.Demand{Owner: name, Backer: backer, InUse: u.InUse + u.Overflowed, Demand: d})
			}
		}
	}
	return demands
}
