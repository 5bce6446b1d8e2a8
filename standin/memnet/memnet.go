// Package memnet provides an in-memory network within one process. Its connections block on channels only, so that code
// that uses it runs in the simulated time of package testing/synctest:
//
//	synctest.Test(t, func(t *testing.T) {
//		n := memnet.New()
//		ln, err := n.Listen("127.0.0.1:0")
//		...
//	})
package memnet

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"

	"samphirepoint/network"
)

// firstPort is the base of the port numbers that are assigned to listeners on port 0 and to clients.
const firstPort = 20_000

// backlog is the maximum number of connections that wait to be accepted.
const backlog = 512

// Network implements network.Network.
type Network struct {
	mu        sync.Mutex
	listeners map[netip.AddrPort]*listener
	nextPort  uint16
}

var _ network.Network = (*Network)(nil)

// New returns a network without listeners.
func New() *Network {
	return &Network{listeners: map[netip.AddrPort]*listener{}, nextPort: firstPort}
}

// Listen implements network.Network.
func (n *Network) Listen(address string) (net.Listener, error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if at.Port() == 0 {
		n.nextPort++
		at = netip.AddrPortFrom(at.Addr(), n.nextPort)
	}
	if n.listeners[at] != nil {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Addr: net.TCPAddrFromAddrPort(at), Err: os.NewSyscallError("bind", syscall.EADDRINUSE)}
	}
	l := &listener{network: n, address: at, pending: make(chan *conn, backlog), closed: make(chan struct{})}
	n.listeners[at] = l
	return l, nil
}

// DialContext implements network.Network. It fails immediately with ECONNREFUSED if no listener is at the address.
func (n *Network) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	n.mu.Lock()
	l := n.listeners[at]
	n.nextPort++
	from := netip.AddrPortFrom(at.Addr(), n.nextPort)
	n.mu.Unlock()
	if l == nil {
		return nil, refusedError(at)
	}
	client, server := newPair(from, at)
	select {
	case l.pending <- server:
		return client, nil
	case <-l.closed:
		return nil, refusedError(at)
	case <-ctx.Done():
		return nil, fmt.Errorf("dial %s: %w", address, ctx.Err())
	}
}

func refusedError(at netip.AddrPort) error {
	return &net.OpError{Op: "dial", Net: "tcp", Addr: net.TCPAddrFromAddrPort(at), Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
}

func (n *Network) remove(l *listener) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[l.address] == l {
		delete(n.listeners, l.address)
	}
}

type listener struct {
	network *Network
	address netip.AddrPort
	pending chan *conn
	closed  chan struct{}
	once    sync.Once
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case <-l.closed:
		return nil, net.ErrClosed
	default:
	}
	select {
	case c := <-l.pending:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener. Pending connections are reset.
func (l *listener) Close() error {
	l.once.Do(func() {
		l.network.remove(l)
		close(l.closed)
	})
	for {
		select {
		case c := <-l.pending:
			network.Reset(c)
		default:
			return nil
		}
	}
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.address) }
