package upkeep

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"samphirepoint/rows"
	"samphirepoint/verdict"
)

// order is an upkeep or a move that is due for an instance: a move if targetPool is set.
type order struct {
	instance   Instance
	wave       int64
	targetPool string
	// claimVer is the version of the claim under which the worker's owner has reported it as empty, claimPart the part of the store
	// that the claim is for, cordonedAt the time at which the owner was asked. All are empty for an instance that needs no owner's
	// consent.
	claimVer   int64
	claimPart  string
	cordonedAt time.Duration
}

// consent identifies the claim of an owner under which a worker was reported as empty. It is zero for orders that need no
// owner's consent.
type consent struct {
	part string
	ver  int64
}

func (o *order) consent() consent {
	if o.claimVer == 0 {
		return consent{}
	}
	return consent{part: o.claimPart, ver: o.claimVer}
}

// uncordon ends the cordons of instances for which no order is due any more.
func (c *Controller) uncordon(due map[string]order) {
	for id, worker := range c.cordoned {
		if _, ok := due[id]; ok {
			continue
		}
		delete(c.cordoned, id)
		ctx, cancel := context.WithTimeout(c.ctx, callTimeout)
		_, _ = c.settings.Pools.Cordon(ctx, c.listed[id].Pool, worker, 0) // Without a response, the cordon expires.
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
			mu.Lock()
			out = append(out, o)
			mu.Unlock()
			continue
		}
		c.cordoned[id] = o.instance.Worker
		g.Go(func() error {
			o.cordonedAt = c.settings.Now()
			a, err := c.settings.Pools.Cordon(ctx, o.instance.Pool, o.instance.Worker, cordonTTL)
			o.claimVer, o.claimPart = a.ClaimVer, a.Part
			if err == nil && a.Known && a.Empty && a.ClaimVer != 0 {
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
	c.storeOutcomes()
	orders = slices.DeleteFunc(c.storeOpen(orders), func(o order) bool { return !c.cordonHolds(&o) })
	if len(orders) == 0 {
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
		c.unstored[o.instance.ID] = true
	}
	c.storeOutcomes()
}

// storeOutcomes stores the outcomes of orders, those that could not be stored before included: while the store says that an order is
// open, the owner of its worker keeps the worker cordoned.
func (c *Controller) storeOutcomes() {
	if len(c.unstored) == 0 {
		return
	}
	records := map[string]OrderRecord{}
	for id := range c.unstored {
		records[id] = c.orders[id]
	}
	if err := c.storeRecords(records); err != nil {
		c.settings.Log.Warn().Err(err).Int("orders", len(records)).Msg("cannot store the outcomes of orders; retrying")
		c.noteOvertaken(err)
		return
	}
	clear(c.unstored)
}

// cordonHolds reports whether the cordon of the order's worker lasts until the order has had a response. An order that is not sent
// stays open, and is sent once its worker has been reported as empty again.
func (c *Controller) cordonHolds(o *order) bool {
	return o.claimVer == 0 || c.settings.Now()-o.cordonedAt+callTimeout < cordonTTL
}

// batch is orders whose records are stored in one transaction, and its outcome.
type batch struct {
	consent consent
	orders  []order
	records map[string]OrderRecord
	err     error
}

// maxBatch is the number of orders in a batch: its transaction has a condition and a write for each, and up to two conditions on
// claims.
const maxBatch = (rows.MaxEntries - 2) / 2

// storeOpen stores the orders as open and returns those that are certainly stored. The orders of each pool go into a transaction of
// their own, which fails if the pool has another owner than the one that reported their workers as empty: an owner reads the
// open orders after it has claimed the pool, so either it finds the order or the order is not stored.
func (c *Controller) storeOpen(orders []order) []order {
	var g errgroup.Group
	batches := c.batches(orders)
	for _, b := range batches {
		g.Go(func() error {
			b.err = c.storeRecords(b.records, b.consent.conditions()...)
			return nil
		})
	}
	_ = g.Wait()
	var stored []order
	for _, b := range batches {
		stored = append(stored, c.recordOpen(b)...)
	}
	return stored
}

// batches divides orders by the consent that they need, with records in which they are open.
func (c *Controller) batches(orders []order) []*batch {
	groups := map[consent][]order{}
	for _, o := range orders {
		groups[o.consent()] = append(groups[o.consent()], o)
	}
	var out []*batch
	for k, list := range groups {
		for chunk := range slices.Chunk(list, maxBatch) {
			b := &batch{consent: k, orders: chunk, records: map[string]OrderRecord{}}
			for _, o := range chunk {
				b.records[o.instance.ID] = c.openRecord(o)
			}
			out = append(out, b)
		}
	}
	return out
}

// openRecord returns the record of an instance with the order as its open one.
func (c *Controller) openRecord(o order) OrderRecord {
	rec := c.orders[o.instance.ID]
	if !rec.Open {
		rec.Worker = o.instance.Worker
	}
	rec.Holder, rec.AtMS = c.settings.Holder, time.Now().UnixMilli()
	rec.Wave, rec.TargetPool, rec.Open = o.wave, o.targetPool, true
	rec.Started = slices.Clone(rec.Started)
	return rec
}

// recordOpen takes over the records of a batch unless they are certainly not stored, and returns the orders that may be sent. An
// order that may be stored counts as open, so that it is stored again until the outcome is known.
func (c *Controller) recordOpen(b *batch) []order {
	if b.err != nil {
		c.settings.Log.Warn().Str("pool", b.consent.part).Int64("claimVer", b.consent.ver).Int("orders", len(b.orders)).Err(b.err).
			Msg("cannot store orders for instances; not sent")
		c.noteOvertaken(b.err)
		if isConflict(b.err) || verdict.Is(b.err, verdict.NotRun) {
			return nil
		}
	}
	maps.Copy(c.orders, b.records)
	if b.err != nil {
		return nil
	}
	return b.orders
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
	c.settings.Log.Info().Str("instance", id).Str("pool", o.instance.Pool).Int64("wave", o.wave).Str("to", o.targetPool).
		Int64("claimVer", o.claimVer).AnErr("outcome", err).Msg("order for instance returned")
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
