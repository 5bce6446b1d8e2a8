package dispatch

import (
	"time"

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
	want := placement.Want{Zone: s.cfg.Zone, Exclude: t.wish.Exclude, NoProbe: !t.wish.Request.Idempotent}
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
	if m.state.Ejected {
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
	if r.Outcome != NotSent {
		p.finishes.add(now)
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
	var changes []outlier.Change
	report := func(result outlier.Result) {
		changes = p.outliers.Report(now, m.state.ID, run.ticket.wish.Request.ID, result)
	}
	switch r.Outcome {
	case Succeeded:
		report(outlier.OK)
		if mean := run.ticket.estimate.Mean; mean > 0 {
			m.observe(float64(r.Took) / float64(mean))
		}
	case Failed, Broken:
		report(outlier.Failed)
	case TimedOut:
		report(outlier.Timeout)
	case Refused:
		report(outlier.Refused)
		m.state.Foreign, m.state.ForeignUntil = max(m.state.Slots-m.state.InUse, 1), now.Add(foreignPeriod)
	case Leaving:
		m.state.Leaving = true
		p.refresh(now)
	}
	for _, c := range changes {
		s.cfg.Log.Warn().Str("pool", p.name).Str("worker", c.Worker).Bool("ejected", c.State.Ejected).Bool("suspect", c.State.Suspect).Str("reason", c.Reason).Msg("worker changed state")
	}
	if len(changes) > 0 {
		p.refresh(now)
	}
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
			t.ready <- result{err: overloaded(p.estimatedWait(now), "deadline passed while waiting for a slot")}
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

// spill offers requests that waited long to the other pools of their queue.
func (s *Scheduler) spill(p *pool, now time.Time) {
	if now.Before(p.overflow.next) {
		return
	}
	left := p.overflow.batch
	for id, t := range p.waiting {
		if left == 0 {
			return
		}
		if !t.wish.MayOverflow || now.Sub(t.since) < overflowAfter {
			continue
		}
		left--
		p.queue.Remove(id)
		delete(p.waiting, id)
		t.ready <- result{err: verdict.Wrap(ErrOverflow, verdict.NotRun, 0)}
	}
}

// OverflowResult tells whether another pool took a request of this pool.
func (s *Scheduler) OverflowResult(pool string, taken bool) {
	s.do(func() {
		if p, ok := s.pools[pool]; ok {
			p.overflow.record(s.cfg.Now(), taken)
		}
	})
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

// Usage of one backer.
type Usage struct{ InUse, Waiting int }

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
				u.Backers[backer] = Usage{InUse: b.InUse, Waiting: b.Waiting}
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
