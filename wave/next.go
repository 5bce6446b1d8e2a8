package wave

import (
	"fmt"
	"slices"
	"time"

	"samphirepoint/instance"
)

const (
	// correlatedFailures within correlationTime in a wave's racks or zone pause the wave: at 22
	// failures a day in 1,500 workers two unrelated ones in one zone within a minute are rare.
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

// Input is the snapshot from which steps are decided.
type Input struct {
	Now     time.Time
	Fleet   *instance.Fleet
	Budgets Budgets
	// Waves holds all waves that have not ended.
	Waves []*Wave
	// Failures holds at least those of the last minute.
	Failures []Failure
	// Waits are those of drains and moves, for the cycle search.
	Waits []Wait
}

// StepKind says what to do.
type StepKind string

// Kinds of steps.
const (
	// StepStart starts a planned wave whose time has come.
	StepStart StepKind = "start"
	// StepDrain starts to drain Instance.
	StepDrain StepKind = "drain"
	// StepSettle records Result for Instance.
	StepSettle StepKind = "settle"
	// StepWait does nothing; Waits names the causes.
	StepWait StepKind = "wait"
	// StepPause and StepResume change the wave's status.
	StepPause  StepKind = "pause"
	StepResume StepKind = "resume"
	// StepYield returns the wave's draining instances to serving in favour of wave YieldTo.
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

// Next returns the steps that may be taken now. Older waves come first and take budget first. All
// steps together respect the budgets, so they may be taken in any order.
func Next(in Input) []Step {
	p := &planner{Input: in, out: outByPool(in.Fleet), taken: map[string]string{}, byID: map[string]*Wave{}}
	waves := slices.Clone(in.Waves)
	slices.SortFunc(waves, older)
	for _, w := range waves {
		p.byID[w.ID] = w
	}
	for _, w := range waves {
		p.step(w)
	}
	p.breakCycles(waves)
	return p.steps
}

type planner struct {
	Input
	// out holds per pool the instances that are out, with those that the steps so far take out.
	out map[string][]string
	// taken maps the instances that the steps so far drain to their waves.
	taken map[string]string
	byID  map[string]*Wave
	steps []Step
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
		} else if w.Pause != nil && w.Pause.Auto && p.failedOut(w) == "" {
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
	left := 0
	busy := map[string]bool{} // pools that work on an earlier group
	for _, g := range w.Groups {
		if busy[g.Pool] {
			left += p.unsettled(w, g)
			continue
		}
		n := p.group(w, g)
		busy[g.Pool] = n > 0
		left += n
	}
	if left == 0 {
		p.add(Step{Kind: StepFinish, Wave: w.ID})
	}
}

func (p *planner) unsettled(w *Wave, g Group) int {
	n := 0
	for _, id := range g.Instances {
		if w.Results[id] == "" {
			n++
		}
	}
	return n
}

// pause returns why the wave must pause, or nil.
func (p *planner) pause(w *Wave) *Pause {
	zones, racks := p.area(w)
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
	if reason := p.failedOut(w); reason != "" {
		return &Pause{Reason: reason, Auto: true}
	}
	return nil
}

// area returns the zones of the groups that the wave works on now and all racks of the wave.
func (p *planner) area(w *Wave) (zones map[string]bool, racks map[[2]string]bool) {
	zones, racks = map[string]bool{}, map[[2]string]bool{}
	for _, g := range p.active(w) {
		zones[g.Zone] = true
	}
	for _, g := range w.Groups {
		racks[[2]string{g.Zone, g.Rack}] = true
	}
	return zones, racks
}

// active returns the first group with unsettled instances of each pool.
func (p *planner) active(w *Wave) []Group {
	var groups []Group
	seen := map[string]bool{}
	for _, g := range w.Groups {
		if !seen[g.Pool] && p.unsettled(w, g) > 0 {
			seen[g.Pool] = true
			groups = append(groups, g)
		}
	}
	return groups
}

// failedOut names a pool of the active groups whose budget is used up by failures alone, or returns "".
func (p *planner) failedOut(w *Wave) string {
	for _, g := range p.active(w) {
		for _, id := range g.Instances {
			pool := p.Fleet.Instances[id].Pool
			budget := p.Budgets.Of(pool)
			if budget.Limit <= 0 {
				continue // the wave waits for the backer instead
			}
			var failed []string
			for _, out := range p.out[pool] {
				if p.Fleet.Instances[out].State == instance.Failed {
					failed = append(failed, out)
				}
			}
			if len(failed) >= budget.Limit {
				return fmt.Sprintf("failures use up the budget %d of pool %s (backer %s): %v", budget.Limit, pool, budget.Backer, failed)
			}
		}
	}
	return ""
}

// expire settles what the wave did not reach; instances that are out are left to the drainer.
func (p *planner) expire(w *Wave) {
	busy := 0
	for _, id := range w.Instances() {
		if w.Results[id] != "" {
			continue
		}
		if in, ok := p.Fleet.Instances[id]; ok && in.Wave == w.ID && in.State != instance.Failed {
			busy++
			continue
		}
		p.add(Step{Kind: StepSettle, Wave: w.ID, Instance: id, Result: NotMaintained})
	}
	if busy == 0 {
		p.add(Step{Kind: StepFinish, Wave: w.ID})
	}
}

// group decides the instances of the group and returns how many are unsettled.
func (p *planner) group(w *Wave, g Group) int {
	left := 0
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
		case in.Wave == w.ID: // the drainer decides
		case p.taken[id] != "":
			p.wait(w, id, Wait{From: waveNode(w), For: Node{KindInstance, id}, Reason: "it drains for wave " + p.taken[id]})
		case in.State != instance.Serving:
			p.wait(w, id, Wait{From: waveNode(w), For: Node{KindInstance, id}, Reason: "it is " + describe(in)})
		default:
			p.drain(w, in)
		}
		left++
	}
	return left
}

