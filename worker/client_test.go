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

// serve answers all calls with h and returns a client.
func serve(t *testing.T, h http.HandlerFunc) *worker.Client {
	t.Helper()
	s := httptest.NewServer(h)
	c := worker.NewClient(strings.TrimPrefix(s.URL, "http://"))
	t.Cleanup(func() { c.Close(); s.Close() })
	return c
}

// reply is an answer of a worker; tests change what the client must notice.
type reply struct {
	status             int
	id, attempt, hash  string
	verdict, body, cut string
}

func good() reply {
	return reply{status: 200, id: "r1", attempt: "a1", hash: request.BodyHash([]byte("ok")), verdict: "ran", body: "ok"}
}

func (r reply) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	h := w.Header()
	h.Set(request.HeaderRequestID, r.id)
	h.Set(request.HeaderAttempt, r.attempt)
	h.Set(request.HeaderBodyHash, r.hash)
	h.Set(request.HeaderVerdict, r.verdict)
	if r.cut != "" {
		h.Set("Content-Length", r.cut)
	}
	w.WriteHeader(r.status)
	_, _ = io.WriteString(w, r.body)
}

// Guards against answers of other requests or cut answers that pass for whole ones, and against refusals that do
// not come from the worker for this attempt (P3, P4).
func TestAnswersAreChecked(t *testing.T) {
	cases := map[string]struct {
		change func(*reply)
		want   verdict.Verdict
	}{
		"whole":                          {func(*reply) {}, verdict.Ran},
		"of another request":             {func(r *reply) { r.id = "r2" }, verdict.MayHaveRun},
		"of another attempt":             {func(r *reply) { r.attempt = "a2" }, verdict.MayHaveRun},
		"hash is wrong":                  {func(r *reply) { r.hash = "0" }, verdict.MayHaveRun},
		"no hash":                        {func(r *reply) { r.hash = "" }, verdict.MayHaveRun},
		"cut by the connection":          {func(r *reply) { r.cut = "100" }, verdict.MayHaveRun},
		"short body":                     {func(r *reply) { r.body = "o" }, verdict.MayHaveRun},
		"refusal":                        {func(r *reply) { r.status, r.verdict = 429, "not-run" }, verdict.NotRun},
		"refusal of another request":     {func(r *reply) { r.status, r.verdict, r.id = 429, "not-run", "r2" }, verdict.MayHaveRun},
		"refusal of another attempt":     {func(r *reply) { r.status, r.verdict, r.attempt = 503, "not-run", "" }, verdict.MayHaveRun},
		"success that says not run":      {func(r *reply) { r.verdict = "not-run"; r.hash = "0" }, verdict.MayHaveRun},
		"busy without the word not run":  {func(r *reply) { r.status = 503; r.hash = "" }, verdict.MayHaveRun},
		"server error with whole answer": {func(r *reply) { r.status = 500 }, verdict.Ran},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			r := good()
			tc.change(&r)
			_, err := serve(t, r.ServeHTTP).Run(context.Background(), attempt("x"))
			g.Expect(verdict.Of(err)).To(Equal(tc.want), "error %v", err)
		})
	}
}

// Guards against a refused task that is taken for one that was not started.
func TestTaskRefusalNeedsTheEcho(t *testing.T) {
	g := NewWithT(t)
	r := good()
	r.status, r.verdict = 429, "not-run"
	start := func(r reply) error {
		_, err := serve(t, r.ServeHTTP).StartTask(context.Background(), attempt("").Request, worker.TaskStart{ID: "a1"})
		return err
	}
	g.Expect(verdict.Is(start(r), verdict.NotRun)).To(BeTrue())
	r.id = "r2"
	g.Expect(verdict.Is(start(r), verdict.MayHaveRun)).To(BeTrue())
	r = good()
	r.body = `{"id":"another","state":"running"}`
	g.Expect(start(r)).To(MatchError(worker.ErrInvalidResponse))
}

// Guards against a slot that counts as free because the stop of an id with special characters reached another path.
func TestStopEscapesTheID(t *testing.T) {
	g := NewWithT(t)
	var path atomic.Value
	c := serve(t, func(_ http.ResponseWriter, r *http.Request) { path.Store(r.URL.Path) })
	g.Expect(c.Stop(context.Background(), "a#b?c%", "1")).To(Succeed())
	g.Expect(path.Load()).To(Equal("/stop/a#b?c%"))
}

// Guards against net/http sending a request a second time by itself: the server reads it on an idle connection and
// closes without an answer, so the request may have run.
func TestPostIsNotRepeated(t *testing.T) {
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
					go answerOnce(conn, &requests)
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

// answerOnce answers the first request of a connection and closes it after the second.
func answerOnce(conn net.Conn, requests *atomic.Int32) {
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

// Guards against non-idempotent work on a pooled connection, which may have gone silent.
func TestNonIdempotentWorkUsesNewConnections(t *testing.T) {
	g := NewWithT(t)
	peers := make(chan string, 8)
	r := good()
	c := serve(t, func(w http.ResponseWriter, q *http.Request) { peers <- q.RemoteAddr; r.ServeHTTP(w, q) })
	a := attempt("x")
	a.FreshConnection = true
	seen := map[string]bool{}
	for range 3 {
		_, err := c.Run(context.Background(), a)
		g.Expect(err).NotTo(HaveOccurred())
		seen[<-peers] = true
	}
	g.Expect(seen).To(HaveLen(3))
}

// Guards against a dial error that is taken for a request that may have run.
func TestRefusedConnectionIsNotRun(t *testing.T) {
	g := NewWithT(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(ln.Close()).To(Succeed())
	_, err = worker.NewClient(ln.Addr().String()).Run(context.Background(), attempt("x"))
	g.Expect(verdict.Is(err, verdict.NotRun)).To(BeTrue(), "got %v", err)
}

// Guards against a caller that waits for ever on a connection that went silent while the worker answers on new ones.
func TestSilentConnectionIsFound(t *testing.T) {
	g := NewWithT(t)
	var runs atomic.Int32
	silent := make(chan struct{})
	c := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/status" {
			_, _ = io.WriteString(w, `{"id":"w","running":[]}`)
			return
		}
		runs.Add(1)
		<-silent
	})
	defer close(silent)
	begin := time.Now()
	_, err := c.Run(context.Background(), attempt("x"))
	g.Expect(errors.Is(err, worker.ErrUnresponsive)).To(BeTrue(), "got %v", err)
	g.Expect(verdict.Is(err, verdict.MayHaveRun)).To(BeTrue())
	g.Expect(time.Since(begin)).To(BeNumerically("<", 2*time.Second), "design page, section 6")
	g.Expect(runs.Load()).To(Equal(int32(1)))
}

// Guards against the loss of slow work: the status probe shows that the worker still runs it.
func TestSlowWorkIsNotTakenForSilent(t *testing.T) {
	g := NewWithT(t)
	s := workerd.New(workerd.Options{ID: "w1"})
	g.Expect(s.Start("127.0.0.1:0")).To(Succeed())
	t.Cleanup(s.Close)
	c := worker.NewClient(s.Address())
	defer c.Close()
	_, err := c.Run(context.Background(), attempt(`{"runMs":2500}`))
	g.Expect(err).NotTo(HaveOccurred())
}
