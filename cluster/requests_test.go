package cluster

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"samphirepoint/shard"
	"samphirepoint/verdict"
)

// Guards against a may-have-run response although the caller's deadline left enough time to learn whether the job was accepted;
// some callers can't ask again.
func TestUncertainCallIsRetriedThroughRejections(t *testing.T) {
	g := NewWithT(t)
	var calls atomic.Int64
	owner := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		switch n := calls.Add(1); {
		case n == 1:
			writeError(w, verdict.New(verdict.MayHaveRun, http.StatusGatewayTimeout, "timed out"))
		case n < 5:
			writeError(w, verdict.Unavailable(time.Second, "the store is unavailable"))
		default:
			_ = json.NewEncoder(w).Encode(wireResult{Known: true})
		}
	}))
	defer owner.Close()
	now := time.Minute
	n := NewNode(Settings{Name: "a", Log: zerolog.Nop(), Now: func() time.Duration { return now }})
	b := member("b", 1, "pumps")
	b.Address = strings.TrimPrefix(owner.URL, "http://")
	n.view.Observe([]Member{member("a", 1), b}, true, now)
	n.layout.Store(shard.NewLayout(map[string]int{"pumps": 1}))
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	job := JobRef{ID: "00000000000000a1"}
	known, err := n.Cancel(ctx, "pumps", job)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(known).To(BeTrue())

	calls.Store(1)
	_, err = n.Cancel(ctx, "pumps", job)
	g.Expect(verdict.Is(err, verdict.NotRun)).To(BeTrue(), "the rejection of a call that was certainly not executed is returned immediately")
	g.Expect(calls.Load()).To(Equal(int64(2)))
}
