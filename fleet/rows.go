// Package fleet keeps the instance rows: a view that every entry polls, the transactions that change
// them, and the controller that the holder of leases/fleet runs.
package fleet

import (
	"time"

	"samphirepoint/instance"
	"samphirepoint/wave"
)

const (
	// PrefixMoves of the rows moves/<id> that ask for the move of one instance.
	PrefixMoves = "moves/"
	// KeyOperations is written in each transaction that changes a wave or a move, so that the
	// controller reads these rows only on change.
	KeyOperations = "fleet/operations"
	// LeaseName is the role of the process that steps drains, waves and moves.
	LeaseName = "fleet"
)

// recentChanges is the number of changes that row fleet/version lists. A view that is at most that many
// versions behind reads only the changed rows: at 1,500 instances a full read costs about 450 KB,
// and some 700 changes a day would cost 3.6 KB/s.
const recentChanges = 16

// versionRow is the value of fleet/version.
type versionRow struct {
	// Token of the lease holder that wrote the last change.
	Token   int64    `json:"token,omitempty"`
	Changes []change `json:"changes"`
}

// change lists the instance rows that a version wrote.
type change struct {
	Version   int64    `json:"v"`
	Instances []string `json:"ids"`
}

// Disruptions is the value of disruptions/<pool>: the instances of the pool that are out now.
type Disruptions struct {
	Unavailable map[string]Out `json:"out"`
}

// Out says why an instance is out.
type Out struct {
	State instance.State `json:"state"`
	Wave  string         `json:"wave,omitempty"`
	Zone  string         `json:"zone,omitempty"`
	Rack  string         `json:"rack,omitempty"`
}

// MoveStatus is the progress of a move.
type MoveStatus string

// Statuses of moves.
const (
	MovePending   MoveStatus = "pending"
	MoveDraining  MoveStatus = "draining"
	MoveDone      MoveStatus = "done"
	MoveCancelled MoveStatus = "cancelled"
	MoveFailed    MoveStatus = "failed"
)

// Ended reports whether no further step of the move follows.
func (s MoveStatus) Ended() bool {
	return s == MoveDone || s == MoveCancelled || s == MoveFailed
}

// Move is the value of a row moves/<id>. An instance without a row yet is registered in pool To.
type Move struct {
	ID       string      `json:"id"`
	Instance string      `json:"instance"`
	From     string      `json:"from,omitempty"`
	To       string      `json:"to"`
	By       string      `json:"by"`
	Reason   string      `json:"reason,omitempty"`
	Created  time.Time   `json:"created"`
	Status   MoveStatus  `json:"status"`
	Note     string      `json:"note,omitempty"`
	Ended    time.Time   `json:"ended,omitzero"`
	Waits    []wave.Wait `json:"waits,omitempty"`
}
