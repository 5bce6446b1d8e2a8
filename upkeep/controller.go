package upkeep

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"samphirepoint/engine"
	"samphirepoint/owner"
	"samphirepoint/rows"
	"samphirepoint/shard"
	"samphirepoint/sleep"
)

// Errors of orders for instances.
var (
	// ErrFenced means that the platform has seen a higher fencing token for the instance.
	ErrFenced = errors.New("upkeep: fencing token is stale: another holder has sent orders for the instance")
	// ErrBusy means that the instance is not up, or is leaving.
	ErrBusy = errors.New("upkeep: instance is busy")
	// ErrNotApplicable means that the instance is unknown or not part of the wave.
	ErrNotApplicable = errors.New("upkeep: instance is unknown or not part of the wave")
)

// Instances is the platform's instance service.
type Instances interface {
	List(ctx context.Context) ([]Instance, error)
	// Upkeep and Move return nil once the order has been executed, after this call or an earlier one. After an error
	// other than those above, the order's outcome is unknown and it stays open.
	Upkeep(ctx context.Context, instance string, wave int64, holder string, token int64) error
	Move(ctx context.Context, instance, pool, holder string, token int64) error
}

// Pools sends requests to the owners of pools.
type Pools interface {
	Report(ctx context.Context, pool string) (engine.PoolReport, error)
	// Cordon keeps new work off a worker for the given time; length 0 uncordons it.
	Cordon(ctx context.Context, pool, worker string, length time.Duration) (owner.CordonAnswer, error)
	// AnnounceUpkeep names the workers of a shard whose instances are due for upkeep, for the given time.
	AnnounceUpkeep(ctx context.Context, shard string, workers []string, length time.Duration) error
	// WorkerTerminated notifies the owner that an incarnation of a worker has terminated.
	WorkerTerminated(ctx context.Context, pool, worker string, incarnation int64) error
	// WorkerAbsent notifies the owner that an incarnation of a worker has been on no instance for some time.
	WorkerAbsent(ctx context.Context, pool, worker string, incarnation int64) error
	// Pools returns all pools by name; the value is true for spare pools.
	Pools() map[string]bool
	// CreateShards chooses the number of shards of the pools that have none yet.
	CreateShards(ctx context.Context, sizes map[string]shard.Size)
	// Layout returns the shards of the pools.
	Layout() *shard.Layout
	// ShardOf returns the shard of a worker, and false if that isn't known.
	ShardOf(pool, worker string) (string, bool)
}

// Waves provides the waves that operators have requested.
type Waves interface {
	Waves() []Wave
	// Report publishes the state of a wave to operators.
	Report(ctx context.Context, wave int64, completed bool) error
}

// TableFleet holds one row for each instance that has ever had an order.
const TableFleet = "fleet"

// keyBaseline is the row with each pool's initial number of instances, keyPeakPeriods the one with each pool's last peak
// period.
const (
	keyBaseline    = "~baseline"
	keyPeakPeriods = "~turns"
)

// Settings configures a Controller.
type Settings struct {
	Role      string
	Holder    string
	Token     int64
	ClaimVer  int64
	Store     rows.Store
	Instances Instances
	Pools     Pools
	Waves     Waves
	// HandoverDelay is the minimum time between another holder's order for an instance and one of this holder.
	HandoverDelay time.Duration
	Log           zerolog.Logger
	Now           func() time.Duration
}

const (
	// reconcileDelay is the time from the end of a reconciliation to the start of the next.
	reconcileDelay = 250 * time.Millisecond
	// loadRetryDelay is the delay after a failed read of the order records.
	loadRetryDelay = 200 * time.Millisecond
	// cordonTTL is how long a cordon lasts unless it is renewed; each reconciliation renews it. One reconciliation makes up to five
	// calls that take callTimeout each, and a cordon must outlast it while an order has no response.
	cordonTTL = 5 * time.Second
	// callTimeout bounds one remote call.
	callTimeout = 900 * time.Millisecond
	// handoverMargin is added to the handover delay to allow for clock differences and slow orders.
	handoverMargin = time.Second
)

