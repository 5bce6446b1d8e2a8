// Package load provides an open-loop load generator for the caller API. Callers submit at the times of a seeded schedule,
// whether or not earlier work was answered, and latency is measured from the intended time, so that a slow system does
// not hide its queueing delay. It records the replies to each caller for package checker.
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
	"samphirepoint/sleep"
	"samphirepoint/standin/workerd"
)

const (
	// DefaultSpread is the ratio between the busiest and the least busy entry.
	DefaultSpread = 5.0
	// DefaultMaxInFlight bounds goroutines and connections; arrivals beyond it are recorded as dropped.
	DefaultMaxInFlight = 8000
	// maxResubmissions bounds the resubmissions of an arrival.
	maxResubmissions = 3
	// resubmitDelay is the minimum delay before a resubmission.
	resubmitDelay = 200 * time.Millisecond
	// callerTimeoutMargin lets the system respond at the deadline before the caller times out.
	callerTimeoutMargin = time.Second
	// cancelSenders is the number of concurrent senders of a wave of cancellations.
	cancelSenders = 64
)

// Options configures a run.
type Options struct {
	// Targets are the addresses of the entries, IP:port or base URL.
	Targets    []string
	Deployment Deployment
	Rate       float64
	Duration   time.Duration
	Seed       uint64
	// Tokens maps backers to bearer tokens.
	Tokens map[string]string
	// Backers are in order of decreasing demand; the default is the backers of Tokens in order of name.
	Backers []string
	// Spread and MaxInFlight default to DefaultSpread and DefaultMaxInFlight.
	Spread      float64
	MaxInFlight int
	// CancelShare is the fraction of the arrivals that the caller cancels.
	CancelShare float64
	// CancelWaveAt is the time after the start at which all work in flight is cancelled; 0 means never.
	CancelWaveAt time.Duration
	// Network carries the connections; nil means that of the host.
	Network network.Network
}

// Result is the result of a run.
type Result struct {
	Deployment string        `json:"deployment"`
	Seed       uint64        `json:"seed"`
	Rate       float64       `json:"rate"`
	Started    time.Time     `json:"started"`
	Duration   time.Duration `json:"forNs"`
	// Records are in order of arrival and resubmission.
	Records []Record `json:"records"`
}

// generator is the state of one run.
type generator struct {
	options       Options
	client        *http.Client
	started       time.Time
	idPrefix      string
	inFlightSlots chan struct{}
	submitters    sync.WaitGroup

	mu       sync.Mutex
	records  []Record
	inFlight map[string]*submission // by request ID
}

// submission is a submission in flight.
type submission struct {
	entry, id, backer string
	cancelled         atomic.Bool
}

// Run submits the schedule and returns after the last response. When ctx ends, no further arrivals are submitted and
// those in flight are aborted.
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
		inFlightSlots: make(chan struct{}, o.MaxInFlight), inFlight: map[string]*submission{}}
	g.idPrefix = fmt.Sprintf("%s-%d-%x", o.Deployment.Name, o.Seed, g.started.UnixNano())
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
	defer g.submitters.Wait()
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
		case g.inFlightSlots <- struct{}{}:
		default:
			rec := g.newRecord(a, 0)
			rec.ErrKind, rec.Ended = ErrDropped, time.Now()
			g.addRecord(rec)
			continue
		}
		g.submitters.Add(1)
		go func() {
			defer g.submitters.Done()
			defer func() { <-g.inFlightSlots }()
			g.submit(ctx, a)
		}()
	}
}

// submit sends an arrival. It resubmits it to the next entry if the arrival is not idempotent and either its outcome is
// unknown or it was rejected temporarily.
func (g *generator) submit(ctx context.Context, a Arrival) {
	issued := time.Now()
	for resubmission := 0; ; resubmission++ {
		rec := g.newRecord(a, resubmission)
		g.send(ctx, a, issued, &rec)
		g.addRecord(rec)
		again := !rec.Idempotent && !rec.Cancelled && (rec.OutcomeUnknown() || rec.temporarilyRejected())
		if !again || resubmission == maxResubmissions {
			return
		}
		if sleep.Context(ctx, max(resubmitDelay, rec.RetryAfter)) != nil {
			return
		}
	}
}

