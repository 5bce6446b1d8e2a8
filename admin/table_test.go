package admin_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"samphirepoint/admin"
	"samphirepoint/auth"
	"samphirepoint/services/memtable"
	"samphirepoint/table"
	"samphirepoint/verdict"
)

var ctx = context.Background()

// roleNameVerifier is a verifier of tokens of the form role:name.
type roleNameVerifier struct{}

func (roleNameVerifier) Identify(r *http.Request) (auth.Principal, error) {
	role, name, ok := strings.Cut(strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer "), ":")
	if !ok {
		return auth.Principal{}, verdict.New(verdict.NotRun, http.StatusUnauthorized, "no token")
	}
	return auth.Principal{Name: name, Role: auth.Role(role)}, nil
}

// fixture is an entry whose table has accepted version 1.
type fixture struct {
	tab       *memtable.Table
	store     *table.Store
	server    *httptest.Server
	installed int
	pushed    []int64
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{tab: memtable.New(), installed: 2}
	f.store = table.NewStore(f.tab, table.Options{MinBackoff: time.Millisecond})
	_, err := f.store.Bootstrap(ctx, &table.Document{
		Backers: []table.Backer{{Name: "inzira", Weight: 2, MaxUnavailable: 1}, {Name: "umoja", Weight: 1, MaxUnavailable: 1}},
		Pools:   []table.Pool{{Name: "pumps"}},
		Queues:  []table.Queue{{Name: "checks", Pools: []string{"pumps"}, MaxLength: 10}},
	}, "setup", "first version")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	mux := http.NewServeMux()
	admin.RegisterTable(mux, admin.TableOptions{
		Store: f.store, Verifier: roleNameVerifier{},
		OnAccepted: func(_ context.Context, doc *table.Document) (int, int, error) {
			f.pushed = append(f.pushed, doc.Version)
			return f.installed, 3, nil
		},
		Rollout: func(context.Context) ([]admin.EntryVersion, error) {
			return []admin.EntryVersion{{Entry: "e1", Version: 1, AgeMillis: 20}, {Entry: "e2", Version: 0}}, nil
		},
	})
	f.server = httptest.NewServer(mux)
	t.Cleanup(f.server.Close)
	return f
}

func (f *fixture) client(token string, addresses ...string) *admin.Client {
	return admin.NewClient(append(addresses, f.server.URL), token, &http.Client{})
}

func weight(base, value string) []table.Edit {
	return []table.Edit{{Cell: table.Cell{Row: "inzira", Column: "weight"}, Base: base, Value: value}}
}

// Guards against writes by requests without the required role or with an invalid body.
func TestTableRefusals(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t)
	commits := f.tab.Calls(memtable.OpCommit)
	for _, c := range []struct {
		token, method, path, body string
		status                    int
		contains                  string
	}{
		{"", "GET", admin.PathTable, "", 401, "no token"},
		{"backer:inzira", "GET", admin.PathTable, "", 403, "role"},
		{"viewer:v", "PUT", admin.PathTableDraft, "[]", 403, "role"},
		{"operator:o", "PUT", admin.PathTableDraft, `[{"row":"inzira","column":"weight","value":"3","base":"2","extra":1}]`, 400, "extra"},
		{"operator:o", "PUT", admin.PathTableDraft, "[] []", 400, "more"},
		{"operator:o", "PUT", admin.PathTableDraft, "[]", 422, "at least one edit"},
		{"operator:o", "PUT", admin.PathTableDraft, strings.Repeat(" ", 1<<20+1), 413, "larger"},
		{"operator:o", "PUT", admin.PathTableDraft, `[{"row":"inzira","column":"weight","value":"0","base":"2"}]`, 422, `"cell":"inzira.weight","expected":"a number greater than 0`},
		{"operator:o", "PUT", admin.PathTableDraft, `[{"row":"inzira","column":"weight","value":"3","base":"1"}]`, 409, `"cell":"inzira.weight","expected":"as base \"2\""`},
		{"operator:o", "PUT", admin.PathTableCSV, "a,b", 422, `"line":1`},
		{"operator:o", "POST", admin.PathTableAccept, `{"operation":"x","reason":"r"}`, 404, "no draft"},
		{"operator:o", "POST", admin.PathTableAccept, `{"operation":"x/y","reason":" "}`, 422, "operation"},
		{"operator:o", "GET", admin.PathTableHistory + "?limit=-1", "", 400, "limit"},
		{"operator:o", "DELETE", admin.PathTableDraft, "", 404, "no draft"},
	} {
		req, err := http.NewRequest(c.method, f.server.URL+c.path, strings.NewReader(c.body))
		g.Expect(err).NotTo(HaveOccurred())
		req.Header.Set("Authorization", "Bearer "+c.token)
		resp, err := http.DefaultClient.Do(req)
		g.Expect(err).NotTo(HaveOccurred())
		data, err := io.ReadAll(resp.Body)
		g.Expect(err).NotTo(HaveOccurred())
		resp.Body.Close()
		g.Expect(resp.StatusCode).To(Equal(c.status), "%v: %s", c, data)
		g.Expect(string(data)).To(ContainSubstring(c.contains), "%v", c)
		g.Expect(resp.Header.Get("Samphire-Verdict")).To(Equal("not-run"))
	}
	g.Expect(f.tab.Calls(memtable.OpCommit)).To(Equal(commits))
}

