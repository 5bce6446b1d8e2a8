// Package network is how processes open listeners and connections, so that tests can put another network in the place
// of TCP:
//
//	ln, err := network.TCP{}.Listen("127.0.0.1:0")
//	transport := &http.Transport{DialContext: network.Dialer(n, time.Second, 15*time.Second)}
package network

import (
	"context"
	"net"
	"net/http"
	"time"
)

// Network opens listeners and connections on addresses of the form IP:port; port 0 picks a free one.
type Network interface {
	Listen(address string) (net.Listener, error)
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Conn is a connection that can be closed for writing only and closed with a reset, as TCP connections can.
type Conn interface {
	net.Conn
	CloseWrite() error
	// SetLinger with 0 makes Close discard what is unsent and reset the connection.
	SetLinger(seconds int) error
}

// TCP is the network of the machine.
type TCP struct{}

// DialContext opens a TCP connection.
func (TCP) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, network, address)
}

// Listen opens a listener on a TCP address.
func (TCP) Listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// OrDefault returns n, or TCP if n is nil.
func OrDefault(n Network) Network {
	if n == nil {
		return TCP{}
	}
	return n
}

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer returns a function that opens connections through n within a timeout. keepAlive is the interval of probes on
// idle TCP connections; 0 is the system's.
func Dialer(n Network, timeout, keepAlive time.Duration) DialFunc {
	if n == nil {
		return (&net.Dialer{Timeout: timeout, KeepAlive: keepAlive}).DialContext
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		return n.DialContext(ctx, network, address)
	}
}

// Client returns an HTTP client over n that keeps connections for reuse.
func Client(n Network) *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: OrDefault(n).DialContext, MaxIdleConnsPerHost: 16, IdleConnTimeout: 30 * time.Second}}
}

// Reset closes a connection so that its peer sees a reset, where the connection can do so.
func Reset(c net.Conn) {
	if t, ok := c.(Conn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
