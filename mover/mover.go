// Package mover decides which instances move between pools, and how many are kept as a spare. It
// has no I/O and no clock. Queues borrow slots from their next pool first; a move is for demand
// that lasts.
package mover

import "time"

// Role of a pool for the mover.
type Role int

// Roles of pools.
const (
	// Home pools are the first pool of some queue.
	Home Role = iota
	// Spare pools take the overflow of other pools' queues.
	Spare
	// Parked pools are spare pools that no queue uses: their instances serve nothing, and may be
	// maintained, lent or given back.
	Parked
)

// Pool is the state of a pool.
type Pool struct {
	Name string
	Role Role
	// Serving instances; those that move in or out are not included.
	Serving   int
	MovingIn  int
	MovingOut int
	// Slots per instance.
	Slots float64
	// Demand in slots of the queues whose home is this pool: slots in use in any pool, plus what it takes
	// to start within a second the work that has waited for longer than the overflow time of 100 ms and so
	// found no slot anywhere, which is the estimated run time in seconds of each request, at most 1. Counting
	// younger work too overstates short work: at 400 requests a second it is 40 requests at any moment.
	Demand float64
	// Movable is the number of instances that the pool's budget allows to take out now.
	Movable int
}

// Input is a snapshot of all pools.
type Input struct {
	Now   time.Time
	Pools []Pool
}

// Move is the decision to move one instance. The controller picks which one.
type Move struct {
	From   string `json:"from"`
	To     string `json:"to"`
	Reason string `json:"why"`
}

// Policy decides moves. Plan is called at regular intervals of a few seconds with growing times.
type Policy interface {
	Name() string
	Plan(Input) []Move
}

// Fixed never moves: the spare has the size that the operators gave it. It is a baseline.
type Fixed struct{}

// Name implements Policy.
func (Fixed) Name() string { return "fixed" }

// Plan implements Policy.
func (Fixed) Plan(Input) []Move { return nil }
