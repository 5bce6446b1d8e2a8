package shard

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"sync"
	"time"

	"samphirepoint/rows"
)

// TableWorkers holds one row per worker of a divided pool, with the number of its shard. Each pool is a part. A row never changes.
const TableWorkers = "shardworkers"

// Assignments follows the assignment of workers to the shards of divided pools.
type Assignments struct {
	Store rows.Store

	mu sync.Mutex
	// after is the version up to which the table is known. Only Refresh uses it.
	after int64
	// of holds the number of each worker's shard, by pool. A pool is present once its rows have been read.
	of map[string]map[string]int
}

// Refresh reads the changes of the assignments, or all those of the layout's divided pools on the first call, after a gap in the history
// and when a pool is new. It waits up to wait for a change, and reports whether there was one.
func (a *Assignments) Refresh(ctx context.Context, l *Layout, wait time.Duration) (changed bool, err error) {
	if a.after > 0 && a.knowsAll(l) {
		list, ver, err := a.Store.Watch(ctx, TableWorkers, a.after, wait)
		if err == nil {
			a.apply(list)
			a.after = max(a.after, ver)
			return len(list) > 0, nil
		}
		if !errors.Is(err, rows.ErrHistoryGone) {
			return false, err
		}
	}
	return true, a.readAll(ctx, l)
}

func (a *Assignments) knowsAll(l *Layout) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !slices.ContainsFunc(l.Divided(), func(pool string) bool { return a.of[pool] == nil })
}

func (a *Assignments) readAll(ctx context.Context, l *Layout) error {
	first := int64(0)
	var all []rows.Row
	for _, pool := range l.Divided() {
		list, ver, err := a.Store.Read(ctx, TableWorkers, pool)
		if err != nil {
			return err
		}
		if first == 0 {
			first = ver
		}
		all = append(all, list...)
	}
	of := map[string]map[string]int{}
	for _, pool := range l.Divided() {
		of[pool] = map[string]int{}
	}
	applyRows(of, all)
	a.mu.Lock()
	a.of = of // at once: a worker that is missing here counts as gone
	a.mu.Unlock()
	a.after = first
	return nil
}

func (a *Assignments) apply(list []rows.Row) {
	a.mu.Lock()
	defer a.mu.Unlock()
	applyRows(a.of, list)
}

// applyRows applies rows of the table to the assignments by pool. Rows that can't be decoded are skipped.
func applyRows(to map[string]map[string]int, list []rows.Row) {
	for _, r := range list {
		of := to[r.Part]
		if of == nil {
			continue
		}
		delete(of, r.Name)
		if k, err := strconv.Atoi(string(r.Value)); err == nil && !r.Removed {
			of[r.Name] = k
		}
	}
}

// Of returns the shard of a worker, and false if that isn't known.
func (a *Assignments) Of(l *Layout, pool, worker string) (string, bool) {
	switch l.Count(pool) {
	case 0:
		return "", false
	case 1:
		return pool, true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	k, ok := a.of[pool][worker]
	return name(pool, k), ok
}

// Known reports whether the assignments of a pool have been read. A worker without one has none yet.
func (a *Assignments) Known(l *Layout, pool string) bool {
	if l.Count(pool) == 1 {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.of[pool] != nil
}

// assignmentsPerTransaction bounds the workers of a transaction, each of which is a condition and a write.
const assignmentsPerTransaction = rows.MaxEntries / 2

// Assign stores assignments of workers of one pool to shards, given by number. Those of workers that have one already are not changed.
func (a *Assignments) Assign(ctx context.Context, pool string, shards map[string]int) error {
	var ids []string
	for id := range shards {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for chunk := range slices.Chunk(ids, assignmentsPerTransaction) {
		if err := a.assign(ctx, pool, chunk, shards); err != nil {
			return err
		}
	}
	return nil
}

func (a *Assignments) assign(ctx context.Context, pool string, ids []string, shards map[string]int) error {
	var tx rows.Tx
	var written []rows.Row
	for _, id := range ids {
		k := rows.Key{Table: TableWorkers, Part: pool, Name: id}
		value := []byte(strconv.Itoa(shards[id]))
		tx.Expected = append(tx.Expected, rows.Condition{Key: k})
		tx.Writes = append(tx.Writes, rows.Write{Key: k, Value: value})
		written = append(written, rows.Row{Key: k, Value: value})
	}
	_, err := a.Store.Transact(ctx, tx)
	var conflict *rows.Conflict
	if errors.As(err, &conflict) {
		a.apply(slices.DeleteFunc(conflict.Rows, func(r rows.Row) bool { return r.Ver == 0 }))
		return nil // The others are assigned next time.
	}
	if err == nil {
		a.apply(written)
	}
	return err
}

// Remove removes the assignments of workers of one pool. They must have been gone for so long that no delayed call meets them again.
func (a *Assignments) Remove(ctx context.Context, pool string, ids []string) error {
	for chunk := range slices.Chunk(ids, assignmentsPerTransaction) {
		var tx rows.Tx
		for _, id := range chunk {
			tx.Remove = append(tx.Remove, rows.Key{Table: TableWorkers, Part: pool, Name: id})
		}
		if _, err := a.Store.Transact(ctx, tx); err != nil {
			return err
		}
	}
	return nil
}

// Assigned returns the workers of a pool that have a shard.
func (a *Assignments) Assigned(pool string) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []string
	for id := range a.of[pool] {
		out = append(out, id)
	}
	return out
}
