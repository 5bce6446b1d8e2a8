// Package dev runs a whole deployment on loopback in one process: the stand-in platform, the five pools of
// stand-in workers and the entries, under the deployment's workload with its demand spikes. A run returns the
// measures and the report of the checker.
//
//	result, err := dev.Run(ctx, dev.Options{Deployment: "inzira", Duration: 20 * time.Second, Seed: 1})
package dev

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"go.yaml.in/yaml/v3"
	"golang.org/x/sync/errgroup"

	"samphirepoint/admin"
	"samphirepoint/auth"
	"samphirepoint/checker"
	"samphirepoint/entry"
	"samphirepoint/examples"
	"samphirepoint/fleet"
	"samphirepoint/load"
	"samphirepoint/mover"
	"samphirepoint/network"
	"samphirepoint/report"
	"samphirepoint/services"
	"samphirepoint/settings"
	"samphirepoint/sleep"
	"samphirepoint/standin"
	"samphirepoint/standin/platformd"
	"samphirepoint/standin/workerd"
	"samphirepoint/table"
)

const (
	// DefaultEntries is the number of entries in the users' deployments.
	DefaultEntries = 7
	// workersPerRack is the number of workers in a rack, equal in both deployments.
	workersPerRack = 4
	// startTimeout bounds the time until all entries are ready.
	startTimeout = 20 * time.Second
	// readyPollInterval is the time between two checks whether an entry is ready.
	readyPollInterval = 50 * time.Millisecond
	// versionSampleInterval is the time between samples of the entries' table versions, and thus the resolution of the
	// rollout measure.
	versionSampleInterval = 50 * time.Millisecond
	operatorName          = "dev-operator"
)

// Options of a run.
type Options struct {
	Deployment string
	Entries    int
	Duration   time.Duration
	// CompletionTimeout is the time after the last submission at which requests in flight are cancelled; 0 waits for all.
	CompletionTimeout time.Duration
	Seed              uint64
	// Rate is the mean number of requests a second; 0 uses the deployment's default.
	Rate     float64
	Policies settings.Policies
	Moves    settings.Moves
	// Changes is the number of table changes accepted during the run.
	Changes int
	// CallerPort is the port of the first entry's caller interface, 0 for any; the others follow. The platform
	// then listens one below, and the peer interfaces 100 above.
	CallerPort int
	// Dir is the directory for the token files; empty uses a temporary directory that is deleted at the end.
	Dir string
	Log zerolog.Logger
	// Progress receives progress messages for an interactive user; nil discards them.
	Progress func(format string, args ...any)
	// Document replaces the deployment's initial table.
	Document *table.Document
	// WorkersPerPool is the number of workers by pool; nil uses that of the deployments.
	WorkersPerPool map[string]int
	// PlatformURLFor returns the base URL by which an entry reaches the platform at base, such as that of a proxy; nil uses
	// base.
	PlatformURLFor func(entry, base string) (string, error)
	// Network carries all connections; nil uses the network of the host.
	Network network.Network
	// MovePolicy returns a new move policy for an entry; nil uses the policy named in Moves.
	MovePolicy func() mover.Policy
}

// Result of a run.
type Result struct {
	Measures report.Measures `json:"measures"`
	Checks   checker.Report  `json:"checks"`
	Summary  load.Summary    `json:"summary"`
	// Evidence is the input from which Checks was computed.
	Evidence checker.Input `json:"-"`
}

// OK reports whether no property was violated.
func (r *Result) OK() bool { return len(r.Checks.Violations) == 0 }

// Cluster is a running deployment.
type Cluster struct {
	Options  Options
	Document *table.Document
	Platform *platformd.Server
	Workers  []*workerd.Server
	Entries  []*entry.Entry
	// Tokens holds a bearer token by backer; OperatorToken is a token with the operator role.
	Tokens        map[string]string
	OperatorToken string

	// client makes the calls of operators and of the deployment itself.
	client      *http.Client
	viewerToken string
	platformURL string
	// dir holds the token files; Close deletes it if removeDir is set.
	dir           string
	removeDir     bool
	tokensPath    string
	listener      *standin.Listener
	group         *errgroup.Group
	cancelEntries []context.CancelFunc

	mu             sync.Mutex
	rowChanges     []platformd.Change
	versions       []checker.VersionSample
	accepted       []checker.Acceptance
	initialWorkers []report.Worker
}

