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
	// segment of the load: long enough for a turn of all queues' surges.
	segment = 6 * time.Second
	// patience bounds the wait for a condition of the fleet side; each test takes far less.
	patience = 80 * time.Second
	// clusters run at once, so that the tests use under half of the machine.
	clusters = 4
)

var running = make(chan struct{}, clusters)

// live is a deployment under load with faults.
type live struct {
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
	// retired are workers that were closed or replaced; their journals count.
	retired []*workerd.Server
}

// liveTable has the queues of Inzira and backers with room for every pool.
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

// shortWork has some work beyond 1 s and some that must not run twice, and ends soon.
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

func workers(each int) map[string]int {
	return map[string]int{"pumps": each, "deliveries": each, "slips": each, "routes": each, "ledger-common": each}
}

// runLive plays a test of a whole deployment in simulated time, so that its verdict does not hang on the load of the
// machine.
func runLive(t *testing.T, o Options, play func(l *live)) {
	t.Parallel()
	running <- struct{}{}
	defer func() { <-running }()
	metrics.NewMeter().Stop() // starts the library's own goroutine, which never ends, outside the simulated time
	synctest.Test(t, func(t *testing.T) {
		l := startLive(t, o)
		defer l.close()
		play(l)
	})
}

// startLive starts a deployment whose entries reach the platform through a proxy each, and a steady load.
func startLive(t *testing.T, o Options) *live {
	t.Helper()
	l := &live{Gomega: gomega.NewWithT(t), t: t, network: memnet.New(), proxies: map[string]*faultproxy.Proxy{}}
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
	if o.Workers == nil {
		o.Workers = workers(4)
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
	o.PlatformOf = l.platformOf
	c, err := Start(ctx, o)
	l.Expect(err).NotTo(gomega.HaveOccurred())
	l.Cluster = c
	go c.sampleVersions(ctx)
	if o.Rate > 0 {
		loadCtx, stop := context.WithCancel(ctx)
		l.stopLoad = stop
		l.loads.Add(1)
		go l.load(loadCtx, o.Rate)
	}
	return l
}

func (l *live) platformOf(id, base string) (string, error) {
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

func (l *live) close() {
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

// load starts one segment after the other; each ends with its last answer.
func (l *live) load(ctx context.Context, rate float64) {
	defer l.loads.Done()
	ticker := time.NewTicker(segment)
	defer ticker.Stop()
	for seed := l.Options.Seed + 1; ; seed++ {
		l.loads.Add(1)
		go func() {
			defer l.loads.Done()
			r, err := load.Run(l.ctx, load.Options{Targets: l.targets(), Deployment: shortWork(), Rate: rate, Duration: segment, Seed: seed, Tokens: l.Tokens, Network: l.network})
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

// targets are the entries that a balancer would choose from.
func (l *live) targets() []string {
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

func (l *live) admin() *admin.Client {
	return admin.NewClient(l.targets(), l.OperatorToken, l.client)
}

func (l *live) fleetAdmin() admin.FleetClient { return admin.FleetClient{Caller: l.admin()} }

// until waits for a condition.
func (l *live) until(what string, limit time.Duration, ok func() bool) {
	l.t.Helper()
	end := time.Now().Add(limit)
	for !ok() {
		if time.Now().After(end) {
			l.dump()
			l.t.Fatalf("not within %s: %s", limit, what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// dump shows rows that say what the fleet waits for.
func (l *live) dump() {
	for _, prefix := range []string{"leases/", "waves/", "moves/", instance.PrefixDisruptions} {
		for _, row := range l.Platform.Rows(prefix) {
			l.t.Logf("%s v%d %s", row.Key, row.Version, row.Value)
		}
	}
	for id, in := range l.rows() {
		if in.State != instance.Serving {
			l.t.Logf("%s %+v", id, in)
		}
	}
}

// rows reads the instance rows past all faults.
func (l *live) rows() map[string]instance.Instance {
	rows := map[string]instance.Instance{}
	for _, row := range l.Platform.Rows(instance.Prefix) {
		var in instance.Instance
		l.Expect(json.Unmarshal(row.Value, &in)).To(gomega.Succeed())
		rows[strings.TrimPrefix(row.Key, instance.Prefix)] = in
	}
	return rows
}

func (l *live) row(id string) instance.Instance { return l.rows()[id] }

func (l *live) waveRow(id string) wave.Wave {
	var w wave.Wave
	if row := l.Platform.Row(wave.Prefix + id); row.Version > 0 {
		l.Expect(json.Unmarshal(row.Value, &w)).To(gomega.Succeed())
	}
	return w
}

func (l *live) moveRows() []fleet.Move {
	var moves []fleet.Move
	for _, row := range l.Platform.Rows(fleet.PrefixMoves) {
		var m fleet.Move
		l.Expect(json.Unmarshal(row.Value, &m)).To(gomega.Succeed())
		moves = append(moves, m)
	}
	return moves
}

// holder returns the entry that holds the fleet lease by the row, and the token.
func (l *live) holder() (string, int64) {
	var r lease.Record
	if row := l.Platform.Row(lease.Prefix + fleet.LeaseName); row.Version > 0 {
		l.Expect(json.Unmarshal(row.Value, &r)).To(gomega.Succeed())
	}
	id, _ := filter.SplitOwner(r.Holder)
	return id, r.Token
}

// startWave plans and starts a wave as the command does.
func (l *live) startWave(body admin.PlanBody) {
	l.t.Helper()
	client := l.fleetAdmin()
	_, err := client.Plan(l.ctx, body)
	l.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = client.ChangeWave(l.ctx, body.ID, fleet.ActionStart)
	l.Expect(err).NotTo(gomega.HaveOccurred())
}

// waveEnds waits until the wave is done and every instance has the result.
func (l *live) waveEnds(id string) wave.Wave {
	l.t.Helper()
	l.until("wave "+id+" is done", patience, func() bool { return l.waveRow(id).Status == wave.Done })
	return l.waveRow(id)
}

func (l *live) maintained(w wave.Wave) {
	l.t.Helper()
	for _, id := range w.Instances() {
		l.Expect(w.Results[id]).To(gomega.Equal(wave.Maintained), id)
	}
}

func (l *live) worker(id string) *workerd.Server {
	for _, w := range l.Workers {
		if w.Status().ID == id {
			return w
		}
	}
	l.t.Fatalf("no worker %s", id)
	return nil
}

// reboots counts the reboots of a worker.
func (l *live) reboots(id string) int {
	n := 0
	for _, w := range append(slices.Clone(l.Workers), l.retired...) {
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
func (l *live) addWorker(id, zone, rack string) *workerd.Server {
	w := workerd.New(workerd.Options{ID: id, Zone: zone, Rack: rack, Platform: l.base, Network: l.network})
	l.Expect(w.Start("127.0.0.1:0")).To(gomega.Succeed())
	l.Workers = append(l.Workers, w)
	return w
}

// closeWorker ends a worker as a power failure does.
func (l *live) closeWorker(id string) {
	w := l.worker(id)
	w.Close()
	l.Workers = slices.DeleteFunc(l.Workers, func(o *workerd.Server) bool { return o == w })
	l.retired = append(l.retired, w)
}

// replaceEntries starts as many new entries as there are and ends all old ones at once.
func (l *live) replaceEntries(generation string) {
	old, stops := slices.Clone(l.Entries), slices.Clone(l.stop)
	for i := range old {
		l.Expect(l.startEntry(fmt.Sprintf("entry-%s%d", generation, i+1), settings.Addresses{Callers: "127.0.0.1:0", Peers: "127.0.0.1:0"})).To(gomega.Succeed())
	}
	fresh := l.Entries[len(old):]
	l.until("new entries are ready", 20*time.Second, func() bool {
		return !slices.ContainsFunc(fresh, func(e *entry.Entry) bool { return !e.Ready() })
	})
	begin := time.Now()
	for i, e := range old {
		stops[i]()
		l.shutdowns = append(l.shutdowns, checker.Shutdown{Entry: e.CallerAddress(), Begin: begin, End: begin.Add(time.Minute)})
	}
	l.mu.Lock()
	l.Entries = fresh
	l.mu.Unlock()
	l.stop = l.stop[len(old):]
}
