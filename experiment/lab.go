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
	"samphirepoint/standin"
	"samphirepoint/standin/platformd"
	"samphirepoint/table"
	"samphirepoint/verdict"
)

const (
	// labStart bounds the time until the entries of a lab are ready.
	labStart = 20 * time.Second
	// labSlots is the number of slots of a worker.
	labSlots = 8
	// registerBatch bounds the rows of one transaction.
	registerBatch = 100
)

// size of a lab.
type size struct {
	Rows    int `json:"instanceRows"`
	Pools   int `json:"pools"`
	Backers int `json:"backers"`
}

// lab is a platform with entries whose table and instance rows have a chosen size. Its instance list is fixed, since
// 1,500 renewed registrations would use more processor time than the entry that is measured.
type lab struct {
	size     size
	document *table.Document
	platform *platformd.Server
	listed   []byte
	list     []services.Instance
	listener *standin.Listener
	dir      string
	tokens   string
	token    string
	entries  []*entry.Entry
	group    errgroup.Group
	stop     []context.CancelFunc
}

// newLab starts the platform. address returns the address of the worker of a row.
func newLab(ctx context.Context, s size, address func(row int) string) (*lab, error) {
	l := &lab{size: s, document: labDocument(s), platform: platformd.New(platformd.Options{Seed: 1})}
	if err := l.start(ctx, address); err != nil {
		l.close()
		return nil, err
	}
	return l, nil
}

func labDocument(s size) *table.Document {
	d := &table.Document{}
	for i := range s.Backers {
		d.Backers = append(d.Backers, table.Backer{Name: fmt.Sprintf("backer-%03d", i), Weight: 1,
			NominalQuota: max(s.Rows*labSlots/s.Backers, 1), BorrowingLimit: s.Rows * labSlots, MaxUnavailable: 2})
	}
	for i := range s.Pools {
		name := fmt.Sprintf("pool-%02d", i)
		d.Pools = append(d.Pools, table.Pool{Name: name})
		d.Queues = append(d.Queues, table.Queue{Name: name, Pools: []string{name}, MaxLength: 2000})
	}
	return d
}

func labInstance(row int, address string) services.Instance {
	return services.Instance{ID: fmt.Sprintf("worker-%04d", row), Kind: services.KindWorker, Address: address, State: services.StateLive,
		Zone: fmt.Sprintf("zone-%d", row/4%5), Region: fmt.Sprintf("region-%d", row/4%2), Rack: fmt.Sprintf("rack-%03d", row/4), Slots: labSlots}
}

func (l *lab) start(ctx context.Context, address func(int) string) error {
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
		in := labInstance(i, address(i))
		l.list = append(l.list, in)
		pool := l.document.Pools[i%l.size.Pools].Name
		byPool[pool] = append(byPool[pool], in)
	}
	if l.listed, err = json.Marshal(l.list); err != nil {
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
	if _, err := table.NewStore(client, table.Options{}).Bootstrap(ctx, l.document, "lab", "size of the lab"); err != nil {
		return err
	}
	return l.writeTokens()
}

// labTag is the entity tag of the list, which does not change.
const labTag = `"lab"`

func (l *lab) serveList(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("ETag", labTag)
	if r.Header.Get("If-None-Match") == labTag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(l.listed)
}

func (l *lab) writeTokens() error {
	token, line := auth.NewToken(l.document.Backers[0].Name, auth.RoleBacker)
	peerToken, _ := auth.NewToken("entries", auth.RolePeer)
	data, err := yaml.Marshal(struct {
		Tokens     []auth.Entry `yaml:"tokens"`
		PeerTokens []string     `yaml:"peerTokens"`
	}{[]auth.Entry{line}, []string{peerToken}})
	if err != nil {
		return err
	}
	l.token, l.tokens = token, filepath.Join(l.dir, "tokens.yaml")
	return os.WriteFile(l.tokens, data, 0o600)
}

// holdLease keeps the fleet lease away from the entries, so that none of them is the planner.
func (l *lab) holdLease(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	l.stop = append(l.stop, cancel)
	held := lease.New(services.NewClient(l.listener.URL(), nil), "fleet", "lab", time.Now)
	if err := held.Step(ctx); err != nil {
		return err
	}
	l.group.Go(func() error { return held.Run(ctx) })
	return nil
}

// startEntries starts n entries and waits until they know each other.
func (l *lab) startEntries(ctx context.Context, n int, log zerolog.Logger) error {
	for i := range n {
		cfg := settings.Default()
		cfg.ID, cfg.Zone, cfg.Zones = fmt.Sprintf("entry-%d", i+1), "zone-0", []string{"zone-0"}
		cfg.Platform, cfg.Tokens = l.listener.URL(), l.tokens
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
		l.stop = append(l.stop, cancel)
		l.group.Go(func() error { return e.Run(ctx) })
	}
	ctx, cancel := context.WithTimeout(ctx, labStart)
	defer cancel()
	for _, e := range l.entries {
		for !e.Ready() || len(e.Members()) < n {
			select {
			case <-ctx.Done():
				return fmt.Errorf("entries are not ready after %s", labStart)
			case <-time.After(20 * time.Millisecond):
			}
		}
	}
	return nil
}

// owned lists the pools of an entry.
func (l *lab) owned(entry int) []string {
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

// metric reads a value of an entry's metrics.
func (l *lab) metric(entry int, name string) (float64, error) {
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

func (l *lab) close() {
	for _, cancel := range l.stop {
		cancel()
	}
	_ = l.group.Wait()
	if l.listener != nil {
		l.listener.Close()
	}
	_ = os.RemoveAll(l.dir)
}

// echoWorker answers every request at once under any worker's identity; it stands for all workers of a lab in which only the
// entry is measured.
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
