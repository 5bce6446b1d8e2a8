package peer

import (
	"cmp"
	"slices"
	"time"

	"samphirepoint/peer/peerpb"
)

const (
	// leavingKept is the time for which a worker counts as leaving after the news; by then the fleet rows or the
	// instance list show it.
	leavingKept = time.Minute
	// leavingTold is the age up to which the news is passed on. Each pair of 8 entries meets every 1.75 s on
	// average, so everybody has heard it by then.
	leavingTold = 6 * time.Second
	// leavingPerMessage bounds the news in one message; a failing zone takes out hundreds of workers at once.
	leavingPerMessage = 20
)

// leavingTable maps workers to the time at which they were found to be leaving.
type leavingTable map[string]time.Time

// backTable maps workers to the time at which they said that they take work again. Older news that they are leaving, which
// other entries may still pass on, does not count.
type backTable map[string]time.Time

// expire drops entries older than any news that is still passed on.
func (t backTable) expire(now time.Time) {
	for worker, at := range t {
		if now.Sub(at) >= leavingKept {
			delete(t, worker)
		}
	}
}

// note adds a worker and reports whether that is news. A repeat does not make the news younger, otherwise it would
// be passed on for as long as the worker refuses work.
func (t leavingTable) note(worker string, since, now time.Time) bool {
	if now.Sub(since) >= leavingKept {
		return false
	}
	if old, ok := t[worker]; ok && now.Sub(old) < leavingKept {
		return false
	}
	t[worker] = since
	return true
}

// expire drops old news.
func (t leavingTable) expire(now time.Time) {
	for worker, since := range t {
		if now.Sub(since) >= leavingKept {
			delete(t, worker)
		}
	}
}

// fill adds the youngest news to a message.
func (t leavingTable) fill(view *peerpb.View, now time.Time) {
	for worker, since := range t {
		if age := now.Sub(since); age < leavingTold {
			view.Leaving = append(view.Leaving, &peerpb.Leaving{Worker: worker, AgeMs: int32(max(age.Milliseconds(), 0))})
		}
	}
	slices.SortFunc(view.Leaving, func(a, b *peerpb.Leaving) int {
		return cmp.Or(cmp.Compare(a.AgeMs, b.AgeMs), cmp.Compare(a.Worker, b.Worker))
	})
	view.Leaving = view.Leaving[:min(len(view.Leaving), leavingPerMessage)]
}

// MarkLeaving spreads the news that a worker takes no new work.
func (g *Gossip) MarkLeaving(worker string) {
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.noteLeaving(worker, now, now)
}

func (g *Gossip) noteLeaving(worker string, since, now time.Time) {
	if worker == "" || since.Before(g.back[worker]) || !g.leaving.note(worker, since, now) {
		return
	}
	g.showLeaving()
}

// ClearLeaving takes back the news that a worker is leaving, because the worker said at time at that it takes work. Later
// news counts again.
func (g *Gossip) ClearLeaving(worker string, at time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	since, ok := g.leaving[worker]
	if !ok || !since.Before(at) {
		return
	}
	delete(g.leaving, worker)
	g.back[worker] = at
	g.showLeaving()
}

// showLeaving copies the table for readers without the lock.
func (g *Gossip) showLeaving() {
	shown := make(leavingTable, len(g.leaving))
	for w, t := range g.leaving {
		shown[w] = t
	}
	g.leavingShown.Store(&shown)
}

// Leaving reports whether a worker was found to be leaving within the last minute.
func (g *Gossip) Leaving(worker string) bool {
	shown := g.leavingShown.Load()
	if shown == nil {
		return false
	}
	since, ok := (*shown)[worker]
	return ok && g.now().Sub(since) < leavingKept
}
