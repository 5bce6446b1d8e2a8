// Package upkeep carries out the fleet's duties: waves of upkeep and moves of instances between pools. Decisions are pure
// functions over a State; the Controller reads the lists, writes each order down before it is sent, and sends it.
//
// One daemon at a time has the duties. Every order for an instance is written to the instance's row first, under the claim,
// so a successor knows what may still be carried out and keeps its distance from its predecessor's orders.
package upkeep

import (
	"cmp"
	"slices"
	"time"

	"samphirepoint/engine"
)

// The states of an instance in the platform's list.
const (
	StateUp     = "up"
	StateMoving = "moving"
	StateUpkeep = "upkeep"
	StateDown   = "down"
)

// Instance is one row of the platform's list. Worker is the id of its present life, if it has one.
type Instance struct {
	ID, Pool, State, Worker, Rack string
	CapacityCPU, CapacityGPU      int64
	Labels                        []string
}

// is reports whether the instance is of a kind as engine.Step.Kinds names it.
func (i *Instance) is(kind string) bool {
	return engine.IsKind(kind, i.Labels, i.CapacityGPU)
}

// Wave asks for the upkeep of instances, at most Cap at once, within Duration of SeenAt.
type Wave struct {
	ID        int64
	Instances []string
	Cap       int
	Duration  time.Duration
	SeenAt    time.Duration
}

// Duty is the last order for an instance as it is stored.
type Duty struct {
	Holder string `json:"h"`
	AtMS   int64  `json:"t"`
	// To is the pool of a move; Wave the number of an upkeep.
	To   string `json:"p,omitempty"`
	Wave int64  `json:"w,omitempty"`
	// Open is set until the order is known to have been carried out or refused.
	Open bool `json:"o,omitempty"`
	// Worker is the life that the order ends.
	Worker string `json:"i,omitempty"`
	// Begun lists the waves whose upkeep of the instance has begun.
	Begun []int64 `json:"b,omitempty"`
}

// State is what a decision rests on.
type State struct {
	Now       time.Duration
	Instances map[string]Instance
	Waves     []Wave
	Duties    map[string]Duty
	Reports   map[string]engine.PoolReport
	Spare     map[string]bool
	// Baseline is how many instances each pool had before any was moved.
	Baseline map[string]int

	// resting are instances that could not be emptied and take work again for a while.
	resting map[string]bool
	// inHand are instances that are being emptied for an order.
	inHand map[string]bool
}

// begun reports whether the upkeep of an instance in a wave has begun.
func (s *State) begun(id string, wave int64) bool {
	return slices.Contains(s.Duties[id].Begun, wave)
}

// down reports whether the last order for the instance may keep it out: it is not known to be up in a new life.
func (s *State) down(id string) bool {
	d, ok := s.Duties[id]
	if !ok || (d.Wave == 0 && d.To == "") {
		return false
	}
	i := s.Instances[id]
	return d.Open || i.State != StateUp || i.Worker == d.Worker
}

// Left lists the instances of a wave that are still to begin, without those that have left the fleet.
func (s *State) Left(w Wave) []string {
	var out []string
	for _, id := range w.Instances {
		if _, stays := s.Instances[id]; stays && !s.begun(id, w.ID) {
			out = append(out, id)
		}
	}
	return out
}

const (
	// roundTime is about how long one instance takes: to be emptied, and to be down.
	roundTime = 5 * time.Second
	// keepShare is the share of a pool's instances that stays while time allows.
	keepShare = 0.5
	// demandMargin is how much more room than present use a pool keeps while time allows.
	demandMargin = 1.25
)

