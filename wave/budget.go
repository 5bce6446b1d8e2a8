package wave

import (
	"fmt"
	"math"
	"slices"

	"samphirepoint/instance"
	"samphirepoint/table"
)

// Unlimited is the limit of a pool that no queue uses.
const Unlimited = math.MaxInt

// Budget is the number of instances of a pool that may be unavailable at the same time.
type Budget struct {
	Limit int `json:"limit"`
	// Backer is the backer whose maxUnavailable determines Limit; empty if Limit is Unlimited.
	Backer string `json:"backer,omitempty"`
}

// Wait returns what from waits for while the budget of a pool is used up by its unavailable instances, and false while it isn't.
func (b Budget) Wait(from Node, pool string, unavailable []string) (Wait, bool) {
	switch {
	case len(unavailable) < b.Limit:
		return Wait{}, false
	case b.Limit <= 0:
		return b.backerWait(from, pool), true
	}
	reason := fmt.Sprintf("%d of %d unavailable (backer %s): %v", len(unavailable), b.Limit, b.Backer, unavailable)
	return Wait{From: from, For: Node{KindPool, pool}, Reason: reason}, true
}

// backerWait returns the wait for the backer whose maxUnavailable allows no unavailable instance.
func (b Budget) backerWait(from Node, pool string) Wait {
	return Wait{From: from, For: Node{KindBacker, b.Backer}, Reason: fmt.Sprintf("its maxUnavailable is %d in pool %s", b.Limit, pool)}
}

// Budgets maps pools to their budgets.
type Budgets map[string]Budget

// Of returns the pool's budget. An unknown pool is unlimited, since no queue uses it.
func (b Budgets) Of(pool string) Budget {
	if budget, ok := b[pool]; ok {
		return budget
	}
	return Budget{Limit: Unlimited}
}

// BudgetsOf returns, for each pool, the minimum of maxUnavailable over the backers whose queues use it.
func BudgetsOf(doc *table.Document) Budgets {
	budgets := make(Budgets, len(doc.Pools))
	for _, p := range doc.Pools {
		budgets[p.Name] = Budget{Limit: Unlimited}
	}
	for _, q := range doc.Queues {
		for _, b := range doc.Backers {
			if !q.Admits(b.Name) {
				continue
			}
			for _, pool := range q.Pools {
				if b.MaxUnavailable < budgets.Of(pool).Limit {
					budgets[pool] = Budget{Limit: b.MaxUnavailable, Backer: b.Name}
				}
			}
		}
	}
	return budgets
}

// unavailableByPool returns the result of UnavailableInstances for all pools in one pass over the fleet.
func unavailableByPool(f *instance.Fleet) map[string][]string {
	unavailable := map[string][]string{}
	for id, in := range f.Instances {
		if in.State != instance.Serving {
			unavailable[in.Pool] = append(unavailable[in.Pool], id)
		}
	}
	for _, ids := range unavailable {
		slices.Sort(ids)
	}
	return unavailable
}

// UnavailableInstances returns the sorted IDs of the pool's instances that are not serving: draining,
// rebooting, moving to another pool or failed.
func UnavailableInstances(f *instance.Fleet, pool string) []string {
	var ids []string
	for id, in := range f.Instances {
		if in.Pool == pool && in.State != instance.Serving {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
