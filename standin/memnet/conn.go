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
	resetOnClose  bool
	mu            sync.Mutex
}

// newPair returns the client and the server end of a new connection.
func newPair(client, server netip.AddrPort) (*conn, *conn) {
	up, down := newStream(), newStream()
	return &conn{in: down, out: up, local: client, remote: server}, &conn{in: up, out: down, local: server, remote: client}
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) { return c.in.read(b) }

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) { return c.out.write(b) }

// CloseWrite closes the outgoing direction; the peer reads the data already written and then io.EOF.
func (c *conn) CloseWrite() error {
	c.out.closeWithError(io.EOF)
	return nil
}

// SetLinger with 0 seconds makes Close reset the connection.
func (c *conn) SetLinger(seconds int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resetOnClose = seconds == 0
	return nil
}

// Close implements net.Conn. If data is left unread, or after SetLinger(0), the peer gets a reset.
func (c *conn) Close() error {
	c.mu.Lock()
	reset := c.resetOnClose
	c.mu.Unlock()
	if c.in.closeReader() || reset {
		c.out.abortWithError(os.NewSyscallError("read", syscall.ECONNRESET))
	}
	c.out.closeWithError(io.EOF)
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
