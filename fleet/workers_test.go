package fleet

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"samphirepoint/drainer"
	"samphirepoint/instance"
	"samphirepoint/request"
)

// Guards against a status that mixes up tasks and requests, and against one that another worker at a reused address
// answers.
func TestHTTPWorkers(t *testing.T) {
	g := NewWithT(t)
	var paths, named []string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		paths = append(paths, r.Method+" "+r.URL.Path)
		named = append(named, r.Header.Get(request.HeaderWorker)+" "+r.Header.Get(request.HeaderIncarnation))
		_, _ = w.Write([]byte(`{"id":"w1","incarnation":7,"draining":true,"running":[
			{"requestId":"r1","backer":"x","idempotent":true},{"requestId":"r2","task":"t2","backer":"y"}]}`))
	}))
	defer server.Close()
	ctx, h := context.Background(), NewHTTPWorkers(nil)
	in := instance.Instance{ID: "w1", Address: strings.TrimPrefix(server.URL, "http://")}
	s, err := h.Status(ctx, in)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s).To(Equal(drainer.Worker{Incarnation: 7, Draining: true, Running: []drainer.Work{{ID: "r1", Idempotent: true, Backer: "x"}, {ID: "t2", Task: true, Backer: "y"}}}))
	g.Expect(h.Stop(ctx, in, "t2")).To(Succeed())
	g.Expect(h.Undrain(ctx, in, s.Incarnation)).To(Succeed())
	g.Expect(paths[1:]).To(Equal([]string{"POST /tasks/t2/stop", "POST /undrain"}))
	g.Expect(named[1:]).To(Equal([]string{"w1 ", "w1 7"}))
	in.ID = "w2"
	_, err = h.Status(ctx, in)
	g.Expect(err).To(MatchError(ContainSubstring("worker w1 answers")))
}
