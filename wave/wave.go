// Package wave plans maintenance waves and decides their next steps. It has no I/O and no clock: the
// fleet, the budgets and the time are passed in, and package fleet checks each step again in the
// transaction that takes it.
package wave

import (
	"slices"
	"time"

	"samphirepoint/instance"
)

// Prefix of the rows waves/<id> that hold a wave's plan and progress.
const Prefix = "waves/"

const (
	// DefaultDrainTimeout is the time after which tasks are checkpointed and requeued.
	DefaultDrainTimeout = 2 * time.Minute
	// DefaultLength is the time from the start of a wave to its deadline.
	DefaultLength = 4 * time.Hour
	// DefaultRebootTimeout is the time after which a rebooting worker that does not answer
	// counts as failed.
	DefaultRebootTimeout = 10 * time.Minute
)

// Status of a wave.
type Status string

// Statuses of a wave.
const (
	Planned   Status = "planned"
	Running   Status = "running"
	Paused    Status = "paused"
	Done      Status = "done"
	Cancelled Status = "cancelled"
)

// Result of an instance in a wave.
type Result string

// Results of instances. An instance with a result is settled: the wave does not touch it again.
const (
	Maintained    Result = "maintained"
	NotMaintained Result = "not maintained: deadline"
	Skipped       Result = "not maintained: wave cancelled"
	Failed        Result = "not maintained: instance failed"
	Gone          Result = "not maintained: instance left the fleet"
	BeyondBudget  Result = "not maintained: rack exceeds a pool's budget"
)

// Group is the set of instances of one rack that a wave works on before it turns to the next rack.
type Group struct {
	// Pool is empty in a wave that takes whole racks out.
	Pool      string   `json:"pool,omitempty"`
	Zone      string   `json:"zone"`
	Rack      string   `json:"rack,omitempty"`
	Instances []string `json:"instances"`
}

// Pause says why a wave is paused.
type Pause struct {
	Reason string `json:"reason"`
	// Auto lifts the pause when its cause is gone; otherwise an operator resumes the wave.
	Auto bool `json:"auto,omitempty"`
}

// Wave is the value of a row waves/<id>.
type Wave struct {
	ID      string    `json:"id"`
	Created time.Time `json:"created"`
	By      string    `json:"by"`
	// Operation is the id of the operator's request, so that its repeat is recognized.
	Operation string  `json:"operation,omitempty"`
	Reason    string  `json:"reason,omitempty"`
	Status    Status  `json:"status"`
	Pause     *Pause  `json:"pause,omitempty"`
	Groups    []Group `json:"groups"`
	// RackAtOnce reboots the instances of a rack together, after all of them have drained.
	RackAtOnce   bool          `json:"rackAtOnce,omitempty"`
	DrainTimeout time.Duration `json:"drainTimeout"`
	// Length is the time from the start to Deadline.
	Length time.Duration `json:"length"`
	// NotBefore, if set, starts the planned wave by itself at that time.
	NotBefore time.Time `json:"notBefore,omitzero"`
	Started   time.Time `json:"started,omitzero"`
	// Resumed is the time of the last resume by an operator; older failures do not pause the wave again.
	Resumed  time.Time `json:"resumed,omitzero"`
	Deadline time.Time `json:"deadline,omitzero"`
	Ended    time.Time `json:"ended,omitzero"`
	// YieldTo names the older wave to which this wave gave way.
	YieldTo string            `json:"yieldTo,omitempty"`
	Results map[string]Result `json:"results,omitempty"`
	// Waits are those of the last step, for operators.
	Waits []Wait `json:"waits,omitempty"`
}

// Ended reports whether no further step of the wave follows.
func (s Status) Ended() bool { return s == Done || s == Cancelled }

// Start makes a planned wave run from now to its deadline.
func (w *Wave) Start(now time.Time) {
	w.Status, w.Started, w.Deadline = Running, now, now.Add(w.Length)
}

// Instances returns the ids of all instances of the wave in plan order.
func (w *Wave) Instances() []string {
	var ids []string
	for _, g := range w.Groups {
		ids = append(ids, g.Instances...)
	}
	return ids
}

// Settle records the result of an instance. The first result stays.
func (w *Wave) Settle(id string, r Result) bool {
	if w.Results[id] != "" {
		return false
	}
	if w.Results == nil {
		w.Results = map[string]Result{}
	}
	w.Results[id] = r
	return true
}

// Count returns how many instances have each result; unsettled ones are under "".
func (w *Wave) Count() map[Result]int {
	counts := map[Result]int{}
	for _, id := range w.Instances() {
		counts[w.Results[id]]++
	}
	return counts
}

// older orders waves by creation; the id breaks ties.
func older(a, b *Wave) int {
	if c := a.Created.Compare(b.Created); c != 0 {
		return c
	}
	if a.ID < b.ID {
		return -1
	}
	if a.ID > b.ID {
		return 1
	}
	return 0
}

func (w *Wave) groupOf(id string) (Group, bool) {
	for _, g := range w.Groups {
		if slices.Contains(g.Instances, id) {
			return g, true
		}
	}
	return Group{}, false
}

// RackPeers returns the instances that must have drained before instance id may reboot, without those
// that are settled, failed or gone. It is empty unless the wave takes whole racks out.
func (w *Wave) RackPeers(id string, f *instance.Fleet) []string {
	if !w.RackAtOnce {
		return nil
	}
	g, _ := w.groupOf(id)
	var mates []string
	for _, mate := range g.Instances {
		in, ok := f.Instances[mate]
		if mate == id || !ok || in.State == instance.Failed || w.Results[mate] != "" {
			continue
		}
		mates = append(mates, mate)
	}
	return mates
}
