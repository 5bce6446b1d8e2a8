// Package owner runs the engine of one pool: it loads the pool's rows, writes changes, renews the leases of the pool's workers
// and sends them orders. One goroutine holds the state; other goroutines make calls and post the results to it.
//
// The rows of a pool are in two parts of the store: the primary part, and the standby part that gets the changes while the primary part
// is not available. An owner reads a part only once it has claimed it there: from then on no former owner can write to it.
//
// Every transaction is conditional on the owner's row in its part, so an owner that has lost the pool can write nothing more. It stops as
// soon as it learns of this, from the store or from a worker that has seen a higher token.
package owner

import (
	"context"
	"crypto/rand"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"samphirepoint/engine"
	"samphirepoint/observe"
	"samphirepoint/rows"
	"samphirepoint/verdict"
)

// ErrOwnershipLost reports that another daemon has claimed the pool.
var ErrOwnershipLost = errors.New("owner: the pool has another owner")

// ErrIncarnationMismatch reports that a different worker incarnation responds at the address: the addressed one has terminated.
var ErrIncarnationMismatch = errors.New("owner: a different worker incarnation responds at the address")

// ErrFenced reports that a worker has seen a higher fencing token.
var ErrFenced = errors.New("owner: the worker has seen a higher fencing token")

// ErrTokensUsedUp reports that an ownership has begun as many sessions with workers as it has fencing tokens.
var ErrTokensUsedUp = errors.New("owner: the fencing tokens of the ownership are used up")

// LeaseRenewal is a call that renews a worker's lease and asks for its runs. A DeadlineMS of 0 doesn't extend the lease.
type LeaseRenewal struct {
	DeadlineMS int64
	AckedUpTo  int64
	Wait       time.Duration
}

// Workers sends calls to workers, with the fencing tokens of their targets.
type Workers interface {
	// RenewLease fails with ErrFenced, with ErrIncarnationMismatch, or with any other error if the worker didn't answer.
	RenewLease(ctx context.Context, to engine.Target, renewal LeaseRenewal) (engine.RenewalReply, error)
	// Start fails with ErrFenced or ErrIncarnationMismatch. Otherwise the answer says what is known of the start.
	Start(ctx context.Context, o engine.Order) (engine.StartAnswer, error)
	// Stop and Throttle return nil once the worker has executed the order.
	Stop(ctx context.Context, o engine.Order) error
	Throttle(ctx context.Context, o engine.Order) error
	// Healthy asks a worker at the health path of its pool. An error means that the answer is unknown.
	Healthy(ctx context.Context, to engine.Target, path string) (bool, error)
}

// Settings configures an Owner.
type Settings struct {
	Pool     string
	Token    int64
	ClaimVer int64
	Store    rows.Store
	Workers  Workers
	// Advice holds the turns at the adviser, which the pools of a daemon share; nil if there is no adviser.
	Advice *AdviceTurns
	// WorkersWithOpenOrders lists the workers whose instances have an open order, which may be executed at any time. It may be nil.
	WorkersWithOpenOrders func(ctx context.Context) ([]string, error)
	// Workspaces are those of the configuration when the term begins, nil if they aren't known.
	Workspaces []engine.Workspace
	// ClaimedAt is a time before which the claim was not written, on the monotonic clock; 0 stands for the time of New.
	ClaimedAt time.Duration
	// KnownToAll returns the time from which former owners can't take their claim for current because they don't know of this daemon. It moves
	// when this daemon may have been forgotten. It may be nil.
	KnownToAll func() time.Duration
	// ConfirmByPeers asks other daemons whether the claim of a part with the given token and version is current, while this daemon can't read it. It
	// fails if they can't tell; by says how they know. It may be nil.
	ConfirmByPeers func(ctx context.Context, part string, token, ver int64) (current bool, by string, err error)
	// AllotmentShort is called when an allotment holds up a start. It must not block; it may be nil.
	AllotmentShort func()
	Options        engine.Options
	Log            zerolog.Logger
	// Now reads the monotonic clock.
	Now func() time.Duration
}

