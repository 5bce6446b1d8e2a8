//go:build linux

package integration

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"regexp"
	"sync"
	"sync/atomic"

	"samphirepoint/standin/faultproxy"
)

// hostCount is the number of loopback addresses allocated by this process.
var hostCount atomic.Int32

var bearerPattern = regexp.MustCompile(`Authorization: Bearer (\S+)`)

// newHost returns an unused loopback address, so that fixed ports collide neither with other deployments nor with the
// ephemeral ports of the kernel.
func newHost() string {
	pid := os.Getpid()
	n := int(hostCount.Add(1))
	return fmt.Sprintf("127.%d.%d.%d", 64+(pid/250+n/250)%150, pid%250, 1+n%250)
}

// network connects the entries. Each ordered pair of entries has its own fault-injecting proxy: a listener accepts the
// connections to an entry, identifies the entry that opened each one by its token, and forwards it to the proxy of that link.
type network struct {
	mu              sync.Mutex
	entriesByToken  map[string]string
	targetAddresses map[string]string
	links           map[[2]string]*faultproxy.Proxy
	listeners       []net.Listener
}

func newNetwork() *network {
	return &network{entriesByToken: map[string]string{}, targetAddresses: map[string]string{}, links: map[[2]string]*faultproxy.Proxy{}}
}

// acceptFor accepts connections on listen on behalf of an entry that itself listens on target.
func (n *network) acceptFor(entry, listen, target string) error {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	n.mu.Lock()
	n.targetAddresses[entry] = target
	n.listeners = append(n.listeners, ln)
	n.mu.Unlock()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return // the listener is closed
			}
			go n.forward(c.(*net.TCPConn), entry)
		}
	}()
	return nil
}

// registerToken registers the token that identifies an entry.
func (n *network) registerToken(entry, token string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.entriesByToken[token] = entry
}

// link returns the proxy for connections from one entry to another, and creates it on the first use.
func (n *network) link(from, to string) *faultproxy.Proxy {
	n.mu.Lock()
	defer n.mu.Unlock()
	key := [2]string{from, to}
	if p := n.links[key]; p != nil {
		return p
	}
	p, err := faultproxy.New("127.0.0.1:0", n.targetAddresses[to])
	if err != nil {
		panic(err) // no port is free
	}
	n.links[key] = p
	return p
}

func (n *network) forward(client *net.TCPConn, to string) {
	from, head := n.readSource(client)
	if len(head) == 0 {
		_ = client.Close() // carried no request
		return
	}
	c, err := net.Dial("tcp", n.link(from, to).Address())
	if err != nil {
		resetConnection(client)
		return
	}
	server := c.(*net.TCPConn)
	_, _ = server.Write(head) // an error shows up in the copy below
	var wg sync.WaitGroup
	for _, pair := range [][2]*net.TCPConn{{client, server}, {server, client}} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if _, err := io.Copy(pair[1], pair[0]); err != nil {
				resetConnection(client)
				resetConnection(server)
				return
			}
			_ = pair[1].CloseWrite()
		}()
	}
	wg.Wait()
	_ = client.Close()
	_ = server.Close()
}

func resetConnection(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// readSource reads the header of the first request of a connection and returns the entry whose token it carries, and the
// bytes read.
func (n *network) readSource(c net.Conn) (entry string, head []byte) {
	buf := make([]byte, 4096)
	for !bytes.Contains(head, []byte("\r\n\r\n")) {
		read, err := c.Read(buf)
		head = append(head, buf[:read]...)
		if err != nil {
			break
		}
	}
	if m := bearerPattern.FindSubmatch(head); m != nil {
		n.mu.Lock()
		defer n.mu.Unlock()
		entry = n.entriesByToken[string(m[1])]
	}
	return entry, head
}

// partition holds back what an entry sends to the others, what it receives from them, or both, until the next call for that
// entry. Connections stay open.
func (n *network) partition(entry string, sends, receives bool) {
	for _, other := range n.otherEntries(entry) {
		n.link(entry, other).Set(faultproxy.Faults{Up: faultproxy.Direction{Cut: sends}, Down: faultproxy.Direction{Cut: receives}})
		n.link(other, entry).Set(faultproxy.Faults{Up: faultproxy.Direction{Cut: receives}, Down: faultproxy.Direction{Cut: sends}})
	}
}

// blackHole drops all traffic on the open connections between an entry and the others; new connections work.
func (n *network) blackHole(entry string) {
	for _, other := range n.otherEntries(entry) {
		n.link(entry, other).BlackHole()
		n.link(other, entry).BlackHole()
	}
}

func (n *network) otherEntries(entry string) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var names []string
	for name := range n.targetAddresses {
		if name != entry {
			names = append(names, name)
		}
	}
	return names
}

func (n *network) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, ln := range n.listeners {
		_ = ln.Close()
	}
	for _, p := range n.links {
		p.Close()
	}
}