// Controller runs the upkeep and the moves of the fleet's instances under one fencing token.
type Controller struct {
	settings Settings
	ctx      context.Context
	cancel   context.CancelFunc

	orders   map[string]OrderRecord
	cordoned map[string]string // instance -> cordoned worker
	// recordVers holds the last known version of each order record. Batches are stored concurrently, so mu protects it.
	mu         sync.Mutex
	recordVers map[string]int64
	// unstored holds the instances whose order has an outcome that is not in the store.
	unstored map[string]bool
	// cordonedSince is the time at which each cordon began, coolDownUntil the end of each instance's last cool-down.
	cordonedSince map[string]time.Duration
	coolDownUntil map[string]time.Duration
	// reported holds the last reported state of each wave.
	reported map[int64]string
	// listed is the list of instances as of which workers were last cordoned.
	listed map[string]Instance
	// fenced is set once the platform or the store has shown a successor.
	fenced bool

	forecast *Forecast
	baseline map[string]int
	// lastSeen is the previous instance list; terminated holds the terminated workers until their owner has been notified.
	lastSeen   map[string]Instance
	terminated map[string]terminatedWorker
	// incarnations holds the workers' incarnations by pool, as reported by the owners before the next list is read.
	incarnations map[string]map[string]int64
	// formerWorkers holds the workers that each instance had before. missing holds the instances that had no worker in the last list, with
	// what was known of their former worker before that list.
	formerWorkers map[string]map[string]bool
	missing       map[string]terminatedWorker
	// absent holds the workers with runs that are on no instance.
	absent map[string]absentWorker
	// storedPeaks are the peak periods that a successor would find.
	storedPeaks  map[string]PeakPeriod
	surplusSince map[string]time.Duration
	// announcedAt is when the workers that are due for upkeep were last named to their owners.
	announcedAt time.Duration
	// startingUntil holds the instances that were down when they were first listed and have not been up since.
	startingUntil map[string]time.Duration
}

// New returns a Controller that acts under the claim in s.
func New(ctx context.Context, s Settings) *Controller {
	c, cancel := context.WithCancel(ctx)
	return &Controller{
		settings:      s,
		ctx:           c,
		cancel:        cancel,
		orders:        map[string]OrderRecord{},
		cordoned:      map[string]string{},
		recordVers:    map[string]int64{},
		unstored:      map[string]bool{},
		cordonedSince: map[string]time.Duration{},
		coolDownUntil: map[string]time.Duration{},
		reported:      map[int64]string{},
		forecast:      NewForecast(),
		lastSeen:      map[string]Instance{},
		terminated:    map[string]terminatedWorker{},
		incarnations:  map[string]map[string]int64{},
		formerWorkers: map[string]map[string]bool{},
		missing:       map[string]terminatedWorker{},
		surplusSince:  map[string]time.Duration{},
		startingUntil: map[string]time.Duration{},
	}
}

// Token returns the fencing token that is sent with each order.
func (c *Controller) Token() int64 { return c.settings.Token }

// Stop ends Run.
func (c *Controller) Stop() { c.cancel() }

// Run reconciles the fleet until the controller is stopped or fenced off by a successor.
func (c *Controller) Run() error {
	defer c.cancel()
	for c.load() != nil {
		if sleep.Context(c.ctx, loadRetryDelay) != nil {
			return nil
		}
	}
	c.settings.Log.Info().Int64("token", c.settings.Token).Int("duties", len(c.orders)).Msg("fleet controller role acquired")
	for c.ctx.Err() == nil && !c.fenced {
		c.reconcile()
		_ = sleep.Context(c.ctx, reconcileDelay)
	}
	c.settings.Log.Info().Int64("token", c.settings.Token).Bool("fenced", c.fenced).Msg("fleet controller role released")
	return nil
}

