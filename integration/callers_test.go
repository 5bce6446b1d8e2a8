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
	// interval between arrivals: 100 a second need about 6 of the 48 slots.
	interval = 10 * time.Millisecond
	// deadline of a submission, after which the caller waits one second more.
	deadline = 6 * time.Second
	// maxRepeats bounds the submissions of an arrival.
	maxRepeats = 6
	// repeatDelay spreads the repeats over the time of a fault.
	repeatDelay = 150 * time.Millisecond
	// followInterval is the time between two looks of the balancer at each entry, half of its share of the delay that
	// entries grant it before they refuse work (balancerDelay of 1 s).
	followInterval = 100 * time.Millisecond
)

// callers submit at a fixed rate, half of it not idempotent, and keep what they are told.
type callers struct {
	w      *world
	client *http.Client
	prefix string
	// follow makes the callers use only entries whose readiness probe answers, as a balancer does.
	follow bool
	ready  atomic.Pointer[[]*entryProcess]
	stop   context.CancelFunc
	ended  sync.WaitGroup

	mu      sync.Mutex
	records []load.Record
}

var runs atomic.Int64

// startCallers starts the load; it ends with finish.
func (w *world) startCallers(seed uint64, follow bool) *callers {
	ctx, cancel := context.WithCancel(context.Background())
	c := &callers{w: w, follow: follow, stop: cancel, prefix: fmt.Sprintf("%s-%d-%d", w.t.Name(), seed, runs.Add(1)),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 128, DisableCompression: true}}}
	all := slices.Clone(w.entries)
	c.ready.Store(&all)
	if follow {
		c.ended.Add(1)
		go c.followReadiness(ctx)
	}
	c.ended.Add(1)
	go c.run(ctx, rand.New(rand.NewPCG(seed, 3)))
	w.t.Cleanup(func() { c.finish() })
	return c
}

// finish ends the arrivals and returns all records after the last answer.
func (c *callers) finish() []load.Record {
	c.stop()
	c.ended.Wait()
	c.client.CloseIdleConnections()
	return c.seen()
}

func (c *callers) seen() []load.Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.records)
}

func (c *callers) followReadiness(ctx context.Context) {
	defer c.ended.Done()
	for ctx.Err() == nil {
		var ready []*entryProcess
		for _, e := range c.w.entries {
			if c.w.ready(e) {
				ready = append(ready, e)
			}
		}
		if len(ready) > 0 {
			c.ready.Store(&ready)
		}
		select {
		case <-ctx.Done():
		case <-time.After(followInterval):
		}
	}
}

// arrival is one piece of work.
type arrival struct {
	id, run    int
	backer     string
	queue      string
	idempotent bool
	issued     time.Time
	// echo submits the key at a second entry while the first submission runs.
	echo bool
}

func (c *callers) run(ctx context.Context, random *rand.Rand) {
	defer c.ended.Done()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for id := 0; ; id++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		a := arrival{id: id, run: 20 + random.IntN(80), backer: c.w.doc.Backers[random.IntN(2)].Name,
			queue: c.w.doc.Queues[id%len(c.w.doc.Queues)].Name, idempotent: random.IntN(2) == 0, issued: time.Now()}
		if random.IntN(20) == 0 {
			a.run = 1500 // is under way when a fault begins
		}
		a.echo = !a.idempotent && random.IntN(3) == 0
		home := random.IntN(1 << 16)
		c.ended.Add(1)
		go func() {
			defer c.ended.Done()
			c.submit(a, home)
		}()
	}
}

// submit sends an arrival and repeats it at the next entry while the outcome is unclear or it was refused.
func (c *callers) submit(a arrival, home int) {
	if a.echo {
		c.ended.Add(1)
		go func() {
			defer c.ended.Done()
			c.send(a, home+1, maxRepeats+1)
		}()
	}
	for repeat := 0; repeat <= maxRepeats; repeat++ {
		rec := c.send(a, home+repeat, repeat)
		refused := rec.ErrKind == load.ErrRefused || rec.Status == http.StatusServiceUnavailable || rec.Status == http.StatusTooManyRequests
		if rec.OK() || !refused && !rec.OutcomeUnknown() && !a.idempotent {
			return
		}
		time.Sleep(max(repeatDelay, min(rec.RetryAfter, time.Second)))
	}
}

