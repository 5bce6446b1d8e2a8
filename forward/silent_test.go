package forward

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"samphirepoint/filter"
	"samphirepoint/request"
	"samphirepoint/standin/memnet"
	"samphirepoint/verdict"
)

const (
	ownerAddress = "127.0.0.1:1"
	nextAddress  = "127.0.0.1:2"
)

// twoOwners is the router of an entry that is not an owner itself: x owns the pool, and y if x is excluded. It is also Peers;
// y answers pings and x does not.
type twoOwners struct{}

func (twoOwners) Owner(_ string, except []string) (filter.Target, bool) {
	if slices.Contains(except, "x") {
		return filter.Target{ID: "y"}, true
	}
	return filter.Target{ID: "x"}, true
}

func (twoOwners) Relay(filter.Target, []string) (filter.Target, bool) { return filter.Target{}, false }

func (twoOwners) Suspect(context.Context, filter.Target) bool { return false }

func (twoOwners) BaseURL(id string) (string, bool) {
	return "http://" + map[string]string{"x": ownerAddress, "y": nextAddress}[id], true
}

func (twoOwners) Token() string { return "token" }

func (twoOwners) Self() string { return "self" }

func (twoOwners) Ping(_ context.Context, id string) bool { return id == "y" }

// late delays an answer to one that arrives after the owner was given up as silent.
func late(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(2 * time.Second)
		h(w, r)
	}
}

// Guards against a wrong verdict if the owner answers after it was given up as silent and the next owner rejected the request
// as not run: not-run is only answered if the first owner says so as well, and may-have-run only if its answer does not tell.
func TestAnswerOfSilentOwner(t *testing.T) {
	rejection := func(v string) http.HandlerFunc {
		return reply(503, `{"error":"table down"}`, map[string]string{HeaderRefusal: "true", request.HeaderVerdict: v})
	}
	never := func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // the server detects a closed connection only after the body
		<-r.Context().Done()
	}
	cases := map[string]struct {
		owner      http.HandlerFunc
		idempotent bool
		deadline   time.Duration
		want       verdict.Verdict
		// from and to bound the time of the answer.
		from, to time.Duration
	}{
		"rejects as not run":  {owner: late(rejection("not-run")), want: verdict.NotRun, from: 2 * time.Second, to: 3 * time.Second},
		"answers":             {owner: late(reply(200, "ok", nil)), want: verdict.Ran, from: 2 * time.Second, to: 3 * time.Second},
		"result is lost":      {owner: late(rejection("ran")), want: verdict.Ran, from: 2 * time.Second, to: 3 * time.Second},
		"may have run":        {owner: late(rejection("may-have-run")), want: verdict.MayHaveRun, from: 2 * time.Second, to: 3 * time.Second},
		"breaks connection":   {owner: late(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }), want: verdict.MayHaveRun, from: 2 * time.Second, to: 3 * time.Second},
		"silent to deadline":  {owner: never, deadline: 5 * time.Second, want: verdict.MayHaveRun, from: 5 * time.Second, to: 6 * time.Second},
		"silent for an hour":  {owner: never, deadline: time.Hour, want: verdict.MayHaveRun, from: maxPause, to: maxPause + time.Second},
		"idempotent is final": {owner: late(rejection("not-run")), idempotent: true, want: verdict.MayHaveRun, to: time.Second},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				n := memnet.New()
				var rejections atomic.Int32
				serveOn(t, n, ownerAddress, tc.owner)
				serveOn(t, n, nextAddress, func(w http.ResponseWriter, r *http.Request) {
					rejections.Add(1)
					rejection("not-run")(w, r)
				})
				transport := &http.Transport{DialContext: n.DialContext}
				defer transport.CloseIdleConnections()
				if tc.deadline == 0 {
					tc.deadline = 10 * time.Second
				}
				ctx, cancel := context.WithTimeout(context.Background(), tc.deadline)
				defer cancel()
				c := &filter.Context{Ctx: ctx, Log: zerolog.Nop(), Request: &request.Request{
					ID: "r1", Backer: "b", Queue: "q", Pool: "p", Key: "k", Idempotent: tc.idempotent, Deadline: time.Now().Add(tc.deadline), Body: []byte("body"),
				}}
				begin := time.Now()
				filter.Chain{filter.Route{Router: twoOwners{}, Forwarder: NewClient(twoOwners{}, transport)}}.Serve(c)
				g.Expect(c.Verdict()).To(Equal(tc.want), "error %v", c.Err)
				g.Expect(time.Since(begin)).To(And(BeNumerically(">=", tc.from), BeNumerically("<=", tc.to)))
				g.Expect(rejections.Load()).To(Equal(int32(1)))
			})
		})
	}
}

