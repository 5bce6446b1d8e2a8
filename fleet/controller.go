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
	// stepInterval of the controller.
	stepInterval = time.Second
	// stepTimeout bounds a step; what is left over is decided anew in the next one.
	stepTimeout = 8 * time.Second
	// waitsInterval is the least time between two writes of a wave's waits for operators.
	waitsInterval = 10 * time.Second
)

// Workers controls backend servers.
type Workers interface {
	// Status returns an error if the worker does not answer within a second.
	Status(ctx context.Context, in instance.Instance) (drainer.Worker, error)
	Drain(ctx context.Context, in instance.Instance) error
	Undrain(ctx context.Context, in instance.Instance) error
	Reboot(ctx context.Context, in instance.Instance) error
	Checkpoint(ctx context.Context, in instance.Instance, task string) error
	Stop(ctx context.Context, in instance.Instance, task string) error
}

// Config holds what the controller works with. Policy, Demand, Assign and Suspects may be nil.
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
	// Suspects returns instances that the dispatcher has trouble with; they are probed at each step.
	Suspects func() []string
	Now      func() time.Time
	Log      zerolog.Logger
}

// Controller detects failures and steps drains, moves and waves while this process holds the fleet lease.
type Controller struct {
	Config
	store *Store
	ops   *Operations
	// term is the memory of the present holder; it is lost with the lease.
	term *term
}

// term holds what one holder has learned. Nothing in it is needed for a correct step.
type term struct {
	token             int64
	doc               *table.Document
	budgets           wave.Budgets
	operationsVersion int64
	readAt            int // number of transactions before the last read
	loaded            bool
	waves             map[string]*wave.Wave
	moves             map[string]*Move
	list              listState
	probes            map[string]*probe
	cursor            int // of the round over serving instances
	drainVersion      map[string]int64
	checkpointed      map[string]time.Time
	failures          []wave.Failure
	waits             []wave.Wait // of this step
	waitsWritten      map[string]time.Time
	nextPlan          time.Time
	nextPurge         time.Time
	moveCount         int
	retention         retention
}

// NewController returns a controller. The caller runs the view.
func NewController(c Config) *Controller {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Assign == nil {
		c.Assign = firstSpare
	}
	return &Controller{Config: c, store: NewStore(c.Table, c.Lease, c.Now), ops: NewOperations(c.Table, c.Now)}
}

func firstSpare(_ services.Instance, doc *table.Document) string {
	for _, p := range doc.Pools {
		if p.Spare {
			return p.Name
		}
	}
	return ""
}

// Run competes for the lease and steps the fleet while it is held, until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		if err := c.Lease.Run(ctx); err != nil {
			c.Log.Warn().Err(err).Msg("fleet lease not released; it expires")
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

// Step takes the steps that are possible now. Without the lease it does nothing; when the table does
// not answer it ends at once, and draining instances stay as they are.
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
		if c.store.transactions != c.term.readAt {
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

// load reads the fleet, and the waves and moves if they changed.
func (c *Controller) load(ctx context.Context) error {
	if err := c.View.Refresh(ctx); err != nil {
		return err
	}
	t := c.term
	t.readAt = c.store.transactions
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

// tolerate logs errors of steps whose plan does not hold any more, and returns all others: without the
// lease or the table no further step is taken.
func (c *Controller) tolerate(err error, step, id string) error {
	if err == nil {
		return nil
	}
	c.Log.Info().Err(err).Str("step", step).Str("instance", id).Msg("fleet step rejected")
	if errors.Is(err, ErrChanged) || errors.Is(err, ErrBudget) {
		return nil
	}
	return err
}

func (c *Controller) done(step, id string) *zerolog.Event {
	return c.Log.Info().Str("step", step).Str("instance", id).Int64("token", c.term.token)
}

// record appends a failure for the search for correlated ones.
func (t *term) record(in instance.Instance, at time.Time) {
	recent := t.failures[:0]
	for _, f := range t.failures {
		if at.Sub(f.At) <= 2*time.Minute {
			recent = append(recent, f)
		}
	}
	t.failures = append(recent, wave.Failure{Instance: in.ID, Zone: in.Zone, Rack: in.Rack, At: at})
}
