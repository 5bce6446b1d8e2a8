package entry

import (
	"context"
	"errors"
	"net/http"
	"time"
)

const (
	// handOver is the time that peers need to learn that the entry leaves: two gossip rounds.
	handOver = 2 * time.Second
	// deregisterTimeout bounds the last call to the platform.
	deregisterTimeout = time.Second
)

// leave ends the process without cutting off anything in flight. Waiting requests go to the next owners of
// their pools; running ones end here; tasks of jobs go on at their workers and are adopted by the next owner.
func (e *Entry) leave(callers, peers *http.Server, stopJobs context.CancelFunc) error {
	e.log.Info().Dur("balancerDelay", e.cfg.Shutdown.BalancerDelay).Msg("entry is leaving, readiness is off")
	e.leaving.Store(true)
	time.Sleep(e.cfg.Shutdown.BalancerDelay)

	ctx, cancel := context.WithTimeout(context.Background(), e.cfg.Shutdown.DrainTimeout)
	defer cancel()
	e.gossip.Leave(ctx)
	e.control.wake()
	stopJobs()
	time.Sleep(min(handOver, e.cfg.Shutdown.DrainTimeout/4))
	e.draining.Store(true)

	err := errors.Join(callers.Shutdown(ctx), peers.Shutdown(ctx))
	if err != nil {
		e.log.Error().Err(err).Int("inFlight", e.tracker.count()).Msg("drain timeout passed with requests in flight")
		callers.Close()
		peers.Close()
	}
	last, cancelLast := context.WithTimeout(context.Background(), deregisterTimeout)
	defer cancelLast()
	if err := e.platform.Deregister(last, e.cfg.ID); err != nil {
		e.log.Warn().Err(err).Msg("entry stays on the platform's list until its registration expires")
	}
	e.claims.Flush(ctx)
	e.log.Info().Msg("entry has left")
	return err
}
