package cluster

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"samphirepoint/catalog"
	"samphirepoint/engine"
	"samphirepoint/rows/memrows"
	"samphirepoint/shard"
	"samphirepoint/verdict"
)

// wireFile has a request and a response of each operation, as daemons of earlier versions send them.
const wireFile = "testdata/wire.json"

var updateWire = flag.Bool("update-wire", false, "record the messages between daemons in "+wireFile)

// wireRecord holds what is exchanged between daemons.
type wireRecord struct {
	Exchanges []wireExchange `json:"exchanges"`
	// Outcomes are what the calls return for the responses.
	Outcomes []string `json:"outcomes"`
}

type wireExchange struct {
	Request  json.RawMessage `json:"request"`
	Response json.RawMessage `json:"response"`
}

// wireRecorder is a daemon that records the requests that it gets, and passes them on to another one for the response.
type wireRecorder struct {
	respond func(request []byte) []byte

	mu        sync.Mutex
	exchanges []wireExchange
}

func (w *wireRecorder) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	request, _ := io.ReadAll(r.Body)
	response := w.respond(request)
	w.exchanges = append(w.exchanges, wireExchange{request, response})
	_, _ = rw.Write(response)
}

func (w *wireRecorder) count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.exchanges)
}

func wireSpec() engine.Spec {
	return engine.Spec{
		ID: "00000000000000e1", Queue: "checks", Workspace: "cooperative", Settings: &engine.Queue{Name: "checks", Version: 7, Stretch: 1.5, TargetMS: 600_000}, Payload: "x",
		Steps: []engine.Step{{Count: 2, Need: engine.Resources{CPU: 100}, EstimateMS: 50}},
	}
}

// wireCaller returns a daemon for which the recorder owns pool "pumps".
func wireCaller(t *testing.T, recorder http.Handler) (*Node, Member) {
	server := httptest.NewServer(recorder)
	t.Cleanup(server.Close)
	now := time.Minute
	n := NewNode(Settings{Name: "a", Store: memrows.New(), Log: zerolog.Nop(), Now: func() time.Duration { return now }})
	b := member("b", 1, "pumps")
	b.Address = strings.TrimPrefix(server.URL, "http://")
	n.view.Observe([]Member{member("a", 1), b}, true, now)
	n.layout.Store(shard.NewLayout(map[string]int{"pumps": 1}))
	n.catalog.Store(&catalog.Catalog{Version: 7, Pools: []catalog.Pool{{Name: "pumps"}}})
	n.owned["routes"] = idleTerm{}
	return n, b
}

// wireCalls make all calls to the recorder. They return what the caller learns.
func wireCalls(ctx context.Context, n *Node, b Member) []func() string {
	spec := wireSpec()
	job := JobRef{Queue: "checks", ID: spec.ID, Workspace: "cooperative"}
	return []func() string{
		func() string { return fmt.Sprint(n.Submit(ctx, "pumps", &spec)) },
		func() string { return fmt.Sprint(n.State(ctx, "pumps", job)) },
		func() string { return fmt.Sprint(n.Waiting(ctx, "pumps", "checks")) },
		func() string {
			pool, job, known, err := n.Explain(ctx, spec.ID)
			return fmt.Sprint(pool, job, known, err)
		},
		func() string {
			owner, report, err := n.ExplainPlacement(ctx, "pumps", spec)
			return fmt.Sprint(owner, report.Job, report.Queue, *report.Workspace, report.Order, report.Steps, report.Exists, err)
		},
		func() string { return fmt.Sprint(n.Cancel(ctx, "pumps", job)) },
		func() string { return fmt.Sprint(n.Cordon(ctx, "pumps", "i-1", 2*time.Second)) },
		func() string { return fmt.Sprint(n.Cordon(ctx, "pumps", "i-1", 0)) },
		func() string {
			return fmt.Sprint(n.AnnounceUpkeep(ctx, "pumps", []string{"i-1", "i-2"}, 3*time.Second))
		},
		func() string { return fmt.Sprint(n.WorkerTerminated(ctx, "pumps", "i-1", 1000)) },
		func() string { return fmt.Sprint(n.WorkerAbsent(ctx, "pumps", "i-1", 0)) },
		func() string { return fmt.Sprint(n.Report(ctx, "pumps")) },
		func() string {
			return fmt.Sprint(n.heldElsewhere(ctx, newOwnerTerm("routes", nil), &queueHistory{Pools: []string{"pumps", "routes"}}, &spec))
		},
		func() string { n.ping(ctx, b); return "" },
		func() string { return fmt.Sprint(n.confirmByPeers(ctx, "pumps", engine.TokensPerTerm, 1)) },
		func() string { return fmt.Sprint(n.transferPool(ctx, "routes", b, true)) },
		func() string { n.announce(ctx, "routes", 4); return "" },
	}
}

