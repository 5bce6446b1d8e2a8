package worker_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"samphirepoint/request"
	"samphirepoint/standin/workerd"
	"samphirepoint/verdict"
	"samphirepoint/worker"
)

func attempt(body string) worker.Attempt {
	return worker.Attempt{ID: "a1", Request: &request.Request{ID: "r1", Backer: "b", Queue: "q", Pool: "p", Idempotent: true, Key: "k", Body: []byte(body)}}
}

// serve starts a server with handler h and returns a client of it.
func serve(t *testing.T, h http.HandlerFunc) *worker.Client {
	t.Helper()
	s := httptest.NewServer(h)
	c := worker.NewClient(strings.TrimPrefix(s.URL, "http://"))
	t.Cleanup(func() { c.Close(); s.Close() })
	return c
}

// reply is a response of a worker; tests alter the parts that the client must check.
type reply struct {
	status                       int
	id, attempt, hash            string
	verdict, body, contentLength string
}

func validReply() reply {
	return reply{status: 200, id: "r1", attempt: "a1", hash: request.BodyHash([]byte("ok")), verdict: "ran", body: "ok"}
}

func (r reply) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	h := w.Header()
	h.Set(request.HeaderRequestID, r.id)
	h.Set(request.HeaderAttempt, r.attempt)
	h.Set(request.HeaderBodyHash, r.hash)
	h.Set(request.HeaderVerdict, r.verdict)
	if r.contentLength != "" {
		h.Set("Content-Length", r.contentLength)
	}
	w.WriteHeader(r.status)
	_, _ = io.WriteString(w, r.body)
}

// Guards against accepting responses of other requests or truncated ones, and against rejections that the worker did not
// send for this attempt (properties P3 and P4).
func TestResponsesAreValidated(t *testing.T) {
	cases := map[string]struct {
		change func(*reply)
		want   verdict.Verdict
	}{
		"complete":                     {func(*reply) {}, verdict.Ran},
		"of another request":           {func(r *reply) { r.id = "r2" }, verdict.MayHaveRun},
		"of another attempt":           {func(r *reply) { r.attempt = "a2" }, verdict.MayHaveRun},
		"hash is wrong":                {func(r *reply) { r.hash = "0" }, verdict.MayHaveRun},
		"no hash":                      {func(r *reply) { r.hash = "" }, verdict.MayHaveRun},
		"truncated by the connection":  {func(r *reply) { r.contentLength = "100" }, verdict.MayHaveRun},
		"short body":                   {func(r *reply) { r.body = "o" }, verdict.MayHaveRun},
		"refusal":                      {func(r *reply) { r.status, r.verdict = 429, "not-run" }, verdict.NotRun},
		"refusal of another request":   {func(r *reply) { r.status, r.verdict, r.id = 429, "not-run", "r2" }, verdict.MayHaveRun},
		"refusal of another attempt":   {func(r *reply) { r.status, r.verdict, r.attempt = 503, "not-run", "" }, verdict.MayHaveRun},
		"success with verdict not-run": {func(r *reply) { r.verdict = "not-run"; r.hash = "0" }, verdict.MayHaveRun},
		"busy without verdict not-run": {func(r *reply) { r.status = 503; r.hash = "" }, verdict.MayHaveRun},
		"complete server error":        {func(r *reply) { r.status = 500 }, verdict.Ran},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			r := validReply()
			tc.change(&r)
			_, err := serve(t, r.ServeHTTP).Run(context.Background(), attempt("x"))
			g.Expect(verdict.Of(err)).To(Equal(tc.want), "error %v", err)
		})
	}
}

// Guards against a rejection of another request that counts as proof that this task was not started.
func TestTaskRefusalRequiresEchoedHeaders(t *testing.T) {
	g := NewWithT(t)
	r := validReply()
	r.status, r.verdict = 429, "not-run"
	start := func(r reply) error {
		_, err := serve(t, r.ServeHTTP).StartTask(context.Background(), attempt("").Request, worker.TaskStart{ID: "a1"})
		return err
	}
	g.Expect(verdict.Is(start(r), verdict.NotRun)).To(BeTrue())
	r.id = "r2"
	g.Expect(verdict.Is(start(r), verdict.MayHaveRun)).To(BeTrue())
	r = validReply()
	r.body = `{"id":"another","state":"running"}`
	g.Expect(start(r)).To(MatchError(worker.ErrInvalidResponse))
}

