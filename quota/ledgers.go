package quota

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strconv"

	"golang.org/x/sync/errgroup"

	"samphirepoint/rows"
	"samphirepoint/sleep"
)

// storedLedger is a row as it was read.
type storedLedger struct {
	Ledger
	ver   int64
	bytes int
	// unreadable is set if the row can't be decoded. Its workspace starts nothing more, as nobody knows what the shards have.
	unreadable bool
}

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
