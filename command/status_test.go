package command

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"samphirepoint/cluster"
	"samphirepoint/engine"
	"samphirepoint/status"
)

// Guards against views that omit the requested data, and against invalid JSON output.
func TestStatusViews(t *testing.T) {
	overview := status.Overview{
		Version: 7, FleetController: "edge-2",
		Pools:  []status.Pool{{Ownership: cluster.Ownership{Pool: "pumps", Node: "edge-1", Token: 4}, Workers: 9, Usable: 8, CapacityCPU: 512_000, UsedCPU: 64_500}},
		Queues: []status.Queue{{Name: "shift-close", Pool: "pumps", Waiting: 3}, {Name: "audit", Pool: "pumps", Waiting: -1}},
		Waves:  []status.Wave{{ID: 2, Instances: []string{"m-1", "m-2"}, Cap: 1, Duration: "20s"}},
	}
	job := status.Job{Pool: "pumps", JobReport: engine.JobReport{ID: "00000000000000aa", Queue: "shift-close", State: engine.Running, AgeMS: 1500, Steps: []engine.StepReport{
		{Tasks: 2, Done: 1, Runs: []engine.RunReport{{Task: "00000000000000aa.0.0.1", Run: 2, Worker: "i-1", Phase: "running"}}},
		{Step: 1, Tasks: 1, Waiting: 1, WaitReason: "earlier steps are not done"},
	}}}
	mux := http.NewServeMux()
	answer := func(v any) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(v) }
	}
	mux.HandleFunc("/status/overview", answer(overview))
	mux.HandleFunc("/status/jobs/00000000000000aa", answer(job))
	server := httptest.NewServer(mux)
	defer server.Close()
	run := func(asJSON bool, args ...string) (string, error) {
		var out bytes.Buffer
		c := &statusCommand{at: strings.TrimPrefix(server.URL, "http://"), json: asJSON}
		err := c.run(context.Background(), args, &out)
		return out.String(), err
	}
	g := NewWithT(t)
	for view, wants := range map[string][]string{
		"pools":                 {"pumps", "512.0", "64.5"},
		"queues":                {"shift-close", "3", "unknown"},
		"owners":                {"(fleet controller)", "edge-2", "edge-1", "4"},
		"waves":                 {"2", "20s"},
		"jobs 00000000000000aa": {"submitted 1.5s ago", "earlier steps are not done", "00000000000000aa.0.0.1", "running"},
	} {
		out, err := run(false, strings.Fields(view)...)
		g.Expect(err).NotTo(HaveOccurred(), view)
		for _, want := range wants {
			g.Expect(out).To(ContainSubstring(want), view)
		}
		out, err = run(true, strings.Fields(view)...)
		g.Expect(err).NotTo(HaveOccurred(), view)
		g.Expect(json.Valid([]byte(out))).To(BeTrue(), view)
	}
	_, err := run(false, "jobs", "ffffffffffffffff")
	g.Expect(err).To(MatchError(ContainSubstring("404")))
}
