package checker

import (
	"fmt"
	"sort"
	"time"
)

const (
	// shareWindow is long enough to average over about 50 consecutive runs of short work per slot.
	shareWindow = 5 * time.Second
	// shareSampleInterval is the time between the points at which a window is sampled.
	shareSampleInterval = 100 * time.Millisecond
	// MinBacklogAge is the age from which a request counts as waiting; a forward and a dispatch take a few milliseconds.
	MinBacklogAge = 100 * time.Millisecond
	// minBacklogFraction is the part of a window's sample points at which work must wait for the window to count.
	minBacklogFraction = 0.95
	// minShareFraction is the part of the weighted share that must be reached; run times are not known in advance, so
	// a slot may pass to another backer late.
	minShareFraction = 0.5
	// minShareDeficit, in slots, is the smallest shortfall that counts; it excludes pools with few busy slots.
	minShareDeficit = 2.0
	// shortRunLimit separates short from long work by its measured run time.
	shortRunLimit = time.Second
)

// interval is an interval in which work of a backer waits for or holds a slot.
type interval struct {
	backer   string
	from, to time.Time
	short    bool
}

// usage holds means over a window: slots held, slots held by short work, and the part of the window with a backlog.
type usage struct {
	held, heldShort, backlog float64
}

// checkShares checks P1: a backer with short work waiting during a whole window holds at least minShareFraction of its
// weighted share of the busy slots, unless it is at its limit.
func (c *check) checkShares() {
	if len(c.in.Shares) == 0 {
		return
	}
	held, waiting := c.intervals()
	pools := make([]string, 0, len(held))
	for pool := range held {
		pools = append(pools, pool)
	}
	sort.Strings(pools)
	for _, pool := range pools {
		if len(waiting[pool]) == 0 {
			continue
		}
		first, last := bounds(waiting[pool])
		if first.IsZero() {
			continue // no request of the pool waited long enough to count
		}
		for from := first; from.Before(last); from = from.Add(shareWindow) {
			c.checkShareWindow(pool, from, measure(held[pool], waiting[pool], from), held)
		}
	}
}

// intervals returns, by pool, the slots in use and the waits of short work that eventually started.
func (c *check) intervals() (held, waiting map[string][]interval) {
	held, waiting = map[string][]interval{}, map[string][]interval{}
	for _, ex := range c.index.executions {
		e, end := ex.start, ex.until(c.index.last)
		held[e.Pool] = append(held[e.Pool], interval{backer: e.Backer, from: e.Time, to: end, short: end.Sub(e.Time) < shortRunLimit})
	}
	for i := range c.in.Records {
		r := &c.in.Records[i]
		starts := c.index.starts(r.RequestID, r.AnswerID)
		if len(starts) == 0 {
			continue
		}
		first := starts[0]
		if first.until(c.index.last).Sub(first.start.Time) < shortRunLimit {
			waiting[first.start.Pool] = append(waiting[first.start.Pool],
				interval{backer: r.Backer, from: r.Sent.Add(MinBacklogAge), to: first.start.Time, short: true})
		}
	}
	return held, waiting
}

func bounds(intervals []interval) (first, last time.Time) {
	for _, s := range intervals {
		if s.to.After(s.from) && (first.IsZero() || s.from.Before(first)) {
			first = s.from
		}
		if s.to.After(last) {
			last = s.to
		}
	}
	return first, last
}

// measure averages the usage of a pool per backer over the window that starts at from.
func measure(held, waiting []interval, from time.Time) map[string]*usage {
	to := from.Add(shareWindow)
	usages := map[string]*usage{}
	usageOf := func(backer string) *usage {
		if usages[backer] == nil {
			usages[backer] = &usage{}
		}
		return usages[backer]
	}
	for _, s := range held {
		if part := Overlap(s.from, s.to, from, to).Seconds() / shareWindow.Seconds(); part > 0 {
			usageOf(s.backer).held += part
			if s.short {
				usageOf(s.backer).heldShort += part
			}
		}
	}
	for backer, fraction := range backlogFractions(waiting, from) {
		usageOf(backer).backlog = fraction
	}
	return usages
}

// backlogFractions returns for each backer the part of the window's sample points at which work of it waits.
func backlogFractions(waiting []interval, from time.Time) map[string]float64 {
	to := from.Add(shareWindow)
	points := int(shareWindow / shareSampleInterval)
	waits := map[string][]bool{}
	for _, s := range waiting {
		if !s.from.Before(to) || !s.to.After(from) {
			continue
		}
		if waits[s.backer] == nil {
			waits[s.backer] = make([]bool, points)
		}
		for i := range points {
			at := from.Add(time.Duration(i) * shareSampleInterval)
			if !at.Before(s.from) && at.Before(s.to) {
				waits[s.backer][i] = true
			}
		}
	}
	fractions := map[string]float64{}
	for backer, sampled := range waits {
		n := 0
		for _, b := range sampled {
			if b {
				n++
			}
		}
		fractions[backer] = float64(n) / float64(points)
	}
	return fractions
}

func (c *check) checkShareWindow(pool string, from time.Time, usages map[string]*usage, held map[string][]interval) {
	var weights, all, short float64
	for backer, u := range usages {
		weights += c.weight(backer)
		all += u.held
		short += u.heldShort
	}
	for backer, u := range usages {
		if u.backlog < minBacklogFraction || len(usages) < 2 {
			continue
		}
		c.countCheck(P1)
		fraction := c.weight(backer) / weights
		if u.held >= minShareFraction*fraction*all || u.heldShort >= minShareFraction*fraction*short || fraction*all-u.held < minShareDeficit {
			continue
		}
		if limit := c.in.Shares[backer].Limit; limit > 0 && totalHeld(held, backer, from) >= float64(limit)-1 {
			continue
		}
		c.addViolation(P1, from, describeUsages(usages), "pool %s: backer %s waited for %s with %.1f of %.1f busy slots, its share is %.1f",
			pool, backer, shareWindow, u.held, all, fraction*all)
	}
}

func (c *check) weight(backer string) float64 {
	if s, ok := c.in.Shares[backer]; ok && s.Weight > 0 {
		return s.Weight
	}
	return 1
}

// totalHeld returns the mean number of slots that a backer holds in all pools over the window that starts at from.
func totalHeld(held map[string][]interval, backer string, from time.Time) float64 {
	sum := 0.0
	for _, intervals := range held {
		for _, s := range intervals {
			if s.backer == backer {
				sum += Overlap(s.from, s.to, from, from.Add(shareWindow)).Seconds() / shareWindow.Seconds()
			}
		}
	}
	return sum
}

// Overlap returns the length of the part of the interval from a to b that lies between from and to.
func Overlap(a, b, from, to time.Time) time.Duration {
	if a.Before(from) {
		a = from
	}
	if b.After(to) {
		b = to
	}
	return max(b.Sub(a), 0)
}

func describeUsages(usages map[string]*usage) []string {
	var lines []string
	for b, u := range usages {
		lines = append(lines, fmt.Sprintf("backer %s: %.1f slots, %.1f of them short, waiting in %.0f %% of the window", b, u.held, u.heldShort, u.backlog*100))
	}
	sort.Strings(lines)
	return lines
}
