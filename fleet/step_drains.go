package fleet

import (
	"context"

	"samphirepoint/drainer"
	"samphirepoint/instance"
	"samphirepoint/wave"
)

// stepDrains decides on and executes the next step of all draining and rebooting instances, and of serving ones whose
// worker still drains.
func (c *Controller) stepDrains(ctx context.Context) error {
	fleet := c.View.Snapshot()
	c.removeEndedDrains(fleet)
	inputs := map[string]drainer.Input{}
	for id, in := range fleet.Instances {
		if in.State != instance.Failed {
			inputs[id] = c.drainInput(fleet, in)
		}
	}
	for _, id := range sortedKeys(inputs) {
		in := inputs[id]
		in.RackPeers = c.rackPeers(fleet, in.Instance, inputs)
		d := drainer.Decide(in)
		c.term.waits = append(c.term.waits, d.Waits...)
		if err := c.apply(ctx, in.Instance, d); err != nil {
			return err
		}
	}
	return nil
}

// removeEndedDrains removes the state of drains that have ended.
func (c *Controller) removeEndedDrains(fleet *instance.Fleet) {
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
		// A previous lease holder started the drain. Its version is at most that of the current snapshot.
		t.drainVersion[in.ID] = fleet.Version
	}
	input.DrainVersion, input.Checkpointed = t.drainVersion[in.ID], t.checkpointed[in.ID]
	input.Members = c.Members()
	input.DrainTimeout, input.RebootTimeout = wave.DefaultDrainTimeout, wave.DefaultRebootTimeout
	if in.TargetPool != "" {
		input.Deadline = in.Since.Add(moveDeadline)
		if m := c.moveOf(in); m == nil || m.Status.Ended() {
			input.AbortReason = "the move was cancelled"
		}
		return input
	}
	w := t.waves[in.Wave]
	if w == nil {
		input.AbortReason = "the wave no longer exists"
		return input
	}
	input.DrainTimeout, input.Deadline = w.DrainTimeout, w.Deadline
	switch older := t.waves[w.YieldTo]; {
	case w.Status == wave.Cancelled:
		input.AbortReason = "the wave was cancelled"
	case older != nil && older.Status == wave.Running:
		input.AbortReason = "the wave yields to wave " + older.ID
	}
	return input
}

// rackPeers returns the instances that must have drained before a draining instance of a wave may reboot.
func (c *Controller) rackPeers(fleet *instance.Fleet, in instance.Instance, inputs map[string]drainer.Input) []drainer.RackPeer {
	w := c.term.waves[in.Wave]
	if w == nil || in.State != instance.Draining {
		return nil
	}
	var peers []drainer.RackPeer
	for _, id := range w.RackPeers(in.ID, fleet) {
		peer := fleet.Instances[id]
		ready := peer.Wave == w.ID && (peer.State == instance.Rebooting || peer.State == instance.Draining && drainer.Drained(inputs[id]))
		peers = append(peers, drainer.RackPeer{ID: id, Ready: ready})
	}
	return peers
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
		c.callIncarnation(ctx, "drain", in, c.Workers.Drain)
	case drainer.Undrain:
		c.callIncarnation(ctx, "undrain", in, c.Workers.Undrain)
	case drainer.RebootWorker:
		c.callIncarnation(ctx, "reboot", in, c.Workers.Reboot)
	case drainer.Checkpoint:
		c.callForTasks(ctx, "checkpoint", in, d.Tasks, c.Workers.Checkpoint)
		c.term.checkpointed[in.ID] = c.Now()
	case drainer.Stop:
		c.callForTasks(ctx, "stop", in, d.Tasks, c.Workers.Stop)
	case drainer.Reboot:
		incarnation, _ := c.incarnation(in.ID)
		_, err = c.store.Reboot(ctx, in.ID, in.Wave, incarnation)
	case drainer.Serve:
		_, err = c.store.Serve(ctx, in.ID, in.Wave, wave.Maintained)
	case drainer.Fail:
		if _, err = c.store.Fail(ctx, in.ID, d.Reason); err == nil {
			c.term.recordFailure(in, c.Now())
		}
	case drainer.Release:
		if m := c.moveOf(in); m != nil {
			_, err = c.store.FinishMove(ctx, *m)
		}
	case drainer.Abort:
		err = c.abortDrain(ctx, in, d.Reason)
	default:
		return nil
	}
	if err != nil {
		return c.ignoreStalePlan(err, string(d.Action), in.ID)
	}
	c.logStep(string(d.Action), in.ID).Str("pool", in.Pool).Str("wave", in.Wave).Str("target", in.TargetPool).Str("why", d.Reason).Msg("drain step")
	if d.Action == drainer.Release || d.Action == drainer.Abort {
		c.callIncarnation(ctx, "undrain", in, c.Workers.Undrain)
	}
	return nil
}

// callForTasks sends a command to the worker for each task.
func (c *Controller) callForTasks(ctx context.Context, step string, in instance.Instance, ids []string, f func(context.Context, instance.Instance, string) error) {
	for _, id := range ids {
		c.callWorker(ctx, step, in, func(ctx context.Context, in instance.Instance) error { return f(ctx, in, id) })
	}
}

// abortDrain returns a draining instance to service in its pool.
func (c *Controller) abortDrain(ctx context.Context, in instance.Instance, reason string) error {
	if in.TargetPool != "" {
		m := Move{Instance: in.ID}
		if found := c.moveOf(in); found != nil {
			m = *found
		}
		_, err := c.store.AbortMove(ctx, m, MoveFailed, reason)
		return err
	}
	result := wave.NotMaintained
	if w := c.term.waves[in.Wave]; w != nil && w.Status == wave.Cancelled {
		result = wave.Skipped
	} else if w != nil && c.Now().Before(w.Deadline) {
		result = "" // the wave yields and drains the instance again later
	}
	_, err := c.store.Serve(ctx, in.ID, in.Wave, result)
	return err
}
