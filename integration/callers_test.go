//go:build linux

package integration

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/gomega"

	"samphirepoint/load"
	"samphirepoint/request"
	"samphirepoint/standin/workerd"
)

const (
	// arrivalInterval is the time between arrivals: 100 per second need about 6 of the 48 slots.
	arrivalInterval = 10 * time.Millisecond
	// requestDeadline is the deadline of a submission; the caller waits one second longer.
	requestDeadline = 6 * time.Second
	// maxResubmissions bounds the resubmissions of an arrival.
	maxResubmissions = 6
	// resubmitDelay is the minimum delay before a resubmission; it spreads the resubmissions over the duration of a fault.
	resubmitDelay = 150 * time.Millisecond
	// readinessPollInterval is the time between two readiness probes of the load balancer at each entry. It is half of the
	// balancer's share of balancerDelay (1 s), the time that a leaving entry waits before it rejects work.
	readinessPollInterval = 100 * time.Millisecond
)

// callers submits requests at a fixed rate, half of them non-idempotent, and records the replies.
type callers struct {
	d      *deployment
	client *http.Client
	prefix string
	// onlyReady restricts the callers to entries whose readiness probe succeeds, as a load balancer does.
	onlyReady    bool
	readyEntries atomic.Pointer[[]*entryProcess]
	cancel       context.CancelFunc
	wg           sync.WaitGroup

	mu      sync.Mutex
	records []load.Record
}

var nextID atomic.Int64

// startCallers starts the load. It runs until finish is called or the test ends.
func (d *deployment) startCallers(seed uint64, onlyReady bool) *callers {
	ctx, cancel := context.WithCancel(context.Background())
	c := &callers{d: d, onlyReady: onlyReady, cancel: cancel, prefix: fmt.Sprintf("%s-%d-%d", d.t.Name(), seed, nextID.Add(1)),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 128, DisableCompression: true}}}
	all := slices.Clone(d.entries)
	c.readyEntries.Store(&all)
	if onlyReady {
		c.wg.Add(1)
		go c.pollReadiness(ctx)
	}
	c.wg.Add(1)
	go c.run(ctx, rand.New(rand.NewPCG(seed, 3)))
	d.t.Cleanup(func() { c.finish() })
	return c
}

// finish stops the arrivals, waits for the last response and returns all records.
func (c *callers) finish() []load.Record {
	c.cancel()
	c.wg.Wait()
	c.client.CloseIdleConnections()
	return c.recordsSoFar()
}

func (c *callers) recordsSoFar() []load.Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.records)
}

func (c *callers) pollReadiness(ctx context.Context) {
	defer c.wg.Done()
	for ctx.Err() == nil {
		var ready []*entryProcess
		for _, e := range c.d.entries {
			if c.d.isReady(e) {
				ready = append(ready, e)
			}
		}
		if len(ready) > 0 {
			c.readyEntries.Store(&ready)
		}
		select {
		case <-ctx.Done():
		case <-time.After(readinessPollInterval):
		}
	}
}

// arrival is one request; all its submissions carry the same work.
type arrival struct {
	id, runMS  int
	backer     string
	queue      string
	idempotent bool
	issued     time.Time
	// duplicate also submits the key at a second entry while the first submission runs.
	duplicate bool
}

func (c *callers) run(ctx context.Context, random *rand.Rand) {
	defer c.wg.Done()
	ticker := time.NewTicker(arrivalInterval)
	defer ticker.Stop()
	for id := 0; ; id++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		a := arrival{id: id, runMS: 20 + random.IntN(80), backer: c.d.doc.Backers[random.IntN(2)].Name,
			queue: c.d.doc.Queues[id%len(c.d.doc.Queues)].Name, idempotent: random.IntN(2) == 0, issued: time.Now()}
		if random.IntN(20) == 0 {
			a.runMS = 1500 // long enough to be in flight when a fault begins
		}
		a.duplicate = !a.idempotent && random.IntN(3) == 0
		firstTarget := random.IntN(1 << 16)
		c.wg.Add(1)
		go func() {
			defer c.wg.Done()
			c.submit(a, firstTarget)
		}()
	}
}

// submit sends an arrival and resubmits it to the next entry while the outcome is unknown or the submission was rejected.
func (c *callers) submit(a arrival, firstTarget int) {
	if a.duplicate {
		c.wg.Add(1)
		go func() {
			defer c.wg.Done()
			c.send(a, firstTarget+1, maxResubmissions+1)
		}()
	}
	for resubmission := 0; resubmission <= maxResubmissions; resubmission++ {
		rec := c.send(a, firstTarget+resubmission, resubmission)
		temporarilyRejected := rec.ErrKind == load.ErrRefused || rec.Status == http.StatusServiceUnavailable || rec.Status == http.StatusTooManyRequests
		if rec.OK() || !temporarilyRejected && !rec.OutcomeUnknown() && !a.idempotent {
			return
		}
		time.Sleep(max(resubmitDelay, min(rec.RetryAfter, time.Second)))
	}
}

