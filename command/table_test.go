package command

import (
	"bytes"
	"context"
	"flag"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/subcommands"
	. "github.com/onsi/gomega"

	"samphirepoint/admin"
	"samphirepoint/auth"
	"samphirepoint/services/memtable"
	"samphirepoint/table"
)

// byToken takes the token as the operator's name.
type byToken struct{}

func (byToken) Identify(r *http.Request) (auth.Principal, error) {
	return auth.Principal{Name: strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer "), Role: auth.RoleOperator}, nil
}

// shell runs the command against an entry with an accepted version 1.
type shell struct {
	t      *testing.T
	server *httptest.Server
	dir    string
}

func newShell(t *testing.T) *shell {
	t.Helper()
	store := table.NewStore(memtable.New(), table.Options{})
	_, err := store.Bootstrap(context.Background(), &table.Document{
		Backers: []table.Backer{{Name: "inzira", Weight: 2, MaxUnavailable: 1}, {Name: "umoja", Weight: 1, MaxUnavailable: 1}},
		Pools:   []table.Pool{{Name: "pumps"}},
		Queues:  []table.Queue{{Name: "checks", Pools: []string{"pumps"}, MaxLength: 10}},
	}, "setup", "first version")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	mux := http.NewServeMux()
	admin.RegisterTable(mux, admin.TableOptions{Store: store, Verifier: byToken{},
		OnAccepted: func(context.Context, *table.Document) (int, int, error) { return 2, 3, nil },
		Rollout: func(context.Context) ([]admin.EntryVersion, error) {
			return []admin.EntryVersion{{Entry: "entry-1", Version: 1, AgeMillis: 250}}, nil
		},
	})
	s := &shell{t: t, server: httptest.NewServer(mux), dir: t.TempDir()}
	t.Cleanup(s.server.Close)
	return s
}

// run executes "samphirepoint table args" as the operator.
func (s *shell) run(operator string, args ...string) (subcommands.ExitStatus, string, string) {
	token := filepath.Join(s.dir, operator)
	NewWithT(s.t).Expect(os.WriteFile(token, []byte(operator+"\n"), 0o600)).To(Succeed())
	var out, errOut bytes.Buffer
	c := newTableCommand()
	c.stdout, c.stderr = &out, &errOut
	c.getenv = func(name string) string {
		return map[string]string{envEntry: "127.0.0.1:1," + s.server.URL, envTokenFile: token}[name]
	}
	f := flag.NewFlagSet("table", flag.ContinueOnError)
	c.SetFlags(f)
	NewWithT(s.t).Expect(f.Parse(args)).To(Succeed())
	status := c.Execute(context.Background(), f)
	return status, out.String(), errOut.String()
}

// mustRun requires exit status 0 and the given texts in the output.
func (s *shell) mustRun(operator, command string, texts ...string) {
	s.t.Helper()
	status, out, errOut := s.run(operator, strings.Fields(command)...)
	g := NewWithT(s.t)
	g.Expect(status).To(Equal(subcommands.ExitSuccess), "%s: %s", command, errOut)
	for _, text := range texts {
		g.Expect(out).To(ContainSubstring(text), command)
	}
}

// The way from an edit to the history must work as the operations page shows it.
func TestTableEditAndAccept(t *testing.T) {
	s := newShell(t)
	s.mustRun("aline", "show", "version 1", "BACKER  weight  nominalQuota")
	s.mustRun("aline", "set inzira.weight 3 queues/checks.maxLength 20", "inzira.weight            2       3")
	s.mustRun("aline", "set inzira.weight 4", "2       4") // her own edit may change again
	s.mustRun("ben", "set umoja.name umoja teal.name teal teal.weight 0.5", "teal.weight")
	s.mustRun("ben", "diff", "draft 3 on version 1", "aline", "ben")
	s.mustRun("ben", "-json accept -reason week", `"message": "accepted as version 2"`)
	s.mustRun("aline", "history -limit 1", "version 2", "ben  week", "inzira.weight            2   4     aline")
	s.mustRun("aline", "rollout", "version 2 is in force", "entry-1  1        250ms      behind")
	s.mustRun("aline", "discard -h")
	s.mustRun("ben", "set -json=false queues/checks.maxLength 30", "draft")
	s.mustRun("ben", "discard", "draft 4 discarded")
}

// An edit over another operator's draft edit must be refused until the operator names its value.
func TestTableSetConflict(t *testing.T) {
	g := NewWithT(t)
	s := newShell(t)
	s.mustRun("aline", "set inzira.weight 3")
	status, _, errOut := s.run("ben", "set", "inzira.weight", "5")
	g.Expect(status).To(Equal(subcommands.ExitFailure))
	g.Expect(errOut).To(And(ContainSubstring(`aline changed it from "2" to "3" in the draft`), ContainSubstring(`repeat with -base "3"`)))
	status, _, errOut = s.run("ben", "set", "inzira.name", "")
	g.Expect(status).To(Equal(subcommands.ExitFailure))
	g.Expect(errOut).To(ContainSubstring("inzira.weight: aline"))
	s.mustRun("ben", "set -base 3 inzira.weight 5")
	status, _, errOut = s.run("ben", "-json", "set", "inzira.weight", "x")
	g.Expect(status).To(Equal(subcommands.ExitFailure))
	g.Expect(errOut).To(ContainSubstring(`"cell": "inzira.weight"`))
}

// A row is deleted by an empty name, and a spreadsheet that is exported, edited and imported
// changes the draft.
func TestTableDeleteAndImport(t *testing.T) {
	g := NewWithT(t)
	s := newShell(t)
	file := filepath.Join(s.dir, "table.csv")
	s.mustRun("aline", "export -o "+file)
	data, err := os.ReadFile(file)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(os.WriteFile(file, bytes.Replace(data, []byte("inzira,2"), []byte("inzira,7"), 1), 0o600)).To(Succeed())
	s.mustRun("aline", "import "+file, "inzira.weight  2       7")
	status, out, errOut := s.run("aline", "set", "umoja.name", "")
	g.Expect(status).To(Equal(subcommands.ExitSuccess), errOut)
	g.Expect(out).To(ContainSubstring("umoja.weight          1       -"))
	s.mustRun("aline", "show -draft -json", `"weight": 7`)
}

// Bad usage must have exit status 2, so that scripts tell it from a refusal.
func TestTableBadUsage(t *testing.T) {
	g := NewWithT(t)
	s := newShell(t)
	for _, command := range []string{"", "edit", "set", "set inzira.weight", "set weight 3", "set inzira.color 3", "set -base 1 a.weight 1 b.weight 1",
		"accept", "import", "show extra", "history -limit x", "export -json", "show -entry ,"} {
		status, _, errOut := s.run("aline", strings.Fields(command)...)
		g.Expect(status).To(Equal(subcommands.ExitUsageError), command)
		g.Expect(errOut).NotTo(BeEmpty())
	}
	status, _, errOut := s.run("aline", "accept", "-reason", "r")
	g.Expect(status).To(Equal(subcommands.ExitFailure))
	g.Expect(errOut).To(Equal("there is no draft\n"))
}
