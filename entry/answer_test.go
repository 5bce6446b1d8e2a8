package entry

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"samphirepoint/auth"
	"samphirepoint/dispatch"
	"samphirepoint/filter"
	"samphirepoint/forward"
	"samphirepoint/request"
	"samphirepoint/table"
	"samphirepoint/verdict"
)

// onePeer implements forward.Peers with one other entry at an address.
type onePeer string

func (p onePeer) BaseURL(string) (string, bool) { return string(p), true }

func (onePeer) Token() string { return "token" }

func (onePeer) Self() string { return "self" }

func (onePeer) Ping(context.Context, string) bool { return true }

// drainingPeer is the verifier and the state of an entry that rejects new work.
type drainingPeer struct{}

func (drainingPeer) Identify(*http.Request) (auth.Principal, error) {
	return auth.Principal{Role: auth.RolePeer}, nil
}

func (drainingPeer) Document() *table.Document { return &table.Document{} }

func (drainingPeer) Fresh(time.Time) bool { return true }

func (drainingPeer) Draining() bool { return true }

// Guards against the verdict may-have-run for a request that another entry rejected before it read the request: without the
// request id its rejection counts as an answer to another request.
func TestRejectionAtAdmissionArrives(t *testing.T) {
	g := NewWithT(t)
	e := &Entry{stats: newStats(metrics.NewRegistry())}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := e.newContext(w, r)
		forward.Options(r, c)
		e.serve(w, c, filter.Chain{filter.Admission{Verifier: drainingPeer{}, State: drainingPeer{}}})
	}))
	defer s.Close()
	fc := &filter.Context{Ctx: context.Background(), Request: &request.Request{ID: "r1", Queue: "q", Key: "k"}}
	_, err := forward.NewClient(onePeer(s.URL), &http.Transport{}).Forward(fc, filter.Target{ID: "x"}, filter.ForwardOptions{Pool: "p"})
	g.Expect(err).To(MatchError(dispatch.ErrNotOwner))
	g.Expect(verdict.Of(err)).To(Equal(verdict.NotRun))
}
