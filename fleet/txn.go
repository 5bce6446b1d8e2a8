package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"samphirepoint/instance"
	"samphirepoint/services"
	"samphirepoint/verdict"
)

const (
	// maxAttempts bounds the attempts of one transaction. After a conflict with a lease renewal or an operator, the rows
	// are read again at once; after a lost reply, one more attempt finds that the write took effect.
	maxAttempts = 4
	// commitTimeout bounds one attempt; a lease of 10 s leaves time for several.
	commitTimeout = 2 * time.Second
)

// ErrChanged means that a row is not in the state that the step requires: the plan is out of date.
var ErrChanged = errors.New("the instance, wave or move changed meanwhile")

// ErrBudget means that the step would exceed the pool's availability budget.
var ErrBudget = errors.New("the pool's availability budget is used up")

// Fence provides the condition that makes a transaction fail unless its process holds the lease.
type Fence interface {
	Condition() (services.Write, error)
	Token() (int64, bool)
}

// txn collects the rows of one transaction. Rows that are only read become conditions of the commit.
type txn struct {
	ctx   context.Context
	table services.Table
	rows  map[string]*txnRow
	order []string
}

type txnRow struct {
	row     services.Row
	value   any
	dirty   bool
	deleted bool
}

// get reads the row into value, once per transaction, and reports whether it exists.
func (t *txn) get(key string, value any) (bool, error) {
	r, ok := t.rows[key]
	if !ok {
		row, err := t.table.Get(t.ctx, key)
		if err != nil {
			return false, unavailable(err)
		}
		r = &txnRow{row: row}
		t.rows[key] = r
		t.order = append(t.order, key)
	}
	if r.row.Version == 0 {
		return false, nil
	}
	if err := json.Unmarshal(r.row.Value, value); err != nil {
		return false, fmt.Errorf("row %s: %w", key, err)
	}
	return true, nil
}

// put writes a row that was read before.
func (t *txn) put(key string, value any) {
	r := t.rows[key]
	r.value, r.dirty = value, true
}

// delete deletes a row that was read before.
func (t *txn) delete(key string) {
	r := t.rows[key]
	r.dirty, r.deleted = true, true
}

