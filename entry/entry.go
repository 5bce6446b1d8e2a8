// Package entry implements the process between callers and backend servers. It combines the packages
// for decisions, state and transport:
//
//   - the filters process each request in a goroutine of its own;
//   - the control goroutine combines configuration, fleet and members into one snapshot for the scheduler;
//   - the scheduler's goroutine owns the queues and slots of the pools that this entry owns;
//   - gossip, configuration, fleet view, fleet controller, claims and jobs run in goroutines of their own.
package entry

import (
	"context"
	"crypto/tls"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"samphirepoint/auth"
	"samphirepoint/claim"
	"samphirepoint/configsync"
	"samphirepoint/dispatch"
	"samphirepoint/fairqueue"
	"samphirepoint/filter"
	"samphirepoint/fleet"
	"samphirepoint/forward"
	"samphirepoint/job"
	"samphirepoint/lease"
	"samphirepoint/membership"
	"samphirepoint/mover"
	"samphirepoint/network"
	"samphirepoint/peer"
	"samphirepoint/placement"
	"samphirepoint/services"
	"samphirepoint/settings"
	"samphirepoint/table"
)

const (
	// platformTimeout bounds one call to the platform.
	platformTimeout = 2 * time.Second
	// idleConnections is the number of idle connections per entry that are kept for reuse.
	idleConnections = 64
	// readHeaderTimeout closes connections whose client sends no complete request header.
	readHeaderTimeout = 10 * time.Second
	// idleTimeout closes idle connections of callers and peers.
	idleTimeout = 2 * time.Minute
)

// Entry is one entry process.
type Entry struct {
	cfg      *settings.Settings
	log      zerolog.Logger
	started  time.Time
	metrics  metrics.Registry
	stats    *stats
	verifier auth.Verifier
	tokens   *auth.Store
	traffic  *peer.Traffic

	platform  *services.Client
	gossip    *peer.Gossip
	config    *configsync.Syncer
	fleetView *fleet.View
	scheduler *dispatch.Scheduler
	claims    *claim.Store
	jobStore  *job.Store
	jobs      *job.Manager
	forwarder *forward.Client
	tracker   *tracker
	retries   *retries
	control   *control
	requests  filter.Chain
	jobChain  filter.Chain
	// local serves requests that this entry forwards to itself for another of its pools.
	local filter.Chain
	pings *pings

	lease      *lease.Lease
	controller *fleet.Controller
	demands    *demandCollector
	// appliedFleet is the fleet version that the scheduler uses.
	appliedFleet atomic.Int64
	// instanceList is the last instance list read from the platform.
	instanceList atomic.Pointer[[]services.Instance]

	network                      network.Network
	callerListener, peerListener net.Listener
	callerTLS, peerTLS           *tls.Config
	// leaving is set when the entry stops being ready, draining when it rejects new work.
	leaving, draining atomic.Bool
	// forwarded counts the requests of other entries whose response is not written yet.
	forwarded atomic.Int64
}

// Options are dependencies that a process or a test may replace.
type Options struct {
	Log zerolog.Logger
	// Platform is the HTTP client for the platform; nil creates one.
	Platform *http.Client
	// MovePolicy decides on moves of instances; nil uses the policy of the settings.
	MovePolicy mover.Policy
	// Network opens all listeners and connections; nil uses TCP.
	Network network.Network
}

// New binds the listeners and creates the components; Run starts them.
func New(cfg *settings.Settings, o Options) (*Entry, error) {
	e := &Entry{
		cfg:     cfg,
		log:     o.Log.With().Str("entry", cfg.ID).Logger(),
		started: time.Now(),
		metrics: metrics.NewRegistry(),
		tracker: newTracker(),
		retries: newRetries(),
		network: o.Network,
	}
	e.stats = newStats(e.metrics)
	e.traffic = peer.NewTraffic(e.metrics)
	if err := e.loadCredentials(); err != nil {
		return nil, err
	}
	if err := e.listen(); err != nil {
		return nil, err
	}
	e.platform = services.NewClient(cfg.Platform, e.platformHTTP(o.Platform))
	e.buildPeers()
	e.buildRequestPath()
	e.buildFleet(o.MovePolicy)
	return e, nil
}

func (e *Entry) listen() error {
	var err error
	if e.callerListener, err = network.OrDefault(e.network).Listen(e.cfg.Listen.Callers); err != nil {
		return fmt.Errorf("listen.callers: %w", err)
	}
	if e.peerListener, err = network.OrDefault(e.network).Listen(e.cfg.Listen.Peers); err != nil {
		e.callerListener.Close()
		return fmt.Errorf("listen.peers: %w", err)
	}
	return nil
}

