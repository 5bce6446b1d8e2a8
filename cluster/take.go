package cluster

import (
	"context"
	"encoding/json"

	"samphirepoint/owner"
	"samphirepoint/rows"
	"samphirepoint/verdict"
)

func (n *Node) takePools(ctx context.Context) {
	cat := n.catalog.Load()
	if cat == nil || n.leaving.Load() || n.set.Now()-n.since < settleTime {
		return
	}
	alive := WithoutIsolated(n.Alive())
	for pool, node := range Assign(alive, append(cat.NonSparePools(), FleetControllerRole), false) {
		if node == n.set.Name && n.mayTry(pool) {
			n.take(ctx, pool)
		}
	}
}

func (n *Node) mayTry(pool string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.set.Now()
	if o := n.owned[pool]; o != nil {
		return false
	}
	if t, ok := n.tried[pool]; ok && now-t < claimPause {
		return false
	}
	n.tried[pool] = now
	return true
}

// take claims a pool and serves it. It returns once the claim has succeeded or failed.
func (n *Node) take(ctx context.Context, pool string) error {
	c, cancel := context.WithTimeout(ctx, 2*storeTime)
	defer cancel()
	claim, ver, err := Claim(c, n.set.Store, pool, owner.Claim{Node: n.set.Name, Incarnation: n.set.Incarnation, Address: n.set.Address})
	if err != nil {
		n.set.Log.Warn().Str("pool", pool).Err(err).Msg("pool not taken")
		return err
	}
	n.own(ctx, pool, claim.Token, ver)
	return nil
}

// own serves a pool, or the fleet's duties, under a claim.
func (n *Node) own(ctx context.Context, pool string, token, ver int64) {
	if pool == FleetControllerRole {
		if n.set.NewFleetController != nil {
			n.serve(pool, n.set.NewFleetController(ctx, token, ver))
		}
		return
	}
	o := owner.New(ctx, owner.Settings{
		Pool: pool, Token: token, ClaimVer: ver, Store: n.set.Store, Workers: n.set.Workers, Adviser: n.set.Adviser,
		WorkersWithOpenOrders: n.set.WorkersWithOpenOrders, Options: n.set.Options, Log: n.set.Log, Now: n.set.Now,
	})
	n.mu.Lock()
	n.pools[pool] = o
	list := n.roster[pool]
	n.mu.Unlock()
	n.serve(pool, o)
	if cat := n.catalog.Load(); cat != nil {
		o.SetQueues(cat.QueuesOf(pool))
	}
	if list != nil {
		o.SetRoster(list)
	}
	n.announce(ctx, pool, token)
}

// serve runs an ownership until it ends.
func (n *Node) serve(pool string, t Term) {
	n.mu.Lock()
	if old := n.owned[pool]; old != nil {
		old.Stop()
	}
	n.owned[pool] = t
	n.mu.Unlock()
	n.Kick()
	go func() {
		_ = t.Run()
		n.mu.Lock()
		if n.owned[pool] == t {
			delete(n.owned, pool)
			delete(n.pools, pool)
		}
		n.mu.Unlock()
		n.Kick()
	}()
}

// Claim raises a pool's token by one conditional write. A write without an answer is looked up, so
// the outcome is known unless err says otherwise.
func Claim(ctx context.Context, store rows.Store, pool string, c owner.Claim) (owner.Claim, int64, error) {
	key := owner.ClaimKey(pool)
	for {
		list, _, err := store.Read(ctx, owner.TableOwners, pool)
		if err != nil {
			return c, 0, err
		}
		var old owner.Claim
		ver := int64(0)
		for _, r := range list {
			if r.Key == key {
				ver = r.Ver
				_ = json.Unmarshal(r.Value, &old)
			}
		}
		if c.Token != 0 && old == c {
			return c, ver, nil
		}
		c.Token = old.Token + 1
		value, err := json.Marshal(c)
		if err != nil {
			return c, 0, err
		}
		v, err := store.Transact(ctx, rows.Tx{Expected: []rows.Condition{owner.ClaimCondition(pool, ver)}, Writes: []rows.Write{{Key: key, Value: value}}})
		if err == nil {
			return c, v, nil
		}
		if verdict.Is(err, verdict.NotRun) || ctx.Err() != nil {
			return c, 0, err
		}
	}
}