// Guards against a change that is reported as accepted before a majority of the entries has installed it; until then the reply
// holds the number of entries that have.
func TestAcceptReportsInstalls(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t)
	c := f.client("operator:aline")
	f.installed = 1
	draft, err := c.SetCells(ctx, weight("2", "3"))
	g.Expect(err).NotTo(HaveOccurred())
	body := admin.AcceptBody{Operation: "op1", Reason: "r", Draft: draft.Draft}
	reply, err := c.Accept(ctx, body)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(reply.Message).To(Equal("written as version 2, installed by 1 of 3 entries"))
	f.installed = 2
	reply, err = c.Accept(ctx, body)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(reply).To(Equal(&admin.AcceptReply{Version: 2, Accepted: true, Repeated: true, Installed: 2, Members: 3, Message: "accepted as version 2"}))
	g.Expect(f.pushed).To(Equal([]int64{2, 2}))
}

// lossyTransport is a transport that drops the replies to the next lose writes to path, after the server has processed them.
type lossyTransport struct {
	path string
	lose int
}

func (l *lossyTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err == nil && l.lose > 0 && r.Method != http.MethodGet && r.URL.Path == l.path {
		l.lose--
		resp.Body.Close()
		return nil, errors.New("connection reset")
	}
	return resp, err
}

// Guards against a change that is applied twice: after a lost reply the client retries the request with the same operation
// id.
func TestClientRetriesAfterLostReply(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t)
	for _, path := range []string{admin.PathTableDraft, admin.PathTableAccept} {
		l := &lossyTransport{path: path, lose: 1}
		c := admin.NewClient([]string{"127.0.0.1:1", f.server.URL, f.server.URL}, "operator:aline", &http.Client{Transport: l})
		doc, err := c.Table(ctx)
		g.Expect(err).NotTo(HaveOccurred())
		old := doc.Value(table.Cell{Row: "inzira", Column: "weight"})
		_, err = c.SetCells(ctx, weight(old, old+"1"))
		g.Expect(err).NotTo(HaveOccurred())
		reply, err := c.Accept(ctx, admin.AcceptBody{Operation: admin.NewOperation(), Reason: "r"})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(reply.Version).To(Equal(doc.Version + 1))
		g.Expect(l.lose).To(BeZero())
	}
	records, err := f.client("viewer:v").History(ctx, 0, 0)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(records).To(HaveLen(3))
	g.Expect(records[0].Changes).To(HaveLen(1))
	g.Expect(records[0].Operator).To(Equal("aline"))
}

// Guards against verdicts of failed calls that do not distinguish a rejected request from an unknown outcome.
func TestClientVerdicts(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t)
	_, err := admin.NewClient([]string{"127.0.0.1:1"}, "operator:aline", &http.Client{}).SetCells(ctx, weight("2", "3"))
	g.Expect(verdict.Of(err)).To(Equal(verdict.NotRun))
	l := &lossyTransport{path: admin.PathTableDraft, lose: 99}
	_, err = admin.NewClient([]string{f.server.URL}, "operator:aline", &http.Client{Transport: l}).SetCells(ctx, weight("2", "3"))
	g.Expect(verdict.Of(err)).To(Equal(verdict.MayHaveRun))
	_, err = f.client("operator:ben").SetCells(ctx, weight("2", "4"))
	g.Expect(verdict.Of(err)).To(Equal(verdict.NotRun))
	var rejection *admin.Error
	g.Expect(errors.As(err, &rejection)).To(BeTrue())
	g.Expect(rejection.Body.Conflicts[0].Operator).To(Equal("aline"))
}

// Guards against edits of an exported CSV file that the import does not apply to the draft, and against a discard that fails
// when it is repeated.
func TestCSVAndDiscard(t *testing.T) {
	g := NewWithT(t)
	c := newFixture(t).client("operator:aline")
	data, err := c.ExportCSV(ctx, false)
	g.Expect(err).NotTo(HaveOccurred())
	draft, err := c.ImportCSV(ctx, bytes.Replace(data, []byte("umoja,1,"), []byte("umoja,4,"), 1))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(draft.Changes).To(HaveLen(1))
	seen := table.DraftRef{Draft: draft.Draft, Base: draft.Base}
	g.Expect(c.Discard(ctx, seen)).To(Succeed())
	g.Expect(c.Discard(ctx, seen)).To(Succeed())
	diff, err := c.Diff(ctx)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(diff.Draft).To(BeZero())
}

// Guards against a rollout that cannot be shown while the table is unavailable, when operators need it most.
func TestRolloutWithoutTable(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t)
	f.tab.SetHook(func(memtable.Call) memtable.Fault {
		return memtable.Fault{ErrBefore: verdict.Unavailable(time.Second, "down")}
	})
	r, err := f.client("viewer:v").Rollout(ctx)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(r.Accepted).To(Equal(int64(1)))
	g.Expect(r.TableError).To(ContainSubstring("down"))
	g.Expect(r.Entries).To(HaveLen(2))
}
