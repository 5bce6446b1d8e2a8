package dev

import (
	"context"
	"encoding/json"
	"fmt"
	"net/url"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"samphirepoint/admin"
	"samphirepoint/checker"
	"samphirepoint/entry"
	"samphirepoint/filter"
	"samphirepoint/fleet"
	"samphirepoint/instance"
	"samphirepoint/lease"
	"samphirepoint/load"
	"samphirepoint/settings"
	"samphirepoint/standin/faultproxy"
	"samphirepoint/standin/memnet"
	"samphirepoint/standin/platformd"
	"samphirepoint/standin/workerd"
	"samphirepoint/table"
	"samphirepoint/wave"
)

const (
	// loadSegment is the length of one run of the load generator: long enough for the demand of each queue to spike once.
	loadSegment = 6 * time.Second
	// conditionTimeout bounds the wait for a condition of the fleet; each test takes far less.
	conditionTimeout = 80 * time.Second
	// maxParallelClusters bounds the clusters that run at once, so that the tests use less than half of the machine.
	maxParallelClusters = 4
)

var clusterSlots = make(chan struct{}, maxParallelClusters)

// liveCluster is a deployment under load into which a test injects faults.
type liveCluster struct {
	*Cluster
	gomega.Gomega
	t       *testing.T
	ctx     context.Context
	network *memnet.Network

	proxies          map[string]*faultproxy.Proxy
	cancel, stopLoad context.CancelFunc
	loads            sync.WaitGroup
	records          []load.Record
	shutdowns        []checker.Shutdown
	// stoppedWorkers are workers that were closed or replaced; their journals belong to the evidence.
	stoppedWorkers []*workerd.Server
}

// liveTable returns a table with the queues of Inzira and backers whose quota fits every pool.
func liveTable(maxUnavailable int) *table.Document {
	doc := &table.Document{}
	for i, name := range []string{"water-board", "parcel-union", "bus-company"} {
		doc.Backers = append(doc.Backers, table.Backer{Name: name, Weight: float64(3 - i), NominalQuota: 40, BorrowingLimit: 64, MaxUnavailable: maxUnavailable})
	}
	for _, name := range []string{"pumps", "deliveries", "slips", "routes"} {
		doc.Pools = append(doc.Pools, table.Pool{Name: name})
		doc.Queues = append(doc.Queues, table.Queue{Name: name, Pools: []string{name, "ledger-common"}, MaxLength: 5000})
	}
	doc.Pools = append(doc.Pools, table.Pool{Name: "ledger-common", Spare: true})
	return doc
}

// shortWork returns a workload that ends soon; some of it runs longer than 1 s and some is non-idempotent.
func shortWork() load.Deployment {
	mix := []load.Kind{
		{Name: "check", Share: 0.8, Median: 60 * time.Millisecond, Sigma: 0.4, Deadline: 20 * time.Second, AnswerBytes: 300},
		{Name: "delivery", Share: 0.17, Median: 80 * time.Millisecond, Sigma: 0.4, NonIdempotent: true, Deadline: 20 * time.Second},
		{Name: "audit", Share: 0.03, Median: 1200 * time.Millisecond, Sigma: 0.2, Long: true, Deadline: 30 * time.Second},
	}
	d := load.Deployment{Name: "live", OneWay: time.Millisecond}
	for _, q := range []string{"pumps", "deliveries", "slips", "routes"} {
		d.Queues = append(d.Queues, load.Queue{Name: q, Share: 0.25, Mix: mix})
	}
	return d
}

func workersInEachPool(n int) map[string]int {
	return map[string]int{"pumps": n, "deliveries": n, "slips": n, "routes": n, "ledger-common": n}
}

// runLive runs a test of a whole deployment in simulated time, so that the result does not depend on the load of the
// machine.
func runLive(t *testing.T, o Options, test func(l *liveCluster)) {
	t.Parallel()
	clusterSlots <- struct{}{}
	defer func() { <-clusterSlots }()
	metrics.NewMeter().Stop() // starts the library's own goroutine, which never ends, outside the synctest bubble
	synctest.Test(t, func(t *testing.T) {
		l := startLiveCluster(t, o)
		defer l.close()
		test(l)
	})
}

