package peer

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/twitchtv/twirp"

	"samphirepoint/auth"
	"samphirepoint/peer/peerpb"
	"samphirepoint/table"
)

// maxRequestBytes bounds the body of a request from a peer; the largest is a configuration document with 210 backers (40 KB).
const maxRequestBytes = 8 << 20

// PathPrefix is the path of the peer service in the mux of the peer address.
const PathPrefix = peerpb.PeerPathPrefix

// Handler returns the handler of the peer API. With a verifier, each call needs a peer token.
func (g *Gossip) Handler() http.Handler {
	server := peerpb.NewPeerServer(service{g})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		markControl(r)
		// A nil value suppresses the Date header, which no client reads.
		w.Header()["Date"] = nil
		if g.config.Verifier != nil {
			p, err := g.config.Verifier.Identify(r)
			if err == nil && p.Role != auth.RolePeer {
				err = twirp.NewError(twirp.PermissionDenied, "not a peer token")
			}
			if err != nil {
				_ = twirp.WriteError(w, twirp.NewError(twirp.Unauthenticated, err.Error()))
				return
			}
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxRequestBytes)
		server.ServeHTTP(w, r)
	})
}

// Service returns the implementation without HTTP, for tests that connect entries by function calls.
func (g *Gossip) Service() peerpb.Peer { return service{g} }

// service implements the twirp service.
type service struct{ g *Gossip }

func (s service) Exchange(_ context.Context, in *peerpb.View) (*peerpb.View, error) {
	g := s.g
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refreshVersions()
	d := g.merge(in, now)
	reply := g.newMessage(d.digest, true, now)
	g.publish(now)
	return reply, nil
}

func (s service) Ping(context.Context, *peerpb.PingRequest) (*peerpb.PingReply, error) {
	return &peerpb.PingReply{Id: s.g.config.Self.ID}, nil
}

func (s service) Document(_ context.Context, in *peerpb.DocumentRequest) (*peerpb.DocumentReply, error) {
	doc := s.g.document()
	if doc == nil {
		return &peerpb.DocumentReply{}, nil
	}
	reply := &peerpb.DocumentReply{Version: doc.Version}
	if doc.Version <= in.GetKnownVersion() {
		return reply, nil
	}
	data, err := json.Marshal(doc)
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	reply.Document = data
	return reply, nil
}

func (s service) Install(_ context.Context, in *peerpb.DocumentReply) (*peerpb.InstallReply, error) {
	doc, err := parseDocument(in)
	if err != nil {
		return nil, twirp.NewError(twirp.InvalidArgument, err.Error())
	}
	hooks := s.g.hooks.Load()
	if hooks.Install == nil {
		return nil, twirp.NewError(twirp.Unavailable, "entry does not install documents yet")
	}
	version := hooks.Install(doc)
	s.g.Refresh()
	return &peerpb.InstallReply{Version: version}, nil
}

func (s service) Fleet(_ context.Context, in *peerpb.FleetRequest) (*peerpb.FleetReply, error) {
	fleet := s.g.fleet()
	if fleet == nil {
		return &peerpb.FleetReply{}, nil
	}
	reply := &peerpb.FleetReply{Version: fleet.Version}
	if fleet.Version <= in.GetKnownVersion() {
		return reply, nil
	}
	data, err := json.Marshal(fleet)
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	reply.Fleet = data
	return reply, nil
}

// parseDocument decodes a transferred document; the version of the message must match that of the document.
func parseDocument(in *peerpb.DocumentReply) (*table.Document, error) {
	var doc table.Document
	if err := json.Unmarshal(in.GetDocument(), &doc); err != nil {
		return nil, err
	}
	if doc.Version != in.GetVersion() || doc.Version <= 0 {
		return nil, twirp.InvalidArgumentError("version", "does not match the document")
	}
	return &doc, nil
}

// newMessage builds the entry's part of an exchange for a receiver with the given digest. The caller holds the lock.
func (g *Gossip) newMessage(receiver map[uint32]int64, isReply bool, now time.Time) *peerpb.View {
	reports := g.view.Reports(now)
	view := encode(g.view.Self(), reports, receiver, g.demand.knownVersion)
	_, members := g.quorum(nil)
	view.Electorate = int32(members)
	g.leaving.appendTo(view, now)
	g.demand.appendTo(view, reports, receiver, isReply)
	return view
}
