package wave

import (
	"fmt"
	"slices"
	"time"

	"samphirepoint/instance"
)

const (
	// A wave is paused after correlatedFailures within correlationTime in its racks or its zone. With
	// 22 failures a day in 1,500 workers, two unrelated failures in one zone within a minute are rare.
	correlatedFailures = 2
	correlationTime    = time.Minute
)

// Failure is an unplanned failure of an instance.
type Failure struct {
	Instance string
	Zone     string
	Rack     string
	At       time.Time
}

// Input is the snapshot on which Next bases its decisions.
type Input struct {
	Now     time.Time
	Fleet   *instance.Fleet
	Budgets Budgets
	// Waves holds all waves that have not ended.
	Waves []*Wave
	// Failures holds at least the failures of the last minute.
	Failures []Failure
	// Waits holds the waits of drains and moves, for the detection of cycles.
	Waits []Wait
}

// StepKind is the action of a step.
type StepKind string

// Kinds of steps.
const (
	// StepStart starts a planned wave whose NotBefore has been reached.
	StepStart StepKind = "start"
	// StepDrain starts draining Instance.
	StepDrain StepKind = "drain"
	// StepSettle records Result for Instance.
	StepSettle StepKind = "settle"
	// StepWait takes no action; Waits holds the causes.
	StepWait StepKind = "wait"
	// StepPause and StepResume change the wave's status.
	StepPause  StepKind = "pause"
	StepResume StepKind = "resume"
	// StepYield returns the wave's draining instances to serving in favor of wave YieldTo.
	StepYield StepKind = "give way"
	// StepFinish ends the wave.
	StepFinish StepKind = "finish"
)

// Step is one decision about one wave.
type Step struct {
	Kind     StepKind
	Wave     string
	Instance string
	Pool     string
	Budget   Budget
	Result   Result
	Pause    *Pause
	YieldTo  string
	Waits    []Wait
}

// Next returns the steps that may be taken now. Older waves have priority for the budgets. All steps
// together stay within the budgets, so they may be taken in any order.
func Next(in Input) []Step {
	p := &planner{Input: in, unavailable: unavailableByPool(in.Fleet), drainedBy: map[string]string{}, wavesByID: map[string]*Wave{}}
	waves := slices.Clone(in.Waves)
	slices.SortFunc(waves, compareAge)
	for _, w := range waves {
		p.wavesByID[w.ID] = w
	}
	for _, w := range waves {
		p.step(w)
	}
	p.breakCycles(waves)
	return p.steps
}

type planner struct {
	Input
	// unavailable holds, per pool, the instances that are unavailable now or drained by the steps so far.
	unavailable map[string][]string
	// drainedBy maps the instances that the steps so far drain to their waves.
	drainedBy map[string]string
	wavesByID map[string]*Wave
	steps     []Step
}

func (p *planner) add(s Step) { p.steps = append(p.steps, s) }

func (p *planner) step(w *Wave) {
	switch w.Status {
	case Planned:
		if !w.NotBefore.IsZero() && !p.Now.Before(w.NotBefore) {
			p.add(Step{Kind: StepStart, Wave: w.ID})
		}
	case Paused:
		if !p.Now.Before(w.Deadline) {
			p.expire(w)
		} else if w.Pause != nil && w.Pause.Auto && p.budgetUsedByFailures(w) == "" {
			p.add(Step{Kind: StepResume, Wave: w.ID})
		}
	case Running:
		p.run(w)
	}
}

func (p *planner) run(w *Wave) {
	if pause := p.pause(w); pause != nil {
		p.add(Step{Kind: StepPause, Wave: w.ID, Pause: pause})
		return
	}
	if !p.Now.Before(w.Deadline) {
		p.expire(w)
		return
	}
	pending := 0
	unfinished := map[string]bool{} // pools in which an earlier group is not finished
	for _, g := range w.Groups {
		if unfinished[g.Pool] {
			pending += p.countPending(w, g)
			continue
		}
		n := p.stepGroup(w, g)
		unfinished[g.Pool] = n > 0
		pending += n
	}
	if pending == 0 {
		p.add(Step{Kind: StepFinish, Wave: w.ID})
	}
}

func (p *planner) countPending(w *Wave, g Group) int {
	n := 0
	for _, id := range g.Instances {
		if w.Results[id] == "" {
			n++
		}
	}
	return n
}

// pause returns the reason for which the wave must pause, or nil.
func (p *planner) pause(w *Wave) *Pause {
	zones, racks := p.activeArea(w)
	var recent []string
	for _, f := range p.Failures {
		if p.Now.Sub(f.At) > correlationTime || !f.At.After(w.Resumed) {
			continue
		}
		if (zones[f.Zone] || racks[[2]string{f.Zone, f.Rack}]) && !slices.Contains(recent, f.Instance) {
			recent = append(recent, f.Instance)
		}
	}
	if len(recent) >= correlatedFailures {
		slices.Sort(recent)
		return &Pause{Reason: fmt.Sprintf("correlated failures within %s: %v", correlationTime, recent)}
	}
	if reason := p.budgetUsedByFailures(w); reason != "" {
		return &Pause{Reason: reason, Auto: true}
	}
	return nil
}

// activeArea returns the zones of the wave's active groups and all racks of the wave.
func (p *planner) activeArea(w *Wave) (zones map[string]bool, racks map[[2]string]bool) {
	zones, racks = map[string]bool{}, map[[2]string]bool{}
	for _, g := range p.active(w) {
		zones[g.Zone] = true
	}
	for _, g := range w.Groups {
		racks[[2]string{g.Zone, g.Rack}] = true
	}
	return zones, racks
}

