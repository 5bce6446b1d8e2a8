package fleet

import (
	"context"
	"slices"
	"time"

	"samphirepoint/instance"
	"samphirepoint/wave"
)

// stepWaves executes the steps that the wave planner returns.
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
		if err := c.ignoreStalePlan(c.stepWave(ctx, s, in.Fleet), string(s.Kind), s.Instance); err != nil {
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
			c.drainStarted(in, version, "wave "+s.Wave)
		}
		return err
	}
	if s.Kind == wave.StepWait {
		return nil
	}
	c.Log.Info().Str("wave", s.Wave).Str("step", string(s.Kind)).Str("instance", s.Instance).Msg("wave step")
	return c.store.UpdateWave(ctx, s.Wave, func(w *wave.Wave) bool { return applyStep(w, s, now) })
}

// applyStep applies a step to the wave's row, and returns false if the step no longer applies to the row.
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
	case wave.StepYield:
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

// writeWaveWaits writes what the wave and its instances wait for to the wave's row, for operators.
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
