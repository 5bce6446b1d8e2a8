package fleet

import (
	"context"
	"fmt"
	"slices"
	"time"

	"samphirepoint/instance"
	"samphirepoint/mover"
	"samphirepoint/services"
	"samphirepoint/table"
	"samphirepoint/wave"
)

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
		if err := c.ignoreStalePlan(err, "move", m.Instance); err != nil {
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
	budget, unavailableIDs := c.term.budgets.Of(in.Pool), wave.UnavailableInstances(fleet, in.Pool)
	if budget.Limit <= 0 {
		return []wave.Wait{m.waitFor(wave.KindBacker, budget.Backer, fmt.Sprintf("its maxUnavailable is %d in pool %s", budget.Limit, in.Pool))}, nil
	}
	if len(unavailableIDs) >= budget.Limit {
		return []wave.Wait{m.waitFor(wave.KindPool, in.Pool, fmt.Sprintf("%d of %d unavailable (backer %s): %v", len(unavailableIDs), budget.Limit, budget.Backer, unavailableIDs))}, nil
	}
	version, err := c.store.StartDrain(ctx, Drain{Instance: in.ID, Version: in.Version, Move: m.ID, Budget: budget})
	if err == nil {
		c.drainStarted(in, version, m.By)
	}
	return nil, err
}

// drainStarted records the fleet version at which the drain started, and logs the start.
func (c *Controller) drainStarted(in instance.Instance, version int64, by string) {
	if version > 0 {
		c.term.drainVersion[in.ID] = version
	}
	c.logStep("start drain", in.ID).Str("pool", in.Pool).Str("for", by).Int64("fleet", version).Msg("drain started")
}

// registerByMove registers the move's instance in the target pool if it is listed as live.
func (c *Controller) registerByMove(ctx context.Context, m *Move) ([]wave.Wait, error) {
	listed, ok := c.term.list.workers[m.Instance]
	if !ok || listed.State != services.StateLive {
		return []wave.Wait{m.waitFor(wave.KindInstance, m.Instance, "it is not listed as live")}, nil
	}
	_, err := c.store.RegisterByMove(ctx, *m, listed)
	return nil, err
}

func (m *Move) waitFor(k wave.Kind, name, reason string) wave.Wait {
	return wave.Wait{From: wave.Node{Kind: wave.KindMove, Name: m.ID}, For: wave.Node{Kind: k, Name: name}, Reason: reason}
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

// writeMoveWaits writes what the move waits for to its row, for operators.
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

// mayWriteWaits limits the writes of a row's waits to one per waitsInterval. If it returns true, the write counts as
// done.
func (c *Controller) mayWriteWaits(key string) bool {
	now := c.Now()
	if at, ok := c.term.waitsWritten[key]; ok && now.Sub(at) < waitsInterval {
		return false
	}
	c.term.waitsWritten[key] = now
	return true
}

// planMoves asks the policy for moves and creates their rows, which have the same form as the rows of operators' moves.
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
			By: "mover " + c.Policy.Name(), Reason: m.Reason, Created: now.UTC(), Status: MovePending}
		if err := c.store.CreateMove(ctx, move); err != nil {
			return err
		}
		c.term.moves[move.ID] = &move // the next move of this plan picks another instance
		c.logStep("move", in.ID).Str("from", m.From).Str("to", m.To).Str("why", m.Reason).Msg("move planned")
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
		if remaining := c.term.budgets.Of(p.Name).Limit - len(wave.UnavailableInstances(fleet, p.Name)); remaining > 0 {
			pool.Movable = min(remaining, pool.Serving)
		}
		in.Pools = append(in.Pools, pool)
	}
	return in
}

// defaultSlots is the assumed number of slots of an instance in an empty pool (design document, section 1.3).
const defaultSlots = 8

// roleOf returns the pool's role for the mover, or false for a pool that is neither spare nor first in a queue, which
// takes no part in moves.
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

// PickInstance chooses the instance to move from pool from to pool to. It prefers the zone in which from has the
// largest surplus over to, so that both stay spread over zones. Instances in excluded are not chosen.
func PickInstance(fleet *instance.Fleet, from, to string, excluded map[string]bool) (instance.Instance, bool) {
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
		if in.Pool != from || in.State != instance.Serving || excluded[id] {
			continue
		}
		if !found || surplus[in.Zone] > surplus[best.Zone] {
			best, found = in, true
		}
	}
	return best, found
}
