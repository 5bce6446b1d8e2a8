package filter

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"samphirepoint/auth"
	"samphirepoint/dispatch"
	"samphirepoint/request"
	"samphirepoint/table"
	"samphirepoint/verdict"
)

// entryState is a fake Readiness and a fake auth.Verifier that accepts all tokens.
type entryState struct {
	document        *table.Document
	fresh, draining bool
	role            auth.Role
}

func (s entryState) Document() *table.Document { return s.document }

func (s entryState) Fresh(time.Time) bool { return s.fresh }

func (s entryState) Draining() bool { return s.draining }

func (s entryState) Identify(*http.Request) (auth.Principal, error) {
	return auth.Principal{Name: "b", Role: s.role}, nil
}

// Guards against an entry that admits work while it does not know the limits in force or is shutting down, and against
// a forwarded request that fails there instead of being submitted to the next owner. A repeat that attaches to a request in
// flight is no new work.
func TestAdmission(t *testing.T) {
	w := &harness{t: t}
	ready := entryState{document: &table.Document{}, fresh: true, role: auth.RoleBacker}
	states := map[string]func(*entryState){
		"draining":    func(s *entryState) { s.draining = true },
		"stale":       func(s *entryState) { s.fresh = false },
		"no document": func(s *entryState) { s.document = nil },
	}
	for name, change := range states {
		g := NewWithT(t)
		s := ready
		change(&s)
		admit := func(spec testRequest) error {
			return Admission{Verifier: s, State: s, MaxBodyBytes: 10}.Request(w.context(spec))
		}
		err := admit(testRequest{})
		g.Expect(verdict.Is(err, verdict.NotRun)).To(BeTrue(), name)
		g.Expect(verdict.Status(err)).To(Equal(http.StatusServiceUnavailable), name)
		g.Expect(verdict.RetryAfter(err)).To(BeNumerically(">", 0), name)
		s.role = auth.RolePeer
		err = admit(testRequest{forwarded: true})
		g.Expect(verdict.Is(err, verdict.NotRun)).To(BeTrue(), name)
		g.Expect(err).To(MatchError(dispatch.ErrNotOwner), name)
		attach := w.context(testRequest{forwarded: true})
		attach.Attach = true
		err = Admission{Verifier: s, State: s}.Request(attach)
		g.Expect(err == nil).To(Equal(s.document != nil), name)
	}
	g := NewWithT(t)
	admission := Admission{Verifier: ready, State: ready, MaxBodyBytes: 10}
	g.Expect(admission.Request(w.context(testRequest{}))).To(Succeed())
	g.Expect(verdict.Status(admission.Request(w.context(testRequest{forwarded: true})))).To(Equal(http.StatusForbidden))
	c := w.context(testRequest{})
	c.HTTP.ContentLength = 11
	err := admission.Request(c)
	g.Expect(verdict.Status(err)).To(Equal(http.StatusRequestEntityTooLarge))
	c = w.context(testRequest{body: "more than ten", headers: map[string]string{request.HeaderRequestID: "r"}})
	g.Expect(admission.Request(c)).To(Succeed())
	c.QueueName = "q"
	c.Document = w.context(testRequest{}).Document
	err = Identification{}.Request(c)
	g.Expect(verdict.Status(err)).To(Equal(http.StatusRequestEntityTooLarge))
	g.Expect(verdict.Is(err, verdict.NotRun)).To(BeTrue())
}
