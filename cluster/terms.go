package cluster

import (
	"context"
	"maps"
	"runtime/debug"
	"slices"
	"time"

	"samphirepoint/engine"
	"samphirepoint/observe"
	"samphirepoint/owner"
)

// Term is one term of ownership, of a pool or of the fleet controller role.
type Term interface {
	Token() int64
	Run() error
	Stop()
}

// term returns this daemon's term for a pool, or nil.
func (n *Node) term(pool string) Term {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.owned[pool]
}

// ownedNames returns the names of all terms of this daemon.
func (n *Node) ownedNames() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Collect(maps.Keys(n.owned))
}

// ownerTerms returns the terms of shards of pools, by name.
func (n *Node) ownerTerms() map[string]*ownerTerm {
	n.mu.Lock()
	defer n.mu.Unlock()
	return maps.Clone(n.pools)
}

// owns reports whether this daemon serves the pool under the given claim.
func (n *Node) owns(pool string, c owner.Claim) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	t := n.owned[pool]
	return t != nil && c.Node == n.settings.Name && c.Incarnation == n.settings.Incarnation && c.Token == t.Token()
}

// startTerm starts a term for a pool, or for the fleet controller role, under a claim that was not written before claimedAt.
func (n *Node) startTerm(ctx context.Context, pool string, token, ver int64, claimedAt time.Duration) {
	if pool == FleetControllerRole {
		if n.settings.NewFleetController != nil {
			n.runTerm(pool, n.settings.NewFleetController(ctx, token, ver), nil)
		}
		return
	}
	cat := n.catalog.Load()
	var workspaces []engine.Workspace
	if cat != nil {
		workspaces = cat.EngineWorkspaces()
	}
	o := owner.New(ctx, owner.Settings{
		Workspaces:            workspaces,
		Pool:                  pool,
		Token:                 token,
		ClaimVer:              ver,
		ClaimedAt:             claimedAt,
		KnownToAll:            n.knownToAll,
		ConfirmByPeers:        n.confirmByPeers,
		Store:                 n.settings.Store,
		Workers:               n.settings.Workers,
		Advice:                n.advice,
		WorkersWithOpenOrders: n.settings.WorkersWithOpenOrders,
		AllotmentShort:        n.quotas.Wake,
		Options:               n.settings.Options,
		Log:                   n.settings.Log,
		Now:                   n.settings.Now,
	})
	n.runTerm(pool, o, newOwnerTerm(pool, o))
	n.passCatalogTo(pool, o) // It may have changed before the term was registered.
	n.rosterMu.Lock()
	n.passRosterTo(pool, o)
	n.rosterMu.Unlock()
	wake(n.wakeRoster)
	n.quotas.Wake()
	n.announce(ctx, pool, token)
}

// runTerm registers a term, which for a pool is that of an owner, stops any earlier one for the same name, and runs it in the
// background until it ends.
func (n *Node) runTerm(pool string, t Term, o *ownerTerm) {
	n.mu.Lock()
	if old := n.owned[pool]; old != nil {
		old.Stop()
	}
	n.owned[pool] = t
	n.noteToken(pool, t.Token())
	if o != nil {
		n.pools[pool] = o
	}
	n.mu.Unlock()
	n.Wake()
	go func() {
		n.runUntilEnd(pool, t)
		n.forget(pool, t)
		n.Wake()
	}()
}

// runUntilEnd runs a term until it ends. A panic ends the term, not the process with its other terms: all that a term has done is in the
// store, so that its successor goes on from there.
func (n *Node) runUntilEnd(pool string, t Term) {
	defer func() {
		if cause := recover(); cause != nil {
			observe.Count("terms.panicked")
			n.settings.Log.Error().Str("pool", pool).Int64("token", t.Token()).Any("cause", cause).Bytes("stack", debug.Stack()).Msg("term ended by a panic")
			t.Stop()
		}
	}()
	_ = t.Run()
}

// release ends a term for a pool.
func (n *Node) release(pool string, t Term) {
	n.forget(pool, t)
	t.Stop()
}

// forget removes a term that has ended or is about to. This daemon may have claimed the pool again in the meantime; it then keeps the
// later term.
func (n *Node) forget(pool string, t Term) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.owned[pool] == t {
		delete(n.owned, pool)
		delete(n.pools, pool)
	}
}

// stopTerms stops all terms of this daemon.
func (n *Node) stopTerms() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, o := range n.owned {
		o.Stop()
	}
}
