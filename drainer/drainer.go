// Package drainer decides the next step of an instance that drains, reboots or returns. It has no I/O
// and no clock; the holder of the fleet lease passes in the worker's status, the members' versions and the time.
package drainer

import (
	"fmt"
	"slices"
	"time"

	"samphirepoint/instance"
	"samphirepoint/wave"
)

const (
	// ContactBound is the time without news after which a member has stopped taking work by itself: the
	// freshness bound of 5 s, its check interval of 250 ms, and a margin for clock rates.
	ContactBound = 5500 * time.Millisecond
	// CheckpointGrace is the time between the checkpoint of a task and its stop, in which the task's
	// owner can read the checkpoint.
	CheckpointGrace = 5 * time.Second
)

// Work is a request or a task that holds a slot of a worker.
type Work struct {
	// ID is the task's id, or the request's id if Task is false.
	ID         string
	Task       bool
	Idempotent bool
	Backer     string
}

// Worker is the status of a worker. A worker does not drain any more once it has rebooted.
type Worker struct {
	Draining bool
	Running  []Work
}

// Member is what the holder knows of an entry, itself included.
type Member struct {
	ID           string
	FleetVersion int64
	// LastContact is the last time at which the member was heard of.
	LastContact time.Time
}

// RackPeer is an instance of the same rack that must be ready to reboot first.
type RackPeer struct {
	ID    string
	Ready bool
}

// Action says what the holder does next.
type Action string

// Actions. Those marked "row" change the instance row; the others call the worker.
const (
	// Wait does nothing; Waits names the causes.
	Wait Action = "wait"
	// Drain tells the worker to refuse new work.
	Drain Action = "drain"
	// Checkpoint and Stop apply to Tasks.
	Checkpoint Action = "checkpoint"
	Stop       Action = "stop"
	// Reboot: row to rebooting. The call to the worker is RebootWorker, in a later step, so that a
	// new holder sees from the row that it may be due.
	Reboot       Action = "reboot"
	RebootWorker Action = "reboot worker"
	// Release: row to serving in the target pool.
	Release Action = "release"
	// Abort: row to serving in the old pool, not maintained or not moved.
	Abort Action = "give up"
	// Serve: row to serving after a reboot.
	Serve Action = "serve"
	// Fail: row to failed.
	Fail Action = "fail"
	// Undrain tells a serving worker to take work again.
	Undrain Action = "undrain"
	// Nothing is to be done.
	Nothing Action = "nothing"
)

// Input is the snapshot for one instance.
type Input struct {
	Now      time.Time
	Instance instance.Instance
	// Worker is nil if the worker did not answer now.
	Worker *Worker
	// DrainVersion is a fleet version from which on snapshots hold the draining row.
	DrainVersion int64
	Members      []Member
	// DrainTimeout counts from the start of the drain, RebootTimeout from that of the reboot.
	DrainTimeout  time.Duration
	RebootTimeout time.Duration
	// Deadline ends a drain that has not finished.
	Deadline time.Time
	// AbortReason, if not empty, says why a drain is to be given up: its wave or move was cancelled or gives way.
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
			return Decision{Action: Undrain, Reason: "the row says serving"}
		}
	}
	return Decision{Action: Nothing}
}

// Drained reports whether the instance may leave its pool: the worker refuses new work and has none in
// flight, and no member can still count on it.
func Drained(in Input) bool {
	return in.Worker != nil && in.Worker.Draining && len(in.Worker.Running) == 0 && len(in.unseen()) == 0
}

func (in Input) draining() Decision {
	switch {
	case in.AbortReason != "":
		return Decision{Action: Abort, Reason: in.AbortReason}
	case in.Worker == nil:
		if in.expired() {
			return Decision{Action: Abort, Reason: "deadline passed while the worker did not answer"}
		}
		return in.wait(in.worker(), "it does not answer")
	case !in.Worker.Draining:
		return Decision{Action: Drain}
	case Drained(in):
		return in.leave()
	case in.expired():
		return Decision{Action: Abort, Reason: "deadline passed with work in flight"}
	case len(in.Worker.Running) > 0:
		return in.running()
	}
	return in.waitMembers()
}

func (in Input) expired() bool { return !in.Deadline.IsZero() && !in.Now.Before(in.Deadline) }

// leave lets a drained instance go on.
func (in Input) leave() Decision {
	if in.Instance.TargetPool != "" {
		return Decision{Action: Release}
	}
	var d Decision
	for _, m := range in.RackPeers {
		if !m.Ready {
			d.Waits = append(d.Waits, in.waitFor(wave.Node{Kind: wave.KindInstance, Name: m.ID}, "the rack reboots together"))
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

// running decides on the work in flight of a draining worker.
func (in Input) running() Decision {
	wait := Decision{Action: Wait, Waits: in.waitWork()}
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

// stoppable returns the idempotent tasks: their owner runs them again from the checkpoint. Requests
// are never cut off, and non-idempotent tasks could not run again.
func (in Input) stoppable() []string {
	var ids []string
	for _, w := range in.Worker.Running {
		if w.Task && w.Idempotent {
			ids = append(ids, w.ID)
		}
	}
	return ids
}

func (in Input) waitWork() []wave.Wait {
	var waits []wave.Wait
	for _, w := range in.Worker.Running {
		kind := "request"
		if w.Task {
			kind = "task"
		}
		waits = append(waits, in.waitFor(wave.Node{Kind: wave.KindTask, Name: w.ID}, fmt.Sprintf("%s of backer %s, idempotent %t", kind, w.Backer, w.Idempotent)))
	}
	return waits
}

// unseen returns the members in contact that may not have the draining row yet.
func (in Input) unseen() []Member {
	return slices.DeleteFunc(slices.Clone(in.Members), func(m Member) bool {
		return m.FleetVersion >= in.DrainVersion || in.Now.Sub(m.LastContact) > ContactBound
	})
}

func (in Input) waitMembers() Decision {
	d := Decision{Action: Wait}
	for _, m := range in.unseen() {
		why := fmt.Sprintf("it holds fleet version %d, the drain is in %d", m.FleetVersion, in.DrainVersion)
		d.Waits = append(d.Waits, in.waitFor(wave.Node{Kind: wave.KindMember, Name: m.ID}, why))
	}
	return d
}

func (in Input) rebooting() Decision {
	switch {
	case in.Worker != nil && !in.Worker.Draining:
		return Decision{Action: Serve}
	case in.Now.Sub(in.Instance.Since) > in.RebootTimeout:
		return Decision{Action: Fail, Reason: "the worker has not rebooted in time"}
	case in.Worker == nil:
		return in.wait(in.worker(), "it reboots")
	case len(in.Worker.Running) > 0:
		return Decision{Action: Wait, Waits: in.waitWork()}
	}
	return Decision{Action: RebootWorker}
}

func (in Input) worker() wave.Node {
	return wave.Node{Kind: wave.KindWorker, Name: in.Instance.ID}
}

func (in Input) wait(n wave.Node, why string) Decision {
	return Decision{Action: Wait, Waits: []wave.Wait{in.waitFor(n, why)}}
}

func (in Input) waitFor(n wave.Node, why string) wave.Wait {
	return wave.Wait{From: wave.Node{Kind: wave.KindInstance, Name: in.Instance.ID}, For: n, Reason: why}
}
