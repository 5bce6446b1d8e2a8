package report

import (
	"sort"
	"time"

	"samphirepoint/load"
	"samphirepoint/request"
)

// shortRun separates short from long work by the time it really ran, at the limit that the system uses.
const shortRun = request.ShortLimit

// waiting is the time from sending to the first start at a worker.
type waiting struct {
	pool     string
	from, to time.Time
	long     bool
}

// piece is a time in which the use of a pool does not change.
type piece struct {
	from                 time.Time
	capacity, busy, long int
	// oldestLong is the sending time of the long request that waits longest; zero if none waits.
	oldestLong time.Time
}

// waits returns the part of the wait that long work caused, and the whole wait.
//
// While a pool has no free slot, the wait is put down to long work in proportion to the slots that long work holds. While the
// pool has a free slot, the wait counts in full if long work that was sent earlier is waiting, since the short work then
// stands behind it in a queue; otherwise it does not count.
func waits(in Input, f *fleet) (blocking, whole Wait) {
	all, never := collectWaits(in, f)
	byPool := map[string][]waiting{}
	for _, w := range all {
		byPool[w.pool] = append(byPool[w.pool], w)
	}
	var behind, total []float64
	for _, pool := range f.sortedPools() {
		pieces := timeline(pool, f, byPool[pool])
		for _, w := range byPool[pool] {
			if !w.long {
				behind = append(behind, blocked(pieces, w).Seconds()*1000)
				total = append(total, w.to.Sub(w.from).Seconds()*1000)
			}
		}
	}
	return summarise(behind, never), summarise(total, never)
}

func summarise(ms []float64, never int) Wait {
	sort.Float64s(ms)
	w := Wait{Count: len(ms), P50: quantile(ms, 0.5), P99: quantile(ms, 0.99), NeverStarted: never}
	if len(ms) > 0 {
		above := len(ms) - sort.SearchFloat64s(ms, 1000.0000001)
		w.AboveSecond = float64(above) / float64(len(ms))
	}
	return w
}

// collectWaits joins the callers' records with the first start of each arrival: a caller that was rejected and
// repeats goes on waiting. Work that was expected to be short and never started is counted.
func collectWaits(in Input, f *fleet) (all []waiting, never int) {
	starts := map[string]work{}
	for _, list := range f.work {
		for _, w := range list {
			if known, ok := starts[w.requestID]; !ok || w.from.Before(known.from) {
				starts[w.requestID] = w
			}
		}
	}
	type submissions struct {
		first   *load.Record
		start   work
		started bool
	}
	arrivals := map[int]*submissions{}
	for i := range in.Records {
		r := &in.Records[i]
		a := arrivals[r.Arrival]
		if a == nil {
			a = &submissions{first: r}
			arrivals[r.Arrival] = a
		}
		for _, id := range []string{r.ID(), r.RequestID} {
			if w, ok := starts[id]; ok && (!a.started || w.from.Before(a.start.from)) {
				a.start, a.started = w, true
			}
		}
	}
	for _, a := range arrivals {
		r := a.first
		switch {
		case a.started:
			all = append(all, waiting{pool: a.start.pool, from: r.Sent, to: later(a.start.from, r.Sent),
				long: a.start.to.Sub(a.start.from) >= shortRun})
		case !r.Long && !r.Cancelled && r.ErrKind != load.ErrDropped:
			never++
		}
	}
	return all, never
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// change is a step in the use of a pool.
type change struct {
	at                   time.Time
	capacity, busy, long int
	longSent             time.Time // of a long request that begins (waits +1) or ends (-1) to wait
	waits                int
}

func timeline(pool string, f *fleet, waits []waiting) []piece {
	changes := poolChanges(pool, f)
	for _, w := range waits {
		if w.long && w.to.After(w.from) {
			changes = append(changes, change{at: w.from, longSent: w.from, waits: 1}, change{at: w.to, longSent: w.from, waits: -1})
		}
	}
	sort.SliceStable(changes, func(i, j int) bool { return changes[i].at.Before(changes[j].at) })
	var pieces []piece
	var now piece
	sent := map[time.Time]int{}
	for _, ch := range changes {
		now.from = ch.at
		now.capacity += ch.capacity
		now.busy += ch.busy
		now.long += ch.long
		if ch.waits != 0 {
			if sent[ch.longSent] += ch.waits; sent[ch.longSent] == 0 {
				delete(sent, ch.longSent)
			}
			now.oldestLong = oldest(sent)
		}
		pieces = append(pieces, now)
	}
	return pieces
}

func poolChanges(pool string, f *fleet) []change {
	var changes []change
	for _, m := range f.memberships {
		if m.pool == pool && m.serving {
			changes = append(changes, change{at: m.from, capacity: m.slots}, change{at: m.to, capacity: -m.slots})
		}
	}
	for _, list := range f.work {
		for _, w := range list {
			if w.pool != pool {
				continue
			}
			long := 0
			if w.to.Sub(w.from) >= shortRun {
				long = 1
			}
			changes = append(changes, change{at: w.from, busy: 1, long: long}, change{at: w.to, busy: -1, long: -long})
		}
	}
	return changes
}

func oldest(sent map[time.Time]int) time.Time {
	var first time.Time
	for t := range sent {
		if first.IsZero() || t.Before(first) {
			first = t
		}
	}
	return first
}

// blocked integrates the part of a wait that long work caused.
func blocked(pieces []piece, w waiting) time.Duration {
	i := sort.Search(len(pieces), func(i int) bool { return pieces[i].from.After(w.from) }) - 1
	var sum time.Duration
	for i = max(i, 0); i < len(pieces) && pieces[i].from.Before(w.to); i++ {
		end := w.to
		if i+1 < len(pieces) {
			end = pieces[i+1].from
		}
		sum += time.Duration(float64(overlap(pieces[i].from, end, w.from, w.to)) * pieces[i].part(w))
	}
	return sum
}

func (p piece) part(w waiting) float64 {
	switch {
	case p.busy > 0 && p.busy >= p.capacity:
		return float64(p.long) / float64(p.busy)
	case !p.oldestLong.IsZero() && p.oldestLong.Before(w.from):
		return 1
	}
	return 0
}
