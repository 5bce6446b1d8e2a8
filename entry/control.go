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
	// controlInterval bounds the delay until the scheduler sees a change of configuration, fleet or members.
	controlInterval = 250 * time.Millisecond
	// limitInterval is the length of a gossip round: the division of limits computes one step per round.
	limitInterval = time.Second
)

// control is the control loop of an entry: it reads the snapshots of configuration, fleet and members, and
// publishes the state derived from them to the scheduler and to gossip. All methods except wake
// run in its goroutine.
type control struct {
	e          *Entry
	wakeSignal chan struct{}
	divider    limit.Policy
	parts      map[string]int
	round      int64
	// published contains the backers whose demand was published in the last round.
	published map[string]bool
	// lastAnnounce is the time of the last announcement of new demand.
	lastAnnounce time.Time
	// membersAndPools lists the live members and the owned pools of the last pass.
	membersAndPools string
	// fleetVersion, members and pools cache the instance rows grouped by pool.
	fleetVersion int64
	members      int
	pools        map[string][]instance.Instance
}

func newControl(e *Entry) *control {
	c := &control{e: e, wakeSignal: make(chan struct{}, 1), divider: limit.NewDivider(e.cfg.ID), fleetVersion: -1}
	if e.cfg.Policies.Shares == "static-split" {
		c.divider = limit.StaticSplit{Self: e.cfg.ID}
	}
	return c
}

// wake triggers a pass of the control loop at once.
func (c *control) wake() {
	select {
	case c.wakeSignal <- struct{}{}:
	default:
	}
}

// Run runs the control loop until ctx ends.
func (c *control) Run(ctx context.Context) error {
	ticker := time.NewTicker(controlInterval)
	defer ticker.Stop()
	lastRound := time.Time{}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.wakeSignal:
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
		c.publish(doc, fleet, sharesPerPool(doc, usage, c.entryShares(doc, view)))
	}
}

// publish passes this entry's view of the fleet to the scheduler.
func (c *control) publish(doc *table.Document, fleet *instance.Fleet, shares map[string]map[string]fairqueue.Share) {
	snapshot := c.e.gossip.Members()
	c.groupByPool(fleet, len(snapshot.Alive()))
	owned := map[string]bool{}
	ownedPools := c.ownedPools(doc, snapshot)
	for _, pool := range ownedPools {
		owned[pool] = true
	}
	c.rescanOnChange(snapshot, ownedPools)
	c.e.scheduler.SetFleet(dispatch.Fleet{
		Pools:   c.pools,
		Owned:   owned,
		Leaving: c.e.gossip.Leaving,
		Shares:  shares,
		Applied: func() { c.e.recordAppliedFleet(fleet) },
	})
}

// rescanOnChange starts a scan for jobs if the members or the owned pools have changed.
func (c *control) rescanOnChange(s *membership.Snapshot, owned []string) {
	var current strings.Builder
	for _, m := range s.Alive() {
		fmt.Fprintf(&current, "%s@%d leaving=%t,", m.ID, m.Incarnation, m.Leaving)
	}
	current.WriteString(strings.Join(owned, ","))
	if s := current.String(); s != c.membersAndPools {
		c.membersAndPools = s
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

// groupByPool groups the instance rows by pool if they have changed. With the baseline policy static-split each entry
// gets the same part of the slots of every worker.
func (c *control) groupByPool(f *instance.Fleet, members int) {
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

// limitView returns the input for the division of limits.
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

// listPollInterval is the mean time between reads of the platform's instance list.
const listPollInterval = 2 * time.Second

// pollInstanceList reads entries and leaving workers from the platform's list periodically.
func (e *Entry) pollInstanceList(ctx context.Context) error {
	for {
		listCtx, cancel := context.WithTimeout(ctx, platformTimeout)
		list, err := e.platform.Instances().List(listCtx)
		cancel()
		if err == nil {
			e.applyInstanceList(list)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(jittered(listPollInterval)):
		}
	}
}

// applyInstanceList updates the gossip state from the platform's list.
func (e *Entry) applyInstanceList(list []services.Instance) {
	e.gossip.SetListed(list)
	for _, in := range list {
		if in.Kind == services.KindWorker && in.State == services.StateLeaving {
			e.gossip.MarkLeaving(in.ID)
		}
	}
	e.instanceList.Store(&list)
}

// register renews this entry's registration with the platform periodically.
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
			e.log.Debug().Err(err).Msg("registration could not be renewed")
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

// sweep deletes expired claims and results periodically. All entries do so, at times spread by jitter.
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
