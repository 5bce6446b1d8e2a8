package wave

import (
	"math"
	"slices"

	"samphirepoint/instance"
	"samphirepoint/table"
)

// Unlimited is the limit of a pool that no backer's queue uses.
const Unlimited = math.MaxInt

// Budget is the number of instances of a pool that may be out at once.
type Budget struct {
	Limit int `json:"limit"`
	// Backer is the one whose availability budget sets Limit; empty if Unlimited.
	Backer string `json:"backer,omitempty"`
}

// Budgets maps pools to their budgets.
type Budgets map[string]Budget

// Of returns the pool's budget; an unknown pool is unlimited, since no queue names it.
func (b Budgets) Of(pool string) Budget {
	if budget, ok := b[pool]; ok {
		return budget
	}
	return Budget{Limit: Unlimited}
}

// BudgetsOf returns for each pool the minimum of maxUnavailable over the backers whose queues use it.
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

// outByPool returns Out of all pools with one pass over the fleet.
func outByPool(f *instance.Fleet) map[string][]string {
	out := map[string][]string{}
	for id, in := range f.Instances {
		if in.State != instance.Serving {
			out[in.Pool] = append(out[in.Pool], id)
		}
	}
	for _, ids := range out {
		slices.Sort(ids)
	}
	return out
}

// UnavailableInstances returns the ids of the pool's instances that are not serving: draining, rebooting, moving
// away or failed. The order is fixed.
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
