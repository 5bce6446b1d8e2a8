package fleet

import (
	"context"

	"samphirepoint/instance"
	"samphirepoint/services"
)

// FinishMove puts a drained instance into the target pool of its move.
func (s *Store) FinishMove(ctx context.Context, m Move) (int64, error) {
	return s.transact(ctx, func(t *txn) error {
		in, ok, err := t.instance(m.Instance)
		switch {
		case err != nil:
			return err
		case ok && in.State == instance.Serving && in.Pool == m.To:
			return s.endMove(t, m.ID, MoveDone, "")
		case !ok, in.State != instance.Draining, in.TargetPool != m.To:
			return changed("instance %s is %s with target pool %q", m.Instance, in.State, in.TargetPool)
		}
		old := in
		in.Pool, in.TargetPool, in.State, in.Since = m.To, "", instance.Serving, s.now().UTC()
		if err := s.endMove(t, m.ID, MoveDone, ""); err != nil {
			return err
		}
		return t.replace(old, in)
	})
}

// AbortMove returns the instance to service in its old pool and ends the move with the status.
func (s *Store) AbortMove(ctx context.Context, m Move, status MoveStatus, note string) (int64, error) {
	return s.transact(ctx, func(t *txn) error {
		in, ok, err := t.instance(m.Instance)
		if err != nil {
			return err
		}
		if err := s.endMove(t, m.ID, status, note); err != nil {
			return err
		}
		if !ok || in.State != instance.Draining || in.TargetPool == "" {
			return nil
		}
		old := in
		in.TargetPool, in.State, in.Since = "", instance.Serving, s.now().UTC()
		return t.replace(old, in)
	})
}

// endMove records the final status of a move.
func (s *Store) endMove(t *txn, id string, status MoveStatus, note string) error {
	var m Move
	ok, err := t.get(PrefixMoves+id, &m)
	if err != nil || !ok || m.Status == status || m.Status.Ended() && status != MoveDone {
		return err
	}
	// A move that took effect becomes done even if an operator cancelled it after its last check.
	m.Status, m.Note, m.Ended, m.Waits = status, note, s.now().UTC(), nil
	t.put(PrefixMoves+id, m)
	return nil
}

// RegisterByMove creates the row of a listed instance that has none in the move's target pool, and ends the move.
func (s *Store) RegisterByMove(ctx context.Context, m Move, p services.Instance) (int64, error) {
	return s.transact(ctx, func(t *txn) error {
		in, err := s.register(t, p, m.To)
		if err != nil {
			return err
		}
		if in.Pool != m.To {
			return changed("instance %s is in pool %s", in.ID, in.Pool)
		}
		return s.endMove(t, m.ID, MoveDone, "registered")
	})
}

// UpdateMove changes a move's row under the lease. The row is written only if change returns true.
func (s *Store) UpdateMove(ctx context.Context, id string, change func(*Move) bool) error {
	_, err := s.transact(ctx, func(t *txn) error {
		var m Move
		ok, err := t.get(PrefixMoves+id, &m)
		if err == nil && ok && change(&m) {
			t.put(PrefixMoves+id, m)
		}
		return err
	})
	return err
}

// CreateMove creates a move that the mover planned.
func (s *Store) CreateMove(ctx context.Context, m Move) error {
	_, err := s.transact(ctx, func(t *txn) error { return createMove(t, m) })
	return err
}
