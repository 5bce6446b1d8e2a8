// Package daemon runs one entry process on the users' platform: it follows the operators' configuration, takes its
// part in the ownership of pools and answers callers.
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

	"samphirepoint/cluster"
	"samphirepoint/engine"
	"samphirepoint/observe"
	"samphirepoint/platform"
	"samphirepoint/sleep"
	"samphirepoint/status"
	"samphirepoint/upkeep"
)

const (
	// rosterInterval is the time between two looks at the list of workers.
	rosterInterval = 250 * time.Millisecond
	// settingsInterval is the time between two looks whether the settings file has changed without a signal.
	settingsInterval = 2 * time.Second
	// goodbye is how long new connections are still served after an order to stop, until the balancer has noticed.
	goodbye = 2500 * time.Millisecond
	// graceReserve is kept from the grace for the end of the process itself.
	graceReserve = 500 * time.Millisecond
)

// Daemon is one entry process.
type Daemon struct {
	set     *platform.Settings
	log     zerolog.Logger
	store   *platform.Store
	node    *cluster.Node
	waves   *platform.Waves
	leaving atomic.Bool
	asked   chan struct{}
}

// New builds a daemon from its settings.
func New(set *platform.Settings, log zerolog.Logger) *Daemon {
	began := time.Now()
	now := func() time.Duration { return time.Since(began) }
	d := &Daemon{set: set, log: log, store: platform.NewStore(set.Store.Address), asked: make(chan struct{})}
	d.waves = &platform.Waves{Store: d.store, Now: now}
	instances := platform.NewInstances(set.Instances.Address)
	d.node = cluster.NewNode(cluster.Settings{
		Name: set.Node, Incarnation: incarnation(), Address: set.PeerAddress(), Zone: set.Zone,
		Store: d.store, Workers: platform.NewWorkers(), Adviser: platform.NewAdviser(set.Advice), Roster: d.store,
		Options: options(set), Log: log, Now: now,
		WorkersWithOpenOrders: func(ctx context.Context) ([]string, error) {
			return upkeep.WorkersWithOpenOrders(ctx, d.store, cluster.FleetControllerRole)
		},
		NewFleetController: func(ctx context.Context, token, ver int64) cluster.Term {
			return upkeep.New(ctx, upkeep.Settings{
				Role: cluster.FleetControllerRole, Holder: set.Node, Token: token, ClaimVer: ver, Store: d.store, Instances: instances,
				Pools: d.node, Waves: d.waves, HandoverDelay: time.Duration(set.Bounds.LeaseMS) * time.Millisecond, Log: log, Now: now,
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

// options derives the engine's lengths from the platform's bounds.
func options(set *platform.Settings) engine.Options {
	o := engine.DefaultOptions()
	if ms := set.Bounds.HoldMaxMS; ms > 0 {
		o.MaxLease = time.Duration(ms) * time.Millisecond
		o.Lease = min(o.Lease, o.MaxLease)
	}
	if s := set.Bounds.StatusS; s > 0 {
		o.Retention = time.Duration((s + 30) * float64(time.Second))
	}
	return o
}

// Run serves until SIGTERM or Leave, then hands over and ends within the grace. It ends at once with ctx.
func (d *Daemon) Run(ctx context.Context) error {
	terms := make(chan os.Signal, 1)
	signal.Notify(terms, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(terms)
	hups := make(chan os.Signal, 1)
	signal.Notify(hups, syscall.SIGHUP)
	defer signal.Stop(hups)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)

	servers, err := d.listen(g)
	if err != nil {
		return err
	}
	d.log.Info().Str("zone", d.set.Zone).Msg("start")
	g.Go(func() error { return d.store.FollowOperator(ctx, d.node.SetCatalog, d.waves.Apply) })
	g.Go(func() error { return d.node.Run(ctx) })
	g.Go(func() error { return d.node.FollowRoster(ctx, rosterInterval) })
	changed := make(chan struct{}, 1)
	g.Go(func() error { return watchFile(ctx, os.Getenv(platform.SettingsVariable), settingsInterval, changed) })
	g.Go(func() error {
		defer cancel()
		defer closeAll(servers)
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-hups:
				d.reload()
			case <-changed:
				d.reload()
			case <-terms:
				d.leave(ctx, servers)
				return nil
			case <-d.asked:
				d.leave(ctx, servers)
				return nil
			}
		}
	})
	return g.Wait()
}

// Leave makes Run end as SIGTERM does.
func (d *Daemon) Leave() { close(d.asked) }

func closeAll(servers []*http.Server) {
	for _, s := range servers {
		_ = s.Close()
	}
}

// reload reads the settings file again. Nothing that it says of addresses and bounds changes while a process runs, so a file
// that can't be used, or says something else, is reported only.
func (d *Daemon) reload() {
	set, err := platform.LoadSettings(os.Getenv(platform.SettingsVariable))
	switch {
	case err != nil:
		d.log.Warn().Err(err).Msg("settings not read again, the former ones stay in force")
	case set.Node != d.set.Node || set.Store.Address != d.set.Store.Address:
		d.log.Warn().Str("node", set.Node).Str("store", set.Store.Address).Msg("settings name another node or store; in force after a restart")
	default:
		d.log.Info().Msg("settings read again")
	}
}

// listen opens the daemon's addresses.
func (d *Daemon) listen(g *errgroup.Group) ([]*http.Server, error) {
	front := &platform.Front{Jobs: d.node, Log: d.log, Leaving: d.unready}
	ready := http.NewServeMux()
	ready.HandleFunc("GET /api/ready", d.ready)
	var out []*http.Server
	for address, h := range map[string]http.Handler{d.set.Listen.Front: front, d.set.Listen.Ready: ready, d.set.PeerAddress(): d.node.PeerHandler(), d.set.MetricsAddress(): d.insight()} {
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

// insight serves metrics as text, and the state of the fleet below /status/.
func (d *Daemon) insight() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", observe.Handler())
	mux.Handle("/status/", status.Handler(d.node, d.waves))
	return mux
}

// unready reports whether callers are better served by another daemon.
func (d *Daemon) unready() bool { return d.leaving.Load() || d.node.Isolated() }

// ready says whether the balancer may send new connections.
func (d *Daemon) ready(w http.ResponseWriter, _ *http.Request) {
	if d.unready() || d.node.Catalog() == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// leave hands the pools over, serves what still comes for a while, and closes.
func (d *Daemon) leave(ctx context.Context, servers []*http.Server) {
	d.log.Info().Msg("leaving")
	d.leaving.Store(true)
	until := time.Now().Add(d.set.Grace() - graceReserve)
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	began := time.Now()
	d.node.Leave(ctx)
	_ = sleep.Context(ctx, time.Until(began.Add(goodbye)))
	for _, s := range servers {
		_ = s.Shutdown(ctx)
	}
	d.log.Info().Msg("stop")
}
