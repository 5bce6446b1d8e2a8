package wave

import (
	"fmt"
	"slices"
	"strings"
)

// Kind is the kind of a node in the wait-for graph.
type Kind string

// Kinds of nodes.
const (
	KindWave     Kind = "wave"
	KindPool     Kind = "pool budget"
	KindInstance Kind = "instance"
	KindBacker   Kind = "backer"
	KindMember   Kind = "member"
	KindWork     Kind = "work"
	KindWorker   Kind = "worker"
	KindMove     Kind = "move"
	KindTime     Kind = "time"
)

// Node is a node of the wait-for graph.
type Node struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

func (n Node) String() string { return string(n.Kind) + " " + n.Name }

// Wait is an edge of the wait-for graph: From cannot proceed before For does.
type Wait struct {
	From   Node   `json:"from"`
	For    Node   `json:"for"`
	Reason string `json:"why,omitempty"`
}

func (w Wait) String() string {
	if w.Reason == "" {
		return fmt.Sprintf("%s waits for %s", w.From, w.For)
	}
	return fmt.Sprintf("%s waits for %s: %s", w.From, w.For, w.Reason)
}

// Graph maps each waiting node to the nodes that it waits for.
type Graph map[Node][]Node

// Add adds the waits.
func (g Graph) Add(waits ...Wait) {
	for _, w := range waits {
		g[w.From] = append(g[w.From], w.For)
	}
}

// Cycles returns the sets of nodes that wait for each other in cycles, which are the strongly connected components
// with more than one node. Nodes are visited and returned in sorted order, so that two lease holders find the same sets.
func (g Graph) Cycles() [][]Node {
	nodes := make([]Node, 0, len(g))
	for n := range g {
		nodes = append(nodes, n)
	}
	slices.SortFunc(nodes, compareNodes)
	s := tarjan{graph: g, index: map[Node]int{}, lowLink: map[Node]int{}, onStack: map[Node]bool{}}
	for _, n := range nodes {
		if s.index[n] == 0 {
			s.visit(n)
		}
	}
	return s.components
}

func compareNodes(a, b Node) int {
	if c := strings.Compare(string(a.Kind), string(b.Kind)); c != 0 {
		return c
	}
	return strings.Compare(a.Name, b.Name)
}

// tarjan is the state of Tarjan's algorithm. Indexes start at 1; 0 marks a node that was not visited yet.
type tarjan struct {
	graph      Graph
	index      map[Node]int
	lowLink    map[Node]int
	onStack    map[Node]bool
	stack      []Node
	components [][]Node
}

func (s *tarjan) visit(n Node) {
	s.index[n] = len(s.index) + 1
	s.lowLink[n] = s.index[n]
	s.stack = append(s.stack, n)
	s.onStack[n] = true
	for _, next := range s.graph[n] {
		switch {
		case s.index[next] == 0:
			s.visit(next)
			s.lowLink[n] = min(s.lowLink[n], s.lowLink[next])
		case s.onStack[next]:
			s.lowLink[n] = min(s.lowLink[n], s.index[next])
		}
	}
	if s.lowLink[n] == s.index[n] {
		s.popComponent(n)
	}
}

// popComponent removes the component with root n from the stack.
func (s *tarjan) popComponent(n Node) {
	at := slices.Index(s.stack, n)
	component := slices.Clone(s.stack[at:])
	s.stack = s.stack[:at]
	for _, m := range component {
		s.onStack[m] = false
	}
	if len(component) > 1 {
		slices.SortFunc(component, compareNodes)
		s.components = append(s.components, component)
	}
}