func (c *callers) send(a arrival, target, resubmission int) *load.Record {
	ready := *c.readyEntries.Load()
	e := ready[target%len(ready)]
	rec := &load.Record{Arrival: a.id, Resubmission: resubmission, RequestID: fmt.Sprintf("%s-%d-%d", c.prefix, a.id, resubmission), Idempotent: a.idempotent,
		Backer: a.backer, Queue: a.queue, Kind: "check", RunTime: time.Duration(a.runMS) * time.Millisecond, Entry: e.callersAddress,
		Intended: a.issued, WantPayload: strconv.Quote(fmt.Sprintf("%s-%d", c.prefix, a.id)), WantPadding: 200}
	if !a.idempotent {
		rec.Key = fmt.Sprintf("%s-%d", c.prefix, a.id)
	}
	body, err := json.Marshal(workerd.Work{RunMs: a.runMS, Size: rec.WantPadding, Payload: json.RawMessage(rec.WantPayload)})
	c.d.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithTimeout(context.Background(), requestDeadline+time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.callersAddress+"/v1/queues/"+a.queue+"/requests", bytes.NewReader(body))
	c.d.Expect(err).NotTo(HaveOccurred())
	req.GetBody = nil // prevents retries by the transport: each submission must be recorded
	h := req.Header
	h.Set("Authorization", "Bearer "+c.d.backerTokens[a.backer])
	h.Set("Content-Type", "application/json")
	h.Set(request.HeaderRequestID, rec.RequestID)
	h.Set(request.HeaderKind, rec.Kind)
	h.Set(request.HeaderDeadline, requestDeadline.String())
	if rec.Key != "" {
		h.Set(request.HeaderIdempotent, "false")
		h.Set(request.HeaderIdempotencyKey, rec.Key)
		h.Set(request.HeaderIdempotencyIssued, a.issued.UTC().Format(time.RFC3339Nano))
	}
	rec.Sent = time.Now()
	resp, err := c.client.Do(req)
	if err != nil {
		rec.Fail(err)
	} else {
		rec.SetResponse(resp)
	}
	rec.Ended = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.records = append(c.records, *rec)
	return rec
}

// workKind selects records of idempotent or of non-idempotent requests.
type workKind bool

const (
	idempotent    workKind = true
	nonIdempotent workKind = false
)

// countSuccesses returns, by queue, the number of successful requests of a kind that were sent after a time.
func (c *callers) countSuccesses(k workKind, after time.Time) map[string]int {
	n := map[string]int{}
	for _, r := range c.recordsSoFar() {
		if r.OK() && r.Idempotent == bool(k) && r.Sent.After(after) {
			n[r.Queue]++
		}
	}
	return n
}

// awaitSuccesses waits until each queue has 10 successful requests of each given kind that were sent after a time.
func (c *callers) awaitSuccesses(after time.Time, kinds ...workKind) {
	c.d.t.Helper()
	for _, k := range kinds {
		c.d.Eventually(func() bool {
			n := c.countSuccesses(k, after)
			for _, q := range c.d.doc.Queues {
				if n[q.Name] < 10 {
					return false
				}
			}
			return true
		}, completionTimeout, "20ms").Should(BeTrue(), "requests in each queue succeed")
	}
}

// sleepUntil sleeps until a point in time, while the load continues.
func sleepUntil(t time.Time) { time.Sleep(time.Until(t)) }

// longestGap returns the longest time without a successful response in a queue between two points in time, at entries other
// than the excluded ones.
func longestGap(records []load.Record, queue string, k workKind, from, to time.Time, without ...*entryProcess) time.Duration {
	ends := []time.Time{from, to}
	for _, r := range records {
		if r.OK() && r.Queue == queue && r.Idempotent == bool(k) && r.Ended.After(from) && r.Ended.Before(to) &&
			!slices.ContainsFunc(without, func(e *entryProcess) bool { return e.callersAddress == r.Entry }) {
			ends = append(ends, r.Ended)
		}
	}
	slices.SortFunc(ends, time.Time.Compare)
	var longest time.Duration
	for i := 1; i < len(ends); i++ {
		longest = max(longest, ends[i].Sub(ends[i-1]))
	}
	return longest
}