// startLiveCluster starts a deployment, in which each entry reaches the platform through its own proxy, and a steady load.
func startLiveCluster(t *testing.T, o Options) *liveCluster {
	t.Helper()
	l := &liveCluster{Gomega: gomega.NewWithT(t), t: t, network: memnet.New(), proxies: map[string]*faultproxy.Proxy{}}
	l.Gomega = gomega.NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	l.ctx, l.cancel = ctx, cancel
	o.Network = l.network
	o.Deployment = "inzira"
	if o.Entries == 0 {
		o.Entries = 3
	}
	if o.Document == nil {
		o.Document = liveTable(2)
	}
	if o.WorkersPerPool == nil {
		o.WorkersPerPool = workersInEachPool(4)
	}
	if o.Moves.Policy == "" {
		o.Moves.Policy, o.Moves.BufferCost, o.Moves.MoveCost, o.Moves.BlockingCost = "fixed", 1, 1, 1
	}
	o.Log = zerolog.Nop()
	if path := os.Getenv("LIVE_LOG"); path != "" {
		f, err := os.Create(path + "-" + t.Name() + ".log")
		l.Expect(err).NotTo(gomega.HaveOccurred())
		t.Cleanup(func() { f.Close() })
		o.Log = zerolog.New(zerolog.SyncWriter(f)).With().Timestamp().Logger()
	}
	o.PlatformURLFor = l.proxyFor
	c, err := Start(ctx, o)
	l.Expect(err).NotTo(gomega.HaveOccurred())
	l.Cluster = c
	go c.sampleVersions(ctx)
	if o.Rate > 0 {
		loadCtx, stop := context.WithCancel(ctx)
		l.stopLoad = stop
		l.loads.Add(1)
		go l.runLoadSegments(loadCtx, o.Rate)
	}
	return l
}

func (l *liveCluster) proxyFor(id, base string) (string, error) {
	u, err := url.Parse(base)
	if err != nil {
		return "", err
	}
	p, err := faultproxy.NewOn(l.network, "127.0.0.1:0", u.Host)
	if err != nil {
		return "", err
	}
	l.proxies[id] = p
	return "http://" + p.Address(), nil
}

func (l *liveCluster) close() {
	for _, p := range l.proxies {
		p.Set(faultproxy.Faults{})
	}
	l.Platform.SetFaults(platformd.Faults{})
	if l.stopLoad != nil {
		l.stopLoad()
	}
	l.loads.Wait()
	l.cancel()
	l.Close()
	for _, p := range l.proxies {
		p.Close()
	}
}

