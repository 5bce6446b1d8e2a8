package table

import (
	"math"
	"slices"

	"samphirepoint/instance"
)

// PoolSize is the number of instances of a pool and of their slots.
type PoolSize struct {
	Instances int `json:"instances"`
	Slots     int `json:"slots"`
}

// FleetSize holds the size of each pool. An empty FleetSize means that the size is unknown; checks
// that need it are skipped.
type FleetSize map[string]PoolSize

// SizeOf counts all instances of a fleet, whatever their state, since instances in maintenance or
// repair return to service.
func SizeOf(f *instance.Fleet) FleetSize {
	size := FleetSize{}
	if f == nil {
		return size
	}
	for _, in := range f.Instances {
		p := size[in.Pool]
		p.Instances++
		p.Slots += in.Slots
		size[in.Pool] = p
	}
	return size
}

// Slots returns the number of slots in all pools.
func (f FleetSize) Slots() int {
	total := 0
	for _, p := range f {
		total += p.Slots
	}
	return total
}

// poolBackers marks, for each pool, the rows of d.Backers that have queues which use the pool. With
// homeOnly, only the first pool of a queue counts.
func poolBackers(d *Document, homeOnly bool) map[string][]bool {
	users, rows := map[string][]bool{}, newRowIndex(d)
	for _, q := range d.Queues {
		pools := q.Pools
		if homeOnly && len(pools) > 1 {
			pools = pools[:1]
		}
		for _, pool := range pools {
			if users[pool] == nil {
				users[pool] = make([]bool, len(d.Backers))
			}
			q.markBackers(users[pool], rows)
		}
	}
	return users
}

// markBackers sets the marks of the backers that may submit to the queue.
func (q *Queue) markBackers(marks []bool, rows *rowIndex) {
	if len(q.Backers) == 0 {
		for i := range marks {
			marks[i] = true
		}
	}
	for _, name := range q.Backers {
		if i := rows.find(backerSection, name); i >= 0 {
			marks[i] = true
		}
	}
}

// Admits reports whether the backer may submit to the queue.
func (q *Queue) Admits(backer string) bool {
	return len(q.Backers) == 0 || slices.Contains(q.Backers, backer)
}

// Shares returns each backer's share in slots: in each pool that is the home of a queue which
// admits the backer, the part of the slots that its weight entitles it to while all such backers have
// waiting work.
func Shares(d *Document, size FleetSize) map[string]float64 {
	shares := map[string]float64{}
	for pool, users := range poolBackers(d, true) {
		var weights float64
		for i, b := range d.Backers {
			if users[i] {
				weights += b.Weight
			}
		}
		for i, b := range d.Backers {
			if users[i] && weights > 0 {
				shares[b.Name] += float64(size[pool].Slots) * b.Weight / weights
			}
		}
	}
	return shares
}

// PoolBudget returns the number of instances of the pool that may be unavailable at once, which is the
// lowest maxUnavailable of the backers whose queues use the pool. It returns false if none does.
func PoolBudget(d *Document, pool string) (int, bool) {
	return lowestBudget(d, poolBackers(d, false)[pool])
}

func lowestBudget(d *Document, users []bool) (int, bool) {
	budget := math.MaxInt
	for i, used := range users {
		if used {
			budget = min(budget, d.Backers[i].MaxUnavailable)
		}
	}
	if budget == math.MaxInt {
		return 0, false
	}
	return budget, true
}
