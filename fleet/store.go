package fleet

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"samphirepoint/instance"
	"samphirepoint/services"
	"samphirepoint/verdict"
	"samphirepoint/wave"
)

// Store changes instance rows under the fleet lease. Each method is one transaction, conditional on the lease
// row, on the instance rows and on the disruption rows of the pools. Each is idempotent: a retry that finds its goal
// reached writes nothing. A Store is not safe for concurrent use.
type Store struct {
	table services.Table
	fence Fence
	now   func() time.Time
	// transactions counts the transactions; the controller reads its rows again after each.
	transactions int
}

// NewStore returns a store whose transactions are fenced by the lease.
func NewStore(t services.Table, fence Fence, now func() time.Time) *Store {
	return &Store{table: t, fence: fence, now: now}
}

func (s *Store) transact(ctx context.Context, build func(*txn) error) (int64, error) {
	s.transactions++
	return transact(ctx, s.table, s.fence, build)
}

// Register creates rows for instances of the platform's list in the pool. Existing rows do not change.
func (s *Store) Register(ctx context.Context, list []services.Instance, pool string) (int64, error) {
	return s.transact(ctx, func(t *txn) error {
		for _, p := range list {
			if _, err := s.register(t, p, pool); err != nil {
				return err
			}
		}
		return nil
	})
}

func (s *Store) register(t *txn, p services.Instance, pool string) (instance.Instance, error) {
	in, ok, err := t.instance(p.ID)
	if err != nil || ok {
		return in, err
	}
	in = instance.Instance{ID: p.ID, Address: p.Address, Zone: p.Zone, Region: p.Region, Rack: p.Rack, Slots: p.Slots,
		Pool: pool, State: instance.Serving, Since: s.now().UTC()}
	return in, t.replace(instance.Instance{}, in)
}

// Drain describes the start of a drain, for a wave or for a move.
type Drain struct {
	Instance string
	// Version of the instance row in the snapshot from which the step was planned.
	Version int64
	// Wave or Move names the row that requests the drain.
	Wave   string
	Move   string
	Budget wave.Budget
}

// StartDrain takes the instance out of service if the pool's budget allows it. It returns ErrBudget or ErrChanged if
// the plan is out of date.
func (s *Store) StartDrain(ctx context.Context, d Drain) (int64, error) {
	return s.transact(ctx, func(t *txn) error { return s.startDrain(t, d) })
}

func (s *Store) startDrain(t *txn, d Drain) error {
	in, ok, err := t.instance(d.Instance)
	if err != nil {
		return err
	}
	target, err := s.checkDrainRequest(t, d)
	if err != nil {
		return err
	}
	switch {
	case ok && in.State == instance.Draining && in.Wave == d.Wave && in.TargetPool == target:
		return nil // an earlier attempt took effect
	case !ok, in.State != instance.Serving, in.Version != d.Version:
		return changed("instance %s is %s at version %d, planned at %d", d.Instance, in.State, in.Version, d.Version)
	}
	if err := checkBudget(t, in, d); err != nil {
		return err
	}
	old := in
	in.State, in.Since, in.Wave, in.TargetPool = instance.Draining, s.now().UTC(), d.Wave, target
	return t.replace(old, in)
}

// checkDrainRequest checks that the wave or move still requests the drain. Its row becomes a condition of the commit, so
// that an operator's pause or cancel and the step exclude each other. It returns the target pool of a move.
func (s *Store) checkDrainRequest(t *txn, d Drain) (string, error) {
	if d.Wave != "" {
		var w wave.Wave
		if ok, err := t.get(wave.Prefix+d.Wave, &w); err != nil || !ok || w.Status != wave.Running || w.Results[d.Instance] != "" {
			return "", orChanged(err, "wave %s is %s, its result for %s is %q", d.Wave, w.Status, d.Instance, w.Results[d.Instance])
		}
		return "", nil
	}
	var m Move
	if ok, err := t.get(PrefixMoves+d.Move, &m); err != nil || !ok || m.Status.Ended() || m.Instance != d.Instance {
		return "", orChanged(err, "move %s is %s", d.Move, m.Status)
	}
	if m.Status == MovePending {
		m.Status, m.Waits = MoveDraining, nil
		t.put(PrefixMoves+d.Move, m)
	}
	return m.To, nil
}

// orChanged returns err, or ErrChanged with a message if err is nil.
func orChanged(err error, format string, args ...any) error {
	if err != nil {
		return err
	}
	return changed(format, args...)
}

// checkBudget checks the planner's rules again on the pool's disruption row.
func checkBudget(t *txn, in instance.Instance, d Drain) error {
	disruptions, err := t.disruptions(in.Pool)
	if err != nil {
		return err
	}
	if len(disruptions.Unavailable) >= d.Budget.Limit {
		return budgetError("pool %s has %d unavailable instances of %d allowed (backer %s)", in.Pool, len(disruptions.Unavailable), d.Budget.Limit, d.Budget.Backer)
	}
	if d.Wave == "" {
		return nil
	}
	for id, u := range disruptions.Unavailable {
		if u.Wave != "" && (u.Zone != in.Zone || u.Rack != in.Rack) {
			return budgetError("pool %s has %s under maintenance in rack %s of zone %s", in.Pool, id, u.Rack, u.Zone)
		}
	}
	return nil
}

