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

// order is one order that is about to be given.
type order struct {
	instance Instance
	wave     int64
	to       string
}

// release ends the cordons of instances that are no longer wanted.
func (c *Controller) release(want map[string]order) {
	for id, worker := range c.held {
		if _, ok := want[id]; ok {
			continue
		}
		delete(c.held, id)
		ctx, cancel := context.WithTimeout(c.ctx, callTime)
		_, _, _ = c.set.Pools.Cordon(ctx, c.listed[id].Pool, worker, 0)
		cancel()
	}
}

// cordon keeps new work off the wanted instances and returns the orders for those that are empty.
func (c *Controller) cordon(s *State, want map[string]order) []order {
	c.listed = s.Instances
	var mu sync.Mutex
	var out []order
	var g errgroup.Group
	ctx, cancel := context.WithTimeout(c.ctx, callTime)
	defer cancel()
	for id, o := range want {
		if !c.mayOrder(id) {
			continue
		}
		if s.Spare[o.instance.Pool] || o.instance.Worker == "" || o.instance.State != StateUp {
			out = append(out, o)
			continue
		}
		c.held[id] = o.instance.Worker
		g.Go(func() error {
			empty, known, err := c.set.Pools.Cordon(ctx, o.instance.Pool, o.instance.Worker, cordonFor)
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

// mayOrder keeps the distance from another holder's last order for the instance.
func (c *Controller) mayOrder(id string) bool {
	d, ok := c.duties[id]
	if !ok || d.Holder == c.set.Holder {
		return true
	}
	return time.Now().UnixMilli()-d.AtMS > (c.set.HandoverDelay + gapSlack).Milliseconds()
}

// carryOut writes the orders down, gives them, and writes what is known then.
func (c *Controller) carryOut(orders []order) {
	if len(orders) == 0 {
		return
	}
	for _, o := range orders {
		d := c.duties[o.instance.ID]
		if !d.Open {
			d.Worker = o.instance.Worker
		}
		d.Holder, d.AtMS, d.Wave, d.To, d.Open = c.set.Holder, time.Now().UnixMilli(), o.wave, o.to, true
		d.Begun = slices.Clone(d.Begun)
		c.duties[o.instance.ID] = d
	}
	if !c.write(orders) {
		return
	}
	results := make([]error, len(orders))
	var g errgroup.Group
	for i, o := range orders {
		g.Go(func() error {
			results[i] = c.give(o)
			return nil
		})
	}
	_ = g.Wait()
	for i, o := range orders {
		c.settle(o, results[i])
	}
	c.write(orders)
}

func (c *Controller) give(o order) error {
	ctx, cancel := context.WithTimeout(c.ctx, callTime)
	defer cancel()
	if o.to != "" {
		return c.set.Instances.Move(ctx, o.instance.ID, o.to, c.set.Holder, c.set.Token)
	}
	return c.set.Instances.Upkeep(ctx, o.instance.ID, o.wave, c.set.Holder, c.set.Token)
}

// settle takes in the outcome of an order.
func (c *Controller) settle(o order, err error) {
	id := o.instance.ID
	d := c.duties[id]
	c.set.Log.Info().Str("instance", id).Str("pool", o.instance.Pool).Int64("wave", o.wave).Str("to", o.to).AnErr("outcome", err).Msg("order for instance")
	switch {
	case err == nil || errors.Is(err, ErrNotApplicable):
		d.Open = false
		if o.wave != 0 && !slices.Contains(d.Begun, o.wave) {
			d.Begun = append(d.Begun, o.wave)
		}
		delete(c.held, id)
	case errors.Is(err, ErrFenced):
		c.fenced = true
		return
	case errors.Is(err, ErrBusy), verdict.Is(err, verdict.NotRun):
		d.Open, d.Wave, d.To = false, 0, ""
	}
	c.duties[id] = d
}
