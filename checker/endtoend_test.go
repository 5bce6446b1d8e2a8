package checker_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"samphirepoint/checker"
	"samphirepoint/load"
	"samphirepoint/request"
	"samphirepoint/standin/workerd"
	"samphirepoint/verdict"
	"samphirepoint/worker"
)

// startForwarder starts a minimal entry that forwards each request to one worker. A faulty one sends non-idempotent
// work twice and reports every failure as not run.
func startForwarder(t *testing.T, w *workerd.Server, faulty bool) string {
	c := worker.NewClient(w.Address())
	s := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		h := r.Header
		req := &request.Request{ID: h.Get(request.HeaderRequestID), Backer: "a", Queue: "q", Pool: "p", Body: body,
			Key: h.Get(request.HeaderIdempotencyKey), Idempotent: h.Get(request.HeaderIdempotent) != "false"}
		a, err := c.Run(r.Context(), worker.Attempt{Request: req, ID: "1"})
		if faulty && !req.Idempotent {
			a, err = c.Run(r.Context(), worker.Attempt{Request: req, ID: "2"})
		}
		rw.Header().Set(request.HeaderRequestID, req.ID)
		rw.Header().Set(request.HeaderVerdict, verdict.Of(err).String())
		switch {
		case err != nil && faulty:
			rw.Header().Set(request.HeaderVerdict, verdict.NotRun.String())
			fallthrough
		case err != nil:
			rw.WriteHeader(http.StatusBadGateway)
		default:
			rw.WriteHeader(a.Status)
			_, _ = rw.Write(a.Body)
		}
	}))
	t.Cleanup(func() { s.Close(); c.Close() })
	return s.URL
}

func checkTraffic(t *testing.T, mode workerd.Mode, faulty bool) checker.Report {
	t.Helper()
	g := NewWithT(t)
	w := workerd.New(workerd.Options{ID: "w1"})
	g.Expect(w.Start("127.0.0.1:0")).To(Succeed())
	defer w.Close()
	g.Expect(w.SetMode(mode)).To(Succeed())
	kind := load.Kind{Share: 0.5, Median: 5 * time.Millisecond, Deadline: 5 * time.Second, AnswerBytes: 100, FailProbability: 0.1}
	quote, refresh := kind, kind
	quote.Name, refresh.Name, refresh.NonIdempotent = "quote", "refresh", true
	result, err := load.Run(context.Background(), load.Options{Targets: []string{startForwarder(t, w, faulty)}, Rate: 40, Duration: time.Second, Seed: 1,
		Deployment: load.Deployment{Name: "test", Queues: []load.Queue{{Name: "q", Share: 1, Mix: []load.Kind{quote, refresh}}}},
		Tokens:     map[string]string{"a": "t"}})
	g.Expect(err).NotTo(HaveOccurred())
	return checker.Check(checker.Input{Journal: w.Journal(0), Records: result.Records})
}

// Guards against journals, callers' records and checks that don't fit together: real traffic without faults must pass,
// and the same traffic through a faulty entry must be reported.
func TestEndToEndTraffic(t *testing.T) {
	g := NewWithT(t)
	correct := checkTraffic(t, workerd.Mode{Mode: workerd.Normal}, false)
	g.Expect(correct.Violations).To(BeEmpty(), correct.String())
	g.Expect(correct.Checked[checker.P3]).To(BeNumerically(">", 20))
	g.Expect(correct.Checked[checker.P5]).To(BeNumerically(">", 5))

	violating := checkTraffic(t, workerd.Mode{Mode: workerd.Truncate, Probability: 0.5}, true)
	g.Expect(violating.ViolationsOf(checker.P4)).NotTo(BeEmpty())
	g.Expect(violating.ViolationsOf(checker.P5)).NotTo(BeEmpty())
}
