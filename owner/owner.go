// Package owner runs the engine of one pool: it loads the pool's rows, writes what changes, holds the pool's workers and
// sends them their orders. One goroutine has the state; others carry calls and hand their results to it.
//
// The owner's row is a condition of every transaction, so an owner that has been succeeded can write nothing
// more. It ends at once when it learns of that, from the store or from a worker that has seen a higher token.
package owner

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"samphirepoint/engine"
	"samphirepoint/observe"
	"samphirepoint/rows"
	"samphirepoint/sleep"
	"samphirepoint/verdict"
)

// ErrSucceeded reports that another owner has the pool.
var ErrSucceeded = errors.New("owner: the pool has another owner")

// ErrIncarnationMismatch reports that a worker at the address is not the one that was meant: that one's life is over.
var ErrIncarnationMismatch = errors.New("owner: another worker answers at the address")

// ErrFenced reports that a worker has seen a higher token.
var ErrFenced = errors.New("owner: the worker has seen a higher token")

// LeaseRenewal is one call that extends a worker's lease and asks what it runs. DeadlineMS 0 extends nothing.
type LeaseRenewal struct {
	Token      int64
	DeadlineMS int64
	SeenUpto   int64
	Wait       time.Duration
}

// Workers carries calls to workers.
type Workers interface {
	// RenewLease fails with ErrFenced, ErrOtherLife or any other error if there was no answer.
	RenewLease(ctx context.Context, to engine.Target, h LeaseRenewal) (engine.RenewalReply, error)
	// Start fails with ErrFenced or ErrOtherLife; the outcome says what is known otherwise.
	Start(ctx context.Context, o engine.Order, token int64) (engine.StartOutcome, string, error)
	// Stop and Pace return nil once the worker has done as told.
	Stop(ctx context.Context, o engine.Order, token int64) error
	Throttle(ctx context.Context, o engine.Order, token int64) error
}

// Adviser knows which workers may run the steps of advised queues.
type Adviser interface {
	Advise(ctx context.Context, step string, workers []string) ([]engine.AdviceRow, time.Duration, error)
}

// Tables of the rows. Each pool is a part.
const (
	TableOwners = "owners"
	TableJobs   = "jobs"
	TableSpecs  = "specs"
	// TableCommits has one row a pool, which each transaction of the owner replaces.
	TableCommits = "commits"
	// OwnerKey is the row of a part that names its owner, lastKey the one that names the last transaction.
	OwnerKey = "owner"
	lastKey  = "last"
)

// Claim is the value of the owner's row.
type Claim struct {
	Node        string `json:"n"`
	Incarnation string `json:"i"`
	Address     string `json:"a"`
	Token       int64  `json:"t"`
}

// ClaimKey is the row that names the owner of a part.
func ClaimKey(part string) rows.Key {
	return rows.Key{Table: TableOwners, Part: part, Name: OwnerKey}
}

// ClaimCondition is the condition that a claim with the given version still stands.
func ClaimCondition(part string, ver int64) rows.Condition {
	return rows.Condition{Key: ClaimKey(part), Ver: ver}
}

// Settings are what an Owner needs.
type Settings struct {
	Pool     string
	Token    int64
	ClaimVer int64
	Store    rows.Store
	Workers  Workers
	Adviser  Adviser
	// WorkersWithOpenOrders lists the workers whose instance has an order that may be carried out at any moment. It may be nil.
	WorkersWithOpenOrders func(ctx context.Context) ([]string, error)
	Options               engine.Options
	Log                   zerolog.Logger
	// Now is the steady clock.
	Now func() time.Duration
}

// Owner is the running ownership of a pool.
type Owner struct {
	set   Settings
	pool  *engine.Pool
	inbox chan func()
	done  chan struct{}
	err   error

	holds map[string]chan struct{}
	// lastVer is the version of the last transaction's row, commits counts the transactions of this ownership.
	lastVer, commits int64
	inFlight         bool
	lastWrite        time.Duration
	storeBad         time.Duration // since when the store has refused or not answered; 0 while it serves
	probing          bool
	probedAt         time.Duration
	loaded           chan struct{}
	ctx              context.Context
	cancel           context.CancelFunc
}

const (
	// tickInterval is how often time alone is looked at.
	tickInterval = 50 * time.Millisecond
	// commitInterval is the least time between two transactions of a pool; changes in between share one.
	commitInterval = 8 * time.Millisecond
	// placeInterval is the least time between two placements.
	placeInterval = 6 * time.Millisecond
	// batchBytes bounds a transaction below the store's limit of 1 MB.
	batchBytes = 400 << 10
)

// New returns an owner that holds the claim with the given version.
func New(ctx context.Context, s Settings) *Owner {
	c, cancel := context.WithCancel(ctx)
	return &Owner{
		set: s, ctx: c, cancel: cancel,
		pool:  engine.NewPool(s.Pool, s.Token, s.Options, s.Now()),
		inbox: make(chan func(), 256), done: make(chan struct{}), loaded: make(chan struct{}),
		holds: map[string]chan struct{}{},
	}
}

// Token is the fencing token of this ownership.
func (o *Owner) Token() int64 { return o.set.Token }

// Done is closed once the ownership has ended.
func (o *Owner) Done() <-chan struct{} { return o.done }

// Stop ends the work without giving anything up: a successor takes over what runs.
func (o *Owner) Stop() { o.cancel() }

func (o *Owner) clock() engine.Clock {
	return engine.Clock{Now: o.set.Now(), Wall: time.Now().UnixMilli()}
}

