package access

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"samphirepoint/catalog"
	"samphirepoint/engine"
	"samphirepoint/verdict"
)

// Guards against serving calls by a key that isn't in force or may have been withdrawn, and against rejecting for good a key that may have been
// added since the configuration was read.
func TestCallsAreJudgedByKeyAndAgeOfTheConfiguration(t *testing.T) {
	limits := Limits{KeyAge: 5 * time.Second, UnknownKeyAge: 3 * time.Second}
	keyed := &catalog.Queue{Queue: engine.Queue{Name: "checks"}}
	public := &catalog.Queue{Queue: engine.Queue{Name: "audits"}, Public: true}
	c := &catalog.Catalog{Workspaces: []catalog.Workspace{{Name: "cooperative", Keys: []string{"k1", "k2"}}, {Name: "withdrawn"}}}
	c.Index()
	for _, x := range []struct {
		situation     string
		queue         *catalog.Queue
		authorization string
		age           time.Duration
		workspace     string
		status        int
	}{
		{"known key", keyed, "Token k2", time.Second, "cooperative", 0},
		{"scheme in lower case", keyed, "token k1", time.Second, "cooperative", 0},
		{"no key", keyed, "", time.Second, "", http.StatusUnauthorized},
		{"other scheme", keyed, "Bearer k1", time.Second, "", http.StatusUnauthorized},
		{"unknown key", keyed, "Token k3", time.Second, "", http.StatusUnauthorized},
		{"unknown key that may have been added", keyed, "Token k3", 3 * time.Second, "", http.StatusServiceUnavailable},
		{"known key that is still certain", keyed, "Token k1", 4999 * time.Millisecond, "cooperative", 0},
		{"known key that may have been withdrawn", keyed, "Token k1", 5 * time.Second, "", http.StatusServiceUnavailable},
		{"public queue, old configuration", public, "", time.Hour, "", 0},
	} {
		g := NewWithT(t)
		workspace, err := limits.Check(c, x.queue, x.authorization, x.age)
		g.Expect(workspace).To(Equal(x.workspace), x.situation)
		if x.status == 0 {
			g.Expect(err).NotTo(HaveOccurred(), x.situation)
			continue
		}
		g.Expect(verdict.Status(err)).To(Equal(x.status), x.situation)
		g.Expect(verdict.Is(err, verdict.NotRun)).To(BeTrue(), x.situation)
	}
}
