package peer

import (
	"net/http"
	"sync"
	"time"

	"samphirepoint/network"
	"samphirepoint/peer/peerpb"
)

const (
	// dialTimeout bounds connection setup between entries, also across regions.
	dialTimeout = 400 * time.Millisecond
	// idleTimeout is longer than the time between two exchanges of the same pair of entries.
	idleTimeout = 90 * time.Second
)

// Clients returns clients of other entries. NewClients returns the HTTP implementation; tests replace it.
type Clients interface {
	// Peer returns a client that may reuse connections.
	Peer(address string) peerpb.Peer
	// Fresh returns a client that opens a new connection for each call, because an open one may have become unresponsive.
	Fresh(address string) peerpb.Peer
}

// httpClients are twirp clients over two transports.
type httpClients struct {
	scheme string
	pooled doer
	fresh  doer

	mu    sync.Mutex
	peers map[string]peerpb.Peer
}

// NewClients returns clients over HTTP, or HTTPS if the configuration has TLS.
func NewClients(c Config) Clients {
	dial := network.Dialer(c.Network, dialTimeout, 15*time.Second)
	if c.Traffic != nil {
		dial = c.Traffic.Dial(dial)
	}
	transport := func(fresh bool) *http.Transport {
		return &http.Transport{
			DialContext:         dial,
			TLSClientConfig:     c.TLS,
			TLSHandshakeTimeout: time.Second,
			DisableKeepAlives:   fresh,
			DisableCompression:  true,
			MaxIdleConnsPerHost: 1,
			IdleConnTimeout:     idleTimeout,
		}
	}
	h := &httpClients{
		scheme: "http://",
		pooled: doer{transport(false), c.Token},
		fresh:  doer{transport(true), c.Token},
		peers:  map[string]peerpb.Peer{},
	}
	if c.TLS != nil {
		h.scheme = "https://"
	}
	return h
}

func (h *httpClients) Peer(address string) peerpb.Peer {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.peers[address]
	if p == nil {
		p = peerpb.NewPeerProtobufClient(h.scheme+address, h.pooled)
		h.peers[address] = p
	}
	return p
}

func (h *httpClients) Fresh(address string) peerpb.Peer {
	return peerpb.NewPeerProtobufClient(h.scheme+address, h.fresh)
}

// doer sends twirp requests with the peer token. It omits headers that the server does not need, because they would make
// up a fifth of the control traffic.
type doer struct {
	transport *http.Transport
	token     func() string
}

// Do implements the HTTP client of twirp.
func (d doer) Do(r *http.Request) (*http.Response, error) {
	r.Header.Del("Accept")
	r.Header.Del("Twirp-Version")
	r.Header.Set("User-Agent", "")
	if d.token != nil {
		if token := d.token(); token != "" {
			r.Header.Set("Authorization", "Bearer "+token)
		}
	}
	return d.transport.RoundTrip(r)
}