// Run loads the pool and serves it until it is stopped or succeeded.
func (o *Owner) Run() error {
	defer close(o.done)
	defer o.cancel()
	if err := o.load(); err != nil {
		o.set.Log.Warn().Str("pool", o.set.Pool).Err(err).Msg("pool not loaded")
		return err
	}
	o.set.Log.Info().Str("pool", o.set.Pool).Int64("token", o.set.Token).Int("open", o.pool.OpenJobs()).Msg("pool owned")
	observe.Count("pools.owned")
	close(o.loaded)
	o.serve()
	o.set.Log.Info().Str("pool", o.set.Pool).Int64("token", o.set.Token).AnErr("cause", o.err).Msg("pool given up")
	return o.err
}

// loadRetry is the pause after a reading that failed.
const loadRetry = 100 * time.Millisecond

// load reads the pool's rows, again and again until it succeeds.
func (o *Owner) load() error {
	for {
		err := o.loadOnce()
		if err == nil || o.ctx.Err() != nil {
			return err
		}
		o.set.Log.Warn().Str("pool", o.set.Pool).Err(err).Msg("rows not read, trying again")
		if err := sleep.Context(o.ctx, loadRetry); err != nil {
			return err
		}
	}
}

func (o *Owner) loadOnce() error {
	ctx, cancel := context.WithTimeout(o.ctx, 3*time.Second)
	defer cancel()
	specs, _, err := o.set.Store.Read(ctx, TableSpecs, o.set.Pool)
	if err != nil {
		return err
	}
	records, _, err := o.set.Store.Read(ctx, TableJobs, o.set.Pool)
	if err != nil {
		return err
	}
	if o.lastVer, err = o.readLast(ctx); err != nil {
		return err
	}
	byID := map[string]*engine.Spec{}
	for _, r := range specs {
		var s engine.Spec
		if err := json.Unmarshal(r.Value, &s); err != nil {
			return fmt.Errorf("spec %s: %w", r.Name, err)
		}
		byID[r.Name] = &s
	}
	o.pool = engine.NewPool(o.set.Pool, o.set.Token, o.set.Options, o.set.Now())
	for _, r := range records {
		var rec engine.Record
		if err := json.Unmarshal(r.Value, &rec); err != nil {
			return fmt.Errorf("job %s: %w", r.Name, err)
		}
		if byID[r.Name] == nil && !rec.State.Terminal() {
			// Both rows come and go in one transaction, but they are read by two calls.
			return fmt.Errorf("job %s: its spec is missing, reading again", r.Name)
		}
		o.pool.Load(byID[r.Name], r.Name, rec, o.clock())
	}
	return o.keepOffOrdered(ctx)
}

// orderedFor is how long a new owner keeps work off instances with open orders by itself; their holder renews it.
const orderedFor = 3 * time.Second

func (o *Owner) keepOffOrdered(ctx context.Context) error {
	if o.set.WorkersWithOpenOrders == nil {
		return nil
	}
	workers, err := o.set.WorkersWithOpenOrders(ctx)
	for _, id := range workers {
		o.pool.ForceCordon(id, o.set.Now()+orderedFor)
	}
	return err
}

// serve is the loop that has the state.
func (o *Owner) serve() {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	var lastPlace time.Duration
	for o.ctx.Err() == nil {
		select {
		case <-o.ctx.Done():
			return
		case fn := <-o.inbox:
			fn()
			o.drainInbox()
		case <-tick.C:
			o.pool.RequestPlacement()
			o.pool.Tick(o.clock())
			o.probe()
		}
		c := o.clock()
		if c.Now-lastPlace >= placeInterval {
			lastPlace = c.Now
			o.pool.Place(c)
		}
		o.flush(c)
	}
}

// drainInbox takes the events that have come meanwhile, so that one placement serves them all.
func (o *Owner) drainInbox() {
	for range 64 {
		select {
		case fn := <-o.inbox:
			fn()
		default:
			return
		}
	}
}

// flush carries out what the engine decided.
func (o *Owner) flush(c engine.Clock) {
	o.syncHolds()
	o.commit(c)
	for _, order := range o.pool.TakeOrders() {
		go o.send(order)
	}
	for _, a := range o.pool.TakeAdviceRequests() {
		go o.advise(a)
	}
	for _, n := range o.pool.TakeDecisions() {
		observe.Count("engine." + n.Event)
		o.set.Log.Info().Str("pool", o.set.Pool).Str("task", n.Task).Int64("run", n.Run).Str("worker", n.Worker).Str("why", n.Detail).Msg(n.Event)
	}
}

// post hands an event to the state's goroutine; it is dropped once the ownership has ended.
func (o *Owner) post(fn func()) {
	select {
	case o.inbox <- fn:
	case <-o.ctx.Done():
	}
}

// Do runs fn on the state and waits for it. It fails with a verdict of not-run if the ownership ends before.
func (o *Owner) Do(ctx context.Context, fn func(p *engine.Pool, c engine.Clock)) error {
	ran := make(chan struct{})
	select {
	case <-o.loaded:
	case <-o.ctx.Done():
		return notOwner(o.set.Pool)
	case <-ctx.Done():
		return verdict.Unavailable(time.Second, "pool %s is being loaded", o.set.Pool)
	}
	o.post(func() {
		fn(o.pool, o.clock())
		close(ran)
	})
	select {
	case <-ran:
		return nil
	case <-o.ctx.Done():
		select {
		case <-ran:
			return nil
		default:
			return notOwner(o.set.Pool)
		}
	}
}

func notOwner(pool string) error {
	return verdict.New(verdict.NotRun, http.StatusMisdirectedRequest, "pool %s isn't owned here", pool)
}

// fail ends the ownership.
func (o *Owner) fail(err error) {
	if o.err == nil {
		o.err = err
	}
	o.cancel()
}
