// Package faultproxy provides a TCP proxy that simulates a faulty network between two processes: delays, partitions in
// one or both directions, resets, truncation, and open connections that become unresponsive while new ones work.
//
// A partition holds data and connection ends back until it is healed, as TCP does when packets are lost for a while. A
// black hole drops them permanently.
package faultproxy

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"samphirepoint/network"
	"samphirepoint/standin"
)

// dialTimeout bounds the connection setup to the target.
const dialTimeout = 5 * time.Second

// Direction holds the faults of one direction.
type Direction struct {
	// Delay is added to each byte.
	Delay standin.Duration `json:"delay,omitempty"`
	// Cut partitions the direction: all data is held back until it is unset.
	Cut bool `json:"cut,omitempty"`
	// TruncateAfter closes each connection after this number of bytes; 0 means never.
	TruncateAfter int64 `json:"truncateAfter,omitempty"`
}

// Faults is the body of PUT /faults; it replaces all previous faults and applies to open and new connections.
type Faults struct {
	// Up is from client to target, Down from target to client.
	Up   Direction `json:"up"`
	Down Direction `json:"down"`
	// Refuse resets new connections.
	Refuse bool `json:"refuse,omitempty"`
}

// Stats is the response to GET /stats.
type Stats struct {
	Accepted  int64 `json:"accepted"`
	Open      int   `json:"open"` // including black-holed connections
	BytesUp   int64 `json:"bytesUp"`
	BytesDown int64 `json:"bytesDown"`
}

// Proxy forwards connections to one target. It is safe for concurrent use.
type Proxy struct {
	dial       network.DialFunc
	target     string
	listener   net.Listener
	goroutines sync.WaitGroup
	accepted   atomic.Int64
	up, down   atomic.Int64 // bytes

	mu      sync.Mutex
	faults  Faults
	changed chan struct{} // closed at each change of faults
	links   map[*link]bool
	closed  bool
}

// New starts a proxy on addr (IP:port, port 0 picks one) for target.
func New(addr, target string) (*Proxy, error) {
	return NewOn(network.TCP{}, addr, target)
}

// NewOn is like New, but uses network n, whose connections must implement network.Conn.
func NewOn(n network.Network, addr, target string) (*Proxy, error) {
	ln, err := n.Listen(addr)
	if err != nil {
		return nil, err
	}
	p := &Proxy{dial: network.Dialer(n, dialTimeout, 0), target: target, listener: ln, changed: make(chan struct{}), links: map[*link]bool{}}
	p.goroutines.Add(1)
	go p.accept()
	return p, nil
}

// Address returns IP:port.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Set replaces the faults.
func (p *Proxy) Set(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	close(p.changed)
	p.changed = make(chan struct{})
}

// Faults returns the faults in force.
func (p *Proxy) Faults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// Cut starts or ends a partition in both directions of open and new connections.
func (p *Proxy) Cut(on bool) {
	f := p.Faults()
	f.Up.Cut, f.Down.Cut = on, on
	p.Set(f)
}

// Reset resets all open connections.
func (p *Proxy) Reset() {
	for _, l := range p.openLinks() {
		l.reset()
	}
}

// BlackHole drops all further data of the currently open connections, which stay open. New connections work.
func (p *Proxy) BlackHole() {
	for _, l := range p.openLinks() {
		l.blackHoled.Store(true)
	}
}

// Stats returns the connection and byte counters.
func (p *Proxy) Stats() Stats {
	return Stats{Accepted: p.accepted.Load(), Open: len(p.openLinks()), BytesUp: p.up.Load(), BytesDown: p.down.Load()}
}

// Close closes the listener and all connections.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	_ = p.listener.Close()
	p.Reset()
	p.goroutines.Wait()
}

func (p *Proxy) openLinks() []*link {
	p.mu.Lock()
	defer p.mu.Unlock()
	links := make([]*link, 0, len(p.links))
	for l := range p.links {
		links = append(links, l)
	}
	return links
}

func (p *Proxy) accept() {
	defer p.goroutines.Done()
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return // Close has closed the listener
		}
		p.accepted.Add(1)
		client, ok := c.(network.Conn)
		if !ok || p.Faults().Refuse {
			network.Reset(c)
			continue
		}
		p.goroutines.Add(1)
		go func() {
			defer p.goroutines.Done()
			p.serve(client)
		}()
	}
}

func (p *Proxy) serve(client network.Conn) {
	c, err := p.dial(context.Background(), "tcp", p.target)
	if err != nil {
		network.Reset(client)
		return
	}
	l := &link{proxy: p, client: client, server: c.(network.Conn), done: make(chan struct{})}
	if !p.addLink(l) {
		l.reset()
		return
	}
	var pumps sync.WaitGroup
	for _, pump := range []pump{
		{l: l, from: l.client, to: l.server, bytes: &p.up, faults: func(f Faults) Direction { return f.Up }},
		{l: l, from: l.server, to: l.client, bytes: &p.down, faults: func(f Faults) Direction { return f.Down }},
	} {
		pumps.Add(1)
		go func() {
			defer pumps.Done()
			pump.run()
		}()
	}
	pumps.Wait()
	if l.blackHoled.Load() {
		<-l.done // black-holed connections stay open at both ends until Reset or Close
	}
	l.reset()
	p.removeLink(l)
}

func (p *Proxy) addLink(l *link) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.links[l] = true
	return true
}

func (p *Proxy) removeLink(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.links, l)
}

func (p *Proxy) faultsAndChange() (Faults, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults, p.changed
}

// Handler returns the HTTP control interface.
func (p *Proxy) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) { standin.WriteJSON(w, http.StatusOK, p.Faults()) })
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) { standin.WriteJSON(w, http.StatusOK, p.Stats()) })
	mux.HandleFunc("PUT /faults", func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if standin.ReadJSON(w, r, &f) {
			p.Set(f)
			w.WriteHeader(http.StatusNoContent)
		}
	})
	mux.HandleFunc("POST /reset", func(w http.ResponseWriter, _ *http.Request) { p.Reset(); w.WriteHeader(http.StatusNoContent) })
	mux.HandleFunc("POST /black-hole", func(w http.ResponseWriter, _ *http.Request) { p.BlackHole(); w.WriteHeader(http.StatusNoContent) })
	return mux
}

// String identifies the proxy in messages.
func (p *Proxy) String() string { return fmt.Sprintf("proxy %s -> %s", p.Address(), p.target) }
