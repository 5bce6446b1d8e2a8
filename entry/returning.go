package entry

import (
	"context"
	"sync"
	"time"

	"samphirepoint/instance"
	"samphirepoint/services"
	"samphirepoint/worker"
)

// returnInterval is the time between two questions to workers that were found to be leaving although the fleet counts
// them as serving, for instance after a drain. Few workers are in this state at a time.
const returnInterval = time.Second

// followReturns asks such workers of the pools this entry owns whether they take work again.
func (e *Entry) followReturns(ctx context.Context) error {
	ticker := time.NewTicker(returnInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		var wait sync.WaitGroup
		for _, in := range e.returning() {
			wait.Go(func() { e.askReturn(ctx, in) })
		}
		wait.Wait()
	}
}

// returning lists the workers to ask. A worker that the platform lists as leaving is not asked: the list may know
// what the worker does not.
func (e *Entry) returning() []instance.Instance {
	f := e.fleetView.Snapshot()
	if f == nil {
		return nil
	}
	listed := map[string]bool{}
	if list := e.list.Load(); list != nil {
		for _, in := range *list {
			listed[in.ID] = in.State == services.StateLeaving
		}
	}
	owned := map[string]bool{}
	for _, pool := range e.gossip.Members().Owned(e.cfg.ID) {
		owned[pool] = true
	}
	var list []instance.Instance
	for _, in := range f.Instances {
		if in.State == instance.Serving && owned[in.Pool] && !listed[in.ID] && e.gossip.Leaving(in.ID) {
			list = append(list, in)
		}
	}
	return list
}

func (e *Entry) askReturn(ctx context.Context, in instance.Instance) {
	client := worker.NewClientOn(e.network, in.Address)
	defer client.Close()
	asked := time.Now()
	st, err := client.Status(ctx)
	if err != nil || st.Leaving || st.Draining {
		return
	}
	e.log.Info().Str("worker", in.ID).Str("pool", in.Pool).Str("reason", "worker says that it takes work").Msg("worker is back")
	e.gossip.ClearLeaving(in.ID, asked)
	e.control.wake()
}
