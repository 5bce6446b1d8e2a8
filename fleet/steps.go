package fleet

import (
	"context"
	"time"

	"samphirepoint/instance"
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
