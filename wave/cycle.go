package wave

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"samphirepoint/instance"
)

// CycleSettings describe the plan that maintains each instance once in a period.
type CycleSettings struct {
	// Start is the first day.
	Start time.Time
	// Days is the length of the period in days.
	Days int
	// Slack is the share of the days that is kept free for waves that pause or repeat.
	Slack float64
	// Window is the time in each day in which instances are drained.
	Window time.Duration
	// PerInstance is the time from the start of a drain to the return to serving.
	PerInstance time.Duration
	// FailureRoom is the part of each budget above 1 that is left to unplanned failures.
	FailureRoom int
}

// DefaultCycle is the cycle of 4 weeks. A quarter of the days stays free, because at 22 failures a
// day and a zone failure every other month some waves do not finish. PerInstance assumes a drain
// up to its timeout, a reboot of some minutes and room for long tasks.
func DefaultCycle(start time.Time) CycleSettings {
	return CycleSettings{Start: start, Days: 28, Slack: 0.25, Window: 8 * time.Hour, PerInstance: 30 * time.Minute, FailureRoom: 1}
}

// Day is the plan of one day: instances of one zone only, so that a failure of another zone and the
// maintenance together never touch more than two zones.
type Day struct {
	Date   time.Time `json:"date"`
	Zone   string    `json:"zone"`
	Groups []Group   `json:"groups"`
}

// Shortfall names a pool that cannot be maintained within the period.
type Shortfall struct {
	Pool string `json:"pool"`
	Zone string `json:"zone"`
	// Planned of Wanted instances fit.
	Planned int    `json:"planned"`
	Wanted  int    `json:"wanted"`
	Reason  string `json:"why"`
}

// CyclePlan is the result of Cycle.
type CyclePlan struct {
	Days       []Day       `json:"days"`
	Shortfalls []Shortfall `json:"shortfalls,omitempty"`
}

// Cycle spreads all instances over the usable days of the period. Each zone gets consecutive days in
// proportion to its instances, and each pool's instances of the zone are spread evenly over those days, those
// with the oldest maintenance first.
func Cycle(f *instance.Fleet, budgets Budgets, s CycleSettings) CyclePlan {
	zones := byZone(f)
	usable := int(float64(s.Days) * (1 - s.Slack))
	spans := split(zones, usable)
	var plan CyclePlan
	offset := 0
	for i, z := range zones {
		days := make([][]instance.Instance, spans[i])
		for _, pool := range byPool(z.instances) {
			plan.Shortfalls = append(plan.Shortfalls, spread(days, pool, budgets, s)...)
		}
		for d, list := range days {
			if len(list) > 0 {
				plan.Days = append(plan.Days, Day{Date: s.Start.AddDate(0, 0, calendarDay(offset+d, s)), Zone: z.name, Groups: group(list, false)})
			}
		}
		offset += spans[i]
	}
	return plan
}

// calendarDay spreads the free days evenly over the period.
func calendarDay(usable int, s CycleSettings) int {
	return int(float64(usable) / (1 - s.Slack))
}

type zoneList struct {
	name      string
	instances []instance.Instance
}

func byZone(f *instance.Fleet) []zoneList {
	return partition(f.Instances, func(in instance.Instance) string { return in.Zone })
}

func byPool(list []instance.Instance) []zoneList {
	m := make(map[string]instance.Instance, len(list))
	for _, in := range list {
		m[in.ID] = in
	}
	return partition(m, func(in instance.Instance) string { return in.Pool })
}

func partition(all map[string]instance.Instance, key func(instance.Instance) string) []zoneList {
	lists := map[string][]instance.Instance{}
	for _, in := range all {
		lists[key(in)] = append(lists[key(in)], in)
	}
	var parts []zoneList
	for name, list := range lists {
		parts = append(parts, zoneList{name, list})
	}
	slices.SortFunc(parts, func(a, b zoneList) int { return cmp.Compare(a.name, b.name) })
	return parts
}

// split divides the days among the zones in proportion to their instances, at least one day each.
func split(zones []zoneList, days int) []int {
	total := 0
	for _, z := range zones {
		total += len(z.instances)
	}
	spans := make([]int, len(zones))
	sum, before := 0, 0
	for i, z := range zones {
		sum += len(z.instances)
		end := int(math.Round(float64(days) * float64(sum) / float64(total)))
		spans[i] = max(1, end-before)
		before += spans[i]
	}
	return spans
}

// spread puts the pool's instances of one zone into the days and reports those that do not fit.
func spread(days [][]instance.Instance, pool zoneList, budgets Budgets, s CycleSettings) []Shortfall {
	capacity, why := dailyCapacity(budgets.Of(pool.name), len(pool.instances), s)
	quota := min(capacity, (len(pool.instances)+len(days)-1)/len(days))
	list := dueOrder(pool.instances)
	placed := 0
	for d := range days {
		n := min(quota, len(list)-placed)
		days[d] = append(days[d], list[placed:placed+n]...)
		placed += n
	}
	if placed == len(list) {
		return nil
	}
	return []Shortfall{{Pool: pool.name, Zone: list[0].Zone, Planned: placed, Wanted: len(list), Reason: why}}
}

// dailyCapacity is how many of the pool's instances one day's window can take.
func dailyCapacity(b Budget, size int, s CycleSettings) (int, string) {
	rounds := int(s.Window / s.PerInstance)
	if b.Limit <= 0 {
		return 0, fmt.Sprintf("backer %s has maxUnavailable %d", b.Backer, b.Limit)
	}
	// A budget of 1 has no room to leave: failures then pause the wave, and the slack days absorb it.
	atOnce := min(max(1, b.Limit-s.FailureRoom), size)
	return rounds * atOnce, fmt.Sprintf("%d at once (budget %d of backer %s), %s each in %s a day", atOnce, b.Limit, b.Backer, s.PerInstance, s.Window)
}

// dueOrder sorts racks by their oldest maintenance and keeps the instances of a rack together.
func dueOrder(list []instance.Instance) []instance.Instance {
	oldest := map[string]time.Time{}
	for _, in := range list {
		if t, ok := oldest[in.Rack]; !ok || in.Maintained.Before(t) {
			oldest[in.Rack] = in.Maintained
		}
	}
	list = slices.Clone(list)
	slices.SortFunc(list, func(a, b instance.Instance) int {
		return cmp.Or(oldest[a.Rack].Compare(oldest[b.Rack]), cmp.Compare(a.Rack, b.Rack), cmp.Compare(a.ID, b.ID))
	})
	return list
}

// Waves turns the plan into one wave per day, with id <prefix>-<date>, which starts by itself at that day.
func (p CyclePlan) Waves(prefix string, r Request, s CycleSettings, now time.Time) []*Wave {
	var waves []*Wave
	for _, d := range p.Days {
		waves = append(waves, &Wave{
			ID: prefix + "-" + d.Date.UTC().Format("2006-01-02"), By: r.By, Operation: r.Operation, Created: now, Status: Planned,
			Reason: "cycle, zone " + d.Zone, Groups: d.Groups,
			DrainTimeout: DefaultDrainTimeout, Length: s.Window, NotBefore: d.Date,
		})
	}
	return waves
}