// reconcile observes the state of the fleet once and executes the orders that are due.
func (c *Controller) reconcile() {
	waves := c.openWaves()
	s, err := c.observe(waves)
	if err != nil {
		c.settings.Log.Warn().Err(err).Msg("cannot read the state of the fleet; retrying")
		return
	}
	c.announceUpkeep(s, waves)
	due := c.plan(s)
	c.uncordon(due)
	orders := c.cordon(s, due)
	c.execute(orders)
	for _, w := range waves {
		c.report(s, w)
	}
}

func (c *Controller) openWaves() []Wave {
	var out []Wave
	for _, w := range c.settings.Waves.Waves() {
		if c.reported[w.ID] != waveCompleted {
			out = append(out, w)
		}
	}
	return out
}

// observe lists the instances and collects the reports of the pools' owners.
func (c *Controller) observe(waves []Wave) (*State, error) {
	ctx, cancel := context.WithTimeout(c.ctx, callTimeout)
	defer cancel()
	list, err := c.settings.Instances.List(ctx)
	if err != nil {
		return nil, err
	}
	s := &State{
		Now:       c.settings.Now(),
		Instances: map[string]Instance{},
		Waves:     waves,
		Orders:    c.orders,
		Reports:   map[string]engine.PoolReport{},
		Spare:     map[string]bool{},
	}
	for _, i := range list {
		s.Instances[i.ID] = i
	}
	s.starting = c.starting(s)
	c.closeCompletedOrders(s)
	c.notifyTerminated(ctx, s)
	if err := c.initBaseline(ctx, s); err != nil {
		return nil, err
	}
	c.settings.Pools.CreateShards(ctx, s.sizes())
	s.layout, s.shardOf = c.settings.Pools.Layout(), c.settings.Pools.ShardOf
	c.readReports(ctx, s)
	c.reportAbsent(ctx, s)
	c.noteIncarnations(s)
	return s, nil
}

// readReports reads the reports of the pools that are not spare. A pool whose owner doesn't answer has none.
func (c *Controller) readReports(ctx context.Context, s *State) {
	var mu sync.Mutex
	var g errgroup.Group
	for pool, spare := range c.settings.Pools.Pools() {
		s.Spare[pool] = spare
		if spare {
			continue
		}
		g.Go(func() error {
			if r, err := c.settings.Pools.Report(ctx, pool); err == nil {
				mu.Lock()
				s.Reports[pool] = r
				mu.Unlock()
			}
			return nil
		})
	}
	_ = g.Wait()
}

// startTime is how long an instance that is down when it is first listed counts as starting. All instances of a fleet that is
// switched on are listed as down for up to 3 s.
const startTime = 6 * time.Second

// starting returns the instances that are expected to be up soon without an order.
func (c *Controller) starting(s *State) map[string]bool {
	out := map[string]bool{}
	for id, i := range s.Instances {
		_, known := c.lastSeen[id]
		switch {
		case i.State != StateDown:
			delete(c.startingUntil, id)
		case !known:
			c.startingUntil[id] = s.Now + startTime
		}
		if s.Now < c.startingUntil[id] {
			out[id] = true
		}
	}
	return out
}

// States of a wave, as reported.
const (
	waveRunning   = "running"
	waveCompleted = "completed"
)

// report publishes the state of a wave, once for each state.
func (c *Controller) report(s *State, w Wave) {
	state := waveRunning
	if len(s.Remaining(w)) == 0 && !c.anyOpen(w) {
		state = waveCompleted
	}
	if c.reported[w.ID] == state {
		return
	}
	ctx, cancel := context.WithTimeout(c.ctx, callTimeout)
	defer cancel()
	if err := c.settings.Waves.Report(ctx, w.ID, state == waveCompleted); err == nil {
		c.reported[w.ID] = state
		c.settings.Log.Info().Int64("wave", w.ID).Str("state", state).Msg("wave changed state")
	}
}

func (c *Controller) anyOpen(w Wave) bool {
	for _, id := range w.Instances {
		if rec := c.orders[id]; rec.Open && rec.Wave == w.ID {
			return true
		}
	}
	return false
}
