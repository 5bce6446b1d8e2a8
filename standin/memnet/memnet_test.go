package memnet_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"golang.org/x/net/nettest"

	"samphirepoint/network"
	"samphirepoint/standin/memnet"
)

// Guards against connections that violate the contract of net.Conn: deadlines, closing, and concurrent reads and writes.
func TestConnConformance(t *testing.T) {
	nettest.TestConn(t, func() (client, server net.Conn, stop func(), err error) {
		n := memnet.New()
		ln, err := n.Listen("127.0.0.1:0")
		if err != nil {
			return nil, nil, nil, err
		}
		if client, err = n.DialContext(context.Background(), "tcp", ln.Addr().String()); err != nil {
			return nil, nil, nil, err
		}
		server, err = ln.Accept()
		return client, server, func() {
			_ = client.Close()
			_ = server.Close()
			_ = ln.Close()
		}, err
	})
}

// Guards against a dial without a listener that hangs, a reset that is reported as an orderly end, and a half-closed
// connection that loses data already written.
func TestRefusalResetAndHalfClose(t *testing.T) {
	g := gomega.NewWithT(t)
	n := memnet.New()
	_, err := n.DialContext(context.Background(), "tcp", "127.0.0.1:1")
	g.Expect(errors.Is(err, syscall.ECONNREFUSED)).To(gomega.BeTrue())
	ln, err := n.Listen("127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer ln.Close()
	connect := func() (client, server network.Conn) {
		c, err := n.DialContext(context.Background(), "tcp", ln.Addr().String())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		s, err := ln.Accept()
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return c.(network.Conn), s.(network.Conn)
	}
	client, server := connect()
	_, _ = client.Write([]byte("ask"))
	g.Expect(client.CloseWrite()).To(gomega.Succeed())
	data, err := io.ReadAll(server)
	g.Expect(string(data), err).To(gomega.Equal("ask"))
	_, _ = server.Write([]byte("answer"))
	_ = server.Close()
	data, err = io.ReadAll(client)
	g.Expect(string(data), err).To(gomega.Equal("answer"))

	client, server = connect()
	network.Reset(server)
	_, err = client.Read(make([]byte, 1))
	g.Expect(errors.Is(err, syscall.ECONNRESET)).To(gomega.BeTrue())
}

// Guards against HTTP over the network that runs in real time: a server's delay of one minute must pass in simulated time.
func TestHTTPInSimulatedTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		n := memnet.New()
		ln, err := n.Listen("127.0.0.1:0")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		server := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(time.Minute)
			_, _ = io.WriteString(w, "done")
		})}
		go func() { _ = server.Serve(ln) }()
		client := network.Client(n)
		started := time.Now()
		resp, err := client.Get("http://" + ln.Addr().String())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		data, err := io.ReadAll(resp.Body)
		g.Expect(string(data), err).To(gomega.Equal("done"))
		g.Expect(time.Since(started)).To(gomega.Equal(time.Minute))
		_ = resp.Body.Close()
		client.CloseIdleConnections()
		_ = server.Close()
	})
}
