package command

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/subcommands"
	. "github.com/onsi/gomega"

	"samphirepoint/admin"
	"samphirepoint/fleet"
	"samphirepoint/instance"
	"samphirepoint/services/memtable"
	"samphirepoint/table"
)

// newFleetRunner returns a function that runs a command against an entry with pool pumps (2 instances) and spare pool common
// (2 instances).
func newFleetRunner(t *testing.T) func(c *fleetCommand, args ...string) (subcommands.ExitStatus, string, string) {
	doc := &table.Document{Version: 1, Backers: []table.Backer{{Name: "inzira", MaxUnavailable: 1}},
		Pools:  []table.Pool{{Name: "pumps"}, {Name: "common", Spare: true}},
		Queues: []table.Queue{{Name: "checks", Pools: []string{"pumps", "common"}}}}
	f := &instance.Fleet{Version: 4, Instances: map[string]instance.Instance{}}
	for id, pool := range map[string]string{"w1": "pumps", "w2": "pumps", "w3": "common", "w4": "common"} {
		f.Instances[id] = instance.Instance{ID: id, Pool: pool, State: instance.Serving, Zone: "gasabo", Rack: "r1", Slots: 8}
	}
	mux := http.NewServeMux()
	admin.RegisterFleet(mux, admin.FleetOptions{Operations: fleet.NewOperations(memtable.New(), time.Now), Verifier: tokenNameVerifier{},
		Fleet: func() *instance.Fleet { return f }, Document: func() *table.Document { return doc }})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	token := filepath.Join(t.TempDir(), "token")
	NewWithT(t).Expect(os.WriteFile(token, []byte("ada\n"), 0o600)).To(Succeed())
	return func(c *fleetCommand, args ...string) (subcommands.ExitStatus, string, string) {
		var stdout, stderr bytes.Buffer
		c.stdout, c.stderr = &stdout, &stderr
		c.getenv = func(string) string { return "" }
		set := flag.NewFlagSet(c.name, flag.ContinueOnError)
		c.SetFlags(set)
		NewWithT(t).Expect(set.Parse(append([]string{"-entry", server.URL, "-token-file", token}, args...))).To(Succeed())
		return c.Execute(context.Background(), set), stdout.String(), stderr.String()
	}
}

// Guards against flags that are ignored after positional arguments, dry runs that create moves, and errors that do not name
// the invalid argument.
func TestPoolCommand(t *testing.T) {
	g := NewWithT(t)
	run := newFleetRunner(t)
	status, out, _ := run(newPoolCommand(), "list")
	g.Expect(status).To(Equal(subcommands.ExitSuccess))
	g.Expect(out).To(MatchRegexp(`pumps +- +false +2 +2 +16 +0 +1 +inzira +checks`))
	_, out, _ = run(newPoolCommand(), "move", "w1", "-to", "common", "-dry-run")
	g.Expect(out).To(And(ContainSubstring("dry run"), MatchRegexp(`w1 +pumps +common +pending`)))
	_, out, _ = run(newPoolCommand(), "moves", "-json")
	var moves admin.MovesReply
	g.Expect(json.Unmarshal([]byte(out), &moves)).To(Succeed())
	g.Expect(moves.Moves).To(BeEmpty())
	_, out, _ = run(newPoolCommand(), "grow", "pumps", "-n", "2", "-operation", "op")
	g.Expect(out).To(MatchRegexp(`op-2 +w4 +common +pumps`))
	_, out, _ = run(newPoolCommand(), "cancel", "op-1")
	g.Expect(out).To(ContainSubstring("cancelled by ada"))
	status, _, errs := run(newPoolCommand(), "shrink", "nope")
	g.Expect(status).To(Equal(subcommands.ExitFailure))
	g.Expect(errs).To(ContainSubstring("expected one of pumps, common"))
	status, _, errs = run(newPoolCommand(), "move", "w1")
	g.Expect(status).To(Equal(subcommands.ExitUsageError))
	g.Expect(errs).To(ContainSubstring("-to POOL"))
	_, out, _ = run(newPoolCommand(), "create", "audits", "-spare", "-dry-run")
	g.Expect(out).To(MatchRegexp(`pools/audits.spare +true`))
}

// Guards against waves that cannot be planned and started from the command line, and against a wave status that omits the
// state of an instance.
func TestMaintenanceCommand(t *testing.T) {
	g := NewWithT(t)
	run := newFleetRunner(t)
	_, out, _ := run(newMaintenanceCommand(), "plan", "-pools", "pumps", "-id", "w-1", "-reason", "kernel")
	g.Expect(out).To(MatchRegexp(`w-1 +on maintenance start +gasabo +r1 +pumps +\[w1 w2\]`))
	_, out, _ = run(newMaintenanceCommand(), "start", "w-1")
	g.Expect(out).To(MatchRegexp(`w-1 +running +ada +0 +0 +2 +in (4h0m0s|3h59m\d+s) +kernel`))
	_, out, _ = run(newMaintenanceCommand(), "status", "w-1")
	g.Expect(out).To(MatchRegexp(`w2 +gasabo +r1 +pumps +-`))
	status, _, errs := run(newMaintenanceCommand(), "resume", "nope")
	g.Expect(status).To(Equal(subcommands.ExitFailure))
	g.Expect(errs).To(ContainSubstring(`no wave "nope"`))
	_, out, _ = run(newMaintenanceCommand(), "plan", "-cycle", "-dry-run", "-not-before", "2026-12-05T00:00:00Z")
	g.Expect(out).To(MatchRegexp(`w-\w+-2026-12-05 +2026-12-05 00:00:00Z`))
}
