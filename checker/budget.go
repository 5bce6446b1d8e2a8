package checker

import (
	"fmt"
	"sort"
	"time"
)

// rowState holds the latest committed state of each instance row, by instance. Samples must be applied in order of commit.
type rowState map[string]PoolSample

func (s rowState) apply(p PoolSample) (before PoolSample, known bool) {
	before, known = s[p.Instance]
	if p.Deleted {
		delete(s, p.Instance)
	} else {
		s[p.Instance] = p
	}
	return before, known
}

func (s rowState) unavailable(pool string) []PoolSample {
	var list []PoolSample
	for _, p := range s {
		if p.Pool == pool && p.State != "serving" {
			list = append(list, p)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Instance < list[j].Instance })
	return list
}

// checkBudgets checks P1: after each planned step that makes an instance unavailable, the number of unavailable
// instances, failed ones included, is within the budget. Failures alone may exceed it.
func (c *check) checkBudgets() {
	state := rowState{}
	for _, p := range c.in.Pools {
		before, known := state.apply(p)
		planned := p.State == "draining" || p.State == "rebooting"
		if p.Deleted || !known || before.State != "serving" || !planned {
			continue
		}
		budget, ok := c.budgetAt(p.Pool, p.Time)
		if !ok {
			continue
		}
		c.countCheck(P1)
		unavailable := state.unavailable(p.Pool)
		if len(unavailable) <= budget {
			continue
		}
		var lines []string
		for _, o := range unavailable {
			lines = append(lines, fmt.Sprintf("%s instance %s is %s", o.Time.Format(timeFormat), o.Instance, o.State))
		}
		c.addViolation(P1, p.Time, lines, "pool %s: %d instances unavailable, budget %d, after %s became %s", p.Pool, len(unavailable), budget, p.Instance, p.State)
	}
}

func (c *check) budgetAt(pool string, t time.Time) (int, bool) {
	budget, found, from := 0, false, time.Time{}
	for _, b := range c.in.Budgets {
		if b.Pool == pool && !b.From.After(t) && (!found || !b.From.Before(from)) {
			budget, found, from = b.MaxUnavailable, true, b.From
		}
	}
	return budget, found
}
