package checker

import (
	"time"

	"samphirepoint/load"
	"samphirepoint/standin/workerd"
)

// leavingSpans merges the spans that the harness recorded with those of the journals, by worker.
func (c *check) leavingSpans() map[string][]LeavingSpan {
	spans := map[string][]LeavingSpan{}
	for _, s := range c.in.Leaving {
		spans[s.Worker] = append(spans[s.Worker], s)
	}
	open := map[string]time.Time{}
	for _, e := range c.index.events {
		switch e.Kind {
		case workerd.Leaving:
			open[e.Worker] = e.Time
		case workerd.Available:
			if from, ok := open[e.Worker]; ok {
				spans[e.Worker] = append(spans[e.Worker], LeavingSpan{Worker: e.Worker, From: from, To: e.Time})
				delete(open, e.Worker)
			}
		}
	}
	for w, from := range open {
		spans[w] = append(spans[w], LeavingSpan{Worker: w, From: from})
	}
	return spans
}

func (s LeavingSpan) contains(t time.Time) bool {
	return !t.Before(s.From) && (s.To.IsZero() || t.Before(s.To))
}

// checkLeaving checks P6: a worker receives no new work more than leavingBound after it started to leave. Work that
// arrives and is rejected counts as well.
func (c *check) checkLeaving() {
	spans := c.leavingSpans()
	for _, list := range spans {
		for range list {
			c.countCheck(P6)
		}
	}
	for _, e := range c.index.events {
		if e.Kind != workerd.Start && e.Kind != workerd.Refused {
			continue
		}
		for _, s := range spans[e.Worker] {
			if after := e.Time.Sub(s.From); s.contains(e.Time) && after > leavingBound {
				c.addViolation(P6, e.Time, []string{describeEvent(e)}, "worker %s received work %s after it began to leave", e.Worker, after.Round(time.Millisecond))
				break
			}
		}
	}
}

// checkShutdowns checks P7: the graceful shutdown of an entry interrupts no request in flight, and the reboot of a worker
// that was leaving loses no work.
func (c *check) checkShutdowns() {
	for _, s := range c.in.Shutdowns {
		for i := range c.in.Records {
			r := &c.in.Records[i]
			if !c.inFlight(r, s) {
				continue
			}
			c.countCheck(P7)
			interrupted := r.Entry == s.Entry && r.ErrKind == load.ErrBroken
			outcomeLost := s.Exclusive && r.OutcomeUnknown() && !r.Cancelled
			if interrupted || outcomeLost {
				c.addViolation(P7, r.Ended, []string{describeRecord(r)}, "request %s in flight was interrupted by the shutdown of entry %s at %s",
					r.RequestID, s.Entry, s.Begin.Format(timeFormat))
			}
		}
	}
	spans := c.leavingSpans()
	for _, ex := range c.index.executions {
		if ex.end.Time.IsZero() {
			continue
		}
		for _, s := range spans[ex.start.Worker] {
			if !s.contains(ex.end.Time) {
				continue
			}
			c.countCheck(P7)
			if ex.end.Outcome == workerd.Lost {
				c.addViolation(P7, ex.end.Time, describeAll([]*execution{ex}), "worker %s lost work in its planned reboot", ex.start.Worker)
			}
		}
	}
}

// inFlight reports whether a request was in flight when the shutdown began, or was accepted during it. A new connection
// that is refused because nothing listens is not in flight. At other entries only requests whose outcome may depend on
// the entry that shuts down count.
func (c *check) inFlight(r *load.Record, s Shutdown) bool {
	if r.Sent.IsZero() || r.Sent.After(s.End) || !r.Ended.After(s.Begin) {
		return false
	}
	if r.Entry != s.Entry {
		return s.Exclusive && r.Sent.Before(s.Begin)
	}
	return r.Sent.Before(s.Begin) || len(c.index.starts(r.RequestID, r.AnswerID)) > 0
}
