package fleet

import (
	"context"
	"fmt"
	"slices"
	"time"

	"samphirepoint/drainer"
	"samphirepoint/instance"
	"samphirepoint/mover"
	"samphirepoint/platform"
	"samphirepoint/table"
	"samphirepoint/wave"
)

const (
	// moveDeadline ends a move whose instance does not drain.
	moveDeadline = 30 * time.Minute
	// planInterval of the mover.
	planInterval = 5 * time.Second
	// Rows of ended moves and waves are kept for operators.
	keepMoves     = 24 * time.Hour
	keepWaves     = 35 * 24 * time.Hour
	purgeInterval = time.Minute
)

func failureOf(id string) func(wave.Failure) bool {
	return func(f wave.Failure) bool { return f.Instance == id }
}

// call sends a command to a worker. An error needs no reaction: the next step sees the worker's status and
// repeats the command. The lease is checked again right before, because a late reboot by a holder that
// was paused would hit a serving worker.
func (c *Controller) call(ctx context.Context, step string, in instance.Instance, f func(context.Context, instance.Instance) error) {
	if _, err := c.Lease.Condition(); err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	err := f(ctx, in)
	c.done(step, in.ID).Err(err).Msg("worker called")
}

// stepDrains decides on all draining and rebooting instances, and on serving ones whose worker still drains.
func (c *Controller) stepDrains(ctx context.Context) error {
	fleet := c.View.Snapshot()
	c.forget(fleet)
	inputs := map[string]drainer.Input{}
	for id, in := range fleet.Instances {
		if in.State != instance.Failed {
			inputs[id] = c.drainInput(fleet, in)
		}
	}
	for _, id := range sortedKeys(inputs) {
		in := inputs[id]
		in.Mates = c.mates(fleet, in.Instance, inputs)
		d := drainer.Decide(in)
		c.term.waits = append(c.term.waits, d.Waits...)
		if err := c.apply(ctx, in.Instance, d); err != nil {
			return err
		}
	}
	return nil
}

// forget drops the memory of drains that have ended.
func (c *Controller) forget(fleet *instance.Fleet) {
	for id := range c.term.drainVersion {
		if fleet.Instances[id].State != instance.Draining {
			delete(c.term.drainVersion, id)
			delete(c.term.checkpointed, id)
		}
	}
}

func (c *Controller) drainInput(fleet *instance.Fleet, in instance.Instance) drainer.Input {
	t := c.term
	input := drainer.Input{Now: c.Now(), Instance: in}
	if p := t.probes[in.ID]; p != nil {
		input.Worker = p.worker
	}
	if in.State == instance.Serving {
		return input
	}
	if in.State == instance.Draining && t.drainVersion[in.ID] == 0 {
		// A former holder started the drain; the present snapshot holds its row at the latest.
		t.drainVersion[in.ID] = fleet.Version
	}
	input.DrainVersion, input.Checkpointed = t.drainVersion[in.ID], t.checkpointed[in.ID]
	input.Members = c.Members()
	input.DrainTimeout, input.RebootTimeout = wave.DefaultDrainTimeout, wave.DefaultRebootTimeout
	if in.TargetPool != "" {
		input.Deadline = in.Since.Add(moveDeadline)
		if m := c.moveOf(in); m == nil || m.Status.Ended() {
			input.Abandon = "the move was cancelled"
		}
		return input
	}
	w := t.waves[in.Wave]
	if w == nil {
		input.Abandon = "the wave does not exist any more"
		return input
	}
	input.DrainTimeout, input.Deadline = w.DrainTimeout, w.Deadline
	switch older := t.waves[w.YieldTo]; {
	case w.Status == wave.Cancelled:
		input.Abandon = "the wave was cancelled"
	case older != nil && older.Status == wave.Running:
		input.Abandon = "the wave gives way to wave " + older.ID
	}
	return input
}

func (c *Controller) mates(fleet *instance.Fleet, in instance.Instance, inputs map[string]drainer.Input) []drainer.Mate {
	w := c.term.waves[in.Wave]
	if w == nil || in.State != instance.Draining {
		return nil
	}
	var mates []drainer.Mate
	for _, id := range w.Mates(in.ID, fleet) {
		mate := fleet.Instances[id]
		ready := mate.Wave == w.ID && (mate.State == instance.Rebooting || mate.State == instance.Draining && drainer.Drained(inputs[id]))
		mates = append(mates, drainer.Mate{ID: id, Ready: ready})
	}
	return mates
}