// Owner serves one pool under a claim.
type Owner struct {
	settings Settings
	pool     *engine.Pool
	// inbox carries events to the event loop.
	inbox chan func()
	done  chan struct{}
	// err is why Run ended.
	err error

	// term identifies this owner among all that ever serve the pool.
	term     string
	renewers map[string]*renewer
	orders   *orderQueue
	// toSend carries orders to the senders, of which there are as many as orders were ever in flight.
	toSend  chan queuedOrder
	senders int
	// adviceWaiting is the number of turns at the adviser that are waited for, adviceCalls that of the calls that are there.
	adviceWaiting, adviceCalls int
	pace                       pace
	// primary and standby are the parts that hold the pool's rows; writing is the one that the last changes went to.
	primary, standby, writing *storePart
	// standbyAnswers is set once the standby part has answered a transaction while the primary part fails or is silent.
	standbyAnswers bool
	// transactionCount counts the transactions of this owner.
	transactionCount int64
	lastWrite        time.Duration
	// claimedAt is a time before which the claim was not written. confirming is set while the claim is being confirmed.
	claimedAt       engine.Clock
	confirming      bool
	confirmedBy     string
	confirmedAt     time.Duration // the beginning of the last attempt
	checkingCordons bool
	// healthPath is the health path of the pool's workers, or "". Only the event loop uses it.
	healthPath string
	// loaded is closed once the pool's rows are read.
	loaded chan struct{}
	ctx    context.Context
	cancel context.CancelFunc
}

const (
	// tickInterval is how often the engine's timers are checked when there are no events.
	tickInterval = 50 * time.Millisecond
	// commitInterval is the least time between two transactions of a pool; changes made in between share one transaction.
	commitInterval = 20 * time.Millisecond
	// placeInterval is the least time between two placement passes.
	placeInterval = 6 * time.Millisecond
	// batchBytes bounds the size of a batch, to keep a transaction below the store's limit of 1 MB.
	batchBytes = 400 << 10
	// inboxSize is the number of events that can wait for the event loop before those who post them wait, too.
	inboxSize = 256
	// maxDrained bounds the waiting events that are handled before the next placement pass, after the one that ended the wait.
	maxDrained = 64
)

// New returns an owner for the claim with version s.ClaimVer. Call Run to serve the pool.
func New(ctx context.Context, s Settings) *Owner {
	c, cancel := context.WithCancel(ctx)
	primary := &storePart{id: engine.Primary, name: s.Pool, claimVer: s.ClaimVer}
	claimedAt := engine.Clock{Now: s.Now(), Wall: time.Now().UnixMilli()}
	if s.ClaimedAt > 0 {
		claimedAt.Wall -= (claimedAt.Now - s.ClaimedAt).Milliseconds()
		claimedAt.Now = s.ClaimedAt
	}
	return &Owner{
		settings:  s,
		pool:      engine.NewPool(s.Pool, s.Token, s.Options, s.Now()),
		inbox:     make(chan func(), inboxSize),
		done:      make(chan struct{}),
		term:      rand.Text(),
		renewers:  map[string]*renewer{},
		orders:    newOrderQueue(),
		toSend:    make(chan queuedOrder, maxOrdersInFlight),
		primary:   primary,
		standby:   &storePart{id: engine.Standby, name: StandbyPart(s.Pool)},
		writing:   primary,
		claimedAt: claimedAt,
		loaded:    make(chan struct{}),
		ctx:       c,
		cancel:    cancel,
	}
}

// Token returns the fencing token of this owner.
func (o *Owner) Token() int64 { return o.settings.Token }

// Done returns a channel that is closed once Run has ended.
func (o *Owner) Done() <-chan struct{} { return o.done }

// Stop stops the owner without stopping runs: the next owner takes them over.
func (o *Owner) Stop() { o.cancel() }

func (o *Owner) clock() engine.Clock {
	return engine.Clock{Now: o.settings.Now(), Wall: time.Now().UnixMilli()}
}

