// Package memnet is a network in the memory of one process. Its connections block on channels only, so that processes
// that run on it work in the simulated time of package testing/synctest:
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

// firstPort is the first port that is given to listeners which ask for any.
const firstPort = 20_000

// backlog is how many connections may wait to be accepted.
const backlog = 512

// Network implements network.Network.
type Network struct {
	mu        sync.Mutex
	listeners map[netip.AddrPort]*listener
	next      uint16
}

var _ network.Network = (*Network)(nil)

// New returns a network without listeners.
func New() *Network {
	return &Network{listeners: map[netip.AddrPort]*listener{}, next: firstPort}
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
		n.next++
		at = netip.AddrPortFrom(at.Addr(), n.next)
	}
	if n.listeners[at] != nil {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Addr: net.TCPAddrFromAddrPort(at), Err: os.NewSyscallError("bind", syscall.EADDRINUSE)}
	}
	l := &listener{network: n, address: at, waiting: make(chan *conn, backlog), closed: make(chan struct{})}
	n.listeners[at] = l
	return l, nil
}

// DialContext implements network.Network. A port without a listener refuses at once.
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
	n.next++
	from := netip.AddrPortFrom(at.Addr(), n.next)
	n.mu.Unlock()
	if l == nil {
		return nil, refused(at)
	}
	client, server := pair(from, at)
	select {
	case l.waiting <- server:
		return client, nil
	case <-l.closed:
		return nil, refused(at)
	case <-ctx.Done():
		return nil, fmt.Errorf("dial %s: %w", address, ctx.Err())
	}
}

func refused(at netip.AddrPort) error {
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
	waiting chan *conn
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
	case c := <-l.waiting:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener. Connections that wait to be accepted are reset.
func (l *listener) Close() error {
	l.once.Do(func() {
		l.network.remove(l)
		close(l.closed)
	})
	for {
		select {
		case c := <-l.waiting:
			network.Reset(c)
		default:
			return nil
		}
	}
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.address) }