// moveOf returns the move that drains the instance; a running one is preferred to one that has ended.
func (c *Controller) moveOf(in instance.Instance) *Move {
	var found *Move
	for _, id := range sortedKeys(c.term.moves) {
		m := c.term.moves[id]
		if m.Instance == in.ID && m.To == in.TargetPool && (found == nil || found.Status.Ended()) {
			found = m
		}
	}
	return found
}

// apply executes a decision.
func (c *Controller) apply(ctx context.Context, in instance.Instance, d drainer.Decision) error {
	var err error
	switch d.Action {
	case drainer.Drain:
		c.call(ctx, "drain", in, c.Workers.Drain)
	case drainer.Undrain:
		c.call(ctx, "undrain", in, c.Workers.Undrain)
	case drainer.RebootWorker:
		c.call(ctx, "reboot", in, c.Workers.Reboot)
	case drainer.Checkpoint:
		c.tasks(ctx, "checkpoint", in, d.Tasks, c.Workers.Checkpoint)
		c.term.checkpointed[in.ID] = c.Now()
	case drainer.Stop:
		c.tasks(ctx, "stop", in, d.Tasks, c.Workers.Stop)
	case drainer.Reboot:
		_, err = c.store.Reboot(ctx, in.ID, in.Wave)
	case drainer.Serve:
		_, err = c.store.Serve(ctx, in.ID, in.Wave, wave.Maintained)
	case drainer.Fail:
		if _, err = c.store.Fail(ctx, in.ID, d.Reason); err == nil {
			c.term.record(in, c.Now())
		}
	case drainer.Release:
		if m := c.moveOf(in); m != nil {
			_, err = c.store.FinishMove(ctx, *m)
		}
	case drainer.GiveUp:
		err = c.giveUp(ctx, in, d.Reason)
	default:
		return nil
	}
	if err != nil {
		return c.tolerate(err, string(d.Action), in.ID)
	}
	c.done(string(d.Action), in.ID).Str("pool", in.Pool).Str("wave", in.Wave).Str("target", in.TargetPool).Str("why", d.Reason).Msg("drain step")
	if d.Action == drainer.Release || d.Action == drainer.GiveUp {
		c.call(ctx, "undrain", in, c.Workers.Undrain)
	}
	return nil
}

func (c *Controller) tasks(ctx context.Context, step string, in instance.Instance, ids []string, f func(context.Context, instance.Instance, string) error) {
	for _, id := range ids {
		c.call(ctx, step, in, func(ctx context.Context, in instance.Instance) error { return f(ctx, in, id) })
	}
}

// giveUp returns a draining instance to service in its pool.
func (c *Controller) giveUp(ctx context.Context, in instance.Instance, why string) error {
	if in.TargetPool != "" {
		m := Move{Instance: in.ID}
		if found := c.moveOf(in); found != nil {
			m = *found
		}
		_, err := c.store.AbortMove(ctx, m, MoveFailed, why)
		return err
	}
	result := wave.NotMaintained
	if w := c.term.waves[in.Wave]; w != nil && w.Status == wave.Cancelled {
		result = wave.Skipped
	} else if w != nil && c.Now().Before(w.Deadline) {
		result = "" // the wave gives way and drains the instance again later
	}
	_, err := c.store.Serve(ctx, in.ID, in.Wave, result)
	return err
}

// stepMoves starts the moves that the budgets allow, in the order of their creation.
func (c *Controller) stepMoves(ctx context.Context) error {
	var moves []*Move
	for _, id := range sortedKeys(c.term.moves) {
		if m := c.term.moves[id]; !m.Status.Ended() {
			moves = append(moves, m)
		}
	}
	slices.SortStableFunc(moves, func(a, b *Move) int { return a.Created.Compare(b.Created) })
	for _, m := range moves {
		if err := c.View.Refresh(ctx); err != nil {
			return err
		}
		waits, err := c.stepMove(ctx, m)
		if err := c.tolerate(err, "move", m.Instance); err != nil {
			return err
		}
		c.term.waits = append(c.term.waits, waits...)
		if err := c.writeMoveWaits(ctx, m, waits); err != nil {
			return err
		}
	}
	return nil
}

