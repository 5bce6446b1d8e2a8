package table

import "fmt"

// BeforeAfter holds a value before and after a change.
type BeforeAfter[T any] struct {
	Before T `json:"before"`
	After  T `json:"after"`
}

// BackerPreview is the effect of a change on a backer, in slots.
type BackerPreview struct {
	Name  string               `json:"name"`
	Share BeforeAfter[float64] `json:"share"`
	Limit BeforeAfter[int]     `json:"limit"`
}

// PoolPreview is the effect of a change on a pool's availability budget, in instances. A pool
// that no backer uses, or that is absent, has the budget 0.
type PoolPreview struct {
	Name   string           `json:"name"`
	Size   PoolSize         `json:"size"`
	Budget BeforeAfter[int] `json:"budget"`
}

// Preview is the effect of a change.
type Preview struct {
	Backers []BackerPreview `json:"backers"`
	Pools   []PoolPreview   `json:"pools"`
	// Moves is the number of instance moves that the change causes; nil if unknown.
	Moves *int `json:"moves,omitempty"`
	// Warnings describe effects that may be unintended but do not block the change.
	Warnings []string `json:"warnings,omitempty"`
}

// MoveCounter returns the number of instance moves that a change causes.
type MoveCounter func(before, after *Document) int

// PreviewOf returns the effect of a change on a fleet of the given size. moves may be nil.
func PreviewOf(before, after *Document, size FleetSize, moves MoveCounter) *Preview {
	p := &Preview{Warnings: warnings(after, size)}
	sharesBefore, sharesAfter := Shares(before, size), Shares(after, size)
	for _, name := range rowNames(backerSection, before, after) {
		old, _ := before.Backer(name)
		next, _ := after.Backer(name)
		p.Backers = append(p.Backers, BackerPreview{Name: name,
			Share: BeforeAfter[float64]{sharesBefore[name], sharesAfter[name]}, Limit: BeforeAfter[int]{old.Limit(), next.Limit()}})
	}
	usersBefore, usersAfter := poolBackers(before, false), poolBackers(after, false)
	for _, name := range rowNames(poolSection, before, after) {
		old, _ := lowestBudget(before, usersBefore[name])
		next, _ := lowestBudget(after, usersAfter[name])
		p.Pools = append(p.Pools, PoolPreview{Name: name, Size: size[name], Budget: BeforeAfter[int]{old, next}})
	}
	if moves != nil {
		n := moves(before, after)
		p.Moves = &n
	}
	return p
}

func warnings(d *Document, size FleetSize) []string {
	var list []string
	users, unavailableSlots := poolBackers(d, false), 0
	for _, p := range d.Pools {
		budget, used := lowestBudget(d, users[p.Name])
		if used && budget == 0 {
			list = append(list, fmt.Sprintf("pool %s: a backer has maxUnavailable 0, so no instance can be maintained", p.Name))
		}
		if n := size[p.Name].Instances; n > 0 {
			unavailableSlots += min(budget, n) * size[p.Name].Slots / n
		}
	}
	if remaining := size.Slots() - unavailableSlots; remaining > 0 && quotaSum(d) > remaining {
		list = append(list, fmt.Sprintf("while all availability budgets are used up, %d slots remain for nominal quotas of %d", remaining, quotaSum(d)))
	}
	for _, q := range d.Queues {
		if len(q.Pools) == 0 {
			continue
		}
		if p, ok := d.Pool(q.Pools[0]); ok && p.Spare {
			list = append(list, fmt.Sprintf("queue %s: its home pool %s is spare, so moves may take all its instances", q.Name, p.Name))
		}
	}
	return list
}