// Start starts a deployment and waits until all entries are ready.
func Start(ctx context.Context, o Options) (*Cluster, error) {
	o = withDefaults(o)
	doc := o.Document
	if doc == nil {
		var err error
		if doc, err = examples.Table(o.Deployment); err != nil {
			return nil, err
		}
	}
	c := &Cluster{Options: o, Document: doc, Tokens: map[string]string{}, client: network.Client(o.Network), group: &errgroup.Group{}}
	if err := c.start(ctx); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

func withDefaults(o Options) Options {
	if o.Entries == 0 {
		o.Entries = DefaultEntries
	}
	if o.Duration == 0 {
		o.Duration = 20 * time.Second
	}
	if o.Rate == 0 {
		o.Rate = load.DefaultRate
	}
	if o.Policies == (settings.Policies{}) {
		o.Policies = settings.Default().Policies
	}
	if o.Moves == (settings.Moves{}) {
		o.Moves = settings.Default().Moves
	}
	if o.WorkersPerPool == nil {
		o.WorkersPerPool = poolSizes
	}
	if o.Progress == nil {
		o.Progress = func(string, ...any) {}
	}
	return o
}

func (c *Cluster) start(ctx context.Context) error {
	err := c.makeDir()
	if err != nil {
		return err
	}
	c.Platform = platformd.New(platformd.Options{Seed: c.Options.Seed, OnChange: c.recordChange, Network: c.Options.Network})
	if c.listener, err = c.Platform.Start(c.platformAddress()); err != nil {
		return err
	}
	c.platformURL = c.listener.URL()
	if err := c.startWorkers(); err != nil {
		return err
	}
	if err := c.bootstrap(ctx); err != nil {
		return err
	}
	if err := c.startEntries(); err != nil {
		return err
	}
	return c.waitReady(ctx)
}

func (c *Cluster) makeDir() error {
	if c.Options.Dir != "" {
		c.dir = c.Options.Dir
		return os.MkdirAll(c.dir, 0o700)
	}
	var err error
	c.dir, err = os.MkdirTemp("", "samphirepoint-dev-")
	c.removeDir = err == nil
	return err
}

func (c *Cluster) recordChange(ch platformd.Change) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rowChanges = append(c.rowChanges, ch)
}

// poolSizes is the number of workers per pool (design document, section 1.3).
var poolSizes = map[string]int{
	"pumps": 9, "deliveries": 9, "slips": 11, "routes": 12, "ledger-common": 8,
	"innanlands": 8, "utanlands": 9, "bref": 11, "magn": 12, "stodir": 8,
}

var zones = map[string][]string{
	"inzira":   {"gasabo", "nyarugenge", "kicukiro"},
	"hraunvik": {"is-sv-1", "is-sv-2", "is-sv-3", "is-sv-4"},
}

// startWorkers starts the workers of all pools; the workers of a rack are in one zone.
func (c *Cluster) startWorkers() error {
	names := zones[c.Options.Deployment]
	for _, pool := range c.Document.Pools {
		for i := range c.Options.WorkersPerPool[pool.Name] {
			rack := i / workersPerRack
			w := workerd.New(workerd.Options{
				ID: fmt.Sprintf("%s-%02d", pool.Name, i+1), Zone: names[rack%len(names)], Rack: fmt.Sprintf("%s-r%d", pool.Name, rack+1),
				Platform: c.platformURL, Seed: c.Options.Seed, Network: c.Options.Network,
			})
			if err := w.Start("127.0.0.1:0"); err != nil {
				return err
			}
			c.Workers = append(c.Workers, w)
			c.initialWorkers = append(c.initialWorkers, report.Worker{ID: w.Status().ID, Pool: pool.Name, Slots: workerd.DefaultSlots})
		}
	}
	return nil
}

// bootstrap writes the instance rows and the first version of the table.
func (c *Cluster) bootstrap(ctx context.Context) error {
	client := services.NewClient(c.platformURL, c.client)
	rows := fleet.NewStore(client, nil, time.Now)
	byPool := map[string][]services.Instance{}
	for i, w := range c.Workers {
		st := w.Status()
		byPool[c.initialWorkers[i].Pool] = append(byPool[c.initialWorkers[i].Pool], services.Instance{
			ID: st.ID, Kind: services.KindWorker, Address: w.Address(), Zone: st.Zone, Rack: st.Rack, Slots: st.Slots,
		})
	}
	for pool, list := range byPool {
		if _, err := rows.Register(ctx, list, pool); err != nil {
			return err
		}
	}
	_, err := table.NewStore(client, table.Options{}).Bootstrap(ctx, c.Document, operatorName, "initial table of "+c.Options.Deployment)
	return err
}

