// Package drainer decides the next step of an instance that drains, reboots or returns to service. It does no I/O
// and reads no clock; the holder of the fleet lease passes in the worker's status, the members' versions and the time.
package drainer

import (
	"fmt"
	"slices"
	"time"

	"samphirepoint/instance"
	"samphirepoint/wave"
)

const (
	// ContactTimeout is the time without contact after which a member has stopped accepting work on its own: the
	// freshness bound of 5 s, its check interval of 250 ms, and a margin for differences in clock rate.
	ContactTimeout = 5500 * time.Millisecond
	// CheckpointGrace is the time between the checkpoint of a task and its stop, during which the task's
	// owner can read the checkpoint.
	CheckpointGrace = 5 * time.Second
)

// Work is a request or a task that occupies a slot of a worker.
type Work struct {
	// ID is the task's ID, or the request's ID if Task is false.
	ID         string
	Task       bool
	Idempotent bool
	Backer     string
}

// Worker is the status of a worker. A worker no longer drains once it has rebooted.
type Worker struct {
	// Incarnation is the start time of the worker's process in Unix milliseconds, or 0 if the worker doesn't report it.
	Incarnation int64
	Draining    bool
	Running     []Work
}

// Member is the state of an entry as known to the lease holder, which is a member too.
type Member struct {
	ID           string
	FleetVersion int64
	// LastContact is the time of the last contact with the member.
	LastContact time.Time
}

// RackPeer is an instance of the same rack that must be ready before the rack reboots.
type RackPeer struct {
	ID    string
	Ready bool
}

// Action is the next step of the lease holder.
type Action string

// Actions. Those that set the row change the state in the instance row; the others call the worker.
const (
	// Wait does nothing; Decision.Waits lists the causes.
	Wait Action = "wait"
	// Drain makes the worker reject new work.
	Drain Action = "drain"
	// Checkpoint and Stop apply to Decision.Tasks.
	Checkpoint Action = "checkpoint"
	Stop       Action = "stop"
	// Reboot sets the row to rebooting. RebootWorker calls the worker in a later step, so that a
	// new lease holder sees from the row that the call may be due.
	Reboot       Action = "reboot"
	RebootWorker Action = "reboot worker"
	// Release sets the row to serving in the target pool.
	Release Action = "release"
	// Abort sets the row to serving in the old pool, not maintained or not moved.
	Abort Action = "give up"
	// Serve sets the row to serving after a reboot.
	Serve Action = "serve"
	// Fail sets the row to failed.
	Fail Action = "fail"
	// Undrain makes a serving worker accept work again.
	Undrain Action = "undrain"
	// Nothing means that no step is due.
	Nothing Action = "nothing"
)

// Input is the snapshot for one instance.
type Input struct {
	Now      time.Time
	Instance instance.Instance
	// Worker is nil if the worker did not respond.
	Worker *Worker
	// DrainVersion is a fleet version from which on all snapshots include the draining row.
	DrainVersion int64
	Members      []Member
	// DrainTimeout counts from the start of the drain, RebootTimeout from the start of the reboot.
	DrainTimeout  time.Duration
	RebootTimeout time.Duration
	// Deadline is the time at which an unfinished drain is aborted; zero means none.
	Deadline time.Time
	// AbortReason, if not empty, is the reason to abort the drain: its wave or move was cancelled or yields to another.
	AbortReason string
	// Checkpointed is the time of the first checkpoint of the instance's tasks, or zero.
	Checkpointed time.Time
	RackPeers    []RackPeer
}

// Decision is the next action.
type Decision struct {
	Action Action
	Tasks  []string
	Waits  []wave.Wait
	Reason string
}

// Decide returns the next step of the instance.
func Decide(in Input) Decision {
	switch in.Instance.State {
	case instance.Draining:
		return in.draining()
	case instance.Rebooting:
		return in.rebooting()
	case instance.Serving:
		if in.Worker != nil && in.Worker.Draining {
			return Decision{Action: Undrain, Reason: "the instance row is in state serving"}
		}
	}
	return Decision{Action: Nothing}
}

// Drained reports whether the instance may leave its pool: the worker rejects new work and has none in
// flight, and no member in contact may still use a snapshot without the draining row.
func Drained(in Input) bool {
	return in.Worker != nil && in.Worker.Draining && len(in.Worker.Running) == 0 && len(in.membersBehind()) == 0
}

func (in Input) draining() Decision {
	switch {
	case in.AbortReason != "":
		return Decision{Action: Abort, Reason: in.AbortReason}
	case in.Worker == nil:
		if in.expired() {
			return Decision{Action: Abort, Reason: "deadline passed while the worker did not answer"}
		}
		return in.waitOne(in.workerNode(), "the worker does not answer")
	case !in.Worker.Draining:
		return Decision{Action: Drain}
	case Drained(in):
		return in.afterDrain()
	case in.expired():
		return Decision{Action: Abort, Reason: "deadline passed with work in flight"}
	case len(in.Worker.Running) > 0:
		return in.running()
	}
	return in.waitForMembers()
}

