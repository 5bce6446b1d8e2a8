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

// tokenNameVerifier is a verifier that uses the token as the operator's name.
type tokenNameVerifier struct{}

func (tokenNameVerifier) Identify(r *http.Request) (auth.Principal, error) {
	return auth.Principal{Name: strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer "), Role: auth.RoleOperator}, nil
}

// tableTestEnv runs the table command against an entry whose table has version 1.
type tableTestEnv struct {
	t      *testing.T
	server *httptest.Server
	dir    string
}

func newTableTestEnv(t *testing.T) *tableTestEnv {
	t.Helper()
	store := table.NewStore(memtable.New(), table.Options{})
	_, err := store.Bootstrap(context.Background(), &table.Document{
		Backers: []table.Backer{{Name: "inzira", Weight: 2, MaxUnavailable: 1}, {Name: "umoja", Weight: 1, MaxUnavailable: 1}},
		Pools:   []table.Pool{{Name: "pumps"}},
		Queues:  []table.Queue{{Name: "checks", Pools: []string{"pumps"}, MaxLength: 10}},
	}, "setup", "first version")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	mux := http.NewServeMux()
	admin.RegisterTable(mux, admin.TableOptions{Store: store, Verifier: tokenNameVerifier{},
		OnAccepted: func(context.Context, *table.Document) (int, int, error) { return 2, 3, nil },
		Rollout: func(context.Context) ([]admin.EntryVersion, error) {
			return []admin.EntryVersion{{Entry: "entry-1", Version: 1, AgeMillis: 250}}, nil
		},
	})
	s := &tableTestEnv{t: t, server: httptest.NewServer(mux), dir: t.TempDir()}
	t.Cleanup(s.server.Close)
	return s
}

// run executes "samphirepoint table" with args as the given operator.
func (s *tableTestEnv) run(operator string, args ...string) (subcommands.ExitStatus, string, string) {
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

// mustRun runs the command and requires exit status 0 and the given texts in its output.
func (s *tableTestEnv) mustRun(operator, command string, texts ...string) {
	s.t.Helper()
	status, out, errOut := s.run(operator, strings.Fields(command)...)
	g := NewWithT(s.t)
	g.Expect(status).To(Equal(subcommands.ExitSuccess), "%s: %s", command, errOut)
	for _, text := range texts {
		g.Expect(out).To(ContainSubstring(text), command)
	}
}

// Guards against differences between the commands and the operations document, which shows the sequence from an edit to
// the history.
func TestTableEditAndAccept(t *testing.T) {
	s := newTableTestEnv(t)
	s.mustRun("aline", "show", "version 1", "BACKER  weight  nominalQuota")
	s.mustRun("aline", "set inzira.weight 3 queues/checks.maxLength 20", "inzira.weight            2       3")
	s.mustRun("aline", "set inzira.weight 4", "2       4") // an operator's own draft edit can be replaced
	s.mustRun("ben", "set umoja.name umoja teal.name teal teal.weight 0.5", "teal.weight")
	s.mustRun("ben", "diff", "draft 3 on version 1", "aline", "ben")
	s.mustRun("ben", "-json accept -reason week", `"message": "accepted as version 2"`)
	s.mustRun("aline", "history -limit 1", "version 2", "ben  week", "inzira.weight            2   4     aline")
	s.mustRun("aline", "rollout", "version 2 is in force", "entry-1  1        250ms  behind")
	s.mustRun("aline", "discard -h")
	s.mustRun("ben", "set -json=false queues/checks.maxLength 30", "draft")
	s.mustRun("ben", "discard", "draft 4 discarded")
}

// Guards against silently overwriting another operator's draft edit: the edit is rejected unless its base is the value of
// that draft edit.
func TestTableSetConflict(t *testing.T) {
	g := NewWithT(t)
	s := newTableTestEnv(t)
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

// Guards against an empty name that does not delete the row, and against edits of an exported CSV file that the import does
// not apply to the draft.
func TestTableDeleteAndImport(t *testing.T) {
	g := NewWithT(t)
	s := newTableTestEnv(t)
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

// Guards against usage errors with an exit status other than 2, by which scripts distinguish them from rejected requests.
func TestTableUsageErrors(t *testing.T) {
	g := NewWithT(t)
	s := newTableTestEnv(t)
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
