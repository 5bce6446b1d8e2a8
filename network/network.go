// Package network opens listeners and connections behind an interface, so that tests can replace TCP by a simulated
// network:
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

// Network opens listeners and connections on addresses of the form IP:port; port 0 selects a free port.
type Network interface {
	Listen(address string) (net.Listener, error)
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Conn is a connection that supports half-close and close with a reset, as TCP connections do.
type Conn interface {
	net.Conn
	CloseWrite() error
	// SetLinger with 0 makes Close discard unsent data and reset the connection.
	SetLinger(seconds int) error
}

// TCP is the network of the host.
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

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer returns a function that opens connections through n, or over TCP if n is nil, within a timeout. keepAlive is the
// interval of keep-alive probes on idle TCP connections, 0 for the default; it applies only if n is nil.
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

// Reset closes a connection so that its peer sees a reset, if the connection supports that.
func Reset(c net.Conn) {
	if t, ok := c.(Conn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
