// Package upkeep implements the fleet controller, which runs waves of upkeep and moves instances between pools. Decisions
// are pure functions over a State; the Controller observes the state, stores each order and then sends it.
//
// One daemon at a time has the role of the fleet controller. Every order for an instance is written to the instance's row
// before it is sent, on the condition that the claim still stands, so a successor knows which orders may still be executed
// and leaves a minimum time between its predecessor's orders and its own.
package upkeep

import (
	"slices"
	"time"

	"samphirepoint/engine"
	"samphirepoint/shard"
)

// States of an instance in the platform's list.
const (
	StateUp     = "up"
	StateMoving = "moving"
	StateUpkeep = "upkeep"
	StateDown   = "down"
)

// Instance is one row of the platform's list. Worker is the ID of its present worker incarnation, or empty.
type Instance struct {
	ID, Pool, State, Worker, Rack string
	CapacityCPU, CapacityGPU      int64
	Labels                        []string
}

// Wave requests the upkeep of instances, at most Cap of them at once, within Duration of SeenAt.
type Wave struct {
	ID        int64
	Instances []string
	Cap       int
	Duration  time.Duration
	SeenAt    time.Duration
}

// OrderRecord is the stored form of the last order for an instance.
type OrderRecord struct {
	Holder string `json:"h"`
	AtMS   int64  `json:"t"`
	// TargetPool is set for a move, Wave for an upkeep.
	TargetPool string `json:"p,omitempty"`
	Wave       int64  `json:"w,omitempty"`
	// Open is set until the order is known to have been executed or rejected.
	Open bool `json:"o,omitempty"`
	// Worker is the worker incarnation that the order terminates.
	Worker string `json:"i,omitempty"`
	// Started lists the waves whose upkeep of the instance has started.
	Started []int64 `json:"b,omitempty"`
}

// State is the snapshot of the fleet on which decisions are based.
type State struct {
	Now       time.Duration
	Instances map[string]Instance
	Waves     []Wave
	Orders    map[string]OrderRecord
	Reports   map[string]engine.PoolReport
	Spare     map[string]bool
	// Baseline is how many instances each pool had before any was moved.
	Baseline map[string]int

	// layout has the shards of the pools, shardOf that of a pool's worker.
	layout  *shard.Layout
	shardOf func(pool, worker string) (string, bool)
	// coolingDown holds the instances that did not drain in time and take work again for a while.
	coolingDown map[string]bool
	// starting holds the instances that are down and are expected to be up soon without an order.
	starting map[string]bool
	// inProgress holds the instances that are being drained for an order.
	inProgress map[string]bool
}

// started reports whether the upkeep of an instance in a wave has started.
func (s *State) started(id string, wave int64) bool {
	return slices.Contains(s.Orders[id].Started, wave)
}

// mayBeDown reports whether the instance may be unavailable because of its last order: it is not known to be up with a new
// worker incarnation.
func (s *State) mayBeDown(id string) bool {
	rec, ok := s.Orders[id]
	if !ok || (rec.Wave == 0 && rec.TargetPool == "") {
		return false
	}
	i := s.Instances[id]
	return rec.Open || i.State != StateUp || i.Worker == rec.Worker
}

// Remaining lists the instances of a wave whose upkeep has not started, without those that have left the fleet.
func (s *State) Remaining(w Wave) []string {
	var out []string
	for _, id := range w.Instances {
		if _, stays := s.Instances[id]; stays && !s.started(id, w.ID) {
			out = append(out, id)
		}
	}
	return out
}

// upkeepDue returns the workers whose instances wait for their upkeep in the given waves, by shard.
func (s *State) upkeepDue(waves []Wave) map[string][]string {
	out := map[string][]string{}
	for _, w := range waves {
		for _, id := range s.Remaining(w) {
			if i := s.Instances[id]; i.Worker != "" && !s.Spare[i.Pool] && !s.mayBeDown(id) {
				name := s.shardOfInstance(i)
				out[name] = append(out[name], i.Worker)
			}
		}
	}
	delete(out, noShard)
	return out
}
