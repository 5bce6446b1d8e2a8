package cluster

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"samphirepoint/rows"
)

const (
	// pollInterval is the least time between two reads of the members. In a large cluster there are pollsPerHeartbeat reads per
	// heartbeat, as a store sustains more reads than writes.
	pollInterval      = 400 * time.Millisecond
	pollsPerHeartbeat = 4
)

// observe reads the changes of the members and reports whether the store responded. While the store can't be read, no member
// is considered dead.
func (n *Node) observe(ctx context.Context) bool {
	began := n.clock()
	list, all, err := n.readMembers(ctx)
	now := n.settings.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	if err != nil {
		n.settings.Log.Warn().Err(err).Msg("failed to read members")
		return false
	}
	if gap := now - n.lastStoreContact; n.lastStoreContact != 0 && gap > deadAfter/2 {
		n.view.Postpone(gap)
	}
	n.lastStoreContact, n.membersReadAt = now, began
	for _, r := range list {
		if r.Removed && r.Name != n.settings.Name {
			n.view.Remove(r.Name)
		}
	}
	members := parseMembers(list)
	n.noteTokens(members)
	n.view.Observe(members, all, now)
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

// confirmStale reads the rows of owners without recent heartbeats directly, before they are considered dead. While a part of the store
// can't be read, its owners can't write heartbeats either, so they are not considered dead.
func (n *Node) confirmStale(ctx context.Context) {
	n.mu.Lock()
	stale := n.view.Stale()
	n.mu.Unlock()
	byPart := map[string][]string{}
	for _, node := range stale {
		part := memberPart(node)
		byPart[part] = append(byPart[part], node)
	}
	c, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	var g errgroup.Group
	for part, nodes := range byPart {
		g.Go(func() error {
			list, _, err := n.settings.Store.Read(c, TableMembers, part)
			n.mu.Lock()
			defer n.mu.Unlock()
			now := n.settings.Now()
			n.view.Readable(nodes, err == nil, now)
			if err == nil {
				members := parseMembers(list)
				n.noteTokens(members)
				n.view.Refresh(members, now)
			}
			return nil
		})
	}
	_ = g.Wait()
}

// readMembers returns the rows that changed, or all rows on the first call and after a gap in the history.
func (n *Node) readMembers(ctx context.Context) (list []rows.Row, all bool, err error) {
	c, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if n.observedVer > 0 {
		list, ver, err := n.settings.Store.Watch(c, TableMembers, n.observedVer, 0)
		if err == nil {
			n.observedVer = max(ver, n.observedVer)
			return list, false, nil
		}
		if !errors.Is(err, rows.ErrHistoryGone) {
			return nil, false, err
		}
	}
	list, ver, err := n.readAllMembers(ctx)
	if err == nil {
		n.observedVer = ver
	}
	return list, true, err
}

// readAllMembers reads every part. It returns the earliest version as of which one was read. The parts are read side by side: when all
// daemons start at once, those that read one part after the other find their pools later.
func (n *Node) readAllMembers(ctx context.Context) (list []rows.Row, first int64, err error) {
	c, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	var mu sync.Mutex
	g, c := errgroup.WithContext(c)
	for k := range uint64(memberParts) {
		g.Go(func() error {
			part, ver, err := n.settings.Store.Read(c, TableMembers, strconv.FormatUint(k, 16))
			mu.Lock()
			defer mu.Unlock()
			if first == 0 || ver < first {
				first = ver
			}
			list = append(list, part...)
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return nil, 0, err
	}
	return list, first, nil
}
