package peer

import (
	"cmp"
	"slices"
	"time"

	"samphirepoint/peer/peerpb"
)

const (
	// leavingRetention is the time for which a worker counts as leaving after the update; by then the fleet rows or the
	// instance list show it.
	leavingRetention = time.Minute
	// leavingGossipAge is the age up to which an update is passed on. Each pair of 8 entries exchanges gossip every
	// 1.75 s on average, so every entry has received it by then.
	leavingGossipAge = 6 * time.Second
	// maxLeavingPerMessage bounds the updates in one message; a failing zone makes hundreds of workers unavailable at once.
	maxLeavingPerMessage = 20
)

// leavingTable maps workers to the time at which they were found to be leaving.
type leavingTable map[string]time.Time

// clearedTable maps workers to the time at which they reported that they accept work again. Older updates that they are
// leaving, which other entries may still pass on, are ignored.
type clearedTable map[string]time.Time

// expire removes rows that are older than any update that is still passed on.
func (t clearedTable) expire(now time.Time) {
	for worker, at := range t {
		if now.Sub(at) >= leavingRetention {
			delete(t, worker)
		}
	}
}

// add adds a worker and reports whether that changed the table. A repeated report does not renew the time, otherwise it
// would be passed on for as long as the worker rejects work.
func (t leavingTable) add(worker string, since, now time.Time) bool {
	if now.Sub(since) >= leavingRetention {
		return false
	}
	if old, ok := t[worker]; ok && now.Sub(old) < leavingRetention {
		return false
	}
	t[worker] = since
	return true
}

// expire removes workers whose retention has ended.
func (t leavingTable) expire(now time.Time) {
	for worker, since := range t {
		if now.Sub(since) >= leavingRetention {
			delete(t, worker)
		}
	}
}

// appendTo adds the most recent updates to a message.
func (t leavingTable) appendTo(view *peerpb.View, now time.Time) {
	for worker, since := range t {
		if age := now.Sub(since); age < leavingGossipAge {
			view.Leaving = append(view.Leaving, &peerpb.Leaving{Worker: worker, AgeMs: int32(max(age.Milliseconds(), 0))})
		}
	}
	slices.SortFunc(view.Leaving, func(a, b *peerpb.Leaving) int {
		return cmp.Or(cmp.Compare(a.AgeMs, b.AgeMs), cmp.Compare(a.Worker, b.Worker))
	})
	view.Leaving = view.Leaving[:min(len(view.Leaving), maxLeavingPerMessage)]
}

// MarkLeaving records that a worker accepts no new work and passes this on to the other entries.
func (g *Gossip) MarkLeaving(worker string) {
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.markLeaving(worker, now, now)
}

func (g *Gossip) markLeaving(worker string, since, now time.Time) {
	if worker == "" || since.Before(g.cleared[worker]) || !g.leaving.add(worker, since, now) {
		return
	}
	g.publishLeaving()
}

// ClearLeaving removes the mark that a worker is leaving, because the worker reported at time at that it accepts work.
// Later updates mark it again.
func (g *Gossip) ClearLeaving(worker string, at time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	since, ok := g.leaving[worker]
	if !ok || !since.Before(at) {
		return
	}
	delete(g.leaving, worker)
	g.cleared[worker] = at
	g.publishLeaving()
}

// publishLeaving replaces the copy of the table that is read without the lock.
func (g *Gossip) publishLeaving() {
	published := make(leavingTable, len(g.leaving))
	for w, t := range g.leaving {
		published[w] = t
	}
	g.publishedLeaving.Store(&published)
}

// Leaving reports whether a worker was marked as leaving within the last minute.
func (g *Gossip) Leaving(worker string) bool {
	published := g.publishedLeaving.Load()
	if published == nil {
		return false
	}
	since, ok := (*published)[worker]
	return ok && g.now().Sub(since) < leavingRetention
}
