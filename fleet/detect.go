package fleet

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"samphirepoint/drainer"
	"samphirepoint/instance"
	"samphirepoint/services"
)

const (
	// listCost is the time that must pass per listed instance between two reads of the list: an element
	// takes about 200 B, so the reads stay under 4 KB/s from 40 instances on.
	listCost    = 50 * time.Millisecond
	listMinimum = 2 * time.Second
	listMaximum = time.Minute
	// listGrace after a change of state: a worker that has just rebooted is not listed yet.
	listGrace = 30 * time.Second
	// trustedShare is the part of the known instances that a list must show to be believed.
	// A zone failure takes a third of a deployment; a list that misses more than half is taken for broken.
	trustedShare = 0.5
	// failedAfter is the time of unanswered probes after which an instance counts as failed.
	failedAfter = 10 * time.Second
	// removeAfter is the time after which the row of a failed and unlisted instance is deleted.
	removeAfter = time.Hour
	// roundProbes are the serving instances probed at each step. A probe takes about 400 B, so 10 a
	// second cost 4 KB/s. Instances with an unanswered probe are probed at each step in addition.
	roundProbes = 10
	// probesAtOnce and probeTimeout bound a step's probes.
	probesAtOnce = 16
	probeTimeout = time.Second
	// batch is the number of instances registered in one transaction.
	batch = 20
)

// listState is the last instance list.
type listState struct {
	next    time.Time
	at      time.Time
	workers map[string]services.Instance
	trusted bool
}

// probe is the last status of a worker.
type probe struct {
	worker *drainer.Worker
	// failing is the time of the first unanswered probe since the last answer, or zero.
	failing time.Time
}

// watchList reads the platform's list and registers new workers. A list that cannot be read changes nothing.
func (c *Controller) watchList(ctx context.Context) error {
	now, l := c.Now(), &c.term.list
	if now.Before(l.next) {
		return nil
	}
	all, err := c.Instances.List(ctx)
	if err != nil {
		c.Log.Info().Err(err).Msg("instance list not read")
		l.next = now.Add(listMinimum)
		return nil
	}
	fleet := c.View.Snapshot()
	l.workers, l.at = map[string]services.Instance{}, now
	known := 0
	for _, p := range all {
		if p.Kind != services.KindWorker {
			continue
		}
		l.workers[p.ID] = p
		if _, ok := fleet.Instances[p.ID]; ok {
			known++
		}
	}
	l.trusted = float64(known) >= trustedShare*float64(len(fleet.Instances))
	l.next = now.Add(min(max(listMinimum, time.Duration(len(all))*listCost), listMaximum))
	return c.register(ctx, fleet)
}

// register creates rows for listed workers without one and takes over new addresses.
func (c *Controller) register(ctx context.Context, fleet *instance.Fleet) error {
	fresh := map[string][]services.Instance{}
	for _, id := range sortedKeys(c.term.list.workers) {
		p := c.term.list.workers[id]
		in, ok := fleet.Instances[id]
		switch {
		case ok && in.Address != p.Address:
			if _, err := c.store.Relocate(ctx, p); c.tolerate(err, "relocate", id) != nil {
				return err
			}
		case !ok && p.State == services.StateLive:
			if pool := c.Assign(p, c.term.doc); pool != "" {
				fresh[pool] = append(fresh[pool], p)
			}
		}
	}
	for _, pool := range sortedKeys(fresh) {
		for chunk := range slices.Chunk(fresh[pool], batch) {
			if _, err := c.store.Register(ctx, chunk, pool); err != nil {
				return err
			}
			c.Log.Info().Str("pool", pool).Int("instances", len(chunk)).Msg("instances registered")
		}
	}
	return nil
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// probe asks workers for their status: all that are out, suspect or unanswered, and a few others in turn.
func (c *Controller) probe(ctx context.Context) error {
	fleet, t := c.View.Snapshot(), c.term
	for id := range t.probes {
		if _, ok := fleet.Instances[id]; !ok {
			delete(t.probes, id)
		}
	}
	due := c.due(fleet)
	now := c.Now()
	var mu sync.Mutex
	g := new(errgroup.Group)
	g.SetLimit(probesAtOnce)
	for id := range due {
		in := fleet.Instances[id]
		g.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, probeTimeout)
			defer cancel()
			w, err := c.Workers.Status(ctx, in)
			mu.Lock()
			defer mu.Unlock()
			p := t.probes[id]
			if p == nil {
				p = &probe{}
				t.probes[id] = p
			}
			p.note(w, err, now)
			return nil
		})
	}
	return g.Wait()
}

