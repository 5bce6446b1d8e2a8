package quota

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"samphirepoint/engine"
	"samphirepoint/observe"
	"samphirepoint/rows"
	"samphirepoint/sleep"
	"samphirepoint/verdict"
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
	// unresolved holds the writes of unknown outcome, by shard and workspace. Only the goroutine of maintain uses it, like wroteAt.
	unresolved map[entry]unresolvedWrite
	wroteAt    map[shardPart]time.Duration
}

type storedLedger struct {
	Ledger
	ver   int64
	bytes int
	// unreadable is set if the row can't be decoded. Its workspace starts nothing more, as nobody knows what the shards have.
	unreadable bool
}

// entry names a shard's share of a workspace.
type entry struct{ shard, workspace string }

// shardPart names a shard and a part of the table.
type shardPart struct{ shard, part string }

// unresolvedWrite stands for the writes of a share that the store may still execute, as long as the row has the version that they replace.
type unresolvedWrite struct {
	replaces int64
	// granted is the least that one of them grants, of each resource.
	granted engine.Resources
}

// NewKeeper returns a Keeper. Run runs it.
func NewKeeper(s Settings) *Keeper {
	return &Keeper{
		settings:   s,
		wake:       make(chan struct{}, 1),
		ledgers:    map[string]storedLedger{},
		unresolved: map[entry]unresolvedWrite{},
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

// follow keeps the copy of the rows up to date while it is needed.
func (k *Keeper) follow(ctx context.Context) {
	after := int64(-1)
	for ctx.Err() == nil {
		if !k.needed() {
			after = -1
			_ = sleep.Context(ctx, idleInterval)
			continue
		}
		var err error
		if after < 0 {
			after, err = k.readAll(ctx)
		} else {
			after, err = k.readChanges(ctx, after)
		}
		if err != nil {
			after = -1
			if !errors.Is(err, rows.ErrHistoryGone) {
				_ = sleep.Context(ctx, retryDelay)
			}
		}
	}
}

// readAll reads all parts and returns the version from which the feed continues.
func (k *Keeper) readAll(ctx context.Context) (int64, error) {
	c, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	vers := make([]int64, parts)
	g, c := errgroup.WithContext(c)
	for i := range parts {
		g.Go(func() error {
			list, ver, err := k.settings.Store.Read(c, Table, strconv.Itoa(i))
			vers[i] = ver
			k.apply(list)
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return -1, err
	}
	k.mu.Lock()
	k.known = true
	k.mu.Unlock()
	k.Wake()
	return slices.Min(vers), nil
}

func (k *Keeper) readChanges(ctx context.Context, after int64) (int64, error) {
	c, cancel := context.WithTimeout(ctx, watchWait+storeTimeout)
	defer cancel()
	list, ver, err := k.settings.Store.Watch(c, Table, after, watchWait)
	if err != nil {
		return -1, err
	}
	if k.apply(list) {
		k.Wake()
	}
	return ver, nil
}

// apply takes over the rows that are newer than the copies, and reports whether any is.
func (k *Keeper) apply(list []rows.Row) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	changed := false
	for _, r := range list {
		if r.Table != Table || r.Ver <= k.ledgers[r.Name].ver {
			continue
		}
		l := storedLedger{ver: r.Ver, bytes: len(r.Value)}
		if err := json.Unmarshal(r.Value, &l.Ledger); err != nil && !r.Removed {
			k.settings.Log.Error().Err(err).Str("workspace", r.Name).Msg("unreadable row of a quota; the workspace starts nothing more")
			l.unreadable = true
		}
		k.ledgers[r.Name] = l
		changed = true
	}
	return changed
}

// applyConflict takes over the present rows. A row that is gone has no newer version to be recognized by.
func (k *Keeper) applyConflict(conflict *rows.Conflict) {
	k.apply(conflict.Rows)
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, r := range conflict.Rows {
		if r.Ver == 0 {
			delete(k.ledgers, r.Name)
		}
	}
}

func (k *Keeper) ledger(workspace string) storedLedger {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.ledgers[workspace]
}

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

// change is a share to be written.
type change struct {
	workspace string
	base      storedLedger
	share     Share
	demand    engine.WorkspaceDemand
	// uncertain is set if the write got no answer.
	uncertain bool
}

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

// plan returns the shares of a shard that are to be written now, by part.
func (k *Keeper) plan(shard string, token int64, caps map[string]engine.Resources, demands map[string]engine.WorkspaceDemand) map[string][]change {
	out := map[string][]change{}
	now, interval := k.settings.Now(), k.interval()
	bytes := map[string]int{}
	for _, workspace := range shuffled(caps) {
		part, base := partOf(workspace), k.ledger(workspace)
		if at, ok := k.wroteAt[shardPart{shard, part}]; ok && now-at < interval || len(out[part]) == maxRows || bytes[part]+base.bytes > batchBytes {
			continue
		}
		if base.unreadable || base.Shares[shard].Token > token {
			continue // Unknown, or another daemon owns the shard.
		}
		d := demands[workspace]
		share, changed := base.Plan(shard, token, caps[workspace], d, time.Now().UnixMilli())
		_, unresolved := k.unresolved[entry{shard, workspace}]
		if changed || unresolved {
			bytes[part] += base.bytes
			out[part] = append(out[part], change{workspace: workspace, base: base, share: share, demand: d})
		}
	}
	for part := range out {
		k.wroteAt[shardPart{shard, part}] = now
	}
	return out
}

// shuffled returns the workspaces in random order: a transaction may not have room for all, and each has to get its turn.
func shuffled(caps map[string]engine.Resources) []string {
	list := slices.Collect(maps.Keys(caps))
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}

// lower lowers the allotments whose share shrinks, before that is written, and raises these shares to what is in use.
func (k *Keeper) lower(ctx context.Context, shard string, s Shard, caps map[string]engine.Resources, changes map[string][]change) error {
	limits := map[string]engine.Resources{}
	each(changes, func(c *change) {
		if !c.share.Granted.Covers(c.base.Shares[shard].Granted) {
			limits[c.workspace] = limitOf(c.share.Granted, caps[c.workspace])
		}
	})
	if len(limits) == 0 {
		return nil
	}
	inForce, err := s.LowerAllotments(ctx, limits)
	if err != nil {
		return err
	}
	each(changes, func(c *change) {
		if limit, ok := inForce[c.workspace]; ok {
			c.share.Granted = grantedOf(limit, caps[c.workspace])
		}
	})
	return nil
}

func each(changes map[string][]change, fn func(*change)) {
	for _, batch := range changes {
		for i := range batch {
			fn(&batch[i])
		}
	}
}

// limitOf returns the limit for a share. A resource without a cap is not limited.
func limitOf(granted, limit engine.Resources) engine.Resources {
	return whereCapped(granted, limit, engine.Unlimited)
}

// grantedOf returns the share for a limit.
func grantedOf(inForce, limit engine.Resources) engine.Resources {
	return whereCapped(inForce, limit, 0)
}

// whereCapped returns the values of the capped resources, and another value for the others.
func whereCapped(values, limit engine.Resources, otherwise int64) engine.Resources {
	for _, r := range resources {
		if *r(&limit) == 0 {
			*r(&values) = otherwise
		}
	}
	return values
}

// noteUnresolved records the writes without an answer, and forgets those that the store can no longer execute.
func (k *Keeper) noteUnresolved(shard string, changes map[string][]change) {
	each(changes, func(c *change) {
		if c.uncertain {
			k.addUnresolved(entry{shard, c.workspace}, unresolvedWrite{replaces: c.base.ver, granted: c.share.Granted})
		}
	})
	for e, w := range k.unresolved {
		if k.ledger(e.workspace).ver > w.replaces {
			delete(k.unresolved, e)
		}
	}
}

// addUnresolved records a write without an answer. The store may still execute any one of those that replace the same version.
func (k *Keeper) addUnresolved(e entry, w unresolvedWrite) {
	if former, ok := k.unresolved[e]; ok && former.replaces == w.replaces {
		w.granted = w.granted.Min(former.granted)
	}
	k.unresolved[e] = w
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
		if w, ok := k.unresolved[entry{shard, workspace}]; ok {
			a = engine.Allotment{Limit: a.Limit.Min(limitOf(w.granted, limit))}
		}
		out[workspace] = a
	}
	return out
}

// partOf returns the part with a workspace's row.
func partOf(workspace string) string {
	return strconv.FormatUint(xxhash.Sum64String(workspace)%parts, 10)
}

// write writes the shares of one part in one transaction, and applies what the store says of the rows.
func (k *Keeper) write(ctx context.Context, shard string, batch []change) error {
	tx := rows.Tx{}
	var next []rows.Row
	for i := range batch {
		c := &batch[i]
		l := Ledger{Shares: maps.Clone(c.base.Shares)}
		if l.Shares == nil {
			l.Shares = map[string]Share{}
		}
		l.Shares[shard] = c.share
		if c.share.Granted == (engine.Resources{}) && c.share.Wanted == (engine.Resources{}) {
			delete(l.Shares, shard)
		}
		value, err := json.Marshal(l)
		if err != nil {
			return err
		}
		key := rows.Key{Table: Table, Part: partOf(c.workspace), Name: c.workspace}
		tx.Expected = append(tx.Expected, rows.Condition{Key: key, Ver: c.base.ver})
		tx.Writes = append(tx.Writes, rows.Write{Key: key, Value: value})
		next = append(next, rows.Row{Key: key, Value: value})
	}
	ver, err := k.settings.Store.Transact(ctx, tx)
	var conflict *rows.Conflict
	switch {
	case err == nil:
		observe.Count("quota.writes")
		for i := range next {
			next[i].Ver = ver
		}
		k.apply(next)
		k.logWritten(shard, batch)
		return nil
	case errors.As(err, &conflict):
		observe.Count("quota.conflicts")
		k.applyConflict(conflict)
		k.Wake()
		return nil
	}
	observe.Count("quota.failures")
	if !verdict.Is(err, verdict.NotRun) {
		for i := range batch {
			batch[i].uncertain = true
		}
	}
	return err
}

func (k *Keeper) logWritten(shard string, batch []change) {
	for i := range batch {
		c := &batch[i]
		k.settings.Log.Info().Str("shard", shard).Str("workspace", c.workspace).Int64("grantedCPU", c.share.Granted.CPU).Int64("grantedMem", c.share.Granted.Mem).
			Int64("usedCPU", c.demand.Used.CPU).Int64("wantedCPU", c.demand.Wanted.CPU).Int64("formerCPU", c.base.Shares[shard].Granted.CPU).Msg("allotment written")
	}
}