// platformHTTP returns an HTTP client that counts the traffic to the platform as control traffic, or the given client.
func (e *Entry) platformHTTP(given *http.Client) *http.Client {
	if given != nil {
		return given
	}
	return &http.Client{
		Timeout: platformTimeout,
		Transport: &http.Transport{
			DialContext:         e.traffic.Dial(network.Dialer(e.network, time.Second, 15*time.Second)),
			MaxIdleConnsPerHost: 8,
			IdleConnTimeout:     30 * time.Second,
		},
	}
}

// CallerAddress returns the address for callers, operators, health checks and metrics.
func (e *Entry) CallerAddress() string {
	return advertised(e.cfg.Advertise.Callers, e.callerListener)
}

// PeerAddress returns the address for other entries.
func (e *Entry) PeerAddress() string { return advertised(e.cfg.Advertise.Peers, e.peerListener) }

func advertised(configured string, ln net.Listener) string {
	if configured != "" {
		return configured
	}
	return ln.Addr().String()
}

// buildPeers creates gossip, configuration and fleet view, which refer to each other.
func (e *Entry) buildPeers() {
	t := e.cfg.Timings
	e.gossip = peer.New(peer.Config{
		Self: membership.Member{
			ID: e.cfg.ID, Address: e.PeerAddress(), Zone: e.cfg.Zone, Region: e.cfg.Region, Incarnation: e.started.UnixMilli(),
		},
		Seeds:       e.cfg.Peers,
		Interval:    t.GossipInterval,
		PingTimeout: t.PingTimeout,
		FreshFor:    t.FreshFor,
		Membership:  membership.Options{SuspectAfter: t.SuspectAfter, ForgetAfter: t.ForgetAfter},
		Token:       e.tokens.PeerToken,
		Verifier:    e.verifier,
		TLS:         e.peerClientTLS(),
		Network:     e.network,
		Traffic:     e.traffic,
		Log:         e.log,
	})
	e.fleetView = fleet.NewView(e.platform, e.gossip.FetchFleet)
	e.config = e.newSyncer()
	e.gossip.Bind(peer.Hooks{
		Document:     e.config.Snapshot,
		Install:      func(d *table.Document) int64 { return e.config.Install(d) },
		Fleet:        e.fleetView.Snapshot,
		AppliedFleet: e.appliedFleet.Load,
	})
}

func (e *Entry) newSyncer() *configsync.Syncer {
	t := e.cfg.Timings
	return configsync.New(configsync.Config{
		Table:        e.platform,
		Peers:        e.gossip,
		PollInterval: t.PollInterval,
		FreshFor:     t.FreshFor,
		BackoffMin:   t.BackoffMin,
		BackoffMax:   t.BackoffMax,
		Log:          e.log,
	})
}

// buildRequestPath creates scheduler, claims, jobs and the filter chains.
func (e *Entry) buildRequestPath() {
	owner := e.processName()
	e.scheduler = dispatch.New(dispatch.Config{Zone: e.cfg.Zone, Policies: e.policies(), Network: e.network, Log: e.log})
	e.claims = claim.NewStore(e.platform, e.platform.Objects(), owner)
	e.jobStore = &job.Store{Table: e.platform, Objects: e.platform.Objects(), Now: time.Now}
	e.forwarder = forward.NewClient(peers{e}, &http.Transport{
		DialContext:         network.Dialer(e.network, 400*time.Millisecond, 15*time.Second),
		TLSClientConfig:     e.peerClientTLS(),
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
	})
	e.jobs = job.NewManager(job.Config{Store: e.jobStore, Slots: e.scheduler, Cluster: cluster{e}, Owner: owner, Network: e.network, Log: e.log})
	e.control = newControl(e)
	e.pings = newPings(e.gossip.Probe)
	router := router{e}
	route := filter.Route{Router: router, Forwarder: trackedForwarder{e}}
	queue := filter.Queue{Slots: e.scheduler, Route: route, Router: router, Forwarder: trackedForwarder{e}}
	admission := filter.Admission{Verifier: e.verifier, State: e, MaxBodyBytes: e.cfg.Limits.MaxBodyBytes}
	identification := filter.Identification{EntryID: e.cfg.ID, Track: e.tracker.track}
	deduplication := filter.NewDeduplication()
	claims := filter.Claims{Store: e.claims, Holders: router, Forwarder: trackedForwarder{e}, InFlight: deduplication}
	send := filter.NewDispatch(e.cfg.ID, queue, e.retries, e.gossip)
	e.requests = filter.Chain{admission, identification, deduplication, route, queue, claims, send}
	e.local = filter.Chain{queue, claims, send}
	identification.Job = true
	e.jobChain = filter.Chain{admission, identification, filter.AcceptJob{Store: e.jobStore, Notify: e.notifyOwner}}
}

