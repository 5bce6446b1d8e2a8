package peer

import (
	"time"
)

// Majority reports whether the entry has exchanged gossip with a majority of the members within FreshFor.
func (g *Gossip) Majority(now time.Time) bool {
	majority, _ := g.Contacts(now)
	return majority
}

// Contacts reports whether the members contacted within FreshFor are a majority, and the highest configuration version
// among them.
func (g *Gossip) Contacts(now time.Time) (majority bool, newest int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.view.Majority(g.contacts, g.listed, now, g.config.FreshFor)
}

// Quorum reports whether the given members are a majority, and the number of members that count.
func (g *Gossip) Quorum(ids []string) (majority bool, members int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.quorum(ids)
}

func (g *Gossip) quorum(ids []string) (majority bool, members int) {
	return g.view.Quorum(ids, g.listed, g.contacts)
}