// runLoadSegments starts a load segment every loadSegment; each ends with its last response.
func (l *liveCluster) runLoadSegments(ctx context.Context, rate float64) {
	defer l.loads.Done()
	ticker := time.NewTicker(loadSegment)
	defer ticker.Stop()
	for seed := l.Options.Seed + 1; ; seed++ {
		l.loads.Add(1)
		go func() {
			defer l.loads.Done()
			r, err := load.Run(l.ctx, load.Options{Targets: l.targets(), Deployment: shortWork(), Rate: rate, Duration: loadSegment, Seed: seed, Tokens: l.Tokens, Network: l.network})
			if err != nil {
				l.t.Error(err)
				return
			}
			l.mu.Lock()
			defer l.mu.Unlock()
			l.records = append(l.records, r.Records...)
		}()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// targets returns the caller addresses of the ready entries, among which a load balancer would choose.
func (l *liveCluster) targets() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []string
	for _, e := range l.Entries {
		if e.Ready() {
			list = append(list, e.CallerAddress())
		}
	}
	return list
}

func (l *liveCluster) admin() *admin.Client {
	return admin.NewClient(l.targets(), l.OperatorToken, l.client)
}

func (l *liveCluster) fleetAdmin() admin.FleetClient { return admin.FleetClient{Caller: l.admin()} }

// waitUntil polls a condition and fails the test if it does not hold within limit.
func (l *liveCluster) waitUntil(condition string, limit time.Duration, ok func() bool) {
	l.t.Helper()
	end := time.Now().Add(limit)
	for !ok() {
		if time.Now().After(end) {
			l.logRows()
			l.t.Fatalf("timed out after %s waiting until %s", limit, condition)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// logRows logs the rows that show what the fleet waits for, and every instance that is not serving.
func (l *liveCluster) logRows() {
	for _, prefix := range []string{"leases/", "waves/", "moves/", instance.PrefixDisruptions} {
		for _, row := range l.Platform.Rows(prefix) {
			l.t.Logf("%s v%d %s", row.Key, row.Version, row.Value)
		}
	}
	for id, in := range l.instanceRows() {
		if in.State != instance.Serving {
			l.t.Logf("%s %+v", id, in)
		}
	}
}

// instanceRows reads the instance rows from the platform directly, unaffected by injected faults.
func (l *liveCluster) instanceRows() map[string]instance.Instance {
	rows := map[string]instance.Instance{}
	for _, row := range l.Platform.Rows(instance.Prefix) {
		var in instance.Instance
		l.Expect(json.Unmarshal(row.Value, &in)).To(gomega.Succeed())
		rows[strings.TrimPrefix(row.Key, instance.Prefix)] = in
	}
	return rows
}

func (l *liveCluster) instanceRow(id string) instance.Instance { return l.instanceRows()[id] }

func (l *liveCluster) waveRow(id string) wave.Wave {
	var w wave.Wave
	if row := l.Platform.Row(wave.Prefix + id); row.Version > 0 {
		l.Expect(json.Unmarshal(row.Value, &w)).To(gomega.Succeed())
	}
	return w
}

func (l *liveCluster) moveRows() []fleet.Move {
	var moves []fleet.Move
	for _, row := range l.Platform.Rows(fleet.PrefixMoves) {
		var m fleet.Move
		l.Expect(json.Unmarshal(row.Value, &m)).To(gomega.Succeed())
		moves = append(moves, m)
	}
	return moves
}

// leaseHolder returns the entry that holds the fleet lease according to its row, and the fencing token.
func (l *liveCluster) leaseHolder() (string, int64) {
	var r lease.Record
	if row := l.Platform.Row(lease.Prefix + fleet.LeaseName); row.Version > 0 {
		l.Expect(json.Unmarshal(row.Value, &r)).To(gomega.Succeed())
	}
	id, _ := filter.SplitOwner(r.Holder)
	return id, r.Token
}

// startWave plans and starts a wave through the administration interface, as the command does.
func (l *liveCluster) startWave(body admin.PlanBody) {
	l.t.Helper()
	client := l.fleetAdmin()
	_, err := client.Plan(l.ctx, body)
	l.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = client.ChangeWave(l.ctx, body.ID, fleet.ActionStart)
	l.Expect(err).NotTo(gomega.HaveOccurred())
}

// waitForWave waits until the wave is done and returns its row.
func (l *liveCluster) waitForWave(id string) wave.Wave {
	l.t.Helper()
	l.waitUntil("wave "+id+" is done", conditionTimeout, func() bool { return l.waveRow(id).Status == wave.Done })
	return l.waveRow(id)
}

func (l *liveCluster) expectMaintained(w wave.Wave) {
	l.t.Helper()
	for _, id := range w.Instances() {
		l.Expect(w.Results[id]).To(gomega.Equal(wave.Maintained), id)
	}
}

func (l *liveCluster) worker(id string) *workerd.Server {
	for _, w := range l.Workers {
		if w.Status().ID == id {
			return w
		}
	}
	l.t.Fatalf("no worker %s", id)
	return nil
}

// reboots counts the reboots of a worker.
func (l *liveCluster) reboots(id string) int {
	n := 0
	for _, w := range append(slices.Clone(l.Workers), l.stoppedWorkers...) {
		if w.Status().ID != id {
			continue
		}
		for _, e := range w.Journal(0) {
			if e.Kind == workerd.Reboot {
				n++
			}
		}
	}
	return n
}

// addWorker starts a worker that registers with the platform.
func (l *liveCluster) addWorker(id, zone, rack string) *workerd.Server {
	w := workerd.New(workerd.Options{ID: id, Zone: zone, Rack: rack, Platform: l.platformURL, Network: l.network})
	l.Expect(w.Start("127.0.0.1:0")).To(gomega.Succeed())
	l.Workers = append(l.Workers, w)
	return w
}

// killWorker stops a worker abruptly, as a power failure does.
func (l *liveCluster) killWorker(id string) {
	w := l.worker(id)
	w.Close()
	l.Workers = slices.DeleteFunc(l.Workers, func(o *workerd.Server) bool { return o == w })
	l.stoppedWorkers = append(l.stoppedWorkers, w)
}

// replaceEntries starts as many new entries as there are and then stops all old ones at once.
func (l *liveCluster) replaceEntries(generation string) {
	old, stops := slices.Clone(l.Entries), slices.Clone(l.cancelEntries)
	for i := range old {
		l.Expect(l.startEntry(fmt.Sprintf("entry-%s%d", generation, i+1), settings.Addresses{Callers: "127.0.0.1:0", Peers: "127.0.0.1:0"})).To(gomega.Succeed())
	}
	replacements := l.Entries[len(old):]
	l.waitUntil("new entries are ready", 20*time.Second, func() bool {
		return !slices.ContainsFunc(replacements, func(e *entry.Entry) bool { return !e.Ready() })
	})
	begin := time.Now()
	for i, e := range old {
		stops[i]()
		l.shutdowns = append(l.shutdowns, checker.Shutdown{Entry: e.CallerAddress(), Begin: begin, End: begin.Add(time.Minute)})
	}
	l.mu.Lock()
	l.Entries = replacements
	l.mu.Unlock()
	l.cancelEntries = l.cancelEntries[len(old):]
}
