package mover

import (
	"fmt"
	"math"
)

// Greedy moves spare instances to a pool as soon as its demand exceeds its size, and returns them as
// soon as the demand falls. It serves as a baseline for comparisons.
type Greedy struct {
	baseline map[string]int
}

// Name implements Policy.
func (*Greedy) Name() string { return "greedy" }

// Plan implements Policy.
func (g *Greedy) Plan(in Input) []Move {
	if g.baseline == nil {
		g.baseline = map[string]int{}
		for _, p := range in.Pools {
			g.baseline[p.Name] = p.Serving
		}
	}
	spare := -1
	for i, p := range in.Pools {
		if p.Role == Spare {
			spare = i
		}
	}
	if spare < 0 {
		return nil
	}
	spareLeft := min(in.Pools[spare].Serving, in.Pools[spare].Movable)
	var moves []Move
	for _, p := range in.Pools {
		if p.Role != Home {
			continue
		}
		desired := max(int(math.Ceil(p.Demand/p.Slots)), g.baseline[p.Name])
		current := p.Serving + p.MovingIn
		for ; current < desired && spareLeft > 0; current, spareLeft = current+1, spareLeft-1 {
			moves = append(moves, Move{From: in.Pools[spare].Name, To: p.Name, Reason: fmt.Sprintf("demand of %.0f slots", p.Demand)})
		}
		for n := p.Movable; current > desired && n > 0; current, n = current-1, n-1 {
			moves = append(moves, Move{From: p.Name, To: in.Pools[spare].Name, Reason: fmt.Sprintf("demand of %.0f slots", p.Demand)})
		}
	}
	return moves
}
