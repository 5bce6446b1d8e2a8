package cluster

import (
	"context"
	"time"

	"samphirepoint/rows"
)

// removeAfter is how long a member must have been dead before its row is removed. A starting daemon can't tell an old row from
// a live one and counts its pools as owned for some time, so old rows must not remain.
const removeAfter = 5 * time.Second

// forgottenAfter is the least time without a heartbeat after which another daemon may have removed a member's row.
const forgottenAfter = deadAfter + removeAfter

// Remove removes a member whose row is gone.
func (v *View) Remove(node string) { delete(v.members, node) }

// expiredMembers returns the members that have been dead for so long that their rows can be removed.
func (v *View) expiredMembers() []*observed {
	var out []*observed
	for _, o := range v.members {
		if o.Node != v.self && v.heartbeatAge(o) > v.heartbeatTimeout(o)+removeAfter {
			out = append(out, o)
		}
	}
	return out
}

// removeDeadMembers removes the rows of members that have been dead for long, if this daemon is the first of the live members. A row
// that has changed in the meantime is kept.
func (n *Node) removeDeadMembers(ctx context.Context) {
	alive := n.Alive()
	if len(alive) == 0 || alive[0].Node != n.settings.Name {
		return
	}
	n.mu.Lock()
	dead := n.view.expiredMembers()
	n.mu.Unlock()
	for _, o := range dead {
		key := memberKey(o.Node)
		c, cancel := context.WithTimeout(ctx, storeTimeout)
		_, err := n.settings.Store.Transact(c, rows.Tx{Expected: []rows.Condition{{Key: key, Ver: o.ver}}, Remove: []rows.Key{key}})
		cancel()
		n.settings.Log.Info().Str("member", o.Node).AnErr("outcome", err).Msg("attempted to remove the row of a dead member")
		if err != nil {
			continue // It may have written a heartbeat, and must then stay known.
		}
		n.mu.Lock()
		n.view.Remove(o.Node)
		n.mu.Unlock()
	}
}
