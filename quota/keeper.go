package quota

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"samphirepoint/engine"
	"samphirepoint/rows"
	"samphirepoint/sleep"
)

// Table holds one row per capped workspace, its Ledger, distributed over a few parts.
const (
	Table = "quotas"
	parts = 4
)

const (
	// minInterval is the least time between two transactions of a shard for the same part, or intervalPerOwner for each daemon that owns
	// something and each shard of this one if that is longer, so that the writes of all daemons stay far below the store's rate.
	minInterval      = 100 * time.Millisecond
	intervalPerOwner = 10 * time.Millisecond
	// idleInterval is the time between two looks at the demand if nothing asks for one earlier.
	idleInterval = 250 * time.Millisecond
	// watchWait is how long one read of the feed waits for a change.
	watchWait = time.Second
	// storeTimeout bounds a call to the store, besides the wait of the feed.
	storeTimeout = 800 * time.Millisecond
	// retryDelay is the delay after a failed read.
	retryDelay = 150 * time.Millisecond
	// maxRows bounds the rows of one transaction, each of which has a condition and a write.
	maxRows = rows.MaxEntries / 2
	// batchBytes bounds the size of the rows of one transaction, to keep it below the store's limit of 1 MB also in an encoding that is longer by a third.
	batchBytes = 400 << 10
)

// Shard is the owner of a shard on this daemon.
type Shard interface {
	Token() int64
	// WorkspaceDemands returns the demand of the workspaces that have any.
	WorkspaceDemands(ctx context.Context) (map[string]engine.WorkspaceDemand, error)
	// LowerAllotments lowers the allotments of some workspaces, but not below what they have running, and returns the limits in force.
	LowerAllotments(ctx context.Context, limits map[string]engine.Resources) (map[string]engine.Resources, error)
	SetAllotments(list map[string]engine.Allotment)
}

// Settings configures a Keeper.
type Settings struct {
	Store rows.Store
	// Caps returns the workspaces that have a cap in the configuration in force.
	Caps func() map[string]engine.Resources
	// Shards returns the shards that this daemon owns, by name.
	Shards func() map[string]Shard
	// Owners returns the number of daemons that own something.
	Owners func() int
	Log    zerolog.Logger
	// Now reads the monotonic clock.
	Now func() time.Duration
}

// Keeper keeps the allotments of the shards that this daemon owns in line with the store and with the shards' demand. The rows are the state; a
// Keeper holds the copy that it has read.
type Keeper struct {
	settings Settings
	wake     chan struct{}

	mu sync.Mutex
	// ledgers holds the newest known rows; known is false before all parts have been read.
	ledgers map[string]storedLedger
	known   bool
	// unresolved holds the writes of unknown outcome, wroteAt the time of the last transaction of each shard for each part. Only the goroutine of maintain uses
	// them.
	unresolved map[shareKey]unresolvedWrite
	wroteAt    map[shardPart]time.Duration
}

// NewKeeper returns a Keeper. Run runs it.
func NewKeeper(s Settings) *Keeper {
	return &Keeper{
		settings:   s,
		wake:       make(chan struct{}, 1),
		ledgers:    map[string]storedLedger{},
		unresolved: map[shareKey]unresolvedWrite{},
		wroteAt:    map[shardPart]time.Duration{},
	}
}

// Wake makes Run look at the demand of the shards soon: work waits for a larger allotment.
func (k *Keeper) Wake() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// Run follows the rows and maintains the shares of this daemon's shards until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	var g errgroup.Group
	g.Go(func() error {
		k.follow(ctx)
		return nil
	})
	for ctx.Err() == nil {
		next := k.settings.Now() + k.interval()
		k.maintain(ctx)
		k.pause(ctx, next)
	}
	return g.Wait()
}

// interval returns the least time between two transactions of a shard for a part.
func (k *Keeper) interval() time.Duration {
	return max(minInterval, time.Duration(k.settings.Owners()*len(k.settings.Shards()))*intervalPerOwner)
}

// pause waits until the given time, and then for a call of Wake or idleInterval.
func (k *Keeper) pause(ctx context.Context, until time.Duration) {
	_ = sleep.Context(ctx, until-k.settings.Now())
	t := time.NewTimer(idleInterval)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-k.wake:
	case <-t.C:
	}
}

// needed reports whether there is anything to keep.
func (k *Keeper) needed() bool { return len(k.settings.Caps()) > 0 && len(k.settings.Shards()) > 0 }

// maintain brings the shares of all shards of this daemon in line with their demand.
func (k *Keeper) maintain(ctx context.Context) {
	k.mu.Lock()
	known := k.known
	k.mu.Unlock()
	caps := k.settings.Caps()
	if !known || len(caps) == 0 {
		return
	}
	for name, s := range k.settings.Shards() {
		if err := k.maintainShard(ctx, name, s, caps); err != nil && ctx.Err() == nil {
			k.settings.Log.Warn().Err(err).Str("shard", name).Msg("failed to update allotments")
		}
	}
}

// maintainShard lowers what the shard gives back, writes its changed shares, and then puts in force what the store has.
func (k *Keeper) maintainShard(ctx context.Context, name string, s Shard, caps map[string]engine.Resources) error {
	c, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	demands, err := s.WorkspaceDemands(c)
	if err != nil {
		return err
	}
	changes := k.plan(name, s.Token(), caps, demands)
	if err := k.lower(c, name, s, caps, changes); err != nil {
		return err
	}
	var g errgroup.Group
	for _, batch := range changes {
		g.Go(func() error { return k.write(c, name, batch) })
	}
	err = g.Wait()
	k.noteUnresolved(name, changes)
	s.SetAllotments(k.allotments(name, s.Token(), caps))
	return err
}

// allotments returns what the owner of a shard may use.
func (k *Keeper) allotments(shard string, token int64, caps map[string]engine.Resources) map[string]engine.Allotment {
	out := map[string]engine.Allotment{}
	for workspace, limit := range caps {
		l := k.ledger(workspace)
		if l.unreadable || l.Shares[shard].Token != token {
			out[workspace] = engine.Allotment{}
			continue
		}
		a := l.Limit(shard, limit)
		if w, ok := k.unresolved[shareKey{shard, workspace}]; ok {
			a = engine.Allotment{Limit: a.Limit.Min(limitOf(w.granted, limit))}
		}
		out[workspace] = a
	}
	return out
}
