package entry

import (
	"context"
	"sync"
	"time"

	"samphirepoint/instance"
	"samphirepoint/services"
	"samphirepoint/worker"
)

// leavingPollInterval is the time between status requests to workers that were found to be leaving although the fleet lists
// them as serving, for instance after a drain. Few workers are in this state at a time.
const leavingPollInterval = time.Second

// pollLeavingWorkers asks the workers in the pools of this entry that are marked as leaving but listed as serving whether
// they accept work again.
func (e *Entry) pollLeavingWorkers(ctx context.Context) error {
	ticker := time.NewTicker(leavingPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		var wait sync.WaitGroup
		for _, in := range e.availabilityCandidates() {
			wait.Go(func() { e.checkAvailable(ctx, in) })
		}
		wait.Wait()
	}
}

// availabilityCandidates returns the workers to ask. A worker that the platform lists as leaving is not asked: the
// platform may know that it is leaving before the worker does.
func (e *Entry) availabilityCandidates() []instance.Instance {
	f := e.fleetView.Snapshot()
	if f == nil {
		return nil
	}
	listedLeaving := map[string]bool{}
	if list := e.instanceList.Load(); list != nil {
		for _, in := range *list {
			listedLeaving[in.ID] = in.State == services.StateLeaving
		}
	}
	owned := map[string]bool{}
	for _, pool := range e.gossip.Members().Owned(e.cfg.ID) {
		owned[pool] = true
	}
	var list []instance.Instance
	for _, in := range f.Instances {
		if in.State == instance.Serving && owned[in.Pool] && !listedLeaving[in.ID] && e.gossip.Leaving(in.ID) {
			list = append(list, in)
		}
	}
	return list
}

// checkAvailable clears the leaving mark of a worker that reports that it accepts work, unless another worker answers at its address. The time
// of the request is passed along, so that a later mark stays.
func (e *Entry) checkAvailable(ctx context.Context, in instance.Instance) {
	client := worker.NewClientOn(e.network, in.Address)
	defer client.Close()
	asked := time.Now()
	st, err := client.Status(ctx)
	if err != nil || st.ID != "" && st.ID != in.ID || st.Leaving || st.Draining {
		return
	}
	e.log.Info().Str("worker", in.ID).Str("pool", in.Pool).Str("reason", "worker reports that it accepts work").Msg("worker is available again")
	e.gossip.ClearLeaving(in.ID, asked)
	e.control.wake()
}