// processName returns the name of this process in claims and job rows.
func (e *Entry) processName() string { return filter.OwnerName(e.cfg.ID, e.started) }

func (e *Entry) policies() dispatch.Policies {
	p := dispatch.Policies{
		Queue: func() fairqueue.Policy { return fairqueue.NewWeighted() },
		Placement: func() placement.Policy {
			return placement.LeastLoaded{Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
		},
	}
	if e.cfg.Policies.Queue == "fifo" {
		p.Queue = func() fairqueue.Policy { return fairqueue.NewFIFO() }
	}
	if e.cfg.Policies.Placement == "random" {
		p.Placement = func() placement.Policy {
			return placement.Random{Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
		}
	}
	return p
}

// Document implements filter.Readiness.
func (e *Entry) Document() *table.Document { return e.config.Snapshot() }

// Fresh implements filter.Readiness.
func (e *Entry) Fresh(now time.Time) bool { return e.config.Fresh(now) }

// Draining implements filter.Readiness.
func (e *Entry) Draining() bool { return e.draining.Load() }

// Ready reports whether the load balancer should send callers to this entry.
func (e *Entry) Ready() bool { return e.notReadyReason() == "" }

// notReadyReason returns why the entry cannot accept work, or an empty string if it can.
func (e *Entry) notReadyReason() string {
	switch {
	case e.leaving.Load():
		return "entry is shutting down"
	case e.Document() == nil:
		return "no accepted table has been read yet"
	case e.fleetView.Snapshot() == nil:
		return "the fleet has not been read yet"
	case !e.Fresh(time.Now()):
		return "entry has contact with neither the table nor a majority of the entries"
	}
	return ""
}

// Run serves until ctx ends and then shuts down gracefully: the entry reports not ready, the load balancer gets time to
// react, the pools are transferred to other entries, and requests in flight end before Run returns.
func (e *Entry) Run(ctx context.Context) error {
	callers := e.server(e.callerMux(), e.callerTLS)
	peers := e.server(e.peerMux(), e.peerTLS)
	peers.ConnContext = peer.ConnContext
	background, stopBackground := context.WithCancel(context.WithoutCancel(ctx))
	defer stopBackground()
	jobsCtx, stopJobs := context.WithCancel(background)
	defer stopJobs()
	group, groupCtx := errgroup.WithContext(background)
	group.Go(func() error { return serve(callers, e.callerListener, e.callerTLS) })
	group.Go(func() error { return serve(peers, e.traffic.Listener(e.peerListener), e.peerTLS) })
	e.runComponents(groupCtx, group)
	group.Go(func() error { return e.jobs.Run(jobsCtx) })
	group.Go(func() error {
		select {
		case <-ctx.Done():
			err := e.leave(callers, peers, stopJobs)
			stopBackground()
			return err
		case <-groupCtx.Done():
			callers.Close()
			peers.Close()
			return nil
		}
	})
	e.log.Info().Str("callers", e.CallerAddress()).Str("peers", e.PeerAddress()).Msg("entry started")
	return group.Wait()
}

// runComponents starts the components that run in the background.
func (e *Entry) runComponents(ctx context.Context, group *errgroup.Group) {
	for _, run := range []func(context.Context) error{
		e.scheduler.Run,
		e.gossip.Run,
		e.config.Run,
		e.fleetView.Run,
		e.control.Run,
		e.controller.Run,
		e.pollInstanceList,
		e.pollLeavingWorkers,
		e.register,
		e.sweep,
		func(ctx context.Context) error { e.claims.Run(ctx); return nil },
		func(ctx context.Context) error { e.tokens.Watch(ctx, tokenReloadInterval, e.logTokenError); return nil },
	} {
		group.Go(func() error {
			if err := run(ctx); err != nil && ctx.Err() == nil {
				return err
			}
			return nil
		})
	}
}

func (e *Entry) server(h http.Handler, tlsConfig *tls.Config) *http.Server {
	return &http.Server{
		Handler:           h,
		TLSConfig:         tlsConfig,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    int(e.cfg.Limits.MaxHeaderBytes),
	}
}

func serve(s *http.Server, ln net.Listener, tlsConfig *tls.Config) error {
	var err error
	if tlsConfig != nil {
		err = s.ServeTLS(ln, "", "")
	} else {
		err = s.Serve(ln)
	}
	if err == http.ErrServerClosed {
		return nil
	}
	return err
}

// Members returns the ids of the entries that are alive in this entry's view, including itself.
func (e *Entry) Members() []string {
	var ids []string
	for _, m := range e.gossip.Members().Alive() {
		ids = append(ids, m.ID)
	}
	return ids
}

// ConfigVersion returns the version of the table in force at this entry.
func (e *Entry) ConfigVersion() int64 { return e.config.Version() }