func budgetError(format string, args ...any) error {
	return verdict.Wrap(fmt.Errorf("%w: %s", ErrBudget, fmt.Sprintf(format, args...)), verdict.NotRun, http.StatusConflict)
}

// Reboot records that the drained instance may be rebooted from now on, which ends the given incarnation of its worker.
func (s *Store) Reboot(ctx context.Context, id, waveID string, incarnation int64) (int64, error) {
	return s.transact(ctx, func(t *txn) error {
		in, ok, err := t.instance(id)
		switch {
		case err != nil:
			return err
		case ok && in.State == instance.Rebooting && in.Wave == waveID:
			return nil
		case !ok, in.State != instance.Draining, in.Wave != waveID, waveID == "":
			return changed("instance %s is %s for wave %q", id, in.State, in.Wave)
		}
		old := in
		in.State, in.RebootOf, in.Since = instance.Rebooting, incarnation, s.now().UTC()
		return t.replace(old, in)
	})
}

// Serve returns a draining or rebooting instance of a wave to service in its pool, and records its result in the wave.
// An empty result leaves the instance to a later step of the wave, as when the wave yields.
func (s *Store) Serve(ctx context.Context, id, waveID string, result wave.Result) (int64, error) {
	return s.transact(ctx, func(t *txn) error {
		in, ok, err := t.instance(id)
		if err != nil {
			return err
		}
		if !ok || in.State == instance.Failed || in.State != instance.Serving && in.Wave != waveID {
			return changed("instance %s is %s for wave %q", id, in.State, in.Wave)
		}
		if in.State == instance.Serving {
			return nil
		}
		old := in
		in.State, in.Since, in.Wave, in.TargetPool, in.RebootOf = instance.Serving, s.now().UTC(), "", "", 0
		if result == wave.Maintained {
			in.Maintained = in.Since
		}
		if err := recordResult(t, waveID, id, result); err != nil {
			return err
		}
		return t.replace(old, in)
	})
}

// recordResult records the result of the instance in the wave's row, if the row exists. Without a wave or result it does
// nothing.
func recordResult(t *txn, waveID, id string, result wave.Result) error {
	if waveID == "" || result == "" {
		return nil
	}
	var w wave.Wave
	ok, err := t.get(wave.Prefix+waveID, &w)
	if err != nil || !ok {
		return err
	}
	if w.Settle(id, result) {
		t.put(wave.Prefix+waveID, w)
	}
	return nil
}

// Fail records an unplanned failure. It counts against the budget, and may exceed it.
func (s *Store) Fail(ctx context.Context, id, reason string) (int64, error) {
	return s.transact(ctx, func(t *txn) error {
		in, ok, err := t.instance(id)
		if err != nil || !ok || in.State == instance.Failed {
			return err
		}
		if err := recordResult(t, in.Wave, id, wave.Failed); err != nil {
			return err
		}
		old := in
		in.State, in.Since, in.Wave, in.TargetPool, in.RebootOf = instance.Failed, s.now().UTC(), "", "", 0
		return t.replace(old, in)
	})
}

// Return puts a failed instance back into service, with the address, region, zone, rack and slots of the platform's
// list.
func (s *Store) Return(ctx context.Context, p services.Instance) (int64, error) {
	return s.transact(ctx, func(t *txn) error {
		in, ok, err := t.instance(p.ID)
		if err != nil || !ok || in.State != instance.Failed {
			return err
		}
		old := in
		in.State, in.Since = instance.Serving, s.now().UTC()
		copyListedFields(&in, p)
		return t.replace(old, in)
	})
}

// Relocate copies address, region, zone, rack and slots from the platform's list.
func (s *Store) Relocate(ctx context.Context, p services.Instance) (int64, error) {
	return s.transact(ctx, func(t *txn) error {
		in, ok, err := t.instance(p.ID)
		if err != nil || !ok {
			return err
		}
		old := in
		if copyListedFields(&in, p); in == old {
			return nil
		}
		return t.replace(old, in)
	})
}

func copyListedFields(in *instance.Instance, p services.Instance) {
	in.Address, in.Zone, in.Region, in.Rack, in.Slots = p.Address, p.Zone, p.Region, p.Rack, p.Slots
}

// Remove deletes the row of an instance that failed and did not recover.
func (s *Store) Remove(ctx context.Context, id string) (int64, error) {
	return s.transact(ctx, func(t *txn) error {
		in, ok, err := t.instance(id)
		if err != nil || !ok {
			return err
		}
		if in.State != instance.Failed {
			return changed("instance %s is %s", id, in.State)
		}
		if err := t.setUnavailable(in.Pool, id, nil); err != nil {
			return err
		}
		t.delete(instance.Prefix + id)
		return nil
	})
}

// UpdateWave changes a wave's row under the lease. The row is written only if change returns true.
func (s *Store) UpdateWave(ctx context.Context, id string, change func(*wave.Wave) bool) error {
	_, err := s.transact(ctx, func(t *txn) error {
		var w wave.Wave
		ok, err := t.get(wave.Prefix+id, &w)
		if err == nil && ok && change(&w) {
			t.put(wave.Prefix+id, w)
		}
		return err
	})
	return err
}

// Delete deletes the row of a wave or move that is past its retention.
func (s *Store) Delete(ctx context.Context, key string) error {
	_, err := s.transact(ctx, func(t *txn) error {
		var raw struct{}
		ok, err := t.get(key, &raw)
		if err == nil && ok {
			t.delete(key)
		}
		return err
	})
	return err
}