// dirtyKeys returns the keys with the prefix that the transaction writes or deletes.
func (t *txn) dirtyKeys(prefix string) []string {
	var keys []string
	for _, key := range t.order {
		if t.rows[key].dirty && strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	return keys
}

// instance reads an instance row.
func (t *txn) instance(id string) (instance.Instance, bool, error) {
	var in instance.Instance
	ok, err := t.get(instance.Prefix+id, &in)
	if ok {
		in.Version = t.rows[instance.Prefix+id].row.Version
	}
	return in, ok, err
}

// disruptions reads the pool's row; an absent row is empty.
func (t *txn) disruptions(pool string) (Disruptions, error) {
	var d Disruptions
	_, err := t.get(instance.PrefixDisruptions+pool, &d)
	if d.Unavailable == nil {
		d.Unavailable = map[string]UnavailableInstance{}
	}
	return d, err
}

// replace writes the instance row, and updates the disruption rows of its old and new pool to match.
func (t *txn) replace(old, now instance.Instance) error {
	if old.Pool != "" && old.Pool != now.Pool {
		if err := t.setUnavailable(old.Pool, now.ID, nil); err != nil {
			return err
		}
	}
	var u *UnavailableInstance
	if now.State != instance.Serving {
		u = &UnavailableInstance{State: now.State, Wave: now.Wave, Zone: now.Zone, Rack: now.Rack}
	}
	if err := t.setUnavailable(now.Pool, now.ID, u); err != nil {
		return err
	}
	t.put(instance.Prefix+now.ID, now)
	return nil
}

// setUnavailable adds the instance to the pool's disruptions, or removes it if u is nil.
func (t *txn) setUnavailable(pool, id string, u *UnavailableInstance) error {
	key := instance.PrefixDisruptions + pool
	var d Disruptions
	if r, ok := t.rows[key]; ok && r.dirty {
		d = r.value.(Disruptions)
	} else {
		var err error
		if d, err = t.disruptions(pool); err != nil {
			return err
		}
	}
	previous, listed := d.Unavailable[id]
	switch {
	case u == nil && !listed, u != nil && listed && previous == *u:
		return nil
	case u == nil:
		delete(d.Unavailable, id)
	default:
		d.Unavailable[id] = *u
	}
	t.put(key, d)
	return nil
}

// writes returns the elements of the commit, or nil if nothing changes.
func (t *txn) writes(fence Fence) ([]services.Write, error) {
	if len(t.dirtyKeys("")) == 0 {
		return nil, nil
	}
	var token int64
	var writes []services.Write
	if fence != nil {
		condition, err := fence.Condition()
		if err != nil {
			return nil, err
		}
		token, _ = fence.Token()
		writes = append(writes, condition)
	}
	if err := t.addVersionRows(token); err != nil {
		return nil, err
	}
	for _, key := range t.order {
		r := t.rows[key]
		w := services.Write{Key: key, IfVersion: r.row.Version, Check: !r.dirty, Delete: r.deleted}
		if r.dirty && !r.deleted {
			value, err := json.Marshal(r.value)
			if err != nil {
				return nil, err
			}
			w.Value = value
		}
		writes = append(writes, w)
	}
	return writes, nil
}

// addVersionRows updates the rows by which views and the controller notice the change.
func (t *txn) addVersionRows(token int64) error {
	if changed := t.dirtyKeys(instance.Prefix); len(changed) > 0 {
		var v versionRow
		if _, err := t.get(instance.KeyFleetVersion, &v); err != nil {
			return err
		}
		c := change{Version: t.rows[instance.KeyFleetVersion].row.Version + 1}
		for _, key := range changed {
			c.Instances = append(c.Instances, strings.TrimPrefix(key, instance.Prefix))
		}
		v.Token, v.Changes = token, append(v.Changes, c)
		v.Changes = slices.Clone(v.Changes[max(0, len(v.Changes)-recentChanges):])
		t.put(instance.KeyFleetVersion, v)
	}
	if len(t.dirtyKeys("waves/"))+len(t.dirtyKeys(PrefixMoves)) > 0 {
		var empty struct{}
		if _, err := t.get(KeyOperations, &empty); err != nil {
			return err
		}
		t.put(KeyOperations, empty)
	}
	return nil
}

// transact runs build and commits what it changed. After a conflict or a commit with unknown
// outcome, build runs again on rows that are read again: it must change nothing if its goal is already reached. A
// commit that arrives late cannot apply twice, because each row's version is a condition.
//
// It returns the fleet version of the commit, or 0 if no instance row was written by it.
func transact(ctx context.Context, table services.Table, fence Fence, build func(*txn) error) (int64, error) {
	var lastErr error
	unknown := false // whether an earlier commit may have taken effect
	for range maxAttempts {
		version, err := transactOnce(ctx, table, fence, build)
		if err == nil {
			return version, nil
		}
		lastErr = err
		if !retryable(err) {
			break
		}
		unknown = unknown || !errors.Is(err, services.ErrConflict)
		if ctx.Err() != nil {
			break
		}
	}
	switch {
	case unknown:
		lastErr = verdict.Wrap(fmt.Errorf("the outcome of a transaction is unknown: %w", lastErr), verdict.MayHaveRun, http.StatusServiceUnavailable)
	case errors.Is(lastErr, services.ErrConflict):
		lastErr = unavailable(fmt.Errorf("after %d attempts: %w", maxAttempts, lastErr))
	}
	return 0, lastErr
}

// unavailable marks an error after which nothing was written, so that the caller may retry.
func unavailable(err error) error {
	return verdict.WithRetryAfter(verdict.Wrap(err, verdict.NotRun, http.StatusServiceUnavailable), time.Second)
}

// commitError marks errors of the commit itself, as opposed to reads and checks.
type commitError struct{ error }

func (e commitError) Unwrap() error { return e.error }

// retryable reports whether the transaction must run again: the commit conflicted, or its outcome is unknown.
func retryable(err error) bool {
	var c commitError
	return errors.As(err, &c) && (errors.Is(err, services.ErrConflict) || !verdict.Is(err, verdict.NotRun))
}

// transactOnce runs build and commits its changes, without a retry.
func transactOnce(ctx context.Context, table services.Table, fence Fence, build func(*txn) error) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	t := &txn{ctx: ctx, table: table, rows: map[string]*txnRow{}}
	if err := build(t); err != nil {
		return 0, err
	}
	writes, err := t.writes(fence)
	if err != nil || len(writes) == 0 {
		return 0, err
	}
	versions, err := table.Commit(ctx, writes)
	if err != nil {
		return 0, commitError{err}
	}
	for i, w := range writes {
		if w.Key == instance.KeyFleetVersion && !w.Check {
			return versions[i], nil
		}
	}
	return 0, nil
}

func changed(format string, args ...any) error {
	return verdict.Wrap(fmt.Errorf("%w: %s", ErrChanged, fmt.Sprintf(format, args...)), verdict.NotRun, http.StatusConflict)
}