func (c *callers) send(a arrival, target, repeat int) *load.Record {
	ready := *c.ready.Load()
	e := ready[target%len(ready)]
	rec := &load.Record{Arrival: a.id, Repeat: repeat, RequestID: fmt.Sprintf("%s-%d-%d", c.prefix, a.id, repeat), Idempotent: a.idempotent,
		Backer: a.backer, Queue: a.queue, Kind: "check", RunTime: time.Duration(a.run) * time.Millisecond, Entry: e.callers,
		Intended: a.issued, WantPayload: strconv.Quote(fmt.Sprintf("%s-%d", c.prefix, a.id)), WantPadding: 200}
	if !a.idempotent {
		rec.Key = fmt.Sprintf("%s-%d", c.prefix, a.id)
	}
	body, err := json.Marshal(workerd.Work{RunMs: a.run, Size: rec.WantPadding, Payload: json.RawMessage(rec.WantPayload)})
	c.w.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithTimeout(context.Background(), deadline+time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.callers+"/v1/queues/"+a.queue+"/requests", bytes.NewReader(body))
	c.w.Expect(err).NotTo(HaveOccurred())
	req.GetBody = nil // the transport does not repeat on its own: each submission is recorded
	h := req.Header
	h.Set("Authorization", "Bearer "+c.w.tokens[a.backer])
	h.Set("Content-Type", "application/json")
	h.Set(request.HeaderRequestID, rec.RequestID)
	h.Set(request.HeaderKind, rec.Kind)
	h.Set(request.HeaderDeadline, deadline.String())
	if rec.Key != "" {
		h.Set(request.HeaderIdempotent, "false")
		h.Set(request.HeaderIdempotencyKey, rec.Key)
		h.Set(request.HeaderIdempotencyIssued, a.issued.UTC().Format(time.RFC3339Nano))
	}
	rec.Sent = time.Now()
	resp, err := c.client.Do(req)
	if err != nil {
		rec.SetError(err)
	} else {
		rec.SetResponse(resp)
	}
	rec.Ended = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.records = append(c.records, *rec)
	return rec
}

// kind selects records by idempotence.
type kind bool

const (
	idempotent    kind = true
	nonIdempotent kind = false
)

// successes counts the good answers per queue to work of a kind that was submitted after a time.
func (c *callers) successes(k kind, after time.Time) map[string]int {
	n := map[string]int{}
	for _, r := range c.seen() {
		if r.OK() && r.Idempotent == bool(k) && r.Sent.After(after) {
			n[r.Queue]++
		}
	}
	return n
}

// awaitSuccesses waits until each queue has some good answers to work of both kinds submitted after a time.
func (c *callers) awaitSuccesses(after time.Time, kinds ...kind) {
	c.w.t.Helper()
	for _, k := range kinds {
		c.w.Eventually(func() bool {
			n := c.successes(k, after)
			for _, q := range c.w.doc.Queues {
				if n[q.Name] < 10 {
					return false
				}
			}
			return true
		}, settleTimeout, "20ms").Should(BeTrue(), "work of each queue succeeds")
	}
}

// awaitTime lets the load run until a moment.
func awaitTime(t time.Time) { time.Sleep(time.Until(t)) }

// longestGap is the longest time between two good answers in a queue from one moment to another, at entries other than
// those named.
func longestGap(records []load.Record, queue string, k kind, from, to time.Time, without ...*entryProcess) time.Duration {
	ends := []time.Time{from, to}
	for _, r := range records {
		if r.OK() && r.Queue == queue && r.Idempotent == bool(k) && r.Ended.After(from) && r.Ended.Before(to) &&
			!slices.ContainsFunc(without, func(e *entryProcess) bool { return e.callers == r.Entry }) {
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