// serveOn serves at an address in the network until the test ends.
func serveOn(t *testing.T, n *memnet.Network, address string, h http.HandlerFunc) {
	t.Helper()
	ln, err := n.Listen(address)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(ln) }()
	t.Cleanup(func() { _ = s.Shutdown(context.Background()) })
}

// flakyPeers is twoOwners, but x answers pings from a point in time on.
type flakyPeers struct {
	twoOwners
	answersFrom time.Time
}

func (p flakyPeers) Ping(context.Context, string) bool { return !time.Now().Before(p.answersFrom) }

// Guards against the answer may-have-run for a repeat, because the entry that runs the request was slow to answer pings, and
// against a repeat that waits for an entry that is down until its deadline.
func TestAttachWaitsForSlowHolder(t *testing.T) {
	cases := map[string]struct {
		pingsFail time.Duration
		want      verdict.Verdict
		to        time.Duration
	}{
		"slow": {pingsFail: 2 * time.Second, want: verdict.Ran, to: 5 * time.Second},
		"down": {pingsFail: time.Hour, want: verdict.MayHaveRun, to: 4 * time.Second},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				n := memnet.New()
				serveOn(t, n, ownerAddress, func(w http.ResponseWriter, r *http.Request) {
					if r.Method == http.MethodPost {
						time.Sleep(5 * time.Second)
					}
					reply(200, "ok", nil)(w, r)
				})
				transport := &http.Transport{DialContext: n.DialContext}
				defer transport.CloseIdleConnections()
				ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
				defer cancel()
				fc := &filter.Context{Ctx: ctx, Request: &request.Request{ID: "r1", Backer: "b", Queue: "q", Pool: "p", Key: "k", Deadline: time.Now().Add(30 * time.Second)}}
				begin := time.Now()
				_, err := NewClient(flakyPeers{answersFrom: begin.Add(tc.pingsFail)}, transport).Forward(fc, filter.Target{ID: "x"}, filter.ForwardOptions{Pool: "p", Attach: true})
				g.Expect(verdict.Of(err)).To(Equal(tc.want), "error %v", err)
				g.Expect(time.Since(begin)).To(BeNumerically("<=", tc.to))
			})
		})
	}
}

// Guards against a request that is given up while its body is still on its way over a slow link, since the other entry has no
// such request yet; and against the verdict may-have-run for a body that never arrived whole.
func TestSlowBody(t *testing.T) {
	body := bytes.Repeat([]byte("body"), 1<<20)
	cases := map[string]struct {
		// pause is the time until the other entry reads the body.
		pause time.Duration
		want  verdict.Verdict
	}{
		"arrives":       {pause: 4 * time.Second, want: verdict.Ran},
		"never arrives": {pause: time.Minute, want: verdict.NotRun},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				n := memnet.New()
				serveOn(t, n, ownerAddress, func(w http.ResponseWriter, r *http.Request) {
					if r.Method == http.MethodGet {
						w.WriteHeader(http.StatusNotFound) // no request is in flight before its body is read
						return
					}
					time.Sleep(tc.pause)
					if got, err := io.ReadAll(r.Body); err == nil && bytes.Equal(got, body) {
						reply(200, "ok", nil)(w, r)
					}
				})
				transport := &http.Transport{DialContext: n.DialContext}
				defer transport.CloseIdleConnections()
				ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
				defer cancel()
				fc := &filter.Context{Ctx: ctx, Request: &request.Request{ID: "r1", Backer: "b", Queue: "q", Pool: "p", Key: "k", Deadline: time.Now().Add(30 * time.Second), Body: body}}
				_, err := NewClient(flakyPeers{}, transport).Forward(fc, filter.Target{ID: "x"}, filter.ForwardOptions{Pool: "p"})
				g.Expect(verdict.Of(err)).To(Equal(tc.want), "error %v", err)
			})
		})
	}
}
