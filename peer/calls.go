package peer

import (
	"context"
	"encoding/json"
	"fmt"

	"samphirepoint/instance"
	"samphirepoint/peer/peerpb"
	"samphirepoint/table"
)

func (g *Gossip) address(id string) (string, error) {
	m, ok := g.Members().Member(id)
	if !ok {
		return "", fmt.Errorf("member %s is unknown", id)
	}
	return m.Address, nil
}

// Ping checks within PingTimeout that a member answers on a new connection.
func (g *Gossip) Ping(ctx context.Context, id string) error {
	address, err := g.address(id)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, g.config.PingTimeout)
	defer cancel()
	reply, err := g.clients.Fresh(address).Ping(ctx, &peerpb.PingRequest{})
	if err != nil {
		return err
	}
	if reply.GetId() != id {
		return fmt.Errorf("expected member %s at %s, but member %s answered", id, address, reply.GetId())
	}
	return nil
}

// Probe pings a member after a failed forward, marks it suspect if the ping fails, and reports whether the ping succeeded.
// If ctx ends first, the member is not marked.
func (g *Gossip) Probe(ctx context.Context, id string) bool {
	err := g.Ping(ctx, id)
	if err == nil {
		return true
	}
	if ctx.Err() != nil {
		return false
	}
	g.config.Log.Info().Str("peer", id).Err(err).Msg("member suspected after failed ping")
	g.Suspect(id)
	return false
}

// Document fetches a member's configuration; nil if it is not newer than version known.
func (g *Gossip) Document(ctx context.Context, id string, known int64) (*table.Document, error) {
	address, err := g.address(id)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	reply, err := g.clients.Peer(address).Document(ctx, &peerpb.DocumentRequest{KnownVersion: known})
	if err != nil || reply.GetVersion() <= known || len(reply.GetDocument()) == 0 {
		return nil, err
	}
	return parseDocument(reply)
}

// Install sends a document to a member and returns the version that is in force at the member afterwards.
func (g *Gossip) Install(ctx context.Context, id string, doc *table.Document) (int64, error) {
	address, err := g.address(id)
	if err != nil {
		return 0, err
	}
	data, err := json.Marshal(doc)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	reply, err := g.clients.Peer(address).Install(ctx, &peerpb.DocumentReply{Version: doc.Version, Document: data})
	return reply.GetVersion(), err
}

// FetchFleet fetches the newest fleet snapshot of the live members, for an entry that cannot read the table; nil if none
// is newer than version known.
func (g *Gossip) FetchFleet(ctx context.Context, known int64) (*instance.Fleet, error) {
	s := g.Members()
	var newest int64
	var from string
	for _, m := range s.Alive() {
		if m.ID != s.Self && m.FleetVersion > max(known, newest) {
			newest, from = m.FleetVersion, m.Address
		}
	}
	if from == "" {
		return nil, nil
	}
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	reply, err := g.clients.Peer(from).Fleet(ctx, &peerpb.FleetRequest{KnownVersion: known})
	if err != nil || reply.GetVersion() <= known || len(reply.GetFleet()) == 0 {
		return nil, err
	}
	var fleet instance.Fleet
	if err := json.Unmarshal(reply.GetFleet(), &fleet); err != nil {
		return nil, fmt.Errorf("fleet snapshot of %s: %w", from, err)
	}
	return &fleet, nil
}
