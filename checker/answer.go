package checker

import (
	"fmt"

	"samphirepoint/load"
	"samphirepoint/standin/workerd"
)

// checkAnswers checks P3: a response that the caller accepts as a success is complete, belongs to the caller's own
// request and comes from a run that a worker finished; and the verdict "ran" is given only to work that started.
func (c *check) checkAnswers() {
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
			c.countCheck(P3)
			c.addViolation(P3, r.Ended, []string{describeRecord(r)}, "request %s: error answer with payload %s instead of %s", r.RequestID, r.Result.Payload, r.WantPayload)
		case r.OK():
			c.countCheck(P3)
			if fault := c.answerFault(r, byKey[r.Key]); fault != "" {
				c.addViolation(P3, r.Ended, []string{describeRecord(r)}, "request %s: %s", r.RequestID, fault)
			}
		case r.ErrKind == "" && r.Verdict == "ran" && !r.Replayed && len(c.in.Journal) > 0:
			c.countCheck(P3)
			if len(c.index.starts(r.RequestID, r.AnswerID)) == 0 {
				c.addViolation(P3, r.Ended, []string{describeRecord(r)}, "request %s has the verdict ran but no worker started it", r.RequestID)
			}
		}
	}
}

// answerFault describes what is wrong with a response that the caller accepts as a success; it is empty if nothing is.
func (c *check) answerFault(r *load.Record, ofKey map[string]bool) string {
	switch {
	case r.ClaimedHash != "" && r.ClaimedHash != r.Hash:
		return fmt.Sprintf("the answer's hash is %s, the header has %s", r.Hash, r.ClaimedHash)
	case r.Result == nil:
		return fmt.Sprintf("%d bytes that are not a complete answer of a worker", r.Bytes)
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
		return fmt.Sprintf("answer of run %s, which is in no worker's journal", r.Result.RunID)
	case ex.end.Outcome != workerd.Done:
		return fmt.Sprintf("answer of run %s, which ended as %q", r.Result.RunID, ex.end.Outcome)
	}
	return ""
}

// checkRejections checks P4: a request that was rejected with the verdict not-run never started at any worker, neither
// before nor after the rejection.
func (c *check) checkRejections() {
	for i := range c.in.Records {
		r := &c.in.Records[i]
		if r.ErrKind != "" || r.Verdict != "not-run" {
			continue
		}
		c.countCheck(P4)
		if starts := c.index.starts(r.RequestID, r.AnswerID); len(starts) > 0 {
			c.addViolation(P4, r.Ended, append([]string{describeRecord(r)}, describeAll(starts)...),
				"request %s was rejected with the verdict not-run but started %d times", r.RequestID, len(starts))
		}
	}
}

// workKey identifies non-idempotent work across all its submissions.
type workKey struct{ backer, queue, key string }

// checkAtMostOnce checks P5: work marked non-idempotent starts at most once per backer, queue and key. The caller's mark
// counts even if it was lost on the way to the worker.
func (c *check) checkAtMostOnce() {
	marked := map[string]workKey{} // by request id
	for i := range c.in.Records {
		if r := &c.in.Records[i]; !r.Idempotent {
			w := workKey{r.Backer, r.Queue, "key " + r.Key}
			marked[r.RequestID], marked[r.ID()] = w, w
		}
	}
	byWork := map[workKey][]*execution{}
	var order []workKey
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
		c.countCheck(P5)
		if runs := byWork[w]; len(runs) > 1 {
			c.addViolation(P5, runs[1].start.Time, describeAll(runs), "%s of backer %s in queue %s ran %d times", w.key, w.backer, w.queue, len(runs))
		}
	}
}

func nonIdempotent(e workerd.Event, marked map[string]workKey) (workKey, bool) {
	if w, ok := marked[e.RequestID]; ok {
		return w, true
	}
	switch {
	case e.Idempotent:
		return workKey{}, false
	case e.Key == "":
		return workKey{e.Backer, e.Queue, "request " + e.RequestID}, true
	}
	return workKey{e.Backer, e.Queue, "key " + e.Key}, true
}