func (c *Cluster) startEntries() error {
	var err error
	if c.tokensPath, err = c.writeTokens(); err != nil {
		return err
	}
	for i := range c.Options.Entries {
		listen := settings.Addresses{Callers: "127.0.0.1:0", Peers: "127.0.0.1:0"}
		if c.Options.CallerPort > 0 {
			listen.Callers, listen.Peers = c.addresses(i)
		}
		if err := c.startEntry(fmt.Sprintf("entry-%d", i+1), listen); err != nil {
			return err
		}
	}
	return nil
}

// startEntry adds an entry, which discovers the others through the first one.
func (c *Cluster) startEntry(id string, listen settings.Addresses) error {
	names := zones[c.Options.Deployment]
	cfg := settings.Default()
	cfg.ID, cfg.Zone, cfg.Zones = id, names[len(c.Entries)%len(names)], names
	cfg.Platform, cfg.Tokens = c.platformURL, c.tokensPath
	if c.Options.PlatformURLFor != nil {
		var err error
		if cfg.Platform, err = c.Options.PlatformURLFor(id, c.platformURL); err != nil {
			return err
		}
	}
	cfg.Policies, cfg.Moves = c.Options.Policies, c.Options.Moves
	cfg.Listen = listen
	cfg.Shutdown.BalancerDelay = 0
	if len(c.Entries) > 0 {
		cfg.Peers = []string{c.Entries[0].PeerAddress()}
	}
	options := entry.Options{Log: c.Options.Log, Network: c.Options.Network}
	if c.Options.MovePolicy != nil {
		options.MovePolicy = c.Options.MovePolicy()
	}
	e, err := entry.New(&cfg, options)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	c.mu.Lock()
	c.Entries = append(c.Entries, e)
	c.mu.Unlock()
	c.cancelEntries = append(c.cancelEntries, cancel)
	c.group.Go(func() error { return e.Run(ctx) })
	return nil
}

// tokenFile is the format that package auth reads.
type tokenFile struct {
	Tokens     []auth.Entry `yaml:"tokens"`
	PeerTokens []string     `yaml:"peerTokens"`
}

func (c *Cluster) writeTokens() (string, error) {
	var file tokenFile
	for _, b := range c.Document.Backers {
		c.Tokens[b.Name] = file.newToken(b.Name, auth.RoleBacker)
	}
	c.OperatorToken = file.newToken(operatorName, auth.RoleOperator)
	c.viewerToken = file.newToken(viewerName, auth.RoleViewer)
	peerToken, _ := auth.NewToken("entries", auth.RolePeer)
	file.PeerTokens = []string{peerToken}
	data, err := yaml.Marshal(file)
	if err != nil {
		return "", err
	}
	path := filepath.Join(c.dir, fileTokens)
	return path, os.WriteFile(path, data, 0o600)
}

func (c *Cluster) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, e := range c.Entries {
		for !e.Ready() || len(e.Members()) < len(c.Entries) {
			if sleep.Context(ctx, readyPollInterval) != nil {
				return fmt.Errorf("entries are not ready after %s", startTimeout)
			}
		}
	}
	return nil
}

// Targets returns the caller addresses of the entries.
func (c *Cluster) Targets() []string {
	var list []string
	for _, e := range c.Entries {
		list = append(list, e.CallerAddress())
	}
	return list
}

// Admin returns an operator's client of the administration interface.
func (c *Cluster) Admin() *admin.Client {
	return admin.NewClient(c.Targets(), c.OperatorToken, c.client)
}

// Close stops the entries, the workers and the platform.
func (c *Cluster) Close() {
	for _, cancel := range c.cancelEntries {
		cancel()
	}
	_ = c.group.Wait()
	for _, w := range c.Workers {
		w.Close()
	}
	if c.listener != nil {
		c.listener.Close()
	}
	c.client.CloseIdleConnections()
	if c.removeDir {
		_ = os.RemoveAll(c.dir)
	}
}
