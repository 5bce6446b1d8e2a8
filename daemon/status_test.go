package daemon

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"samphirepoint/engine"
	"samphirepoint/platform"
	"samphirepoint/status"
)

// Guards against a daemon whose status lacks the owner of a pool, the waiting jobs of a queue, or the state of a job in a pool that
// another daemon owns.
func TestAnyDaemonReportsFleetStatus(t *testing.T) {
	g := NewWithT(t)
	d := deploy(t, 2)
	const id = "00000000000000d1"
	g.Eventually(func() int {
		code, _ := d.daemons[0].request(http.MethodPost, "/pumps/"+id, `{"task_spec":"x","steps":[{"count":2,"cpu":500,"mem_mb":10,"estimate_ms":60000},{"count":1,"cpu":500,"after":[0]}]}`)
		return code
	}, 20*time.Second, 50*time.Millisecond).Should(Equal(http.StatusOK))
	for _, r := range d.daemons {
		client := status.NewClient(r.settings.MetricsAddress(), http.DefaultClient)
		g.Eventually(func(g Gomega) {
			o, err := client.Overview(context.Background())
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(o.Version).To(Equal(int64(1)))
			g.Expect(o.FleetController).NotTo(BeEmpty())
			g.Expect(o.Pools).To(HaveLen(2))
			for _, p := range o.Pools {
				g.Expect(p.Node).NotTo(BeEmpty())
				g.Expect(p.Error).To(BeEmpty())
				g.Expect(p.Usable).To(BeNumerically(">", 0))
			}
			j, err := client.Job(context.Background(), id)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(j.Pool).To(Equal("pumps"))
			g.Expect(j.State).To(BeElementOf(engine.Running, engine.Completed))
			g.Expect(j.Steps).To(HaveLen(2))
		}, 20*time.Second, 50*time.Millisecond).Should(Succeed())
		_, err := client.Job(context.Background(), "ffffffffffffffff")
		g.Expect(err).To(MatchError(ContainSubstring("no job ffffffffffffffff is known")))

		resp, err := http.Get("http://" + r.settings.MetricsAddress() + "/status/")
		g.Expect(err).NotTo(HaveOccurred())
		page, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(strings.Contains(string(page), "<td>pumps")).To(BeTrue(), string(page))
	}
}

// Guards against a daemon that explains only the placements in pools that it owns, and against an explanation that submits the job.
func TestAnyDaemonExplainsPlacements(t *testing.T) {
	g := NewWithT(t)
	d := deploy(t, 2)
	for _, r := range d.daemons {
		client := status.NewClient(r.settings.MetricsAddress(), http.DefaultClient)
		for pool, queue := range map[string]string{"pumps": "q1", "routes": "q2"} {
			spec := engine.Spec{ID: "00000000000000d2", Queue: queue, Steps: []engine.Step{{Count: 1, Need: engine.Resources{CPU: 500}, EstimateMS: 1000}}}
			g.Eventually(func(g Gomega) {
				p, err := client.Placement(context.Background(), spec)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(p.Pool).To(Equal(pool))
				g.Expect(p.Node).NotTo(BeEmpty())
				g.Expect(p.Unanswered).To(BeNil())
				g.Expect(p.Report.Steps[0].Worker).NotTo(BeEmpty())
				g.Expect(p.Report.Refusal).To(BeNil())
			}, 20*time.Second, 50*time.Millisecond).Should(Succeed())
			g.Eventually(func() error { // The other pool may have no owner yet.
				_, err := client.Job(context.Background(), spec.ID)
				return err
			}, 20*time.Second, 50*time.Millisecond).Should(MatchError(ContainSubstring("no job 00000000000000d2 is known")))
		}
	}
}

// Guards against a job that counts as accepted, or known, since its request reached the diagnostics' address, where each path was answered
// with 200.
func TestDiagnosticsAnswerNoOtherPaths(t *testing.T) {
	g := NewWithT(t)
	h := New(&platform.Settings{PortRange: []int{1, 2}}, zerolog.Nop()).diagnosticsHandler()
	for request, expected := range map[[2]string]int{
		{http.MethodGet, "/metrics"}:                 http.StatusOK,
		{http.MethodPost, "/metrics"}:                http.StatusMethodNotAllowed,
		{http.MethodGet, "/pumps/"}:                  http.StatusNotFound,
		{http.MethodPost, "/pumps/00000000000000d1"}: http.StatusNotFound,
	} {
		r := httptest.NewRecorder()
		h.ServeHTTP(r, httptest.NewRequest(request[0], request[1], nil))
		g.Expect(r.Code).To(Equal(expected), "%s %s", request[0], request[1])
	}
}
