// Package memtable provides an in-memory services.Table for tests, with a hook that makes calls fail,
// delays them or loses their replies.
package memtable

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"samphirepoint/services"
	"samphirepoint/sleep"
	"samphirepoint/verdict"
)

// ErrReplyLost is the error of a call that took effect but whose reply was lost. Its
// verdict is MayHaveRun, as for a connection that fails before the reply.
var ErrReplyLost = errors.New("memtable: reply lost")

// Op identifies a method of services.Table.
type Op string

// Methods of services.Table.
const (
	OpGet    Op = "get"
	OpList   Op = "list"
	OpCommit Op = "commit"
)

// Call describes a call of a table method to the hook.
type Call struct {
	Op Op
	// N is the number of this call among the calls of the same Op since New, starting with 1.
	N int
	// Key is the key of a Get or the prefix of a List.
	Key string
	// Writes are the elements of a Commit.
	Writes []services.Write
}

// Touches reports whether the call reads or writes a key with the given prefix.
func (c Call) Touches(prefix string) bool {
	if c.Op != OpCommit {
		return strings.HasPrefix(c.Key, prefix)
	}
	for _, w := range c.Writes {
		if strings.HasPrefix(w.Key, prefix) {
			return true
		}
	}
	return false
}

// Fault is the fault to inject into one call. The zero Fault has no effect.
type Fault struct {
	// Delay is the time before the call takes effect. If the context ends first, the call has no
	// effect and returns the context's error.
	Delay time.Duration
	// ErrBefore, if not nil, is returned by the call, which has no effect. Use verdict.New or
	// verdict.Unavailable for an error whose verdict is NotRun, and a plain error to leave the outcome unknown to the
	// caller.
	ErrBefore error
	// AfterApply, if not nil, runs after the call took effect and before its reply.
	AfterApply func()
	// DelayReply is the time between the call's effect and its reply. If the context ends first, the reply is lost.
	DelayReply time.Duration
	// LoseReply makes the call return ErrReplyLost after it took effect. The reply to a Commit whose conditions
	// do not hold is lost as well.
	LoseReply bool
}

// Hook returns the fault to inject into a call. It runs without the table's lock, so it may call the table
// itself, for instance to simulate a concurrent writer. Calls through Direct do not invoke the hook.
type Hook func(Call) Fault

// Table is an in-memory services.Table. It is safe for concurrent use.
type Table struct {
	mu           sync.Mutex
	rows         map[string]services.Row
	lastVersions map[string]int64 // highest version of each key, also after its deletion
	counts       map[Op]int
	hook         Hook
}

// New returns an empty table.
func New() *Table {
	return &Table{rows: map[string]services.Row{}, lastVersions: map[string]int64{}, counts: map[Op]int{}}
}

// SetHook replaces the hook; nil removes it.
func (t *Table) SetHook(h Hook) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hook = h
}

// Calls returns the number of calls of op since New.
func (t *Table) Calls(op Op) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts[op]
}

// Direct returns a view of the same rows that bypasses the hook and the counters.
func (t *Table) Direct() services.Table { return direct{t} }

// Get implements services.Table.
func (t *Table) Get(ctx context.Context, key string) (services.Row, error) {
	var row services.Row
	err := t.applyWithFault(ctx, Call{Op: OpGet, Key: key}, func() error {
		row = t.get(key)
		return nil
	})
	if err != nil {
		return services.Row{}, err
	}
	return row, nil
}

// List implements services.Table. A limit of 0 or less means no limit.
func (t *Table) List(ctx context.Context, prefix, after string, limit int) ([]services.Row, error) {
	var rows []services.Row
	err := t.applyWithFault(ctx, Call{Op: OpList, Key: prefix}, func() error {
		rows = t.list(prefix, after, limit)
		return nil
	})
	if err != nil {
		return nil, err
	}
	return rows, nil
}

// Commit implements services.Table. The new version is 0 for a deleted row and the current version for
// a Check element. A key may appear only once in a transaction.
func (t *Table) Commit(ctx context.Context, writes []services.Write) ([]int64, error) {
	var versions []int64
	err := t.applyWithFault(ctx, Call{Op: OpCommit, Writes: writes}, func() (err error) {
		versions, err = t.commit(writes)
		return err
	})
	if err != nil {
		return nil, err
	}
	return versions, nil
}

// applyWithFault counts the call, gets its fault from the hook and injects it around apply.
func (t *Table) applyWithFault(ctx context.Context, c Call, apply func() error) error {
	t.mu.Lock()
	t.counts[c.Op]++
	c.N = t.counts[c.Op]
	hook := t.hook
	t.mu.Unlock()
	var f Fault
	if hook != nil {
		f = hook(c)
	}
	if err := sleep.Context(ctx, f.Delay); err != nil {
		return err
	}
	if f.ErrBefore != nil {
		return f.ErrBefore
	}
	err := apply()
	if f.AfterApply != nil {
		f.AfterApply()
	}
	if lost := sleep.Context(ctx, f.DelayReply); lost != nil {
		return lost
	}
	if f.LoseReply {
		return ErrReplyLost
	}
	return err
}

func (t *Table) get(key string) services.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	row, ok := t.rows[key]
	if !ok {
		return services.Row{Key: key}
	}
	return clone(row)
}

func (t *Table) list(prefix, after string, limit int) []services.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	rows := []services.Row{}
	for key, row := range t.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			rows = append(rows, clone(row))
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	if limit > 0 && len(rows) > limit {
		rows = rows[:limit]
	}
	return rows
}

func (t *Table) commit(writes []services.Write) ([]int64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	keys := make(map[string]bool, len(writes))
	for _, w := range writes {
		if keys[w.Key] {
			return nil, verdict.New(verdict.NotRun, http.StatusBadRequest, "memtable: key %s appears twice in a transaction", w.Key)
		}
		keys[w.Key] = true
	}
	for _, w := range writes {
		if w.IfVersion != services.AnyVersion && t.rows[w.Key].Version != w.IfVersion {
			return nil, services.ErrConflict
		}
	}
	versions := make([]int64, len(writes))
	for i, w := range writes {
		versions[i] = t.apply(w)
	}
	return versions, nil
}

func (t *Table) apply(w services.Write) int64 {
	switch {
	case w.Check:
		return t.rows[w.Key].Version
	case w.Delete:
		delete(t.rows, w.Key)
		return 0
	}
	t.lastVersions[w.Key]++
	row := services.Row{Key: w.Key, Version: t.lastVersions[w.Key], Value: bytes.Clone(w.Value)}
	t.rows[w.Key] = row
	return row.Version
}

func clone(r services.Row) services.Row {
	r.Value = bytes.Clone(r.Value)
	return r
}

type direct struct{ t *Table }

func (d direct) Get(_ context.Context, key string) (services.Row, error) { return d.t.get(key), nil }

func (d direct) List(_ context.Context, prefix, after string, limit int) ([]services.Row, error) {
	return d.t.list(prefix, after, limit), nil
}

func (d direct) Commit(_ context.Context, writes []services.Write) ([]int64, error) {
	return d.t.commit(writes)
}
