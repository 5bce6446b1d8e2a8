package owner

import (
	"context"
	"time"

	"samphirepoint/engine"
)

const (
	// confirmShare is the share of the longest lease that may pass since a claim was last known to be current before it is confirmed. Until
	// leases have to be shortened much, there is time for several attempts.
	confirmShare = 0.3
	// confirmInterval is the least time between the beginnings of two attempts.
	confirmInterval = 700 * time.Millisecond
	// confirmTimeout bounds an attempt.
	confirmTimeout = 2 * time.Second
)

// confirmClaimIfDue confirms the claim if workers run something and no transaction has shown lately that the claim is current. Without it,
// an owner that is cut off from the store would renew the leases of workers that its successor can't reach, and the successor would
// start their tasks again meanwhile.
func (o *Owner) confirmClaimIfDue() {
	c := o.clock()
	due := time.Duration(confirmShare * float64(o.settings.Options.MaxLease))
	if o.confirming || o.pool.ClaimAge(c) < due || c.Now-o.confirmedAt < confirmInterval || !o.pool.HasRuns() {
		return
	}
	o.confirming, o.confirmedAt = true, c.Now
	go func() {
		ctx, cancel := context.WithTimeout(o.ctx, confirmTimeout)
		defer cancel()
		by := "the store"
		err := o.confirmClaim(ctx)
		if err != nil {
			by, err = o.confirmByPeers(ctx, err)
		}
		o.post(func() {
			o.confirming = false
			if err == nil {
				o.noteConfirmation(by, c)
				o.pool.ClaimConfirmed(c)
			}
		})
	}()
}

// noteConfirmation logs by whom the claim was confirmed, whenever that changes.
func (o *Owner) noteConfirmation(by string, c engine.Clock) {
	if by == o.confirmedBy {
		return
	}
	o.confirmedBy = by
	o.settings.Log.Info().Str("pool", o.settings.Pool).Int64("token", o.settings.Token).Str("by", by).Dur("lastConfirmedMSAgo", o.pool.ClaimAge(c)).Msg("claim confirmed")
}

// confirmByPeers asks other daemons, as this one can't read its claim for the given reason. It returns how they know.
func (o *Owner) confirmByPeers(ctx context.Context, reason error) (by string, err error) {
	if o.settings.ConfirmByPeers == nil || o.ctx.Err() != nil {
		return "", reason
	}
	current, by, err := o.settings.ConfirmByPeers(ctx, o.primary.name, o.settings.Token, o.primary.claimVer)
	switch {
	case err != nil:
		o.settings.Log.Warn().Str("pool", o.settings.Pool).Err(err).Msg("cannot confirm the claim; leases will not be renewed for long")
	case !current:
		o.post(func() { o.fail(ErrOwnershipLost) })
		err = ErrOwnershipLost
	}
	return by, err
}
