package forward

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"samphirepoint/dispatch"
	"samphirepoint/filter"
	"samphirepoint/request"
	"samphirepoint/verdict"
)

// peers is a fake Peers with one other entry; alive is the result of its pings.
type peers struct {
	url   string
	alive *atomic.Bool
}

func (p peers) BaseURL(id string) (string, bool) { return p.url, id == "x" }

func (p peers) Token() string { return "token" }

func (p peers) Self() string { return "self" }

func (p peers) Ping(context.Context, string) bool { return p.alive.Load() }

// forwardTo forwards a request to an entry whose handler is h; alive is the result of pings.
func forwardTo(t *testing.T, ctx context.Context, h http.HandlerFunc, alive bool) (*filter.Answer, error) {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	p := peers{url: s.URL, alive: &atomic.Bool{}}
	p.alive.Store(alive)
	fc := &filter.Context{Ctx: ctx, Request: &request.Request{
		ID: "r1", Backer: "b", Queue: "q", Pool: "p", Key: "k", KeyIssued: time.Unix(1e9, 5), Deadline: time.Now().Add(time.Minute), Body: []byte("body"),
	}}
	return NewClient(p, &http.Transport{}).Forward(fc, filter.Target{ID: "x"}, filter.ForwardOptions{Pool: "o", NoWait: true})
}

// reply returns a handler that answers as an entry does, with changes to its headers.
func reply(status int, body string, changes map[string]string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		h := w.Header()
		h.Set(request.HeaderRequestID, "r1")
		h.Set(request.HeaderBodyHash, request.BodyHash([]byte(body)))
		h.Set("Content-Length", strconv.Itoa(len(body)))
		for k, v := range changes {
			h.Set(k, v)
		}
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

// Guards against a truncated answer or the answer to another request that reaches a caller, and against rejections whose
// verdict is lost in transport.
func TestAnswers(t *testing.T) {
	refused := func(status int, v string) http.HandlerFunc {
		return reply(status, `{"error":"no"}`, map[string]string{HeaderRefusal: "true", request.HeaderVerdict: v, "Retry-After": "3"})
	}
	cases := map[string]struct {
		answer      http.HandlerFunc
		want        verdict.Verdict
		unreachable bool
		notOwner    bool
	}{
		"complete":            {answer: reply(200, "ok", nil), want: verdict.Ran},
		"of another request":  {answer: reply(200, "ok", map[string]string{request.HeaderRequestID: "r2"}), want: verdict.MayHaveRun, unreachable: true},
		"wrong hash":          {answer: reply(200, "ok", map[string]string{request.HeaderBodyHash: "0"}), want: verdict.MayHaveRun, unreachable: true},
		"truncated":           {answer: reply(200, "ok", map[string]string{"Content-Length": "9"}), want: verdict.MayHaveRun, unreachable: true},
		"broken connection":   {answer: func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, want: verdict.MayHaveRun, unreachable: true},
		"refusal":             {answer: refused(429, "not-run"), want: verdict.NotRun},
		"refusal, no verdict": {answer: refused(429, "?"), want: verdict.MayHaveRun},
		"token not accepted":  {answer: refused(401, "not-run"), want: verdict.NotRun, unreachable: true},
		"not the owner":       {answer: refused(421, "not-run"), want: verdict.NotRun, notOwner: true},
		"worker's own answer": {answer: reply(503, "busy", map[string]string{request.HeaderVerdict: "not-run"}), want: verdict.Ran},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			_, err := forwardTo(t, context.Background(), tc.answer, true)
			g.Expect(verdict.Of(err)).To(Equal(tc.want), "error %v", err)
			if tc.unreachable {
				g.Expect(err).To(MatchError(filter.ErrUnreachable))
			}
			if tc.notOwner {
				g.Expect(err).To(MatchError(dispatch.ErrNotOwner))
				g.Expect(verdict.RetryAfter(err)).To(Equal(3 * time.Second))
			}
		})
	}
}

// Guards against an entry that keeps waiting for an owner that is paused or dead: a takeover takes about 1 s (design
// document, section 3.12).
func TestUnresponsiveOwner(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	begin := time.Now()
	_, err := forwardTo(t, ctx, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	}, false)
	g.Expect(err).To(MatchError(filter.ErrUnreachable))
	g.Expect(verdict.Is(err, verdict.MayHaveRun)).To(BeTrue())
	g.Expect(time.Since(begin)).To(BeNumerically("<", time.Second))
}

// Guards against the verdict may-have-run for a request that waited at its owner until the deadline: the owner's rejection
// must arrive before the deadline at the forwarding entry.
func TestDeadlineLeavesTimeForTheAnswer(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	var timeout time.Duration
	_, err := forwardTo(t, ctx, func(w http.ResponseWriter, r *http.Request) {
		timeout, _ = time.ParseDuration(r.Header.Get(request.HeaderDeadline))
		reply(200, "ok", nil)(w, r)
	}, true)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(timeout).To(BeNumerically("<=", time.Minute-maxAnswerMargin))
	g.Expect(timeout).To(BeNumerically(">", time.Minute-2*time.Second))
	for _, remaining := range []time.Duration{-time.Second, 0, time.Millisecond} {
		g.Expect(remoteTimeout(remaining)).To(Equal(time.Millisecond))
	}
	g.Expect(remoteTimeout(100 * time.Millisecond)).To(Equal(90 * time.Millisecond))
}

// Guards against parts of a request that are lost between entries, among them the issue time that is part of a key.
func TestRequestArrivesWhole(t *testing.T) {
	g := NewWithT(t)
	var got *http.Request
	var body []byte
	_, err := forwardTo(t, context.Background(), func(w http.ResponseWriter, r *http.Request) {
		got = r
		body, _ = io.ReadAll(r.Body)
		reply(200, "ok", nil)(w, r)
	}, true)
	g.Expect(err).NotTo(HaveOccurred())
	var c filter.Context
	Options(got, &c)
	g.Expect(c.NoWait && c.Forwarded && !c.Attach).To(BeTrue())
	g.Expect(string(body)).To(Equal("body"))
	h := got.Header
	g.Expect(h.Get(request.HeaderPool)).To(Equal("o"))
	g.Expect(h.Get(request.HeaderHops)).To(Equal("1"))
	g.Expect(h.Get(request.HeaderVisited)).To(Equal("self"))
	g.Expect(h.Get(request.HeaderIdempotent)).To(Equal("false"))
	issued, err := time.Parse(time.RFC3339, h.Get(request.HeaderIdempotencyIssued))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(issued.Equal(time.Unix(1e9, 5))).To(BeTrue())
}

// Guards against the verdict may-have-run for a request that was not sent because the entry's address is unknown.
func TestUnknownEntry(t *testing.T) {
	g := NewWithT(t)
	fc := &filter.Context{Ctx: context.Background(), Request: &request.Request{ID: "r1"}}
	_, err := NewClient(peers{}, &http.Transport{}).Forward(fc, filter.Target{ID: "y"}, filter.ForwardOptions{})
	g.Expect(err).To(MatchError(filter.ErrUnreachable))
	g.Expect(verdict.Is(err, verdict.NotRun)).To(BeTrue())
}
