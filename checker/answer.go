package checker

import (
	"fmt"

	"samphirepoint/load"
	"samphirepoint/standin/workerd"
)

// answers judges P3: what a caller takes for a good answer is whole, is the answer to its own work, and comes from a
// run that a worker finished; and "ran" is said only of work that started.
func (c *check) answers() {
	byKey := map[string]map[string]bool{} // request ids by key
	for i := range c.in.Records {
		r := &c.in.Records[i]
		if r.Key != "" {
			if byKey[r.Key] == nil {
				byKey[r.Key] = map[string]bool{}
			}
			byKey[r.Key][r.ID()] = true
			byKey[r.Key][r.RequestID] = true
		}
	}
	for i := range c.in.Records {
		r := &c.in.Records[i]
		switch {
		case !r.OK() && r.Result != nil && string(r.Result.Payload) != r.WantPayload:
			c.saw(P3)
			c.violate(P3, r.Ended, []string{describeRecord(r)}, "request %s: error answer with payload %s instead of %s", r.RequestID, r.Result.Payload, r.WantPayload)
		case r.OK():
			c.saw(P3)
			if what := c.wrongAnswer(r, byKey[r.Key]); what != "" {
				c.violate(P3, r.Ended, []string{describeRecord(r)}, "request %s: %s", r.RequestID, what)
			}
		case r.ErrKind == "" && r.Verdict == "ran" && !r.Replayed && len(c.in.Journal) > 0:
			c.saw(P3)
			if len(c.index.starts(r.RequestID, r.AnswerID)) == 0 {
				c.violate(P3, r.Ended, []string{describeRecord(r)}, "request %s is reported as run but no worker started it", r.RequestID)
			}
		}
	}
}

// wrongAnswer says what is wrong with an answer that the caller takes for a good one, or "".
func (c *check) wrongAnswer(r *load.Record, ofKey map[string]bool) string {
	switch {
	case r.ClaimedHash != "" && r.ClaimedHash != r.Hash:
		return fmt.Sprintf("the answer's hash is %s, the header says %s", r.Hash, r.ClaimedHash)
	case r.Result == nil:
		return fmt.Sprintf("%d bytes that are no whole answer of a worker", r.Bytes)
	case string(r.Result.Payload) != r.WantPayload:
		return fmt.Sprintf("answer with payload %s instead of %s", r.Result.Payload, r.WantPayload)
	case r.ResultPadding != r.WantPadding:
		return fmt.Sprintf("answer with %d bytes of padding instead of %d", r.ResultPadding, r.WantPadding)
	case r.Verdict != "ran":
		return fmt.Sprintf("status %d with verdict %q", r.Status, r.Verdict)
	}
	if id := r.Result.RequestID; id != r.ID() && id != r.RequestID && !ofKey[id] {
		return fmt.Sprintf("answer to request %s", id)
	}
	if len(c.in.Journal) == 0 {
		return ""
	}
	ex := c.index.byRun[r.Result.RunID]
	switch {
	case ex == nil:
		return fmt.Sprintf("answer of run %s, which no worker knows", r.Result.RunID)
	case ex.end.Outcome != workerd.Done:
		return fmt.Sprintf("answer of run %s, which ended as %q", r.Result.RunID, ex.end.Outcome)
	}
	return ""
}

// rejections judges P4: a request that was rejected as not run did not start at any worker, before or after.
func (c *check) rejections() {
	for i := range c.in.Records {
		r := &c.in.Records[i]
		if r.ErrKind != "" || r.Verdict != "not-run" {
			continue
		}
		c.saw(P4)
		if starts := c.index.starts(r.RequestID, r.AnswerID); len(starts) > 0 {
			c.violate(P4, r.Ended, append([]string{describeRecord(r)}, describeAll(starts)...),
				"request %s was rejected as not run but started %d times", r.RequestID, len(starts))
		}
	}
}

// work identifies non-idempotent work over all submissions.
type work struct{ backer, queue, key string }

// atMostOnce judges P5: work marked non-idempotent starts at most once per backer, queue and key. The mark of the
// caller counts even if it was lost on the way to the worker.
func (c *check) atMostOnce() {
	marked := map[string]work{} // by request id
	for i := range c.in.Records {
		if r := &c.in.Records[i]; !r.Idempotent {
			w := work{r.Backer, r.Queue, "key " + r.Key}
			marked[r.RequestID], marked[r.ID()] = w, w
		}
	}
	byWork := map[work][]*execution{}
	var order []work
	for _, ex := range c.index.executions {
		w, ok := nonIdempotent(ex.start, marked)
		if !ok {
			continue
		}
		if byWork[w] == nil {
			order = append(order, w)
		}
		byWork[w] = append(byWork[w], ex)
	}
	for _, w := range order {
		c.saw(P5)
		if runs := byWork[w]; len(runs) > 1 {
			c.violate(P5, runs[1].start.Time, describeAll(runs), "%s of backer %s in queue %s ran %d times", w.key, w.backer, w.queue, len(runs))
		}
	}
}

func nonIdempotent(e workerd.Event, marked map[string]work) (work, bool) {
	if w, ok := marked[e.RequestID]; ok {
		return w, true
	}
	switch {
	case e.Idempotent:
		return work{}, false
	case e.Key == "":
		return work{e.Backer, e.Queue, "request " + e.RequestID}, true
	}
	return work{e.Backer, e.Queue, "key " + e.Key}, true
}
