package fleet

import (
	"context"
	"fmt"
	"slices"
	"time"

	"samphirepoint/instance"
	"samphirepoint/mover"
	"samphirepoint/table"
	"samphirepoint/wave"
)

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

// moverInput describes the pools that take part in moves.
func (c *Controller) moverInput(fleet *instance.Fleet, now time.Time) mover.Input {
	in := mover.Input{Now: now}
	demand := c.Demand()
	moving := c.moving()
	for _, p := range c.term.doc.Pools {
		if role, ok := roleOf(c.term.doc, p); ok {
			pool := mover.Pool{Name: p.Name, Role: role, Demand: demand[p.Name]}
			c.describePool(fleet, moving, &pool)
			in.Pools = append(in.Pools, pool)
		}
	}
	return in
}

// describePool adds a pool's instances, the moves to and from it and its slots per instance. moving are the instances of moves that have
// not ended.
func (c *Controller) describePool(fleet *instance.Fleet, moving map[string]bool, pool *mover.Pool) {
	slots := 0
	for _, i := range fleet.Pool(pool.Name) {
		slots += i.Slots
		switch {
		case i.TargetPool != "" || moving[i.ID]:
			pool.MovingOut++
		case i.State == instance.Serving:
			pool.Serving++
		}
	}
	for _, m := range c.term.moves {
		if !m.Status.Ended() && m.To == pool.Name {
			pool.MovingIn++
		}
	}
	pool.Slots = defaultSlots
	if n := len(fleet.Pool(pool.Name)); n > 0 && slots > 0 {
		pool.Slots = float64(slots) / float64(n)
	}
	if remaining := c.term.budgets.Of(pool.Name).Limit - len(wave.UnavailableInstances(fleet, pool.Name)); remaining > 0 {
		pool.Movable = min(remaining, pool.Serving)
	}
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
