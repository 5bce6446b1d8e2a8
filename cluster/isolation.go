package cluster

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"
)

// pingTime bounds one look whether a daemon can be reached again.
const pingTime = 400 * time.Millisecond

// unreachedNow lists the daemons that could not be reached lately. The caller holds mu.
func (n *Node) unreachedNow() []string {
	var out []string
	for node, at := range n.unreached {
		if n.set.Now()-at < unreachedFor {
			out = append(out, node)
		}
	}
	return out
}

// Isolated reports whether this daemon can't reach more than half of the others. Callers are better served elsewhere then: most
// pools are owned where it can't forward to.
func (n *Node) Isolated() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	alive := n.view.Alive()
	unreached := 0
	for _, node := range n.unreachedNow() {
		if _, ok := named(alive, node); ok {
			unreached++ // one that is dead is no sign of a cut
		}
	}
	others := len(alive) - 1
	return others > 1 && 2*unreached > others
}

// pingUnreached looks whether the daemons that could not be reached can be reached again, so that this doesn't hang on requests
// that callers no longer send here.
func (n *Node) pingUnreached(ctx context.Context) {
	n.mu.Lock()
	nodes := n.unreachedNow()
	n.mu.Unlock()
	if len(nodes) == 0 || !n.pinging.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer n.pinging.Store(false)
		alive := n.Alive()
		var g errgroup.Group
		for _, node := range nodes {
			if m, ok := named(alive, node); ok {
				g.Go(func() error {
					n.ping(ctx, m)
					return nil
				})
			}
		}
		_ = g.Wait()
	}()
}

func (n *Node) ping(ctx context.Context, m Member) {
	ctx, cancel := context.WithTimeout(ctx, pingTime)
	defer cancel()
	_, err := n.peers.call(ctx, m.Address, Call{Op: OpPing, From: n.set.Name})
	n.mu.Lock()
	defer n.mu.Unlock()
	if err == nil {
		delete(n.unreached, m.Node)
		return
	}
	n.unreached[m.Node] = n.set.Now()
}
