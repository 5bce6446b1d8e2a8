package fleet

import (
	"context"
	"fmt"
	"slices"

	"samphirepoint/instance"
	"samphirepoint/services"
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
	budget := c.term.budgets.Of(in.Pool)
	if w, full := budget.Wait(m.node(), in.Pool, wave.UnavailableInstances(fleet, in.Pool)); full {
		return []wave.Wait{w}, nil
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
	return wave.Wait{From: m.node(), For: wave.Node{Kind: k, Name: name}, Reason: reason}
}

// node returns the move's node in the wait-for graph.
func (m *Move) node() wave.Node { return wave.Node{Kind: wave.KindMove, Name: m.ID} }

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
