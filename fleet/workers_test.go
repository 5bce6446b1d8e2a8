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
)

// Guards against a status that mixes up tasks and requests, and against one that another worker at a reused address
// answers.
func TestHTTPWorkers(t *testing.T) {
	g := NewWithT(t)
	var paths []string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		paths = append(paths, r.Method+" "+r.URL.Path)
		_, _ = w.Write([]byte(`{"id":"w1","draining":true,"running":[
			{"requestId":"r1","backer":"x","idempotent":true},{"requestId":"r2","task":"t2","backer":"y"}]}`))
	}))
	defer server.Close()
	ctx, h := context.Background(), NewHTTPWorkers(nil)
	in := instance.Instance{ID: "w1", Address: strings.TrimPrefix(server.URL, "http://")}
	s, err := h.Status(ctx, in)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s).To(Equal(drainer.Worker{Draining: true, Running: []drainer.Work{{ID: "r1", Idempotent: true, Backer: "x"}, {ID: "t2", Task: true, Backer: "y"}}}))
	g.Expect(h.Stop(ctx, in, "t2")).To(Succeed())
	g.Expect(h.Undrain(ctx, in)).To(Succeed())
	g.Expect(paths[1:]).To(Equal([]string{"POST /tasks/t2/stop", "POST /undrain"}))
	in.ID = "w2"
	_, err = h.Status(ctx, in)
	g.Expect(err).To(MatchError(ContainSubstring("worker w1 answers")))
}
