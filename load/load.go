// Package load is an open-loop load generator on the caller API. Callers submit at the times of a seeded schedule,
// whether or not earlier work was answered, and latency counts from the intended time, so that a slow system
// does not hide its queue. It keeps what each caller was told, for package checker.
package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"samphirepoint/network"
	"samphirepoint/request"
	"samphirepoint/standin/workerd"
)

const (
	// DefaultSpread is the ratio between the busiest and the least busy entry.
	DefaultSpread = 5.0
	// DefaultMaxInFlight bounds goroutines and connections; beyond it arrivals are recorded as dropped.
	DefaultMaxInFlight = 8000
	// maxRepeats bounds the submissions of one arrival after the first.
	maxRepeats = 3
	// repeatDelay is the least pause before a repeat.
	repeatDelay = 200 * time.Millisecond
	// giveUpMargin lets the system answer at the deadline before the caller gives up.
	giveUpMargin = time.Second
	// cancelSenders is the number of connections over which a wave of cancellations is sent.
	cancelSenders = 64
)

// Options of a run.
type Options struct {
	// Targets are the addresses of the entries, IP:port or base URL.
	Targets    []string
	Deployment Deployment
	Rate       float64
	Duration   time.Duration
	Seed       uint64
	// Tokens maps backers to bearer tokens.
	Tokens map[string]string
	// Backers in order of demand; defaults to the backers of Tokens in order of name.
	Backers []string
	// Spread and MaxInFlight default to DefaultSpread and DefaultMaxInFlight.
	Spread      float64
	MaxInFlight int
	// CancelShare is the part of the arrivals that the caller cancels.
	CancelShare float64
	// CancelWaveAt is the time after the start at which all work in flight is cancelled at once; 0 means never.
	CancelWaveAt time.Duration
	// Network carries the connections; nil is that of the machine.
	Network network.Network
}

// Result of a run.
type Result struct {
	Deployment string        `json:"deployment"`
	Seed       uint64        `json:"seed"`
	Rate       float64       `json:"rate"`
	Started    time.Time     `json:"started"`
	Duration   time.Duration `json:"forNs"`
	// Records are in order of arrival and repeat.
	Records []Record `json:"records"`
}

// generator is one run.
type generator struct {
	options Options
	client  *http.Client
	started time.Time
	prefix  string
	slots   chan struct{}
	wait    sync.WaitGroup

	mu      sync.Mutex
	records []Record
	flights map[string]*flight // by request id
}

// flight is a submission without an answer.
type flight struct {
	entry, id, backer string
	cancelled         atomic.Bool
}

// Run submits the schedule and returns after the last answer. When ctx ends, no further arrivals are submitted and
// those in flight are given up.
func Run(ctx context.Context, o Options) (*Result, error) {
	setDefaults(&o)
	if len(o.Targets) == 0 {
		return nil, fmt.Errorf("no targets")
	}
	for _, b := range o.Backers {
		if o.Tokens[b] == "" {
			return nil, fmt.Errorf("backer %q has no token", b)
		}
	}
	schedule, err := Schedule(Plan{Deployment: o.Deployment, Rate: o.Rate, Duration: o.Duration, Seed: o.Seed, Backers: o.Backers,
		Entries: len(o.Targets), Spread: o.Spread, CancelShare: o.CancelShare})
	if err != nil {
		return nil, err
	}
	transport := &http.Transport{DialContext: network.OrDefault(o.Network).DialContext, MaxIdleConnsPerHost: 256, IdleConnTimeout: 30 * time.Second, DisableCompression: true}
	defer transport.CloseIdleConnections()
	g := &generator{options: o, client: &http.Client{Transport: transport}, started: time.Now(),
		slots: make(chan struct{}, o.MaxInFlight), flights: map[string]*flight{}}
	g.prefix = fmt.Sprintf("%s-%d-%x", o.Deployment.Name, o.Seed, g.started.UnixNano())
	if o.CancelWaveAt > 0 {
		wave := time.AfterFunc(o.CancelWaveAt, g.cancelAll)
		defer wave.Stop()
	}
	g.submitAll(ctx, schedule)
	return g.result(), nil
}

func setDefaults(o *Options) {
	if len(o.Backers) == 0 {
		for b := range o.Tokens {
			o.Backers = append(o.Backers, b)
		}
		sort.Strings(o.Backers)
	}
	if o.Spread == 0 {
		o.Spread = DefaultSpread
	}
	if o.MaxInFlight == 0 {
		o.MaxInFlight = DefaultMaxInFlight
	}
}

func (g *generator) submitAll(ctx context.Context, schedule []Arrival) {
	defer g.wait.Wait()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for _, a := range schedule {
		timer.Reset(time.Until(g.started.Add(a.At)))
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		select {
		case g.slots <- struct{}{}:
		default:
			rec := g.newRecord(a, 0)
			rec.ErrKind, rec.Ended = ErrDropped, time.Now()
			g.keep(rec)
			continue
		}
		g.wait.Add(1)
		go func() {
			defer g.wait.Done()
			defer func() { <-g.slots }()
			g.submit(ctx, a)
		}()
	}
}

// submit sends an arrival and repeats it at the next entry if it is not idempotent and the outcome is unclear, or if it
// was rejected for now.
func (g *generator) submit(ctx context.Context, a Arrival) {
	issued := time.Now()
	for repeat := 0; ; repeat++ {
		rec := g.newRecord(a, repeat)
		g.send(ctx, a, issued, &rec)
		g.keep(rec)
		again := !rec.Idempotent && !rec.Cancelled && (rec.OutcomeUnknown() || rec.rejectedForNow())
		if !again || repeat == maxRepeats {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(max(repeatDelay, rec.RetryAfter)):
		}
	}
}

