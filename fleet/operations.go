package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"samphirepoint/services"
	"samphirepoint/verdict"
	"samphirepoint/wave"
)

// Operations executes the requests of operators: it creates and changes waves and moves, conditional on the rows'
// versions, and leaves the instance rows to the controller. Any entry may use it.
type Operations struct {
	table services.Table
	now   func() time.Time
}

// NewOperations returns the operators' access to the table.
func NewOperations(t services.Table, now func() time.Time) *Operations {
	return &Operations{table: t, now: now}
}

// CreateWaves writes planned waves in one transaction. Repeating the same operation writes nothing
// and sets the waves to the stored ones.
func (o *Operations) CreateWaves(ctx context.Context, waves ...*wave.Wave) error {
	_, err := transact(ctx, o.table, nil, func(t *txn) error {
		for _, w := range waves {
			var old wave.Wave
			ok, err := t.get(wave.Prefix+w.ID, &old)
			if err != nil {
				return err
			}
			if ok && old.Operation == w.Operation && w.Operation != "" {
				*w = old
				continue
			}
			if ok {
				return verdict.New(verdict.NotRun, http.StatusConflict, "wave %q exists, created by %s", w.ID, old.By)
			}
			t.put(wave.Prefix+w.ID, w)
		}
		return nil
	})
	return err
}

// WaveAction is a change that an operator requests for a wave.
type WaveAction string

// Actions that operators may request.
const (
	ActionStart  WaveAction = "start"
	ActionPause  WaveAction = "pause"
	ActionResume WaveAction = "resume"
	ActionCancel WaveAction = "cancel"
)

// ChangeWave applies an operator's action and returns the wave as written. Repeating an action that has already taken
// effect succeeds.
func (o *Operations) ChangeWave(ctx context.Context, id string, a WaveAction, by string) (wave.Wave, error) {
	var w wave.Wave
	_, err := transact(ctx, o.table, nil, func(t *txn) error {
		w = wave.Wave{}
		ok, err := t.get(wave.Prefix+id, &w)
		if err != nil {
			return err
		}
		if !ok {
			return verdict.New(verdict.NotRun, http.StatusNotFound, "no wave %q", id)
		}
		write, err := o.applyAction(&w, a, by)
		if write {
			t.put(wave.Prefix+id, w)
		}
		return err
	})
	return w, err
}

// applyAction applies an action to the wave, and reports whether the wave changed.
func (o *Operations) applyAction(w *wave.Wave, a WaveAction, by string) (bool, error) {
	now := o.now().UTC()
	manual := w.Status == wave.Paused && w.Pause != nil && !w.Pause.Auto
	switch {
	case a == ActionStart && w.Status == wave.Planned:
		w.Start(now)
	case a == ActionPause && (w.Status == wave.Running || w.Status == wave.Paused && !manual):
		w.Status, w.Pause = wave.Paused, &wave.Pause{Reason: "paused by " + by}
	case a == ActionResume && w.Status == wave.Paused:
		w.Status, w.Pause, w.Resumed = wave.Running, nil, now
	case a == ActionCancel && !w.Status.Ended():
		w.Status, w.Pause, w.Ended = wave.Cancelled, nil, now
	case a == ActionStart && w.Status == wave.Running,
		a == ActionPause && manual,
		a == ActionResume && w.Status == wave.Running,
		a == ActionCancel && w.Status == wave.Cancelled:
		return false, nil
	default:
		return false, verdict.New(verdict.NotRun, http.StatusConflict, "cannot %s wave %q: it is %s", a, w.ID, w.Status)
	}
	return true, nil
}

// CreateMoves writes moves in one transaction. Repeating it with the same ids writes nothing.
func (o *Operations) CreateMoves(ctx context.Context, moves ...Move) error {
	_, err := transact(ctx, o.table, nil, func(t *txn) error {
		for _, m := range moves {
			if err := createMove(t, m); err != nil {
				return err
			}
		}
		return nil
	})
	return err
}

// createMove creates the row of a move. If the row already exists for the same move, nothing is written; another move with the
// same id is an error.
func createMove(t *txn, m Move) error {
	var old Move
	ok, err := t.get(PrefixMoves+m.ID, &old)
	if err != nil {
		return err
	}
	if !ok {
		t.put(PrefixMoves+m.ID, m)
		return nil
	}
	if old.Instance != m.Instance || old.To != m.To {
		return verdict.New(verdict.NotRun, http.StatusConflict, "move %q exists: instance %s to pool %s", m.ID, old.Instance, old.To)
	}
	return nil
}

// CancelMove cancels a move that has not ended.
func (o *Operations) CancelMove(ctx context.Context, id, by string) (Move, error) {
	var m Move
	_, err := transact(ctx, o.table, nil, func(t *txn) error {
		m = Move{}
		ok, err := t.get(PrefixMoves+id, &m)
		switch {
		case err != nil:
			return err
		case !ok:
			return verdict.New(verdict.NotRun, http.StatusNotFound, "no move %q", id)
		case m.Status == MoveCancelled:
			return nil
		case m.Status.Ended():
			return verdict.New(verdict.NotRun, http.StatusConflict, "move %q is %s", id, m.Status)
		}
		m.Status, m.Note, m.Ended = MoveCancelled, "cancelled by "+by, o.now().UTC()
		t.put(PrefixMoves+id, m)
		return nil
	})
	return m, err
}

// Waves reads all wave rows, in the order of their ids.
func (o *Operations) Waves(ctx context.Context) ([]*wave.Wave, error) {
	return listRows[wave.Wave](ctx, o.table, wave.Prefix)
}

// Moves reads all move rows.
func (o *Operations) Moves(ctx context.Context) ([]*Move, error) {
	return listRows[Move](ctx, o.table, PrefixMoves)
}

// pageSize is the number of rows that one list call reads: 500 instance rows are about 150 KB.
const pageSize = 500

// listPages calls visit for each row with the prefix, in the order of the keys.
func listPages(ctx context.Context, t services.Table, prefix string, visit func(services.Row) error) error {
	after := ""
	for {
		rows, err := t.List(ctx, prefix, after, pageSize)
		if err != nil {
			return unavailable(err)
		}
		for _, row := range rows {
			if err := visit(row); err != nil {
				return fmt.Errorf("row %s: %w", row.Key, err)
			}
			after = row.Key
		}
		if len(rows) < pageSize {
			return nil
		}
	}
}

func listRows[T any](ctx context.Context, t services.Table, prefix string) ([]*T, error) {
	var all []*T
	err := listPages(ctx, t, prefix, func(row services.Row) error {
		v := new(T)
		all = append(all, v)
		return json.Unmarshal(row.Value, v)
	})
	return all, err
}
