package entry_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"samphirepoint/dev"
	"samphirepoint/entry"
	"samphirepoint/membership"
	"samphirepoint/network"
	"samphirepoint/request"
	"samphirepoint/settings"
	"samphirepoint/standin/faultproxy"
	"samphirepoint/standin/memnet"
	"samphirepoint/standin/workerd"
	"samphirepoint/table"
	"samphirepoint/verdict"
)

const (
	// shutdownTimeout is the drain timeout of the owner; no test runs into it.
	shutdownTimeout = 30 * time.Second
	// ownerPeers and ownerLink are the addresses of the owner's peer interface and of the proxy in front of it.
	ownerPeers, ownerLink = "127.0.0.1:9001", "127.0.0.1:9002"
)

// deployment is a deployment in simulated time with one entry more, into which a test injects faults.
type deployment struct {
	gomega.Gomega
	*dev.Cluster
	client *http.Client
	// owner owns the pool of queue. The other entries reach it through link.
	owner *entry.Entry
	queue string
	link  *faultproxy.Proxy
	// leave starts the shutdown of the owner; left receives the result of Run.
	leave context.CancelFunc
	left  chan error
}

// runDeployment runs a test on a deployment of three entries.
func runDeployment(t *testing.T, test func(d *deployment)) {
	t.Parallel()
	metrics.NewMeter().Stop() // starts the library's own goroutine, which never ends, outside the synctest bubble
	synctest.Test(t, func(t *testing.T) {
		d := startDeployment(t)
		defer d.close()
		test(d)
	})
}

func startDeployment(t *testing.T) *deployment {
	t.Helper()
	net := memnet.New()
	d := &deployment{Gomega: gomega.NewWithT(t), client: network.Client(net), left: make(chan error, 1)}
	doc := &table.Document{Backers: []table.Backer{{Name: "b", Weight: 1, NominalQuota: 40}}}
	for _, name := range []string{"p1", "p2", "p3"} {
		doc.Pools = append(doc.Pools, table.Pool{Name: name})
		doc.Queues = append(doc.Queues, table.Queue{Name: name, Pools: []string{name}, MaxLength: 100})
	}
	log := zerolog.Nop()
	if path := os.Getenv("LIVE_LOG"); path != "" {
		f, err := os.Create(path + "-" + t.Name() + ".log")
		d.Expect(err).NotTo(gomega.HaveOccurred())
		t.Cleanup(func() { _ = f.Close() })
		log = zerolog.New(zerolog.SyncWriter(f)).With().Timestamp().Logger()
	}
	dir, platform := t.TempDir(), ""
	c, err := dev.Start(context.Background(), dev.Options{
		Deployment: "inzira", Entries: 2, Dir: dir, Document: doc, Network: net, Log: log,
		WorkersPerPool: map[string]int{"p1": 1, "p2": 1, "p3": 1}, Moves: settings.Moves{Policy: "fixed"},
		PlatformURLFor: func(_, base string) (string, error) { platform = base; return base, nil },
	})
	d.Expect(err).NotTo(gomega.HaveOccurred())
	d.Cluster = c
	cfg := settings.Default()
	cfg.ID, cfg.Zone, cfg.Zones = "owner", "gasabo", []string{"gasabo"}
	cfg.Platform, cfg.Tokens, cfg.Peers = platform, filepath.Join(dir, "tokens.yaml"), []string{c.Entries[0].PeerAddress()}
	cfg.Listen = settings.Addresses{Callers: "127.0.0.1:0", Peers: ownerPeers}
	cfg.Advertise.Peers = ownerLink
	d.link, err = faultproxy.NewOn(net, ownerLink, ownerPeers)
	d.Expect(err).NotTo(gomega.HaveOccurred())
	cfg.Shutdown = settings.Shutdown{DrainTimeout: shutdownTimeout}
	d.owner, err = entry.New(&cfg, entry.Options{Log: log, Network: net})
	d.Expect(err).NotTo(gomega.HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	d.leave = cancel
	go func() { d.left <- d.owner.Run(ctx) }()
	d.awaitMembers(doc.Pools)
	return d
}

// awaitMembers waits until all entries know each other and the owners of the pools are settled.
func (d *deployment) awaitMembers(pools []table.Pool) {
	time.Sleep(5 * time.Second)
	var members []membership.Member
	for _, e := range append([]*entry.Entry{d.owner}, d.Entries...) {
		d.Expect(e.Ready()).To(gomega.BeTrue())
		d.Expect(e.Members()).To(gomega.HaveLen(3))
	}
	for _, id := range d.owner.Members() {
		members = append(members, membership.Member{ID: id})
	}
	var list []membership.Pool
	for _, p := range pools {
		list = append(list, membership.Pool{Name: p.Name})
	}
	for pool, owner := range membership.Owners(list, members) {
		if owner.ID == "owner" {
			d.queue = pool
		}
	}
	d.Expect(d.queue).NotTo(gomega.BeEmpty())
}

func (d *deployment) close() {
	d.leave()
	defer d.link.Close()
	d.Expect(<-d.left).To(gomega.Succeed())
	d.Close()
	d.client.CloseIdleConnections()
}

// reply is the response to a request.
type reply struct {
	status   int
	verdict  string
	replayed bool
	body     string
}

// submit submits a non-idempotent request that runs for the given time, and returns the reply. The key is also the request id.
func (d *deployment) submit(at *entry.Entry, key string, runs time.Duration) reply {
	body := fmt.Sprintf(`{"runMs":%d,"payload":%q}`, runs.Milliseconds(), key)
	return d.call(at, http.MethodPost, "/v1/queues/"+d.queue+"/requests", body, map[string]string{
		request.HeaderIdempotent: "false", request.HeaderIdempotencyKey: key, request.HeaderRequestID: key,
	})
}

// call sends a request of the backer to an entry.
func (d *deployment) call(at *entry.Entry, method, path, body string, headers map[string]string) reply {
	req, err := http.NewRequest(method, "http://"+at.CallerAddress()+path, strings.NewReader(body))
	d.Expect(err).NotTo(gomega.HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+d.Tokens["b"])
	for name, value := range headers {
		req.Header.Set(name, value)
	}
	resp, err := d.client.Do(req)
	d.Expect(err).NotTo(gomega.HaveOccurred())
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	d.Expect(err).NotTo(gomega.HaveOccurred())
	return reply{status: resp.StatusCode, verdict: resp.Header.Get(request.HeaderVerdict), replayed: resp.Header.Get(request.HeaderReplayed) == "true", body: string(data)}
}

// begin submits a request in the background and returns when it runs.
func (d *deployment) begin(at *entry.Entry, key string, runs time.Duration) <-chan reply {
	before, done := d.starts(), make(chan reply, 1)
	go func() { done <- d.submit(at, key, runs) }()
	for range 100 {
		if d.starts() > before {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	d.Expect(d.starts()).To(gomega.Equal(before+1), "the request runs")
	return done
}

// starts returns the number of runs that the workers started.
func (d *deployment) starts() int {
	n := 0
	for _, w := range d.Workers {
		for _, e := range w.Journal(0) {
			if e.Kind == workerd.Start {
				n++
			}
		}
	}
	return n
}

// expectSuccess expects a complete answer of a worker.
func (d *deployment) expectSuccess(r reply) {
	d.Expect(r.status).To(gomega.Equal(http.StatusOK), "%+v", r)
	d.Expect(r.verdict).To(gomega.Equal(verdict.Ran.String()), "%+v", r)
}
