package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/rs/zerolog"
	"go.yaml.in/yaml/v3"
	"golang.org/x/sync/errgroup"

	"samphirepoint/auth"
	"samphirepoint/entry"
	"samphirepoint/fleet"
	"samphirepoint/lease"
	"samphirepoint/membership"
	"samphirepoint/request"
	"samphirepoint/services"
	"samphirepoint/settings"
	"samphirepoint/sleep"
	"samphirepoint/standin"
	"samphirepoint/standin/platformd"
	"samphirepoint/table"
	"samphirepoint/verdict"
)

const (
	// testbedStartTimeout bounds the time until the entries of a testbed are ready.
	testbedStartTimeout = 20 * time.Second
	// testbedPollInterval is the time between two checks whether an entry is ready.
	testbedPollInterval = 20 * time.Millisecond
	// slotsPerWorker is the number of slots of a testbed worker.
	slotsPerWorker = 8
	// registerBatch bounds the instance rows written in one transaction.
	registerBatch = 100
)

// testbedSize is the size of the fleet and the table of a testbed.
type testbedSize struct {
	Rows    int `json:"instanceRows"`
	Pools   int `json:"pools"`
	Backers int `json:"backers"`
}

// testbed is a stand-in platform with entries, whose table and instance rows have a given size. Its instance list is
// static, since 1,500 registrations that renew would use more CPU time than the entry that is measured.
type testbed struct {
	size          testbedSize
	document      *table.Document
	platform      *platformd.Server
	instancesJSON []byte
	instances     []services.Instance
	listener      *standin.Listener
	dir           string
	tokensPath    string
	token         string
	entries       []*entry.Entry
	group         errgroup.Group
	cancels       []context.CancelFunc
}

// newTestbed starts the platform. address returns the worker address of an instance row.
func newTestbed(ctx context.Context, s testbedSize, address func(row int) string) (*testbed, error) {
	l := &testbed{size: s, document: testbedDocument(s), platform: platformd.New(platformd.Options{Seed: 1})}
	if err := l.start(ctx, address); err != nil {
		l.close()
		return nil, err
	}
	return l, nil
}

func testbedDocument(s testbedSize) *table.Document {
	d := &table.Document{}
	for i := range s.Backers {
		d.Backers = append(d.Backers, table.Backer{Name: fmt.Sprintf("backer-%03d", i), Weight: 1,
			NominalQuota: max(s.Rows*slotsPerWorker/s.Backers, 1), BorrowingLimit: s.Rows * slotsPerWorker, MaxUnavailable: 2})
	}
	for i := range s.Pools {
		name := fmt.Sprintf("pool-%02d", i)
		d.Pools = append(d.Pools, table.Pool{Name: name})
		d.Queues = append(d.Queues, table.Queue{Name: name, Pools: []string{name}, MaxLength: 2000})
	}
	return d
}

func testbedInstance(row int, address string) services.Instance {
	return services.Instance{ID: fmt.Sprintf("worker-%04d", row), Kind: services.KindWorker, Address: address, State: services.StateLive,
		Zone: fmt.Sprintf("zone-%d", row/4%5), Region: fmt.Sprintf("region-%d", row/4%2), Rack: fmt.Sprintf("rack-%03d", row/4), Slots: slotsPerWorker}
}

func (l *testbed) start(ctx context.Context, address func(int) string) error {
	var err error
	if l.dir, err = os.MkdirTemp("", "samphirepoint-lab-"); err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle("/", l.platform)
	mux.HandleFunc("GET /instances", l.serveList)
	if l.listener, err = standin.Listen("127.0.0.1:0", mux); err != nil {
		return err
	}
	client := services.NewClient(l.listener.URL(), nil)
	store := fleet.NewStore(client, nil, time.Now)
	byPool := map[string][]services.Instance{}
	for i := range l.size.Rows {
		in := testbedInstance(i, address(i))
		l.instances = append(l.instances, in)
		pool := l.document.Pools[i%l.size.Pools].Name
		byPool[pool] = append(byPool[pool], in)
	}
	if l.instancesJSON, err = json.Marshal(l.instances); err != nil {
		return err
	}
	for pool, list := range byPool {
		for len(list) > 0 {
			n := min(len(list), registerBatch)
			if _, err := store.Register(ctx, list[:n], pool); err != nil {
				return err
			}
			list = list[n:]
		}
	}
	if _, err := table.NewStore(client, table.Options{}).Bootstrap(ctx, l.document, "lab", "initial table of the testbed"); err != nil {
		return err
	}
	return l.writeTokens()
}

// listETag is the entity tag of the instance list, which does not change.
const listETag = `"lab"`