// Guards against daemons that don't understand each other while an update is rolled out: against requests in another form than daemons of
// earlier versions send, other responses to these, and responses from which a caller learns something else.
func TestDaemonsOfEarlierVersionsAreUnderstood(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	recorder := &wireRecorder{respond: wireResponder(ctx, t)}
	n, b := wireCaller(t, recorder)
	var outcomes []string
	for _, call := range wireCalls(ctx, n, b) {
		before := recorder.count()
		outcomes = append(outcomes, call())
		g.Eventually(recorder.count, "10s", "1ms").Should(BeNumerically(">", before), "announcements are sent in the background")
	}
	if *updateWire {
		data, err := json.MarshalIndent(wireRecord{recorder.exchanges, outcomes}, "", " ")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(os.WriteFile(wireFile, append(data, '\n'), 0o644)).To(Succeed())
	}
	data, err := os.ReadFile(wireFile)
	g.Expect(err).NotTo(HaveOccurred())
	var known wireRecord
	g.Expect(json.Unmarshal(data, &known)).To(Succeed())
	g.Expect(recorder.exchanges).To(HaveLen(len(known.Exchanges)))
	for i, k := range known.Exchanges {
		g.Expect(string(recorder.exchanges[i].Request)).To(Equal(compact(g, k.Request)))
		g.Expect(string(recorder.exchanges[i].Response)).To(Equal(compact(g, k.Response)), string(k.Request))
	}
	g.Expect(outcomes).To(Equal(known.Outcomes))
}

func compact(g *WithT, data []byte) string {
	var out bytes.Buffer
	g.Expect(json.Compact(&out, data)).To(Succeed())
	return out.String()
}

// varyingTimes are the fields of responses that hold the time since another event.
var varyingTimes = regexp.MustCompile(`"(ageMS|storeAge|deadlineMS|rt)":-?[0-9]+`)

// wireResponder returns a function that sends requests to a daemon that owns pool "pumps".
func wireResponder(ctx context.Context, t *testing.T) func(request []byte) []byte {
	g := NewWithT(t)
	handler := wireOwner(ctx, t)
	return func(request []byte) []byte {
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequest(http.MethodPost, peerPath, bytes.NewReader(request)))
		g.Expect(w.Code).To(Equal(http.StatusOK), "%s: %s", request, w.Body)
		return varyingTimes.ReplaceAll(bytes.TrimSpace(w.Body.Bytes()), []byte(`"$1":1`))
	}
}

// wireOwner returns the handler of a daemon that owns pool "pumps".
func wireOwner(ctx context.Context, t *testing.T) http.Handler {
	began := time.Now()
	n := NewNode(Settings{Name: "b", Store: memrows.New(), Options: engine.DefaultOptions(), Log: zerolog.Nop(), Now: func() time.Duration { return time.Minute + time.Since(began) }})
	n.layout.Store(shard.NewLayout(map[string]int{"pumps": 1}))
	n.lastStoreContact = n.settings.Now()
	NewWithT(t).Expect(n.claimPool(ctx, "pumps")).To(Succeed())
	return n.PeerHandler()
}

// Guards against an operation of a later version that counts as executed, or as possibly executed.
func TestUnknownOperationIsNotRun(t *testing.T) {
	g := NewWithT(t)
	server := httptest.NewServer(wireOwner(t.Context(), t))
	defer server.Close()
	_, err := newPeerClient(nil).call(t.Context(), strings.TrimPrefix(server.URL, "http://"), wireCall{Op: "later-version", Pool: "pumps"})
	g.Expect(verdict.Is(err, verdict.NotRun)).To(BeTrue(), "%v", err)
	g.Expect(err).To(MatchError(ContainSubstring("unknown operation")))
}
