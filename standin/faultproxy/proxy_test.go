package faultproxy_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"samphirepoint/standin"
	"samphirepoint/standin/faultproxy"
)

// start serves bodies of 5000 bytes behind a proxy and returns a client with one keep-alive connection.
func start(t *testing.T) (*faultproxy.Proxy, *http.Client, func() error) {
	t.Helper()
	l, err := standin.Listen("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", 5000))
	}))
	if err != nil {
		t.Fatal(err)
	}
	p, err := faultproxy.New("127.0.0.1:0", l.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.Close(); l.Close() })
	c := &http.Client{Transport: &http.Transport{}, Timeout: 5 * time.Second}
	t.Cleanup(c.CloseIdleConnections)
	get := func() error {
		resp, err := c.Get("http://" + p.Address() + "/")
		if err != nil {
			return err
		}
		defer func() { _ = resp.Body.Close() }()
		data, err := io.ReadAll(resp.Body)
		if err == nil && len(data) != 5000 {
			err = fmt.Errorf("%d bytes", len(data))
		}
		return err
	}
	if err := get(); err != nil {
		t.Fatal(err)
	}
	return p, c, get
}

// Guards against a proxy that drops or doubles the delay of one direction, which would invalidate latency experiments.
func TestDelay(t *testing.T) {
	g := NewWithT(t)
	p, _, get := start(t)
	p.Set(faultproxy.Faults{Up: faultproxy.Direction{Delay: standin.Duration(100 * time.Millisecond)}})
	started := time.Now()
	g.Expect(get()).To(Succeed())
	g.Expect(time.Since(started)).To(BeNumerically(">=", 100*time.Millisecond))
}

// Guards against a partition that passes data while it lasts or loses data once it is healed.
func TestPartitionAndHeal(t *testing.T) {
	g := NewWithT(t)
	p, _, get := start(t)
	for _, f := range []faultproxy.Faults{
		{Up: faultproxy.Direction{Cut: true}},
		{Down: faultproxy.Direction{Cut: true}},
		{Up: faultproxy.Direction{Cut: true}, Down: faultproxy.Direction{Cut: true}},
	} {
		p.Set(f)
		done := make(chan error, 1)
		go func() { done <- get() }()
		g.Consistently(done, "200ms").ShouldNot(Receive())
		p.Cut(false)
		g.Eventually(done, "5s").Should(Receive(BeNil()))
	}
}

// Guards against a black hole that still passes data on the open connection or that affects new connections.
func TestBlackHole(t *testing.T) {
	g := NewWithT(t)
	p, c, get := start(t)
	p.BlackHole()
	c.Timeout = 200 * time.Millisecond
	g.Expect(get()).NotTo(Succeed())
	c.Timeout = 5 * time.Second
	c.CloseIdleConnections()
	g.Expect(get()).To(Succeed())
}

// Guards against truncation that does not reach the client as a short body, and against a reset or rejection that does not
// reach it as a connection error.
func TestTruncateResetRefuse(t *testing.T) {
	g := NewWithT(t)
	p, c, get := start(t)
	c.CloseIdleConnections()
	p.Set(faultproxy.Faults{Down: faultproxy.Direction{TruncateAfter: 1000}})
	g.Expect(get()).To(MatchError(ContainSubstring("unexpected EOF")))
	p.Set(faultproxy.Faults{})
	g.Eventually(func() int { return p.Stats().Open }, "5s").Should(BeZero())

	conn, err := net.Dial("tcp", p.Address())
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	g.Eventually(func() int { return p.Stats().Open }, "5s").Should(Equal(1))
	p.Reset()
	g.Expect(conn.SetReadDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
	_, err = conn.Read(make([]byte, 1))
	g.Expect(err).To(MatchError(ContainSubstring("reset")))

	p.Set(faultproxy.Faults{Refuse: true})
	g.Expect(get()).NotTo(Succeed())
}

// Guards against an HTTP control interface that does not set the faults of the proxy.
func TestControl(t *testing.T) {
	g := NewWithT(t)
	p, _, _ := start(t)
	l, err := standin.Listen("127.0.0.1:0", p.Handler())
	g.Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	req, err := http.NewRequest(http.MethodPut, l.URL()+"/faults", strings.NewReader(`{"down":{"cut":true,"delay":"3ms"}}`))
	g.Expect(err).NotTo(HaveOccurred())
	resp, err := http.DefaultClient.Do(req)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.Body.Close()).To(Succeed())
	g.Expect(p.Faults().Down).To(Equal(faultproxy.Direction{Cut: true, Delay: standin.Duration(3 * time.Millisecond)}))
}