// PlanWave returns the instances of a wave that are to be kept free of new work now, the best first: those that are empty,
// then those whose pool needs them least. It returns no more than may be down at once beside those that are.
func (s *State) PlanWave(w Wave, held map[string]bool) []string {
	slots := w.Cap
	for _, id := range w.Instances {
		if (s.begun(id, w.ID) || s.Duties[id].Open) && s.down(id) {
			slots--
		}
	}
	left := s.Left(w)
	urgent := s.urgent(w, len(left))
	out := s.heldFirst(left, held)
	released := map[string]int64{}
	taken := map[string]int{}
	for _, id := range out {
		i := s.Instances[id]
		released[i.Pool] += i.CapacityCPU
		taken[i.Pool]++
	}
	slow := s.countLasting(out)
	for _, id := range s.order(left) {
		if len(out) >= slots {
			break
		}
		i := s.Instances[id]
		if i.State != StateUp || held[id] || s.down(id) || s.resting[id] || s.Reports[i.Pool].LongRunningPending {
			continue // A task that lasts waits for room there.
		}
		early := s.lastingOn(id) > 0 && slow < lastingAtOnce && len(s.Reports[i.Pool].Workers) > 2
		if !urgent && !early && !s.mayRelease(i, released[i.Pool], taken[i.Pool]) {
			continue
		}
		if s.lastingOn(id) > 0 {
			slow++
		}
		released[i.Pool] += i.CapacityCPU
		taken[i.Pool]++
		out = append(out, id)
	}
	return out[:min(len(out), max(slots, 0))]
}

func (s *State) heldFirst(left []string, held map[string]bool) []string {
	var out []string
	for _, id := range left {
		if i := s.Instances[id]; held[id] && i.State == StateUp && !s.resting[id] && !s.Reports[i.Pool].LongRunningPending {
			out = append(out, id)
		}
	}
	return out
}

// urgent reports whether the rest of the wave takes the rest of its time.
func (s *State) urgent(w Wave, left int) bool {
	rounds := (left + max(w.Cap, 1) - 1) / max(w.Cap, 1)
	return s.Now-w.SeenAt+time.Duration(rounds+1)*roundTime > w.Duration
}

// mayRelease reports whether a pool can do without one more instance.
func (s *State) mayRelease(i Instance, released int64, taken int) bool {
	r, ok := s.Reports[i.Pool]
	if !ok {
		return s.Spare[i.Pool]
	}
	usable := 0
	for _, w := range r.Workers {
		if w.Usable && !w.Cordoned {
			usable++
		}
	}
	if float64(usable-taken-1) < keepShare*float64(len(r.Workers)) {
		return false
	}
	need := float64(r.UsedCPU+r.PendingCPU) * demandMargin
	return float64(r.CapacityCPU-released-i.CapacityCPU) >= need
}

// lastingAtOnce is how many instances with tasks that last are emptied at any time from a wave's start, whatever the demand:
// their tasks leave one after the other, each once the one before is at work again.
const lastingAtOnce = 2

// lastingOn counts the tasks that last on an instance.
func (s *State) lastingOn(id string) int {
	w, _ := s.workerOf(s.Instances[id])
	return w.LongRunning
}

// workerOf is what the pool's owner reports of an instance's worker, and false if it doesn't know the worker.
func (s *State) workerOf(i Instance) (engine.WorkerReport, bool) {
	list := s.Reports[i.Pool].Workers
	if k := slices.IndexFunc(list, func(w engine.WorkerReport) bool { return w.ID == i.Worker }); k >= 0 {
		return list[k], true
	}
	return engine.WorkerReport{}, false
}

func (s *State) countLasting(ids []string) int {
	n := 0
	for _, id := range ids {
		if s.lastingOn(id) > 0 {
			n++
		}
	}
	return n
}

// order sorts instances by what taking them costs now, a few of those with tasks that last first.
func (s *State) order(ids []string) []string {
	out := slices.Clone(ids)
	slices.SortStableFunc(out, func(a, b string) int { return cmp.Compare(s.takingCost(a), s.takingCost(b)) })
	var first, rest []string
	for _, id := range out {
		if s.lastingOn(id) > 0 && len(first) < lastingAtOnce {
			first = append(first, id)
			continue
		}
		rest = append(rest, id)
	}
	return append(first, rest...)
}

func (s *State) takingCost(id string) float64 {
	i := s.Instances[id]
	r, ok := s.Reports[i.Pool]
	if !ok {
		return 0
	}
	load := float64(r.UsedCPU+r.PendingCPU) / float64(max(r.CapacityCPU, 1))
	w, ok := s.workerOf(i)
	if !ok {
		return load
	}
	return load + float64(w.UsedCPU)/float64(max(w.CapacityCPU, 1)) + 3*float64(w.LongRunning)
}