// beyondBudget reports whether the rack's instances cannot be out together any more, because of a
// move or a lowered budget since the plan was made. Waiting would keep its drained instances idle until
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
		if o, ok := p.byID[w.YieldTo]; ok && o.Status == Running {
			p.wait(w, in.ID, Wait{From: waveNode(w), For: Node{KindWave, o.ID}, Reason: "it gave way to the older wave"})
			return
		}
	}
	out := slices.Clip(p.out[in.Pool])
	for _, id := range out {
		if o := p.Fleet.Instances[id]; (o.Wave != "" || p.taken[id] != "") && (o.Zone != in.Zone || o.Rack != in.Rack) {
			p.wait(w, in.ID, Wait{From: waveNode(w), For: Node{KindInstance, id},
				Reason: fmt.Sprintf("pool %s maintains rack %s in zone %s", in.Pool, o.Rack, o.Zone)})
			return
		}
	}
	budget := p.Budgets.Of(in.Pool)
	if len(out) >= budget.Limit {
		p.waitForBudget(w, in, budget, out)
		return
	}
	p.out[in.Pool] = append(out, in.ID)
	p.taken[in.ID] = w.ID
	p.add(Step{Kind: StepDrain, Wave: w.ID, Instance: in.ID, Pool: in.Pool, Budget: budget})
}

func (p *planner) waitForBudget(w *Wave, in instance.Instance, b Budget, out []string) {
	if b.Limit <= 0 {
		p.wait(w, in.ID, waitForBacker(w, in.Pool, b))
		return
	}
	why := fmt.Sprintf("%d of %d out (backer %s): %v", len(out), b.Limit, b.Backer, out)
	p.wait(w, in.ID, Wait{From: waveNode(w), For: Node{KindPool, in.Pool}, Reason: why})
}

func waitForBacker(w *Wave, pool string, b Budget) Wait {
	return Wait{From: waveNode(w), For: Node{KindBacker, b.Backer},
		Reason: fmt.Sprintf("its maxUnavailable is %d in pool %s", b.Limit, pool)}
}

func (p *planner) wait(w *Wave, id string, wait Wait) {
	p.add(Step{Kind: StepWait, Wave: w.ID, Instance: id, Pool: p.Fleet.Instances[id].Pool, Waits: []Wait{wait}})
}