func (c *Controller) stepMove(ctx context.Context, m *Move) ([]wave.Wait, error) {
	fleet := c.View.Snapshot()
	in, known := fleet.Instances[m.Instance]
	if _, ok := c.term.doc.Pool(m.To); !ok {
		_, err := c.store.AbortMove(ctx, *m, MoveFailed, fmt.Sprintf("pool %q is not in the accepted table", m.To))
		return nil, err
	}
	switch {
	case !known:
		return c.registerByMove(ctx, m)
	case in.State == instance.Serving && in.Pool == m.To:
		_, err := c.store.FinishMove(ctx, *m)
		return nil, err
	case in.State == instance.Draining && in.TargetPool == m.To:
		return drainWaits(c.term.waits, m), nil
	case in.State != instance.Serving:
		return []wave.Wait{m.waitFor(wave.KindInstance, m.Instance, "it is "+string(in.State))}, nil
	}
	budget, out := c.term.budgets.Of(in.Pool), wave.Out(fleet, in.Pool)
	if budget.Limit <= 0 {
		return []wave.Wait{m.waitFor(wave.KindBacker, budget.Backer, fmt.Sprintf("its maxUnavailable is %d in pool %s", budget.Limit, in.Pool))}, nil
	}
	if len(out) >= budget.Limit {
		return []wave.Wait{m.waitFor(wave.KindPool, in.Pool, fmt.Sprintf("%d of %d out (backer %s): %v", len(out), budget.Limit, budget.Backer, out))}, nil
	}
	version, err := c.store.StartDrain(ctx, Drain{Instance: in.ID, Version: in.Version, Move: m.ID, Budget: budget})
	if err == nil {
		c.started(in, version, m.By)
	}
	return nil, err
}

func (c *Controller) started(in instance.Instance, version int64, by string) {
	if version > 0 {
		c.term.drainVersion[in.ID] = version
	}
	c.done("start drain", in.ID).Str("pool", in.Pool).Str("for", by).Int64("fleet", version).Msg("drain started")
}

func (c *Controller) registerByMove(ctx context.Context, m *Move) ([]wave.Wait, error) {
	listed, ok := c.term.list.workers[m.Instance]
	if !ok || listed.State != platform.StateLive {
		return []wave.Wait{m.waitFor(wave.KindInstance, m.Instance, "it is not listed as live")}, nil
	}
	_, err := c.store.RegisterByMove(ctx, *m, listed)
	return nil, err
}

func (m *Move) waitFor(k wave.Kind, name, why string) wave.Wait {
	return wave.Wait{From: wave.Node{Kind: wave.KindMove, Name: m.ID}, For: wave.Node{Kind: k, Name: name}, Why: why}
}

// drainWaits returns what the move's draining instance waits for.
func drainWaits(all []wave.Wait, m *Move) []wave.Wait {
	var waits []wave.Wait
	for _, w := range all {
		if w.From == (wave.Node{Kind: wave.KindInstance, Name: m.Instance}) {
			waits = append(waits, w)
		}
	}
	return waits
}

// writeMoveWaits shows operators what the move waits for.
func (c *Controller) writeMoveWaits(ctx context.Context, m *Move, waits []wave.Wait) error {
	if slices.Equal(m.Waits, waits) || !c.mayWriteWaits(PrefixMoves+m.ID) {
		return nil
	}
	return c.store.UpdateMove(ctx, m.ID, func(m *Move) bool {
		if m.Status.Ended() || slices.Equal(m.Waits, waits) {
			return false
		}
		m.Waits = waits
		return true
	})
}

func (c *Controller) mayWriteWaits(key string) bool {
	now := c.Now()
	if at, ok := c.term.waitsWritten[key]; ok && now.Sub(at) < waitsInterval {
		return false
	}
	c.term.waitsWritten[key] = now
	return true
}

