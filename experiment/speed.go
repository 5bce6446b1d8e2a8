package experiment

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"samphirepoint/request"
	"samphirepoint/standin/workerd"
)

const (
	// speedWorkers is the number of workers in each of the two pools; with 8 slots each they serve 64 connections.
	speedWorkers = 8
	// speedWarmUp is the time in which connections are opened and the entry learns run times before a measurement.
	speedWarmUp = 500 * time.Millisecond
)

// Paths of a request in the speed comparison.
const (
	PathDirect  = "direct"  // straight to a worker
	PathOwner   = "owner"   // through the entry that owns the pool
	PathForward = "forward" // through another entry, which forwards to the owner
)

// SpeedResult holds the measurement of one path with one number of connections.
type SpeedResult struct {
	Path        string `json:"path"`
	Connections int    `json:"connections"`
	Requests    int    `json:"requests"`
	Errors      int    `json:"errors"`
	// Rate is in requests per second; P50, P99 and AddedP50, the growth of the median over the direct path, are in
	// microseconds. DirectRateFraction is Rate as a fraction of that of the direct path.
	Rate               float64 `json:"requestsPerSecond"`
	P50                float64 `json:"p50Us"`
	P99                float64 `json:"p99Us"`
	AddedP50           float64 `json:"addedP50Us"`
	DirectRateFraction float64 `json:"partOfDirectRate"`
	// Allocations is the number of allocations per request in the whole process: load generator, entries and worker.
	Allocations float64 `json:"allocationsPerRequest"`
	// CPUTimeUs is the CPU time of the whole process per request, in microseconds.
	CPUTimeUs float64 `json:"processorUsPerRequest"`
}

// speedTestbed is a testbed with two entries and two pools; the first entry owns one of the pools and forwards requests
// for the other one.
type speedTestbed struct {
	*testbed
	workers []*workerd.Server
	client  *http.Client
	body    []byte
	// keys, if set, makes the requests non-idempotent and numbers their keys.
	keys *atomic.Int64
}

func newSpeedTestbed(ctx context.Context) (*speedTestbed, error) {
	s := &speedTestbed{body: []byte(`{"runMs":0,"payload":"speed"}`),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}}}
	for i := range 2 * speedWorkers {
		w := workerd.New(workerd.Options{ID: fmt.Sprintf("worker-%04d", i), Seed: 1})
		if err := w.Start("127.0.0.1:0"); err != nil {
			s.close()
			return nil, err
		}
		s.workers = append(s.workers, w)
	}
	var err error
	if s.testbed, err = newTestbed(ctx, testbedSize{Rows: 2 * speedWorkers, Pools: 2, Backers: 1}, func(i int) string { return s.workers[i].Address() }); err == nil {
		err = s.startEntries(ctx, 2, zerolog.Nop())
	}
	if err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

func (s *speedTestbed) close() {
	s.client.CloseIdleConnections()
	if s.testbed != nil {
		s.testbed.close()
	}
	for _, w := range s.workers {
		w.Close()
	}
}

// url returns the URL to which a connection sends its requests on a path.
func (s *speedTestbed) url(path string, connection int) string {
	if path == PathDirect {
		return "http://" + s.workers[connection%len(s.workers)].Address() + "/run"
	}
	pool := s.ownedPools(0)[0]
	if path == PathForward {
		pool = s.ownedPools(1)[0]
	}
	return "http://" + s.entries[0].CallerAddress() + "/v1/queues/" + pool + "/requests"
}

