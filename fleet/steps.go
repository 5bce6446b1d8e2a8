package fleet

import (
	"context"
	"time"

	"samphirepoint/instance"
	"samphirepoint/wave"
)

const (
	// moveDeadline is the time that an instance has to drain before its move is aborted.
	moveDeadline = 30 * time.Minute
	// planInterval is the time between two plans of the mover.
	planInterval = 5 * time.Second
	// moveRetention and waveRetention are how long rows of ended moves and waves are kept for operators.
	moveRetention = 24 * time.Hour
	waveRetention = 35 * 24 * time.Hour
	purgeInterval = time.Minute
)

func isFailureOf(id string) func(wave.Failure) bool {
	return func(f wave.Failure) bool { return f.Instance == id }
}

// callIncarnation sends a command to the incarnation of a worker that answered the status probe of this step. A worker that did not answer gets
// none: once it answers, a later step does what its status then requires.
func (c *Controller) callIncarnation(ctx context.Context, step string, in instance.Instance, f func(context.Context, instance.Instance, int64) error) {
	incarnation, answered := c.incarnation(in.ID)
	if !answered {
		return
	}
	c.callWorker(ctx, step, in, func(ctx context.Context, in instance.Instance) error { return f(ctx, in, incarnation) })
}

// incarnation returns the incarnation of the worker that answered the status probe of this step, and false if none did.
func (c *Controller) incarnation(id string) (int64, bool) {
	p := c.term.probes[id]
	if p == nil || p.worker == nil {
		return 0, false
	}
	return p.worker.Incarnation, true
}

// callWorker sends a command to a worker. Errors are only logged: the next step reads the worker's status and repeats
// the command. The lease is checked immediately before the call, because a late reboot command of a holder that was
// paused would reach a serving worker, unless the worker reports its incarnation.
func (c *Controller) callWorker(ctx context.Context, step string, in instance.Instance, f func(context.Context, instance.Instance) error) {
	if _, err := c.Lease.Condition(); err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	err := f(ctx, in)
	c.logStep(step, in.ID).Err(err).Msg("worker called")
}

// purge deletes the rows of moves and waves that are past their retention, and old rows of the table's history.
func (c *Controller) purge(ctx context.Context) error {
	now := c.Now()
	if now.Before(c.term.nextPurge) {
		return nil
	}
	c.term.nextPurge = now.Add(purgeInterval)
	for id, m := range c.term.moves {
		if m.Status.Ended() && now.Sub(m.Ended) > moveRetention {
			if err := c.store.Delete(ctx, PrefixMoves+id); err != nil {
				return err
			}
		}
	}
	for id, w := range c.term.waves {
		if w.Status.Ended() && now.Sub(w.Ended) > waveRetention {
			if err := c.store.Delete(ctx, wave.Prefix+id); err != nil {
				return err
			}
		}
	}
	return c.applyRetention(ctx)
}