// stepWaves applies the planner's steps.
func (c *Controller) stepWaves(ctx context.Context) error {
	in := wave.Input{Now: c.Now(), Fleet: c.View.Snapshot(), Budgets: c.term.budgets, Failures: c.term.failures, Waits: c.term.waits}
	for _, w := range c.term.waves {
		if !w.Status.Ended() {
			in.Waves = append(in.Waves, w)
		}
	}
	waits := map[string][]wave.Wait{}
	for _, s := range wave.Next(in) {
		waits[s.Wave] = append(waits[s.Wave], s.Waits...)
		if err := c.tolerate(c.stepWave(ctx, s, in.Fleet), string(s.Kind), s.Instance); err != nil {
			return err
		}
	}
	for _, w := range in.Waves {
		if err := c.writeWaveWaits(ctx, w, waits[w.ID], in.Fleet); err != nil {
			return err
		}
	}
	return nil
}

func (c *Controller) stepWave(ctx context.Context, s wave.Step, fleet *instance.Fleet) error {
	now := c.Now().UTC()
	if s.Kind == wave.StepDrain {
		in := fleet.Instances[s.Instance]
		version, err := c.store.StartDrain(ctx, Drain{Instance: s.Instance, Version: in.Version, Wave: s.Wave, Budget: s.Budget})
		if err == nil {
			c.started(in, version, "wave "+s.Wave)
		}
		return err
	}
	if s.Kind == wave.StepWait {
		return nil
	}
	c.Log.Info().Str("wave", s.Wave).Str("step", string(s.Kind)).Str("instance", s.Instance).Msg("wave step")
	return c.store.UpdateWave(ctx, s.Wave, func(w *wave.Wave) bool { return applyStep(w, s, now) })
}

// applyStep applies a step to the wave's row, and returns false if the row does not call for it any more.
func applyStep(w *wave.Wave, s wave.Step, now time.Time) bool {
	switch s.Kind {
	case wave.StepStart:
		if w.Status != wave.Planned {
			return false
		}
		w.Start(now)
	case wave.StepSettle:
		return w.Settle(s.Instance, s.Result)
	case wave.StepPause:
		if w.Status != wave.Running {
			return false
		}
		w.Status, w.Pause = wave.Paused, s.Pause
	case wave.StepResume:
		if w.Status != wave.Paused || w.Pause == nil || !w.Pause.Auto {
			return false
		}
		w.Status, w.Pause = wave.Running, nil
	case wave.StepGiveWay:
		if w.YieldTo == s.YieldTo {
			return false
		}
		w.YieldTo = s.YieldTo
	case wave.StepFinish:
		if w.Status.Ended() {
			return false
		}
		w.Status, w.Ended, w.Pause, w.Waits = wave.Done, now, nil, nil
	default:
		return false
	}
	return true
}

// writeWaveWaits shows operators what the wave and its instances wait for.
func (c *Controller) writeWaveWaits(ctx context.Context, w *wave.Wave, waits []wave.Wait, fleet *instance.Fleet) error {
	for _, wait := range c.term.waits {
		if wait.From.Kind == wave.KindInstance && fleet.Instances[wait.From.Name].Wave == w.ID {
			waits = append(waits, wait)
		}
	}
	if slices.Equal(w.Waits, waits) || !c.mayWriteWaits(wave.Prefix+w.ID) {
		return nil
	}
	return c.store.UpdateWave(ctx, w.ID, func(w *wave.Wave) bool {
		if w.Status.Ended() || slices.Equal(w.Waits, waits) {
			return false
		}
		w.Waits = waits
		return true
	})
}

// planMoves asks the policy for moves and writes them as rows, as operators do.
func (c *Controller) planMoves(ctx context.Context) error {
	now := c.Now()
	if c.Policy == nil || c.Demand == nil || now.Before(c.term.nextPlan) {
		return nil
	}
	c.term.nextPlan = now.Add(planInterval)
	fleet := c.View.Snapshot()
	for _, m := range c.Policy.Plan(c.moverInput(fleet, now)) {
		in, ok := PickInstance(fleet, m.From, m.To, c.moving())
		if !ok {
			continue
		}
		c.term.moveCount++
		move := Move{ID: fmt.Sprintf("auto-%d-%d", c.term.token, c.term.moveCount), Instance: in.ID, From: m.From, To: m.To,
			By: "mover " + c.Policy.Name(), Reason: m.Why, Created: now.UTC(), Status: MovePending}
		if err := c.store.CreateMove(ctx, move); err != nil {
			return err
		}
		c.term.moves[move.ID] = &move // the next of this plan takes another instance
		c.done("move", in.ID).Str("from", m.From).Str("to", m.To).Str("why", m.Why).Msg("move planned")
	}
	return nil
}