func (r *Record) temporarilyRejected() bool {
	return r.ErrKind == ErrRefused || r.Status == http.StatusServiceUnavailable || r.Status == http.StatusTooManyRequests
}

func (g *generator) newRecord(a Arrival, resubmission int) Record {
	targets := g.options.Targets
	rec := Record{
		Arrival: a.ID, Resubmission: resubmission, RequestID: fmt.Sprintf("%s-%d-%d", g.idPrefix, a.ID, resubmission),
		Idempotent: !a.Kind.NonIdempotent, Backer: a.Backer, Queue: a.Queue, Kind: a.Kind.Name, Long: a.Kind.Long,
		RunTime: a.RunTime, Entry: targets[(a.Entry+resubmission)%len(targets)],
		Intended:    g.started.Add(a.At),
		WantPayload: strconv.Quote(fmt.Sprintf("%s-%d", g.idPrefix, a.ID)), WantPadding: a.Kind.AnswerBytes,
	}
	if a.Kind.NonIdempotent {
		rec.Key = fmt.Sprintf("%s-%d", g.idPrefix, a.ID)
	}
	return rec
}

func (g *generator) addRecord(rec Record) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.records = append(g.records, rec)
}

func (g *generator) send(ctx context.Context, a Arrival, issued time.Time, rec *Record) {
	ctx, cancel := context.WithTimeout(ctx, a.Kind.Deadline+callerTimeoutMargin)
	defer cancel()
	req, err := g.newRequest(ctx, a, issued, rec)
	if err != nil {
		rec.Fail(err)
		return
	}
	time.Sleep(g.options.Deployment.OneWay)
	rec.Sent = time.Now()
	sub := g.track(rec)
	if a.CancelAfter > 0 {
		timer := time.AfterFunc(a.CancelAfter, func() { g.cancel(sub) })
		defer timer.Stop()
	}
	resp, err := g.client.Do(req)
	if err != nil {
		rec.Fail(err)
	} else {
		rec.SetResponse(resp)
	}
	time.Sleep(g.options.Deployment.OneWay)
	rec.Ended = time.Now()
	rec.Cancelled = g.untrack(sub)
}

func (g *generator) track(rec *Record) *submission {
	sub := &submission{entry: rec.Entry, id: rec.RequestID, backer: rec.Backer}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight[sub.id] = sub
	return sub
}

// untrack removes a finished submission and reports whether it was cancelled.
func (g *generator) untrack(sub *submission) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.inFlight, sub.id)
	return sub.cancelled.Load()
}

func (g *generator) newRequest(ctx context.Context, a Arrival, issued time.Time, rec *Record) (*http.Request, error) {
	body, err := json.Marshal(workerd.Work{RunMs: int(a.RunTime.Milliseconds()), Fail: a.Fails, NeverRuns: a.NeverRuns,
		Size: a.Kind.AnswerBytes, Payload: json.RawMessage(rec.WantPayload)})
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, baseURL(rec.Entry)+"/v1/queues/"+rec.Queue+"/requests", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil // keeps the transport from resending, since each submission is recorded
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

// cancel requests the cancellation of a submission; the reply to the submission itself reports the outcome.
func (g *generator) cancel(sub *submission) {
	sub.cancelled.Store(true)
	ctx, stop := context.WithTimeout(context.Background(), maxCancelDelay)
	defer stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, baseURL(sub.entry)+"/v1/requests/"+sub.id, nil)
	if err != nil {
		return
	}
	req.Header.Set("Authorization", "Bearer "+g.options.Tokens[sub.backer])
	if resp, err := g.client.Do(req); err == nil {
		_ = resp.Body.Close()
	}
}

// cancelAll sends a wave of cancellations for all work in flight.
func (g *generator) cancelAll() {
	g.mu.Lock()
	submissions := make(chan *submission, len(g.inFlight))
	for _, sub := range g.inFlight {
		submissions <- sub
	}
	g.mu.Unlock()
	close(submissions)
	for range cancelSenders {
		go func() {
			for sub := range submissions {
				g.cancel(sub)
			}
		}()
	}
}

func (g *generator) result() *Result {
	g.mu.Lock()
	defer g.mu.Unlock()
	sort.Slice(g.records, func(i, j int) bool {
		a, b := g.records[i], g.records[j]
		return a.Arrival < b.Arrival || (a.Arrival == b.Arrival && a.Resubmission < b.Resubmission)
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
