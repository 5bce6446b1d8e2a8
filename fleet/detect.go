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
	// listIntervalPerInstance, times the number of listed instances, is the time between two reads of the list, within
	// minListInterval and maxListInterval. An element takes about 200 B, so the reads stay under 4 KB/s from 40
	// instances on.
	listIntervalPerInstance = 50 * time.Millisecond
	minListInterval         = 2 * time.Second
	maxListInterval         = time.Minute
	// listGracePeriod is the time after a change of state in which an instance may be missing from the list: a worker
	// that has just rebooted is not listed yet.
	listGracePeriod = 30 * time.Second
	// minListedShare is the share of the known instances that a list must contain to be trusted.
	// A zone failure removes a third of a deployment; a list that misses more than half is considered broken.
	minListedShare = 0.5
	// failedAfter is the time of unanswered probes after which an instance is considered failed.
	failedAfter = 10 * time.Second
	// removeAfter is the time after which the row of a failed and unlisted instance is deleted.
	removeAfter = time.Hour
	// roundRobinProbes is the number of instances that each step probes in rotation. A probe takes about 400 B, so 10
	// a second cost 4 KB/s. Instances with an unanswered probe are probed at each step in addition.
	roundRobinProbes = 10
	// maxConcurrentProbes and probeTimeout bound a step's probes; probeTimeout also bounds each command to a worker.
	maxConcurrentProbes = 16
	probeTimeout        = time.Second
	// registerBatch is the maximum number of instances registered in one transaction.
	registerBatch = 20
)

// listState is the last instance list and the times of its reads.
type listState struct {
	nextRead time.Time
	readAt   time.Time
	workers  map[string]services.Instance
	trusted  bool
}

// probe is the outcome of a worker's last status probe.
type probe struct {
	// worker is the answer, or nil if there is none in this step.
	worker *drainer.Worker
	// failingSince is the time of the first unanswered probe since the last answer, or zero.
	failingSince time.Time
}

// watchList reads the platform's list and registers new workers. A list that cannot be read changes nothing.
func (c *Controller) watchList(ctx context.Context) error {
	now, l := c.Now(), &c.term.list
	if now.Before(l.nextRead) {
		return nil
	}
	all, err := c.Instances.List(ctx)
	if err != nil {
		c.Log.Info().Err(err).Msg("could not read the instance list")
		l.nextRead = now.Add(minListInterval)
		return nil
	}
	fleet := c.View.Snapshot()
	l.workers, l.readAt = map[string]services.Instance{}, now
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
	l.trusted = float64(known) >= minListedShare*float64(len(fleet.Instances))
	l.nextRead = now.Add(min(max(minListInterval, time.Duration(len(all))*listIntervalPerInstance), maxListInterval))
	return c.registerListed(ctx, fleet)
}

// registerListed creates rows for listed workers that have none, and updates rows whose address changed.
func (c *Controller) registerListed(ctx context.Context, fleet *instance.Fleet) error {
	unregistered := map[string][]services.Instance{}
	for _, id := range sortedKeys(c.term.list.workers) {
		p := c.term.list.workers[id]
		in, ok := fleet.Instances[id]
		switch {
		case ok && in.Address != p.Address:
			if _, err := c.store.Relocate(ctx, p); c.ignoreStalePlan(err, "relocate", id) != nil {
				return err
			}
		case !ok && p.State == services.StateLive:
			if pool := c.Assign(p, c.term.doc); pool != "" {
				unregistered[pool] = append(unregistered[pool], p)
			}
		}
	}
	for _, pool := range sortedKeys(unregistered) {
		for chunk := range slices.Chunk(unregistered[pool], registerBatch) {
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

// probe reads the status of all workers that are unavailable, leaving, suspect or did not answer, and of a few others
// round-robin.
func (c *Controller) probe(ctx context.Context) error {
	fleet, t := c.View.Snapshot(), c.term
	for id := range t.probes {
		if _, ok := fleet.Instances[id]; !ok {
			delete(t.probes, id)
		}
	}
	due := c.dueProbes(fleet)
	now := c.Now()
	var mu sync.Mutex
	g := new(errgroup.Group)
	g.SetLimit(maxConcurrentProbes)
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
			p.record(w, err, now)
			return nil
		})
	}
	return g.Wait()
}

