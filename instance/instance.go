// Package instance defines the table rows that store the pool and the state of each worker.
// The pool is a single field of a single row, so a worker belongs to exactly one pool.
package instance

import "time"

// Keys of fleet state in the platform's table.
const (
	Prefix            = "instances/"
	PrefixDisruptions = "disruptions/"
	// KeyFleetVersion is the key of a row that is written in every transaction that changes an instance row, so
	// one read is sufficient to detect a change of the fleet.
	KeyFleetVersion = "fleet/version"
)

// State of an instance in the fleet.
type State string

// States of an instance.
const (
	Serving   State = "serving"
	Draining  State = "draining"
	Rebooting State = "rebooting"
	Failed    State = "failed"
)

// Instance is the row instances/<id>.
type Instance struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Region  string `json:"region,omitempty"`
	Rack    string `json:"rack,omitempty"`
	Slots   int    `json:"slots"`
	Pool    string `json:"pool"`
	State   State  `json:"state"`
	// TargetPool is the destination pool; it is set while the instance drains in order to move.
	TargetPool string `json:"targetPool,omitempty"`
	// Wave is the ID of the maintenance wave that drains or reboots the instance.
	Wave string `json:"wave,omitempty"`
	// RebootOf is the incarnation of the worker that the reboot ends, in state rebooting; 0 if the worker doesn't report it.
	RebootOf int64 `json:"rebootOf,omitempty"`
	// Since is the time of the last change of State.
	Since time.Time `json:"since"`
	// Maintained is the time at which the last maintenance finished.
	Maintained time.Time `json:"maintained,omitzero"`
	// Version is the row's version in the table; it is not part of the stored value.
	Version int64 `json:"-"`
}

// Fleet is a snapshot of all instance rows.
type Fleet struct {
	// Version is the version of row fleet/version at or before which the rows were read.
	Version   int64
	Instances map[string]Instance
}

// Pool returns the instances of a pool in no particular order.
func (f *Fleet) Pool(name string) []Instance {
	var members []Instance
	for _, in := range f.Instances {
		if in.Pool == name {
			members = append(members, in)
		}
	}
	return members
}
