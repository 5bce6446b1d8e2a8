package upkeep

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"samphirepoint/engine"
	"samphirepoint/rows"
	"samphirepoint/sleep"
)

// Errors of orders for instances.
var (
	// ErrFenced: the platform has seen a higher token for the instance.
	ErrFenced = errors.New("upkeep: another holder has given orders for the instance")
	// ErrBusy: the instance isn't up, or it leaves.
	ErrBusy = errors.New("upkeep: the instance is busy")
	// ErrNotApplicable: the instance is not of the wave, or is not known.
	ErrNotApplicable = errors.New("upkeep: the order is not for this instance")
)

// Instances is the platform's instance service.
type Instances interface {
	List(ctx context.Context) ([]Instance, error)
	// Upkeep and Move return nil once the order is or was carried out. Other errors than those above leave it open.
	Upkeep(ctx context.Context, instance string, wave int64, holder string, token int64) error
	Move(ctx context.Context, instance, pool, holder string, token int64) error
}

// Pools asks the owners of pools.
type Pools interface {
	Report(ctx context.Context, pool string) (engine.PoolReport, error)
	// Cordon keeps new work off a worker for a while; length 0 ends that.
	Cordon(ctx context.Context, pool, worker string, length time.Duration) (empty, known bool, err error)
	// WorkerTerminated tells the owner that a worker's life is over.
	WorkerTerminated(ctx context.Context, pool, worker string) error
	// Pools lists the pools by name, with spare ones true.
	Pools() map[string]bool
}

// Waves gives the waves that operators have asked for.
type Waves interface {
	Waves() []Wave
	// Report tells operators the state of a wave.
	Report(ctx context.Context, wave int64, completed bool) error
}

// TableFleet holds one row an instance that was ever ordered anything.
const TableFleet = "fleet"

// keyBaseline is the row with the instances that each pool had at first, keyTurns the one with each pool's last surge.
const (
	keyBaseline = "~baseline"
	keyTurns    = "~turns"
)

// Settings are what a Controller needs.
type Settings struct {
	Role      string
	Holder    string
	Token     int64
	ClaimVer  int64
	Store     rows.Store
	Instances Instances
	Pools     Pools
	Waves     Waves
	// HandoverDelay is the time to keep from another holder's orders for the same instance.
	HandoverDelay time.Duration
	Log           zerolog.Logger
	Now           func() time.Duration
}

const (
	// roundPause is the time between two rounds.
	roundPause = 250 * time.Millisecond
	// loadRetry is the pause after a reading of the duties that failed.
	loadRetry = 200 * time.Millisecond
	// cordonFor is how long a cordon lasts unless it is renewed; each round renews it.
	cordonFor = 2500 * time.Millisecond
	// callTime bounds one call.
	callTime = 900 * time.Millisecond
	// gapSlack is added to the holder gap for clocks and slow orders.
	gapSlack = time.Second
)

// Controller has the fleet's duties under one token.
type Controller struct {
	set    Settings
	ctx    context.Context
	cancel context.CancelFunc

	duties map[string]Duty
	held   map[string]string // instance -> worker under cordon
	// heldSince is since when each is held, restUntil until when one is left alone after that was in vain.
	heldSince map[string]time.Duration
	restUntil map[string]time.Duration
	reported  map[int64]string
	listed    map[string]Instance
	fenced    bool

	forecast *Forecast
	baseline map[string]int
	// lives are the workers that the instances were last known to run, ended those whose pool hasn't been told yet.
	lives   map[string]Instance
	ended   map[string]string
	surplus map[string]time.Duration
}

// New returns a controller under a claim.
func New(ctx context.Context, s Settings) *Controller {
	c, cancel := context.WithCancel(ctx)
	return &Controller{
		set: s, ctx: c, cancel: cancel,
		duties: map[string]Duty{}, held: map[string]string{}, heldSince: map[string]time.Duration{}, restUntil: map[string]time.Duration{},
		reported: map[int64]string{}, lives: map[string]Instance{}, ended: map[string]string{},
		forecast: NewForecast(), surplus: map[string]time.Duration{},
	}
}

