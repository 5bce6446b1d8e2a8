package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"

	"samphirepoint/network"

	"github.com/rcrowley/go-metrics"
)

// Names of the counters of control traffic. Bytes are counted at the connection, which includes HTTP and TLS overhead but
// not TCP and IP headers.
const (
	MetricBytesIn  = "control.bytes.in"
	MetricBytesOut = "control.bytes.out"
)

// Traffic counts the bytes of connections that carry control traffic.
type Traffic struct{ in, out metrics.Counter }

// NewTraffic registers the counters; a nil registry means the default one.
func NewTraffic(registry metrics.Registry) *Traffic {
	return &Traffic{
		in:  metrics.GetOrRegisterCounter(MetricBytesIn, registry),
		out: metrics.GetOrRegisterCounter(MetricBytesOut, registry),
	}
}

// Bytes returns the bytes received and sent so far.
func (t *Traffic) Bytes() (in, out int64) { return t.in.Count(), t.out.Count() }

// Dial returns a dialer whose connections are counted. Clients of the platform may use it too.
func (t *Traffic) Dial(dial network.DialFunc) network.DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: conn, traffic: t, control: true}, nil
	}
}

// Listener wraps the listener of the peer API, below TLS. A connection is counted from its first byte once Handler receives
// a control request on it, so forwarded requests on the same address are excluded. The server must use ConnContext.
func (t *Traffic) Listener(l net.Listener) net.Listener { return countedListener{l, t} }

type connKey struct{}

// ConnContext is the hook of http.Server that passes the connection of a request to the handler.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	if c, ok := conn.(*tls.Conn); ok {
		conn = c.NetConn()
	}
	if c, ok := conn.(*countedConn); ok {
		return context.WithValue(ctx, connKey{}, c)
	}
	return ctx
}

// markControl marks the connection of a request as one that carries control traffic.
func markControl(r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*countedConn); ok {
		c.markControl()
	}
}

type countedListener struct {
	net.Listener
	traffic *Traffic
}

func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, traffic: l.traffic}, nil
}

// countedConn counts its bytes, and adds them to the traffic once it is known to carry control requests.
type countedConn struct {
	net.Conn
	traffic *Traffic

	mu      sync.Mutex
	control bool
	in, out int64 // bytes before markControl
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.add(int64(n), 0)
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.add(0, int64(n))
	return n, err
}

func (c *countedConn) add(in, out int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.control {
		c.in += in
		c.out += out
		return
	}
	c.traffic.in.Inc(in)
	c.traffic.out.Inc(out)
}

func (c *countedConn) markControl() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.control {
		return
	}
	c.control = true
	c.traffic.in.Inc(c.in)
	c.traffic.out.Inc(c.out)
}
