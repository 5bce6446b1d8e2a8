package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"samphirepoint/sleep"
)

const (
	// ownershipTransferDelay is the time that peers need to receive the report that the entry is leaving: two gossip rounds.
	ownershipTransferDelay = 2 * time.Second
	// deregisterTimeout bounds the call that removes the entry from the platform's list.
	deregisterTimeout = time.Second
	// drainPollInterval is the time between two checks for forwarded requests in flight.
	drainPollInterval = 20 * time.Millisecond
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

	err := e.drain(ctx, callers, peers)
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

// drain closes the listeners and returns when the requests in flight have ended or ctx ends. The listener for peers stays open
// until the requests of other entries have ended: these entries ping this one and ask for their requests on new connections,
// and take it for dead if it does not answer.
func (e *Entry) drain(ctx context.Context, callers, peers *http.Server) error {
	err := callers.Shutdown(ctx)
	for e.forwarded.Load() > 0 && sleep.Context(ctx, drainPollInterval) == nil {
	}
	return errors.Join(err, peers.Shutdown(ctx))
}
