// Package daemon runs one entry process on the users' platform: it follows the operators' configuration, shares the ownership
// of pools with the other daemons and serves callers.
package daemon

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"samphirepoint/boottime"
	"samphirepoint/catalog"
	"samphirepoint/cluster"
	"samphirepoint/engine"
	"samphirepoint/lateness"
	"samphirepoint/observe"
	"samphirepoint/platform"
	"samphirepoint/sleep"
	"samphirepoint/status"
	"samphirepoint/upkeep"
)

const (
	// workerListInterval is the least time between two reads of the list of workers.
	workerListInterval = 250 * time.Millisecond
	// watchInterval is the time between two checks whether the settings file has changed without a signal.
	watchInterval = 2 * time.Second
	// drainPeriod is how long new connections are still served after a request to stop, until the load balancer has noticed.
	drainPeriod = 2500 * time.Millisecond
	// graceReserve is the part of the grace period that is reserved for the exit of the process itself.
	graceReserve = 500 * time.Millisecond
)

// Daemon is one entry process.
type Daemon struct {
	settings *platform.Settings
	log      zerolog.Logger
	store    *platform.Store
	node     *cluster.Node
	waves    *platform.Waves
	lateness *lateness.Monitor
	leaving  atomic.Bool
	// configConfirmedAt is the beginning of the last read that confirmed the configuration, by the clock of package boottime; 0 before the first.
	configConfirmedAt atomic.Int64
	leaveRequested    chan struct{}
}

// New builds a daemon from its settings.
func New(settings *platform.Settings, log zerolog.Logger) *Daemon {
	began := time.Now()
	now := func() time.Duration { return time.Since(began) }
	d := &Daemon{
		settings:       settings,
		log:            log,
		store:          platform.NewStore(settings.Store.Address),
		lateness:       lateness.NewMonitor(log),
		leaveRequested: make(chan struct{}),
	}
	d.waves = &platform.Waves{Store: d.store, Now: now}
	instances := platform.NewInstances(settings.Instances.Address)
	d.node = cluster.NewNode(cluster.Settings{
		Name: settings.Node, Incarnation: incarnation(), Address: settings.PeerAddress(), Zone: settings.Zone, Cores: settings.Cores(),
		Store: d.store, Workers: platform.NewWorkers(), Adviser: platform.NewAdviser(settings.Advice), Roster: &platform.Roster{Store: d.store},
		Options: options(settings), Late: d.lateness.Late, Log: log, Now: now,
		WorkersWithOpenOrders: func(ctx context.Context) ([]string, error) {
			return upkeep.WorkersWithOpenOrders(ctx, d.store, cluster.FleetControllerRole)
		},
		NewFleetController: func(ctx context.Context, token, ver int64) cluster.Term {
			return upkeep.New(ctx, upkeep.Settings{
				Role: cluster.FleetControllerRole, Holder: settings.Node, Token: token, ClaimVer: ver, Store: d.store, Instances: instances,
				Pools: d.node, Waves: d.waves, HandoverDelay: time.Duration(settings.Bounds.LeaseMS) * time.Millisecond, Log: log, Now: now,
			})
		},
	})
	return d
}

func incarnation() string {
	var b [8]byte
	_, _ = rand.Read(b[:]) // crypto/rand.Read doesn't fail.
	return hex.EncodeToString(b[:])
}

// options derives the engine's durations from the platform's bounds.
func options(settings *platform.Settings) engine.Options {
	o := engine.DefaultOptions()
	o.RowBytes = settings.RowBytes()
	if ms := settings.Bounds.HoldMaxMS; ms > 0 {
		o.MaxLease = time.Duration(ms) * time.Millisecond
		o.Lease = min(o.Lease, o.MaxLease)
	}
	if s := settings.Bounds.StatusS; s > 0 {
		o.Retention = time.Duration((s + 30) * float64(time.Second))
	}
	if s := settings.Bounds.FinishS; s > 0 {
		o.CompleteWithin = time.Duration(s * float64(time.Second))
	}
	o.Ejection = settings.HasContract(platform.ContractHealth)
	o.Ranked = settings.HasContract(platform.ContractPressure)
	return o
}

// Run serves until SIGTERM, SIGINT or Leave, then transfers its pools and returns within the grace period. It returns
// immediately when ctx ends.
func (d *Daemon) Run(ctx context.Context) error {
	r := requests{term: make(chan os.Signal, 1), hup: make(chan os.Signal, 1), changed: make(chan struct{}, 1)}
	signal.Notify(r.term, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(r.term)
	signal.Notify(r.hup, syscall.SIGHUP)
	defer signal.Stop(r.hup)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)

	servers, err := d.listen(g)
	if err != nil {
		return err
	}
	d.log.Info().Str("zone", d.settings.Zone).Msg("start")
	g.Go(func() error { return d.lateness.Run(ctx) })
	g.Go(func() error { return d.store.FollowOperator(ctx, d.operator()) })
	g.Go(func() error { return d.node.Run(ctx) })
	g.Go(func() error { return d.node.KeepQuotas(ctx) })
	g.Go(func() error { return d.node.FollowRoster(ctx, workerListInterval) })
	g.Go(func() error { return watchFile(ctx, os.Getenv(platform.SettingsVariable), watchInterval, r.changed) })
	g.Go(func() error {
		defer cancel()
		defer closeServers(servers)
		d.handle(ctx, r, servers)
		return nil
	})
	return g.Wait()
}

