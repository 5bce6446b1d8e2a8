package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"time"

	"samphirepoint/instance"
	"samphirepoint/services"
)

const (
	// pollInterval of row fleet/version; pollJitter spreads the entries' reads.
	pollInterval = 2 * time.Second
	pollJitter   = 0.2
	// backoffMin and backoffMax bound the exponential backoff with full jitter after a failed poll.
	backoffMin = 500 * time.Millisecond
	backoffMax = 8 * time.Second
	// maxSingleReads is the number of changed rows above which all rows are read again.
	maxSingleReads = 64
)

// Fallback returns the snapshot of a peer, or nil if no peer has a newer one than version known. It is for entries that
// cannot read the table, at startup and while other entries can: a drain waits until each entry in contact has
// observed it.
type Fallback func(ctx context.Context, known int64) (*instance.Fleet, error)

// View is an entry's copy of the instance rows. Snapshot may be called from any goroutine.
type View struct {
	table    services.Table
	fallback Fallback
	current  atomic.Pointer[snapshot]
	// refreshing is a semaphore: it holds one element while a refresh reads the table.
	refreshing chan struct{}
}

// snapshot is a fleet and its source. Rows from a peer carry no row versions, so the next read of the
// table replaces all of them.
type snapshot struct {
	fleet     *instance.Fleet
	fromTable bool
}

// NewView returns an empty view. fallback may be nil.
func NewView(t services.Table, fallback Fallback) *View {
	return &View{table: t, fallback: fallback, refreshing: make(chan struct{}, 1)}
}

// Snapshot returns the latest fleet, or nil before the first one. It must not be changed.
func (v *View) Snapshot() *instance.Fleet {
	if s := v.current.Load(); s != nil {
		return s.fleet
	}
	return nil
}

// Version returns the version of the snapshot, or 0.
func (v *View) Version() int64 {
	if f := v.Snapshot(); f != nil {
		return f.Version
	}
	return 0
}

// Run polls the table until ctx ends.
func (v *View) Run(ctx context.Context) error {
	failures := 0
	for {
		if err := v.Refresh(ctx); err != nil {
			failures++
			v.refreshFromPeer(ctx)
		} else {
			failures = 0
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(pollDelay(failures)):
		}
	}
}

// pollDelay returns the time until the next poll after a number of consecutive failures.
func pollDelay(failures int) time.Duration {
	if failures == 0 {
		return time.Duration(float64(pollInterval) * (1 + pollJitter*(2*rand.Float64()-1)))
	}
	limit := min(backoffMin<<min(failures-1, 8), backoffMax)
	return time.Duration(rand.Int64N(int64(limit))) + time.Millisecond
}

// refreshFromPeer installs a peer's snapshot if it is newer. Errors are ignored; the next poll tries again.
func (v *View) refreshFromPeer(ctx context.Context) {
	if v.fallback == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	if f, err := v.fallback(ctx, v.Version()); err == nil && f != nil {
		v.Install(f)
	}
}

// Install replaces the current snapshot by a peer's if that is newer, and returns the version of the current one.
func (v *View) Install(f *instance.Fleet) int64 { return v.install(&snapshot{fleet: f}) }

// install replaces the current snapshot by a newer one, or by one of the same version from the table.
func (v *View) install(s *snapshot) int64 {
	for {
		old := v.current.Load()
		if old != nil && (s.fleet.Version < old.fleet.Version || s.fleet.Version == old.fleet.Version && !s.fromTable) {
			return old.fleet.Version
		}
		if v.current.CompareAndSwap(old, s) {
			return s.fleet.Version
		}
	}
}

// Refresh reads the version and, if it grew, the changed rows.
func (v *View) Refresh(ctx context.Context) error {
	select {
	case v.refreshing <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-v.refreshing }()
	ctx, cancel := context.WithTimeout(ctx, 2*commitTimeout)
	defer cancel()
	row, err := v.table.Get(ctx, instance.KeyFleetVersion)
	if err != nil {
		return err
	}
	var old *instance.Fleet
	if s := v.current.Load(); s != nil {
		if row.Version < s.fleet.Version || row.Version == s.fleet.Version && s.fromTable {
			return nil
		}
		if s.fromTable {
			old = s.fleet
		}
	}
	var log versionRow
	if row.Version > 0 {
		if err := json.Unmarshal(row.Value, &log); err != nil {
			return fmt.Errorf("row %s: %w", row.Key, err)
		}
	}
	f, err := v.read(ctx, old, row.Version, log)
	if err != nil {
		return err
	}
	v.install(&snapshot{fleet: f, fromTable: true})
	return nil
}

// read returns the rows at version or later: the changed ones if the log reaches back to the old
// snapshot, else all.
func (v *View) read(ctx context.Context, old *instance.Fleet, version int64, log versionRow) (*instance.Fleet, error) {
	if ids, ok := changedSince(old, version, log); ok {
		return v.readChanged(ctx, old, version, ids)
	}
	f := &instance.Fleet{Version: version, Instances: map[string]instance.Instance{}}
	err := listPages(ctx, v.table, instance.Prefix, func(row services.Row) error {
		in, err := decode(row)
		f.Instances[in.ID] = in
		return err
	})
	return f, err
}

// changedSince returns the ids that changed after the old snapshot, if the log lists every version in between.
func changedSince(old *instance.Fleet, version int64, log versionRow) (map[string]bool, bool) {
	if old == nil {
		return nil, false
	}
	ids := map[string]bool{}
	next := old.Version + 1
	for _, c := range log.Changes {
		if c.Version < next {
			continue
		}
		if c.Version != next {
			return nil, false
		}
		next++
		for _, id := range c.Instances {
			ids[id] = true
		}
	}
	return ids, next == version+1 && len(ids) <= maxSingleReads
}

func (v *View) readChanged(ctx context.Context, old *instance.Fleet, version int64, ids map[string]bool) (*instance.Fleet, error) {
	f := &instance.Fleet{Version: version, Instances: maps.Clone(old.Instances)}
	for id := range ids {
		row, err := v.table.Get(ctx, instance.Prefix+id)
		if err != nil {
			return nil, err
		}
		if row.Version == 0 {
			delete(f.Instances, id)
			continue
		}
		in, err := decode(row)
		if err != nil {
			return nil, err
		}
		f.Instances[id] = in
	}
	return f, nil
}

func decode(row services.Row) (instance.Instance, error) {
	var in instance.Instance
	if err := json.Unmarshal(row.Value, &in); err != nil {
		return in, err
	}
	in.ID = strings.TrimPrefix(row.Key, instance.Prefix)
	in.Version = row.Version
	return in, nil
}