// active returns, for each pool, the first group that has instances without a result.
func (p *planner) active(w *Wave) []Group {
	var groups []Group
	seen := map[string]bool{}
	for _, g := range w.Groups {
		if !seen[g.Pool] && p.countPending(w, g) > 0 {
			seen[g.Pool] = true
			groups = append(groups, g)
		}
	}
	return groups
}

// budgetUsedByFailures describes a pool of the active groups whose budget is used up by failed instances alone, or
// returns "".
func (p *planner) budgetUsedByFailures(w *Wave) string {
	for _, g := range p.active(w) {
		for _, id := range g.Instances {
			pool := p.Fleet.Instances[id].Pool
			budget := p.Budgets.Of(pool)
			if budget.Limit <= 0 {
				continue // the wave waits for the backer instead of pausing
			}
			var failed []string
			for _, other := range p.unavailable[pool] {
				if p.Fleet.Instances[other].State == instance.Failed {
					failed = append(failed, other)
				}
			}
			if len(failed) >= budget.Limit {
				return fmt.Sprintf("failures use up the budget %d of pool %s (backer %s): %v", budget.Limit, pool, budget.Backer, failed)
			}
		}
	}
	return ""
}

// expire records NotMaintained for the instances that are not in progress. The drainer finishes those in progress.
func (p *planner) expire(w *Wave) {
	inProgress := 0
	for _, id := range w.Instances() {
		if w.Results[id] != "" {
			continue
		}
		if in, ok := p.Fleet.Instances[id]; ok && in.Wave == w.ID && in.State != instance.Failed {
			inProgress++
			continue
		}
		p.add(Step{Kind: StepSettle, Wave: w.ID, Instance: id, Result: NotMaintained})
	}
	if inProgress == 0 {
		p.add(Step{Kind: StepFinish, Wave: w.ID})
	}
}

// stepGroup adds the steps for the instances of the group and returns how many of them remain without a result.
func (p *planner) stepGroup(w *Wave, g Group) int {
	pending := 0
	beyond := w.RackAtOnce && p.beyondBudget(w, g)
	for _, id := range g.Instances {
		if w.Results[id] != "" {
			continue
		}
		in, ok := p.Fleet.Instances[id]
		switch {
		case beyond && ok && in.Wave != w.ID:
			p.add(Step{Kind: StepSettle, Wave: w.ID, Instance: id, Result: BeyondBudget})
			continue
		case !ok:
			p.add(Step{Kind: StepSettle, Wave: w.ID, Instance: id, Result: Gone})
			continue
		case in.State == instance.Failed:
			p.add(Step{Kind: StepSettle, Wave: w.ID, Instance: id, Result: Failed})
			continue
		case in.Wave == w.ID: // the drainer finishes it
		case p.drainedBy[id] != "":
			p.wait(w, id, Wait{From: waveNode(w), For: Node{KindInstance, id}, Reason: "it is draining for wave " + p.drainedBy[id]})
		case in.State != instance.Serving:
			p.wait(w, id, Wait{From: waveNode(w), For: Node{KindInstance, id}, Reason: "it is " + describe(in)})
		default:
			p.drain(w, in)
		}
		pending++
	}
	return pending
}

// beyondBudget reports whether the rack's instances can no longer be unavailable together because of a
// move or a lowered budget since the wave was planned. Waiting would keep its drained instances idle until
// the deadline.
func (p *planner) beyondBudget(w *Wave, g Group) bool {
	counts := map[string]int{}
	for _, id := range g.Instances {
		in, ok := p.Fleet.Instances[id]
		if !ok || w.Results[id] != "" || in.State == instance.Failed {
			continue
		}
		counts[in.Pool]++
		if counts[in.Pool] > p.Budgets.Of(in.Pool).Limit {
			return true
		}
	}
	return false
}

func describe(in instance.Instance) string {
	switch {
	case in.Wave != "":
		return string(in.State) + " for wave " + in.Wave
	case in.TargetPool != "":
		return "moving to pool " + in.TargetPool
	}
	return string(in.State)
}

func (p *planner) drain(w *Wave, in instance.Instance) {
	if w.YieldTo != "" {
		if o, ok := p.wavesByID[w.YieldTo]; ok && o.Status == Running {
			p.wait(w, in.ID, Wait{From: waveNode(w), For: Node{KindWave, o.ID}, Reason: "it yielded to the older wave"})
			return
		}
	}
	unavailable := slices.Clip(p.unavailable[in.Pool])
	for _, id := range unavailable {
		if o := p.Fleet.Instances[id]; (o.Wave != "" || p.drainedBy[id] != "") && (o.Zone != in.Zone || o.Rack != in.Rack) {
			p.wait(w, in.ID, Wait{From: waveNode(w), For: Node{KindInstance, id},
				Reason: fmt.Sprintf("pool %s is maintaining rack %s in zone %s", in.Pool, o.Rack, o.Zone)})
			return
		}
	}
	budget := p.Budgets.Of(in.Pool)
	if wait, full := budget.Wait(waveNode(w), in.Pool, unavailable); full {
		p.wait(w, in.ID, wait)
		return
	}
	p.unavailable[in.Pool] = append(unavailable, in.ID)
	p.drainedBy[in.ID] = w.ID
	p.add(Step{Kind: StepDrain, Wave: w.ID, Instance: in.ID, Pool: in.Pool, Budget: budget})
}

func (p *planner) wait(w *Wave, id string, wait Wait) {
	p.add(Step{Kind: StepWait, Wave: w.ID, Instance: id, Pool: p.Fleet.Instances[id].Pool, Waits: []Wait{wait}})
}
