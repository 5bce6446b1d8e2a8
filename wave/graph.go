package wave

import (
	"fmt"
	"slices"
	"strings"
)

// Kind of a node in the wait-for graph.
type Kind string

// Kinds of nodes.
const (
	KindWave     Kind = "wave"
	KindPool     Kind = "pool budget"
	KindInstance Kind = "instance"
	KindBacker   Kind = "backer"
	KindMember   Kind = "member"
	KindTask     Kind = "work"
	KindWorker   Kind = "worker"
	KindMove     Kind = "move"
	KindTime     Kind = "time"
)

// Node is something that waits or is waited for.
type Node struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

func (n Node) String() string { return string(n.Kind) + " " + n.Name }

// Wait says that one node cannot go on before another one does.
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

// Graph holds waits by the node that waits.
type Graph map[Node][]Node

// Add inserts the waits.
func (g Graph) Add(waits ...Wait) {
	for _, w := range waits {
		g[w.From] = append(g[w.From], w.For)
	}
}

// Cycles returns the sets of nodes that wait for each other in cycles (the strongly connected components
// with more than one node), each in a fixed order, so that two holders find the same sets.
func (g Graph) Cycles() [][]Node {
	nodes := make([]Node, 0, len(g))
	for n := range g {
		nodes = append(nodes, n)
	}
	slices.SortFunc(nodes, compareNodes)
	s := search{graph: g, index: map[Node]int{}, low: map[Node]int{}, onPath: map[Node]bool{}}
	for _, n := range nodes {
		if s.index[n] == 0 {
			s.visit(n)
		}
	}
	return s.found
}

func compareNodes(a, b Node) int {
	if c := strings.Compare(string(a.Kind), string(b.Kind)); c != 0 {
		return c
	}
	return strings.Compare(a.Name, b.Name)
}

// search is Tarjan's algorithm. Indexes start with 1, so that 0 marks a new node.
type search struct {
	graph  Graph
	index  map[Node]int
	low    map[Node]int
	onPath map[Node]bool
	path   []Node
	found  [][]Node
}

func (s *search) visit(n Node) {
	s.index[n] = len(s.index) + 1
	s.low[n] = s.index[n]
	s.path = append(s.path, n)
	s.onPath[n] = true
	for _, next := range s.graph[n] {
		switch {
		case s.index[next] == 0:
			s.visit(next)
			s.low[n] = min(s.low[n], s.low[next])
		case s.onPath[next]:
			s.low[n] = min(s.low[n], s.index[next])
		}
	}
	if s.low[n] == s.index[n] {
		s.cut(n)
	}
}

// cut takes the component that starts with n off the path.
func (s *search) cut(n Node) {
	at := slices.Index(s.path, n)
	component := slices.Clone(s.path[at:])
	s.path = s.path[:at]
	for _, m := range component {
		s.onPath[m] = false
	}
	if len(component) > 1 {
		slices.SortFunc(component, compareNodes)
		s.found = append(s.found, component)
	}
}
