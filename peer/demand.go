package peer

import (
	"cmp"
	"maps"
	"slices"

	"samphirepoint/limit"
	"samphirepoint/membership"
	"samphirepoint/peer/peerpb"
)

// demandPerMessage bounds the backers in one message. At 8 members a daemon sends and receives 8 messages a second;
// with about 7 B per backer this keeps demand under 1.7 KB/s of the 5 KB/s for control traffic.
const demandPerMessage = 30

// figures are the demand of one backer at one owner.
type figures struct{ inUse, demand int32 }

// delivery is what the entry knows about one backer's figures at a peer.
type delivery struct {
	// value was sent last, in the message with the given sequence number.
	value    figures
	sequence uint32
	// acked is set once the peer confirmed the value.
	acked bool
}

// demandPeer is the state of the exchange of demand with one incarnation of a peer. Demand travels from its owner
// to each peer directly, in either direction of an exchange, and only as far as it changed. Relaying
// it would deliver each figure to each entry several times.
type demandPeer struct {
	incarnation int64
	sequence    uint32
	sent        map[uint32]delivery
	// received holds the peer's own demand, up to message number ack. All of it is known as of heartbeat complete.
	received map[uint32]reported
	ack      uint32
	complete int64
}

// reported are figures that the owner took at a heartbeat or later without change.
type reported struct {
	figures
	heartbeat int64
}

// demandTable holds own and received demand. It is guarded by the lock of Gossip.
type demandTable struct {
	own   map[uint32]figures
	peers map[string]*demandPeer
}

func newDemandTable() *demandTable {
	return &demandTable{own: map[uint32]figures{}, peers: map[string]*demandPeer{}}
}

// set replaces the own demand.
func (t *demandTable) set(list []limit.Demand) {
	t.own = make(map[uint32]figures, len(list))
	for _, d := range list {
		t.own[backerKey(d.Backer)] = figures{int32(d.InUse), int32(d.Demand)}
	}
}

// peer returns the state for a member and starts anew for a new incarnation.
func (t *demandTable) peer(m membership.Member) *demandPeer {
	p := t.peers[m.ID]
	if p == nil || p.incarnation != m.Incarnation {
		p = &demandPeer{incarnation: m.Incarnation, sent: map[uint32]delivery{}, received: map[uint32]reported{}}
		t.peers[m.ID] = p
	}
	return p
}

// retain drops the state of members that are no longer known.
func (t *demandTable) retain(known func(id string) bool) {
	maps.DeleteFunc(t.peers, func(id string, _ *demandPeer) bool { return !known(id) })
}

// receive takes in the demand part of a message from a member.
func (t *demandTable) receive(from membership.Member, view *peerpb.View) {
	p := t.peer(from)
	if ack := view.GetDemandAck(); ack != 0 {
		for key, d := range p.sent {
			if d.sequence != ack {
				continue
			}
			d.acked = true
			p.sent[key] = d
			if d.value == (figures{}) {
				delete(p.sent, key)
			}
		}
	}
	list := view.GetDemand()
	if list == nil {
		p.complete = max(p.complete, from.Heartbeat)
		return
	}
	// Messages may overtake each other, since either side may begin an exchange.
	if list.Sequence <= p.ack || len(list.InUse) != len(list.Backers) || len(list.Demand) != len(list.Backers) {
		return
	}
	p.ack = list.Sequence
	if !list.More {
		p.complete = max(p.complete, from.Heartbeat)
	}
	for i, key := range list.Backers {
		value := figures{list.InUse[i], list.Demand[i]}
		if value == (figures{}) {
			delete(p.received, key)
			continue
		}
		p.received[key] = reported{value, from.Heartbeat}
	}
}

// fill adds the demand part to a message for a member.
func (t *demandTable) fill(to membership.Member, view *peerpb.View) {
	p := t.peer(to)
	view.DemandAck = p.ack
	due := t.due(p)
	if len(due) == 0 {
		return
	}
	p.sequence++
	list := &peerpb.Demand{Sequence: p.sequence, More: len(due) > demandPerMessage}
	due = due[:min(len(due), demandPerMessage)]
	for _, key := range due {
		value := t.own[key]
		list.Backers = append(list.Backers, key)
		list.InUse = append(list.InUse, value.inUse)
		list.Demand = append(list.Demand, value.demand)
		p.sent[key] = delivery{value: value, sequence: p.sequence}
	}
	view.Demand = list
}

// due returns the backers whose figures the peer does not have for certain: large and long overdue changes first.
func (t *demandTable) due(p *demandPeer) []uint32 {
	type candidate struct {
		key      uint32
		priority float64
	}
	var candidates []candidate
	consider := func(key uint32) {
		last, now := p.sent[key], t.own[key]
		if last.value == now && (last.acked || last.sequence == 0) {
			return
		}
		change := float64(max(now.demand-last.value.demand, last.value.demand-now.demand, 1))
		change /= float64(max(now.demand, last.value.demand, 1))
		candidates = append(candidates, candidate{key, change * float64(p.sequence+1-last.sequence)})
	}
	for key := range t.own {
		consider(key)
	}
	for key := range p.sent {
		if _, own := t.own[key]; !own {
			consider(key)
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.priority, a.priority), cmp.Compare(a.key, b.key))
	})
	due := make([]uint32, 0, len(candidates))
	for _, c := range candidates {
		due = append(due, c.key)
	}
	return due
}

// demands lists the demand of the given owners for the named backers, in the order of owner and backer.
func (t *demandTable) demands(owners []membership.Member, names map[uint32]string) []limit.Demand {
	var list []limit.Demand
	for _, owner := range owners {
		p := t.peers[owner.ID]
		if p == nil || p.incarnation != owner.Incarnation {
			continue
		}
		for key, value := range p.received {
			name, ok := names[key]
			if !ok {
				continue
			}
			list = append(list, limit.Demand{
				Owner: owner.ID, Backer: name, InUse: int(value.inUse), Demand: int(value.demand),
				Heartbeat: max(value.heartbeat, p.complete),
			})
		}
	}
	slices.SortFunc(list, func(a, b limit.Demand) int {
		return cmp.Or(cmp.Compare(a.Owner, b.Owner), cmp.Compare(a.Backer, b.Backer))
	})
	return list
}
