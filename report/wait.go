package report

import (
	"sort"
	"time"

	"samphirepoint/checker"
	"samphirepoint/load"
	"samphirepoint/request"
)

// shortRunLimit separates short from long work by its measured run time, with the limit that the system uses.
const shortRunLimit = request.ShortLimit

// waitInterval is the time from sending a request to its first start at a worker.
type waitInterval struct {
	pool     string
	from, to time.Time
	long     bool
}

// segment is an interval, until the next segment begins, in which the slot usage of a pool does not change.
type segment struct {
	from                 time.Time
	capacity, busy, long int
	// oldestLong is the sending time of the long request that has waited longest; zero if none waits.
	oldestLong time.Time
}

// measureWaits returns the part of the wait of short work that long work caused, and the whole wait.
//
// While a pool has no free slot, the wait is attributed to long work in proportion to the slots that long work holds.
// While the pool has a free slot, the wait is attributed in full if long work that was sent earlier is waiting, since the
// short work is then queued behind it; otherwise it is not attributed.
func measureWaits(in Input, f *fleetHistory) (blocking, whole Wait) {
	all, neverStarted := collectWaits(in, f)
	byPool := map[string][]waitInterval{}
	for _, w := range all {
		byPool[w.pool] = append(byPool[w.pool], w)
	}
	var blockedMs, totalMs []float64
	for _, pool := range f.sortedPools() {
		segments := timeline(pool, f, byPool[pool])
		for _, w := range byPool[pool] {
			if !w.long {
				blockedMs = append(blockedMs, blockedTime(segments, w).Seconds()*1000)
				totalMs = append(totalMs, w.to.Sub(w.from).Seconds()*1000)
			}
		}
	}
	return summarise(blockedMs, neverStarted), summarise(totalMs, neverStarted)
}

func summarise(ms []float64, neverStarted int) Wait {
	sort.Float64s(ms)
	w := Wait{Count: len(ms), P50: quantile(ms, 0.5), P99: quantile(ms, 0.99), NeverStarted: neverStarted}
	if len(ms) > 0 {
		above := len(ms) - sort.SearchFloat64s(ms, 1000.0000001)
		w.AboveSecond = float64(above) / float64(len(ms))
	}
	return w
}

// collectWaits joins the callers' records with the first start of each arrival: a caller that was rejected and resubmits
// is still waiting. neverStarted counts the work that was expected to be short and never started.
func collectWaits(in Input, f *fleetHistory) (all []waitInterval, neverStarted int) {
	starts := map[string]execution{}
	for _, list := range f.executions {
		for _, w := range list {
			if known, ok := starts[w.requestID]; !ok || w.from.Before(known.from) {
				starts[w.requestID] = w
			}
		}
	}
	type submissions struct {
		first   *load.Record
		start   execution
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
			all = append(all, waitInterval{pool: a.start.pool, from: r.Sent, to: later(a.start.from, r.Sent),
				long: a.start.to.Sub(a.start.from) >= shortRunLimit})
		case !r.Long && !r.Cancelled && r.ErrKind != load.ErrDropped:
			neverStarted++
		}
	}
	return all, neverStarted
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// usageChange is a change of the slot usage of a pool.
type usageChange struct {
	at                   time.Time
	capacity, busy, long int
	longSent             time.Time // sending time of a long request that begins (waits +1) or stops (waits -1) waiting
	waits                int
}

// timeline returns the segments of a pool in order of time.
func timeline(pool string, f *fleetHistory, waits []waitInterval) []segment {
	changes := usageChanges(pool, f)
	for _, w := range waits {
		if w.long && w.to.After(w.from) {
			changes = append(changes, usageChange{at: w.from, longSent: w.from, waits: 1}, usageChange{at: w.to, longSent: w.from, waits: -1})
		}
	}
	sort.SliceStable(changes, func(i, j int) bool { return changes[i].at.Before(changes[j].at) })
	var segments []segment
	var current segment
	sent := map[time.Time]int{}
	for _, ch := range changes {
		current.from = ch.at
		current.capacity += ch.capacity
		current.busy += ch.busy
		current.long += ch.long
		if ch.waits != 0 {
			if sent[ch.longSent] += ch.waits; sent[ch.longSent] == 0 {
				delete(sent, ch.longSent)
			}
			current.oldestLong = oldest(sent)
		}
		segments = append(segments, current)
	}
	return segments
}

func usageChanges(pool string, f *fleetHistory) []usageChange {
	var changes []usageChange
	for _, m := range f.memberships {
		if m.pool == pool && m.serving {
			changes = append(changes, usageChange{at: m.from, capacity: m.slots}, usageChange{at: m.to, capacity: -m.slots})
		}
	}
	for _, list := range f.executions {
		for _, w := range list {
			if w.pool != pool {
				continue
			}
			long := 0
			if w.to.Sub(w.from) >= shortRunLimit {
				long = 1
			}
			changes = append(changes, usageChange{at: w.from, busy: 1, long: long}, usageChange{at: w.to, busy: -1, long: -long})
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

// blockedTime integrates the part of a wait that long work caused over the segments of its pool.
func blockedTime(segments []segment, w waitInterval) time.Duration {
	i := sort.Search(len(segments), func(i int) bool { return segments[i].from.After(w.from) }) - 1
	var sum time.Duration
	for i = max(i, 0); i < len(segments) && segments[i].from.Before(w.to); i++ {
		end := w.to
		if i+1 < len(segments) {
			end = segments[i+1].from
		}
		sum += time.Duration(float64(checker.Overlap(segments[i].from, end, w.from, w.to)) * segments[i].blockedFraction(w))
	}
	return sum
}

// blockedFraction returns the fraction, 0 to 1, of w's wait within the segment that is attributed to long work.
func (s segment) blockedFraction(w waitInterval) float64 {
	switch {
	case s.busy > 0 && s.busy >= s.capacity:
		return float64(s.long) / float64(s.busy)
	case !s.oldestLong.IsZero() && s.oldestLong.Before(w.from):
		return 1
	}
	return 0
}