func (s *speedTestbed) sendRequest(url string) error {
	req, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(s.body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(request.HeaderKind, "speed")
	if strings.HasSuffix(url, "/run") {
		req.Header.Set(request.HeaderRequestID, "direct")
		req.Header.Set(request.HeaderAttempt, "direct")
	} else {
		req.Header.Set("Authorization", "Bearer "+s.token)
		if s.keys != nil {
			req.Header.Set(request.HeaderIdempotent, "false")
			req.Header.Set(request.HeaderIdempotencyKey, fmt.Sprintf("key-%d", s.keys.Add(1)))
		}
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return nil
}

// runLoad sends requests over a number of connections for the duration d, on each connection one after the other without
// pause. It returns the latencies of the successful ones and the number of errors.
func (s *speedTestbed) runLoad(path string, connections int, d time.Duration) (latencies []time.Duration, errors int) {
	var mu sync.Mutex
	var wait sync.WaitGroup
	end := time.Now().Add(d)
	for i := range connections {
		url := s.url(path, i)
		wait.Go(func() {
			var measured []time.Duration
			failed := 0
			for start := time.Now(); start.Before(end); start = time.Now() {
				if err := s.sendRequest(url); err != nil {
					failed++
					continue
				}
				measured = append(measured, time.Since(start))
			}
			mu.Lock()
			defer mu.Unlock()
			latencies, errors = append(latencies, measured...), errors+failed
		})
	}
	wait.Wait()
	return latencies, errors
}

func (s *speedTestbed) measure(path string, connections int, d time.Duration) SpeedResult {
	s.runLoad(path, connections, speedWarmUp)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	cpu, start := cpuTime(), time.Now()
	latencies, errors := s.runLoad(path, connections, d)
	took := time.Since(start)
	cpu = cpuTime() - cpu
	runtime.ReadMemStats(&after)
	slices.Sort(latencies)
	n := len(latencies)
	f := SpeedResult{Path: path, Connections: connections, Requests: n, Errors: errors}
	if n == 0 {
		return f
	}
	us := func(d time.Duration) float64 { return float64(d.Nanoseconds()) / 1000 }
	f.Rate, f.P50, f.P99 = float64(n)/took.Seconds(), us(latencies[n/2]), us(latencies[n*99/100])
	f.Allocations = float64(after.Mallocs-before.Mallocs) / float64(n)
	f.CPUTimeUs = us(cpu) / float64(n)
	return f
}

// Speed compares a direct call of a worker with a call through the entry that owns the pool and a call that is forwarded
// once. The load generator, entries, workers and platform share one process and its CPUs, so the rates are limited by the
// sum of their CPU time.
func Speed(ctx context.Context, connections []int, each time.Duration) ([]SpeedResult, error) {
	s, err := newSpeedTestbed(ctx)
	if err != nil {
		return nil, err
	}
	defer s.close()
	var list []SpeedResult
	for _, n := range connections {
		var direct SpeedResult
		for _, path := range []string{PathDirect, PathOwner, PathForward} {
			if ctx.Err() != nil {
				return list, ctx.Err()
			}
			f := s.measure(path, n, each)
			if path == PathDirect {
				direct = f
			}
			f.AddedP50 = f.P50 - direct.P50
			if direct.Rate > 0 {
				f.DirectRateFraction = f.Rate / direct.Rate
			}
			list = append(list, f)
		}
	}
	return list, nil
}

// SpeedText returns the text form of the results.
func SpeedText(list []SpeedResult) string {
	var b strings.Builder
	fmt.Fprintf(&b, "load average %s, GOMAXPROCS %d\n%-8s %5s %10s %9s %9s %10s %8s %8s %9s %7s\n", loadAverage(), runtime.GOMAXPROCS(0),
		"path", "conns", "requests/s", "p50 us", "p99 us", "added p50", "part", "allocs", "cpu us", "errors")
	for _, f := range list {
		fmt.Fprintf(&b, "%-8s %5d %10.0f %9.0f %9.0f %10.0f %8.2f %8.0f %9.0f %7d\n", f.Path, f.Connections, f.Rate, f.P50, f.P99, f.AddedP50,
			f.DirectRateFraction, f.Allocations, f.CPUTimeUs, f.Errors)
	}
	return b.String()
}
