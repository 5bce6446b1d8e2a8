package command

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"samphirepoint/catalog"
	"samphirepoint/cluster"
	"samphirepoint/engine"
	"samphirepoint/status"
	"samphirepoint/verdict"
)

// explainedFleet is a fleet whose pool "pumps" has an idle worker, and whose pool "routes" has no owner.
type explainedFleet struct {
	status.Fleet
	pool *engine.Pool
}

var explainedAt = engine.Clock{Now: time.Second, Wall: 1_000_000}

func newExplainedFleet() *explainedFleet {
	f := &explainedFleet{pool: engine.NewPool("pumps#1", 4, engine.DefaultOptions(), 0)}
	f.pool.SetWorkspaces(f.Catalog().EngineWorkspaces())
	f.pool.SetAllotments(map[string]engine.Allotment{"cooperative": {Limit: engine.Resources{CPU: 4000, Mem: engine.Unlimited, GPU: engine.Unlimited}}})
	f.pool.SetRoster([]engine.WorkerInfo{{ID: "i-1", Address: "a:1", Capacity: engine.Resources{CPU: 64_000, Mem: 64_000}, Labels: []string{"rack-3"}}}, explainedAt)
	f.pool.RenewalAnswered(f.pool.Targets()[0], engine.RenewalReply{Incarnation: 1, ClockMS: 1}, explainedAt.Now, explainedAt)
	return f
}

func (f *explainedFleet) Catalog() *catalog.Catalog {
	return &catalog.Catalog{
		Version: 7,
		Queues: []catalog.Queue{
			{Queue: engine.Queue{Name: "checks", Version: 7, Priority: 2, Stretch: 1.5, TargetMS: 600}, Pool: "pumps"},
			{Queue: engine.Queue{Name: "audits"}, Pool: "routes", Public: true},
		},
		Workspaces: []catalog.Workspace{{Name: "cooperative", Weight: 1, Cap: engine.Resources{CPU: 16_000}}, {Name: "other", Weight: 3}},
	}
}

func (f *explainedFleet) Shards(string) int { return 2 }

func (f *explainedFleet) ExplainPlacement(_ context.Context, pool string, spec engine.Spec) (cluster.Ownership, engine.PlacementReport, error) {
	if pool == "routes" {
		return cluster.Ownership{Pool: pool, Shard: "routes#0"}, engine.PlacementReport{}, verdict.Unavailable(time.Second, "pool routes#0 currently has no owner")
	}
	return cluster.Ownership{Pool: pool, Shard: "pumps#1", Node: "edge-2", Token: 4}, f.pool.ExplainPlacement(spec, explainedAt), nil
}

// Guards against an explanation that omits an answer that operators need, and against a wrong queue or workspace that is not named.
func TestExplainPrintsThePlacement(t *testing.T) {
	server := httptest.NewServer(status.Handler(newExplainedFleet(), nil))
	defer server.Close()
	file := filepath.Join(t.TempDir(), "job.json")
	g := NewWithT(t)
	job := `{"task_spec":"x","steps":[{"count":3,"cpu":2000,"mem_mb":10,"estimate_ms":400},{"count":1,"cpu":500,"after":[0],"requires":"gpu"}]}`
	g.Expect(os.WriteFile(file, []byte(job), 0o600)).To(Succeed())
	run := func(c explainCommand) (string, error) {
		var out bytes.Buffer
		c.address = strings.TrimPrefix(server.URL, "http://")
		err := c.run(context.Background(), &out)
		return out.String(), err
	}
	out, err := run(explainCommand{queue: "checks", workspace: "cooperative", jobFile: file, id: "5c0e7a21d94b36f8"})
	g.Expect(err).NotTo(HaveOccurred())
	for _, want := range []string{
		"5c0e7a21d94b36f8", "checks, priority 2", "configuration 7", "pumps, shard pumps#1 of 2", "edge-2, token 4",
		"cooperative, priority 0, weight 1 (25.0 % of all), uses 0.0 cores, 0 MB, 0 GPUs in the shard of 4.0 cores, any MB, any GPUs; cap on all workers: 16.0 cores, any MB, any GPUs",
		"on time; objective expires in 1.201s, critical path 401ms; 0 tasks of 0 jobs go first", "accepted; the first task starts at once",
		"2.0 cores, 10 MB, 0 GPUs", "i-1", "rack-3", "no worker has the label gpu",
	} {
		g.Expect(out).To(ContainSubstring(want))
	}
	out, err = run(explainCommand{queue: "checks", workspace: "cooperative", json: true})
	g.Expect(err).NotTo(HaveOccurred())
	var p status.Placement
	g.Expect(json.Unmarshal([]byte(out), &p)).To(Succeed())
	g.Expect(p.IDChosen).To(BeTrue())
	g.Expect(p.ID).To(HaveLen(jobIDDigits))
	g.Expect(p.Report.Steps).To(HaveLen(1))

	out, err = run(explainCommand{queue: "audits", workspace: "other"})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(out).To(ContainSubstring("pool routes#0 currently has no owner; retry after 1s"))
	g.Expect(out).To(ContainSubstring("the queue takes calls without a key"))

	for want, c := range map[string]explainCommand{
		`404 Not Found: version 7 of the configuration has no queue "x"`:     {queue: "x"},
		`404 Not Found: version 7 of the configuration has no workspace "x"`: {queue: "checks", workspace: "x"},
		`400 Bad Request: callers of queue "checks" need a key`:              {queue: "checks"},
		"expected -queue":               {},
		"16 hexadecimal digits":         {queue: "checks", id: "5c0e"},
		"no such file":                  {queue: "checks", jobFile: file + "x"},
		"a job needs at least one step": {queue: "checks", jobFile: emptyJob(t)},
	} {
		_, err := run(c)
		g.Expect(err).To(MatchError(ContainSubstring(want)))
	}
}

func emptyJob(t *testing.T) string {
	file := filepath.Join(t.TempDir(), "empty.json")
	NewWithT(t).Expect(os.WriteFile(file, []byte("{}"), 0o600)).To(Succeed())
	return file
}
