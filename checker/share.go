package checker

import (
	"fmt"
	"sort"
	"time"
)

const (
	// shareWindow is long enough to average over about 50 turns of short work per slot.
	shareWindow = 5 * time.Second
	// shareStep is the distance of the points at which a window is observed.
	shareStep = 100 * time.Millisecond
	// backlogAge is the age from which a request counts as waiting; a forward and a dispatch take a few milliseconds.
	backlogAge = 100 * time.Millisecond
	// backlogPart of a window's points must show waiting work.
	backlogPart = 0.95
	// sharePart of the weighted share must be reached; run times are not known in advance, so single slots move late.
	sharePart = 0.5
	// shareSlack in slots keeps pools with few busy slots out of the judgement.
	shareSlack = 2.0
	// shortRun separates short from long work by the time it really took.
	shortRun = time.Second
)

// span is a time in which work of a backer waits for or holds a slot.
type span struct {
	backer   string
	from, to time.Time
	short    bool
}

// use is the mean over a window.
type use struct {
	held, heldShort, backlog float64
}

// shares judges P1: a backer with short work waiting during a whole window holds at least sharePart of its weighted
// share of the busy slots, unless it is at its limit.
func (c *check) shares() {
	if len(c.in.Shares) == 0 {
		return
	}
	held, waiting := c.spans()
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
			c.shareWindow(pool, from, measure(held[pool], waiting[pool], from), held)
		}
	}
}

// spans collects by pool the slots in use and the waiting short work that started in the end.
func (c *check) spans() (held, waiting map[string][]span) {
	held, waiting = map[string][]span{}, map[string][]span{}
	for _, ex := range c.index.executions {
		e, end := ex.start, ex.until(c.index.last)
		held[e.Pool] = append(held[e.Pool], span{backer: e.Backer, from: e.Time, to: end, short: end.Sub(e.Time) < shortRun})
	}
	for i := range c.in.Records {
		r := &c.in.Records[i]
		starts := c.index.starts(r.RequestID, r.AnswerID)
		if len(starts) == 0 {
			continue
		}
		first := starts[0]
		if first.until(c.index.last).Sub(first.start.Time) < shortRun {
			waiting[first.start.Pool] = append(waiting[first.start.Pool],
				span{backer: r.Backer, from: r.Sent.Add(backlogAge), to: first.start.Time, short: true})
		}
	}
	return held, waiting
}

func bounds(spans []span) (first, last time.Time) {
	for _, s := range spans {
		if s.to.After(s.from) && (first.IsZero() || s.from.Before(first)) {
			first = s.from
		}
		if s.to.After(last) {
			last = s.to
		}
	}
	return first, last
}

// measure averages the use of a pool per backer over the window that begins at from.
func measure(held, waiting []span, from time.Time) map[string]*use {
	to := from.Add(shareWindow)
	uses := map[string]*use{}
	of := func(backer string) *use {
		if uses[backer] == nil {
			uses[backer] = &use{}
		}
		return uses[backer]
	}
	for _, s := range held {
		if part := overlap(s.from, s.to, from, to).Seconds() / shareWindow.Seconds(); part > 0 {
			of(s.backer).held += part
			if s.short {
				of(s.backer).heldShort += part
			}
		}
	}
	points := int(shareWindow / shareStep)
	waits := map[string][]bool{}
	for _, s := range waiting {
		if !s.from.Before(to) || !s.to.After(from) {
			continue
		}
		if waits[s.backer] == nil {
			waits[s.backer] = make([]bool, points)
		}
		for i := range points {
			at := from.Add(time.Duration(i) * shareStep)
			if !at.Before(s.from) && at.Before(s.to) {
				waits[s.backer][i] = true
			}
		}
	}
	for backer, seen := range waits {
		n := 0
		for _, b := range seen {
			if b {
				n++
			}
		}
		of(backer).backlog = float64(n) / float64(points)
	}
	return uses
}

func (c *check) shareWindow(pool string, from time.Time, uses map[string]*use, held map[string][]span) {
	var weights, all, short float64
	for backer, u := range uses {
		weights += c.weight(backer)
		all += u.held
		short += u.heldShort
	}
	for backer, u := range uses {
		if u.backlog < backlogPart || len(uses) < 2 {
			continue
		}
		c.saw(P1)
		part := c.weight(backer) / weights
		if u.held >= sharePart*part*all || u.heldShort >= sharePart*part*short || part*all-u.held < shareSlack {
			continue
		}
		if limit := c.in.Shares[backer].Limit; limit > 0 && total(held, backer, from) >= float64(limit)-1 {
			continue
		}
		c.violate(P1, from, describeUses(uses), "pool %s: backer %s waited for %s with %.1f of %.1f busy slots, its share is %.1f",
			pool, backer, shareWindow, u.held, all, part*all)
	}
}

func (c *check) weight(backer string) float64 {
	if s, ok := c.in.Shares[backer]; ok && s.Weight > 0 {
		return s.Weight
	}
	return 1
}

// total is the mean number of slots that a backer holds in all pools.
func total(held map[string][]span, backer string, from time.Time) float64 {
	sum := 0.0
	for _, spans := range held {
		for _, s := range spans {
			if s.backer == backer {
				sum += overlap(s.from, s.to, from, from.Add(shareWindow)).Seconds() / shareWindow.Seconds()
			}
		}
	}
	return sum
}

func overlap(a, b, from, to time.Time) time.Duration {
	if a.Before(from) {
		a = from
	}
	if b.After(to) {
		b = to
	}
	return max(b.Sub(a), 0)
}

func describeUses(uses map[string]*use) []string {
	var lines []string
	for b, u := range uses {
		lines = append(lines, fmt.Sprintf("backer %s: %.1f slots, %.1f of them short, waiting in %.0f %% of the window", b, u.held, u.heldShort, u.backlog*100))
	}
	sort.Strings(lines)
	return lines
}
