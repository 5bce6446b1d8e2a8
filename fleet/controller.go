package fleet

import (
	"context"
	"errors"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"samphirepoint/drainer"
	"samphirepoint/instance"
	"samphirepoint/lease"
	"samphirepoint/mover"
	"samphirepoint/services"
	"samphirepoint/table"
	"samphirepoint/wave"
)

const (
	// stepInterval is the time between two steps of the controller.
	stepInterval = time.Second
	// stepTimeout bounds a step. Work that does not fit is planned again in the next step.
	stepTimeout = 8 * time.Second
	// waitsInterval is the minimum time between two writes of the waits that a row shows to operators.
	waitsInterval = 10 * time.Second
)

// Workers controls the workers, which are the backend servers on the instances.
type Workers interface {
	// Status returns an error if the worker does not answer within a second.
	Status(ctx context.Context, in instance.Instance) (drainer.Worker, error)
	// Drain, Undrain and Reboot have no effect on another incarnation of the worker than the given one: an order may arrive late,
	// when the worker has started again. 0 stands for any.
	Drain(ctx context.Context, in instance.Instance, incarnation int64) error
	Undrain(ctx context.Context, in instance.Instance, incarnation int64) error
	Reboot(ctx context.Context, in instance.Instance, incarnation int64) error
	Checkpoint(ctx context.Context, in instance.Instance, task string) error
	Stop(ctx context.Context, in instance.Instance, task string) error
}

// Config holds the dependencies of a controller. Policy, Demand, Assign and Suspects may be nil.
type Config struct {
	Table     services.Table
	Instances services.Instances
	Lease     *lease.Lease
	View      *View
	Workers   Workers
	// Members returns all entries including this one, with the fleet version that each has in force.
	Members func() []drainer.Member
	// Document returns the accepted configuration, or nil before the first version.
	Document func() *table.Document
	// Demand returns the demand in slots per home pool; see mover.Pool.
	Demand func() map[string]float64
	Policy mover.Policy
	// Assign returns the pool of a new instance, or "" to leave it unregistered. By default new
	// instances join the first spare pool.
	Assign func(services.Instance, *table.Document) string
	// Suspects returns the instances that the dispatcher suspects; they are probed at each step.
	Suspects func() []string
	Now      func() time.Time
	Log      zerolog.Logger
}

// Controller detects instance failures and advances drains, moves and waves while this process holds the fleet
// lease.
type Controller struct {
	Config
	store *Store
	ops   *Operations
	// term is nil while the lease is not held.
	term *term
}

// term is the in-memory state of one term of the lease. It is lost with the lease; no step depends on it for
// correctness.
type term struct {
	token              int64
	doc                *table.Document
	budgets            wave.Budgets
	operationsVersion  int64
	transactionsAtRead int // Store.transactions at the last read
	loaded             bool
	waves              map[string]*wave.Wave
	moves              map[string]*Move
	list               listState
	probes             map[string]*probe
	probeCursor        int // position of the round-robin probes
	drainVersion       map[string]int64
	checkpointed       map[string]time.Time
	failures           []wave.Failure
	waits              []wave.Wait // of this step
	waitsWritten       map[string]time.Time
	nextPlan           time.Time
	nextPurge          time.Time
	moveCount          int
	retention          retentionState
}

// NewController returns a controller. The caller runs the view.
func NewController(c Config) *Controller {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Assign == nil {
		c.Assign = firstSparePool
	}
	return &Controller{Config: c, store: NewStore(c.Table, c.Lease, c.Now), ops: NewOperations(c.Table, c.Now)}
}

func firstSparePool(_ services.Instance, doc *table.Document) string {
	for _, p := range doc.Pools {
		if p.Spare {
			return p.Name
		}
	}
	return ""
}

// Run acquires and renews the lease, and runs a step each second while it is held, until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		if err := c.Lease.Run(ctx); err != nil {
			c.Log.Warn().Err(err).Msg("could not release the fleet lease; it will expire")
		}
		return nil
	})
	g.Go(func() error {
		ticker := time.NewTicker(stepInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-ticker.C:
				if err := c.Step(ctx); err != nil && ctx.Err() == nil {
					c.Log.Warn().Err(err).Msg("fleet step ended early")
				}
			}
		}
	})
	return g.Wait()
}

// Step runs one pass of the controller. Without the lease it does nothing. If the table does not answer, it returns
// at once and draining instances stay as they are.
func (c *Controller) Step(ctx context.Context) error {
	token, held := c.Lease.Token()
	if !held {
		c.term = nil
		return nil
	}
	if c.term == nil || c.term.token != token {
		c.term = newTerm(token)
		c.Log.Info().Int64("token", token).Msg("fleet lease taken")
	}
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	if err := c.load(ctx); err != nil || c.term.doc == nil {
		return err
	}
	c.term.waits = nil
	for _, phase := range []func(context.Context) error{
		c.watchList, c.probe, c.stepFailures, c.stepDrains, c.stepMoves, c.stepWaves, c.planMoves, c.purge,
	} {
		if c.store.transactions != c.term.transactionsAtRead {
			if err := c.load(ctx); err != nil {
				return err
			}
		}
		if err := phase(ctx); err != nil {
			return err
		}
	}
	return nil
}

func newTerm(token int64) *term {
	return &term{token: token, probes: map[string]*probe{}, drainVersion: map[string]int64{},
		checkpointed: map[string]time.Time{}, waitsWritten: map[string]time.Time{}}
}

// load refreshes the view, and reads the waves and moves if they changed.
func (c *Controller) load(ctx context.Context) error {
	if err := c.View.Refresh(ctx); err != nil {
		return err
	}
	t := c.term
	t.transactionsAtRead = c.store.transactions
	if doc := c.Document(); doc != nil {
		t.doc = doc
	}
	if t.doc == nil {
		return nil
	}
	t.budgets = wave.BudgetsOf(t.doc)
	row, err := c.Table.Get(ctx, KeyOperations)
	if err != nil || t.loaded && row.Version == t.operationsVersion {
		return err
	}
	waves, err := c.ops.Waves(ctx)
	if err != nil {
		return err
	}
	moves, err := c.ops.Moves(ctx)
	if err != nil {
		return err
	}
	t.waves, t.moves = map[string]*wave.Wave{}, map[string]*Move{}
	for _, w := range waves {
		t.waves[w.ID] = w
	}
	for _, m := range moves {
		t.moves[m.ID] = m
	}
	t.loaded, t.operationsVersion = true, row.Version
	return nil
}

// ignoreStalePlan logs the error of a step, and returns it unless it only reports that the plan is out of date. Errors
// of the lease or the table end the pass.
func (c *Controller) ignoreStalePlan(err error, step, id string) error {
	if err == nil {
		return nil
	}
	c.Log.Info().Err(err).Str("step", step).Str("instance", id).Msg("fleet step rejected")
	if errors.Is(err, ErrChanged) || errors.Is(err, ErrBudget) {
		return nil
	}
	return err
}

// logStep returns a log event with the fields that all steps share.
func (c *Controller) logStep(step, id string) *zerolog.Event {
	return c.Log.Info().Str("step", step).Str("instance", id).Int64("token", c.term.token)
}

// recordFailure adds a failure to those that are checked for correlation, and drops those older than 2 minutes.
func (t *term) recordFailure(in instance.Instance, at time.Time) {
	recent := t.failures[:0]
	for _, f := range t.failures {
		if at.Sub(f.At) <= 2*time.Minute {
			recent = append(recent, f)
		}
	}
	t.failures = append(recent, wave.Failure{Instance: in.ID, Zone: in.Zone, Rack: in.Rack, At: at})
}
