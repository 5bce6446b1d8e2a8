package engine

import "math"

// Unlimited is the limit of a resource that isn't limited. Sums of a few such limits don't overflow.
const Unlimited = math.MaxInt64 / 4

// Allotment is what a workspace may have running in the pool.
type Allotment struct {
	Limit Resources
	// First bounds the first start while nothing runs in the pool. It exceeds Limit in resources of which no other shard may use anything, so that
	// a task larger than the workspace's cap still runs, alone.
	First Resources
}

// Workspace holds a workspace's settings from the operators' configuration.
type Workspace struct {
	Name string
	// Priority orders the workspaces where there is too little capacity: a lower number goes first.
	Priority int
	// Weight is the share of the pool relative to other workspaces, and the jobs a second up to which the workspace is entitled to service.
	Weight float64
	// Capped is set if the workspace has a cap.
	Capped bool
}

// workspaces holds the workspaces of the configuration and what each has running in the pool.
type workspaces struct {
	// settings are those of the configuration, nil before they are known. Until then, no job of a workspace starts.
	settings map[string]Workspace
	// allotments are those of capped workspaces; one without an allotment starts nothing.
	allotments map[string]Allotment
	used       map[string]Resources
	// short is set when a start was held up by an allotment.
	short      bool
	meanWeight float64
}

// SetWorkspaces sets the workspaces of the configuration.
func (p *Pool) SetWorkspaces(list []Workspace) {
	settings := map[string]Workspace{}
	total := 0.0
	for _, w := range list {
		settings[w.Name] = w
		total += w.Weight
	}
	p.workspaces.settings = settings
	p.workspaces.meanWeight = total / float64(max(len(list), 1))
	p.placementNeeded = true
}

// SetAllotments replaces the allotments of some workspaces.
func (p *Pool) SetAllotments(list map[string]Allotment) {
	if p.workspaces.allotments == nil {
		p.workspaces.allotments = map[string]Allotment{}
	}
	for name, a := range list {
		p.workspaces.allotments[name] = a
	}
	p.placementNeeded = true
}

// LowerAllotments lowers the allotments of some workspaces to the given limits, but not below what they have running, and returns the limits
// that are in force now.
func (p *Pool) LowerAllotments(limits map[string]Resources) map[string]Resources {
	out := map[string]Resources{}
	for name, limit := range limits {
		limit = limit.Max(p.workspaces.used[name])
		out[name] = limit
		p.SetAllotments(map[string]Allotment{name: {Limit: limit.Min(p.workspaces.allotments[name].Limit)}})
	}
	return out
}

// mayStart reports whether a workspace may start a task with the given need.
func (u *workspaces) mayStart(name string, need Resources) bool {
	return u.mayStartTogether(name, need, 1)
}

// mayStartTogether reports whether a workspace may start n tasks at once. Where they may exceed the limit, one task fewer has to fit, since the
// workspace's cap may be exceeded by one task only.
func (u *workspaces) mayStartTogether(name string, need Resources, n int) bool {
	if name == "" || u.settings != nil && !u.settings[name].Capped {
		return true
	}
	a, used, total := u.allotments[name], u.used[name], need.Times(n)
	return a.Limit.Covers(used.Add(total)) || used == (Resources{}) && a.First.Covers(total) && a.Limit.Covers(need.Times(n-1))
}

// admitStart is mayStartTogether for a placement: it records that an allotment holds up a start, so that a larger one is asked for.
func (u *workspaces) admitStart(name string, need Resources, n int) bool {
	admitted := u.mayStartTogether(name, need, n)
	u.short = u.short || !admitted
	return admitted
}

// TakeAllotmentShortage reports whether an allotment has held up a start since the last call.
func (p *Pool) TakeAllotmentShortage() bool {
	short := p.workspaces.short
	p.workspaces.short = false
	return short
}

func (u *workspaces) add(name string, need Resources) {
	if name == "" {
		return
	}
	if u.used == nil {
		u.used = map[string]Resources{}
	}
	u.used[name] = u.used[name].Add(need)
}

func (u *workspaces) remove(name string, need Resources) {
	if name == "" {
		return
	}
	if u.used[name] = u.used[name].Sub(need); u.used[name] == (Resources{}) {
		delete(u.used, name)
	}
}

// WorkspaceDemand is what a workspace has running, and what it could have running if neither workers nor its allotment were short.
type WorkspaceDemand struct {
	Used, Wanted Resources
	// Placeable is the part of Wanted that the workers have room for, and one start more for when a run ends.
	Placeable Resources
	// Unit is the most that a single start needs: that of a task, or of all members of a gang.
	Unit Resources
}

// addWaiting adds n waiting tasks of a step.
func (d *WorkspaceDemand) addWaiting(s *Step, n int) {
	if n == 0 {
		return
	}
	d.Wanted = d.Wanted.Add(s.Need.Times(n))
	unit := s.Need
	if s.Gang {
		unit = unit.Times(n)
	}
	d.Unit = d.Unit.Max(unit)
}

// WorkspaceDemands returns the demand of the workspaces that have any.
func (p *Pool) WorkspaceDemands(c Clock) map[string]WorkspaceDemand {
	out := map[string]WorkspaceDemand{}
	for name, used := range p.workspaces.used {
		out[name] = WorkspaceDemand{Used: used, Wanted: used}
	}
	room, footprints := p.freeCapacity(c), map[string]Resources{}
	for _, j := range p.openJobs {
		name := j.Spec.Workspace
		if name == "" {
			continue
		}
		d := out[name]
		for o := range j.openOccurrences() {
			for _, st := range o.steps {
				if !st.dependenciesDone() {
					continue
				}
				n := st.countPendingTasks(c.Now)
				d.addWaiting(st.spec, n)
				footprints[name] = footprints[name].Add(st.spec.Footprint().Times(n))
			}
		}
		if d != (WorkspaceDemand{}) {
			out[name] = d
		}
	}
	for name, d := range out {
		excess := footprints[name].Sub(room.Add(d.Unit))
		d.Placeable = d.Wanted.Sub(excess.Max(Resources{}))
		out[name] = d
	}
	return out
}

// freeCapacity returns what is free on the workers that accept new starts.
func (p *Pool) freeCapacity(c Clock) Resources {
	var free Resources
	for _, w := range p.workers {
		if p.available(w, c) {
			free = free.Add(w.info.Capacity.Sub(w.used).Max(Resources{}))
		}
	}
	return free
}
