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

// pump grants free slots to waiting requests in the order of the queue policy.
func (s *Scheduler) pump(p *pool) {
	now := s.cfg.Now()
	for p.queue.Len() > 0 {
		it, ok := p.queue.Next(now)
		if !ok {
			return
		}
		t := p.waiting[it.ID]
		choice, ok := s.place(p, t, now)
		if !ok {
			p.queue.Requeue(it.ID)
			return
		}
		delete(p.waiting, it.ID)
		s.grant(p, t, it.Class, choice, now)
	}
}

// place picks a worker. If all workers that are left have failed the request before, one of them
// is better than none.
func (s *Scheduler) place(p *pool, t *ticket, now time.Time) (placement.Choice, bool) {
	want := placement.Constraints{Zone: s.cfg.Zone, Exclude: t.wish.Exclude, NoProbe: !t.wish.Request.Idempotent}
	choice, ok := p.placement.Pick(now, p.workers, want)
	if !ok && len(want.Exclude) > 0 {
		want.Exclude = nil
		choice, ok = p.placement.Pick(now, p.workers, want)
	}
	return choice, ok
}

func (s *Scheduler) grant(p *pool, t *ticket, class request.Class, c placement.Choice, now time.Time) {
	m := p.members[c.Worker]
	m.state.InUse++
	if m.state.Probe {
		p.outliers.BeginProbe(c.Worker, t.wish.Request.ID, now)
		m.state.Probe = false
	}
	p.running[t.id] = &running{ticket: t, member: m, pool: p, started: now, class: class}
	s.times.Begin(t.id, t.key, now)
	t.ready <- result{grant: &Grant{
		Worker:    c.Worker,
		Client:    m.client,
		Reason:    c.Reason,
		Waited:    now.Sub(t.wish.Request.Received),
		Expected:  t.estimate.P90,
		id:        t.id,
		pool:      p,
		scheduler: s,
	}}
}

// release ends the use of a slot and lets the next request have it.
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
	s.times.End(id, now, r.Outcome == Succeeded)
	s.learn(p, run, r, now)
	if r.Outcome.ran() {
		p.observe(now.Sub(run.started), now)
	}
	if m.gone && m.state.InUse == 0 && p.members[m.state.ID] == m {
		m.client.Close()
		delete(p.members, m.state.ID)
	}
	s.pump(p)
}

// learn updates what is known of the worker.
func (s *Scheduler) learn(p *pool, run *running, r Result, now time.Time) {
	m := run.member
	var changes []outlier.StateChange
	report := func(result outlier.Result) {
		changes = p.outliers.Report(now, m.state.ID, run.ticket.wish.Request.ID, result)
	}
	switch r.Outcome {
	case Succeeded:
		report(outlier.OK)
		if mean := run.ticket.estimate.Mean; mean > 0 {
			m.observe(float64(r.RunTime) / float64(mean))
		}
	case NotSent, Stopped:
		// The worker showed nothing, but a probe ends.
		report(outlier.Refused)
	case Failed, TransportError:
		report(outlier.Failed)
	case TimedOut:
		report(outlier.Timeout)
	case Refused:
		report(outlier.Refused)
		m.state.UsedByOthers, m.state.UsedByOthersUntil = max(m.state.Slots-m.state.InUse, 1), now.Add(foreignPeriod)
	case Leaving:
		m.state.Leaving = true
		p.refresh(now)
	case Unreachable:
		report(outlier.Failed)
		m.unreachable(now)
	}
	if r.Outcome != Unreachable && r.Outcome != NotSent {
		m.unreachablePause = 0
	}
	for _, c := range changes {
		s.cfg.Log.Warn().Str("pool", p.name).Str("worker", c.Worker).Bool("ejected", c.State.Ejected).Bool("suspect", c.State.Suspect).Str("reason", c.Reason).Msg("worker changed state")
	}
	if len(changes) > 0 {
		p.refresh(now)
	}
}

// unreachable closes the worker for a while, longer each time. A worker that can't be reached looks idle: without a pause the
// requests of the neediest backer go there again and again, while others get the slots that become free.
func (m *member) unreachable(now time.Time) {
	if now.Before(m.state.UsedByOthersUntil) && m.unreachablePause > 0 {
		return // another attempt of the same moment
	}
	m.unreachablePause = min(max(2*m.unreachablePause, unreachablePauseMin), unreachablePauseMax)
	m.state.UsedByOthers, m.state.UsedByOthersUntil = m.state.Slots, now.Add(m.unreachablePause)
}

func (m *member) observe(ratio float64) {
	if m.state.Latency == 0 {
		m.state.Latency = ratio
		return
	}
	m.state.Latency += latencyDecay * (ratio - m.state.Latency)
}

// tick does what time alone brings about.
func (s *Scheduler) tick() {
	now := s.cfg.Now()
	for _, p := range s.pools {
		for _, it := range p.queue.Expired(now) {
			t := p.waiting[it.ID]
			delete(p.waiting, it.ID)
			t.ready <- result{err: s.overloaded(p.estimatedWait(now), "deadline passed while waiting for a slot")}
		}
		s.reclassify(p, now)
		s.spill(p, now)
		p.refresh(now)
		s.pump(p)
	}
}