// Guards against a slot that counts as free because the stop of an id with special characters was sent to another path.
func TestStopEscapesTheID(t *testing.T) {
	g := NewWithT(t)
	var path atomic.Value
	c := serve(t, func(_ http.ResponseWriter, r *http.Request) { path.Store(r.URL.Path) })
	g.Expect(c.Stop(context.Background(), "a#b?c%", "1")).To(Succeed())
	g.Expect(path.Load()).To(Equal("/stop/a#b?c%"))
}

// Guards against automatic retries by net/http: the server reads the request on an idle connection and closes the
// connection without a response, so the request may have run.
func TestPostIsNotRetried(t *testing.T) {
	for _, body := range []string{"", "body"} {
		t.Run(fmt.Sprintf("body %q", body), func(t *testing.T) {
			g := NewWithT(t)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			defer ln.Close()
			var requests atomic.Int32
			go func() {
				for {
					conn, err := ln.Accept()
					if err != nil {
						return
					}
					go respondOnce(conn, &requests)
				}
			}()
			c := worker.NewClient(ln.Addr().String())
			defer c.Close()
			a := attempt(body)
			_, err = c.Run(context.Background(), a)
			g.Expect(err).NotTo(HaveOccurred())
			_, err = c.Run(context.Background(), a)
			g.Expect(verdict.Is(err, verdict.MayHaveRun)).To(BeTrue(), "got %v", err)
			g.Expect(requests.Load()).To(Equal(int32(2)))
		})
	}
}

// respondOnce responds to the first request of a connection and closes the connection after the second.
func respondOnce(conn net.Conn, requests *atomic.Int32) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for i := range 2 {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		requests.Add(1)
		if i == 0 {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: r1\r\n%s: a1\r\n%s: %s\r\nContent-Length: 2\r\n\r\nok",
				request.HeaderRequestID, request.HeaderAttempt, request.HeaderBodyHash, request.BodyHash([]byte("ok")))
		}
	}
}

// Guards against non-idempotent work on a pooled connection, which may have become unresponsive.
func TestNonIdempotentWorkUsesNewConnections(t *testing.T) {
	g := NewWithT(t)
	peers := make(chan string, 8)
	r := validReply()
	c := serve(t, func(w http.ResponseWriter, q *http.Request) { peers <- q.RemoteAddr; r.ServeHTTP(w, q) })
	a := attempt("x")
	a.FreshConnection = true
	addresses := map[string]bool{}
	for range 3 {
		_, err := c.Run(context.Background(), a)
		g.Expect(err).NotTo(HaveOccurred())
		addresses[<-peers] = true
	}
	g.Expect(addresses).To(HaveLen(3))
}

// Guards against a dial error that is classified as may-have-run.
func TestRefusedConnectionIsNotRun(t *testing.T) {
	g := NewWithT(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(ln.Close()).To(Succeed())
	_, err = worker.NewClient(ln.Addr().String()).Run(context.Background(), attempt("x"))
	g.Expect(verdict.Is(err, verdict.NotRun)).To(BeTrue(), "got %v", err)
}

// Guards against a caller that waits forever on an unresponsive connection while the worker responds on new ones.
func TestUnresponsiveConnectionIsDetected(t *testing.T) {
	g := NewWithT(t)
	var runs atomic.Int32
	release := make(chan struct{})
	c := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/status" {
			_, _ = io.WriteString(w, `{"id":"w","running":[]}`)
			return
		}
		runs.Add(1)
		<-release
	})
	defer close(release)
	start := time.Now()
	_, err := c.Run(context.Background(), attempt("x"))
	g.Expect(errors.Is(err, worker.ErrUnresponsive)).To(BeTrue(), "got %v", err)
	g.Expect(verdict.Is(err, verdict.MayHaveRun)).To(BeTrue())
	g.Expect(time.Since(start)).To(BeNumerically("<", 2*time.Second), "design document, section 6")
	g.Expect(runs.Load()).To(Equal(int32(1)))
}

// Guards against the cancellation of slow work: the status call shows that the worker still runs it.
func TestSlowWorkIsNotUnresponsive(t *testing.T) {
	g := NewWithT(t)
	s := workerd.New(workerd.Options{ID: "w1"})
	g.Expect(s.Start("127.0.0.1:0")).To(Succeed())
	t.Cleanup(s.Close)
	c := worker.NewClient(s.Address())
	defer c.Close()
	_, err := c.Run(context.Background(), attempt(`{"runMs":2500}`))
	g.Expect(err).NotTo(HaveOccurred())
}
