package entry

import (
	"context"
	"errors"
	"net/http"
	"time"
)

const (
	// ownershipTransferDelay is the time that peers need to receive the report that the entry is leaving: two gossip rounds.
	ownershipTransferDelay = 2 * time.Second
	// deregisterTimeout bounds the call that removes the entry from the platform's list.
	deregisterTimeout = time.Second
)

// leave shuts the entry down without interrupting requests in flight. Waiting requests are forwarded to the next owners of
// their pools, and running ones complete at this entry. Tasks of jobs continue on their workers and are adopted by the next
// owner.
func (e *Entry) leave(callers, peers *http.Server, stopJobs context.CancelFunc) error {
	e.log.Info().Dur("balancerDelay", e.cfg.Shutdown.BalancerDelay).Msg("entry is shutting down and reports not ready")
	e.leaving.Store(true)
	time.Sleep(e.cfg.Shutdown.BalancerDelay)

	ctx, cancel := context.WithTimeout(context.Background(), e.cfg.Shutdown.DrainTimeout)
	defer cancel()
	e.gossip.Leave(ctx)
	e.control.wake()
	stopJobs()
	time.Sleep(min(ownershipTransferDelay, e.cfg.Shutdown.DrainTimeout/4))
	e.draining.Store(true)

	err := errors.Join(callers.Shutdown(ctx), peers.Shutdown(ctx))
	if err != nil {
		e.log.Error().Err(err).Int("inFlight", e.tracker.count()).Msg("drain timeout passed with requests in flight")
		callers.Close()
		peers.Close()
	}
	deregisterCtx, cancelDeregister := context.WithTimeout(context.Background(), deregisterTimeout)
	defer cancelDeregister()
	if err := e.platform.Deregister(deregisterCtx, e.cfg.ID); err != nil {
		e.log.Warn().Err(err).Msg("entry could not be deregistered and stays on the platform's list until its registration expires")
	}
	e.claims.Flush(ctx)
	e.log.Info().Msg("entry shut down")
	return err
}