// record stores the outcome of a status probe.
func (p *probe) record(w drainer.Worker, err error, now time.Time) {
	if err == nil {
		p.worker, p.failingSince = &w, time.Time{}
		return
	}
	p.worker = nil
	if p.failingSince.IsZero() {
		p.failingSince = now
	}
}

// dueProbes returns the instances to probe in this step. It discards the answers of earlier steps, so that no
// decision uses an old status.
func (c *Controller) dueProbes(fleet *instance.Fleet) map[string]bool {
	t := c.term
	due := map[string]bool{}
	ids := sortedKeys(fleet.Instances)
	for _, id := range ids {
		p := t.probes[id]
		listed, ok := t.list.workers[id]
		leaving := ok && listed.State == services.StateLeaving
		if fleet.Instances[id].State != instance.Serving || leaving || p != nil && !p.failingSince.IsZero() {
			due[id] = true
		}
		if p != nil {
			// A worker that reported to be draining is probed again until it accepts work.
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
	for range min(roundRobinProbes, len(ids)) {
		t.probeCursor++
		due[ids[t.probeCursor%len(ids)]] = true
	}
	for id, v := range due {
		if !v {
			delete(due, id)
		}
	}
	return due
}

// stepFailures records new failures, and returns failed instances to service or removes them.
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
		reason := c.failureReason(in, now)
		if reason == "" {
			continue
		}
		if _, err := c.store.Fail(ctx, id, reason); c.ignoreStalePlan(err, "fail", id) != nil {
			return err
		}
		c.term.recordFailure(in, now)
		c.logStep("fail", id).Str("pool", in.Pool).Str("why", reason).Msg("instance failed")
	}
	return nil
}

// failureReason returns why the instance is considered failed, or "" if it is not. Rebooting instances have a timeout
// of their own.
func (c *Controller) failureReason(in instance.Instance, now time.Time) string {
	if in.State == instance.Rebooting {
		return ""
	}
	l := &c.term.list
	if _, listed := l.workers[in.ID]; !listed && l.trusted && now.Sub(in.Since) > listGracePeriod && l.readAt.Sub(in.Since) > listGracePeriod {
		return "it left the instance list"
	}
	if p := c.term.probes[in.ID]; p != nil && !p.failingSince.IsZero() && now.Sub(p.failingSince) >= failedAfter {
		return "its status probe has failed for " + failedAfter.String()
	}
	return ""
}

// stepFailed returns a failed instance to service if it is listed as live and its worker answers. It deletes the row of
// an instance that failed more than removeAfter ago and is missing from a trusted list.
func (c *Controller) stepFailed(ctx context.Context, in instance.Instance) error {
	now := c.Now()
	if now.Sub(in.Since) <= time.Minute && !slices.ContainsFunc(c.term.failures, isFailureOf(in.ID)) {
		c.term.recordFailure(in, in.Since) // recorded by an earlier lease holder
	}
	listed, ok := c.term.list.workers[in.ID]
	p := c.term.probes[in.ID]
	answers := p != nil && p.worker != nil
	switch {
	case !ok && c.term.list.trusted && now.Sub(in.Since) > removeAfter:
		_, err := c.store.Remove(ctx, in.ID)
		return c.ignoreStalePlan(err, "remove", in.ID)
	case ok && answers && p.worker.Draining:
		c.callIncarnation(ctx, "undrain", in, c.Workers.Undrain)
	case ok && answers && listed.State == services.StateLive:
		if _, err := c.store.Return(ctx, listed); err != nil {
			return c.ignoreStalePlan(err, "return", in.ID)
		}
		c.logStep("return", in.ID).Str("pool", in.Pool).Msg("instance returned")
	}
	return nil
}