// reclassify counts work as long from the moment it has run for longer than short work does.
func (s *Scheduler) reclassify(p *pool, now time.Time) {
	for id, run := range p.running {
		if run.class != request.Long && now.Sub(run.started) > request.ShortLimit {
			run.class = request.Long
			p.queue.Reclassify(id, request.Long)
		}
	}
}

// spill offers requests that waited long to the other pools of their queue, those of the backer with the lowest
// use of its weight first. A request that runs in another pool counts against its backer's limit here.
func (s *Scheduler) spill(p *pool, now time.Time) {
	if now.Before(p.overflow.next) || len(p.waiting) == 0 {
		return
	}
	candidates := p.overflowCandidates(now)
	if len(candidates) == 0 {
		return
	}
	held := map[string]int{}
	for backer, u := range p.queue.Usage() {
		held[backer] = u.InUse + p.away[backer]
	}
	shares := s.fleet.Shares[p.name]
	for range p.overflow.batch {
		backer, ok := neediest(candidates, held, shares)
		if !ok {
			return
		}
		t := candidates[backer][0]
		candidates[backer] = candidates[backer][1:]
		held[backer]++
		p.away[backer]++
		p.queue.Remove(t.id)
		delete(p.waiting, t.id)
		t.ready <- result{err: verdict.Wrap(ErrOverflow, verdict.NotRun, http.StatusTooManyRequests)}
	}
}

// overflowCandidates returns the tickets per backer that may go to another pool, the oldest first.
func (p *pool) overflowCandidates(now time.Time) map[string][]*ticket {
	candidates := map[string][]*ticket{}
	for _, t := range p.waiting {
		if t.wish.MayOverflow && now.Sub(t.since) >= overflowAfter {
			backer := t.wish.Request.Backer
			candidates[backer] = append(candidates[backer], t)
		}
	}
	for _, list := range candidates {
		slices.SortFunc(list, func(a, b *ticket) int { return a.wish.Request.Received.Compare(b.wish.Request.Received) })
	}
	return candidates
}

// neediest is the backer with candidates whose slots are lowest for its weight, among those below their limit.
func neediest(candidates map[string][]*ticket, held map[string]int, shares map[string]fairqueue.Share) (string, bool) {
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

// limitFor is the limit that applies to a ticket; only urgent and short work may use the burst.
func limitFor(t *ticket, share fairqueue.Share) int {
	if t.class == request.Long {
		return share.Limit
	}
	return share.Limit + share.Burst
}

// OverflowResult ends the offer of a request of this pool to another pool, which took it or not.
func (s *Scheduler) OverflowResult(pool, backer string, taken bool) {
	s.do(func() {
		p, ok := s.pools[pool]
		if !ok {
			return
		}
		p.overflow.record(s.cfg.Now(), taken)
		s.endAway(pool, backer)
	})
}

// endAway takes back that a request of the pool runs elsewhere.
func (s *Scheduler) endAway(pool, backer string) {
	p, ok := s.pools[pool]
	if !ok {
		return
	}
	if p.away[backer]--; p.away[backer] <= 0 {
		delete(p.away, backer)
	}
}

// PoolUsage is the state of a pool for gossip, metrics and reports.
type PoolUsage struct {
	Slots   int
	InUse   int
	Waiting int
	// Backers holds slots in use and waiting requests per backer.
	Backers map[string]Usage
	// EstimatedWait is the time until a request that arrives now gets a slot.
	EstimatedWait time.Duration
}

// Usage of one backer. Away counts requests of the pool that run in other pools.
type Usage struct{ InUse, Waiting, Overflowed int }

// Usage returns the state of all pools served here: those that this entry owns, and former ones in which its
// work still runs.
func (s *Scheduler) Usage() map[string]PoolUsage {
	usage := map[string]PoolUsage{}
	ok := s.ask(func() {
		now := s.cfg.Now()
		for name, p := range s.pools {
			if !p.owned && p.queue.InUse() == 0 && p.queue.Len() == 0 {
				continue
			}
			u := PoolUsage{Slots: p.slots, InUse: p.queue.InUse(), Waiting: p.queue.Len(), Backers: map[string]Usage{}, EstimatedWait: p.estimatedWait(now)}
			for backer, b := range p.queue.Usage() {
				u.Backers[backer] = Usage{InUse: b.InUse, Waiting: b.Waiting, Overflowed: p.away[backer]}
			}
			for backer, n := range p.away {
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

// QueueDemand returns the demand per queue in slots: the slots in use, and for each request that found no
// slot within the overflow time the slots that would start it within a second, which is its estimated run
// time in seconds, at most 1.
func (s *Scheduler) QueueDemand() map[string]float64 {
	demand := map[string]float64{}
	done := s.ask(func() {
		now := s.cfg.Now()
		for _, p := range s.pools {
			for _, run := range p.running {
				demand[run.ticket.wish.Request.Queue]++
			}
			for _, t := range p.waiting {
				if now.Sub(t.wish.Request.Received) > overflowAfter {
					demand[t.wish.Request.Queue] += min(t.estimate.Mean.Seconds(), 1)
				}
			}
		}
	})
	if !done {
		return map[string]float64{}
	}
	return demand
}
