package wave

import (
	"fmt"
	"slices"

	"samphirepoint/instance"
)

func waveNode(w *Wave) Node { return Node{KindWave, w.ID} }

// breakCycles makes the youngest wave of each wait cycle give way to the oldest one.
func (p *planner) breakCycles(waves []*Wave) {
	for _, cycle := range p.graph().Cycles() {
		var in []*Wave
		for _, w := range waves {
			if slices.Contains(cycle, waveNode(w)) {
				in = append(in, w)
			}
		}
		if len(in) < 2 {
			continue // a wave never gives way to itself; its deadline ends the wait
		}
		old, young := in[0], in[len(in)-1]
		// The wave must not take budget in the round in which it gives way.
		p.steps = slices.DeleteFunc(p.steps, func(s Step) bool { return s.Wave == young.ID && s.Kind == StepDrain })
		why := fmt.Sprintf("wait cycle %v", cycle)
		p.add(Step{Kind: StepYield, Wave: young.ID, YieldTo: old.ID, Waits: []Wait{{From: waveNode(young), For: waveNode(old), Reason: why}}})
	}
}

// graph holds the waits of the steps, the instances that use up awaited budgets, and drained
// instances that wait for the rest of their rack.
func (p *planner) graph() Graph {
	g := Graph{}
	g.Add(p.Waits...)
	pools := map[string]bool{}
	for _, s := range p.steps {
		g.Add(s.Waits...)
		for _, w := range s.Waits {
			if w.For.Kind == KindPool {
				pools[w.For.Name] = true
			}
		}
	}
	for pool := range pools {
		for _, id := range p.out[pool] {
			g.Add(Wait{From: Node{KindPool, pool}, For: Node{KindInstance, id}})
		}
	}
	for id, in := range p.Fleet.Instances {
		w, ok := p.byID[in.Wave]
		if !ok || in.State != instance.Draining {
			continue
		}
		for _, mate := range w.RackPeers(id, p.Fleet) {
			if p.Fleet.Instances[mate].Wave != w.ID {
				g.Add(Wait{From: Node{KindInstance, id}, For: waveNode(w), Reason: "instance " + mate + " of its rack has not drained"})
				break
			}
		}
	}
	for n := range g {
		slices.SortFunc(g[n], compareNodes)
	}
	return g
}