// operator returns what is to be done with the rows that the operator writes.
func (d *Daemon) operator() platform.Operator {
	return platform.Operator{
		Apply: d.applyCatalog,
		Rejected: func(err error) {
			observe.Count("configuration.rejected")
			d.log.Error().Err(err).Msg("configuration rejected; the last good one stays in force")
		},
		Wave:      d.waves.Apply,
		Confirmed: func(began time.Duration) { d.configConfirmedAt.Store(int64(began)) },
		Now:       boottime.Now,
	}
}

// applyCatalog puts a version of the configuration in force. It returns false for an older one: what it withdraws or adds is not in force, so that
// the read must not count as a confirmation.
func (d *Daemon) applyCatalog(c *catalog.Catalog) bool {
	inForce := d.node.SetCatalog(c)
	if !inForce {
		d.log.Error().Int64("version", c.Version).Int64("inForce", d.node.Catalog().Version).Msg("configuration ignored: its version is lower than the one in force")
	}
	return inForce
}

// configAge returns the time since the beginning of the last read that confirmed the configuration, suspensions included.
func (d *Daemon) configAge() time.Duration {
	return boottime.Now() - time.Duration(d.configConfirmedAt.Load())
}

// requests are the ways to ask a running daemon for something from outside.
type requests struct {
	term, hup chan os.Signal
	// changed is sent to when the settings file has changed.
	changed chan struct{}
}

// handle reloads the settings when asked to. It returns when ctx ends, or once the daemon has left.
func (d *Daemon) handle(ctx context.Context, r requests, servers []*http.Server) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.hup:
			d.reload()
		case <-r.changed:
			d.reload()
		case <-r.term:
			d.leave(ctx, servers)
			return
		case <-d.leaveRequested:
			d.leave(ctx, servers)
			return
		}
	}
}

// Leave shuts the daemon down as SIGTERM does. It must be called at most once.
func (d *Daemon) Leave() { close(d.leaveRequested) }

func closeServers(servers []*http.Server) {
	for _, s := range servers {
		_ = s.Close()
	}
}

// reload reads the settings file again. Addresses and bounds don't change while a process runs, so a file that is invalid or
// has other values is only logged.
func (d *Daemon) reload() {
	settings, err := platform.LoadSettings(os.Getenv(platform.SettingsVariable))
	switch {
	case err != nil:
		d.log.Warn().Err(err).Msg("failed to reload settings; the current ones stay in force")
	case settings.Node != d.settings.Node || settings.Store.Address != d.settings.Store.Address:
		d.log.Warn().Str("node", settings.Node).Str("store", settings.Store.Address).Msg("settings have another node or store, which takes effect after a restart")
	default:
		d.log.Info().Msg("settings reloaded")
	}
}

// listen starts the daemon's servers on its addresses.
func (d *Daemon) listen(g *errgroup.Group) ([]*http.Server, error) {
	ready := http.NewServeMux()
	ready.HandleFunc("GET /api/ready", d.ready)
	handlers := map[string]http.Handler{
		d.settings.Listen.Front: &platform.Front{
			Jobs: d.node, Log: d.log, Leaving: d.notReady, MaxSpecBytes: d.settings.RowBytes(),
			Access: d.settings.AccessLimits(), ConfigAge: d.configAge,
		},
		d.settings.Listen.Ready:     ready,
		d.settings.PeerAddress():    d.node.PeerHandler(),
		d.settings.MetricsAddress(): d.diagnosticsHandler(),
	}
	var out []*http.Server
	for address, h := range handlers {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return nil, err
		}
		s := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 60 * time.Second}
		out = append(out, s)
		g.Go(func() error {
			if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
				return err
			}
			return nil
		})
	}
	return out, nil
}

// diagnosticsHandler serves metrics as text, and the state of the fleet under /status/.
func (d *Daemon) diagnosticsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", observe.Handler())
	mux.Handle("/status/", status.Handler(d.node, d.waves))
	return mux
}

// notReady reports whether callers should be served by another daemon: while this one is leaving or isolated, or may not accept their keys.
func (d *Daemon) notReady() bool { return d.leaving.Load() || d.node.Isolated() || !d.acceptsKeys() }

// acceptsKeys reports whether the configuration is new enough to accept keys, or needs none.
func (d *Daemon) acceptsKeys() bool {
	c := d.node.Catalog()
	return c == nil || !c.HasKeys() || d.settings.AccessLimits().Current(d.configAge())
}

// ready is the health check of the load balancer: it reports whether to send new connections.
func (d *Daemon) ready(w http.ResponseWriter, _ *http.Request) {
	if d.notReady() || d.node.Catalog() == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// leave transfers the pools, keeps serving until the drain period has passed, and shuts the servers down.
func (d *Daemon) leave(ctx context.Context, servers []*http.Server) {
	d.log.Info().Msg("leaving")
	d.leaving.Store(true)
	until := time.Now().Add(d.settings.Grace() - graceReserve)
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	began := time.Now()
	d.node.Leave(ctx)
	_ = sleep.Context(ctx, time.Until(began.Add(drainPeriod)))
	for _, s := range servers {
		_ = s.Shutdown(ctx)
	}
	d.log.Info().Msg("stop")
}
