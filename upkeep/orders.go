package upkeep

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"samphirepoint/verdict"
)

// order is an upkeep or a move that is due for an instance: a move if targetPool is set.
type order struct {
	instance   Instance
	wave       int64
	targetPool string
}

// uncordon ends the cordons of instances for which no order is due any more.
func (c *Controller) uncordon(due map[string]order) {
	for id, worker := range c.cordoned {
		if _, ok := due[id]; ok {
			continue
		}
		delete(c.cordoned, id)
		ctx, cancel := context.WithTimeout(c.ctx, callTimeout)
		_, _, _ = c.settings.Pools.Cordon(ctx, c.listed[id].Pool, worker, 0)
		cancel()
	}
}

// cordon keeps new work off the instances for which an order is due, and returns the orders for those that are empty.
func (c *Controller) cordon(s *State, due map[string]order) []order {
	c.listed = s.Instances
	var mu sync.Mutex
	var out []order
	var g errgroup.Group
	ctx, cancel := context.WithTimeout(c.ctx, callTimeout)
	defer cancel()
	for id, o := range due {
		if !c.handoverDelayPassed(id) {
			continue
		}
		if s.Spare[o.instance.Pool] || o.instance.Worker == "" || o.instance.State != StateUp {
			out = append(out, o)
			continue
		}
		c.cordoned[id] = o.instance.Worker
		g.Go(func() error {
			empty, known, err := c.settings.Pools.Cordon(ctx, o.instance.Pool, o.instance.Worker, cordonTTL)
			if err == nil && known && empty {
				mu.Lock()
				out = append(out, o)
				mu.Unlock()
			}
			return nil
		})
	}
	_ = g.Wait()
	return out
}

// handoverDelayPassed reports whether enough time has passed since another holder's last order for the instance.
func (c *Controller) handoverDelayPassed(id string) bool {
	rec, ok := c.orders[id]
	if !ok || rec.Holder == c.settings.Holder {
		return true
	}
	return time.Now().UnixMilli()-rec.AtMS > (c.settings.HandoverDelay + handoverMargin).Milliseconds()
}

// execute stores the orders as open, sends them, and stores their outcomes.
func (c *Controller) execute(orders []order) {
	if len(orders) == 0 {
		return
	}
	for _, o := range orders {
		rec := c.orders[o.instance.ID]
		if !rec.Open {
			rec.Worker = o.instance.Worker
		}
		rec.Holder, rec.AtMS, rec.Wave, rec.TargetPool, rec.Open = c.settings.Holder, time.Now().UnixMilli(), o.wave, o.targetPool, true
		rec.Started = slices.Clone(rec.Started)
		c.orders[o.instance.ID] = rec
	}
	if !c.storeOrders(orders) {
		return
	}
	results := make([]error, len(orders))
	var g errgroup.Group
	for i, o := range orders {
		g.Go(func() error {
			results[i] = c.sendOrder(o)
			return nil
		})
	}
	_ = g.Wait()
	for i, o := range orders {
		c.recordOutcome(o, results[i])
	}
	c.storeOrders(orders)
}

func (c *Controller) sendOrder(o order) error {
	ctx, cancel := context.WithTimeout(c.ctx, callTimeout)
	defer cancel()
	if o.targetPool != "" {
		return c.settings.Instances.Move(ctx, o.instance.ID, o.targetPool, c.settings.Holder, c.settings.Token)
	}
	return c.settings.Instances.Upkeep(ctx, o.instance.ID, o.wave, c.settings.Holder, c.settings.Token)
}

// recordOutcome updates the instance's order record with the outcome of an order.
func (c *Controller) recordOutcome(o order, err error) {
	id := o.instance.ID
	rec := c.orders[id]
	c.settings.Log.Info().Str("instance", id).Str("pool", o.instance.Pool).Int64("wave", o.wave).Str("to", o.targetPool).AnErr("outcome", err).Msg("order for instance returned")
	switch {
	case err == nil || errors.Is(err, ErrNotApplicable):
		rec.Open = false
		if o.wave != 0 && !slices.Contains(rec.Started, o.wave) {
			rec.Started = append(rec.Started, o.wave)
		}
		delete(c.cordoned, id)
	case errors.Is(err, ErrFenced):
		c.fenced = true
		return
	case errors.Is(err, ErrBusy), verdict.Is(err, verdict.NotRun):
		rec.Open, rec.Wave, rec.TargetPool = false, 0, ""
	}
	c.orders[id] = rec
}
