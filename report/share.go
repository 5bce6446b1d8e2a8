package report

import (
	"sort"
	"time"

	"samphirepoint/checker"
	"samphirepoint/load"
	"samphirepoint/standin/workerd"
)

// shareSampleInterval is the time between the samples of slots in use.
const shareSampleInterval = 100 * time.Millisecond

// BackerShare describes the slots that a backer holds while short work of it waits.
type BackerShare struct {
	Backer string  `json:"backer"`
	Weight float64 `json:"weight"`
	// BackloggedSeconds is the backlogged time, summed over the pools.
	BackloggedSeconds float64 `json:"backloggedSeconds"`
	// Slots is (slots held) / (weighted share of the busy slots), ShortSlots the same for slots held by short work; 1 is
	// exactly the weighted share. Both are 0 without backlog.
	Slots      float64 `json:"slots"`
	ShortSlots float64 `json:"shortSlots"`
}

// interval is the time in which a request waits for or holds a slot.
type interval struct {
	backer   string
	from, to time.Time
	short    bool
}

// Shares computes for each backer its share of the slots while it is backlogged. The weighted share of a pool at one time
// is weight / (weights of the backers that hold or wait there) x busy slots. Work that never started counts as waiting in
// the pool that has the name of its queue.
func Shares(in checker.Input) []BackerShare {
	held, waiting, first, last := intervals(in)
	sums := map[string]*shareSums{}
	for pool, waits := range waiting {
		for at := first; at.Before(last); at = at.Add(shareSampleInterval) {
			addSample(sums, in.Shares, held[pool], waits, at)
		}
	}
	var list []BackerShare
	for backer, share := range in.Shares {
		b := BackerShare{Backer: backer, Weight: share.Weight}
		if s := sums[backer]; s != nil {
			b.BackloggedSeconds = float64(s.samples) * shareSampleInterval.Seconds()
			b.Slots, b.ShortSlots = ratio(s.held, s.fair), ratio(s.heldShort, s.fairShort)
		}
		list = append(list, b)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Backer < list[j].Backer })
	return list
}

type shareSums struct {
	samples                          int
	held, fair, heldShort, fairShort float64
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

func addSample(sums map[string]*shareSums, shares map[string]checker.Share, held, waits []interval, at time.Time) {
	backlogged, active := map[string]bool{}, map[string]bool{}
	for _, w := range waits {
		if w.contains(at) {
			backlogged[w.backer], active[w.backer] = true, true
		}
	}
	if len(backlogged) == 0 {
		return
	}
	all, short := map[string]float64{}, map[string]float64{}
	var busy, busyShort, weights float64
	for _, h := range held {
		if !h.contains(at) {
			continue
		}
		active[h.backer] = true
		all[h.backer]++
		busy++
		if h.short {
			short[h.backer]++
			busyShort++
		}
	}
	for b := range active {
		weights += shares[b].Weight
	}
	for b := range backlogged {
		s := sums[b]
		if s == nil {
			s = &shareSums{}
			sums[b] = s
		}
		fraction := ratio(shares[b].Weight, weights)
		s.samples++
		s.held, s.fair = s.held+all[b], s.fair+fraction*busy
		s.heldShort, s.fairShort = s.heldShort+short[b], s.fairShort+fraction*busyShort
	}
}

func (i interval) contains(at time.Time) bool { return !at.Before(i.from) && at.Before(i.to) }

// intervals returns, by pool, the slots in use and the waits of short work, and the times of the first and the last
// submission of short work.
func intervals(in checker.Input) (held, waiting map[string][]interval, first, last time.Time) {
	starts := firstStarts(in.Journal)
	waiting = map[string][]interval{}
	for i := range in.Records {
		r := &in.Records[i]
		if r.Long || r.ErrKind == load.ErrDropped {
			continue
		}
		if first.IsZero() || r.Sent.Before(first) {
			first = r.Sent
		}
		last = later(last, r.Sent)
		pool, end := r.Queue, r.Ended
		if e, ok := starts[r.ID()]; ok {
			pool, end = e.Pool, e.Time
		}
		if from := r.Sent.Add(checker.MinBacklogAge); end.After(from) {
			waiting[pool] = append(waiting[pool], interval{r.Backer, from, end, true})
		}
	}
	return heldIntervals(in.Journal), waiting, first, last
}

// heldIntervals returns, by pool, the slots in use. A run without an end lasts until the end of the journal.
func heldIntervals(journal []workerd.Event) map[string][]interval {
	ends := map[string]time.Time{}
	var until time.Time
	for _, e := range journal {
		if e.Kind == workerd.End {
			ends[e.RunID] = e.Time
		}
		until = later(until, e.Time)
	}
	held := map[string][]interval{}
	for _, e := range journal {
		if e.Kind != workerd.Start {
			continue
		}
		end, ok := ends[e.RunID]
		if !ok {
			end = until
		}
		held[e.Pool] = append(held[e.Pool], interval{e.Backer, e.Time, end, end.Sub(e.Time) < shortRunLimit})
	}
	return held
}

// firstStarts returns the first start of each request.
func firstStarts(journal []workerd.Event) map[string]workerd.Event {
	starts := map[string]workerd.Event{}
	for _, e := range journal {
		if e.Kind != workerd.Start {
			continue
		}
		if known, ok := starts[e.RequestID]; !ok || e.Time.Before(known.Time) {
			starts[e.RequestID] = e
		}
	}
	return starts
}