// moving returns the instances of moves that have not ended.
func (c *Controller) moving() map[string]bool {
	ids := map[string]bool{}
	for _, m := range c.term.moves {
		if !m.Status.Ended() {
			ids[m.Instance] = true
		}
	}
	return ids
}

func (c *Controller) moverInput(fleet *instance.Fleet, now time.Time) mover.Input {
	in := mover.Input{Now: now}
	demand := c.Demand()
	moving := c.moving()
	for _, p := range c.term.doc.Pools {
		role, ok := roleOf(c.term.doc, p)
		if !ok {
			continue
		}
		pool := mover.Pool{Name: p.Name, Role: role, Demand: demand[p.Name]}
		slots := 0
		for _, i := range fleet.Pool(p.Name) {
			slots += i.Slots
			switch {
			case i.TargetPool != "" || moving[i.ID]:
				pool.MovingOut++
			case i.State == instance.Serving:
				pool.Serving++
			}
		}
		for _, m := range c.term.moves {
			if !m.Status.Ended() && m.To == p.Name {
				pool.MovingIn++
			}
		}
		pool.Slots = defaultSlots
		if n := len(fleet.Pool(p.Name)); n > 0 && slots > 0 {
			pool.Slots = float64(slots) / float64(n)
		}
		if left := c.term.budgets.Of(p.Name).Limit - len(wave.Out(fleet, p.Name)); left > 0 {
			pool.Movable = min(left, pool.Serving)
		}
		in.Pools = append(in.Pools, pool)
	}
	return in
}

// defaultSlots of an instance in a pool that is empty (design section 1.3).
const defaultSlots = 8

// roleOf returns the pool's role for the mover. A pool that is neither spare nor first in a queue takes no
// part in moves.
func roleOf(doc *table.Document, p table.Pool) (mover.Role, bool) {
	used := false
	for _, q := range doc.Queues {
		if len(q.Pools) > 0 && q.Pools[0] == p.Name && !p.Spare {
			return mover.Home, true
		}
		used = used || slices.Contains(q.Pools, p.Name)
	}
	switch {
	case p.Spare && used:
		return mover.Spare, true
	case p.Spare:
		return mover.Parked, true
	}
	return 0, false
}

// PickInstance chooses the instance to move: one of the zone that is most frequent in pool from relative to
// pool to, so that both stay spread over zones. busy instances are left out.
func PickInstance(fleet *instance.Fleet, from, to string, busy map[string]bool) (instance.Instance, bool) {
	surplus := map[string]int{}
	for _, in := range fleet.Pool(from) {
		surplus[in.Zone]++
	}
	for _, in := range fleet.Pool(to) {
		surplus[in.Zone]--
	}
	var best instance.Instance
	found := false
	for _, id := range sortedKeys(fleet.Instances) {
		in := fleet.Instances[id]
		if in.Pool != from || in.State != instance.Serving || busy[id] {
			continue
		}
		if !found || surplus[in.Zone] > surplus[best.Zone] {
			best, found = in, true
		}
	}
	return best, found
}

// purge deletes the rows of moves and waves that ended long ago, and old rows of the table's history.
func (c *Controller) purge(ctx context.Context) error {
	now := c.Now()
	if now.Before(c.term.nextPurge) {
		return nil
	}
	c.term.nextPurge = now.Add(purgeInterval)
	for id, m := range c.term.moves {
		if m.Status.Ended() && now.Sub(m.Ended) > keepMoves {
			if err := c.store.Forget(ctx, PrefixMoves+id); err != nil {
				return err
			}
		}
	}
	for id, w := range c.term.waves {
		if w.Status.Ended() && now.Sub(w.Ended) > keepWaves {
			if err := c.store.Forget(ctx, wave.Prefix+id); err != nil {
				return err
			}
		}
	}
	return c.retain(ctx)
}
