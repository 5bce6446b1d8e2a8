// Package mover decides how many instances move between pools, and how many are kept in the spare pool. It
// does no I/O and reads no clock. Queues first borrow slots from their next pool; moves are for sustained
// demand.
package mover

import "time"

// Role determines how a pool takes part in moves.
type Role int

// Roles of pools.
const (
	// Home is the role of a pool that is the first pool of some queue.
	Home Role = iota
	// Spare is the role of a pool that takes the overflow of other pools' queues.
	Spare
	// Parked is the role of a spare pool that no queue uses: its instances serve nothing, and may be
	// maintained, lent or returned.
	Parked
)

// Pool is the state of a pool at the time of the decision.
type Pool struct {
	Name string
	Role Role
	// Serving is the number of instances that serve the pool, without those that move in or out.
	Serving   int
	MovingIn  int
	MovingOut int
	// Slots is the number of slots per instance.
	Slots float64
	// Demand is the demand in slots of the queues whose home is this pool: their slots in use in any pool, plus
	// the slots needed to start their overdue work within a second. Work is overdue if it has waited for longer than
	// the overflow time of 100 ms and so found no slot anywhere; each request counts with its estimated run time in
	// seconds, at most 1. Counting younger work would overstate short work: at 400 requests a second, 40 requests
	// are younger than 100 ms at any moment.
	Demand float64
	// Movable is the number of instances that may be removed now within the pool's budget.
	Movable int
}

// Input is a snapshot of all pools.
type Input struct {
	Now   time.Time
	Pools []Pool
}

// Move is the decision to move one instance; the controller picks which one.
type Move struct {
	From   string `json:"from"`
	To     string `json:"to"`
	Reason string `json:"why"`
}

// Policy decides on moves. Plan is called at regular intervals of a few seconds with increasing times.
type Policy interface {
	Name() string
	Plan(Input) []Move
}

// Fixed never moves an instance: the spare pool keeps the size that the operators set. It serves as a baseline for
// comparisons.
type Fixed struct{}

// Name implements Policy.
func (Fixed) Name() string { return "fixed" }

// Plan implements Policy.
func (Fixed) Plan(Input) []Move { return nil }
