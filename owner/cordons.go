package owner

import (
	"context"
	"time"

	"samphirepoint/observe"
)

const (
	// openOrderCordon is how long a worker whose instance has an open order is cordoned. The fleet controller extends the cordon.
	openOrderCordon = 5 * time.Second
	// cordonCheckLead is how long before the end of a cordon the owner checks for an open order. The fleet controller extends its
	// cordons far more often, unless it is gone or paused. A check takes up to cordonCheckTimeout, and may have to wait for another one
	// that has just begun.
	cordonCheckLead    = 2 * time.Second
	cordonCheckTimeout = 500 * time.Millisecond
)

// cordonOpenOrders cordons the workers whose instances have an open order.
func (o *Owner) cordonOpenOrders(ctx context.Context) error {
	if o.settings.WorkersWithOpenOrders == nil {
		return nil
	}
	workers, err := o.settings.WorkersWithOpenOrders(ctx)
	for _, id := range workers {
		o.pool.ForceCordon(id, o.settings.Now()+openOrderCordon)
	}
	return err
}

// checkExpiringCordons extends the cordons that are about to end while the instance has an open order: a fleet controller that was
// paused after it had stored the order may still send it, and the worker's new work would end with the instance.
func (o *Owner) checkExpiringCordons() {
	expiring := o.pool.ExpiringCordons(o.clock(), cordonCheckLead)
	if len(expiring) == 0 || o.checkingCordons || o.settings.WorkersWithOpenOrders == nil {
		return
	}
	o.checkingCordons = true
	go func() {
		ctx, cancel := context.WithTimeout(o.ctx, cordonCheckTimeout)
		defer cancel()
		open, err := o.settings.WorkersWithOpenOrders(ctx)
		o.post(func() {
			o.checkingCordons = false
			if err != nil {
				open = expiring // Whether they have an order is not known.
			}
			o.extendCordons(expiring, open)
		})
	}()
}

// extendCordons extends the cordons of those workers that have an open order.
func (o *Owner) extendCordons(expiring, open []string) {
	has := map[string]bool{}
	for _, id := range open {
		has[id] = true
	}
	for _, id := range expiring {
		if has[id] && o.pool.ExtendCordon(id, o.clock(), 2*cordonCheckLead) {
			observe.Count("cordons.extended")
			o.settings.Log.Info().Str("pool", o.settings.Pool).Str("worker", id).Msg("cordon extended: the instance has an open order")
		}
	}
}
