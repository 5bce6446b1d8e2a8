package dispatch

import (
	"math"
	"net/http"
	"slices"
	"time"

	"samphirepoint/fairqueue"
	"samphirepoint/outlier"
	"samphirepoint/placement"
	"samphirepoint/request"
	"samphirepoint/verdict"
)

// grantFreeSlots grants free slots to waiting requests in the order of the queue policy.
func (s *Scheduler) grantFreeSlots(p *pool) {
	now := s.cfg.Now()
	for p.queue.Len() > 0 {
		it, ok := p.queue.Next(now)
		if !ok {
			return
		}
		a := p.waiting[it.ID]
		choice, ok := s.pickWorker(p, a, now)
		if !ok {
			p.queue.Requeue(it.ID)
			return
		}
		delete(p.waiting, it.ID)
		s.grant(p, a, it.Class, choice, now)
	}
}

// pickWorker picks a worker for the request. If every available worker is excluded because the request failed on it
// before, the exclusions are ignored.
func (s *Scheduler) pickWorker(p *pool, a *acquisition, now time.Time) (placement.Choice, bool) {
	constraints := placement.Constraints{Zone: s.cfg.Zone, Exclude: a.request.Exclude, NoProbe: !a.request.Request.Idempotent}
	choice, ok := p.placement.Pick(now, p.workers, constraints)
	if !ok && len(constraints.Exclude) > 0 {
		constraints.Exclude = nil
		choice, ok = p.placement.Pick(now, p.workers, constraints)
	}
	return choice, ok
}

func (s *Scheduler) grant(p *pool, a *acquisition, class request.Class, c placement.Choice, now time.Time) {
	m := p.members[c.Worker]
	m.state.InUse++
	if m.state.Probe {
		p.outliers.BeginProbe(c.Worker, a.request.Request.ID, now)
		m.state.Probe = false
	}
	p.running[a.id] = &running{acquisition: a, member: m, pool: p, started: now, class: class}
	s.runTimes.Begin(a.id, a.key, now)
	a.ready <- result{grant: &Grant{
		Worker:    c.Worker,
		Client:    m.client,
		Reason:    c.Reason,
		Waited:    now.Sub(a.request.Request.Received),
		Expected:  a.estimate.P90,
		id:        a.id,
		pool:      p,
		scheduler: s,
	}}
}

// release frees a slot, records the outcome and grants free slots to waiting requests.
func (s *Scheduler) release(p *pool, id string, r Result) {
	run, ok := p.running[id]
	if !ok {
		return
	}
	now := s.cfg.Now()
	delete(p.running, id)
	p.queue.Finish(id)
	m := run.member
	m.state.InUse--
	s.runTimes.End(id, now, r.Outcome == Succeeded)
	s.recordOutcome(p, run, r, now)
	if r.Outcome.ran() {
		p.recordCompletion(now.Sub(run.started), now)
	}
	if m.removed && m.state.InUse == 0 && p.isCurrent(m) {
		m.client.Close()
		delete(p.members, m.state.ID)
	}
	s.grantFreeSlots(p)
}

// recordOutcome updates the health, load and latency state of the worker that ran the request, unless another one has replaced it.
func (s *Scheduler) recordOutcome(p *pool, run *running, r Result, now time.Time) {
	m := run.member
	if !p.isCurrent(m) {
		return
	}
	var changes []outlier.StateChange
	report := func(result outlier.Result) {
		changes = p.outliers.Report(now, m.state.ID, run.acquisition.request.Request.ID, result)
	}
	switch r.Outcome {
	case Succeeded:
		report(outlier.OK)
		if mean := run.acquisition.estimate.Mean; mean > 0 {
			m.recordLatency(float64(r.RunTime) / float64(mean))
		}
	case NotSent, Stopped:
		// The outcome says nothing about the worker, but it ends a probe.
		report(outlier.Refused)
	case Failed, TransportError:
		report(outlier.Failed)
	case TimedOut:
		report(outlier.Timeout)
	case Refused:
		report(outlier.Refused)
		m.state.UsedByOthers, m.state.UsedByOthersUntil = max(m.state.Slots-m.state.InUse, 1), now.Add(usedByOthersPeriod)
	case Leaving:
		m.state.Leaving = true
		p.refresh(now)
	case Unreachable:
		report(outlier.Failed)
		m.backOffUnreachable(now)
	}
	if r.Outcome != Unreachable && r.Outcome != NotSent {
		m.unreachableBackoff = 0
	}
	for _, c := range changes {
		s.cfg.Log.Warn().Str("pool", p.name).Str("worker", c.Worker).Bool("ejected", c.State.Ejected).Bool("suspect", c.State.Suspect).Str("reason", c.Reason).Msg("worker health changed")
	}
	if len(changes) > 0 {
		p.refresh(now)
	}
}