func (in Input) expired() bool { return !in.Deadline.IsZero() && !in.Now.Before(in.Deadline) }

// afterDrain returns the next step of a drained instance.
func (in Input) afterDrain() Decision {
	if in.Instance.TargetPool != "" {
		return Decision{Action: Release}
	}
	var d Decision
	for _, peer := range in.RackPeers {
		if !peer.Ready {
			d.Waits = append(d.Waits, in.newWait(wave.Node{Kind: wave.KindInstance, Name: peer.ID}, "the instances of the rack reboot together"))
		}
	}
	switch {
	case len(d.Waits) == 0:
		return Decision{Action: Reboot}
	case in.expired():
		return Decision{Action: Abort, Reason: "deadline passed before the rest of the rack drained"}
	}
	d.Action = Wait
	return d
}

// running decides how to proceed with the work in flight of a draining worker.
func (in Input) running() Decision {
	wait := Decision{Action: Wait, Waits: in.waitsForWork()}
	if in.Now.Before(in.Instance.Since.Add(in.DrainTimeout)) {
		return wait
	}
	tasks := in.stoppable()
	switch {
	case len(tasks) == 0:
		return wait
	case in.Checkpointed.IsZero():
		return Decision{Action: Checkpoint, Tasks: tasks, Reason: "drain timeout"}
	case in.Now.Before(in.Checkpointed.Add(CheckpointGrace)):
		return wait
	}
	return Decision{Action: Stop, Tasks: tasks, Reason: "drain timeout"}
}

// stoppable returns the IDs of the idempotent tasks, which their owner resumes from the checkpoint. Requests
// are never interrupted, and non-idempotent tasks must not run again.
func (in Input) stoppable() []string {
	var ids []string
	for _, w := range in.Worker.Running {
		if w.Task && w.Idempotent {
			ids = append(ids, w.ID)
		}
	}
	return ids
}

func (in Input) waitsForWork() []wave.Wait {
	var waits []wave.Wait
	for _, w := range in.Worker.Running {
		kind := "request"
		if w.Task {
			kind = "task"
		}
		waits = append(waits, in.newWait(wave.Node{Kind: wave.KindWork, Name: w.ID}, fmt.Sprintf("%s of backer %s, idempotent %t", kind, w.Backer, w.Idempotent)))
	}
	return waits
}

// membersBehind returns the members in contact that may not have the draining row yet.
func (in Input) membersBehind() []Member {
	return slices.DeleteFunc(slices.Clone(in.Members), func(m Member) bool {
		return m.FleetVersion >= in.DrainVersion || in.Now.Sub(m.LastContact) > ContactTimeout
	})
}

func (in Input) waitForMembers() Decision {
	d := Decision{Action: Wait}
	for _, m := range in.membersBehind() {
		reason := fmt.Sprintf("the member has fleet version %d, the drain is in version %d", m.FleetVersion, in.DrainVersion)
		d.Waits = append(d.Waits, in.newWait(wave.Node{Kind: wave.KindMember, Name: m.ID}, reason))
	}
	return d
}

func (in Input) rebooting() Decision {
	switch {
	case in.Worker != nil && in.rebooted():
		return Decision{Action: Serve}
	case in.Now.Sub(in.Instance.Since) > in.RebootTimeout:
		return Decision{Action: Fail, Reason: "the worker has not rebooted in time"}
	case in.Worker == nil:
		return in.waitOne(in.workerNode(), "the worker is rebooting")
	case !in.Worker.Draining:
		return Decision{Action: Drain, Reason: "the worker accepts work before its reboot"}
	case len(in.Worker.Running) > 0:
		return Decision{Action: Wait, Waits: in.waitsForWork()}
	}
	return Decision{Action: RebootWorker}
}

// rebooted reports whether the worker has started again since its reboot was due. Without incarnations, that it accepts work is the only sign;
// an undrain order that arrived late has the same effect.
func (in Input) rebooted() bool {
	if in.Instance.RebootOf == 0 || in.Worker.Incarnation == 0 {
		return !in.Worker.Draining
	}
	return in.Worker.Incarnation != in.Instance.RebootOf
}

func (in Input) workerNode() wave.Node {
	return wave.Node{Kind: wave.KindWorker, Name: in.Instance.ID}
}

func (in Input) waitOne(n wave.Node, reason string) Decision {
	return Decision{Action: Wait, Waits: []wave.Wait{in.newWait(n, reason)}}
}

func (in Input) newWait(n wave.Node, reason string) wave.Wait {
	return wave.Wait{From: wave.Node{Kind: wave.KindInstance, Name: in.Instance.ID}, For: n, Reason: reason}
}
