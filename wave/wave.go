// Package wave plans maintenance waves and decides their next steps. It does no I/O and reads no clock:
// callers pass in the fleet, the budgets and the time. Package fleet checks each step again in the
// transaction that executes it.
package wave

import (
	"slices"
	"time"

	"samphirepoint/instance"
)

// Prefix is the key prefix of the rows waves/<id>, which hold the plan and progress of a wave.
const Prefix = "waves/"

const (
	// DefaultDrainTimeout is the time after which the tasks of a draining worker are checkpointed and requeued.
	DefaultDrainTimeout = 2 * time.Minute
	// DefaultLength is the time from the start of a wave to its deadline.
	DefaultLength = 4 * time.Hour
	// DefaultRebootTimeout is the time after which a rebooting worker that does not respond
	// counts as failed.
	DefaultRebootTimeout = 10 * time.Minute
)

// Status is the status of a wave.
type Status string

// Statuses of a wave.
const (
	Planned   Status = "planned"
	Running   Status = "running"
	Paused    Status = "paused"
	Done      Status = "done"
	Cancelled Status = "cancelled"
)

// Result is the result of an instance in a wave.
type Result string

// Results of instances. A result is final: the wave takes no further steps for an instance that has one.
const (
	Maintained    Result = "maintained"
	NotMaintained Result = "not maintained: deadline"
	Skipped       Result = "not maintained: wave cancelled"
	Failed        Result = "not maintained: instance failed"
	Gone          Result = "not maintained: instance left the fleet"
	BeyondBudget  Result = "not maintained: rack exceeds a pool's budget"
)

// Group is the set of instances of one rack that a wave maintains before it proceeds to the next rack.
type Group struct {
	// Pool is empty in a wave that reboots whole racks at once.
	Pool      string   `json:"pool,omitempty"`
	Zone      string   `json:"zone"`
	Rack      string   `json:"rack,omitempty"`
	Instances []string `json:"instances"`
}

// Pause describes why a wave is paused.
type Pause struct {
	Reason string `json:"reason"`
	// Auto resumes the wave as soon as the cause no longer exists; otherwise an operator must resume it.
	Auto bool `json:"auto,omitempty"`
}

// Wave is the value of a row waves/<id>.
type Wave struct {
	ID      string    `json:"id"`
	Created time.Time `json:"created"`
	By      string    `json:"by"`
	// Operation is the ID of the operator's request, used to recognize a resubmission.
	Operation string  `json:"operation,omitempty"`
	Reason    string  `json:"reason,omitempty"`
	Status    Status  `json:"status"`
	Pause     *Pause  `json:"pause,omitempty"`
	Groups    []Group `json:"groups"`
	// RackAtOnce makes the wave reboot the instances of a rack together, after all of them have drained.
	RackAtOnce   bool          `json:"rackAtOnce,omitempty"`
	DrainTimeout time.Duration `json:"drainTimeout"`
	// Length is the time from the start to Deadline.
	Length time.Duration `json:"length"`
	// NotBefore, if set, is the time at which the planned wave starts automatically.
	NotBefore time.Time `json:"notBefore,omitzero"`
	Started   time.Time `json:"started,omitzero"`
	// Resumed is the time at which an operator last resumed the wave; earlier failures do not pause it again.
	Resumed  time.Time `json:"resumed,omitzero"`
	Deadline time.Time `json:"deadline,omitzero"`
	Ended    time.Time `json:"ended,omitzero"`
	// YieldTo is the ID of the older wave to which this wave yielded.
	YieldTo string            `json:"yieldTo,omitempty"`
	Results map[string]Result `json:"results,omitempty"`
	// Waits are the waits of the last step, shown to operators.
	Waits []Wait `json:"waits,omitempty"`
}

// Ended reports whether the wave has ended, so that no further steps follow.
func (s Status) Ended() bool { return s == Done || s == Cancelled }

// Start sets a planned wave to Running from now until its deadline.
func (w *Wave) Start(now time.Time) {
	w.Status, w.Started, w.Deadline = Running, now, now.Add(w.Length)
}

// Instances returns the IDs of all instances of the wave in plan order.
func (w *Wave) Instances() []string {
	var ids []string
	for _, g := range w.Groups {
		ids = append(ids, g.Instances...)
	}
	return ids
}

// Settle records the result of an instance. It keeps an earlier result and then returns false.
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

// Count returns the number of instances per result; the key "" counts those without a result.
func (w *Wave) Count() map[Result]int {
	counts := map[Result]int{}
	for _, id := range w.Instances() {
		counts[w.Results[id]]++
	}
	return counts
}

// compareAge orders waves by creation time, then by ID.
func compareAge(a, b *Wave) int {
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

// RackPeers returns the other instances that must have drained before instance id may reboot, without those
// that have a result, have failed or have left the fleet. It is empty unless RackAtOnce is set.
func (w *Wave) RackPeers(id string, f *instance.Fleet) []string {
	if !w.RackAtOnce {
		return nil
	}
	g, _ := w.groupOf(id)
	var peers []string
	for _, peer := range g.Instances {
		in, ok := f.Instances[peer]
		if peer == id || !ok || in.State == instance.Failed || w.Results[peer] != "" {
			continue
		}
		peers = append(peers, peer)
	}
	return peers
}