// backOffUnreachable excludes the worker from placement with exponential backoff. A worker that cannot be reached looks
// idle: without the backoff the requests of the backer with the lowest usage would be sent there again and again, while
// other backers get the slots that become free.
func (m *member) backOffUnreachable(now time.Time) {
	if now.Before(m.state.UsedByOthersUntil) && m.unreachableBackoff > 0 {
		return // an attempt that began before the current backoff
	}
	m.unreachableBackoff = min(max(2*m.unreachableBackoff, unreachableBackoffMin), unreachableBackoffMax)
	m.state.UsedByOthers, m.state.UsedByOthersUntil = m.state.Slots, now.Add(m.unreachableBackoff)
}

func (m *member) recordLatency(ratio float64) {
	if m.state.Latency == 0 {
		m.state.Latency = ratio
		return
	}
	m.state.Latency += latencyDecay * (ratio - m.state.Latency)
}

// tick expires, reclassifies and overflows requests, refreshes worker states and grants free slots.
func (s *Scheduler) tick() {
	now := s.cfg.Now()
	for _, p := range s.pools {
		for _, it := range p.queue.Expired(now) {
			a := p.waiting[it.ID]
			delete(p.waiting, it.ID)
			a.ready <- result{err: s.overloaded(p.estimateWait(now), "deadline passed while waiting for a slot")}
		}
		s.reclassify(p, now)
		s.overflowWaiting(p, now)
		p.refresh(now)
		s.grantFreeSlots(p)
	}
}

// reclassify marks requests as long once they have run for longer than request.ShortLimit.
func (s *Scheduler) reclassify(p *pool, now time.Time) {
	for id, run := range p.running {
		if run.class != request.Long && now.Sub(run.started) > request.ShortLimit {
			run.class = request.Long
			p.queue.Reclassify(id, request.Long)
		}
	}
}

// overflowWaiting dequeues requests that have waited for overflowAfter, so that they can try other pools of their queue,
// starting with the backer with the lowest usage for its weight. A request that runs in another pool counts against
// its backer's limit in this pool.
func (s *Scheduler) overflowWaiting(p *pool, now time.Time) {
	if now.Before(p.overflow.next) || len(p.waiting) == 0 {
		return
	}
	candidates := p.overflowCandidates(now)
	if len(candidates) == 0 {
		return
	}
	held := map[string]int{}
	for backer, u := range p.queue.Usage() {
		held[backer] = u.InUse + p.overflowed[backer]
	}
	shares := s.fleet.Shares[p.name]
	for range p.overflow.batch {
		backer, ok := leastServed(candidates, held, shares)
		if !ok {
			return
		}
		a := candidates[backer][0]
		candidates[backer] = candidates[backer][1:]
		held[backer]++
		p.overflowed[backer]++
		p.queue.Remove(a.id)
		delete(p.waiting, a.id)
		a.ready <- result{err: verdict.Wrap(ErrOverflow, verdict.NotRun, http.StatusTooManyRequests)}
	}
}

// overflowCandidates returns, per backer, the waiting requests that may go to another pool, oldest first.
func (p *pool) overflowCandidates(now time.Time) map[string][]*acquisition {
	candidates := map[string][]*acquisition{}
	for _, a := range p.waiting {
		if a.request.MayOverflow && now.Sub(a.since) >= overflowAfter {
			backer := a.request.Request.Backer
			candidates[backer] = append(candidates[backer], a)
		}
	}
	for _, list := range candidates {
		slices.SortFunc(list, func(a, b *acquisition) int { return a.request.Request.Received.Compare(b.request.Request.Received) })
	}
	return candidates
}