func (l *testbed) serveList(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("ETag", listETag)
	if r.Header.Get("If-None-Match") == listETag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(l.instancesJSON)
}

func (l *testbed) writeTokens() error {
	token, line := auth.NewToken(l.document.Backers[0].Name, auth.RoleBacker)
	peerToken, _ := auth.NewToken("entries", auth.RolePeer)
	data, err := yaml.Marshal(struct {
		Tokens     []auth.Entry `yaml:"tokens"`
		PeerTokens []string     `yaml:"peerTokens"`
	}{[]auth.Entry{line}, []string{peerToken}})
	if err != nil {
		return err
	}
	l.token, l.tokensPath = token, filepath.Join(l.dir, "tokens.yaml")
	return os.WriteFile(l.tokensPath, data, 0o600)
}

// holdLease holds the fleet lease, so that none of the entries becomes the planner.
func (l *testbed) holdLease(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	l.cancels = append(l.cancels, cancel)
	fleetLease := lease.New(services.NewClient(l.listener.URL(), nil), "fleet", "lab", time.Now)
	if err := fleetLease.Step(ctx); err != nil {
		return err
	}
	l.group.Go(func() error { return fleetLease.Run(ctx) })
	return nil
}

// startEntries starts n entries and waits until they are ready and have discovered each other.
func (l *testbed) startEntries(ctx context.Context, n int, log zerolog.Logger) error {
	for i := range n {
		cfg := settings.Default()
		cfg.ID, cfg.Zone, cfg.Zones = fmt.Sprintf("entry-%d", i+1), "zone-0", []string{"zone-0"}
		cfg.Platform, cfg.Tokens = l.listener.URL(), l.tokensPath
		cfg.Listen = settings.Addresses{Callers: "127.0.0.1:0", Peers: "127.0.0.1:0"}
		cfg.Shutdown.BalancerDelay = 0
		if i > 0 {
			cfg.Peers = []string{l.entries[0].PeerAddress()}
		}
		e, err := entry.New(&cfg, entry.Options{Log: log})
		if err != nil {
			return err
		}
		l.entries = append(l.entries, e)
		ctx, cancel := context.WithCancel(context.Background())
		l.cancels = append(l.cancels, cancel)
		l.group.Go(func() error { return e.Run(ctx) })
	}
	ctx, cancel := context.WithTimeout(ctx, testbedStartTimeout)
	defer cancel()
	for _, e := range l.entries {
		for !e.Ready() || len(e.Members()) < n {
			if sleep.Context(ctx, testbedPollInterval) != nil {
				return fmt.Errorf("entries are not ready after %s", testbedStartTimeout)
			}
		}
	}
	return nil
}

// ownedPools returns the names of the pools that an entry owns.
func (l *testbed) ownedPools(entry int) []string {
	var pools []membership.Pool
	var members []membership.Member
	for _, p := range l.document.Pools {
		pools = append(pools, membership.Pool{Name: p.Name})
	}
	for i := range l.entries {
		members = append(members, membership.Member{ID: fmt.Sprintf("entry-%d", i+1)})
	}
	var names []string
	owners := membership.Owners(pools, members)
	for _, p := range pools {
		if owners[p.Name].ID == members[entry].ID {
			names = append(names, p.Name)
		}
	}
	return names
}

// metric reads a value from the metrics endpoint of an entry.
func (l *testbed) metric(entry int, name string) (float64, error) {
	resp, err := http.Get("http://" + l.entries[entry].CallerAddress() + "/metrics")
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err
	}
	for _, line := range strings.Split(string(data), "\n") {
		if value, ok := strings.CutPrefix(line, name+" "); ok {
			return strconv.ParseFloat(value, 64)
		}
	}
	return 0, fmt.Errorf("metric %s is missing", name)
}

func (l *testbed) close() {
	for _, cancel := range l.cancels {
		cancel()
	}
	_ = l.group.Wait()
	if l.listener != nil {
		l.listener.Close()
	}
	_ = os.RemoveAll(l.dir)
}

// echoWorker echoes every request immediately, whichever worker it is addressed to. It replaces all workers of a testbed
// in which only the entry is measured.
func echoWorker() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run", func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		h := w.Header()
		h.Set(request.HeaderRequestID, r.Header.Get(request.HeaderRequestID))
		h.Set(request.HeaderAttempt, r.Header.Get(request.HeaderAttempt))
		h.Set(request.HeaderVerdict, verdict.Ran.String())
		h.Set(request.HeaderBodyHash, request.BodyHash(body))
		h.Set("Content-Type", "application/json")
		h.Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = w.Write(body)
	})
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { standin.WriteJSON(w, http.StatusOK, struct{}{}) })
	return mux
}
