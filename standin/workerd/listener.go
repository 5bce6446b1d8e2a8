package workerd

import (
	"net"
	"sync"
	"sync/atomic"

	"samphirepoint/network"
)

// limitedListener resets connections above a limit.
type limitedListener struct {
	net.Listener
	limit  int
	active atomic.Int64
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.active.Add(1) <= int64(l.limit) {
			return &countedConn{Conn: c, active: &l.active}, nil
		}
		l.active.Add(-1)
		network.Reset(c)
	}
}

type countedConn struct {
	net.Conn
	active *atomic.Int64
	once   sync.Once
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.once.Do(func() { c.active.Add(-1) })
	return c.Conn.Close()
}