// leastServed returns the backer with the lowest ratio of slots to weight among those that have candidates and are below
// their limit.
func leastServed(candidates map[string][]*acquisition, held map[string]int, shares map[string]fairqueue.Share) (string, bool) {
	best, bestUse := "", math.Inf(1)
	for backer, list := range candidates {
		share, known := shares[backer]
		if len(list) == 0 || (known && held[backer] >= limitFor(list[0], share)) {
			continue
		}
		weight := share.Weight
		if weight <= 0 {
			weight = 1
		}
		if use := float64(held[backer]+1) / weight; use < bestUse {
			best, bestUse = backer, use
		}
	}
	return best, best != ""
}

// limitFor returns the limit that applies to a request; only urgent and short work may use the burst.
func limitFor(a *acquisition, share fairqueue.Share) int {
	if a.class == request.Long {
		return share.Limit
	}
	return share.Limit + share.Burst
}

// OverflowResult reports that the attempt to run a request of the pool in another pool has ended, and whether the other
// pool accepted it.
func (s *Scheduler) OverflowResult(pool, backer string, accepted bool) {
	s.post(func() {
		p, ok := s.pools[pool]
		if !ok {
			return
		}
		p.overflow.record(s.cfg.Now(), accepted)
		s.endOverflow(pool, backer)
	})
}

// endOverflow stops counting a request of the pool as running in another pool.
func (s *Scheduler) endOverflow(pool, backer string) {
	p, ok := s.pools[pool]
	if !ok {
		return
	}
	if p.overflowed[backer]--; p.overflowed[backer] <= 0 {
		delete(p.overflowed, backer)
	}
}

// PoolUsage is the load of a pool, for gossip, metrics and reports.
type PoolUsage struct {
	Slots   int
	InUse   int
	Waiting int
	// Backers holds slots in use and waiting requests per backer.
	Backers map[string]Usage
	// EstimatedWait is the time until a request that arrives now gets a slot.
	EstimatedWait time.Duration
}

// Usage is the load of one backer. Overflowed counts requests of the pool that run in other pools.
type Usage struct{ InUse, Waiting, Overflowed int }

// Usage returns the load of all pools served by this entry: those that it owns, and those it no longer owns but
// still has running or waiting requests in.
func (s *Scheduler) Usage() map[string]PoolUsage {
	usage := map[string]PoolUsage{}
	ok := s.call(func() {
		now := s.cfg.Now()
		for name, p := range s.pools {
			if !p.owned && p.queue.InUse() == 0 && p.queue.Len() == 0 {
				continue
			}
			u := PoolUsage{Slots: p.slots, InUse: p.queue.InUse(), Waiting: p.queue.Len(), Backers: map[string]Usage{}, EstimatedWait: p.estimateWait(now)}
			for backer, b := range p.queue.Usage() {
				u.Backers[backer] = Usage{InUse: b.InUse, Waiting: b.Waiting, Overflowed: p.overflowed[backer]}
			}
			for backer, n := range p.overflowed {
				b := u.Backers[backer]
				b.Overflowed = n
				u.Backers[backer] = b
			}
			usage[name] = u
		}
	})
	if !ok {
		return map[string]PoolUsage{}
	}
	return usage
}

// QueueDemand returns the demand per queue in slots: the slots in use, plus, for each request that has waited longer than
// overflowAfter, the slots needed to start it within a second. That is its estimated run time in seconds, at most 1.
func (s *Scheduler) QueueDemand() map[string]float64 {
	demand := map[string]float64{}
	done := s.call(func() {
		now := s.cfg.Now()
		for _, p := range s.pools {
			for _, run := range p.running {
				demand[run.acquisition.request.Request.Queue]++
			}
			for _, a := range p.waiting {
				if now.Sub(a.request.Request.Received) > overflowAfter {
					demand[a.request.Request.Queue] += min(a.estimate.Mean.Seconds(), 1)
				}
			}
		}
	})
	if !done {
		return map[string]float64{}
	}
	return demand
}
