package memnet

import (
	"io"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"
)

// conn is one end of a connection.
type conn struct {
	in, out       *stream
	local, remote netip.AddrPort
	reset         bool
	mu            sync.Mutex
}

// pair returns the two ends of a new connection.
func pair(client, server netip.AddrPort) (*conn, *conn) {
	up, down := newStream(), newStream()
	return &conn{in: down, out: up, local: client, remote: server}, &conn{in: up, out: down, local: server, remote: client}
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) { return c.in.read(b) }

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) { return c.out.write(b) }

// CloseWrite ends the outgoing direction; the peer reads what was written and then io.EOF.
func (c *conn) CloseWrite() error {
	c.out.end(io.EOF)
	return nil
}

// SetLinger with 0 makes Close a reset.
func (c *conn) SetLinger(seconds int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reset = seconds == 0
	return nil
}

// Close implements net.Conn. With unread bytes, or after SetLinger(0), the peer sees a reset.
func (c *conn) Close() error {
	c.mu.Lock()
	reset := c.reset
	c.mu.Unlock()
	if c.in.abandon() || reset {
		c.out.fail(os.NewSyscallError("read", syscall.ECONNRESET))
	}
	c.out.end(io.EOF)
	c.out.closeWriter()
	return nil
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return net.TCPAddrFromAddrPort(c.local) }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return net.TCPAddrFromAddrPort(c.remote) }

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	_ = c.SetReadDeadline(t)
	return c.SetWriteDeadline(t)
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.in.setReadDeadline(t)
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.out.setWriteDeadline(t)
	return nil
}
