package cluster

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"

	"samphirepoint/rows"
)

// self is the daemon's row as it is now.
func (n *Node) self() Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.beat++
	m := Member{
		Node: n.set.Name, Incarnation: n.set.Incarnation, Address: n.set.Address, Zone: n.set.Zone, Beat: n.beat,
		Leaving: n.leaving.Load(), Pools: map[string]int64{},
	}
	for p, o := range n.owned {
		m.Pools[p] = o.Token()
	}
	m.Unreachable = n.unreachedNow()
	if c := n.catalog.Load(); c != nil {
		m.Version = c.Version
	}
	return m
}

func (n *Node) writeBeat(ctx context.Context) {
	m := n.self()
	value, err := json.Marshal(m)
	if err != nil {
		panic(err) // A member holds plain values only.
	}
	c, cancel := context.WithTimeout(ctx, storeTime)
	defer cancel()
	key := rows.Key{Table: TableMembers, Part: memberPart(n.set.Name), Name: n.set.Name}
	began := n.set.Now()
	if _, err := n.set.Store.Transact(c, rows.Tx{Writes: []rows.Write{{Key: key, Value: value}}}); err != nil {
		n.set.Log.Warn().Err(err).Msg("beat not written")
	}
	n.beatTook = n.set.Now() - began
}

// observe reads what has changed of the members. While the store can't be read, nobody is taken for dead.
func (n *Node) observe(ctx context.Context) bool {
	list, all, err := n.readMembers(ctx)
	now := n.set.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	if err != nil {
		n.set.Log.Warn().Err(err).Msg("members not read")
		return false
	}
	if gap := now - n.lastOK; n.lastOK != 0 && gap > deadAfter/2 {
		n.view.Postpone(gap)
	}
	n.lastOK = now
	for _, r := range list {
		if r.Removed && r.Name != n.set.Name {
			n.view.Forget(r.Name)
		}
	}
	n.view.Observe(parseMembers(list), all, now)
	return true
}

func parseMembers(list []rows.Row) []Member {
	var members []Member
	for _, r := range list {
		m := Member{ver: r.Ver}
		if !r.Removed && json.Unmarshal(r.Value, &m) == nil && m.Node != "" {
			members = append(members, m)
		}
	}
	return members
}

// confirm reads the rows of owners that seem to stand still, before they are taken for dead.
func (n *Node) confirm(ctx context.Context) {
	n.mu.Lock()
	stale := n.view.Stale(n.view.deadAfter * 6 / 10)
	n.mu.Unlock()
	parts := map[string]bool{}
	for _, node := range stale {
		parts[memberPart(node)] = true
	}
	for part := range parts {
		c, cancel := context.WithTimeout(ctx, storeTime)
		list, _, err := n.set.Store.Read(c, TableMembers, part)
		cancel()
		if err != nil {
			continue
		}
		n.mu.Lock()
		n.view.Observe(parseMembers(list), false, n.set.Now())
		n.mu.Unlock()
	}
}

// readMembers returns the changed rows, or all of them at first and after a gap in the history.
func (n *Node) readMembers(ctx context.Context) (list []rows.Row, all bool, err error) {
	c, cancel := context.WithTimeout(ctx, storeTime)
	defer cancel()
	if n.seenVer > 0 {
		list, ver, err := n.set.Store.Watch(c, TableMembers, n.seenVer, 0)
		if err == nil {
			n.seenVer = max(ver, n.seenVer)
			return list, false, nil
		}
		if !errors.Is(err, rows.ErrHistoryGone) {
			return nil, false, err
		}
	}
	list, ver, err := n.readAllMembers(ctx)
	if err == nil {
		n.seenVer = ver
	}
	return list, true, err
}

// readAllMembers reads every part and returns the version as of which the first one was read.
func (n *Node) readAllMembers(ctx context.Context) (list []rows.Row, first int64, err error) {
	for k := range uint64(memberParts) {
		c, cancel := context.WithTimeout(ctx, storeTime)
		of, ver, err := n.set.Store.Read(c, TableMembers, strconv.FormatUint(k, 16))
		cancel()
		if err != nil {
			return nil, 0, err
		}
		if k == 0 {
			first = ver
		}
		list = append(list, of...)
	}
	return list, first, nil
}