// Run loads the pool and serves it until the owner is stopped or loses the ownership.
func (o *Owner) Run() error {
	defer close(o.done)
	defer o.cancel()
	if err := o.load(); err != nil {
		o.settings.Log.Warn().Str("pool", o.settings.Pool).Err(err).Msg("failed to load pool")
		return err
	}
	o.settings.Log.Info().Str("pool", o.settings.Pool).Int64("token", o.settings.Token).Int("open", o.pool.OpenJobs()).Msg("pool ownership acquired")
	observe.Count("pools.owned")
	close(o.loaded)
	go o.monitor()
	o.serve()
	o.settings.Log.Info().Str("pool", o.settings.Pool).Int64("token", o.settings.Token).AnErr("cause", o.err).Msg("pool ownership released or lost")
	return o.err
}

// serve runs the event loop that holds the state.
func (o *Owner) serve() {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	var mayPlaceAt time.Duration
	for o.ctx.Err() == nil {
		select {
		case <-o.ctx.Done():
			return
		case fn := <-o.inbox:
			fn()
			o.drainInbox()
		case <-tick.C:
			o.awaitKnownToAll()
			o.pool.RequestPlacement()
			o.pool.Tick(o.clock())
			o.startRenewers()
			o.probeParts()
			o.checkExpiringCordons()
			o.checkHealth()
			o.confirmClaimIfDue()
			o.checkTokens()
		}
		c := o.clock()
		if c.Now >= mayPlaceAt {
			o.pool.Place(c)
			mayPlaceAt = c.Now + nextPlacement(o.settings.Now()-c.Now)
		}
		o.flush(c)
	}
}

// checkTokens ends the ownership once its fencing tokens are used up. The next claim brings new ones.
func (o *Owner) checkTokens() {
	if o.pool.TokensUsedUp() {
		o.fail(ErrTokensUsedUp)
	}
}

// drainInbox handles the events that are already queued, so that one placement pass covers them all.
func (o *Owner) drainInbox() {
	for range maxDrained {
		select {
		case fn := <-o.inbox:
			fn()
		default:
			return
		}
	}
}

// flush executes the engine's decisions.
func (o *Owner) flush(c engine.Clock) {
	o.commit(c)
	o.dispatch(c)
	if o.pool.TakeAllotmentShortage() && o.settings.AllotmentShort != nil {
		observe.Count("quota.shortages")
		o.settings.AllotmentShort()
	}
	o.takeAdviceTurns()
	for _, d := range o.pool.TakeDecisions() {
		observe.Count("engine." + d.Event)
		o.settings.Log.Info().Str("pool", o.settings.Pool).Str("task", d.Task).Int64("run", d.Run).Str("worker", d.Worker).Str("why", d.Detail).Msg(d.Event)
	}
}

// post sends an event to the goroutine that holds the state. The event is dropped once the owner has stopped.
func (o *Owner) post(fn func()) {
	select {
	case o.inbox <- fn:
	case <-o.ctx.Done():
	}
}

// WithState runs fn on the state and waits for it to return. It fails with verdict not-run if the owner stops first; fn is then not
// executed later either.
func (o *Owner) WithState(ctx context.Context, fn func(p *engine.Pool, c engine.Clock)) error {
	if err := o.awaitLoaded(ctx); err != nil {
		return err
	}
	ran := make(chan struct{})
	var decided atomic.Bool // set by whichever is first: the execution of fn, or its abandonment
	o.post(func() {
		if decided.CompareAndSwap(false, true) {
			fn(o.pool, o.clock())
			close(ran)
		}
	})
	select {
	case <-ran:
	case <-o.ctx.Done():
		if decided.CompareAndSwap(false, true) {
			return notOwner(o.settings.Pool)
		}
		<-ran
	}
	return nil
}

func notOwner(pool string) error {
	return verdict.New(verdict.NotRun, http.StatusMisdirectedRequest, "this daemon does not own pool %s", pool)
}

// fail stops the owner and records the first cause.
func (o *Owner) fail(err error) {
	if o.err == nil {
		o.err = err
	}
	o.cancel()
}
