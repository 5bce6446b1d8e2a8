package checker

import (
	"time"

	"samphirepoint/load"
	"samphirepoint/standin/workerd"
)

// leavingSpans joins the spans that the harness knows with those of the journals.
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

// leaving judges P6: a worker receives no new work more than leavingBound after it began to leave. Work that
// arrives and is refused counts as well.
func (c *check) leaving() {
	spans := c.leavingSpans()
	for _, list := range spans {
		for range list {
			c.saw(P6)
		}
	}
	for _, e := range c.index.events {
		if e.Kind != workerd.Start && e.Kind != workerd.Refused {
			continue
		}
		for _, s := range spans[e.Worker] {
			if after := e.Time.Sub(s.From); s.contains(e.Time) && after > leavingBound {
				c.violate(P6, e.Time, []string{describeEvent(e)}, "worker %s received work %s after it began to leave", e.Worker, after.Round(time.Millisecond))
				break
			}
		}
	}
}

// shutdowns judges P7: no request in flight at an entry is cut off by its graceful shutdown, and no work is lost by the
// reboot of a worker that was leaving.
func (c *check) shutdowns() {
	for _, s := range c.in.Shutdowns {
		for i := range c.in.Records {
			r := &c.in.Records[i]
			if !c.inFlight(r, s) {
				continue
			}
			c.saw(P7)
			cut := r.Entry == s.Entry && r.ErrKind == load.ErrBroken
			unclear := s.Exclusive && r.OutcomeUnknown() && !r.Cancelled
			if cut || unclear {
				c.violate(P7, r.Ended, []string{describeRecord(r)}, "request %s in flight was cut off by the shutdown of entry %s at %s",
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
			c.saw(P7)
			if ex.end.Outcome == workerd.Lost {
				c.violate(P7, ex.end.Time, describeAll([]*execution{ex}), "worker %s lost work in its planned reboot", ex.start.Worker)
			}
		}
	}
}

// inFlight says whether a request was under way when the shutdown began, or was accepted during it. A new connection that
// finds nobody listening is not in flight. At other entries only requests whose outcome may depend on this one count.
func (c *check) inFlight(r *load.Record, s Shutdown) bool {
	if r.Sent.IsZero() || r.Sent.After(s.End) || !r.Ended.After(s.Begin) {
		return false
	}
	if r.Entry != s.Entry {
		return s.Exclusive && r.Sent.Before(s.Begin)
	}
	return r.Sent.Before(s.Begin) || len(c.index.starts(r.RequestID, r.AnswerID)) > 0
}
