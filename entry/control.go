package entry

import (
	"context"
	"fmt"
	"strings"
	"time"

	"samphirepoint/dispatch"
	"samphirepoint/fairqueue"
	"samphirepoint/instance"
	"samphirepoint/limit"
	"samphirepoint/membership"
	"samphirepoint/services"
	"samphirepoint/table"
)

const (
	// controlInterval bounds the time from a change of configuration, fleet or members to the scheduler.
	controlInterval = 250 * time.Millisecond
	// limitInterval is one gossip round: the division of limits computes one step per round.
	limitInterval = time.Second
)

// control owns the control state: it reads the snapshots of configuration, fleet and members, and
// publishes what follows from them to the scheduler and to gossip. All methods but wake
// run in its goroutine.
type control struct {
	e       *Entry
	kick    chan struct{}
	divider limit.Policy
	parts   map[string]int
	round   int64
	// published names the backers whose demand was in the last round.
	published map[string]bool
	// announced is the time of the last announcement of new demand.
	announced time.Time
	// view names the live members and the owned pools of the last tick.
	view string
	// fleetVersion and pools cache the grouping of instance rows by pool.
	fleetVersion int64
	members      int
	pools        map[string][]instance.Instance
}

func newControl(e *Entry) *control {
	c := &control{e: e, kick: make(chan struct{}, 1), divider: limit.NewDivider(e.cfg.ID), fleetVersion: -1}
	if e.cfg.Policies.Shares == "static-split" {
		c.divider = limit.StaticSplit{Self: e.cfg.ID}
	}
	return c
}

// wake makes the control goroutine act now.
func (c *control) wake() {
	select {
	case c.kick <- struct{}{}:
	default:
	}
}

// Run publishes until ctx ends.
func (c *control) Run(ctx context.Context) error {
	ticker := time.NewTicker(controlInterval)
	defer ticker.Stop()
	lastRound := time.Time{}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.kick:
		case <-ticker.C:
		}
		usage := c.e.scheduler.Usage()
		c.e.stats.observe(usage)
		doc, fleet := c.e.config.Snapshot(), c.e.fleetView.Snapshot()
		if doc == nil || fleet == nil {
			continue
		}
		view := c.limitView(doc, usage)
		if time.Since(lastRound) >= limitInterval {
			lastRound = time.Now()
			c.divideLimits(view)
		}
		c.announce(ctx, view)
		c.publish(doc, fleet, sharesPerPool(doc, usage, c.shareParts(doc, view)))
	}
}

// publish hands the scheduler the fleet as this entry sees it.
func (c *control) publish(doc *table.Document, fleet *instance.Fleet, shares map[string]map[string]fairqueue.Share) {
	snapshot := c.e.gossip.Members()
	c.group(fleet, len(snapshot.Alive()))
	owned := map[string]bool{}
	ownedPools := c.ownedPools(doc, snapshot)
	for _, pool := range ownedPools {
		owned[pool] = true
	}
	c.noteMembers(snapshot, ownedPools)
	c.e.scheduler.SetFleet(dispatch.Fleet{
		Pools:   c.pools,
		Owned:   owned,
		Leaving: c.e.gossip.Leaving,
		Shares:  shares,
		Applied: func() { c.e.noteFleet(fleet) },
	})
}

// noteMembers starts a scan for jobs when members or owned pools have changed.
func (c *control) noteMembers(s *membership.Snapshot, owned []string) {
	var view strings.Builder
	for _, m := range s.Alive() {
		fmt.Fprintf(&view, "%s@%d leaving=%t,", m.ID, m.Incarnation, m.Leaving)
	}
	view.WriteString(strings.Join(owned, ","))
	if now := view.String(); now != c.view {
		c.view = now
		c.e.jobs.Rescan()
	}
}

func (c *control) ownedPools(doc *table.Document, s *membership.Snapshot) []string {
	if c.e.cfg.Policies.Shares != "static-split" {
		return s.Owned(c.e.cfg.ID)
	}
	var all []string
	for _, p := range doc.Pools {
		all = append(all, p.Name)
	}
	return all
}

// group sorts the instance rows by pool when they changed. With the baseline policy static-split each entry
// gets the same part of the slots of every worker.
func (c *control) group(f *instance.Fleet, members int) {
	split := c.e.cfg.Policies.Shares == "static-split"
	if f.Version == c.fleetVersion && (!split || members == c.members) {
		return
	}
	pools := map[string][]instance.Instance{}
	for _, in := range f.Instances {
		if split {
			in.Slots = max(in.Slots/max(members, 1), 1)
		}
		pools[in.Pool] = append(pools[in.Pool], in)
	}
	c.fleetVersion, c.members, c.pools = f.Version, members, pools
}

// limitView is what the division of limits works from.
func (c *control) limitView(doc *table.Document, usage map[string]dispatch.PoolUsage) limit.View {
	view := limit.View{Limits: map[string]int{}, Own: map[string]limit.Usage{}, Demands: c.e.gossip.Demands(), Heartbeat: c.round}
	for _, m := range c.e.gossip.Members().Alive() {
		view.Owners = append(view.Owners, m.ID)
	}
	for _, b := range doc.Backers {
		view.Limits[b.Name] = b.Limit()
	}
	home := homePools(doc)
	for name, u := range usage {
		if !home[name] {
			continue
		}
		for backer, b := range u.Backers {
			own := view.Own[backer]
			view.Own[backer] = limit.Usage{InUse: own.InUse + b.InUse + b.Overflowed, Waiting: own.Waiting + b.Waiting}
		}
	}
	return view
}

// listInterval is the time between reads of the platform's instance list.
const listInterval = 2 * time.Second

// followList learns entries and leaving workers from the platform's list.
func (e *Entry) followList(ctx context.Context) error {
	for {
		listCtx, cancel := context.WithTimeout(ctx, platformTimeout)
		list, err := e.platform.Instances().List(listCtx)
		cancel()
		if err == nil {
			e.takeList(list)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(jittered(listInterval)):
		}
	}
}

func (e *Entry) takeList(list []services.Instance) {
	e.gossip.SetListed(list)
	for _, in := range list {
		if in.Kind == services.KindWorker && in.State == services.StateLeaving {
			e.gossip.MarkLeaving(in.ID)
		}
	}
	e.list.Store(&list)
}

// register keeps this entry on the platform's list.
func (e *Entry) register(ctx context.Context) error {
	for {
		state := services.StateLive
		if e.leaving.Load() {
			state = services.StateLeaving
		}
		callCtx, cancel := context.WithTimeout(ctx, platformTimeout)
		err := e.platform.Register(callCtx, services.Instance{
			ID: e.cfg.ID, Kind: services.KindEntry, Address: e.PeerAddress(), Zone: e.cfg.Zone, Region: e.cfg.Region, State: state,
		})
		cancel()
		if err != nil {
			e.log.Debug().Err(err).Msg("registration was not renewed")
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(e.cfg.Timings.RegisterInterval):
		}
	}
}

// sweepInterval is the mean time between deletions of expired rows by one entry.
const sweepInterval = 2 * time.Hour

// sweep deletes expired claims and results. All entries do it, at times of their own.
func (e *Entry) sweep(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(jittered(sweepInterval)):
		}
		claims, err := e.claims.Sweep(ctx)
		results, jobErr := e.jobStore.Sweep(ctx)
		e.log.Info().Int("claims", claims).Int("results", results).AnErr("claimsError", err).AnErr("resultsError", jobErr).Msg("expired rows deleted")
	}
}
