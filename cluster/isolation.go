package cluster

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"
)

// pingTimeout bounds one check whether a daemon can be reached again.
const pingTimeout = 400 * time.Millisecond

// unreachableMembers returns the daemons that were found unreachable within the last unreachablePeriod. The caller must hold mu.
func (n *Node) unreachableMembers() []string {
	var out []string
	for node, at := range n.unreachable {
		if n.settings.Now()-at < unreachablePeriod {
			out = append(out, node)
		}
	}
	return out
}

// Isolated reports whether this daemon can't reach more than half of the others. Callers are then better served by other
// daemons, as this one can't forward requests to the owners of most pools.
func (n *Node) Isolated() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	alive := n.view.Alive()
	unreached := 0
	for _, node := range n.unreachableMembers() {
		if _, ok := memberNamed(alive, node); ok {
			unreached++ // a dead daemon doesn't indicate a network partition
		}
	}
	others := len(alive) - 1
	return others > 1 && 2*unreached > others
}

// pingUnreachable checks whether unreachable daemons can be reached again. Recovery must not depend on forwarded requests, which
// callers no longer send to an isolated daemon.
func (n *Node) pingUnreachable(ctx context.Context) {
	n.mu.Lock()
	nodes := n.unreachableMembers()
	n.mu.Unlock()
	if len(nodes) == 0 || !n.pinging.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer n.pinging.Store(false)
		alive := n.Alive()
		var g errgroup.Group
		for _, node := range nodes {
			if m, ok := memberNamed(alive, node); ok {
				g.Go(func() error {
					n.ping(ctx, m)
					return nil
				})
			}
		}
		_ = g.Wait()
	}()
}

// ping calls a daemon and records whether it was reached.
func (n *Node) ping(ctx context.Context, m Member) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	_, err := n.peers.call(ctx, m.Address, pingRequest{From: n.settings.Name}.encode(""))
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case err == nil:
		delete(n.unreachable, m.Node)
	case !n.late():
		n.unreachable[m.Node] = n.settings.Now()
	}
}
