package cluster

import (
	"context"
	"time"

	"samphirepoint/rows"
)

// forgetAfter is for how long a member must have been dead before its row is removed. A daemon that starts can't tell an old row
// from a live one and counts its pools as owned for a while, so old rows must not stay.
const forgetAfter = 5 * time.Second

// Forget drops a member whose row is gone.
func (v *View) Forget(node string) { delete(v.members, node) }

// longDead lists the members that have not been seen to change for so long that their rows can go.
func (v *View) longDead() []*observed {
	var out []*observed
	for _, o := range v.members {
		if o.Node != v.self && v.observedAt-o.changedAt > v.deadAfter+forgetAfter {
			out = append(out, o)
		}
	}
	return out
}

// forgetDead removes the rows of members that have long been dead, if this daemon is the first of those alive. A row that has
// changed meanwhile stays.
func (n *Node) forgetDead(ctx context.Context) {
	alive := n.Alive()
	if len(alive) == 0 || alive[0].Node != n.set.Name {
		return
	}
	n.mu.Lock()
	dead := n.view.longDead()
	n.mu.Unlock()
	for _, o := range dead {
		key := rows.Key{Table: TableMembers, Part: memberPart(o.Node), Name: o.Node}
		c, cancel := context.WithTimeout(ctx, storeTime)
		_, err := n.set.Store.Transact(c, rows.Tx{Expected: []rows.Condition{{Key: key, Ver: o.ver}}, Remove: []rows.Key{key}})
		cancel()
		n.set.Log.Info().Str("member", o.Node).AnErr("outcome", err).Msg("member forgotten")
		n.mu.Lock()
		n.view.Forget(o.Node)
		n.mu.Unlock()
	}
}