func (r *Record) rejectedForNow() bool {
	return r.ErrKind == ErrRefused || r.Status == http.StatusServiceUnavailable || r.Status == http.StatusTooManyRequests
}

func (g *generator) newRecord(a Arrival, repeat int) Record {
	targets := g.options.Targets
	rec := Record{
		Arrival: a.ID, Repeat: repeat, RequestID: fmt.Sprintf("%s-%d-%d", g.prefix, a.ID, repeat),
		Idempotent: !a.Kind.NonIdempotent, Backer: a.Backer, Queue: a.Queue, Kind: a.Kind.Name, Long: a.Kind.Long,
		RunTime: a.RunTime, Entry: targets[(a.Entry+repeat)%len(targets)],
		Intended:    g.started.Add(a.At),
		WantPayload: strconv.Quote(fmt.Sprintf("%s-%d", g.prefix, a.ID)), WantPadding: a.Kind.AnswerBytes,
	}
	if a.Kind.NonIdempotent {
		rec.Key = fmt.Sprintf("%s-%d", g.prefix, a.ID)
	}
	return rec
}

func (g *generator) keep(rec Record) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.records = append(g.records, rec)
}

func (g *generator) send(ctx context.Context, a Arrival, issued time.Time, rec *Record) {
	ctx, cancel := context.WithTimeout(ctx, a.Kind.Deadline+giveUpMargin)
	defer cancel()
	req, err := g.newRequest(ctx, a, issued, rec)
	if err != nil {
		rec.SetError(err)
		return
	}
	time.Sleep(g.options.Deployment.OneWay)
	rec.Sent = time.Now()
	f := g.take(rec)
	if a.CancelAfter > 0 {
		timer := time.AfterFunc(a.CancelAfter, func() { g.cancel(f) })
		defer timer.Stop()
	}
	resp, err := g.client.Do(req)
	if err != nil {
		rec.SetError(err)
	} else {
		rec.SetResponse(resp)
	}
	time.Sleep(g.options.Deployment.OneWay)
	rec.Ended = time.Now()
	rec.Cancelled = g.land(f)
}

func (g *generator) take(rec *Record) *flight {
	f := &flight{entry: rec.Entry, id: rec.RequestID, backer: rec.Backer}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.flights[f.id] = f
	return f
}

// land reports whether the submission was cancelled.
func (g *generator) land(f *flight) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.flights, f.id)
	return f.cancelled.Load()
}

func (g *generator) newRequest(ctx context.Context, a Arrival, issued time.Time, rec *Record) (*http.Request, error) {
	body, err := json.Marshal(workerd.Work{RunMs: int(a.RunTime.Milliseconds()), Fail: a.Fails, NeverRuns: a.Never,
		Size: a.Kind.AnswerBytes, Payload: json.RawMessage(rec.WantPayload)})
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, baseURL(rec.Entry)+"/v1/queues/"+rec.Queue+"/requests", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil // the transport does not repeat on its own: each submission is recorded
	h := req.Header
	h.Set("Authorization", "Bearer "+g.options.Tokens[rec.Backer])
	h.Set("Content-Type", "application/json")
	h.Set(request.HeaderRequestID, rec.RequestID)
	h.Set(request.HeaderKind, rec.Kind)
	h.Set(request.HeaderDeadline, a.Kind.Deadline.String())
	if a.Kind.Class != "" {
		h.Set(request.HeaderClass, a.Kind.Class)
	}
	if rec.Key != "" {
		h.Set(request.HeaderIdempotent, "false")
		h.Set(request.HeaderIdempotencyKey, rec.Key)
		h.Set(request.HeaderIdempotencyIssued, issued.UTC().Format(time.RFC3339Nano))
	}
	return req, nil
}

// cancel asks for the end of a request; the answer to the request itself tells what became of it.
func (g *generator) cancel(f *flight) {
	f.cancelled.Store(true)
	ctx, stop := context.WithTimeout(context.Background(), cancelWithin)
	defer stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, baseURL(f.entry)+"/v1/requests/"+f.id, nil)
	if err != nil {
		return
	}
	req.Header.Set("Authorization", "Bearer "+g.options.Tokens[f.backer])
	if resp, err := g.client.Do(req); err == nil {
		_ = resp.Body.Close()
	}
}

// cancelAll sends a wave of cancellations for all work in flight.
func (g *generator) cancelAll() {
	g.mu.Lock()
	flights := make(chan *flight, len(g.flights))
	for _, f := range g.flights {
		flights <- f
	}
	g.mu.Unlock()
	close(flights)
	for range cancelSenders {
		go func() {
			for f := range flights {
				g.cancel(f)
			}
		}()
	}
}

func (g *generator) result() *Result {
	g.mu.Lock()
	defer g.mu.Unlock()
	sort.Slice(g.records, func(i, j int) bool {
		a, b := g.records[i], g.records[j]
		return a.Arrival < b.Arrival || (a.Arrival == b.Arrival && a.Repeat < b.Repeat)
	})
	o := g.options
	return &Result{Deployment: o.Deployment.Name, Seed: o.Seed, Rate: o.Rate, Started: g.started, Duration: o.Duration, Records: g.records}
}

func baseURL(target string) string {
	if strings.Contains(target, "://") {
		return strings.TrimRight(target, "/")
	}
	return "http://" + target
}