// Token is the fencing token of the orders.
func (c *Controller) Token() int64 { return c.set.Token }

// Stop ends the duties.
func (c *Controller) Stop() { c.cancel() }

// Run works until it is stopped or succeeded.
func (c *Controller) Run() error {
	defer c.cancel()
	for c.load() != nil {
		if sleep.Context(c.ctx, loadRetry) != nil {
			return nil
		}
	}
	c.set.Log.Info().Int64("token", c.set.Token).Int("duties", len(c.duties)).Msg("fleet duties taken")
	for c.ctx.Err() == nil && !c.fenced {
		c.round()
		_ = sleep.Context(c.ctx, roundPause)
	}
	c.set.Log.Info().Int64("token", c.set.Token).Bool("fenced", c.fenced).Msg("fleet duties given up")
	return nil
}

// round looks at everything once and does what is due.
func (c *Controller) round() {
	waves := c.openWaves()
	s, err := c.look(waves)
	if err != nil {
		c.set.Log.Warn().Err(err).Msg("fleet not seen")
		return
	}
	want := c.plan(s)
	c.release(want)
	orders := c.cordon(s, want)
	c.carryOut(orders)
	for _, w := range waves {
		c.report(s, w)
	}
}

func (c *Controller) openWaves() []Wave {
	var out []Wave
	for _, w := range c.set.Waves.Waves() {
		if c.reported[w.ID] != "completed" {
			out = append(out, w)
		}
	}
	return out
}

// look reads the instances and asks the owners of the pools.
func (c *Controller) look(waves []Wave) (*State, error) {
	ctx, cancel := context.WithTimeout(c.ctx, callTime)
	defer cancel()
	list, err := c.set.Instances.List(ctx)
	if err != nil {
		return nil, err
	}
	s := &State{Now: c.set.Now(), Instances: map[string]Instance{}, Waves: waves, Duties: c.duties, Reports: map[string]engine.PoolReport{}, Spare: map[string]bool{}}
	for _, i := range list {
		s.Instances[i.ID] = i
	}
	c.takeLives(s)
	c.tellEnded(ctx, s)
	if err := c.learnBaseline(ctx, s); err != nil {
		return nil, err
	}
	var mu sync.Mutex
	var g errgroup.Group
	for pool, spare := range c.set.Pools.Pools() {
		s.Spare[pool] = spare
		if spare {
			continue
		}
		g.Go(func() error {
			if r, err := c.set.Pools.Report(ctx, pool); err == nil {
				mu.Lock()
				s.Reports[pool] = r
				mu.Unlock()
			}
			return nil
		})
	}
	_ = g.Wait()
	return s, nil
}

// tellEnded tells the pools' owners of workers whose instance has no longer that life. Their leases need not be waited for.
func (c *Controller) tellEnded(ctx context.Context, s *State) {
	for id, old := range c.lives {
		if now, ok := s.Instances[id]; (!ok || now.Worker != old.Worker) && old.Worker != "" {
			c.ended[old.Worker] = old.Pool
		}
	}
	c.lives = s.Instances
	for worker, pool := range c.ended {
		if s.Spare[pool] || c.set.Pools.WorkerTerminated(ctx, pool, worker) == nil {
			delete(c.ended, worker)
		}
	}
}

// report tells operators how far a wave is, once for each state.
func (c *Controller) report(s *State, w Wave) {
	state := "running"
	if len(s.Left(w)) == 0 && !c.anyOpen(w) {
		state = "completed"
	}
	if c.reported[w.ID] == state {
		return
	}
	ctx, cancel := context.WithTimeout(c.ctx, callTime)
	defer cancel()
	if err := c.set.Waves.Report(ctx, w.ID, state == "completed"); err == nil {
		c.reported[w.ID] = state
		c.set.Log.Info().Int64("wave", w.ID).Str("state", state).Msg("wave")
	}
}

func (c *Controller) anyOpen(w Wave) bool {
	for _, id := range w.Instances {
		if d := c.duties[id]; d.Open && d.Wave == w.ID {
			return true
		}
	}
	return false
}
