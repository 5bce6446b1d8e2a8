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
	// attempts of one transaction: a conflict with a lease renewal or an operator is read again at
	// once, and a lost reply needs one more attempt to find the write in place.
	attempts = 4
	// commitTimeout bounds one commit; a lease of 10 s leaves room for several.
	commitTimeout = 2 * time.Second
)

// ErrChanged reports that a row is not in the state that the step requires: the plan is out of date.
var ErrChanged = errors.New("the instance, wave or move changed meanwhile")

// ErrBudget reports that the step would exceed the pool's availability budget.
var ErrBudget = errors.New("the pool's availability budget is used up")

// Fence gives the condition that ties a transaction to a lease.
type Fence interface {
	Condition() (services.Write, error)
	Token() (int64, bool)
}

// txn collects the rows of one transaction. Rows that are only read become conditions.
type txn struct {
	ctx   context.Context
	table services.Table
	rows  map[string]*txnRow
	order []string
}

type txnRow struct {
	row   services.Row
	value any
	dirty bool
	del   bool
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

func (t *txn) delete(key string) {
	r := t.rows[key]
	r.dirty, r.del = true, true
}

func (t *txn) dirty(prefix string) []string {
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
		d.Unavailable = map[string]Out{}
	}
	return d, err
}

// replace writes the instance row and keeps the disruption rows of its old and new pool in step.
func (t *txn) replace(old, now instance.Instance) error {
	if old.Pool != "" && old.Pool != now.Pool {
		if err := t.setOut(old.Pool, now.ID, nil); err != nil {
			return err
		}
	}
	var out *Out
	if now.State != instance.Serving {
		out = &Out{State: now.State, Wave: now.Wave, Zone: now.Zone, Rack: now.Rack}
	}
	if err := t.setOut(now.Pool, now.ID, out); err != nil {
		return err
	}
	t.put(instance.Prefix+now.ID, now)
	return nil
}

// setOut adds the instance to the pool's disruptions, or removes it if out is nil.
func (t *txn) setOut(pool, id string, out *Out) error {
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
	before, was := d.Unavailable[id]
	switch {
	case out == nil && !was, out != nil && was && before == *out:
		return nil
	case out == nil:
		delete(d.Unavailable, id)
	default:
		d.Unavailable[id] = *out
	}
	t.put(key, d)
	return nil
}

// writes returns the elements of the commit, or nil if nothing changes.
func (t *txn) writes(fence Fence) ([]services.Write, error) {
	if len(t.dirty("")) == 0 {
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
	if err := t.bump(token); err != nil {
		return nil, err
	}
	for _, key := range t.order {
		r := t.rows[key]
		w := services.Write{Key: key, IfVersion: r.row.Version, Check: !r.dirty, Delete: r.del}
		if r.dirty && !r.del {
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

// bump adds the rows that tell views and the controller of the change.
func (t *txn) bump(token int64) error {
	if changed := t.dirty(instance.Prefix); len(changed) > 0 {
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
	if len(t.dirty("waves/"))+len(t.dirty(PrefixMoves)) > 0 {
		var empty struct{}
		if _, err := t.get(KeyOperations, &empty); err != nil {
			return err
		}
		t.put(KeyOperations, empty)
	}
	return nil
}

// transact runs build and commits what it changed. After a conflict or a commit with unknown
// outcome, build runs again on rows read anew: it must change nothing if its goal is reached already. A commit
// that arrives late cannot apply twice, because each row's version is a condition.
//
// It returns the fleet version of the commit, or 0 if no instance row was written by it.
func transact(ctx context.Context, table services.Table, fence Fence, build func(*txn) error) (int64, error) {
	var last error
	unknown := false // whether an earlier commit may have taken effect
	for range attempts {
		version, err := attempt(ctx, table, fence, build)
		if err == nil {
			return version, nil
		}
		last = err
		if !repeatable(err) {
			break
		}
		unknown = unknown || !errors.Is(err, services.ErrConflict)
		if ctx.Err() != nil {
			break
		}
	}
	switch {
	case unknown:
		last = verdict.Wrap(fmt.Errorf("the outcome of a transaction is unknown: %w", last), verdict.MayHaveRun, http.StatusServiceUnavailable)
	case errors.Is(last, services.ErrConflict):
		last = unavailable(fmt.Errorf("after %d attempts: %w", attempts, last))
	}
	return 0, last
}

// unavailable marks an error after which nothing was written.
func unavailable(err error) error {
	return verdict.WithRetryAfter(verdict.Wrap(err, verdict.NotRun, http.StatusServiceUnavailable), time.Second)
}

// commitError marks errors of the commit itself, as opposed to reads and checks.
type commitError struct{ error }

func (e commitError) Unwrap() error { return e.error }

// repeatable reports whether the rows must be read again to know what happened.
func repeatable(err error) bool {
	var c commitError
	return errors.As(err, &c) && (errors.Is(err, services.ErrConflict) || !verdict.Is(err, verdict.NotRun))
}

func attempt(ctx context.Context, table services.Table, fence Fence, build func(*txn) error) (int64, error) {
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