func (p *probe) note(w drainer.Worker, err error, now time.Time) {
	if err == nil {
		p.worker, p.failing = &w, time.Time{}
		return
	}
	p.worker = nil
	if p.failing.IsZero() {
		p.failing = now
	}
}

// due returns the instances to probe in this step. Answers of earlier steps are dropped, so that no
// decision uses an old status.
func (c *Controller) due(fleet *instance.Fleet) map[string]bool {
	t := c.term
	due := map[string]bool{}
	ids := sortedKeys(fleet.Instances)
	for _, id := range ids {
		p := t.probes[id]
		listed, ok := t.list.workers[id]
		leaving := ok && listed.State == services.StateLeaving
		if fleet.Instances[id].State != instance.Serving || leaving || p != nil && !p.failing.IsZero() {
			due[id] = true
		}
		if p != nil {
			// A status that still drains is asked again until the worker takes work.
			due[id] = due[id] || p.worker != nil && p.worker.Draining
			p.worker = nil
		}
	}
	if c.Suspects != nil {
		for _, id := range c.Suspects() {
			if _, ok := fleet.Instances[id]; ok {
				due[id] = true
			}
		}
	}
	for range min(roundProbes, len(ids)) {
		t.cursor++
		due[ids[t.cursor%len(ids)]] = true
	}
	for id, v := range due {
		if !v {
			delete(due, id)
		}
	}
	return due
}

// stepFailures records failures and returns.
func (c *Controller) stepFailures(ctx context.Context) error {
	fleet, now := c.View.Snapshot(), c.Now()
	for _, id := range sortedKeys(fleet.Instances) {
		in := fleet.Instances[id]
		if in.State == instance.Failed {
			if err := c.stepFailed(ctx, in); err != nil {
				return err
			}
			continue
		}
		why := c.failure(in, now)
		if why == "" {
			continue
		}
		if _, err := c.store.Fail(ctx, id, why); c.tolerate(err, "fail", id) != nil {
			return err
		}
		c.term.record(in, now)
		c.done("fail", id).Str("pool", in.Pool).Str("why", why).Msg("instance failed")
	}
	return nil
}

// failure says why the instance counts as failed, or "". Rebooting instances have a timeout of their own.
func (c *Controller) failure(in instance.Instance, now time.Time) string {
	if in.State == instance.Rebooting {
		return ""
	}
	l := &c.term.list
	if _, listed := l.workers[in.ID]; !listed && l.trusted && now.Sub(in.Since) > listGrace && l.at.Sub(in.Since) > listGrace {
		return "it left the instance list"
	}
	if p := c.term.probes[in.ID]; p != nil && !p.failing.IsZero() && now.Sub(p.failing) >= failedAfter {
		return "its status probe has failed for " + failedAfter.String()
	}
	return ""
}

// stepFailed returns an instance that is listed live and answers, or deletes the row of one that is gone.
func (c *Controller) stepFailed(ctx context.Context, in instance.Instance) error {
	now := c.Now()
	if now.Sub(in.Since) <= time.Minute && !slices.ContainsFunc(c.term.failures, failureOf(in.ID)) {
		c.term.record(in, in.Since) // seen by an earlier holder
	}
	listed, ok := c.term.list.workers[in.ID]
	p := c.term.probes[in.ID]
	answers := p != nil && p.worker != nil
	switch {
	case !ok && c.term.list.trusted && now.Sub(in.Since) > removeAfter:
		_, err := c.store.Remove(ctx, in.ID)
		return c.tolerate(err, "remove", in.ID)
	case ok && answers && p.worker.Draining:
		c.call(ctx, "undrain", in, c.Workers.Undrain)
	case ok && answers && listed.State == services.StateLive:
		if _, err := c.store.Return(ctx, listed); err != nil {
			return c.tolerate(err, "return", in.ID)
		}
		c.done("return", in.ID).Str("pool", in.Pool).Msg("instance returned")
	}
	return nil
}
