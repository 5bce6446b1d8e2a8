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

// announceInterval is the least time between two announcements of new demand. With 8 entries and 800 bytes an exchange
// they cost at most 1.9 KB/s.
const announceInterval = 3 * time.Second

// divideLimits computes which part of each backer's limit this entry may use in the next round, and publishes its
// demand.
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

// announce tells all other owners at once when a backer's demand has become large here, so that the time for which
// several owners use up the same limit is that of a message and not of some gossip rounds.
func (c *control) announce(ctx context.Context, view limit.View) {
	if time.Since(c.announced) < announceInterval || !limit.MustPublish(c.e.cfg.ID, view, c.published) {
		return
	}
	c.announced = time.Now()
	c.divideLimits(view)
	go c.e.gossip.Announce(ctx)
}

// bursts returns what urgent and short work may use in all; see limit.Bursts.
func (c *control) bursts(view limit.View) map[string]int {
	if c.e.cfg.Policies.Shares == "static-split" {
		return c.parts
	}
	return limit.BurstLimits(c.e.cfg.ID, view)
}

// homePools names the pools that are the first pool of some queue. Requests that overflow count against limits at the
// owner of their home pool, so only the whole limit is applied where they run.
func homePools(doc *table.Document) map[string]bool {
	home := map[string]bool{}
	for _, q := range doc.Queues {
		home[q.Pools[0]] = true
	}
	return home
}

// sharesPerPool gives weights and limits per pool. parts holds this entry's part of each limit; it is divided over the
// home pools of this entry by demand. Pools without demand share one map: at 67 pools and 210 backers a map for each
// took 2.3 ms and 1.4 MB, four times a second.
func sharesPerPool(doc *table.Document, usage map[string]dispatch.PoolUsage, parts map[string]fairqueue.Share) map[string]map[string]fairqueue.Share {
	home := homePools(doc)
	whole := make(map[string]fairqueue.Share, len(doc.Backers))
	for _, b := range doc.Backers {
		whole[b.Name] = fairqueue.Share{Weight: b.Weight, Limit: b.Limit()}
	}
	shares := make(map[string]map[string]fairqueue.Share, len(doc.Pools))
	for _, p := range doc.Pools {
		switch {
		case !home[p.Name]:
			shares[p.Name] = whole
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
		limits, tops := limit.DivideProportionally(share.Limit, demands), limit.DivideMaxMin(share.Limit+share.Burst, demands)
		for i, d := range demands {
			away := usage[d.Owner].Backers[backer].Overflowed
			l := max(limits[i]-away, 0)
			shares[d.Owner][backer] = fairqueue.Share{Weight: share.Weight, Limit: l, Burst: max(tops[i]-away-l, 0)}
		}
	}
	return shares
}

// shareParts gives this entry's part of each limit, and the burst beyond it.
func (c *control) shareParts(doc *table.Document, view limit.View) map[string]fairqueue.Share {
	bursts := c.bursts(view)
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

// demandsByBacker lists the home pools in which each backer has demand, in order of name. Owner is the pool.
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
