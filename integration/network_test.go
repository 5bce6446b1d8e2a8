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

// hosts counts the loopback addresses given out by this process.
var hosts atomic.Int32

var bearer = regexp.MustCompile(`Authorization: Bearer (\S+)`)

// newHost returns a loopback address of its own, so that fixed ports collide neither with other worlds nor with the
// kernel's choice of ports.
func newHost() string {
	pid := os.Getpid()
	n := int(hosts.Add(1))
	return fmt.Sprintf("127.%d.%d.%d", 64+(pid/250+n/250)%150, pid%250, 1+n%250)
}

// network joins the entries. Each ordered pair has a proxy of its own: a front accepts the connections to an entry, tells
// by the token which entry opened each, and passes it to the proxy of that link.
type network struct {
	mu      sync.Mutex
	tokens  map[string]string // entries by token
	targets map[string]string
	links   map[[2]string]*faultproxy.Proxy
	fronts  []net.Listener
}

func newNetwork() *network {
	return &network{tokens: map[string]string{}, targets: map[string]string{}, links: map[[2]string]*faultproxy.Proxy{}}
}

// front starts to accept connections to an entry that listens on target.
func (n *network) front(entry, listen, target string) error {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	n.mu.Lock()
	n.targets[entry] = target
	n.fronts = append(n.fronts, ln)
	n.mu.Unlock()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return // close ended the listener
			}
			go n.pass(c.(*net.TCPConn), entry)
		}
	}()
	return nil
}

// identify registers the token by which an entry is known.
func (n *network) identify(entry, token string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.tokens[token] = entry
}

// link returns the proxy for connections that from opens to to.
func (n *network) link(from, to string) *faultproxy.Proxy {
	n.mu.Lock()
	defer n.mu.Unlock()
	key := [2]string{from, to}
	if p := n.links[key]; p != nil {
		return p
	}
	p, err := faultproxy.New("127.0.0.1:0", n.targets[to])
	if err != nil {
		panic(err) // no port is free
	}
	n.links[key] = p
	return p
}

func (n *network) pass(client *net.TCPConn, to string) {
	from, head := n.source(client)
	if len(head) == 0 {
		_ = client.Close() // was never used
		return
	}
	c, err := net.Dial("tcp", n.link(from, to).Address())
	if err != nil {
		reset(client)
		return
	}
	server := c.(*net.TCPConn)
	_, _ = server.Write(head) // a failure shows in the copy below
	var wait sync.WaitGroup
	for _, pair := range [][2]*net.TCPConn{{client, server}, {server, client}} {
		wait.Add(1)
		go func() {
			defer wait.Done()
			if _, err := io.Copy(pair[1], pair[0]); err != nil {
				reset(client)
				reset(server)
				return
			}
			_ = pair[1].CloseWrite()
		}()
	}
	wait.Wait()
	_ = client.Close()
	_ = server.Close()
}

func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// source reads the head of the first request of a connection and names the entry whose token it carries. It returns
// the bytes read.
func (n *network) source(c net.Conn) (entry string, head []byte) {
	buf := make([]byte, 4096)
	for !bytes.Contains(head, []byte("\r\n\r\n")) {
		k, err := c.Read(buf)
		head = append(head, buf[:k]...)
		if err != nil {
			break
		}
	}
	if m := bearer.FindSubmatch(head); m != nil {
		n.mu.Lock()
		defer n.mu.Unlock()
		entry = n.tokens[string(m[1])]
	}
	return entry, head
}

// cut holds back what an entry sends to the others, what it receives from them, or both; nothing ends that.
func (n *network) cut(entry string, sends, receives bool) {
	for _, other := range n.others(entry) {
		n.link(entry, other).Set(faultproxy.Faults{Up: faultproxy.Direction{Cut: sends}, Down: faultproxy.Direction{Cut: receives}})
		n.link(other, entry).Set(faultproxy.Faults{Up: faultproxy.Direction{Cut: receives}, Down: faultproxy.Direction{Cut: sends}})
	}
}

// blackHole silences all open connections between an entry and the others; new ones work.
func (n *network) blackHole(entry string) {
	for _, other := range n.others(entry) {
		n.link(entry, other).BlackHole()
		n.link(other, entry).BlackHole()
	}
}

func (n *network) others(entry string) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var names []string
	for name := range n.targets {
		if name != entry {
			names = append(names, name)
		}
	}
	return names
}

func (n *network) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, ln := range n.fronts {
		_ = ln.Close()
	}
	for _, p := range n.links {
		p.Close()
	}
}
